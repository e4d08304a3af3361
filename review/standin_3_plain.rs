//! Stand-in of a replica of a plain service. It runs requests of three kinds, by their path:
//!
//! - `/seat/..`: works for a while and answers with a body of known length. A replica in trouble may spoil one in fifty
//!   of these answers: it names a length that never comes to an end, and sends bytes until its caller closes.
//! - `/book/..`: works for a while and answers with neither a length nor chunks; the answer ends with its connection,
//!   as the letter "Parts of prompts, new connections" allows. Half of it is sent while it still works.
//! - `/export/..`: answers at once with a long body of known length, as fast as its caller takes it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

/// Time from the begin of a booking to the first half of its answer.
pub const FIRST_HALF: Duration = Duration::from_millis(150);

/// Time from the first half to the second.
pub const SECOND_HALF: Duration = Duration::from_millis(600);

/// Time that a request for a seat takes.
pub const SEAT_WORK: Duration = Duration::from_millis(100);

/// One in so many answers is spoilt by a replica in trouble, and the bytes and pauses of such an answer.
const SPOILT_EACH: usize = 50;
const SPOILT_BYTES: usize = 64 << 10;
const SPOILT_PAUSE: Duration = Duration::from_millis(10);

/// Length of a trouble, and the time from the begin of one to the begin of the next.
const TROUBLE_LASTS: Duration = Duration::from_secs(5);
const TROUBLE_EACH: Duration = Duration::from_secs(8);

/// When this process gave its first answer for a seat.
static FIRST_SEAT: OnceLock<Instant> = OnceLock::new();

/// Answers that this process has given for seats in its troubles.
static SEATS: AtomicUsize = AtomicUsize::new(0);

/// Whether this replica is in trouble.
static IS_IN_TROUBLE: AtomicBool = AtomicBool::new(false);

/// Length of an export, in bytes.
pub const EXPORT_BYTES: usize = 6 << 20;

/// Returns the whole body of the answer to a booking.
pub fn booking_body(id: &str) -> String {
    let lines: Vec<String> =
        (1..=20).map(|seat| format!("booking {id} line {seat:02}: seat held")).collect();
    format!("{}\nend of booking {id}\n", lines.join("\n"))
}

/// Returns a part of the body of an export.
fn export_part(length: usize) -> Vec<u8> {
    (0..length).map(|index| b'a' + (index % 26) as u8).collect()
}

/// Serves one replica that spoils some of its answers.
#[allow(dead_code)]
pub fn run_in_trouble(id: &str, address: SocketAddr) {
    IS_IN_TROUBLE.store(true, Ordering::Relaxed);
    run(id, address);
}

/// Serves one replica until it is killed; prints a line for each request that it begins or rejects.
pub fn run(id: &str, address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("a free address");
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        let _ = stream.set_nodelay(true);
        thread::spawn(move || serve_connection(&id, stream));
    }
}

fn serve_connection(id: &str, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false) {
        if !answer(id, &request, &mut writer) {
            return;
        }
    }
}

/// Returns whether this replica is in trouble now.
fn is_in_trouble() -> bool {
    let since =
        FIRST_SEAT.get_or_init(Instant::now).elapsed().as_millis() % TROUBLE_EACH.as_millis();
    IS_IN_TROUBLE.load(Ordering::Relaxed) && since < TROUBLE_LASTS.as_millis()
}

/// Answers one request; returns whether the connection goes on.
fn answer(id: &str, request: &Message, writer: &mut TcpStream) -> bool {
    let request_id = request.header("request-id");
    let mut send = |bytes: &[u8]| writer.write_all(bytes).is_ok();
    if request.path() == "/health" {
        return send(
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
        );
    }
    if request_id.is_empty() {
        return send(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    let expected = request.header("expect-instance");
    if !expected.is_empty() && expected != id {
        println!("rejects {request_id}");
        let head = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\n");
        return send(
            format!("{head}Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
        );
    }
    println!("runs {request_id} {}", request.path());
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: {id}.{request_id}\r\n"
    );
    if request.path().starts_with("/export/") {
        let head = format!("{head}Content-Length: {EXPORT_BYTES}\r\n\r\n");
        let part = export_part(64 << 10);
        return send(head.as_bytes()) && (0..EXPORT_BYTES / part.len()).all(|_| send(&part));
    }
    if request.path().starts_with("/seat/") {
        thread::sleep(SEAT_WORK);
        if is_in_trouble() && (SEATS.fetch_add(1, Ordering::Relaxed) + 1) % SPOILT_EACH == 0 {
            println!("spoils {request_id}");
            let mut is_open =
                send(format!("{head}Content-Length: 1000000000000\r\n\r\n").as_bytes());
            while is_open {
                is_open = send(&export_part(SPOILT_BYTES));
                thread::sleep(SPOILT_PAUSE);
            }
            println!("stops {request_id}, as its connection is closed");
            return false;
        }
        let body = format!("seat of {request_id}");
        let is_sent =
            send(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
        println!("ends {request_id}");
        return is_sent;
    }
    let body = booking_body(request_id);
    let (first, second) = body.split_at(body.len() / 2);
    thread::sleep(FIRST_HALF);
    let is_sent = send(format!("{head}Connection: close\r\n\r\n{first}").as_bytes());
    thread::sleep(SECOND_HALF);
    if is_sent && send(second.as_bytes()) {
        println!("ends {request_id}");
    }
    false
}
