//! HTTP bodies: reading them up to a size limit, and forwarding them with a callback at their end.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

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

/// Callback for the end of a body.
type EndCallback = Box<dyn FnOnce(BodyEnd) + Send + Sync>;

/// Returns the bytes to append to a body, if any, depending on how it ended.
type TailFactory = Box<dyn FnOnce(BodyEnd) -> Option<Bytes> + Send + Sync>;

/// Body that forwards another frame by frame and calls back exactly once at its end.
pub struct WatchedBody {
    inner: Incoming,
    on_end: Option<EndCallback>,
    tail: Option<TailFactory>,
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
        Self { inner, on_end: Some(Box::new(on_end)), tail: None, is_over: false }
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
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.is_over {
            return Poll::Ready(None);
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(error)) => match self.end(BodyEnd::Broken) {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Poll::Ready(Some(Err(error))),
            },
            None => match self.end(BodyEnd::Whole) {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Poll::Ready(None),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_over || (self.tail.is_none() && self.inner.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self.tail {
            Some(_) => SizeHint::default(),
            None => self.inner.size_hint(),
        }
    }
}

/// Reads a complete request body. Dropshot enforces the server's size limit.
///
/// # Errors
///
/// Dropshot's error for a body that is too large or incomplete.
///
/// ```no_run
/// # async fn read(body: dropshot::StreamingBody) {
/// let bytes = quillcove::web::body::read(body).await;
/// # }
/// ```
pub async fn read(body: dropshot::StreamingBody) -> Result<Bytes, dropshot::HttpError> {
    let stream = body.into_stream();
    let mut stream = std::pin::pin!(stream);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        bytes.extend_from_slice(&chunk?);
    }
    Ok(bytes.freeze())
}
