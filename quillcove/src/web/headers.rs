//! Names of the headers, and reading them.

use std::time::{Duration, SystemTime};

use http::header::RETRY_AFTER;
use http::{HeaderMap, StatusCode};
use quillcove_core::standing::limit::read_limit;
use quillcove_core::standing::notice::{LONGEST_REST, UpstreamNotice, read_rest};

/// Start of the names of quillcove's own headers.
const OWN_PREFIX: &str = "quillcove-";

/// Key that a caller gives to a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Ticket for a request that must not run twice.
pub const TICKET: &str = "quillcove-ticket";
/// The same key from entry to agent; the caller's own header goes on to the service unchanged.
pub const KEY: &str = "quillcove-key";
/// `no` on a request that must not run twice.
pub const REPEATABLE: &str = "quillcove-repeatable";
/// Time that the caller gives the request, in milliseconds.
pub const DEADLINE_MS: &str = "quillcove-deadline-ms";
/// Class of work.
pub const PRIORITY: &str = "quillcove-priority";
/// Name of the caller's organisation.
pub const CALLER: &str = "quillcove-caller";
/// Identifies the request, on every answer.
pub const REQUEST_ID: &str = "quillcove-request-id";
/// Verdict, on every answer.
pub const VERDICT: &str = "quillcove-verdict";
/// Reason of a refusal.
pub const REASON: &str = "quillcove-reason";
/// Exact time after which to come back, in milliseconds, beside the whole seconds of
/// `Retry-After`.
pub const RETRY_AFTER_MS: &str = "quillcove-retry-after-ms";
/// How long the request waited at the agent before its upstream got it, in milliseconds.
pub const WAITED_MS: &str = "quillcove-waited-ms";
/// Set by an agent on its own refusals, so that they are told apart from the upstream's answers.
pub const REFUSED: &str = "quillcove-refused";
/// Names the attempt, from entry to agent.
pub const ATTEMPT: &str = "quillcove-attempt";
/// Run of the agent that an attempt is meant for.
pub const INCARNATION: &str = "quillcove-incarnation";
/// Adapter with version, from entry to agent and back.
pub const ADAPTER: &str = "quillcove-adapter";
/// News of an agent about itself, as JSON, on each of its answers.
pub const NEWS: &str = "quillcove-news";

/// `yes` on each answer of an upstream that leaves.
pub const LEAVING: &str = "quillcove-leaving";

/// By which an upstream names the requests a second that it takes from all processes together.
pub const LIMIT: &str = "quillcove-limit";

/// What a request is, whatever its ids, from entry to agent.
pub const IDENTITY: &str = "quillcove-identity";

/// Reads a header as text.
///
/// ```
/// use http::HeaderMap;
///
/// assert_eq!(quillcove::web::headers::text(&HeaderMap::new(), "quillcove-ticket"), None);
/// ```
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a header as a number of milliseconds.
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

/// What an upstream says of itself with an answer: that it leaves, the rate of requests that it takes, or, with 503,
/// for how long it wants nothing; and what of it is not understood. What can't be read says nothing, a rest beyond
/// the longest one is cut to that.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use http::{HeaderMap, StatusCode};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("retry-after", "2".parse().unwrap());
/// let status = StatusCode::SERVICE_UNAVAILABLE;
/// let (notice, fault) = quillcove::web::headers::notice(status, &headers, SystemTime::now());
/// assert_eq!((notice.rest, fault), (Some(Duration::from_secs(2)), None));
/// ```
pub fn notice(
    status: StatusCode,
    headers: &HeaderMap,
    wall: SystemTime,
) -> (UpstreamNotice, Option<String>) {
    let is_leaving = text(headers, LEAVING) == Some("yes");
    let named = headers.get(LIMIT);
    let limit = named.and_then(|value| read_limit(value.to_str().ok()?));
    let fault = named.filter(|_| limit.is_none());
    let fault = fault.map(|value| format!("header {LIMIT}: {value:?} is no rate of requests"));
    // With another status it tells a caller something.
    let value = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let Some(value) = value else {
        return (UpstreamNotice { is_leaving, rest: None, limit }, fault);
    };
    let asked = value.to_str().ok().and_then(|text| read_rest(text, wall));
    let is_odd = asked.is_none_or(|rest| rest > LONGEST_REST);
    let odd_rest =
        is_odd.then(|| format!("header {RETRY_AFTER}: {value:?} is no rest of 300 s at most"));
    let rest = asked.filter(|rest| !rest.is_zero()).map(|rest| rest.min(LONGEST_REST));
    (UpstreamNotice { is_leaving, rest, limit }, odd_rest.or(fault))
}

/// Headers that belong to one connection.
const HOP_HEADERS: [&str; 5] =
    ["connection", "host", "content-length", "transfer-encoding", "keep-alive"];

/// The headers that are passed on: none of one connection, and none of quillcove's own.
///
/// ```
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("quillcove-ticket", "t".parse().unwrap());
/// headers.insert("accept", "text/plain".parse().unwrap());
/// assert_eq!(quillcove::web::headers::passed(&headers).len(), 1);
/// ```
pub fn passed(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_own = name.as_str().starts_with(OWN_PREFIX);
        if !is_own && !HOP_HEADERS.contains(&name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}
