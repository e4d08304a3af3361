//! Bodies: reading them within a limit, and passing them on with a notice of their end.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// How a body that was passed on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// To its last byte.
    Whole,
    /// The sender broke off.
    Broken,
    /// The receiver went away.
    Dropped,
}

/// Called once at a body's end.
type EndNotice = Box<dyn FnOnce(BodyEnd) + Send + Sync>;

/// Last bytes that may follow a body, depending on how it ended.
type EndBytes = Box<dyn FnOnce(BodyEnd) -> Option<Bytes> + Send + Sync>;

/// Passes a body on frame by frame and gives notice of its end exactly once.
pub struct WatchedBody {
    inner: Incoming,
    notice: Option<EndNotice>,
    last: Option<EndBytes>,
    is_over: bool,
}

impl WatchedBody {
    /// Watches a body.
    ///
    /// ```no_run
    /// # fn incoming() -> hyper::body::Incoming { unimplemented!() }
    /// quillcove::web::body::WatchedBody::new(incoming(), |end| println!("{end:?}"));
    /// ```
    pub fn new(inner: Incoming, notice: impl FnOnce(BodyEnd) + Send + Sync + 'static) -> Self {
        Self { inner, notice: Some(Box::new(notice)), last: None, is_over: false }
    }

    /// Adds bytes after the last frame, such as a stream's error event. A body that ended in
    /// such bytes ends in good order for HTTP, so they must say themselves what happened.
    ///
    /// ```no_run
    /// # fn incoming() -> hyper::body::Incoming { unimplemented!() }
    /// let body = quillcove::web::body::WatchedBody::new(incoming(), |_| ());
    /// body.ending_with(|_| None);
    /// ```
    pub fn ending_with(
        mut self,
        last: impl FnOnce(BodyEnd) -> Option<Bytes> + Send + Sync + 'static,
    ) -> Self {
        self.last = Some(Box::new(last));
        self
    }

    fn end(&mut self, end: BodyEnd) -> Option<Bytes> {
        self.is_over = true;
        if let Some(notice) = self.notice.take() {
            notice(end);
        }
        self.last.take().and_then(|last| last(end))
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        // A sender that ends without a last poll, as with a known length, ended whole.
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
        self.is_over || (self.last.is_none() && self.inner.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self.last {
            Some(_) => SizeHint::default(),
            None => self.inner.size_hint(),
        }
    }
}

/// Reads a request's body whole. Dropshot cuts it at the server's limit.
///
/// # Errors
///
/// Dropshot's error for a body that is too large or breaks off.
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
