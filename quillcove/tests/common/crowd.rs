//! Crowds of callers that do not keep to the limits, and what a process holds for them.

use std::collections::HashSet;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a caller gives up a write that the process does not take.
const WRITE_LIMIT: Duration = Duration::from_millis(500);

/// Time in which one caller sends its body; the crowd stays as it is after that.
const SEND_LIMIT: Duration = Duration::from_secs(8);

/// What each caller of a crowd sends.
#[derive(Clone, Debug)]
pub struct CrowdForm {
    /// Head of the request, with the empty line.
    pub head: String,
    /// Bytes of the body that are sent in all.
    pub body_bytes: usize,
    /// Bytes sent at a time, and the pause after them.
    pub piece_bytes: usize,
    pub pause: Duration,
    /// Whether each piece is a chunk.
    pub is_chunked: bool,
    /// Bytes after which a caller stops and stays; every eighth caller sends all.
    pub stop_at: usize,
}

/// The open connections of a crowd.
pub struct Crowd {
    pub callers: Vec<TcpStream>,
}

impl Crowd {
    /// Sends what the form says from so many callers at once, and waits until each has stopped.
    pub fn start(address: SocketAddr, count: usize, form: &CrowdForm) -> Self {
        let form = Arc::new(form.clone());
        let send = |number: usize| {
            let form = form.clone();
            thread::spawn(move || send_body(address, &form, number.is_multiple_of(8)))
        };
        let senders: Vec<_> = (0..count).map(send).collect();
        let callers = senders.into_iter().filter_map(|sender| sender.join().unwrap()).collect();
        Self { callers }
    }
}

/// Sends one body; a caller whose connection the process closes has left.
fn send_body(address: SocketAddr, form: &CrowdForm, is_whole: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(WRITE_LIMIT)).ok()?;
    stream.write_all(form.head.as_bytes()).ok()?;
    let end = Instant::now() + SEND_LIMIT;
    let last = if is_whole { form.body_bytes } else { form.stop_at };
    let mut sent = 0;
    while sent < last && Instant::now() < end {
        let piece = form.piece_bytes.min(last - sent);
        let data = "x".repeat(piece);
        let text = match form.is_chunked {
            true => format!("{piece:x}\r\n{data}\r\n"),
            false => data,
        };
        // The process reads no more, or has closed the connection.
        if stream.write_all(text.as_bytes()).is_err() {
            return Some(stream);
        }
        sent += piece;
        thread::sleep(form.pause);
    }
    if is_whole && form.is_chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    Some(stream)
}

/// Most that a process held while it was watched.
#[derive(Clone, Copy, Debug)]
pub struct HeldMost {
    /// Resident memory, and bytes that have arrived and are not read, in bytes.
    pub memory: usize,
    pub descriptors: usize,
}

/// Watches what a process holds until it is asked.
pub struct HoldWatch {
    is_over: Arc<AtomicBool>,
    memory: Arc<AtomicUsize>,
    descriptors: Arc<AtomicUsize>,
    thread: thread::JoinHandle<()>,
}

impl HoldWatch {
    pub fn start(id: u32) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (memory, descriptors) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (over, most, open) = (is_over.clone(), memory.clone(), descriptors.clone());
        let thread = thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let (unread, count) = unread_bytes(id);
                most.fetch_max(resident_bytes(id) + unread, Ordering::Relaxed);
                open.fetch_max(count, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Self { is_over, memory, descriptors, thread }
    }

    pub fn end(self) -> HeldMost {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        HeldMost {
            memory: self.memory.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }
}

fn resident_bytes(id: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| text.split_whitespace().next()?.parse::<usize>().ok());
    kib.unwrap_or(0) << 10
}

/// Bytes in the receive queues of a process's TCP sockets, and the number of its descriptors.
fn unread_bytes(id: u32) -> (usize, usize) {
    let Ok(folder) = fs::read_dir(format!("/proc/{id}/fd")) else {
        return (0, 0);
    };
    let links: Vec<_> = folder.flatten().map(|entry| fs::read_link(entry.path())).collect();
    let socket = |link: &std::io::Result<std::path::PathBuf>| {
        let text = link.as_ref().ok()?.to_str()?;
        Some(text.strip_prefix("socket:[")?.strip_suffix(']')?.to_string())
    };
    let sockets: HashSet<String> = links.iter().filter_map(socket).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_own = sockets.contains(*fields.get(9)?);
        let queue = fields.get(4)?.split_once(':')?.1;
        is_own.then(|| usize::from_str_radix(queue, 16).ok()).flatten()
    };
    (table.lines().skip(1).filter_map(queued).sum(), links.len())
}
