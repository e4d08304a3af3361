//! Detects by a connection attempt whether a process still listens on its port.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Delay after a broken connection before the port is probed. Within it, an exiting process closes the port.
pub const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Timeout of one connection attempt. A running host answers within a round trip, or within one second more if the
/// first packet is lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of connection attempts before a host is taken to be silent.
const PROBE_ATTEMPTS: u32 = 2;

/// Result of probing a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortState {
    /// The port accepts connections.
    Open,
    /// The host refuses the connection: no process listens.
    Closed,
    /// The host does not answer: it has no power or is cut off, which no request can cause.
    Silent,
}

impl PortState {
    /// Returns the state's name in the log.
    ///
    /// ```
    /// assert_eq!(quillcove::port::PortState::Closed.label(), "closed");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Closed => "closed",
            Self::Silent => "silent",
        }
    }
}

/// Connects to a port and closes the connection at once.
///
/// ```
/// use quillcove::port::{PortState, probe_port};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = listener.local_addr().unwrap();
/// assert_eq!(probe_port(address).await, PortState::Open);
/// drop(listener);
/// assert_eq!(probe_port(address).await, PortState::Closed);
/// # });
/// ```
pub async fn probe_port(address: SocketAddr) -> PortState {
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
