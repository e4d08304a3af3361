//! Stand-in of a model replica: it answers requests of a streaming route with events of rising ids, goes on after
//! `Last-Event-Id`, answers `GET /report`, and takes no orders, as it holds what the case asks for.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Message, read_message};

/// Time from the begin of a request to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(100);

/// What one replica is and does.
#[derive(Clone, Debug)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub model: String,
    /// Version of its software, which shows in all that it writes.
    pub software: String,
    /// Events of a whole stream, and the time between two of them.
    pub events: u32,
    pub pace: Duration,
}

/// Returns one event of a stream; the text tells which stream it is of, and which software wrote it.
pub fn event(stream: &str, number: u32, software: &str) -> String {
    format!("id: {number}\ndata: {stream} piece {number} by {software}\n\n")
}

impl Engine {
    /// Serves until the process is killed; prints a line for each request that it begins, ends or rejects.
    pub fn run(self) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        let (engine, running) = (Arc::new(self), Arc::new(AtomicUsize::new(0)));
        for stream in listener.incoming().flatten() {
            let (engine, running) = (engine.clone(), running.clone());
            let _ = stream.set_nodelay(true);
            thread::spawn(move || engine.serve_connection(stream, &running));
        }
    }

    fn serve_connection(&self, stream: TcpStream, running: &AtomicUsize) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            if !self.answer(&request, &mut writer, running) {
                return;
            }
        }
    }

    /// Answers one request; returns whether the connection goes on.
    fn answer(&self, request: &Message, writer: &mut TcpStream, running: &AtomicUsize) -> bool {
        let id = request.header("request-id");
        match request.path() {
            "/report" => {
                let (model, count, born) = (&self.model, running.load(Ordering::Relaxed), self.born);
                let body = format!(
                    r#"{{"stage":"both","models":[{{"name":"{model}","version":1,"adapters":[]}}],"busy":false,
                    "sequence":0,"waiting":0,"running":{count},"kvCacheUsed":1000,"kvCacheTotal":129799,"handles":0,
                    "born":{born}}}"#
                );
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                return send(writer, &format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()));
            },
            "/order" => {
                println!("order");
                return send(writer, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
            },
            _ if id.is_empty() => {
                return send(writer, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            },
            _ => {},
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            println!("rejects {id}");
            let instance = &self.id;
            return send(writer, &format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {instance}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        println!("runs {id} after '{}'", request.header("last-event-id"));
        running.fetch_add(1, Ordering::Relaxed);
        let is_whole = self.stream(request, writer);
        running.fetch_sub(1, Ordering::Relaxed);
        println!("{} {id}", if is_whole { "ends" } else { "stops, as its connection is closed," });
        is_whole
    }

    fn stream(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        // Both attempts of a caller name the same path, so the text of a stream is that of its path.
        let stream = request.path().rsplit('/').next().unwrap_or("");
        let first = request.header("last-event-id").parse().map_or(1, |last: u32| last + 1);
        thread::sleep(FIRST_EVENT);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Server-Seal: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if !send(writer, &head) {
            return false;
        }
        for number in first..=self.events {
            let event = event(stream, number, &self.software);
            if !send(writer, &format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            thread::sleep(self.pace);
        }
        send(writer, "0\r\n\r\n")
    }
}

fn send(writer: &mut TcpStream, text: &str) -> bool {
    writer.write_all(text.as_bytes()).is_ok()
}
