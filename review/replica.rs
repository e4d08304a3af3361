//! A replica as a process of its own: of a plain service, or of an engine that streams events.
//!
//! What it runs and refuses goes to standard output, a line each; commands come on standard input.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_head, read_request_body, Message};

struct Replica {
    id: String,
    born: u64,
    is_engine: bool,
    model: String,
    slots: usize,
    queue: usize,
    /// Shortest and longest time of work on a request that is no stream, in ms.
    work_ms: (u64, u64),
    /// Bytes of the body of an answer that is no stream.
    bytes: usize,
    events: usize,
    event_ms: u64,
    /// Every so many-th stream has neither a length nor chunks; 0 for none.
    unframed_each: u64,
    /// Every so many-th answer is sent a second time, late; 0 for none.
    extra_each: AtomicU64,
    extra_ms: u64,
    answers: AtomicU64,
    streams: AtomicU64,
    load: (Mutex<Load>, Condvar),
    draws: AtomicU64,
    extras: AtomicUsize,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

fn say(text: String) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.write_all(b"\n");
    let _ = out.flush();
}

pub fn run(arguments: &[String]) {
    let given: BTreeMap<&str, &str> =
        arguments.iter().filter_map(|argument| argument.split_once('=')).collect();
    let text = |name: &str| given.get(name).copied().unwrap_or("").to_string();
    let number = |name: &str, default: u64| {
        given.get(name).and_then(|value| value.parse().ok()).unwrap_or(default)
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let replica = Arc::new(Replica {
        id: text("id"),
        born,
        is_engine: text("kind") == "engine",
        model: text("model"),
        slots: number("slots", 6) as usize,
        queue: number("queue", 24) as usize,
        work_ms: (number("work_min", 15), number("work_max", 45)),
        bytes: number("bytes", 800) as usize,
        events: number("events", 30) as usize,
        event_ms: number("event_ms", 100),
        unframed_each: number("unframed_each", 0),
        extra_each: AtomicU64::new(0),
        extra_ms: number("extra_ms", 30),
        answers: AtomicU64::new(0),
        streams: AtomicU64::new(0),
        load: (Mutex::default(), Condvar::new()),
        draws: AtomicU64::new(born),
        extras: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind(text("listen")).expect("the replica's address is free");
    say(format!("UP {} {born}", replica.id));
    let accepting = replica.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let replica = accepting.clone();
            thread::spawn(move || serve(&replica, stream));
        }
    });
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        if let Some(each) = line.strip_prefix("extra late ") {
            replica.extra_each.store(each.parse().unwrap_or(0), Ordering::Relaxed);
        }
    }
}

fn serve(replica: &Arc<Replica>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(writer));
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader) {
        if !read_request_body(&mut reader, &mut request) {
            return;
        }
        let goes_on = match (request.method(), request.path()) {
            ("GET", "/health") => {
                let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n", replica.id);
                send(&writer, format!("{head}Content-Length: 0\r\n\r\n").as_bytes())
            },
            ("GET", "/report") => send_json(&writer, 200, &report(replica)),
            ("POST", "/order") => send_json(&writer, 200, "{}"),
            _ => handle(replica, &request, &writer),
        };
        if !goes_on {
            return;
        }
    }
}

fn send(writer: &Mutex<TcpStream>, bytes: &[u8]) -> bool {
    writer.lock().unwrap().write_all(bytes).is_ok()
}

fn send_json(writer: &Mutex<TcpStream>, status: u16, body: &str) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n");
    send(writer, format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

fn report(replica: &Replica) -> String {
    let load = replica.load.0.lock().unwrap();
    format!(
        r#"{{"stage":"both","models":[{{"name":"{}","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":{},"running":{},"kvCacheUsed":1000,"kvCacheTotal":129799,"handles":0,"incoming":[],"born":{}}}"#,
        replica.model, load.waiting, load.running, replica.born
    )
}

/// Sends an answer, and when its turn comes a late copy of it, which belongs to no request.
fn send_answer(replica: &Arc<Replica>, writer: &Arc<Mutex<TcpStream>>, text: String, id: &str) -> bool {
    if !send(writer, text.as_bytes()) {
        return false;
    }
    let number = replica.answers.fetch_add(1, Ordering::Relaxed) + 1;
    let each = replica.extra_each.load(Ordering::Relaxed);
    if each > 0 && number % each == 0 {
        let (writer, id, after) = (writer.clone(), id.to_string(), replica.extra_ms);
        let replica = replica.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(after));
            let status = text.get(9..12).unwrap_or("").to_string();
            if send(&writer, text.as_bytes()) {
                replica.extras.fetch_add(1, Ordering::Relaxed);
                say(format!("EXTRA {id} {status}"));
            }
        });
    }
    true
}

/// Takes a place; `None` when the replica is full or the deadline passes in its queue.
fn take_place(replica: &Replica, deadline: Instant) -> Option<()> {
    let (lock, changed) = &replica.load;
    let mut load = lock.lock().unwrap();
    if load.running >= replica.slots && load.waiting >= replica.queue {
        return None;
    }
    load.waiting += 1;
    while load.running >= replica.slots {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            load.waiting -= 1;
            return None;
        }
        load = changed.wait_timeout(load, left).unwrap().0;
    }
    load.waiting -= 1;
    load.running += 1;
    Some(())
}

fn give_place(replica: &Replica) {
    replica.load.0.lock().unwrap().running -= 1;
    replica.load.1.notify_one();
}

fn draw(replica: &Replica, least: u64, most: u64) -> u64 {
    let seed = replica.draws.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    let mut word = seed ^ (seed >> 30);
    word = word.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    word ^= word >> 27;
    word = word.wrapping_mul(0x94D0_49BB_1331_11EB);
    least + (word >> 33) % (most - least + 1)
}

fn handle(replica: &Arc<Replica>, request: &Message, writer: &Arc<Mutex<TcpStream>>) -> bool {
    let id = request.header("request-id").to_string();
    let expected = request.header("expect-instance");
    if id.is_empty() {
        let text = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return send(writer, text.as_bytes());
    }
    if !expected.is_empty() && expected != replica.id {
        let head = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\n", replica.id);
        let text = format!("{head}Content-Length: 0\r\n\r\n");
        return send_answer(replica, writer, text, &id);
    }
    let left: f64 = request.header("deadline-remaining").parse().unwrap_or(15_000.0);
    let deadline = Instant::now() + Duration::from_millis(left as u64);
    if take_place(replica, deadline).is_none() {
        say(format!("SHED {id} {}", replica.id));
        let text = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return send_answer(replica, writer, text.to_string(), &id);
    }
    say(format!("RAN {id} {}", replica.id));
    let goes_on = match replica.is_engine {
        true => stream(replica, &id, writer),
        false => {
            let (least, most) = replica.work_ms;
            thread::sleep(Duration::from_millis(draw(replica, least, most)));
            let body = "x".repeat(replica.bytes);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{}.{id}\r\n",
                replica.id
            );
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            send_answer(replica, writer, text, &id)
        },
    };
    give_place(replica);
    goes_on
}

/// Streams all events of an answer, each in a write of its own.
fn stream(replica: &Replica, id: &str, writer: &Mutex<TcpStream>) -> bool {
    let number = replica.streams.fetch_add(1, Ordering::Relaxed) + 1;
    let is_unframed = replica.unframed_each > 0 && number % replica.unframed_each == 0;
    thread::sleep(Duration::from_millis(replica.event_ms));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{}.{id}\r\nContent-Type: text/event-stream\r\n",
        replica.id
    );
    let rest = match is_unframed {
        true => "Connection: close\r\n\r\n",
        false => "Transfer-Encoding: chunked\r\n\r\n",
    };
    if is_unframed {
        say(format!("UNFRAMED {id} {}", replica.id));
    }
    if !send(writer, format!("{head}{rest}").as_bytes()) {
        return false;
    }
    for event in 1..=replica.events {
        let text = format!("id: {event}\ndata: piece {event} of {} for {id}\n\n", replica.events);
        let text = match is_unframed {
            true => text,
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        if !send(writer, text.as_bytes()) {
            return false;
        }
        thread::sleep(Duration::from_millis(replica.event_ms));
    }
    if is_unframed {
        // The connection's end is the answer's end.
        let _ = writer.lock().unwrap().shutdown(std::net::Shutdown::Both);
        return false;
    }
    send(writer, b"0\r\n\r\n")
}
