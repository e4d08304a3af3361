//! The platform's store, as far as relays call it: ranges and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, read_request, serve};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    removed: BTreeMap<String, u64>,
    revision: u64,
    /// Number of times that the waiting watches were cut.
    cuts: u64,
    waiting: usize,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 100;
        let shared = state.clone();
        let address = serve(move |stream| serve_calls(stream, &shared));
        Self { address, state }
    }

    /// Writes a value, and returns when the store has taken it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: base64(value.as_bytes()), revision, created };
        state.items.insert(key.to_string(), item);
        state.removed.remove(key);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Removes a key, and returns when the store has taken that.
    pub fn remove(&self, key: &str) -> Instant {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.removed.insert(key.to_string(), revision);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Number of watches that wait now.
    pub fn waiting(&self) -> usize {
        self.state.0.lock().unwrap().waiting
    }

    /// Closes the connections of the watches that wait now, without an answer.
    pub fn cut_watches(&self) {
        self.state.0.lock().unwrap().cuts += 1;
        self.state.1.notify_all();
    }
}

fn serve_calls(stream: TcpStream, state: &Arc<(Mutex<State>, Condvar)>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some((head, _)) = read_request(&mut reader) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value).to_string()
        };
        let body = match path {
            "/kv-range" => Some(range(state, &value("pathPrefix"), &value("after"))),
            "/kv-watch" => {
                let after = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("waitMs").parse().unwrap_or(0));
                watch(state, &value("pathPrefix"), after, wait)
            },
            _ => Some(String::new()),
        };
        let Some(body) = body else { return };
        let status = if body.is_empty() { "404 Not Found" } else { "200 OK" };
        let kind = "Content-Type: application/json\r\n";
        if answer(&mut writer, status, kind, body.as_bytes()).is_err() {
            return;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"privateKey":"{key}","value":"{}","revision":{},"created":{},"lease":0}}"#,
        item.value, item.revision, item.created
    )
}

fn range(state: &Arc<(Mutex<State>, Condvar)>, prefix: &str, after: &str) -> String {
    let state = state.0.lock().unwrap();
    let is_asked = |key: &str| key.starts_with(prefix) && key > after;
    let items = state.items.iter().filter(|(key, _)| is_asked(key));
    let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
    format!(r#"{{"items":[{}],"hasMore":false,"timestamp":{}}}"#, items.join(","), state.revision)
}

/// Answers a watch; `None` if it is cut.
fn watch(
    state: &Arc<(Mutex<State>, Condvar)>,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> Option<String> {
    let end = Instant::now() + wait;
    let mut guard = state.0.lock().unwrap();
    let cuts = guard.cuts;
    loop {
        let changed = guard
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
        let mut events: Vec<(u64, String)> =
            changed.map(|(key, item)| (item.revision, item_json(key, item))).collect();
        let removed =
            guard.removed.iter().filter(|(key, at)| key.starts_with(prefix) && **at > after);
        events.extend(removed.map(|(key, at)| {
            (*at, format!(r#"{{"privateKey":"{key}","revision":{at},"tombstone":true}}"#))
        }));
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            events.sort();
            let events: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
            let revision = guard.revision;
            return Some(format!(r#"{{"events":[{}],"timestamp":{revision}}}"#, events.join(",")));
        }
        guard.waiting += 1;
        guard = state.1.wait_timeout(guard, left).unwrap().0;
        guard.waiting -= 1;
        if guard.cuts != cuts {
            return None;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= part.len() { sign } else { '=' });
        }
    }
    text
}
