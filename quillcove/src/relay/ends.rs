//! Detects whether a replica has exited when a connection to it breaks.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::crash::watch::ResponseAbort;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::{AttemptOrder, BreakStep};
use slog::info;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::request::OpenRequest;
use super::shared::RelayShared;

/// Delay before the port of a replica is probed. Within it, an exiting process closes the port, and other responses
/// of a running replica show that it is alive. A busy replica sends data every few milliseconds, so that few
/// responses that break off for other reasons cost a probe connection.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Time after the first broken connection within which bytes that a replica sent before its exit may still be read.
const READ_GRACE_PERIOD: Duration = Duration::from_millis(10);

/// Timeout of one connection attempt to a replica's port. A running host answers within a round trip, or within one
/// second more if the first packet is lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of connection attempts before a host is taken to be silent.
const PROBE_ATTEMPTS: u32 = 2;

/// Result of probing a replica's port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PortState {
    /// The port accepts connections.
    Open,
    /// The host refuses the connection: no process listens.
    Closed,
    /// The host does not answer: it has no power or is cut off, which no request can cause.
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

async fn probe_port(address: SocketAddr) -> PortState {
    for _ in 0..PROBE_ATTEMPTS {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return PortState::Open,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return PortState::Closed;
            },
            Ok(Err(_)) | Err(_) => {},
        }
    }
    PortState::Silent
}

/// Records that a replica's response broke off, and starts to detect whether the replica has exited.
pub fn handle_broken_response(open: &OpenRequest, order: &AttemptOrder) {
    let Some(identity) = open.query.identity else {
        return;
    };
    let now = open.shared.clock.now();
    let has_begun = open.first_event.is_some();
    info!(open.shared.log, "answer broke off"; "id" => &open.terms.id,
        "request" => %identity.digest, "caller" => format!("{:016x}", identity.caller),
        "replica" => &order.replica, "has_begun" => has_begun);
    let answer_break = ResponseAbort { identity, has_begun, sent_at: open.sent_at };
    let step = open.shared.machine().record_abort(order, answer_break, now);
    match step {
        BreakStep::Check => {
            drop(tokio::spawn(detect_exit(open.shared.clone(), order.clone(), now)))
        },
        // If the exit is known already, this request is a new crash record that has to be sent.
        BreakStep::Rest => open.shared.messages_pending.notify_one(),
    }
}

/// Detects whether a replica has exited, and reports the result to the machine.
async fn detect_exit(shared: Arc<RelayShared>, order: AttemptOrder, broke_at: MonoTime) {
    sleep(PROBE_DELAY).await;
    if shared.machine().has_received_since(&order.replica, broke_at + READ_GRACE_PERIOD) {
        shared.machine().rule_out_exit(&order);
        return;
    }
    let port = probe_port(order.address).await;
    let requests = match port {
        PortState::Closed => shared.machine().confirm_exit(&order, shared.clock.now()),
        PortState::Open | PortState::Silent => {
            shared.machine().rule_out_exit(&order);
            0
        },
    };
    info!(shared.log, "replica looked at"; "replica" => &order.replica, "port" => port.label(),
        "requests_there" => requests);
    if port == PortState::Closed {
        shared.metrics.replica_ended();
        shared.messages_pending.notify_one();
    }
}

/// Logs the crash records for which a fatal request is rejected.
pub fn log_crash_records(open: &OpenRequest) {
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
