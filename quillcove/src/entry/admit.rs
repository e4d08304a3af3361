//! Reading callers' requests: target, class, deadline and whether they may run twice.

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
use serde_json::value::RawValue;

use crate::config::entry::RequestSection;
use crate::web::headers;

/// Longest name of a caller or a key, in bytes.
const TEXT_LIMIT: usize = 256;

/// Bytes of a prompt that decide on which engine its prefix is likely cached.
const PREFIX_BYTES: usize = 256;

/// Why a request is not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmitError {
    /// Reason for the verdict.
    pub reason: RefusalReason,
    /// What was found and what is accepted.
    pub message: String,
}

impl AdmitError {
    fn bad(message: impl Into<String>) -> Self {
        Self { reason: RefusalReason::BadRequest, message: message.into() }
    }
}

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub struct RequestTerms {
    pub class: WorkClass,
    pub repeat: RepeatRule,
    pub limit: Duration,
    pub caller: String,
    pub ticket: Option<String>,
    pub key: Option<String>,
    /// Most upstreams that the request may be sent to, where its route says so.
    pub attempt_limit: Option<u32>,
}

/// Reads the headers that belong to quillcove.
pub fn read_terms(
    headers: &HeaderMap,
    default: RepeatRule,
    section: &RequestSection,
) -> Result<RequestTerms, AdmitError> {
    let class = read_class(headers)?;
    let repeat = match headers::text(headers, headers::REPEATABLE) {
        None => default,
        Some("no") => RepeatRule::Once,
        Some("yes") => RepeatRule::Repeatable,
        Some(other) => {
            let message = format!("Quillcove-Repeatable is '{other}'; accepted is yes or no");
            return Err(AdmitError::bad(message));
        },
    };
    let limit = match (headers.contains_key(headers::DEADLINE_MS), class) {
        (false, WorkClass::Batch) => section.batch_deadline,
        (false, _) => section.deadline,
        (true, _) => headers::millis(headers, headers::DEADLINE_MS).ok_or_else(|| {
            AdmitError::bad("Quillcove-Deadline-Ms is not a whole number of milliseconds")
        })?,
    };
    Ok(RequestTerms {
        class,
        repeat,
        limit: limit.min(section.deadline_limit),
        caller: short_text(headers, headers::CALLER)?.unwrap_or_default(),
        ticket: short_text(headers, headers::TICKET)?,
        key: short_text(headers, headers::IDEMPOTENCY_KEY)?,
        attempt_limit: None,
    })
}

/// Reads the headers of a request of a route. The route's word goes before the caller's where the two
/// clash: what may run once is not repeated, and nothing is held longer than the route allows.
pub fn read_route_terms(
    headers: &HeaderMap,
    route: &RouteRecord,
    section: &RequestSection,
) -> Result<RequestTerms, AdmitError> {
    let default = match route.kind.is_repeatable() {
        true => RepeatRule::Repeatable,
        false => RepeatRule::Once,
    };
    let mut terms = read_terms(headers, default, section)?;
    if default == RepeatRule::Once {
        terms.repeat = RepeatRule::Once;
    }
    if !headers.contains_key(headers::PRIORITY) {
        terms.class = route.class();
    }
    terms.limit = terms.limit.min(route.timeout);
    terms.attempt_limit = Some(route.attempt_limit);
    Ok(terms)
}

fn read_class(headers: &HeaderMap) -> Result<WorkClass, AdmitError> {
    let Some(label) = headers::text(headers, headers::PRIORITY) else {
        return Ok(WorkClass::default());
    };
    WorkClass::from_label(label).ok_or_else(|| {
        let message =
            format!("Quillcove-Priority is '{label}'; accepted is urgent, normal or batch");
        AdmitError::bad(message)
    })
}

fn short_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, AdmitError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if text.len() <= TEXT_LIMIT => Ok(Some(text.to_string())),
        _ => Err(AdmitError::bad(format!(
            "header {name} is not a text of at most {TEXT_LIMIT} characters"
        ))),
    }
}

/// The parts of a completion request that routing needs.
#[derive(serde::Deserialize)]
struct CompletionHead<'a> {
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
    /// Whether the caller wants a stream of events.
    pub is_stream: bool,
    /// The body with the adapter's name and version in place of the caller's model name.
    pub body: Bytes,
}

/// Resolves the model of a completion request, once for its whole life.
pub fn read_completion(
    body: &Bytes,
    class: WorkClass,
    bundle: &FleetBundle,
) -> Result<AdmittedCompletion, AdmitError> {
    let head: CompletionHead<'_> =
        serde_json::from_slice(body).map_err(|error| AdmitError::bad(format!("body: {error}")))?;
    let adapter = bundle.resolve(&head.model).map_err(|error| AdmitError {
        reason: RefusalReason::Unknown,
        message: error.to_string(),
    })?;
    let model = bundle.model_of(&adapter).unwrap_or_default().to_string();
    let prompt = head.prompt.or(head.messages).map(RawValue::get);
    let prefix = prompt.map(|text| {
        let end = text.len().min(PREFIX_BYTES);
        let start = String::from_utf8_lossy(&text.as_bytes()[..end]);
        rendezvous::weight(&adapter.to_string(), &start)
    });
    let body = rewrite_body(body, &adapter, class)?;
    Ok(AdmittedCompletion { adapter, model, prefix, is_stream: head.stream, body })
}

/// Puts the resolved adapter and the engine's priority into the body; all else stays.
fn rewrite_body(body: &Bytes, adapter: &AdapterRef, class: WorkClass) -> Result<Bytes, AdmitError> {
    let mut fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(|error| AdmitError::bad(format!("body: {error}")))?;
    fields.insert("model".to_string(), adapter.to_string().into());
    fields.insert("priority".to_string(), (class as u8).into());
    let body = serde_json::to_vec(&fields).map_err(|error| AdmitError::bad(error.to_string()))?;
    Ok(body.into())
}

/// The host that owns a run which must not happen twice: the issuer of its ticket, or among the
/// replicas that the bundle names, the first by rendezvous hashing of its key.
pub fn owner_of(
    terms: &RequestTerms,
    service: &str,
    bundle: &FleetBundle,
) -> Result<Option<RouteTarget>, AdmitError> {
    if terms.repeat == RepeatRule::Repeatable {
        return Ok(None);
    }
    if let Some(ticket) = &terms.ticket {
        let ticket = RunTicket::peek(ticket).ok_or(AdmitError {
            reason: RefusalReason::BadRequest,
            message: "Quillcove-Ticket can not be read".to_string(),
        })?;
        return Ok(Some(RouteTarget::Owner(ticket.owner)));
    }
    let Some(key) = &terms.key else {
        return Ok(None);
    };
    let replicas = bundle.services.get(service).map(|entry| entry.replicas.as_slice());
    let names = replicas.unwrap_or_default().iter().map(String::as_str);
    let key = format!("{}\n{key}", terms.caller);
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

/// Puts the parts of a query together.
pub fn query(
    request: RequestId,
    target: RouteTarget,
    terms: &RequestTerms,
    prefix: Option<u64>,
    now: MonoTime,
) -> RouteQuery {
    RouteQuery {
        request,
        target,
        class: terms.class,
        repeat: terms.repeat,
        deadline: now + terms.limit,
        caller: terms.caller.clone(),
        prefix,
        attempt_limit: terms.attempt_limit,
        identity: None,
    }
}

/// Who sent a request: the caller that it names, else where it came from.
pub fn caller_of(terms: &RequestTerms, address: IpAddr) -> CallerDigest {
    match terms.caller.as_str() {
        "" => caller_digest(address),
        name => named_caller_digest(name),
    }
}
