//! Whether a replica has ended, or only a connection to it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::crash::watch::AnswerBreak;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::{AttemptOrder, BreakStep};
use slog::info;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::request::OpenRequest;
use super::shared::RelayShared;

/// Pause before the port of a replica is looked at, in which a process that ends closes it, and in which the
/// replica's other answers show that it lives. A busy replica is heard every few milliseconds, so that of the
/// answers that break off for other reasons few cost a connection.
const LOOK_PAUSE: Duration = Duration::from_millis(30);

/// Bytes that came before a replica ended may be read a little after the first of its connections broke.
const READ_SLACK: Duration = Duration::from_millis(10);

/// Longest wait for an answer to the question whether a replica's port is open. A host that lives answers
/// within a round trip, or within one second more where the question is lost.
const PORT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Questions before a host is taken to be silent.
const PORT_TRIES: u32 = 2;

/// What a replica's port says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PortState {
    /// It takes connections.
    Open,
    /// Its host says that nobody listens there.
    Closed,
    /// Nothing is heard of its host: it has no power or is cut off, and no request does that.
    Silent,
}

impl PortState {
    fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Closed => "closed",
            Self::Silent => "silent",
        }
    }
}

async fn look_at_port(address: SocketAddr) -> PortState {
    for _ in 0..PORT_TRIES {
        match timeout(PORT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return PortState::Open,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return PortState::Closed;
            },
            Ok(Err(_)) | Err(_) => {},
        }
    }
    PortState::Silent
}

/// Notes that the answer of a replica broke off, and finds out whether the replica has ended.
pub fn note_broken(open: &OpenRequest, order: &AttemptOrder) {
    let Some(identity) = open.query.identity else {
        return;
    };
    let now = open.shared.clock.now();
    let has_begun = open.first_event.is_some();
    info!(open.shared.log, "answer broke off"; "id" => &open.terms.id,
        "request" => %identity.digest, "caller" => format!("{:016x}", identity.caller),
        "replica" => &order.replica, "has_begun" => has_begun);
    let broke = AnswerBreak { identity, has_begun, sent_at: open.sent_at };
    let step = open.shared.machine().note_broken(order, broke, now);
    match step {
        BreakStep::Ask => drop(tokio::spawn(find_out(open.shared.clone(), order.clone(), now))),
        // The end may be known already, and then this request is news.
        BreakStep::Rest => open.shared.wanted.notify_one(),
    }
}

/// Finds out whether a replica has ended, and tells the machine.
async fn find_out(shared: Arc<RelayShared>, order: AttemptOrder, broke_at: MonoTime) {
    sleep(LOOK_PAUSE).await;
    if shared.machine().is_heard_since(&order.replica, broke_at + READ_SLACK) {
        shared.machine().deny_end(&order);
        return;
    }
    let port = look_at_port(order.address).await;
    let requests = match port {
        PortState::Closed => shared.machine().confirm_end(&order, shared.clock.now()),
        PortState::Open | PortState::Silent => {
            shared.machine().deny_end(&order);
            0
        },
    };
    info!(shared.log, "replica looked at"; "replica" => &order.replica, "port" => port.label(),
        "requests_there" => requests);
    if port == PortState::Closed {
        shared.metrics.replica_ended();
        shared.wanted.notify_one();
    }
}

/// Records why a request is refused that ends replicas.
pub fn log_cause(open: &OpenRequest) {
    let Some(identity) = open.query.identity else {
        return;
    };
    let now = open.shared.clock.now();
    let Some(cause) = open.shared.machine().crashes().cause(identity, now) else {
        return;
    };
    info!(open.shared.log, "request ends replicas"; "id" => &open.terms.id,
        "request" => %identity.digest, "caller" => format!("{:016x}", identity.caller),
        "ends" => cause.ends, "callers" => cause.callers,
        "callers_own" => cause.is_callers_own, "last_end_ms" => cause.last_end.as_millis() as u64);
}
