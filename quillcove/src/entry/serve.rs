//! The callers' address of an entry.

use std::time::Duration;

use bytes::Bytes;
use dropshot::{ApiDescription, HttpServer, Path, RequestContext, StreamingBody};
use http::Method;
use quillcove_core::agent::event::HostState;
use quillcove_core::entry::event::{HostRecord, RepeatRule, RouteTarget};
use quillcove_core::ids::RequestId;
use quillcove_core::once::ticket::RunTicket;
use quillcove_core::verdict::{RefusalReason, RunVerdict, SOON, WorkRefusal};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::json;
use slog::Logger;

use super::admit::{self, AdmitError};
use super::attempt::{self, OutgoingRequest, find_control, with_request_id};
use super::context::ServeContext;
use crate::control::AgentControlClient;
use crate::logging::quiet;
use crate::web::answer::{WebAnswer, explain, json_answer, refusal};
use crate::web::body;
use crate::web::headers;
use crate::web::server::{self, register, register_any_method};

/// Longest time for a ticket call.
const TICKET_TIMEOUT: Duration = Duration::from_millis(500);

/// Owners asked for a ticket before a caller is told to come back.
const TICKET_TRIES: usize = 3;

/// A new request's id; its low bits stay free for the number of the attempt.
fn new_request() -> RequestId {
    rand::random::<u128>() >> 8
}

/// Answers a request that was not admitted.
fn reject(request: RequestId, error: &AdmitError) -> WebAnswer {
    let retry_after = match error.reason {
        RefusalReason::BundleMissing | RefusalReason::NoUpstream => Some(SOON),
        _ => None,
    };
    let refused = WorkRefusal::not_run(error.reason, retry_after);
    with_request_id(refusal(&refused, &error.message), request)
}

/// Reads a body within its time.
async fn read_body(state: &ServeContext, body: StreamingBody) -> Result<Bytes, AdmitError> {
    let limit = state.settings.requests.body_timeout;
    let read = tokio::time::timeout(limit, body::read(body)).await;
    let bad = |message: String| AdmitError { reason: RefusalReason::BadRequest, message };
    match read {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error)) => Err(bad(format!("body: {}", error.external_message))),
        Err(_) => Err(bad(format!("the body did not arrive within {limit:?}"))),
    }
}

async fn complete(context: RequestContext<ServeContext>, body: StreamingBody) -> WebAnswer {
    answer_completion(context, body, "v1/completions").await
}

async fn complete_chat(context: RequestContext<ServeContext>, body: StreamingBody) -> WebAnswer {
    answer_completion(context, body, "v1/chat/completions").await
}

async fn answer_completion(
    context: RequestContext<ServeContext>,
    body: StreamingBody,
    path: &str,
) -> WebAnswer {
    let state = context.context();
    let request = new_request();
    match prepare_completion(state, &context, body, path, request).await {
        Ok(outgoing) => attempt::run(state, outgoing).await,
        Err(error) => reject(request, &error),
    }
}

async fn prepare_completion(
    state: &ServeContext,
    context: &RequestContext<ServeContext>,
    body: StreamingBody,
    path: &str,
    request: RequestId,
) -> Result<OutgoingRequest, AdmitError> {
    let given = context.request.headers();
    let section = &state.settings.requests;
    let terms = admit::read_terms(given, RepeatRule::Repeatable, section)?;
    let body = read_body(state, body).await?;
    let bundle = state.bundle()?;
    let completion = admit::read_completion(&body, terms.class, &bundle)?;
    let adapter = completion.adapter.clone();
    let target = RouteTarget::Adapter { adapter, model: completion.model };
    let now = state.clock.now();
    Ok(OutgoingRequest {
        query: admit::query(request, target, &terms, completion.prefix, now),
        terms,
        method: Method::POST,
        path: path.to_string(),
        headers: headers::passed(given),
        is_stream: completion.is_stream,
        body: completion.body,
        adapter: Some(completion.adapter),
    })
}

/// Path of a call to a plain service.
#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    /// Read by [`server::rest_of`] instead, as it was sent.
    #[allow(dead_code)]
    path: Vec<String>,
}

async fn call_service(
    context: RequestContext<ServeContext>,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> WebAnswer {
    let state = context.context();
    let request = new_request();
    match prepare_call(state, &context, path.into_inner(), body, request).await {
        Ok(outgoing) => attempt::run(state, outgoing).await,
        Err(error) => reject(request, &error),
    }
}

async fn prepare_call(
    state: &ServeContext,
    context: &RequestContext<ServeContext>,
    path: ServicePath,
    body: StreamingBody,
    request: RequestId,
) -> Result<OutgoingRequest, AdmitError> {
    let given = context.request.headers();
    let method = context.request.method().clone();
    let default = default_repeat(&method);
    let terms = admit::read_terms(given, default, &state.settings.requests)?;
    let body = read_body(state, body).await?;
    let bundle = state.bundle()?;
    if !bundle.services.contains_key(&path.service) {
        let message = format!("the bundle has no service '{}'", path.service);
        return Err(AdmitError { reason: RefusalReason::Unknown, message });
    }
    let owner = admit::owner_of(&terms, &path.service, &bundle)?;
    let target = owner.unwrap_or(RouteTarget::Service(path.service));
    let now = state.clock.now();
    Ok(OutgoingRequest {
        query: admit::query(request, target, &terms, None, now),
        terms,
        method,
        path: server::rest_of(context.request.uri(), 2).to_string(),
        headers: headers::passed(given),
        body,
        adapter: None,
        is_stream: false,
    })
}

/// Without a header, calls that HTTP calls idempotent may be repeated and others may not.
fn default_repeat(method: &Method) -> RepeatRule {
    match method.is_idempotent() {
        true => RepeatRule::Repeatable,
        false => RepeatRule::Once,
    }
}

async fn list_models(context: RequestContext<ServeContext>) -> WebAnswer {
    let state = context.context();
    let request = new_request();
    let bundle = match state.bundle() {
        Ok(bundle) => bundle,
        Err(error) => return reject(request, &error),
    };
    let models: Vec<serde_json::Value> = bundle
        .adapters
        .iter()
        .map(|(name, entry)| {
            let id = format!("{name}@{}", entry.current);
            json!({ "id": id, "object": "model", "created": 0, "owned_by": entry.model })
        })
        .collect();
    with_request_id(json_answer(&json!({ "object": "list", "data": models })), request)
}

/// Path of a wish for a ticket.
#[derive(Debug, Deserialize, JsonSchema)]
struct TicketPath {
    service: String,
}

/// Gets a ticket from one of the service's agents, drawn anew for each.
async fn issue_ticket(context: RequestContext<ServeContext>, path: Path<TicketPath>) -> WebAnswer {
    let state = context.context();
    let request = new_request();
    let service = path.into_inner().service;
    match state.bundle() {
        Ok(bundle) if bundle.services.contains_key(&service) => {},
        Ok(_) => {
            let message = format!("the bundle has no service '{service}'");
            return reject(request, &AdmitError { reason: RefusalReason::Unknown, message });
        },
        Err(error) => return reject(request, &error),
    }
    for control in ticket_issuers(state, &service) {
        let issued =
            |client: AgentControlClient, context| async move { client.issue_ticket(context).await };
        if let Ok(Ok(ticket)) = state.pool.call(&control, TICKET_TIMEOUT, issued).await {
            let answer = json_answer(&json!({ "object": "ticket", "ticket": ticket }));
            return with_request_id(answer, request);
        }
    }
    let reason = RefusalReason::NoUpstream;
    reject(request, &AdmitError { reason, message: explain(reason).to_string() })
}

/// Control addresses of a few live agents of a service, in an order drawn anew.
fn ticket_issuers(state: &ServeContext, service: &str) -> Vec<String> {
    let hosts = state.shelf.hosts();
    let target = RouteTarget::Service(service.to_string());
    let fits = |record: &&HostRecord| record.state == HostState::Live && record.fits(&target);
    let mut controls: Vec<String> =
        hosts.iter().filter(fits).map(|record| record.control.clone()).collect();
    rand::seq::SliceRandom::shuffle(controls.as_mut_slice(), &mut rand::rng());
    controls.truncate(TICKET_TRIES);
    controls
}

/// Path of a question about a ticket.
#[derive(Debug, Deserialize, JsonSchema)]
struct TicketStatePath {
    ticket: String,
}

async fn read_ticket(
    context: RequestContext<ServeContext>,
    path: Path<TicketStatePath>,
) -> WebAnswer {
    let state = context.context();
    let request = new_request();
    let text = path.into_inner().ticket;
    let Some(ticket) = RunTicket::peek(&text) else {
        let message = "the ticket can not be read".to_string();
        return reject(request, &AdmitError { reason: RefusalReason::BadRequest, message });
    };
    let unknown = WorkRefusal::may_have_run(RefusalReason::TicketUnknown);
    let Some(control) = find_control(state, &ticket.owner).await else {
        return with_request_id(refusal(&unknown, "the ticket's owner is not known"), request);
    };
    let asked = |client: AgentControlClient, context| async move {
        client.ticket_state(context, text).await
    };
    let answer = match state.pool.call(&control, TICKET_TIMEOUT, asked).await {
        Ok(Ok(found)) => json_answer(&ticket_json(found)),
        Ok(Err(refused)) => refusal(&refused, explain(refused.reason)),
        Err(error) => refusal(&unknown, &error.to_string()),
    };
    with_request_id(answer, request)
}

fn ticket_json(state: Option<quillcove_core::once::book::OnceState>) -> serde_json::Value {
    use quillcove_core::once::book::OnceState;
    let (label, verdict, status) = match state {
        None => ("unused", RunVerdict::NotRun, None),
        Some(OnceState::Underway) => ("underway", RunVerdict::MayHaveRun, None),
        Some(OnceState::Ran(status)) => ("ran", RunVerdict::Ran, Some(status)),
        Some(OnceState::Uncertain) => ("uncertain", RunVerdict::MayHaveRun, None),
    };
    json!({
        "object": "ticket.state",
        "state": label,
        "verdict": verdict.label(),
        "status": status,
    })
}

/// Starts the server for callers.
pub fn start(context: ServeContext, log: &Logger) -> eyre::Result<HttpServer<ServeContext>> {
    let mut api = ApiDescription::new();
    let post = Method::POST;
    register!(api, "complete", post.clone(), "/v1/completions", complete)?;
    register!(api, "complete_chat", post.clone(), "/v1/chat/completions", complete_chat)?;
    register!(api, "list_models", Method::GET, "/v1/models", list_models)?;
    register!(api, "issue_ticket", post, "/v1/tickets/{service}", issue_ticket)?;
    register!(api, "read_ticket", Method::GET, "/v1/ticket-states/{ticket}", read_ticket)?;
    register_any_method!(api, "call", "/svc/{service}/{path:.*}", call_service);
    let address = context.settings.listen.callers;
    let body_limit = context.settings.requests.body_limit;
    server::start(api, context, address, body_limit, &quiet(log))
}
