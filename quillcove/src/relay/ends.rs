//! Whether a replica has ended, or only a connection to it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::relay::machine::AttemptOrder;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::request::OpenRequest;

/// Longest wait for an answer to the question whether a replica's port is open. A host that lives answers
/// within a round trip; one without power or behind a cut never does.
const PORT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a replica's port says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PortState {
    /// It takes connections.
    Open,
    /// Its host says that nobody listens there.
    Closed,
    /// Nothing is heard of its host.
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
    match timeout(PORT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => PortState::Open,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => PortState::Closed,
        Ok(Err(_)) | Err(_) => PortState::Silent,
    }
}

/// Records that the answer of a replica broke off, with what the request is and whether the replica lives.
pub fn note_broken(open: &OpenRequest, order: &AttemptOrder) {
    let identity = open.identity();
    let (shared, id) = (open.shared.clone(), open.terms.id.clone());
    let has_begun = open.first_event.is_some();
    let order = order.clone();
    tokio::spawn(async move {
        let port = look_at_port(order.address).await;
        info!(shared.log, "answer broke off"; "id" => id, "request" => %identity.digest,
            "caller" => format!("{:016x}", identity.caller), "replica" => order.replica,
            "has_begun" => has_begun, "port" => port.label());
    });
}
