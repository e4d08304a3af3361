//! A loader process beside an engine that exits, as a relay sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use quillcove::config::relay::{EngineSection, LoaderSettings};
use quillcove::peers::{PeerSocket, ReceivedDatagram};
use quillcove_core::relay::beacon::{LoadRequest, PeerMessage, UseHeartbeat};
use quillcove_core::relay::engine_status::{LoadOutcome, PendingPrompts, PromptReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

/// Longest time that the test waits for a message.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Time from the exit of the engine until relays know: less than the 500 ms between their own reports, in which they
/// would otherwise send requests to it.
const ANNOUNCED_WITHIN: Duration = Duration::from_millis(500);

const REPORT: &str = r#"{"born":1,"models":[{"name":"m","version":1,"adapters":["a1@1"]}]}"#;

/// Answers each call with the report under this status, and counts the calls; ends when it is dropped.
async fn serve(listener: TcpListener, status: &'static str, calls: Arc<AtomicU32>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
            let length = REPORT.len();
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
            );
            stream.write_all(format!("{head}{REPORT}").as_bytes()).await.unwrap();
            calls.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits for the first message of the loader that this selects.
async fn expect<T>(socket: &PeerSocket, select: impl Fn(&PeerMessage) -> Option<T>) -> T {
    let selected = async {
        loop {
            if let Ok(ReceivedDatagram::Message(message, _)) = socket.receive().await
                && let Some(selected) = select(&message)
            {
                return selected;
            }
        }
    };
    timeout(WAIT_LIMIT, selected).await.expect("the message arrives")
}

fn reachability(message: &PeerMessage) -> Option<bool> {
    match message {
        PeerMessage::Status(status) => Some(status.is_reachable),
        _ => None,
    }
}

/// Load: an engine exits while relays send it requests. Guards against a loader that goes on to answer load requests from
/// the last report, and against relays that learn of the exit from the store only.
#[test]
fn relays_are_told_at_once_that_an_engine_has_exited() {
    quillcove::duty::run_async(2, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicU32::new(0));
        let engine = tokio::spawn(serve(listener, "200 OK", calls.clone()));
        let settings = LoaderSettings {
            engine: EngineSection { address, ..EngineSection::default() },
            ..LoaderSettings::default()
        };
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (bound, addresses) = std::sync::mpsc::channel();
        let loader = std::thread::spawn(move || {
            let log = quillcove::logging::silent();
            quillcove::loader::run(settings, log, stopped, |at| bound.send(at.control).unwrap())
        });
        let control: SocketAddr = addresses.recv_timeout(WAIT_LIMIT).unwrap();
        let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let relay = socket.local_addr().unwrap();
        let request = |number| {
            let pending = PendingPrompts::default();
            let report = PromptReport { relay, number, incarnation: 1, pending };
            socket.send(&PeerMessage::Prompts(report), [control]);
            let uses = UseHeartbeat { relay, uses: Vec::new() };
            socket.send(&PeerMessage::Use(uses), [control]);
            let load = LoadRequest {
                replica: "i-1".into(),
                model: "m".into(),
                adapter: Some(format!("a7-{number}")),
                version: None,
                places: 5,
            };
            socket.send(&PeerMessage::Load(load), [control]);
        };
        let outcome = |message: &PeerMessage| match message {
            PeerMessage::Reply(reply) => Some(reply.outcome),
            _ => None,
        };
        request(1);
        assert!(matches!(expect(&socket, outcome).await, LoadOutcome::Queued { .. }));
        assert!(expect(&socket, reachability).await);
        engine.abort();
        let ended = Instant::now();
        let is_lost = |message: &PeerMessage| reachability(message).filter(|is_up| !is_up);
        expect(&socket, is_lost).await;
        assert!(ended.elapsed() < ANNOUNCED_WITHIN, "after {:?}", ended.elapsed());
        request(2);
        let is_rejected =
            |message: &PeerMessage| outcome(message).filter(|it| *it == LoadOutcome::Unreachable);
        expect(&socket, is_rejected).await;
        // The status is renewed, as relays drop it after 1.5 s.
        request(3);
        expect(&socket, is_lost).await;
        // A process that is starting responds, but not with a report.
        let listener = TcpListener::bind(address).await.unwrap();
        let starting = Arc::new(AtomicU32::new(0));
        let engine = tokio::spawn(serve(listener, "503 Service Unavailable", starting.clone()));
        let has_responded = async {
            while starting.load(Ordering::Relaxed) < 3 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_LIMIT, has_responded).await.expect("the loader reads the report");
        request(4);
        let last = |message: &PeerMessage| match message {
            PeerMessage::Reply(reply) if reply.key.adapter == "a7-4" => Some(reply.outcome),
            _ => None,
        };
        assert_eq!(expect(&socket, last).await, LoadOutcome::Unreachable);
        engine.abort();
        expect(&socket, is_lost).await;
        let listener = TcpListener::bind(address).await.unwrap();
        let engine = tokio::spawn(serve(listener, "200 OK", calls));
        expect(&socket, |message| reachability(message).filter(|is_up| *is_up)).await;
        engine.abort();
        stop.send(true).unwrap();
        loader.join().unwrap().unwrap();
    });
}
