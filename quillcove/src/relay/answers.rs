//! Responses that the relay generates itself, and the parts that all responses to callers share.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use quillcove_core::memory::MemoryPermit;
use quillcove_core::route::RouteKind;
use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};
use quillcove_platform::heads;

use super::connections::ConnectionState;
use super::shared::RelayShared;

/// Why the body of a response was cut short.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The upstream's response was interrupted and could not be resumed at another replica.
    #[error("upstream response interrupted: {0}")]
    Upstream(String),
    /// The request's deadline passed.
    #[error("request deadline passed")]
    TimeOver,
}

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Extension of a buffered response: the memory that it takes.
#[derive(Clone)]
pub struct HeldMemory {
    _permit: Arc<MemoryPermit>,
}

impl HeldMemory {
    pub fn new(permit: MemoryPermit) -> Self {
        Self { _permit: Arc::new(permit) }
    }
}

/// Body of a response on a caller's connection.
pub struct ServedBody {
    body: ResponseBody,
    _memory: Option<HeldMemory>,
    shared: Arc<RelayShared>,
    connection: Arc<ConnectionState>,
}

impl ServedBody {
    /// Wraps the body of a response; the connection rests once it is dropped.
    pub fn wrap(
        response: Response<ResponseBody>,
        shared: Arc<RelayShared>,
        connection: Arc<ConnectionState>,
    ) -> Response<Self> {
        let (mut parts, body) = response.into_parts();
        let memory = parts.extensions.remove();
        Response::from_parts(parts, Self { body, _memory: memory, shared, connection })
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.connection.record_response_end(self.shared.clock.now());
    }
}

/// Adds the request's id to a response that does not carry one.
pub fn with_request_id(
    mut response: Response<ResponseBody>,
    id: Option<HeaderValue>,
) -> Response<ResponseBody> {
    if let Some(id) = id {
        response.headers_mut().entry(heads::id_header()).or_insert(id);
    }
    response
}

/// Asks the caller to close its connection if the relay is in its planned stop, or has more callers than it can serve.
pub fn close_when_leaving_or_crowded(
    shared: &RelayShared,
    mut response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let is_stopping = shared.machine().is_stopping();
    if is_stopping || !shared.intake.admits(shared.clock.now()) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Builds a response with an empty body.
pub fn empty_response(status: StatusCode, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Some(delay) = retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Builds the response for a refusal. The statuses 401, 429 and 503 guarantee that the request did
/// not run and never will.
pub fn refusal_response(refusal: &WorkRefusal) -> Response<ResponseBody> {
    let status = match (refusal.verdict, refusal.reason) {
        (RunVerdict::NotRun, RefusalReason::KeyUnknown) => StatusCode::UNAUTHORIZED,
        (RunVerdict::NotRun, RefusalReason::LimitReached) => StatusCode::TOO_MANY_REQUESTS,
        (RunVerdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        (RunVerdict::MayHaveRun | RunVerdict::Ran, _) => StatusCode::BAD_GATEWAY,
    };
    empty_response(status, refusal.retry_after)
}

/// Returns whether a response with this status, on a route of this kind, is a stream of events.
pub fn is_event_stream(kind: RouteKind, status: StatusCode) -> bool {
    kind.is_stream() && status.is_success()
}
