//! Responses with a verdict, and error bodies in OpenAI's format.

use dropshot::Body;
use http::{Response, StatusCode, header};
use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};
use serde::Serialize;
use serde_json::json;

use super::headers;

/// Result of an HTTP handler.
pub type HandlerResult = Result<Response<Body>, dropshot::HttpError>;

/// Returns the HTTP status for a reason to reject a request.
///
/// ```
/// use quillcove::web::answer::http_status;
/// use quillcove_core::verdict::RefusalReason;
///
/// assert_eq!(http_status(RefusalReason::Overloaded).as_u16(), 429);
/// ```
pub fn http_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::Unknown => StatusCode::NOT_FOUND,
        RefusalReason::KeyUnknown => StatusCode::UNAUTHORIZED,
        // Callers must not retry: only a different request can succeed.
        RefusalReason::EndsUpstreams => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::Overloaded | RefusalReason::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::UpstreamBroke => StatusCode::BAD_GATEWAY,
        RefusalReason::TicketUnknown
        | RefusalReason::AlreadyUsed
        | RefusalReason::KeyUncertain
        | RefusalReason::Duplicate => StatusCode::CONFLICT,
        RefusalReason::BundleMissing
        | RefusalReason::KnowledgeOld
        | RefusalReason::NoUpstream
        | RefusalReason::DeadlineTooShort
        | RefusalReason::Leaving
        | RefusalReason::WrongIncarnation
        | RefusalReason::Withdrawn
        | RefusalReason::LoadFailed
        | RefusalReason::UpstreamDown
        | RefusalReason::OriginUnknown
        | RefusalReason::OriginGone => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the error type that OpenAI clients expect with a status.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::BAD_REQUEST
        | StatusCode::NOT_FOUND
        | StatusCode::CONFLICT
        | StatusCode::UNPROCESSABLE_ENTITY => "invalid_request_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        _ => "server_error",
    }
}

/// Returns the body for a rejected request, which is also the data of a stream's error event.
///
/// ```
/// use quillcove::web::answer::refusal_body;
/// use quillcove_core::verdict::{RefusalReason, WorkRefusal};
///
/// let body = refusal_body(&WorkRefusal::not_run(RefusalReason::Overloaded, None), "queue full");
/// assert_eq!(body["error"]["verdict"], "not-run");
/// ```
pub fn refusal_body(refusal: &WorkRefusal, message: &str) -> serde_json::Value {
    json!({
        "error": {
            "message": message,
            "type": error_type(http_status(refusal.reason)),
            "param": null,
            "code": refusal.reason.label(),
            "verdict": refusal.verdict.label(),
        }
    })
}

/// Builds the complete response for a rejected request. `Retry-After` is in whole seconds, rounded up.
///
/// ```
/// use std::time::Duration;
/// use quillcove::web::answer::refusal;
/// use quillcove_core::verdict::{RefusalReason, WorkRefusal};
///
/// let soon = Some(Duration::from_millis(1500));
/// let answer = refusal(&WorkRefusal::not_run(RefusalReason::Overloaded, soon), "queue full");
/// assert_eq!(answer.unwrap().headers()["retry-after"], "2");
/// ```
pub fn refusal(refusal: &WorkRefusal, message: &str) -> HandlerResult {
    let mut response = Response::builder()
        .status(http_status(refusal.reason))
        .header(headers::VERDICT, refusal.verdict.label())
        .header(headers::REASON, refusal.reason.label())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(pause) = refusal.retry_after {
        response = response
            .header(header::RETRY_AFTER, pause.as_secs_f64().ceil() as u64)
            .header(headers::RETRY_AFTER_MS, pause.as_millis() as u64);
    }
    let body = refusal_body(refusal, message).to_string();
    response.body(Body::from(body)).map_err(internal_error)
}

/// Builds a JSON response of the process itself, with the verdict `ran`.
///
/// ```
/// let answer = quillcove::web::answer::json_response(&serde_json::json!({ "ok": true }));
/// assert_eq!(answer.unwrap().headers()["quillcove-verdict"], "ran");
/// ```
pub fn json_response(value: &impl Serialize) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(internal_error)?;
    let response = Response::builder()
        .header(headers::VERDICT, RunVerdict::Ran.label())
        .header(header::CONTENT_TYPE, "application/json");
    response.body(Body::from(body)).map_err(internal_error)
}

/// Returns the error response (status 500) for a fault of the process itself.
///
/// ```
/// assert_eq!(quillcove::web::answer::internal_error("x").status_code.as_u16(), 500);
/// ```
pub fn internal_error(error: impl std::fmt::Display) -> dropshot::HttpError {
    dropshot::HttpError::for_internal_error(error.to_string())
}

/// Returns the message for people that describes a reason.
///
/// ```
/// use quillcove_core::verdict::RefusalReason;
///
/// assert!(quillcove::web::answer::refusal_message(RefusalReason::Overloaded).contains("queue"));
/// ```
pub fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "the request can not be read",
        RefusalReason::Unknown => "the bundle in force does not serve this",
        RefusalReason::BundleMissing => "no bundle is in force yet",
        RefusalReason::NoUpstream => "no upstream can take the request",
        RefusalReason::Overloaded => "the queue is full",
        RefusalReason::DeadlineTooShort => "the expected wait is longer than the deadline allows",
        RefusalReason::DeadlinePassed => "the deadline passed",
        RefusalReason::Leaving => "the process is leaving",
        RefusalReason::WrongIncarnation => "the agent has restarted",
        RefusalReason::Withdrawn => "the attempt was withdrawn",
        RefusalReason::Duplicate => "the attempt was seen before",
        RefusalReason::LoadFailed => "the adapter could not be loaded",
        RefusalReason::UpstreamDown => "the upstream does not answer",
        RefusalReason::UpstreamBroke => "the answer broke off",
        RefusalReason::TicketUnknown => "the ticket is not valid here any more",
        RefusalReason::AlreadyUsed => "the ticket or key was used before",
        RefusalReason::KeyUnknown => "the request needs a workspace's key",
        RefusalReason::KnowledgeOld => "what is known of keys is too old; come back later",
        RefusalReason::OriginUnknown => "it is not known where the stream began",
        RefusalReason::OriginGone => "no upstream can go on with the stream",
        RefusalReason::EndsUpstreams => "upstreams end when they begin to run this request",
        RefusalReason::LimitReached => "the workspace has used what it may; come back later",
        RefusalReason::KeyUncertain => {
            "the owner of this key restarted lately; take a ticket or come back later"
        },
    }
}
