//! An engine of the users' platform: it runs streams of events in its slots, queues more, and takes orders.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, answer, read_request, serve_at};
use crate::process::Record;

pub const MODEL: &str = "daka510000";

/// Time that an adapter takes from the store of weights.
const LOAD_TIME: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub slots: usize,
    pub queue: usize,
    pub adapter_slots: usize,
    pub events: usize,
    pub event_time: Duration,
}

/// A run that began.
#[derive(Clone, Debug)]
pub struct Begun {
    pub id: String,
    pub adapter: String,
    pub version: u32,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    /// Adapters that are held, with their versions.
    held: Vec<(String, u32)>,
    incoming: Vec<(String, u32)>,
    /// Replacements that wait until the runs of their adapters have ended.
    replacing: Vec<(String, u32)>,
    /// Adapters of the runs.
    running: Vec<String>,
    /// Tickets of those that wait, in their order.
    waiting: VecDeque<u64>,
    next_ticket: u64,
    sequence: u64,
    fence: u64,
    begun: Vec<Begun>,
    /// What an order would have loaded beyond the slots.
    overloads: usize,
}

#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub id: &'static str,
    sizes: Sizes,
    record: &'static Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Engine {
    /// Starts an engine that holds adapters in their first version, at a loopback address.
    pub fn start(
        id: &'static str,
        ip: [u8; 4],
        sizes: Sizes,
        adapters: &[String],
        record: &'static Record,
    ) -> Self {
        let held = adapters.iter().map(|name| (name.clone(), 1)).collect();
        let state = State { held, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared: Arc<Mutex<Option<Engine>>> = Arc::default();
        let served = shared.clone();
        let address = serve_at(ip.into(), move |stream| {
            let engine = served.lock().unwrap().clone();
            if let Some(engine) = engine {
                engine.serve(stream);
            }
        });
        let engine = Self { address, id, sizes, record, state };
        *shared.lock().unwrap() = Some(engine.clone());
        engine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.state().begun.clone()
    }

    pub fn running(&self) -> usize {
        self.state().running.len()
    }

    pub fn overloads(&self) -> usize {
        self.state().overloads
    }

    fn models(state: &State) -> String {
        let names = state.held.iter().map(|(name, version)| format!(r#""{name}@{version}""#));
        let names: Vec<String> = names.collect();
        format!(r#"[{{"name":"{MODEL}","version":1,"adapters":[{}]}}]"#, names.join(","))
    }

    /// The fields of the engine's entry beyond those of any replica.
    pub fn entry_fields(&self) -> String {
        format!(r#","stage":"both","models":{}"#, Self::models(&self.state()))
    }

    fn report(&self) -> String {
        let state = self.state();
        let incoming = state.incoming.iter();
        let incoming: Vec<String> =
            incoming.map(|(name, version)| format!(r#""{MODEL}/{name}@{version}""#)).collect();
        format!(
            r#"{{"stage":"both","models":{},"available":{{"inMemory":["{MODEL}"],"onDisk":["{MODEL}"]}},"incoming":[{}],"busy":false,"sequence":{},"waiting":{},"running":{},"kvCacheUsed":1000,"kvCacheTotal":129799,"handles":0}}"#,
            Self::models(&state),
            incoming.join(","),
            state.sequence,
            state.waiting.len(),
            state.running.len()
        )
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some((head, body)) = read_request(&mut reader) {
            let kind = "Content-Type: application/json\r\n";
            let is_served = match head.target() {
                "/report" => answer(&mut writer, "200 OK", kind, self.report().as_bytes()).is_ok(),
                "/order" => {
                    let status = self.take_order(&head, &String::from_utf8_lossy(&body));
                    answer(&mut writer, status, "", b"").is_ok()
                },
                _ => self.run(&head, &mut writer),
            };
            if !is_served {
                return;
            }
        }
    }

    fn take_order(&self, head: &Head, body: &str) -> &'static str {
        let text = |name: &str| field(body, name).unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let mut state = self.state();
        let status = self.judge_order(&mut state, head, &text, &number);
        drop(state);
        self.state.1.notify_all();
        self.record.line(format!("engine: order {body} -> {status}"));
        status
    }

    fn judge_order(
        &self,
        state: &mut State,
        head: &Head,
        text: &dyn Fn(&str) -> String,
        number: &dyn Fn(&str) -> Option<u64>,
    ) -> &'static str {
        let expected = head.get("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return "421 Misdirected Request";
        }
        let (Some(fence), false) = (number("fencingToken"), text("holder").is_empty()) else {
            return "400 Bad Request";
        };
        if fence < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = fence;
        if number("expectedRevision").is_some_and(|expected| expected != state.sequence) {
            return "409 Conflict";
        }
        let (adapter, version) = (text("adapter"), number("version").unwrap_or(1) as u32);
        let held =
            state.held.iter().find(|(name, _)| *name == adapter).map(|(_, version)| *version);
        match (text("operation").as_str(), held) {
            ("unload", Some(_)) => {
                if state.running.contains(&adapter) {
                    return "409 Conflict";
                }
                state.held.retain(|(name, _)| *name != adapter);
                state.sequence += 1;
                "200 OK"
            },
            ("load", Some(held)) if held >= version => "200 OK",
            ("load", Some(_)) => {
                state.sequence += 1;
                state.replacing.push((adapter, version));
                "202 Accepted"
            },
            ("load", None) if !adapter.is_empty() => {
                if state.held.len() + state.incoming.len() >= self.sizes.adapter_slots {
                    state.overloads += 1;
                    return "400 Bad Request";
                }
                state.sequence += 1;
                state.incoming.push((adapter.clone(), version));
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(LOAD_TIME);
                    let mut state = engine.state();
                    state.incoming.retain(|(name, _)| *name != adapter);
                    state.held.push((adapter, version));
                });
                "202 Accepted"
            },
            _ => "400 Bad Request",
        }
    }

    /// Runs a request. Returns whether the connection carries on.
    fn run(&self, head: &Head, writer: &mut TcpStream) -> bool {
        let id = head.get("request-id").to_string();
        let named = head.get("model");
        let adapter = named.split_once('/').map_or("", |(_, adapter)| adapter).to_string();
        let expected = head.get("expect-instance");
        let mut state = self.state();
        let held =
            state.held.iter().find(|(name, _)| *name == adapter).map(|(_, version)| *version);
        let wants = head.get("expect-version").parse::<u32>().ok();
        let echo = format!("Request-Id: {id}\r\nInstance-Id: {}\r\nNot-Executed: 1\r\n", self.id);
        let refused = match held {
            _ if id.is_empty() => Some("400 Bad Request"),
            _ if !expected.is_empty() && expected != self.id => Some("421 Misdirected Request"),
            None => Some("421 Misdirected Request"),
            Some(version) if wants.is_some_and(|wanted| wanted != version) => {
                Some("421 Misdirected Request")
            },
            Some(_) if state.waiting.len() >= self.sizes.queue => Some("503 Service Unavailable"),
            Some(_) => None,
        };
        if let Some(status) = refused {
            drop(state);
            return answer(writer, status, &echo, b"").is_ok();
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.push_back(ticket);
        self.record
            .line(format!("engine: {id} for {adapter} arrives, waiting {}", state.waiting.len()));
        loop {
            let is_replaced = state.replacing.iter().any(|(name, _)| *name == adapter);
            let is_first = state.waiting.front() == Some(&ticket);
            if is_replaced || has_left(writer) {
                state.waiting.retain(|other| *other != ticket);
                drop(state);
                self.state.1.notify_all();
                self.record.line(format!("engine: {id} not run, replaced {is_replaced}"));
                return answer(writer, "503 Service Unavailable", &echo, b"").is_ok();
            }
            if is_first && state.running.len() < self.sizes.slots {
                break;
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
        }
        state.waiting.pop_front();
        state.running.push(adapter.clone());
        let version = state.held.iter().find(|(name, _)| *name == adapter).map_or(0, |it| it.1);
        let begun = Begun { id: id.clone(), adapter: adapter.clone(), version, at: Instant::now() };
        state.begun.push(begun);
        drop(state);
        self.state.1.notify_all();
        self.record.line(format!("engine: {id} begins on {adapter}@{version}"));
        let last = head.get("last-event-id").parse().unwrap_or(0);
        let is_whole = self.send_events(&id, version, last, writer);
        let mut state = self.state();
        if let Some(index) = state.running.iter().position(|other| *other == adapter) {
            state.running.remove(index);
        }
        if !state.running.contains(&adapter)
            && let Some(index) = state.replacing.iter().position(|(name, _)| *name == adapter)
        {
            let replacement = state.replacing.remove(index);
            state.held.retain(|(name, _)| *name != adapter);
            state.held.push(replacement);
        }
        drop(state);
        self.state.1.notify_all();
        is_whole
    }

    fn send_events(&self, id: &str, version: u32, last: usize, writer: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-of-{id}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=self.sizes.events {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if writer.write_all(chunk.as_bytes()).is_err() || has_left(writer) {
                return false;
            }
            thread::sleep(self.sizes.event_time);
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Whether the other side has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Value of a field of a flat JSON object, as text.
fn field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split_once('"').map(|(value, _)| value.to_string()),
        None => rest.split([',', '}']).next().map(|value| value.trim().to_string()),
    }
}
