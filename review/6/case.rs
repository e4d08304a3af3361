//! A replica whose answers have both a wrong `Content-Length` and chunks.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, read_head, read_request, serve};
use crate::process::{Record, Relay};
use crate::site::{HOST, config, entry, route, service};
use crate::store::Store;

const REPLICAS: usize = 2;
const CALLERS: usize = 8;
const REQUESTS_OF_A_CALLER: usize = 250;
/// The replica in trouble spoils one of so many of its answers.
const SPOILED_ONE_OF: usize = 50;
const WORK: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_millis(1000);

/// Body of the answer to a request.
fn body_of(id: &str) -> String {
    format!("record of {id}: {}", "0123456789".repeat(20))
}

#[derive(Default)]
struct Counts {
    run: AtomicUsize,
    shorter: AtomicUsize,
    longer: AtomicUsize,
}

/// A replica. In trouble, some of its answers name a length that is not that of their chunks.
fn serve_replica(stream: TcpStream, is_in_trouble: bool, counts: &Counts, record: &Record) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((head, _)) = read_request(&mut reader) {
        let id = head.get("request-id").to_string();
        if id.is_empty() {
            let refusal =
                "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            let _ = writer.write_all(refusal.as_bytes());
            continue;
        }
        let number = counts.run.fetch_add(1, Ordering::Relaxed);
        thread::sleep(WORK);
        let body = body_of(&id);
        let begin = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-of-{id}\r\n");
        let is_spoiled = is_in_trouble && number % SPOILED_ONE_OF == SPOILED_ONE_OF - 1;
        let text = match is_spoiled {
            false => format!("{begin}Content-Length: {}\r\n\r\n{body}", body.len()),
            true => {
                let is_shorter = number / SPOILED_ONE_OF % 2 == 0;
                let told = if is_shorter { body.len() / 2 } else { body.len() * 2 };
                let count = if is_shorter { &counts.shorter } else { &counts.longer };
                count.fetch_add(1, Ordering::Relaxed);
                record
                    .line(format!("{id}: spoiled, {} bytes in chunks, length {told}", body.len()));
                let framing = format!("Content-Length: {told}\r\nTransfer-Encoding: chunked");
                format!("{begin}{framing}\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
            },
        };
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// What callers saw.
#[derive(Default)]
struct Seen {
    counts: Mutex<HashMap<String, usize>>,
}

impl Seen {
    fn note(&self, what: &str) {
        *self.counts.lock().unwrap().entry(what.to_string()).or_default() += 1;
    }

    fn count(&self, what: &str) -> usize {
        self.counts.lock().unwrap().get(what).copied().unwrap_or(0)
    }
}

const PART_OF_BODY: &str = "success with a part of the body";
const NO_ANSWER: &str = "bytes that are no answer";
const NO_REQUEST: &str = "bytes while no request waits";
const FOREIGN: &str = "success for another request";
const UNSEALED: &str = "success without the seal";
const ENDLESS: &str = "success whose body did not come to its end by the deadline";

/// One request on a kept connection. Returns whether the connection may carry another one.
fn ask(connection: &mut Connection, id: &str, seen: &Seen, record: &Record) -> bool {
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Remaining: {}\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    );
    let end = Instant::now() + DEADLINE;
    if connection.send(request.as_bytes()).is_err() || connection.wait_until(end).is_err() {
        seen.note("connection closed");
        return false;
    }
    let head = match read_head(&mut connection.reader) {
        Ok(Some(head)) => head,
        Ok(None) | Err(_) => {
            seen.note("no answer");
            return false;
        },
    };
    if !head.first_line.starts_with("HTTP/1.1 ") {
        record.line(format!("{id}: in place of an answer came {:?}", head.first_line));
        seen.note(NO_ANSWER);
        return false;
    }
    let Ok(body) = connection.read_body(&head) else {
        let is_success = head.status() / 100 == 2;
        record.line(format!(
            "{id}: status {}, body did not end, {}",
            head.status(),
            framing(&head)
        ));
        seen.note(if is_success { ENDLESS } else { "failure whose body did not end" });
        return false;
    };
    if head.status() / 100 != 2 {
        seen.note(&format!("status {}", head.status()));
        return true;
    }
    let is_own = head.get("request-id") == id;
    let is_sealed = head.get("server-seal") == format!("seal-of-{id}");
    let is_whole = body == body_of(id).as_bytes();
    let what = match (is_own, is_sealed, is_whole) {
        (true, true, true) => "whole answer",
        (false, _, _) => FOREIGN,
        (_, false, _) => UNSEALED,
        (_, _, false) => PART_OF_BODY,
    };
    if what != "whole answer" {
        let (got, whole) = (body.len(), body_of(id).len());
        record.line(format!("{id}: {what}: {got} of {whole} bytes, {}", framing(&head)));
    }
    seen.note(what);
    true
}

fn framing(head: &Head) -> String {
    let (length, coding) = (head.get("content-length"), head.get("transfer-encoding"));
    format!("content-length '{length}', transfer-encoding '{coding}'")
}

fn call(caller: usize, relay: std::net::SocketAddr, seen: &Seen, record: &Record) {
    let mut open: Option<Connection> = None;
    for number in 0..REQUESTS_OF_A_CALLER {
        let id = format!("c{caller}-{number}");
        let mut connection = match open.take().map_or_else(|| Connection::open(relay), Ok) {
            Ok(connection) => connection,
            Err(_) => {
                seen.note("no connection");
                continue;
            },
        };
        if ask(&mut connection, &id, seen, record) {
            // A caller that waits for nothing looks for bytes now and then; most of its connections it reuses at once.
            if number % 2 == 0 && has_bytes(&mut connection) {
                record.line(format!(
                    "{id}: after its answer, while no request waits, came more bytes"
                ));
                seen.note(NO_REQUEST);
                continue;
            }
            open = Some(connection);
        }
    }
}

fn has_bytes(connection: &mut Connection) -> bool {
    let _ = connection.wait_until(Instant::now() + Duration::from_millis(5));
    matches!(std::io::BufRead::fill_buf(&mut connection.reader), Ok(bytes) if !bytes.is_empty())
}

pub fn run(record: &'static Record, has_trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start();
    let routes = [route("/puxa403/", "unsafe", "wuno96b", 1000, "")];
    store.put("op/config", &config(7, &routes, &[service("wuno96b")]));
    let seen = Seen::default();
    let counts: Vec<Arc<Counts>> = (0..REPLICAS).map(|_| Arc::default()).collect();
    for (index, counts) in counts.iter().enumerate() {
        let counts = counts.clone();
        let is_in_trouble = has_trouble && index == 0;
        let address = serve(move |stream| serve_replica(stream, is_in_trouble, &counts, record));
        store.put(&format!("servers/i-{index}"), &entry("wuno96b", address, ""));
    }
    let relay = Relay::start(store.address, crate::http::free_port()).map_err(text)?;
    relay.wait_ready()?;
    thread::sleep(Duration::from_millis(700));
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (address, seen) = (relay.callers, &seen);
            scope.spawn(move || call(caller, address, seen, record));
        }
    });
    for (index, counts) in counts.iter().enumerate() {
        let count = |of: &AtomicUsize| of.load(Ordering::Relaxed);
        record.say(format!(
            "replica {index}: ran {}, spoiled {} with a shorter and {} with a longer length",
            count(&counts.run),
            count(&counts.shorter),
            count(&counts.longer)
        ));
    }
    let mut lines: Vec<(String, usize)> = seen.counts.lock().unwrap().clone().into_iter().collect();
    lines.sort();
    for (what, count) in lines {
        record.say(format!("callers: {count} x {what}"));
    }
    if seen.count("whole answer") < CALLERS * REQUESTS_OF_A_CALLER / 2 {
        return Err("most requests were not answered".to_string());
    }
    let broken = [PART_OF_BODY, NO_ANSWER, NO_REQUEST, FOREIGN, UNSEALED];
    Ok(broken.iter().all(|what| seen.count(what) == 0))
}
