//! Answers of the relay's own, and what all answers to callers have in common.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use quillcove_core::route::RouteKind;
use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};
use quillcove_platform::heads;

use super::shared::RelayShared;

/// Why an answer's body breaks off.
#[derive(Debug, thiserror::Error)]
pub enum BodyBreak {
    /// The upstream's answer broke off, and nothing could go on in its place.
    #[error("the upstream broke off: {0}")]
    Upstream(String),
    /// The time that the route gives is over.
    #[error("the request's time is over")]
    TimeOver,
}

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyBreak>;

/// Answers name the request that they belong to.
pub fn with_id(mut answer: Response<AnswerBody>, id: Option<HeaderValue>) -> Response<AnswerBody> {
    if let Some(id) = id {
        answer.headers_mut().entry(heads::id_header()).or_insert(id);
    }
    answer
}

pub fn close_when_stopping(
    shared: &RelayShared,
    mut answer: Response<AnswerBody>,
) -> Response<AnswerBody> {
    if shared.machine().is_stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// An answer of the relay's own, with an empty body.
pub fn own_answer(status: StatusCode, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    if let Some(pause) = retry_after {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

/// The answer for a refusal: 401, 429 and 503 promise that the request did not run and never will.
pub fn refusal_answer(refusal: &WorkRefusal) -> Response<AnswerBody> {
    let status = match (refusal.verdict, refusal.reason) {
        (RunVerdict::NotRun, RefusalReason::KeyUnknown) => StatusCode::UNAUTHORIZED,
        (RunVerdict::NotRun, RefusalReason::LimitReached) => StatusCode::TOO_MANY_REQUESTS,
        (RunVerdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        (RunVerdict::MayHaveRun | RunVerdict::Ran, _) => StatusCode::BAD_GATEWAY,
    };
    own_answer(status, refusal.retry_after)
}

/// Tells whether an answer of this kind of route is a stream of events.
pub fn is_event_stream(kind: RouteKind, status: StatusCode) -> bool {
    kind.is_stream() && status.is_success()
}
