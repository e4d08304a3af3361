//! Datagrams between relays and loaders.
//!
//! Each message is a whole state or a whole ask, so that a lost one is made up for by the next.

use std::net::SocketAddr;

use eyre::WrapErr;
use quillcove_core::relay::beacon::PeerMessage;
use tokio::net::UdpSocket;

/// Largest datagram that is read.
const DATAGRAM_LIMIT: usize = 16 << 10;

/// The socket on which a process talks to the others.
pub struct PeerSocket {
    socket: UdpSocket,
    /// The same socket for sending: the runtime holds the first sends back until it has polled the
    /// socket once, which would lose them.
    sender: std::net::UdpSocket,
}

/// What went out of one message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentMessage {
    /// Datagrams, one a receiver.
    pub datagrams: usize,
    /// Bytes of all of them, without the headers of the network.
    pub bytes: usize,
}

/// What arrived at the socket.
#[derive(Debug)]
pub enum PeerArrival {
    /// A message with its sender.
    Message(Box<PeerMessage>, SocketAddr),
    /// Bytes that are no message.
    Garbage(SocketAddr, postcard::Error),
}

impl PeerSocket {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// When it can not be bound.
    ///
    /// ```
    /// quillcove::duty::run_async(1, async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     quillcove::peers::PeerSocket::bind(address).await.unwrap();
    /// });
    /// ```
    pub async fn bind(address: SocketAddr) -> eyre::Result<Self> {
        let bound = std::net::UdpSocket::bind(address);
        let sender = bound.wrap_err_with(|| format!("can not bind {address} for datagrams"))?;
        sender.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(sender.try_clone()?)?;
        Ok(Self { socket, sender })
    }

    /// The address bound.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    ///
    /// ```
    /// quillcove::duty::run_async(1, async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let socket = quillcove::peers::PeerSocket::bind(address).await.unwrap();
    ///     assert_ne!(socket.local_addr().unwrap().port(), 0);
    /// });
    /// ```
    pub fn local_addr(&self) -> eyre::Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Sends a message to some processes. One that can not be sent now is left out: the next
    /// message tells the same or newer.
    ///
    /// ```
    /// use quillcove::peers::PeerSocket;
    /// use quillcove_core::relay::beacon::{PeerMessage, UseBeacon};
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    ///     let own = socket.local_addr().unwrap();
    ///     let beacon = UseBeacon { relay: own, uses: Vec::new() };
    ///     assert_eq!(socket.send(&PeerMessage::Use(beacon), [own]).datagrams, 1);
    /// });
    /// ```
    pub fn send(
        &self,
        message: &PeerMessage,
        receivers: impl IntoIterator<Item = SocketAddr>,
    ) -> SentMessage {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return SentMessage::default();
        };
        let sent = receivers.into_iter().map(|to| self.sender.send_to(&bytes, to));
        let datagrams = sent.filter(Result::is_ok).count();
        SentMessage { datagrams, bytes: datagrams * bytes.len() }
    }

    /// Waits for the next datagram.
    ///
    /// # Errors
    ///
    /// When the socket fails.
    ///
    /// ```
    /// use quillcove::peers::{PeerArrival, PeerSocket};
    /// use quillcove_core::relay::beacon::{PeerMessage, UseBeacon};
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    ///     let own = socket.local_addr().unwrap();
    ///     let beacon = UseBeacon { relay: own, uses: Vec::new() };
    ///     socket.send(&PeerMessage::Use(beacon), [own]);
    ///     assert!(matches!(socket.receive().await, Ok(PeerArrival::Message(..))));
    /// });
    /// ```
    pub async fn receive(&self) -> std::io::Result<PeerArrival> {
        let mut buffer = [0u8; DATAGRAM_LIMIT];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        Ok(match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => PeerArrival::Message(Box::new(message), from),
            Err(error) => PeerArrival::Garbage(from, error),
        })
    }
}
