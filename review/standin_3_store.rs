//! Stand-in of the platform's metadata store: keys with revisions, ranges and watches, as PROTOCOL.md tells.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, serve};

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
    /// Watches that wait now, by their prefix.
    waiting: BTreeMap<String, usize>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("a bound address");
        let state = State { revision: 100, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        serve(listener, move |stream| served.serve_connection(stream));
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        state.removed.remove(key);
        state.items.insert(key.to_string(), Item { value: base64(value), revision, created });
        changed.notify_all();
    }

    #[allow(dead_code)]
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.removed.insert(key.to_string(), revision);
            changed.notify_all();
        }
    }

    /// Cuts all watches that wait now: their connections are closed without an answer.
    #[allow(dead_code)]
    pub fn cut_watches(&self) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().cuts += 1;
        changed.notify_all();
    }

    /// Waits until a watch has waited for a while; returns whether one did.
    #[allow(dead_code)]
    pub fn await_watch(&self, prefix: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut since = None;
        while Instant::now() < end {
            let waits =
                self.shared.0.lock().unwrap().waiting.get(prefix).is_some_and(|count| *count > 0);
            since = if waits { since.or(Some(Instant::now())) } else { None };
            if since.is_some_and(|since| since.elapsed() >= Duration::from_millis(100)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            let Some((status, body)) = self.answer(&request) else { return };
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Status and body of an answer; `None` for a watch that was cut.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let prefix = request.parameter("pathPrefix");
        let path = request.path().split('?').next().unwrap_or("");
        match path {
            "/kv-range" => {
                let state = self.shared.0.lock().unwrap();
                let after = request.parameter("after");
                let all = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
                let page: Vec<_> = all.filter(|(key, _)| key.as_str() > after).take(501).collect();
                let has_more = page.len() > 500;
                let items: Vec<String> =
                    page.iter().take(500).map(|(key, item)| item_text(key, item)).collect();
                let (items, revision) = (items.join(","), state.revision);
                Some((
                    200,
                    format!(r#"{{"items":[{items}],"hasMore":{has_more},"timestamp":{revision}}}"#),
                ))
            },
            "/kv-watch" => self.watch(request, prefix),
            _ => Some((404, String::new())),
        }
    }

    fn watch(&self, request: &Message, prefix: &str) -> Option<(u16, String)> {
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let cuts = state.cuts;
        loop {
            let mut events: Vec<(u64, String)> = Vec::new();
            for (key, item) in state.items.iter().filter(|(key, _)| key.starts_with(prefix)) {
                events.push((item.revision, item_text(key, item)));
            }
            for (key, revision) in state.removed.iter().filter(|(key, _)| key.starts_with(prefix)) {
                let text =
                    format!(r#"{{"privateKey":"{key}","revision":{revision},"tombstone":true}}"#);
                events.push((*revision, text));
            }
            events.retain(|(revision, _)| *revision > after);
            events.sort();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                let (events, revision) = (events.join(","), state.revision);
                return Some((200, format!(r#"{{"events":[{events}],"timestamp":{revision}}}"#)));
            }
            *state.waiting.entry(prefix.to_string()).or_default() += 1;
            state = changed.wait_timeout(state, left).unwrap().0;
            *state.waiting.entry(prefix.to_string()).or_default() -= 1;
            if state.cuts > cuts {
                return None;
            }
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    format!(
        r#"{{"privateKey":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

/// Standard base64 with padding.
fn base64(text: &str) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in text.as_bytes().chunks(3) {
        let bytes = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let bits = (u32::from(bytes[0]) << 16) | (u32::from(bytes[1]) << 8) | u32::from(bytes[2]);
        for index in 0..4 {
            let is_padding = index > part.len();
            let sign = SIGNS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            out.push(if is_padding { '=' } else { sign });
        }
    }
    out
}
