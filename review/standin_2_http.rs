//! HTTP/1.1 over blocking sockets of the loopback interface: what clients, replicas and the store of a case need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Status of an answer, or 0.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `Ok(None)` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    if reader.read_line(&mut head.first_line)? == 0 {
        return Ok(None);
    }
    head.first_line = head.first_line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        head.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads a request with its body; `None` if the connection ends.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(Head, Vec<u8>)> {
    let head = read_head(reader).ok()??;
    let length = head.get("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Listens on a free port of the loopback address and serves each connection in a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    serve_at(Ipv4Addr::LOCALHOST, handle)
}

/// The same at another loopback address.
pub fn serve_at(ip: Ipv4Addr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// Ports from which free ones are chosen: below those that the system gives to connections that are opened.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

static LAST_PORT: AtomicU32 = AtomicU32::new(0);

/// A port that is free for connections and datagrams, and that this process has not chosen before.
pub fn free_port() -> u16 {
    let begin = std::process::id().wrapping_mul(97);
    loop {
        let number = begin.wrapping_add(LAST_PORT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (number % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

/// Answers with a whole body.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text)
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, text: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(text)
    }

    /// Bounds the time that the next reads wait.
    pub fn wait_until(&self, end: Instant) -> io::Result<()> {
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.reader.get_ref().set_read_timeout(Some(left))
    }

    /// Reads the body of an answer as its head frames it.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let mut line = String::new();
                self.reader.read_line(&mut line)?;
                let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
                let length = usize::from_str_radix(line.trim(), 16).map_err(bad)?;
                let mut chunk = vec![0; length + 2];
                self.reader.read_exact(&mut chunk)?;
                if length == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk[..length]);
            }
        }
        if let Ok(length) = head.get("content-length").parse::<usize>() {
            body.resize(length, 0);
            self.reader.read_exact(&mut body)?;
            return Ok(body);
        }
        self.reader.read_to_end(&mut body)?;
        Ok(body)
    }
}
