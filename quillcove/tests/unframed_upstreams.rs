//! Upstreams whose answers have neither a length nor chunks and end with their connection, at the product's own edge:
//! an entry and agents as processes.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::{ProcessSite, SiteSize, call, verdict, wait_until};
use http::Method;
use serde_json::json;

/// Time between looks for a connection.
const LOOK_PAUSE: Duration = Duration::from_millis(2);

/// Paths of the requests that callers send; the others are the agent's own.
const DATA_PATHS: [&str; 2] = ["/v1/completions", "/do/"];

/// What the upstream does with the next answer.
#[derive(Clone, Default)]
struct UpstreamFate {
    /// It exits after half of the answer.
    cuts_next: Arc<AtomicBool>,
    /// It ends the head before the line with the length.
    spoils_next: Arc<AtomicBool>,
    has_exited: Arc<AtomicBool>,
}

/// Starts an upstream that passes requests on to another one, and its answers back without framing.
fn unframed_upstream(target: SocketAddr) -> (SocketAddr, UpstreamFate) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let fate = UpstreamFate::default();
    let seen = fate.clone();
    thread::spawn(move || {
        while !seen.has_exited.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(LOOK_PAUSE);
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            let seen = seen.clone();
            thread::spawn(move || drop(pass_on(stream, target, &seen)));
        }
    });
    (address, fate)
}

/// Passes one request on. Answers to the agent's own requests stay as they are.
fn pass_on(mut caller: TcpStream, target: SocketAddr, fate: &UpstreamFate) -> std::io::Result<()> {
    let (head, body) = read_message(&caller)?;
    let mut upstream = TcpStream::connect(target)?;
    upstream.write_all(head.replacen("\r\n", "\r\nconnection: close\r\n", 1).as_bytes())?;
    upstream.write_all(&body)?;
    if !DATA_PATHS.iter().any(|path| head.contains(path)) {
        let mut answer = Vec::new();
        upstream.read_to_end(&mut answer)?;
        return caller.write_all(&answer);
    }
    let (answer_head, answer) = read_message(&upstream)?;
    let status_line = answer_head.lines().next().unwrap_or_default();
    caller.write_all(format!("{status_line}\r\nconnection: close\r\n\r\n").as_bytes())?;
    if fate.cuts_next.swap(false, Ordering::SeqCst) {
        caller.write_all(&answer[..answer.len() / 2])?;
        fate.has_exited.store(true, Ordering::SeqCst);
        return caller.shutdown(Shutdown::Both);
    }
    if fate.spoils_next.swap(false, Ordering::SeqCst) {
        caller.write_all(format!("content-length: {}\r\n\r\n", answer.len()).as_bytes())?;
    }
    caller.write_all(&answer)?;
    caller.shutdown(Shutdown::Both)
}

/// Reads the head and the body of a message with a length or chunks.
fn read_message(stream: &TcpStream) -> std::io::Result<(String, Vec<u8>)> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head)? > 0 {}
    let lower = head.to_ascii_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length:"));
    let mut body = Vec::new();
    if let Some(length) = length.and_then(|length| length.trim().parse().ok()) {
        reader.take(length).read_to_end(&mut body)?;
    } else if lower.contains("transfer-encoding: chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    Ok((head, body))
}

struct UnframedSite {
    site: ProcessSite,
    engine: UpstreamFate,
    service: UpstreamFate,
}

impl UnframedSite {
    fn start() -> Self {
        let size = SiteSize { engines: 1, services: 1, entries: 1, ..SiteSize::default() };
        let mut fates = Vec::new();
        let site = ProcessSite::start_behind(&size, |address| {
            let (front, fate) = unframed_upstream(address);
            fates.push(fate);
            front
        });
        let service = fates.pop().expect("a service");
        let engine = fates.pop().expect("an engine");
        let started = Self { site, engine, service };
        wait_until(|| started.complete(false).is_some_and(|answer| answer.status == 200));
        wait_until(|| started.book().is_some_and(|answer| answer.status == 200));
        started
    }

    fn complete(&self, is_stream: bool) -> Option<WholeAnswer> {
        let body = json!({ "model": "a0", "prompt": "hi", "max_tokens": 4, "stream": is_stream });
        let answer = self.site.complete(0, &body).ok()?;
        Some(WholeAnswer::from(answer))
    }

    fn book(&self) -> Option<WholeAnswer> {
        let uri = format!("http://{}/svc/booking/seats", self.site.entry(0));
        call(Method::GET, &uri, "").ok().map(WholeAnswer::from)
    }
}

/// An answer that its caller takes to be whole.
#[derive(Debug)]
struct WholeAnswer {
    status: u16,
    verdict: String,
    text: String,
}

impl From<http::Response<bytes::Bytes>> for WholeAnswer {
    fn from(answer: http::Response<bytes::Bytes>) -> Self {
        Self {
            status: answer.status().as_u16(),
            verdict: verdict(&answer).to_string(),
            text: String::from_utf8_lossy(answer.body()).into_owned(),
        }
    }
}

// Guards against half an answer that looks complete to its caller, as its upstream's exit ended it.
#[test]
fn an_answer_without_a_length_whose_upstream_exits_does_not_look_complete() {
    let site = UnframedSite::start();
    site.service.cuts_next.store(true, Ordering::SeqCst);
    let answer = site.book().expect("the agent answers for its service");
    assert_eq!((answer.status, answer.verdict.as_str()), (502, "may-have-run"), "{answer:?}");
    site.engine.cuts_next.store(true, Ordering::SeqCst);
    let answer = site.complete(false);
    assert!(answer.as_ref().is_none_or(|answer| answer.status != 200), "{answer:?}");
}

// Guards against a stream that ends early without a word, as its upstream's exit ended it.
#[test]
fn a_stream_without_a_length_whose_upstream_exits_ends_in_an_error_event() {
    let site = UnframedSite::start();
    site.engine.cuts_next.store(true, Ordering::SeqCst);
    let answer = site.complete(true).expect("the stream begins");
    assert!(answer.text.contains("event: error"), "{answer:?}");
}

// Guards against a whole answer that is taken for a broken one, as it has no length.
#[test]
fn a_whole_answer_without_a_length_is_delivered() {
    let site = UnframedSite::start();
    for _ in 0..3 {
        assert_eq!(site.book().expect("an answer").status, 200);
        let answer = site.complete(false).expect("an answer");
        assert_eq!((answer.status, answer.verdict.as_str()), (200, "ran"));
        let stream = site.complete(true).expect("a stream");
        assert!(stream.text.ends_with("data: [DONE]\n\n"), "{stream:?}");
    }
}

// Guards against an answer whose body begins with a line of its damaged head.
#[test]
fn an_answer_whose_head_ends_before_its_length_does_not_look_complete() {
    let site = UnframedSite::start();
    let is_spoilt = |answer: &WholeAnswer| answer.text.contains("content-length");
    // A request that may run twice is sent again.
    site.service.spoils_next.store(true, Ordering::SeqCst);
    let answer = site.book().expect("the agent answers for its service");
    assert!(!is_spoilt(&answer), "{answer:?}");
    site.engine.spoils_next.store(true, Ordering::SeqCst);
    let answer = site.complete(false);
    assert!(!answer.as_ref().is_some_and(is_spoilt), "{answer:?}");
    site.engine.spoils_next.store(true, Ordering::SeqCst);
    let answer = site.complete(true);
    let looks_whole = |answer: &WholeAnswer| !answer.text.contains("event: error");
    let is_wrong = |answer: &WholeAnswer| is_spoilt(answer) && looks_whole(answer);
    assert!(!answer.as_ref().is_some_and(is_wrong), "{answer:?}");
}
