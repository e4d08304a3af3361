//! HTTP header names, and functions to parse and filter headers.

use std::time::{Duration, SystemTime};

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};
use quillcove_core::standing::limit::read_limit;
use quillcove_core::standing::notice::{LONGEST_REST, UpstreamNotice, read_rest};

use super::framing::{BodyFraming, body_framing};

/// Prefix of quillcove's own headers.
const OWN_PREFIX: &str = "quillcove-";

/// Idempotency key that a caller sets on a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Ticket for a request that must not run twice.
pub const TICKET: &str = "quillcove-ticket";
/// The idempotency key from entry to agent; the caller's own header is forwarded to the service unchanged.
pub const KEY: &str = "quillcove-key";
/// `no` on a request that must not run twice.
pub const REPEATABLE: &str = "quillcove-repeatable";
/// Time within which the caller needs the response, in milliseconds.
pub const DEADLINE_MS: &str = "quillcove-deadline-ms";
/// Priority class of the request.
pub const PRIORITY: &str = "quillcove-priority";
/// Name of the caller's organization.
pub const CALLER: &str = "quillcove-caller";
/// Request id, on every response.
pub const REQUEST_ID: &str = "quillcove-request-id";
/// Verdict on whether the request ran, on every response.
pub const VERDICT: &str = "quillcove-verdict";
/// Reason why the request was rejected.
pub const REASON: &str = "quillcove-reason";
/// Exact time after which to retry, in milliseconds, beside `Retry-After` in whole seconds.
pub const RETRY_AFTER_MS: &str = "quillcove-retry-after-ms";
/// Time that the request waited at the agent before it was sent to its upstream, in milliseconds.
pub const WAITED_MS: &str = "quillcove-waited-ms";
/// Set by an agent when it rejects a request itself, to distinguish this from the upstream's responses.
pub const REFUSED: &str = "quillcove-refused";
/// Attempt id, from entry to agent.
pub const ATTEMPT: &str = "quillcove-attempt";
/// Incarnation of the agent that an attempt is addressed to.
pub const INCARNATION: &str = "quillcove-incarnation";
/// Adapter and its version, from entry to agent and back.
pub const ADAPTER: &str = "quillcove-adapter";
/// Status of an agent, as JSON, on each of its responses.
pub const AGENT_STATUS: &str = "quillcove-news";

/// `yes` on each response of an upstream that is draining.
pub const LEAVING: &str = "quillcove-leaving";

/// Rate limit announced by an upstream: requests per second from all processes together.
pub const LIMIT: &str = "quillcove-limit";

/// Identity of a request by what it asks for, independent of its ids, from entry to agent.
pub const IDENTITY: &str = "quillcove-identity";

/// Returns a header's value as text, or `None` if it is missing or not ASCII.
///
/// ```
/// use http::HeaderMap;
///
/// assert_eq!(quillcove::web::headers::text(&HeaderMap::new(), "quillcove-ticket"), None);
/// ```
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header as a number of milliseconds.
///
/// ```
/// use std::time::Duration;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("quillcove-deadline-ms", "250".parse().unwrap());
/// let read = quillcove::web::headers::millis(&headers, "quillcove-deadline-ms");
/// assert_eq!(read, Some(Duration::from_millis(250)));
/// ```
pub fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    text(headers, name)?.trim().parse().ok().map(Duration::from_millis)
}

/// Parses the upstream status in a response: whether the upstream is draining, its rate limit and, with status 503, its
/// requested pause. Also returns a description of a header that cannot be parsed. Such a header is ignored; a
/// requested pause above the maximum is described too and reduced to it.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use http::{HeaderMap, StatusCode};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("retry-after", "2".parse().unwrap());
/// let status = StatusCode::SERVICE_UNAVAILABLE;
/// let (notice, fault) = quillcove::web::headers::parse_upstream_notice(status, &headers, SystemTime::now());
/// assert_eq!((notice.rest, fault), (Some(Duration::from_secs(2)), None));
/// ```
pub fn parse_upstream_notice(
    status: StatusCode,
    headers: &HeaderMap,
    now: SystemTime,
) -> (UpstreamNotice, Option<String>) {
    let is_leaving = text(headers, LEAVING) == Some("yes");
    let limit_value = headers.get(LIMIT);
    let limit = limit_value.and_then(|value| read_limit(value.to_str().ok()?));
    let fault = limit_value.filter(|_| limit.is_none());
    let fault = fault.map(|value| {
        format!("header {LIMIT}: {value:?} is not a rate limit in requests per second")
    });
    // With any other status, `Retry-After` is meant for the caller.
    let value = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let Some(value) = value else {
        return (UpstreamNotice { is_leaving, rest: None, limit }, fault);
    };
    let requested_pause = value.to_str().ok().and_then(|text| read_rest(text, now));
    let is_invalid = requested_pause.is_none_or(|rest| rest > LONGEST_REST);
    let pause_fault = is_invalid
        .then(|| format!("header {RETRY_AFTER}: {value:?} is not a pause of at most 300 s"));
    let rest = requested_pause.filter(|rest| !rest.is_zero()).map(|rest| rest.min(LONGEST_REST));
    (UpstreamNotice { is_leaving, rest, limit }, pause_fault.or(fault))
}

/// Headers that apply to a single connection.
const HOP_HEADERS: [&str; 5] =
    ["connection", "host", "content-length", "transfer-encoding", "keep-alive"];

/// Returns whether the headers of a response say where its body ends. A body that ends with its connection looks
/// complete even if the sender exited in the middle of it.
///
/// ```
/// use http::HeaderMap;
/// use quillcove::web::headers::is_framed;
///
/// let mut headers = HeaderMap::new();
/// assert!(!is_framed(&headers));
/// headers.insert("content-length", "5".parse().unwrap());
/// assert!(is_framed(&headers));
/// ```
pub fn is_framed(headers: &HeaderMap) -> bool {
    !matches!(body_framing(headers), Ok(BodyFraming::Connection))
}

/// Returns the headers to forward: all but those of a single connection and quillcove's own.
///
/// ```
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("quillcove-ticket", "t".parse().unwrap());
/// headers.insert("accept", "text/plain".parse().unwrap());
/// assert_eq!(quillcove::web::headers::forwarded_headers(&headers).len(), 1);
/// ```
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_own = name.as_str().starts_with(OWN_PREFIX);
        if !is_own && !HOP_HEADERS.contains(&name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}
