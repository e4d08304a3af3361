//! HTTP bodies: reading them up to a size limit, and forwarding them with a callback at their end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use quillcove_core::memory::{MemoryAccount, MemoryClass, MemoryFull, SMALL_BODY_BYTES};

use super::framing::{FramingFault, check_begin};
use super::held::BodyCollector;

/// How a forwarded body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// All bytes were forwarded.
    Whole,
    /// The sender broke off before the end.
    Broken,
    /// The receiver disconnected before the end.
    Dropped,
}

/// Error of a forwarded body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Finds out whether a body that seems whole was cut off; returns the reason if it was.
type EndCheck = Pin<Box<dyn Future<Output = Result<(), BodyError>> + Send + Sync>>;

/// Callback for the end of a body.
type EndCallback = Box<dyn FnOnce(BodyEnd) + Send + Sync>;

/// Returns the bytes to append to a body, if any, depending on how it ended.
type TailFactory = Box<dyn FnOnce(BodyEnd) -> Option<Bytes> + Send + Sync>;

/// Body that forwards another frame by frame and calls back exactly once at its end.
pub struct WatchedBody {
    inner: Incoming,
    on_end: Option<EndCallback>,
    end_check: Option<EndCheck>,
    tail: Option<TailFactory>,
    /// Whether the begin is still to be checked.
    is_begin_open: bool,
    /// Whether the forwarded body has ended; its end may still have to be checked.
    is_inner_over: bool,
    is_over: bool,
}

impl WatchedBody {
    /// Wraps a body; `on_end` is called at its end.
    ///
    /// ```no_run
    /// # fn incoming() -> hyper::body::Incoming { unimplemented!() }
    /// quillcove::web::body::WatchedBody::new(incoming(), |end| println!("{end:?}"));
    /// ```
    pub fn new(inner: Incoming, on_end: impl FnOnce(BodyEnd) + Send + Sync + 'static) -> Self {
        Self {
            inner,
            on_end: Some(Box::new(on_end)),
            end_check: None,
            tail: None,
            is_begin_open: false,
            is_inner_over: false,
            is_over: false,
        }
    }

    /// Checks, when the body seems whole, whether the sender broke off.
    ///
    /// ```no_run
    /// # fn incoming() -> hyper::body::Incoming { unimplemented!() }
    /// let body = quillcove::web::body::WatchedBody::new(incoming(), |_| ());
    /// body.with_end_check(async { Err("the upstream exited".into()) });
    /// ```
    pub fn with_end_check(
        mut self,
        end_check: impl Future<Output = Result<(), BodyError>> + Send + Sync + 'static,
    ) -> Self {
        self.end_check = Some(Box::pin(end_check));
        self
    }

    /// Checks the begin of a body that ends with its connection, for what belongs to a damaged head.
    ///
    /// ```no_run
    /// # fn incoming() -> hyper::body::Incoming { unimplemented!() }
    /// quillcove::web::body::WatchedBody::new(incoming(), |_| ()).with_begin_check();
    /// ```
    pub fn with_begin_check(mut self) -> Self {
        self.is_begin_open = true;
        self
    }

    /// Checks a frame if it is the first one.
    fn check_frame(&mut self, frame: &Frame<Bytes>) -> Result<(), FramingFault> {
        let data = frame.data_ref().filter(|data| self.is_begin_open && !data.is_empty());
        data.map_or(Ok(()), |data| {
            self.is_begin_open = false;
            check_begin(data, false)
        })
    }

    /// Appends bytes after the last frame, such as a stream's error event. HTTP then sees a body that
    /// ended normally even if the sender broke off, so the bytes themselves must report the failure.
    ///
    /// ```no_run
    /// # fn incoming() -> hyper::body::Incoming { unimplemented!() }
    /// let body = quillcove::web::body::WatchedBody::new(incoming(), |_| ());
    /// body.with_end_chunk(|_| None);
    /// ```
    pub fn with_end_chunk(
        mut self,
        tail: impl FnOnce(BodyEnd) -> Option<Bytes> + Send + Sync + 'static,
    ) -> Self {
        self.tail = Some(Box::new(tail));
        self
    }

    fn poll_inner(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.is_inner_over {
            return Poll::Ready(None);
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        self.is_inner_over = frame.is_none();
        Poll::Ready(frame)
    }

    fn end(&mut self, end: BodyEnd) -> Option<Bytes> {
        self.is_over = true;
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
        self.tail.take().and_then(|tail| tail(end))
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        // With a known length, hyper may drop the body after its last byte without a final poll.
        let end = match self.inner.is_end_stream() {
            true => BodyEnd::Whole,
            false => BodyEnd::Dropped,
        };
        self.end(end);
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_over {
            return Poll::Ready(None);
        }
        let result = match ready!(self.poll_inner(cx)) {
            Some(Ok(frame)) => match self.check_frame(&frame) {
                Ok(()) => return Poll::Ready(Some(Ok(frame))),
                Err(fault) => Err(fault.into()),
            },
            Some(Err(error)) => Err(error.into()),
            None => match &mut self.end_check {
                Some(end_check) => ready!(end_check.as_mut().poll(cx)),
                None => Ok(()),
            },
        };
        let end = match result {
            Ok(()) => BodyEnd::Whole,
            Err(_) => BodyEnd::Broken,
        };
        match (self.end(end), result) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Err(error)) => Poll::Ready(Some(Err(error))),
            (None, Ok(())) => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        let has_more = self.tail.is_some() || self.end_check.is_some();
        self.is_over || (!has_more && self.inner.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self.tail {
            Some(_) => SizeHint::default(),
            None => self.inner.size_hint(),
        }
    }
}

/// Reads a complete response body of at most `max_bytes`. Its pieces are copied, as a piece of a few bytes would keep the
/// buffer of the connection.
///
/// # Errors
///
/// If the body is larger or incomplete.
///
/// ```no_run
/// # async fn read(body: hyper::body::Incoming) {
/// let bytes = quillcove::web::body::collect(body, 1024).await;
/// # }
/// ```
pub async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(format!("a body of more than {max_bytes} bytes is announced").into());
    }
    let mut limited = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    while let Some(frame) = limited.frame().await {
        bytes.extend_from_slice(&frame?.into_data().unwrap_or_default());
    }
    Ok(bytes.freeze())
}

/// Reads a body of at most `max_bytes` and drops it; returns whether it was complete.
///
/// ```no_run
/// # async fn read(body: hyper::body::Incoming) {
/// let is_complete = quillcove::web::body::discard(body, 1024).await;
/// # }
/// ```
pub async fn discard(body: Incoming, max_bytes: usize) -> bool {
    let mut limited = Limited::new(body, max_bytes);
    loop {
        match limited.frame().await {
            Some(Ok(_)) => {},
            Some(Err(_)) => return false,
            None => return true,
        }
    }
}

/// Memory that the server takes for a connection on which a body arrives, in bytes: its read buffer, which grows with
/// what it reads at a time, and as much in the kernel.
const SMALL_BUFFER_BYTES: usize = 64 << 10;
const LARGE_BUFFER_BYTES: usize = 400 << 10;

/// Why a request body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No memory is left.
    #[error(transparent)]
    Memory(#[from] MemoryFull),
    /// It has more bytes than are allowed.
    #[error("the body has too many bytes; {0} are allowed")]
    TooLarge(usize),
    /// It is incomplete, or larger than the server takes.
    #[error(transparent)]
    Body(#[from] dropshot::HttpError),
}

/// Reads a complete request body of at most `max_bytes`, which is held within an account.
///
/// # Errors
///
/// If no memory is left, or the body is too large or incomplete.
///
/// ```no_run
/// # async fn read(
/// #     body: dropshot::StreamingBody,
/// #     account: std::sync::Arc<quillcove_core::memory::MemoryAccount>,
/// # ) {
/// let bytes = quillcove::web::body::read(body, 1024, &account).await;
/// # }
/// ```
pub async fn read(
    body: dropshot::StreamingBody,
    max_bytes: usize,
    account: &Arc<MemoryAccount>,
) -> Result<Bytes, ReadError> {
    let stream = body.into_stream();
    let mut stream = std::pin::pin!(stream);
    let mut collector = BodyCollector::new(account, None)?;
    let mut buffer = account.reserve(MemoryClass::Connections, SMALL_BUFFER_BYTES)?;
    while let Some(chunk) = stream.next().await {
        let chunk = chunk?;
        let length = collector.len() + chunk.len();
        if length > max_bytes {
            return Err(ReadError::TooLarge(max_bytes));
        }
        if length > SMALL_BODY_BYTES {
            buffer.grow_to(LARGE_BUFFER_BYTES)?;
        }
        collector.push(&mut &chunk[..])?;
    }
    Ok(collector.finish().join(account)?)
}
