//! The data path of an agent: attempts from entries to the upstream and back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use dropshot::{ApiDescription, Body, HttpServer, Path, RequestContext, StreamingBody};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use quillcove_core::agent::event::{AgentEvent, RunEnd, RunOrder, WorkTarget};
use quillcove_core::agent::verdict_of;
use quillcove_core::class::WorkClass;
use quillcove_core::entry::event::AgentStatus;
use quillcove_core::ids::{AttemptId, Incarnation};
use quillcove_core::memory::{CallerBudget, MemoryAccount};
use quillcove_core::once::book::OnceClaim;
use quillcove_core::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};
use slog::Logger;
use tokio::sync::oneshot;

use super::input::{AgentInput, AttemptDecision};
use crate::clock::MonoClock;
use crate::config::agent::{AgentListen, AgentSettings};
use crate::duty::DutyRing;
use crate::logging::quiet;
use crate::metrics::ProcessMetrics;
use crate::port::{PROBE_DELAY, PortState, probe_port};
use crate::web::answer::{HandlerResult, internal_error, refusal, refusal_message};
use crate::web::body::{self, BodyEnd, ReadError, WatchedBody};
use crate::web::client::{WebClient, WebError};
use crate::web::framing::check_begin;
use crate::web::headers;
use crate::web::server::{self, WildcardPath, register_any_method};

/// Maximum body size of an attempt, in bytes. Callers are bound by the entry's limit.
const REQUEST_BODY_LIMIT: usize = 64 << 20;

/// Maximum body size of a plain service's response, in bytes.
const RESPONSE_BODY_LIMIT: usize = 16 << 20;

/// Timeout for connecting to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which idle connections to the upstream are closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Deadline of an attempt that specifies none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Time beyond its deadline for which the agent waits for a plain service's response, so that the outcome of a run
/// that must not happen twice is known.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(60);

/// State shared by the request handlers.
#[derive(Clone)]
pub struct ServeContext {
    settings: Arc<AgentSettings>,
    ring: DutyRing<AgentInput>,
    clock: MonoClock,
    metrics: Arc<ProcessMetrics>,
    /// Client that reuses connections.
    client: WebClient,
    /// Client that opens a connection for each call. The upstream may close a reused connection at any moment, and
    /// for a run that must not happen twice the outcome would then be uncertain.
    once_client: WebClient,
    /// What is held for callers.
    memory: Arc<MemoryAccount>,
}

impl ServeContext {
    pub fn new(
        settings: Arc<AgentSettings>,
        ring: DutyRing<AgentInput>,
        clock: MonoClock,
        metrics: Arc<ProcessMetrics>,
    ) -> Self {
        let client = WebClient::new(CONNECT_TIMEOUT, IDLE_CONNECTION_TIMEOUT);
        let once_client = WebClient::new(CONNECT_TIMEOUT, Duration::ZERO);
        let memory = MemoryAccount::new(CallerBudget::of(settings.machine.limits()));
        metrics.observe_memory(memory.clone());
        Self { settings, ring, clock, metrics, client, once_client, memory }
    }

    pub fn ring(&self) -> DutyRing<AgentInput> {
        self.ring.clone()
    }

    pub fn metrics(&self) -> Arc<ProcessMetrics> {
        self.metrics.clone()
    }

    pub fn listen(&self) -> AgentListen {
        self.settings.listen.clone()
    }

    /// Records the upstream status that a response to an attempt carries in its headers.
    fn record_notice(&self, attempt: AttemptId, status: StatusCode, headers: &HeaderMap) {
        let (notice, fault) = headers::parse_upstream_notice(status, headers, SystemTime::now());
        let is_plain = notice.limit.is_none() && fault.is_none();
        if let Some(fault) = fault {
            self.ring.put(AgentInput::InvalidNotice(fault));
        }
        if is_plain && status.is_success() {
            self.ring.put(AgentInput::Event(AgentEvent::NoLimitAnnounced(attempt)));
        }
        if !notice.is_blank() {
            self.metrics.record_notice(&notice);
            self.ring.put(AgentInput::Event(AgentEvent::NoticeReceived(notice)));
        }
    }

    fn report_end(&self, attempt: AttemptId, end: RunEnd) {
        self.ring.put(AgentInput::Event(AgentEvent::RunEnded(attempt, end)));
    }
}

/// Reports an attempt as abandoned if its handler is dropped before the attempt is passed to the upstream.
struct AttemptGuard {
    ring: DutyRing<AgentInput>,
    attempt: AttemptId,
    incarnation: Incarnation,
    is_armed: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.ring.put(AgentInput::Abandoned(self.attempt, self.incarnation));
        }
    }
}

/// The HTTP request that an attempt makes to the upstream.
struct UpstreamCall {
    method: Method,
    uri: String,
    headers: HeaderMap,
    body: Bytes,
}

async fn handle_attempt(
    context: RequestContext<ServeContext>,
    _path: Path<WildcardPath>,
    body: StreamingBody,
) -> HandlerResult {
    let state = context.context().clone();
    let request = &context.request;
    let order = match parse_order(&state, request.headers()) {
        Ok(order) => order,
        Err(message) => {
            let bad = WorkRefusal::not_run(RefusalReason::BadRequest, None);
            return mark_rejected(refusal(&bad, &message), None);
        },
    };
    let rest = server::path_after(request.uri(), 1);
    let upstream = &state.settings.upstream;
    let body = match body::read(body, REQUEST_BODY_LIMIT, &state.memory).await {
        Ok(body) => body,
        Err(ReadError::Memory(full)) => {
            return mark_rejected(refusal(&WorkRefusal::overloaded(), &full.to_string()), None);
        },
        Err(error @ ReadError::TooLarge(_)) => {
            let bad = WorkRefusal::not_run(RefusalReason::BadRequest, None);
            return mark_rejected(refusal(&bad, &error.to_string()), None);
        },
        Err(ReadError::Body(error)) => return Err(error),
    };
    let call = UpstreamCall {
        method: request.method().clone(),
        uri: format!("http://{}{}/{rest}", upstream.address, upstream.path_prefix),
        headers: headers::forwarded_headers(request.headers()),
        body,
    };
    run_attempt(state, order, call).await
}

/// Waits for the decision on an attempt and passes the attempt to the upstream.
async fn run_attempt(state: ServeContext, order: RunOrder, call: UpstreamCall) -> HandlerResult {
    let attempt = order.attempt;
    let class = order.class;
    let target = order.target.clone();
    let deadline = order.deadline;
    let upstream_address = state.settings.upstream.address;
    let client = match order.claim {
        Some(_) => state.once_client.clone(),
        None => state.client.clone(),
    };
    let arrived = state.clock.now();
    state.metrics.record_attempt(true);
    let mut guard = AttemptGuard {
        ring: state.ring.clone(),
        attempt,
        incarnation: order.incarnation,
        is_armed: true,
    };
    let (sender, receiver) = oneshot::channel();
    if state.ring.offer(AgentInput::Attempt(order, sender)).is_err() {
        let full = WorkRefusal::overloaded();
        return mark_rejected(refusal(&full, refusal_message(full.reason)), None);
    }
    let Ok(AttemptDecision { verdict, update }) = receiver.await else {
        let gone = WorkRefusal::may_have_run(RefusalReason::Leaving);
        return mark_rejected(refusal(&gone, refusal_message(gone.reason)), None);
    };
    guard.is_armed = false;
    if let Err(refused) = verdict {
        state.metrics.record_refusal(refused.reason, class);
        return mark_rejected(refusal(&refused, refusal_message(refused.reason)), Some(&update));
    }
    let waited = state.clock.now().saturating_sub(arrived);
    state.metrics.record_stall(class, waited);
    let answer = match target {
        WorkTarget::Adapter(_) => stream_from_engine(state, attempt, class, call, update).await,
        WorkTarget::Service => {
            let limit = deadline.saturating_sub(state.clock.now()) + OUTCOME_TIMEOUT;
            let request = upstream_request(call)?;
            let exchange = exchange_with_timeout(client, request, upstream_address, limit);
            call_service(state, attempt, class, exchange, update).await
        },
    };
    let mut response = answer?;
    let waited = header::HeaderValue::from(waited.as_millis() as u64);
    response.headers_mut().insert(headers::WAITED_MS, waited);
    Ok(response)
}

/// Streams an engine's response. When the caller disconnects, the connection to the engine is closed, which cancels
/// the request there.
async fn stream_from_engine(
    state: ServeContext,
    attempt: AttemptId,
    class: WorkClass,
    call: UpstreamCall,
    update: AgentStatus,
) -> HandlerResult {
    let mut end_guard = RunEndGuard { state: state.clone(), attempt, end: Some(RunEnd::Broken) };
    let response = match state.client.send(upstream_request(call)?).await {
        Ok(response) => response,
        Err(error) => return end_guard.fail(&error, &update),
    };
    state.record_notice(attempt, response.status(), response.headers());
    if response.status() == StatusCode::NOT_FOUND {
        // The engine restarted without its adapters or lost this one; the status means that the request did not run.
        return end_guard.fail(&WebError::Status(StatusCode::NOT_FOUND), &update);
    }
    end_guard.end = None;
    let started = state.clock.now();
    let status = response.status().as_u16();
    let address = state.settings.upstream.address;
    let (parts, incoming) = response.into_parts();
    let needs_check = needs_end_check(&parts, &incoming);
    let body = WatchedBody::new(incoming, move |end| {
        let end = match end {
            BodyEnd::Whole => RunEnd::Complete(status),
            BodyEnd::Broken | BodyEnd::Dropped => RunEnd::Broken,
        };
        state.metrics.record_finish(
            verdict_of(end),
            class,
            state.clock.now().saturating_sub(started),
        );
        state.report_end(attempt, end);
    });
    let body = match needs_check {
        true => body.with_begin_check().with_end_check(check_unframed_end(address)),
        false => body,
    };
    upstream_response(parts, Body::wrap(body), &update)
}

/// Returns whether a response looks complete even if the upstream exits in the middle of it.
fn needs_end_check(head: &http::response::Parts, body: &Incoming) -> bool {
    !headers::is_framed(&head.headers) && !body.is_end_stream()
}

/// Finds out whether a response without framing was cut off by the exit of the upstream.
async fn check_unframed_end(upstream: SocketAddr) -> Result<(), body::BodyError> {
    tokio::time::sleep(PROBE_DELAY).await;
    match probe_port(upstream).await {
        PortState::Closed => Err("upstream exited at the end of a response without framing".into()),
        PortState::Open | PortState::Silent => Ok(()),
    }
}

/// Calls a plain service in a separate task: once begun, the call is completed even if the caller disconnects, so
/// that its outcome is known.
async fn call_service(
    state: ServeContext,
    attempt: AttemptId,
    class: WorkClass,
    exchange: impl Future<Output = Result<BufferedResponse, WebError>> + Send + 'static,
    update: AgentStatus,
) -> HandlerResult {
    let task = tokio::spawn(async move {
        let started = state.clock.now();
        let exchange = exchange.await;
        if let Ok((parts, _)) = &exchange {
            state.record_notice(attempt, parts.status, &parts.headers);
        }
        let end = match &exchange {
            Ok((parts, _)) => RunEnd::Complete(parts.status.as_u16()),
            Err(error) => run_end(error),
        };
        state.metrics.record_finish(
            verdict_of(end),
            class,
            state.clock.now().saturating_sub(started),
        );
        state.report_end(attempt, end);
        exchange
    });
    match task.await.map_err(internal_error)? {
        Ok((parts, body)) => upstream_response(parts, Body::from(body), &update),
        Err(error) => error_response(&error, &update),
    }
}

/// Head and complete body of a response.
type BufferedResponse = (http::response::Parts, Bytes);

async fn exchange_with_timeout(
    client: WebClient,
    request: Request<Full<Bytes>>,
    upstream: SocketAddr,
    limit: Duration,
) -> Result<BufferedResponse, WebError> {
    let lost = |error: body::BodyError| WebError::Lost(error.to_string());
    let exchange = async {
        let (parts, body) = client.send(request).await?.into_parts();
        let needs_check = needs_end_check(&parts, &body);
        let body = body::collect(body, RESPONSE_BODY_LIMIT).await.map_err(lost)?;
        if needs_check {
            check_begin(&body, true).map_err(|fault| WebError::Lost(fault.to_string()))?;
            check_unframed_end(upstream).await.map_err(lost)?;
        }
        Ok((parts, body))
    };
    let exchange = tokio::time::timeout(limit, exchange).await;
    exchange.unwrap_or_else(|_| {
        Err(WebError::Lost("no complete response within the time limit".to_string()))
    })
}

/// Reports the end of a run if no response has begun when the guard is dropped.
struct RunEndGuard {
    state: ServeContext,
    attempt: AttemptId,
    end: Option<RunEnd>,
}

impl RunEndGuard {
    fn fail(&mut self, error: &WebError, update: &AgentStatus) -> HandlerResult {
        self.end = Some(run_end(error));
        error_response(error, update)
    }
}

impl Drop for RunEndGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end {
            self.state.report_end(self.attempt, end);
        }
    }
}

/// Returns what an error means for the run: only if no connection was made, or if the upstream reports so, is it
/// certain that nothing ran.
fn run_end(error: &WebError) -> RunEnd {
    match error {
        WebError::NotSent(_) | WebError::Status(_) => RunEnd::NotRun,
        WebError::Lost(_) => RunEnd::Broken,
    }
}

fn error_response(error: &WebError, update: &AgentStatus) -> HandlerResult {
    let soon = Some(SHORT_RETRY_DELAY);
    let refused = match (run_end(error), error) {
        (RunEnd::NotRun, WebError::Status(_)) => {
            WorkRefusal::not_run(RefusalReason::LoadFailed, soon)
        },
        (RunEnd::NotRun, _) => WorkRefusal::not_run(RefusalReason::UpstreamDown, soon),
        _ => WorkRefusal::may_have_run(RefusalReason::UpstreamBroke),
    };
    mark_rejected(refusal(&refused, refusal_message(refused.reason)), Some(update))
}

fn upstream_request(call: UpstreamCall) -> Result<Request<Full<Bytes>>, dropshot::HttpError> {
    let mut request = Request::builder().method(call.method).uri(call.uri);
    if let Some(headers) = request.headers_mut() {
        *headers = call.headers;
    }
    request.body(Full::new(call.body)).map_err(internal_error)
}

/// Returns the upstream's response with the agent's state update.
fn upstream_response(
    parts: http::response::Parts,
    body: Body,
    update: &AgentStatus,
) -> HandlerResult {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::forwarded_headers(&parts.headers);
    let verdict = header::HeaderValue::from_static(RunVerdict::Ran.label());
    response.headers_mut().insert(headers::VERDICT, verdict);
    attach_update(&mut response, update);
    Ok(response)
}

fn mark_rejected(answer: HandlerResult, update: Option<&AgentStatus>) -> HandlerResult {
    let mut response = answer?;
    let mark = header::HeaderValue::from_static("yes");
    response.headers_mut().insert(headers::REFUSED, mark);
    if let Some(update) = update {
        attach_update(&mut response, update);
    }
    Ok(response)
}

fn attach_update(response: &mut Response<Body>, update: &AgentStatus) {
    let text = serde_json::to_string(update).unwrap_or_default();
    if let Ok(value) = header::HeaderValue::from_str(&text) {
        response.headers_mut().insert(headers::AGENT_STATUS, value);
    }
}

fn parse_order(state: &ServeContext, headers: &HeaderMap) -> Result<RunOrder, String> {
    let number = |name: &str| {
        let text = headers::text(headers, name);
        let number = text.and_then(|text| u128::from_str_radix(text, 16).ok());
        number.ok_or_else(|| format!("header {name} is not a number in hex"))
    };
    let attempt = number(headers::ATTEMPT)?;
    let incarnation = number(headers::INCARNATION)? as u64;
    let target = match headers::text(headers, headers::ADAPTER) {
        Some(adapter) => {
            let adapter = adapter.parse().map_err(|error| format!("adapter: {error}"))?;
            WorkTarget::Adapter(adapter)
        },
        None => WorkTarget::Service,
    };
    let class = headers::text(headers, headers::PRIORITY).and_then(WorkClass::from_label);
    let limit = headers::millis(headers, headers::DEADLINE_MS).unwrap_or(DEFAULT_DEADLINE);
    let caller = headers::text(headers, headers::CALLER).unwrap_or_default().to_string();
    Ok(RunOrder {
        attempt,
        incarnation,
        target,
        class: class.unwrap_or_default(),
        deadline: state.clock.now() + limit,
        claim: parse_claim(headers, &caller),
        identity: headers::text(headers, headers::IDENTITY).and_then(|text| text.parse().ok()),
        caller,
    })
}

fn parse_claim(headers: &HeaderMap, caller: &str) -> Option<OnceClaim> {
    let is_once = headers::text(headers, headers::REPEATABLE) == Some("no");
    let ticket = headers::text(headers, headers::TICKET);
    let key = headers::text(headers, headers::KEY);
    match (is_once, ticket, key) {
        (false, ..) | (true, None, None) => None,
        (true, Some(ticket), _) => Some(OnceClaim::Ticket(ticket.to_string())),
        (true, None, Some(key)) => Some(OnceClaim::Key(caller.to_string(), key.to_string())),
    }
}

/// Starts the server for attempts.
pub fn start(context: ServeContext, log: &Logger) -> eyre::Result<HttpServer<ServeContext>> {
    let mut api = ApiDescription::new();
    register_any_method!(api, "run", "/run/{path:.*}", handle_attempt);
    let address: SocketAddr = context.settings.listen.data;
    server::start(api, context, address, REQUEST_BODY_LIMIT, &quiet(log))
}
