//! Handling of one request: makes attempts at agents until one responds or the state machine
//! rejects the request.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use quillcove_core::adapter::AdapterRef;
use quillcove_core::agent::event::WithdrawAnswer;
use quillcove_core::class::WorkClass;
use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
use quillcove_core::entry::event::{
    AgentStatus, AttemptEnd, AttemptOrder, EntryEvent, RepeatRule, RouteQuery,
};
use quillcove_core::ids::{MonoTime, RequestId};
use quillcove_core::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};
use tokio::sync::{mpsc, oneshot};

use super::admit::{self, RequestOptions};
use super::context::ServeContext;
use super::decide::{EntryInput, RequestStep, STEP_QUEUE_CAPACITY};
use crate::control::AgentControlClient;
use crate::duty::DutyRing;
use crate::web::answer::{HandlerResult, internal_error, refusal, refusal_body, refusal_message};
use crate::web::body::{BodyEnd, WatchedBody, discard};
use crate::web::client::WebError;
use crate::web::headers;

/// Timeout of a withdrawal; short, so that the caller receives its verdict soon.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a request's deadline at which an attempt without a response counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_millis(200);

/// Largest body of an agent's refusal that is read, in bytes.
const REFUSAL_BODY_LIMIT_BYTES: usize = 64 << 10;

/// A request as it is sent to agents.
pub struct OutgoingRequest {
    pub query: RouteQuery,
    pub options: RequestOptions,
    pub method: Method,
    /// Path and query string at the upstream, without a leading slash.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Set only for completions.
    pub adapter: Option<AdapterRef>,
    /// Whether the response is an event stream.
    pub is_stream: bool,
}

impl OutgoingRequest {
    /// Adds the request's identity: the digest of its content and that of its caller. `address`
    /// identifies a caller that gives no name.
    pub fn with_identity(mut self, address: IpAddr) -> Self {
        let parts = RequestParts {
            method: self.method.as_str(),
            host: "",
            path: &self.path,
            key: None,
            body: &self.body,
        };
        let caller = admit::caller_of(&self.options, address);
        self.query.identity = Some(RequestIdentity { digest: parts.digest(), caller });
        self
    }
}

/// Reports a request to the state machine as done when dropped, however its handler ends.
struct RequestGuard {
    ring: DutyRing<EntryInput>,
    request: RequestId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.ring.put(EntryInput::Event(EntryEvent::RequestDone(self.request)));
    }
}

/// Records the duration and outcome of one request in the metrics.
struct RequestTimer {
    state: ServeContext,
    class: WorkClass,
    started: MonoTime,
}

impl RequestTimer {
    fn record_finish(&self, verdict: RunVerdict) {
        let took = self.state.clock.now().saturating_sub(self.started);
        self.state.metrics.record_finish(verdict, self.class, took);
    }
}

/// Makes attempts as the state machine orders them and returns the response to the caller.
pub async fn run(state: &ServeContext, outgoing: OutgoingRequest) -> HandlerResult {
    let request = outgoing.query.request;
    let (sender, mut steps) = mpsc::channel(STEP_QUEUE_CAPACITY);
    let timer = RequestTimer {
        state: state.clone(),
        class: outgoing.query.class,
        started: state.clock.now(),
    };
    let input = EntryInput::Request(outgoing.query.clone(), sender);
    if state.ring.offer(input).is_err() {
        return respond_refused(&timer, request, &WorkRefusal::overloaded());
    }
    let guard = RequestGuard { ring: state.ring.clone(), request };
    let mut is_first = true;
    while let Some(step) = steps.recv().await {
        let order = match step {
            RequestStep::Finish(refused) => return respond_refused(&timer, request, &refused),
            RequestStep::Send(order) => order,
        };
        state.metrics.record_attempt(is_first);
        is_first = false;
        let (end, response) = attempt(state, &outgoing, &order).await;
        notify_machine(state, EntryEvent::AttemptEnded(order.attempt, end));
        if let Some(response) = response {
            return forward_response(state, &outgoing, response, timer, guard);
        }
    }
    let stopping = WorkRefusal::may_have_run(RefusalReason::Leaving);
    respond_refused(&timer, request, &stopping)
}

fn notify_machine(state: &ServeContext, event: EntryEvent) {
    state.ring.put(EntryInput::Event(event));
}

/// Records a refusal and returns it as the response to the caller.
fn respond_refused(
    timer: &RequestTimer,
    request: RequestId,
    refused: &WorkRefusal,
) -> HandlerResult {
    timer.state.metrics.record_refusal(refused.reason, timer.class);
    timer.record_finish(refused.verdict);
    with_request_id(refusal(refused, refusal_message(refused.reason)), request)
}

/// Adds the request's ID to a response.
pub fn with_request_id(answer: HandlerResult, request: RequestId) -> HandlerResult {
    let mut response = answer?;
    let id = HeaderValue::from_str(&format!("{request:030x}")).map_err(internal_error)?;
    response.headers_mut().insert(headers::REQUEST_ID, id);
    Ok(response)
}

/// Makes one attempt. Returns how it ended and, if the upstream responded, the response.
async fn attempt(
    state: &ServeContext,
    outgoing: &OutgoingRequest,
    order: &AttemptOrder,
) -> (AttemptEnd, Option<Response<Incoming>>) {
    let remaining = outgoing.query.deadline.saturating_sub(state.clock.now());
    let request = match build_agent_request(outgoing, order, remaining) {
        Ok(request) => request,
        Err(_) => return (AttemptEnd::Unreachable, None),
    };
    let exchange = state.client.send(request);
    let exchange = tokio::time::timeout(remaining + RESPONSE_GRACE, exchange).await;
    match exchange {
        Ok(Ok(response)) => classify_response(state, order, response).await,
        Ok(Err(WebError::NotSent(_))) => (AttemptEnd::Unreachable, None),
        Ok(Err(WebError::Lost(_) | WebError::Status(_))) | Err(_) => {
            (withdraw(state, order).await, None)
        },
    }
}

/// Distinguishes an agent's refusal from an upstream's response, and passes on the state that the
/// agent reports about itself in a header.
async fn classify_response(
    state: &ServeContext,
    order: &AttemptOrder,
    response: Response<Incoming>,
) -> (AttemptEnd, Option<Response<Incoming>>) {
    let report = headers::text(response.headers(), headers::AGENT_STATUS);
    if let Some(report) = report.and_then(|text| serde_json::from_str::<AgentStatus>(text).ok()) {
        notify_machine(state, EntryEvent::StatusReceived(order.host.clone(), report));
    }
    if !response.headers().contains_key(headers::REFUSED) {
        return match response.headers().contains_key(headers::VERDICT) {
            true => (AttemptEnd::Answered, Some(response)),
            // Not a response of an agent: another process may use the address by now.
            false => (AttemptEnd::Lost, None),
        };
    }
    let refused = parse_refusal(response.headers());
    // The connection can be reused only after the body has been read.
    let _ = discard(response.into_body(), REFUSAL_BODY_LIMIT_BYTES).await;
    (AttemptEnd::Refused(refused), None)
}

fn parse_refusal(headers: &HeaderMap) -> WorkRefusal {
    let reason = headers::text(headers, headers::REASON).and_then(RefusalReason::from_label);
    let verdict = headers::text(headers, headers::VERDICT).and_then(RunVerdict::from_label);
    WorkRefusal {
        reason: reason.unwrap_or(RefusalReason::UpstreamBroke),
        verdict: verdict.unwrap_or(RunVerdict::MayHaveRun),
        retry_after: headers::millis(headers, headers::RETRY_AFTER_MS),
    }
}

/// Withdraws a lost attempt. The request is known not to have run only if the agent confirms that
/// the attempt has not started and never will.
async fn withdraw(state: &ServeContext, order: &AttemptOrder) -> AttemptEnd {
    let Some(control) = find_control_address(state, &order.host).await else {
        return AttemptEnd::Lost;
    };
    let (attempt, incarnation) = (order.attempt, order.incarnation);
    let send_withdrawal = |client: AgentControlClient, context| async move {
        client.withdraw(context, attempt, incarnation).await
    };
    match state.pool.call(&control, WITHDRAW_TIMEOUT, send_withdrawal).await {
        Ok(WithdrawAnswer::NotRun) => AttemptEnd::Refused(WorkRefusal::not_run(
            RefusalReason::UpstreamDown,
            Some(SHORT_RETRY_DELAY),
        )),
        Ok(WithdrawAnswer::MayHaveRun) | Err(_) => AttemptEnd::Lost,
    }
}

/// Returns the address for control calls to a host's agent, if the host is known.
pub async fn find_control_address(state: &ServeContext, host: &str) -> Option<String> {
    let (sender, receiver) = oneshot::channel();
    state.ring.offer(EntryInput::FindControl(host.to_string(), sender)).ok()?;
    receiver.await.ok()?
}

/// Builds the HTTP request of an attempt; `remaining` is the time to the deadline.
fn build_agent_request(
    outgoing: &OutgoingRequest,
    order: &AttemptOrder,
    remaining: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let options = &outgoing.options;
    let uri = format!("http://{}/run/{}", order.address, outgoing.path);
    let mut request = Request::builder().method(outgoing.method.clone()).uri(uri);
    if let Some(headers) = request.headers_mut() {
        headers.extend(outgoing.headers.clone());
    }
    request = request
        .header(headers::ATTEMPT, format!("{:x}", order.attempt))
        .header(headers::INCARNATION, format!("{:x}", order.incarnation))
        .header(headers::DEADLINE_MS, remaining.as_millis() as u64)
        .header(headers::PRIORITY, options.class.label())
        .header(headers::CALLER, options.caller.as_str());
    if let Some(identity) = &outgoing.query.identity {
        request = request.header(headers::IDENTITY, identity.to_string());
    }
    if let Some(adapter) = &outgoing.adapter {
        request = request.header(headers::ADAPTER, adapter.to_string());
    }
    if options.repeat == RepeatRule::Once {
        request = request.header(headers::REPEATABLE, "no");
        if let Some(ticket) = &options.ticket {
            request = request.header(headers::TICKET, ticket.as_str());
        }
        if let Some(key) = &options.key {
            request = request.header(headers::KEY, key.as_str());
        }
    }
    request.body(Full::new(outgoing.body.clone()))
}

/// Forwards an upstream's response to the caller.
fn forward_response(
    state: &ServeContext,
    outgoing: &OutgoingRequest,
    response: Response<Incoming>,
    timer: RequestTimer,
    guard: RequestGuard,
) -> HandlerResult {
    let took = state.clock.now().saturating_sub(timer.started);
    state.metrics.record_first_byte(timer.class, took);
    let request = outgoing.query.request;
    let is_stream = outgoing.is_stream && response.status() == StatusCode::OK;
    let (parts, incoming) = response.into_parts();
    let body = WatchedBody::new(incoming, move |end| {
        timer.record_finish(match end {
            BodyEnd::Whole => RunVerdict::Ran,
            BodyEnd::Broken | BodyEnd::Dropped => RunVerdict::MayHaveRun,
        });
        drop(guard);
    });
    let body = match is_stream {
        true => body.with_end_chunk(broken_stream_event),
        false => body,
    };
    let mut answer = Response::new(Body::wrap(body));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = headers::forwarded_headers(&parts.headers);
    if let Some(waited) = parts.headers.get(headers::WAITED_MS) {
        answer.headers_mut().insert(headers::WAITED_MS, waited.clone());
    }
    // A stream's verdict is known only at its end, marked by `[DONE]` or by an error event.
    let verdict = match is_stream {
        true => RunVerdict::MayHaveRun,
        false => RunVerdict::Ran,
    };
    let verdict = HeaderValue::from_static(verdict.label());
    answer.headers_mut().insert(headers::VERDICT, verdict);
    with_request_id(Ok(answer), request)
}

/// Returns the error event for a stream that broke off, and nothing for any other end.
fn broken_stream_event(end: BodyEnd) -> Option<Bytes> {
    let refused = WorkRefusal::may_have_run(RefusalReason::UpstreamBroke);
    let body = refusal_body(&refused, refusal_message(refused.reason));
    (end == BodyEnd::Broken).then(|| Bytes::from(format!("\n\nevent: error\ndata: {body}\n\n")))
}
