//! Stand-in of a replica of a plain service. It runs requests of three kinds, by their path:
//!
//! - `/seat/..`: works for a while and answers with a body of known length.
//! - `/book/..`: works for a while and answers with neither a length nor chunks; the answer ends with its connection,
//!   as the letter "Parts of prompts, new connections" allows. Half of it is sent while it still works.
//! - `/export/..`: answers at once with a long body of known length, as fast as its caller takes it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::{Message, read_message};

/// Time from the begin of a booking to the first half of its answer.
pub const FIRST_HALF: Duration = Duration::from_millis(150);

/// Time from the first half to the second.
pub const SECOND_HALF: Duration = Duration::from_millis(600);

/// Time that a request for a seat takes.
pub const SEAT_WORK: Duration = Duration::from_millis(100);

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

/// Answers one request; returns whether the connection goes on.
fn answer(id: &str, request: &Message, writer: &mut TcpStream) -> bool {
    let request_id = request.header("request-id");
    let mut send = |bytes: &[u8]| writer.write_all(bytes).is_ok();
    if request.path() == "/health" {
        return send(format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    }
    if request_id.is_empty() {
        return send(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    let expected = request.header("expect-instance");
    if !expected.is_empty() && expected != id {
        println!("rejects {request_id}");
        let head = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\n");
        return send(format!("{head}Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    }
    println!("runs {request_id} {}", request.path());
    let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: {id}.{request_id}\r\n");
    if request.path().starts_with("/export/") {
        let head = format!("{head}Content-Length: {EXPORT_BYTES}\r\n\r\n");
        let part = export_part(64 << 10);
        return send(head.as_bytes()) && (0..EXPORT_BYTES / part.len()).all(|_| send(&part));
    }
    if request.path().starts_with("/seat/") {
        thread::sleep(SEAT_WORK);
        let body = format!("seat of {request_id}");
        let is_sent = send(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
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
