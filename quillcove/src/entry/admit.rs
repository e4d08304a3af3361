//! Parsing of callers' requests: target, priority class, deadline and whether they may run twice.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use quillcove_core::adapter::AdapterRef;
use quillcove_core::bundle::FleetBundle;
use quillcove_core::class::WorkClass;
use quillcove_core::crash::digest::{CallerDigest, caller_digest, named_caller_digest};
use quillcove_core::entry::event::{RepeatRule, RouteQuery, RouteTarget};
use quillcove_core::ids::{MonoTime, RequestId};
use quillcove_core::once::ticket::RunTicket;
use quillcove_core::rendezvous;
use quillcove_core::route::RouteRecord;
use quillcove_core::verdict::RefusalReason;
use serde_json::value::{RawValue, to_raw_value};

use crate::config::entry::RequestSection;
use crate::web::headers;

/// Longest caller name, ticket or idempotency key, in bytes.
const HEADER_TEXT_LIMIT_BYTES: usize = 256;

/// Bytes at the start of a prompt that are hashed to prefer an engine with a cached prefix.
const PREFIX_HASH_BYTES: usize = 256;

/// Error of a request that is not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmitError {
    /// Reason given to the caller.
    pub reason: RefusalReason,
    /// Explanation: what was received and what is accepted.
    pub message: String,
}

impl AdmitError {
    fn bad(message: impl Into<String>) -> Self {
        Self { reason: RefusalReason::BadRequest, message: message.into() }
    }
}

/// Options that a request's headers set.
#[derive(Clone, Debug)]
pub struct RequestOptions {
    pub class: WorkClass,
    pub repeat: RepeatRule,
    pub timeout: Duration,
    pub caller: String,
    pub ticket: Option<String>,
    pub key: Option<String>,
    /// Highest number of upstreams that the request may be sent to; `None` without a route.
    pub attempt_limit: Option<u32>,
}

/// Parses the `Quillcove-*` headers and the idempotency key. `default` applies if the request does
/// not say whether it may be repeated.
pub fn parse_options(
    headers: &HeaderMap,
    default: RepeatRule,
    section: &RequestSection,
) -> Result<RequestOptions, AdmitError> {
    let class = parse_priority(headers)?;
    let repeat = match headers::text(headers, headers::REPEATABLE) {
        None => default,
        Some("no") => RepeatRule::Once,
        Some("yes") => RepeatRule::Repeatable,
        Some(other) => {
            let message = format!("Quillcove-Repeatable is '{other}'; accepted is yes or no");
            return Err(AdmitError::bad(message));
        },
    };
    let timeout = match (headers.contains_key(headers::DEADLINE_MS), class) {
        (false, WorkClass::Batch) => section.batch_deadline,
        (false, _) => section.deadline,
        (true, _) => headers::millis(headers, headers::DEADLINE_MS).ok_or_else(|| {
            AdmitError::bad("Quillcove-Deadline-Ms is not a whole number of milliseconds")
        })?,
    };
    Ok(RequestOptions {
        class,
        repeat,
        timeout: timeout.min(section.deadline_limit),
        caller: bounded_text(headers, headers::CALLER)?.unwrap_or_default(),
        ticket: bounded_text(headers, headers::TICKET)?,
        key: bounded_text(headers, headers::IDEMPOTENCY_KEY)?,
        attempt_limit: None,
    })
}

/// Parses the headers of a request that matched a route. The route's settings override the caller's
/// where they conflict: a request that may run only once is not repeated, and no request is held
/// longer than the route's timeout.
pub fn parse_route_options(
    headers: &HeaderMap,
    route: &RouteRecord,
    section: &RequestSection,
) -> Result<RequestOptions, AdmitError> {
    let default = match route.kind.is_repeatable() {
        true => RepeatRule::Repeatable,
        false => RepeatRule::Once,
    };
    let mut options = parse_options(headers, default, section)?;
    if default == RepeatRule::Once {
        options.repeat = RepeatRule::Once;
    }
    if !headers.contains_key(headers::PRIORITY) {
        options.class = route.class();
    }
    options.timeout = options.timeout.min(route.timeout);
    options.attempt_limit = Some(route.attempt_limit);
    Ok(options)
}

fn parse_priority(headers: &HeaderMap) -> Result<WorkClass, AdmitError> {
    let Some(label) = headers::text(headers, headers::PRIORITY) else {
        return Ok(WorkClass::default());
    };
    WorkClass::from_label(label).ok_or_else(|| {
        let message =
            format!("Quillcove-Priority is '{label}'; accepted is urgent, normal or batch");
        AdmitError::bad(message)
    })
}

fn bounded_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, AdmitError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if text.len() <= HEADER_TEXT_LIMIT_BYTES => Ok(Some(text.to_string())),
        _ => Err(AdmitError::bad(format!(
            "header {name} is not a text of at most {HEADER_TEXT_LIMIT_BYTES} characters"
        ))),
    }
}

/// Fields of a completion request that routing needs.
#[derive(serde::Deserialize)]
struct CompletionFields<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

/// A completion request with its adapter resolved.
#[derive(Clone, Debug)]
pub struct AdmittedCompletion {
    pub adapter: AdapterRef,
    pub model: String,
    pub prefix: Option<u64>,
    /// Whether the caller requested an event stream.
    pub is_stream: bool,
    /// The body with the adapter's name and version in place of the caller's model name.
    pub body: Bytes,
}

/// Parses a completion request and resolves its model to an adapter version, which all attempts of
/// the request use.
pub fn parse_completion(
    body: &Bytes,
    class: WorkClass,
    bundle: &FleetBundle,
) -> Result<AdmittedCompletion, AdmitError> {
    let head: CompletionFields<'_> =
        serde_json::from_slice(body).map_err(|error| AdmitError::bad(format!("body: {error}")))?;
    let adapter = bundle.resolve(&head.model).map_err(|error| AdmitError {
        reason: RefusalReason::Unknown,
        message: error.to_string(),
    })?;
    let model = bundle.model_of(&adapter).unwrap_or_default().to_string();
    let prompt = head.prompt.or(head.messages).map(RawValue::get);
    let prefix = prompt.map(|text| {
        let end = text.len().min(PREFIX_HASH_BYTES);
        let start = String::from_utf8_lossy(&text.as_bytes()[..end]);
        rendezvous::weight(&adapter.to_string(), &start)
    });
    let body = rewrite_body(body, &adapter, class)?;
    Ok(AdmittedCompletion { adapter, model, prefix, is_stream: head.stream, body })
}

/// Sets the resolved adapter and the engine's priority in the body and leaves all other fields as
/// they are.
fn rewrite_body(body: &Bytes, adapter: &AdapterRef, class: WorkClass) -> Result<Bytes, AdmitError> {
    // Parsed values would take many times the memory of their text.
    let mut fields: BTreeMap<String, &RawValue> =
        serde_json::from_slice(body).map_err(|error| AdmitError::bad(format!("body: {error}")))?;
    let model = to_raw_value(&adapter.to_string());
    let model = model.map_err(|error| AdmitError::bad(error.to_string()))?;
    let priority = to_raw_value(&(class as u8));
    let priority = priority.map_err(|error| AdmitError::bad(error.to_string()))?;
    fields.insert("model".to_string(), &model);
    fields.insert("priority".to_string(), &priority);
    let body = serde_json::to_vec(&fields).map_err(|error| AdmitError::bad(error.to_string()))?;
    Ok(body.into())
}

/// Returns the host that owns a request which must run at most once: the issuer of its ticket, or
/// the first of the bundle's replicas by rendezvous hashing of the caller and the idempotency key.
/// Returns `None` for a repeatable request and for one with neither ticket nor key.
pub fn owner_target(
    options: &RequestOptions,
    service: &str,
    bundle: &FleetBundle,
) -> Result<Option<RouteTarget>, AdmitError> {
    if options.repeat == RepeatRule::Repeatable {
        return Ok(None);
    }
    if let Some(ticket) = &options.ticket {
        let ticket = RunTicket::decode_unverified(ticket).ok_or(AdmitError {
            reason: RefusalReason::BadRequest,
            message: "Quillcove-Ticket can not be read".to_string(),
        })?;
        return Ok(Some(RouteTarget::Owner(ticket.owner)));
    }
    let Some(key) = &options.key else {
        return Ok(None);
    };
    let replicas = bundle.services.get(service).map(|entry| entry.replicas.as_slice());
    let names = replicas.unwrap_or_default().iter().map(String::as_str);
    let key = format!("{}\n{key}", options.caller);
    match rendezvous::first(&key, names) {
        Some(owner) => Ok(Some(RouteTarget::Owner(owner.to_string()))),
        None => Err(AdmitError {
            reason: RefusalReason::Unknown,
            message: format!(
                "the bundle names no replicas for keys of '{service}'; take a ticket instead"
            ),
        }),
    }
}

/// Builds the routing query of a request, with its deadline counted from `now`.
pub fn build_query(
    request: RequestId,
    target: RouteTarget,
    options: &RequestOptions,
    prefix: Option<u64>,
    now: MonoTime,
) -> RouteQuery {
    RouteQuery {
        request,
        target,
        class: options.class,
        repeat: options.repeat,
        deadline: now + options.timeout,
        caller: options.caller.clone(),
        prefix,
        attempt_limit: options.attempt_limit,
        identity: None,
    }
}

/// Returns the digest of the caller's name, or of its address if the request names no caller.
pub fn caller_of(options: &RequestOptions, address: IpAddr) -> CallerDigest {
    match options.caller.as_str() {
        "" => caller_digest(address),
        name => named_caller_digest(name),
    }
}
