//! The platform's store, as PROTOCOL.md describes it: keys, ranges and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_head, read_request_body};

#[derive(Clone)]
struct Item {
    value: Option<String>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Self { address, state }
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let known = state.items.get(key).filter(|item| item.value.is_some());
        let created = known.map_or(revision, |item| item.created);
        let value = Some(base64(value.as_bytes()));
        state.items.insert(key.to_string(), Item { value, revision, created });
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_string(), Item { value: None, revision, created: 0 });
        self.state.1.notify_all();
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= group.len() { sign } else { '=' });
        }
    }
    text
}

fn serve(stream: TcpStream, state: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader) {
        if !read_request_body(&mut reader, &mut request) {
            return;
        }
        let (status, body) = answer(request.path(), state);
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn parameter<'a>(path: &'a str, name: &str) -> &'a str {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    match value {
        Some(value) => format!(
            r#"{{"privateKey":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
        ),
        None => format!(r#"{{"privateKey":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

fn answer(path: &str, state: &(Mutex<State>, Condvar)) -> (u16, String) {
    let prefix = parameter(path, "pathPrefix").to_string();
    let (lock, changed) = state;
    let mut held = lock.lock().unwrap();
    if path.starts_with("/kv-range") {
        let after = parameter(path, "after");
        let items: Vec<String> = held
            .items
            .iter()
            .filter(|(key, item)| {
                key.starts_with(&prefix) && key.as_str() > after && item.value.is_some()
            })
            .map(|(key, item)| item_text(key, item))
            .collect();
        let revision = held.revision;
        let items = items.join(",");
        return (200, format!(r#"{{"items":[{items}],"hasMore":false,"timestamp":{revision}}}"#));
    }
    if path.starts_with("/kv-watch") {
        let after: u64 = parameter(path, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(path, "waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        loop {
            let mut events: Vec<(u64, String)> = held
                .items
                .iter()
                .filter(|(key, item)| key.starts_with(&prefix) && item.revision > after)
                .map(|(key, item)| (item.revision, item_text(key, item)))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let texts: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                let (revision, texts) = (held.revision, texts.join(","));
                return (200, format!(r#"{{"events":[{texts}],"timestamp":{revision}}}"#));
            }
            held = changed.wait_timeout(held, left).unwrap().0;
        }
    }
    (404, String::new())
}
