//! Connection to a replica that limits what is read before the head of a response is complete.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

/// Largest number of bytes that are read of a replica until the head of its response is complete, interim responses
/// included. hyper skips any number of those, and its task does not yield while they keep coming.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Size of the kernel's receive buffer of a connection to a replica, in bytes, as it is asked for; the kernel doubles it.
/// It would otherwise grow to some megabytes where a caller does not read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Allowance for the bytes before the end of a head, shared by a connection and whoever sends requests over it.
#[derive(Clone, Debug)]
pub struct HeadAllowance(Arc<AtomicUsize>);

impl HeadAllowance {
    /// Begins to limit what is read, for the head of the next response.
    pub fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit: the head is complete.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Records bytes that were read. The limit may have ended since [`HeadAllowance::left`].
    fn record_read(&self, count: usize) {
        let less = |left: usize| (left != usize::MAX).then(|| left.saturating_sub(count));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
    }
}

impl Default for HeadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

/// A connection to a replica.
pub struct ReplicaSocket {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl ReplicaSocket {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        // Set before the handshake, as it decides the window that the replica is offered.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, allowance: HeadAllowance::default() })
    }

    /// Returns the connection's allowance.
    pub fn allowance(&self) -> HeadAllowance {
        self.allowance.clone()
    }
}

impl AsyncRead for ReplicaSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left() == 0 {
            let message = "too many bytes before the head of the response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.allowance.record_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReplicaSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
