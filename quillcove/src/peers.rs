//! UDP datagrams between relays and loaders.
//!
//! Each message carries a complete state or a complete load request, so that the next message makes up for a lost one.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::WrapErr;
use quillcove_core::relay::beacon::PeerMessage;
use tokio::net::UdpSocket;

/// Size of the receive buffer, in bytes; a longer datagram is truncated.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// UDP socket of a process for messages to and from its peers.
pub struct PeerSocket {
    socket: UdpSocket,
    sender: PeerSender,
}

/// Sending half of a [`PeerSocket`], for all threads of a process. It sends without the runtime, which does not send
/// before it has polled the socket once, so that the first messages would be lost.
#[derive(Clone, Debug)]
pub struct PeerSender {
    socket: Arc<std::net::UdpSocket>,
}

/// What was sent of one message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentMessage {
    /// Number of datagrams, one per receiver.
    pub datagrams: usize,
    /// Total payload bytes, without network headers.
    pub bytes: usize,
}

/// A datagram received at the socket.
#[derive(Debug)]
pub enum ReceivedDatagram {
    /// A message and its sender.
    Message(Box<PeerMessage>, SocketAddr),
    /// A datagram that could not be decoded, with its sender.
    Undecodable(SocketAddr, postcard::Error),
}

impl PeerSocket {
    /// Binds a socket to an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    ///
    /// ```
    /// quillcove::duty::run_async(1, async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     quillcove::peers::PeerSocket::bind(address).await.unwrap();
    /// });
    /// ```
    pub async fn bind(address: SocketAddr) -> eyre::Result<Self> {
        let bound = std::net::UdpSocket::bind(address);
        let bound = bound.wrap_err_with(|| format!("cannot bind UDP socket to {address}"))?;
        bound.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(bound.try_clone()?)?;
        Ok(Self { socket, sender: PeerSender { socket: Arc::new(bound) } })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot report the address.
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

    /// Returns the sending half.
    ///
    /// ```
    /// quillcove::duty::run_async(1, async {
    ///     let address = "127.0.0.1:0".parse().unwrap();
    ///     let socket = quillcove::peers::PeerSocket::bind(address).await.unwrap();
    ///     let _sender = socket.sender();
    /// });
    /// ```
    pub fn sender(&self) -> PeerSender {
        self.sender.clone()
    }

    /// Sends a message to each receiver; see [`PeerSender::send`].
    ///
    /// ```
    /// use quillcove::peers::PeerSocket;
    /// use quillcove_core::relay::beacon::{PeerMessage, UseHeartbeat};
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    ///     let own = socket.local_addr().unwrap();
    ///     let beacon = UseHeartbeat { relay: own, uses: Vec::new() };
    ///     assert_eq!(socket.send(&PeerMessage::Use(beacon), [own]).datagrams, 1);
    /// });
    /// ```
    pub fn send(
        &self,
        message: &PeerMessage,
        receivers: impl IntoIterator<Item = SocketAddr>,
    ) -> SentMessage {
        self.sender.send(message, receivers)
    }

    /// Receives the next datagram.
    ///
    /// # Errors
    ///
    /// Fails if the socket reports an error.
    ///
    /// ```
    /// use quillcove::peers::{ReceivedDatagram, PeerSocket};
    /// use quillcove_core::relay::beacon::{PeerMessage, UseHeartbeat};
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    ///     let own = socket.local_addr().unwrap();
    ///     let beacon = UseHeartbeat { relay: own, uses: Vec::new() };
    ///     socket.send(&PeerMessage::Use(beacon), [own]);
    ///     assert!(matches!(socket.receive().await, Ok(ReceivedDatagram::Message(..))));
    /// });
    /// ```
    pub async fn receive(&self) -> std::io::Result<ReceivedDatagram> {
        let mut buffer = [0u8; RECEIVE_BUFFER_BYTES];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        Ok(match postcard::from_bytes(&buffer[..length]) {
            Ok(message) => ReceivedDatagram::Message(Box::new(message), from),
            Err(error) => ReceivedDatagram::Undecodable(from, error),
        })
    }
}

impl PeerSender {
    /// Sends a message to each receiver. A datagram that cannot be sent now is not retried: the next
    /// message carries the same or newer state.
    ///
    /// ```
    /// use quillcove::peers::PeerSocket;
    /// use quillcove_core::relay::beacon::{PeerMessage, UseHeartbeat};
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let socket = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    ///     let own = socket.local_addr().unwrap();
    ///     let beacon = UseHeartbeat { relay: own, uses: Vec::new() };
    ///     assert_eq!(socket.sender().send(&PeerMessage::Use(beacon), [own]).datagrams, 1);
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
        let sent = receivers.into_iter().map(|to| self.socket.send_to(&bytes, to));
        let datagrams = sent.filter(Result::is_ok).count();
        SentMessage { datagrams, bytes: datagrams * bytes.len() }
    }
}
