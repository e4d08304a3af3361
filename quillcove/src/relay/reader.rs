//! Callers that read their streams slowly or not at all: a bounded buffer between the upstream and the caller, and
//! a time limit on writes to the caller.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Sleep, sleep};

use super::answers::BodyError;
use crate::metrics::ProcessMetrics;

/// Largest number of bytes that are buffered for one stream: more than a usual stream of some 60 events, so that its
/// engine is not held up by its caller. 400 callers that do not read hold 13 MB at most.
const STREAM_BUFFER_BYTES: usize = 32 << 10;

/// Largest number of bytes of a response that are read from an engine's connection before they are forwarded. The
/// head of a response takes a few hundred bytes.
pub const READ_BUFFER_BYTES: usize = 32 << 10;

/// Size of the kernel's send buffer for a caller, in bytes; the kernel uses twice as much for its own accounting. It
/// would otherwise grow to some megabytes, which take a caller that does not read seconds to fill.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Slow readers of one relay.
pub struct ReaderState {
    /// Time in ms after which a caller that does not read is disconnected.
    timeout_ms: AtomicU64,
    /// Bytes of streams that wait for their callers.
    buffered: AtomicUsize,
    metrics: Arc<ProcessMetrics>,
}

impl ReaderState {
    pub fn new(timeout: Duration, metrics: Arc<ProcessMetrics>) -> Self {
        let state = Self { timeout_ms: AtomicU64::new(0), buffered: AtomicUsize::new(0), metrics };
        state.set_timeout(timeout);
        state
    }

    pub fn set_timeout(&self, timeout: Duration) {
        self.timeout_ms.store(timeout.as_millis() as u64, Ordering::Relaxed);
    }

    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes that are buffered for callers, not counting the connections' own buffers.
    pub fn buffered(&self) -> usize {
        self.buffered.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.buffered.fetch_add(bytes, Ordering::Relaxed);
        self.metrics.record_stream_buffer(bytes as i64);
    }

    fn remove(&self, bytes: usize) {
        self.buffered.fetch_sub(bytes, Ordering::Relaxed);
        self.metrics.record_stream_buffer(-(bytes as i64));
    }
}

/// Extension of a response whose caller is disconnected if it does not read for so long.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimit(pub Duration);

/// Limit of the response that a connection carries.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimit(Arc<Mutex<Option<Duration>>>);

impl ConnectionLimit {
    pub fn set(&self, limit: Option<ReadLimit>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = limit.map(|ReadLimit(time)| time);
    }

    fn get(&self) -> Option<Duration> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's connection. A write fails once the caller has not read for the limit of the response.
pub struct CallerSocket {
    stream: TcpStream,
    limit: ConnectionLimit,
    /// Whether the kernel's send buffer has its size.
    is_bounded: bool,
    /// Ends when the write that waits now has waited for the limit.
    timer: Option<Pin<Box<Sleep>>>,
    on_stall: Box<dyn Fn() + Send + Sync>,
}

impl CallerSocket {
    /// Wraps a connection; `on_stall` is called when a write fails for its limit.
    pub fn new(
        stream: TcpStream,
        limit: ConnectionLimit,
        on_stall: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Self { stream, limit, is_bounded: false, timer: None, on_stall: Box::new(on_stall) }
    }

    /// Limits the kernel's send buffer before the first write of a limited response. A failure leaves
    /// the kernel's own limit.
    fn bound_send_buffer(&mut self) {
        if !self.is_bounded && self.limit.get().is_some() {
            self.is_bounded = true;
            let _ = SockRef::from(&self.stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        }
    }

    /// Checks the limit after a write.
    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let (Poll::Pending, Some(limit)) = (&written, self.limit.get()) else {
            self.timer = None;
            return written;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        (self.on_stall)();
        let message = "the caller does not read its response";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.bound_send_buffer();
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.bound_send_buffer();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check(cx, written)
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

/// A part of a stream's body, for its caller.
enum StreamPart {
    Data(Bytes),
    /// The stream was interrupted.
    Broken(BodyError),
    /// The stream ended normally.
    End,
}

/// Returns both ends of the buffer of one stream.
pub fn stream_buffer(state: Arc<ReaderState>) -> (BufferSender, BufferReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let space = Arc::new(Semaphore::new(STREAM_BUFFER_BYTES));
    let receiver = BufferReceiver { parts: receiver, space: space.clone(), state: state.clone() };
    (BufferSender { parts: sender, space, state }, receiver)
}

/// Upstream end of a stream's buffer.
pub struct BufferSender {
    parts: mpsc::UnboundedSender<StreamPart>,
    space: Arc<Semaphore>,
    state: Arc<ReaderState>,
}

impl BufferSender {
    /// Waits until there is space for the bytes, and adds them. Bytes beyond the size of the buffer are
    /// added when it is empty. Does nothing if the caller has left.
    pub async fn send(&self, bytes: Bytes) {
        let permits = bytes.len().min(STREAM_BUFFER_BYTES) as u32;
        let Ok(space) = self.space.acquire_many(permits).await else {
            return;
        };
        space.forget();
        let count = bytes.len();
        self.state.add(count);
        if self.parts.send(StreamPart::Data(bytes)).is_err() {
            self.state.remove(count);
        }
    }

    /// Adds the end of the stream, and waits until the caller has taken all.
    pub async fn finish(&self, end: Result<(), BodyError>) {
        let part = match end {
            Ok(()) => StreamPart::End,
            Err(error) => StreamPart::Broken(error),
        };
        // Without a receiver the caller has left.
        let _ = self.parts.send(part);
        let _ = self.space.acquire_many(STREAM_BUFFER_BYTES as u32).await;
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Caller's end of a stream's buffer.
pub struct BufferReceiver {
    parts: mpsc::UnboundedReceiver<StreamPart>,
    space: Arc<Semaphore>,
    state: Arc<ReaderState>,
}

impl BufferReceiver {
    /// Takes the next bytes; `None` at the end of the stream.
    pub async fn receive(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.parts.recv().await {
            Some(StreamPart::Data(bytes)) => {
                self.release(bytes.len());
                Some(Ok(bytes))
            },
            Some(StreamPart::Broken(error)) => Some(Err(error)),
            Some(StreamPart::End) => None,
            None => Some(Err(BodyError::Upstream("forwarding ended".to_string()))),
        }
    }

    fn release(&self, count: usize) {
        self.state.remove(count);
        self.space.add_permits(count.min(STREAM_BUFFER_BYTES));
    }
}

impl Drop for BufferReceiver {
    fn drop(&mut self) {
        self.parts.close();
        self.space.close();
        while let Ok(part) = self.parts.try_recv() {
            if let StreamPart::Data(bytes) = part {
                self.state.remove(bytes.len());
            }
        }
    }
}
