//! HTTP server for callers: completions, calls of plain services and routes, and tickets.

use std::time::Duration;

use bytes::Bytes;
use dropshot::{ApiDescription, HttpServer, Path, RequestContext, StreamingBody};
use http::Method;
use quillcove_core::agent::event::HostState;
use quillcove_core::bundle::{BodyLimits, FleetBundle};
use quillcove_core::entry::event::{HostRecord, RepeatRule, RouteTarget};
use quillcove_core::ids::{RequestId, ServiceName};
use quillcove_core::memory::MemoryFull;
use quillcove_core::once::ticket::RunTicket;
use quillcove_core::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::json;
use slog::Logger;

use super::admit::{self, AdmitError, RequestOptions};
use super::attempt::{self, OutgoingRequest, find_control_address, with_request_id};
use super::context::ServeContext;
use crate::control::AgentControlClient;
use crate::logging::quiet;
use crate::web::answer::{HandlerResult, json_response, refusal, refusal_message};
use crate::web::body::{self, ReadError};
use crate::web::headers;
use crate::web::held::hold;
use crate::web::server::{self, WildcardPath, register, register_any_method};

/// Timeout of a control call about tickets.
const TICKET_TIMEOUT: Duration = Duration::from_millis(500);

/// Most agents tried for a ticket before the request is rejected with a retry time.
const TICKET_AGENT_LIMIT: usize = 3;

/// Returns a random ID of at most 120 bits for a new request. An attempt's ID is that of its
/// request with the number of the attempt in 8 further low bits.
fn new_request() -> RequestId {
    rand::random::<u128>() >> 8
}

/// Returns the response to a request that was not admitted.
fn reject(request: RequestId, error: &AdmitError) -> HandlerResult {
    let retry_after = match error.reason {
        RefusalReason::BundleMissing | RefusalReason::NoUpstream | RefusalReason::Overloaded => {
            Some(SHORT_RETRY_DELAY)
        },
        _ => None,
    };
    let refused = WorkRefusal::not_run(error.reason, retry_after);
    with_request_id(refusal(&refused, &error.message), request)
}

/// Reads a request's body within the limits on its time and size.
async fn read_body(
    state: &ServeContext,
    bundle: &FleetBundle,
    body: StreamingBody,
) -> Result<Bytes, AdmitError> {
    let BodyLimits { body_bytes, body_time_ms } = bundle.limits;
    let limit = state.settings.requests.body_timeout.min(Duration::from_millis(body_time_ms));
    let read = tokio::time::timeout(limit, body::read(body, body_bytes, &state.memory)).await;
    let bad = |message: String| AdmitError { reason: RefusalReason::BadRequest, message };
    match read {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(ReadError::Memory(full))) => Err(memory_error(full)),
        Ok(Err(error @ ReadError::TooLarge(_))) => Err(bad(error.to_string())),
        Ok(Err(ReadError::Body(error))) => Err(bad(format!("body: {}", error.external_message))),
        Err(_) => Err(bad(format!("the body did not arrive within {limit:?}"))),
    }
}

fn memory_error(full: MemoryFull) -> AdmitError {
    AdmitError { reason: RefusalReason::Overloaded, message: full.to_string() }
}

async fn complete(context: RequestContext<ServeContext>, body: StreamingBody) -> HandlerResult {
    answer_completion(context, body, "v1/completions").await
}

async fn complete_chat(
    context: RequestContext<ServeContext>,
    body: StreamingBody,
) -> HandlerResult {
    answer_completion(context, body, "v1/chat/completions").await
}

async fn answer_completion(
    context: RequestContext<ServeContext>,
    body: StreamingBody,
    path: &str,
) -> HandlerResult {
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
    let request_headers = context.request.headers();
    let section = &state.settings.requests;
    let options = admit::parse_options(request_headers, RepeatRule::Repeatable, section)?;
    let bundle = state.bundle()?;
    let body = read_body(state, &bundle, body).await?;
    let completion = admit::parse_completion(&body, options.class, &bundle)?;
    let adapter = completion.adapter.clone();
    let target = RouteTarget::Adapter { adapter, model: completion.model };
    let now = state.clock.now();
    let outgoing = OutgoingRequest {
        query: admit::build_query(request, target, &options, completion.prefix, now),
        options,
        method: Method::POST,
        path: path.to_string(),
        headers: headers::forwarded_headers(request_headers),
        is_stream: completion.is_stream,
        body: hold(completion.body, &state.memory).map_err(memory_error)?,
        adapter: Some(completion.adapter),
    };
    Ok(outgoing.with_identity(context.request.remote_addr().ip()))
}

/// Path of a call to a plain service.
#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    /// Declared for the router only; [`server::path_after`] reads the path undecoded, as it was sent.
    #[allow(dead_code)]
    path: Vec<String>,
}

async fn call_service(
    context: RequestContext<ServeContext>,
    path: Path<ServicePath>,
    body: StreamingBody,
) -> HandlerResult {
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
    let request_headers = context.request.headers();
    let default = default_repeat(context.request.method());
    let options = admit::parse_options(request_headers, default, &state.settings.requests)?;
    let call =
        ServiceCall { service: path.service, options, skipped_segments: 2, is_stream: false };
    outgoing_call(state, context, call, body, request).await
}

/// An admitted call to a plain service.
struct ServiceCall {
    service: ServiceName,
    options: RequestOptions,
    /// Leading path segments that belong to the entry and are not sent to the service.
    skipped_segments: usize,
    is_stream: bool,
}

async fn outgoing_call(
    state: &ServeContext,
    context: &RequestContext<ServeContext>,
    call: ServiceCall,
    body: StreamingBody,
    request: RequestId,
) -> Result<OutgoingRequest, AdmitError> {
    let bundle = state.bundle()?;
    let body = read_body(state, &bundle, body).await?;
    let ServiceCall { service, options, skipped_segments, is_stream } = call;
    if !bundle.services.contains_key(&service) {
        let message = format!("the bundle has no service '{service}'");
        return Err(AdmitError { reason: RefusalReason::Unknown, message });
    }
    let owner = admit::owner_target(&options, &service, &bundle)?;
    let target = owner.unwrap_or(RouteTarget::Service(service));
    let now = state.clock.now();
    let outgoing = OutgoingRequest {
        query: admit::build_query(request, target, &options, None, now),
        options,
        method: context.request.method().clone(),
        path: server::path_after(context.request.uri(), skipped_segments).to_string(),
        headers: headers::forwarded_headers(context.request.headers()),
        body,
        adapter: None,
        is_stream,
    };
    Ok(outgoing.with_identity(context.request.remote_addr().ip()))
}

async fn call_route(
    context: RequestContext<ServeContext>,
    _path: Path<WildcardPath>,
    body: StreamingBody,
) -> HandlerResult {
    let state = context.context();
    let request = new_request();
    match prepare_route_call(state, &context, body, request).await {
        Ok(outgoing) => attempt::run(state, outgoing).await,
        Err(error) => reject(request, &error),
    }
}

/// Prepares a call to the service that the bundle's route for its host and path selects.
async fn prepare_route_call(
    state: &ServeContext,
    context: &RequestContext<ServeContext>,
    body: StreamingBody,
    request: RequestId,
) -> Result<OutgoingRequest, AdmitError> {
    let request_headers = context.request.headers();
    let unknown = |message| AdmitError { reason: RefusalReason::Unknown, message };
    let bundle = state.bundle()?;
    let host = headers::text(request_headers, "host").unwrap_or_default();
    let path = format!("/{}", server::path_after(context.request.uri(), 1));
    let route = bundle.routes.find(host, &path);
    let route = route.ok_or_else(|| unknown(format!("no route for {host}{path}")))?;
    let options = admit::parse_route_options(request_headers, route, &state.settings.requests)?;
    let service = route.choose_service(rand::random());
    let no_service = || unknown(format!("route '{}' leads to no service", route.name));
    let service = service.cloned().ok_or_else(no_service)?;
    let is_stream = route.kind.is_stream();
    let call = ServiceCall { service, options, skipped_segments: 1, is_stream };
    outgoing_call(state, context, call, body, request).await
}

/// Returns the rule for calls without a `Quillcove-Repeatable` header: those of an idempotent HTTP
/// method may be repeated, all others may not.
fn default_repeat(method: &Method) -> RepeatRule {
    match method.is_idempotent() {
        true => RepeatRule::Repeatable,
        false => RepeatRule::Once,
    }
}

async fn list_models(context: RequestContext<ServeContext>) -> HandlerResult {
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
    with_request_id(json_response(&json!({ "object": "list", "data": models })), request)
}

/// Path of a request for a ticket.
#[derive(Debug, Deserialize, JsonSchema)]
struct TicketPath {
    service: String,
}

/// Issues a ticket from one of the service's agents, chosen at random for each request.
async fn issue_ticket(
    context: RequestContext<ServeContext>,
    path: Path<TicketPath>,
) -> HandlerResult {
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
        let issue =
            |client: AgentControlClient, context| async move { client.issue_ticket(context).await };
        if let Ok(Ok(ticket)) = state.pool.call(&control, TICKET_TIMEOUT, issue).await {
            let answer = json_response(&json!({ "object": "ticket", "ticket": ticket }));
            return with_request_id(answer, request);
        }
    }
    let reason = RefusalReason::NoUpstream;
    reject(request, &AdmitError { reason, message: refusal_message(reason).to_string() })
}

/// Returns the control addresses of up to [`TICKET_AGENT_LIMIT`] live agents of a service in random
/// order.
fn ticket_issuers(state: &ServeContext, service: &str) -> Vec<String> {
    let hosts = state.shelf.hosts();
    let target = RouteTarget::Service(service.to_string());
    let fits = |record: &&HostRecord| record.state == HostState::Live && record.fits(&target);
    let mut controls: Vec<String> =
        hosts.iter().filter(fits).map(|record| record.control.clone()).collect();
    rand::seq::SliceRandom::shuffle(controls.as_mut_slice(), &mut rand::rng());
    controls.truncate(TICKET_AGENT_LIMIT);
    controls
}

/// Path of a query for the state of a ticket.
#[derive(Debug, Deserialize, JsonSchema)]
struct TicketStatePath {
    ticket: String,
}

async fn read_ticket(
    context: RequestContext<ServeContext>,
    path: Path<TicketStatePath>,
) -> HandlerResult {
    let state = context.context();
    let request = new_request();
    let text = path.into_inner().ticket;
    let Some(ticket) = RunTicket::decode_unverified(&text) else {
        let message = "the ticket can not be read".to_string();
        return reject(request, &AdmitError { reason: RefusalReason::BadRequest, message });
    };
    let unknown = WorkRefusal::may_have_run(RefusalReason::TicketUnknown);
    let Some(control) = find_control_address(state, &ticket.owner).await else {
        return with_request_id(refusal(&unknown, "the ticket's owner is not known"), request);
    };
    let fetch_state = |client: AgentControlClient, context| async move {
        client.ticket_state(context, text).await
    };
    let answer = match state.pool.call(&control, TICKET_TIMEOUT, fetch_state).await {
        Ok(Ok(found)) => json_response(&ticket_json(found)),
        Ok(Err(refused)) => refusal(&refused, refusal_message(refused.reason)),
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
    register_any_method!(api, "call_route", "/routes/{path:.*}", call_route);
    let address = context.settings.listen.callers;
    let body_limit = context.settings.requests.body_limit;
    server::start(api, context, address, body_limit, &quiet(log))
}
