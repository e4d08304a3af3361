//! Stand-in of a model replica that holds adapters in versions and takes orders to load and unload them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

/// Time that an adapter takes from the weight store.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// Most adapters that may be on their way at once.
const MAX_INCOMING: usize = 4;

/// Time from the begin of a request to its first event, and between two of its events.
const FIRST_EVENT: Duration = Duration::from_millis(50);
const PACE: Duration = Duration::from_millis(20);
const EVENTS: u32 = 20;

#[derive(Default)]
struct State {
    /// Versions of the adapters that are held, and the requests that run on each.
    held: BTreeMap<String, (u32, usize)>,
    incoming: BTreeMap<String, (u32, Instant)>,
    sequence: u64,
    fence: u64,
    running: usize,
}

impl State {
    /// Takes over the adapters that have arrived; a replacement waits until the runs on the adapter have finished.
    fn advance(&mut self) {
        let now = Instant::now();
        let held = &self.held;
        let is_due = |name: &String, ready_at: Instant| {
            now >= ready_at && held.get(name).is_none_or(|(_, runs)| *runs == 0)
        };
        let due: Vec<(String, u32)> = self
            .incoming
            .iter()
            .filter(|(name, (_, ready_at))| is_due(name, *ready_at))
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect();
        for (name, version) in due {
            self.incoming.remove(&name);
            self.held.insert(name, (version, 0));
        }
    }
}

/// One replica.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub model: String,
    pub slots: usize,
    state: Mutex<State>,
}

impl Replica {
    pub fn new(
        id: &str,
        address: SocketAddr,
        born: u64,
        model: &str,
        slots: usize,
        held: &[String],
    ) -> Self {
        let held = held.iter().map(|name| (name.clone(), (1, 0))).collect();
        let state = Mutex::new(State { held, ..State::default() });
        Self { id: id.to_string(), address, born, model: model.to_string(), slots, state }
    }

    /// Serves until the process is killed; prints a line for each request that it begins or rejects, and each order.
    pub fn run(self) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        let replica = Arc::new(self);
        for stream in listener.incoming().flatten() {
            let replica = replica.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || replica.serve_connection(stream));
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            let goes_on = match request.path() {
                "/report" => self.report(&mut writer),
                "/order" => self.order(&request, &mut writer),
                _ => self.answer(&request, &mut writer),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn report(&self, writer: &mut TcpStream) -> bool {
        let mut state = self.state.lock().unwrap();
        state.advance();
        let model = &self.model;
        let held: Vec<String> =
            state.held.iter().map(|(name, (version, _))| format!("\"{name}@{version}\"")).collect();
        let incoming: Vec<String> = state
            .incoming
            .iter()
            .map(|(name, (version, _))| format!("\"{model}/{name}@{version}\""))
            .collect();
        let body = format!(
            r#"{{"stage":"both","models":[{{"name":"{model}","version":1,"adapters":[{}]}}],"incoming":[{}],
            "busy":false,"sequence":{},"waiting":0,"running":{},"kvCacheUsed":1000,"kvCacheTotal":131025,
            "handles":0,"born":{}}}"#,
            held.join(","),
            incoming.join(","),
            state.sequence,
            state.running,
            self.born
        );
        drop(state);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        send(writer, &format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()))
    }

    fn order(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.body).to_string();
        let status = match self.misdirected(request) {
            true => 421,
            false => self.take_order(&body),
        };
        println!("order {body}: {status}");
        send(writer, &format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"))
    }

    fn take_order(&self, body: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        state.advance();
        let (Some(fence), true) = (number(body, "fencingToken"), text(body, "holder").is_some())
        else {
            return 400;
        };
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if number(body, "expectedRevision").is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        let Some(name) = text(body, "adapter") else {
            return 200;
        };
        match text(body, "operation").as_deref() {
            Some("load") => {
                let version = number(body, "version").unwrap_or(1) as u32;
                if state.held.get(&name).is_some_and(|(held, _)| *held >= version) {
                    return 200;
                }
                let is_full = !state.held.contains_key(&name)
                    && state.held.len() + state.incoming.len() >= self.slots;
                if is_full || state.incoming.len() >= MAX_INCOMING {
                    println!("order beyond what the replica holds");
                    return 409;
                }
                state.incoming.insert(name, (version, Instant::now() + LOAD_TIME));
            },
            Some("unload") => match state.held.get(&name) {
                Some((_, 0)) => drop(state.held.remove(&name)),
                Some(_) => return 409,
                None => return 200,
            },
            _ => return 400,
        }
        state.sequence += 1;
        202
    }

    fn misdirected(&self, request: &Message) -> bool {
        let expected = request.header("expect-instance");
        !expected.is_empty() && expected != self.id
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        if id.is_empty() {
            return send(
                writer,
                "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        }
        let adapter = request.header("model").split_once('/').map_or("", |(_, adapter)| adapter);
        let version = {
            let mut state = self.state.lock().unwrap();
            state.advance();
            let is_concerned = state.incoming.contains_key(adapter);
            match state.held.get_mut(adapter) {
                _ if self.misdirected(request) => Err(421),
                // Until the order is complete, requests that it concerns are rejected.
                Some(_) if is_concerned => Err(503),
                Some((version, runs)) => {
                    *runs += 1;
                    Ok(*version)
                },
                None => Err(421),
            }
        };
        let version = match version {
            Ok(version) => version,
            Err(status) => {
                println!("rejects {id}: {status}");
                let rejection = if status == 503 { "Not-Executed: 1\r\n" } else { "" };
                let instance = &self.id;
                return send(
                    writer,
                    &format!(
                        "HTTP/1.1 {status} X\r\n{rejection}Instance-Id: {instance}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                    ),
                );
            },
        };
        println!("begins {id} on {adapter}@{version}");
        let is_whole = self.stream(id, version, writer);
        let mut state = self.state.lock().unwrap();
        if let Some((_, runs)) = state.held.get_mut(adapter) {
            *runs -= 1;
        }
        is_whole
    }

    fn stream(&self, id: &str, version: u32, writer: &mut TcpStream) -> bool {
        thread::sleep(FIRST_EVENT);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nWeight-Versions: {version}\r\n\
             Server-Seal: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if !send(writer, &head) {
            return false;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id} on version {version}\n\n");
            if !send(writer, &format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            thread::sleep(PACE);
        }
        send(writer, "0\r\n\r\n")
    }
}

/// Returns the text of a field of a flat JSON object.
fn text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_string)
}

/// Returns the number of a field of a flat JSON object.
fn number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn send(writer: &mut TcpStream, text: &str) -> bool {
    writer.write_all(text.as_bytes()).is_ok()
}
