//! Sends a request to one replica and classifies the outcome. `forward` and `stream` decide from it
//! whether the request is retried.

use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quillcove_core::crash::phase::RunPhase;
use quillcove_core::ids::MonoTime;
use quillcove_core::memory::MemoryClass;
use quillcove_core::relay::machine::AttemptOrder;
use quillcove_core::relay::replica::AttemptOutcome;
use quillcove_core::route::RouteKind;
use quillcove_core::standing::UpstreamStatusChange;
use quillcove_core::standing::limit::RateLimit;
use quillcove_platform::heads::{self, AttemptHeaders, ResponseClass};
use slog::{info, warn};
use tokio::time::timeout;

use super::answers::{HeldMemory, is_event_stream};
use super::ends;
use super::large::LargeAnswer;
use super::pool::ReplicaConnection;
use super::reader::READ_BUFFER_BYTES;
use super::request::OpenRequest;
use crate::web::body::discard;
use crate::web::framing::{FramingFault, check_begin, check_head};
use crate::web::headers::is_framed;
use crate::web::held::SentBody;

/// Largest response body, in bytes, that is buffered before it is forwarded. As many requests as a relay admits at a time
/// fit into half of its memory with such bodies.
const BUFFERED_SIZE_LIMIT: usize = 64 << 10;

/// Largest body, in bytes, and longest time in which a body that is not forwarded is read so that its connection can be
/// reused; beyond either, the connection is closed.
const DRAINED_SIZE_LIMIT: usize = 64 << 10;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Time without a response after which a call on a safe route is retried on another replica. Longer
/// than the longest processing time that the requirements give for such a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest idle time of a pooled connection that may carry a request of a route that is not safe.
/// Such a request must not run twice, so it cannot be sent again if the connection breaks.
const NON_SAFE_MAX_IDLE: Duration = Duration::from_millis(800);

/// Number of pooled connections that may turn out to be closed before a new one is opened.
const STALE_CONNECTION_LIMIT: u32 = 2;

/// A stream whose response head has been received.
pub struct LiveStream {
    pub head: http::response::Parts,
    pub body: Incoming,
    pub connection: ReplicaConnection,
    pub order: AttemptOrder,
    /// When the head was received.
    pub head_at: MonoTime,
}

/// Why an attempt produced no response for the caller.
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent: the replica stopped accepting work after it was chosen.
    Withheld,
    /// The replica reported that it did not run the request; holds the status.
    Refused(u16),
    /// Another replica runs at this address (`true`), or the replica does not hold the requested
    /// adapter (`false`).
    Misdirected(bool),
    /// The replica ran the request and failed with this response.
    Errored(Box<Response<Bytes>>),
    /// The request may have run: the response was interrupted, belongs to another request, or was
    /// never received.
    Lost(String),
    /// The request may have run: a response without framing ended, and its replica gave no sign of life since.
    CutOff,
    /// The request's deadline passed.
    TimeOver,
}

impl AttemptFailure {
    /// Returns the failure's name in the log.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::Withheld => "withheld",
            Self::Refused(_) => "refused",
            Self::Misdirected(true) => "other_replica",
            Self::Misdirected(false) => "not_held",
            Self::Errored(_) => "errored",
            Self::Lost(_) => "lost",
            Self::CutOff => "cut_off",
            Self::TimeOver => "time_over",
        }
    }

    /// Returns the error message or the replica's status, for the log.
    pub fn detail(&self) -> String {
        match self {
            Self::NotSent(reason) | Self::Lost(reason) => reason.clone(),
            Self::Refused(status) => status.to_string(),
            Self::Errored(response) => response.status().as_u16().to_string(),
            Self::Misdirected(_) | Self::CutOff | Self::TimeOver | Self::Withheld => String::new(),
        }
    }

    /// Returns what the failure means for the replica's health.
    pub fn fate(&self) -> AttemptOutcome {
        match self {
            Self::NotSent(_) | Self::Lost(_) | Self::CutOff | Self::Errored(_) => {
                AttemptOutcome::Failed
            },
            Self::Refused(_) | Self::Misdirected(_) => AttemptOutcome::Refused,
            Self::TimeOver | Self::Withheld => AttemptOutcome::Abandoned,
        }
    }
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// A complete response was received.
    Complete(Response<Bytes>),
    /// A stream of events started.
    Stream(Box<LiveStream>),
    /// The begin of a response was received that is too large to be buffered.
    Large(Box<LargeAnswer>),
    /// There is no response for the caller.
    Failed(AttemptFailure),
}

/// What an exchange with a replica brought.
enum ExchangeEnd {
    /// The outcome of the attempt.
    Known(AttemptEnd),
    /// A response that ended with its connection. It looks complete even if the replica exited in the middle of it.
    Unframed(Response<Bytes>),
}

/// Returns the phase of an attempt that has ended without the head of a stream. An answer that is no stream arrives as a
/// whole, so that its replica may have been writing it.
pub fn attempt_phase(open: &OpenRequest) -> RunPhase {
    match open.query.route.kind.is_stream() {
        true => RunPhase::Waiting,
        false => RunPhase::Beginning,
    }
}

/// Reports an attempt to the machine as abandoned if it is dropped before its outcome is known,
/// which happens when the caller disconnects.
struct AttemptGuard<'a> {
    open: &'a OpenRequest,
    order: &'a AttemptOrder,
    is_finished: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let now = self.open.shared.clock.now();
            let key = self.open.query.adapter.as_ref();
            self.open.shared.machine().end_attempt(
                &self.order.replica,
                key,
                AttemptOutcome::Abandoned,
                now,
            );
            ends::handle_abandoned_attempt(self.open, self.order, attempt_phase(self.open));
        }
    }
}

/// Sends a request to one replica. Reports a complete response to the machine; failures and streams
/// are left for the calling function to report.
pub async fn send(
    open: &mut OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> AttemptEnd {
    let now = open.shared.clock.now();
    open.sent_at = now;
    *open.is_sent.get_mut() = false;
    let has_messages = {
        let mut machine = open.shared.machine();
        machine.begin_attempt(&order.replica, open.query.adapter.as_ref(), now);
        machine.has_pending_messages()
    };
    if has_messages {
        open.shared.messages_pending.notify_one();
    }
    open.begin_prefill(&order.replica, now);
    let (shared, deadline) = (open.shared.clone(), open.query.deadline);
    let mut guard = AttemptGuard { open, order, is_finished: false };
    let exchange = exchange(guard.open, order, last_event);
    let finished = shared.resume_notifier.wait_until(&shared.clock, deadline, exchange).await;
    let end = match finished {
        Some(ExchangeEnd::Known(end)) => end,
        Some(ExchangeEnd::Unframed(response)) => {
            match ends::is_complete_unframed(guard.open, order, RunPhase::Beginning).await {
                true => classify_complete(guard.open, response),
                false => AttemptEnd::Failed(AttemptFailure::CutOff),
            }
        },
        None => {
            ends::handle_abandoned_attempt(guard.open, order, attempt_phase(guard.open));
            AttemptEnd::Failed(AttemptFailure::TimeOver)
        },
    };
    guard.is_finished = true;
    drop(guard);
    if !matches!(end, AttemptEnd::Stream(_)) {
        open.end_prefill(None);
    }
    if let AttemptEnd::Complete(_) = end {
        let now = open.shared.clock.now();
        let key = open.query.adapter.as_ref();
        open.shared.machine().end_attempt(&order.replica, key, AttemptOutcome::Answered, now);
    }
    end
}

/// Sends the request and reads its response, for at most [`RESPONSE_TIMEOUT`] if the request may be
/// retried after a lost attempt.
async fn exchange(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> ExchangeEnd {
    let response_timeout = match open.may_retry_lost() {
        true => RESPONSE_TIMEOUT,
        // Silence alone is no reason to end an attempt that cannot be retried.
        false => Duration::MAX,
    };
    match timeout(response_timeout, exchange_untimed(open, order, last_event)).await {
        Ok(end) => end,
        Err(_) => {
            ends::handle_abandoned_attempt(open, order, attempt_phase(open));
            let reason = "no response in time".to_string();
            ExchangeEnd::Known(AttemptEnd::Failed(AttemptFailure::Lost(reason)))
        },
    }
}

/// Sends the request, reads its response and classifies it.
async fn exchange_untimed(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> ExchangeEnd {
    let (mut connection, head) = match send_request(open, order, last_event).await {
        Ok(received) => received,
        Err(failure) => return ExchangeEnd::Known(AttemptEnd::Failed(failure)),
    };
    let (mut parts, body) = head.into_parts();
    // The version of a message is that of its own connection: in that of an older replica, a response without a length
    // would end with the caller's connection, and look complete where it was cut off.
    parts.version = Version::default();
    if let Err(fault) = check_head(parts.status, &parts.headers) {
        // Nothing that such a head says can be trusted, a statement that the request did not run included.
        return lost_exchange(fault);
    }
    if let Some(keep_alive) = keep_alive_timeout(&parts.headers) {
        connection.set_keep_alive(keep_alive);
    }
    let head_at = open.shared.clock.now();
    open.shared.machine().record_bytes_received(&order.replica, head_at);
    let meaning = heads::classify_response(parts.status, &parts.headers, &open.terms.id);
    record_notice(open, order, meaning, parts.status, &parts.headers);
    let end = match meaning {
        ResponseClass::Foreign => {
            let reason = "response belongs to another request".to_string();
            AttemptEnd::Failed(AttemptFailure::Lost(reason))
        },
        ResponseClass::Ambiguous => {
            drain_body(open, &parts.headers, connection, body).await;
            let reason =
                format!("status {} without a statement that the request did not run", parts.status);
            AttemptEnd::Failed(AttemptFailure::Lost(reason))
        },
        ResponseClass::NotRun => {
            drain_body(open, &parts.headers, connection, body).await;
            AttemptEnd::Failed(AttemptFailure::Refused(parts.status.as_u16()))
        },
        ResponseClass::Misdirected => {
            let instance = heads::responding_instance(&parts.headers);
            let is_other = instance.is_some_and(|instance| instance != order.replica);
            drain_body(open, &parts.headers, connection, body).await;
            AttemptEnd::Failed(AttemptFailure::Misdirected(is_other))
        },
        ResponseClass::Ran if is_event_stream(open.query.route.kind, parts.status) => {
            open.record_start(head_at);
            let order = order.clone();
            let live = LiveStream { head: parts, body, connection, order, head_at };
            AttemptEnd::Stream(Box::new(live))
        },
        ResponseClass::Ran => {
            open.record_start(head_at);
            return read_complete(open, order, connection, parts, body).await;
        },
    };
    ExchangeEnd::Known(end)
}

/// Records what a replica reports about itself in a response, whatever the response means for the
/// request.
fn record_notice(
    open: &OpenRequest,
    order: &AttemptOrder,
    meaning: ResponseClass,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let (notice, fault) = heads::read_upstream_notice(status, headers, SystemTime::now());
    let log = &open.shared.log;
    if let Some(fault) = &fault {
        warn!(log, "word of a replica not understood"; "id" => &open.terms.id,
            "replica" => &order.replica, "fault" => %fault);
    }
    for name in heads::unknown_status_headers(headers) {
        open.shared.metrics.replica_word("unread");
        if open.shared.unknown_status_headers.is_first(name) {
            warn!(log, "word of a replica that nothing reads"; "id" => &open.terms.id,
                "replica" => &order.replica, "name" => name);
        }
    }
    // Only a successful response shows that a limit was withdrawn: any other may lack the header
    // although the limit still applies.
    let is_success = meaning == ResponseClass::Ran && status.is_success();
    if is_success && notice.limit.is_none() && fault.is_none() {
        record_no_limit(open, order);
    }
    if notice.is_blank() {
        return;
    }
    let now = open.shared.clock.now();
    let mut machine = open.shared.machine();
    let change = machine.record_notice(order, &notice, now);
    let has_asks = machine.has_pending_messages();
    drop(machine);
    open.shared.metrics.record_notice(&notice);
    if has_asks {
        open.shared.messages_pending.notify_one();
    }
    // A replica repeats its notice in each response, so only a change is logged.
    let Some(change) = change else {
        return;
    };
    let rest = match change {
        UpstreamStatusChange::Leaves | UpstreamStatusChange::Limits(_) => None,
        UpstreamStatusChange::Rests(until) => Some(until.saturating_sub(now)),
    };
    info!(log, "replica said of itself"; "id" => &open.terms.id, "replica" => &order.replica,
        "born" => order.start_time, "status" => status.as_u16(), "is_leaving" => notice.is_leaving,
        "asked_rest_ms" => notice.rest.map(|rest| rest.as_millis() as u64),
        "rest_ms" => rest.map(|rest| rest.as_millis() as u64),
        "limit" => notice.limit.map(RateLimit::rate));
}

/// Records that a successful response of a replica announces no rate limit.
fn record_no_limit(open: &OpenRequest, order: &AttemptOrder) {
    let now = open.shared.clock.now();
    if open.shared.machine().record_no_limit(order, now) {
        info!(open.shared.log, "replica names no limit any more"; "id" => &open.terms.id,
            "replica" => &order.replica, "born" => order.start_time);
    }
}

/// Sends the request over a pooled connection or a new one, and returns the connection and the
/// response as soon as its head is received.
async fn send_request(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> Result<(ReplicaConnection, Response<Incoming>), AttemptFailure> {
    let pool = &open.shared.pool;
    let max_idle = match open.query.route.kind {
        RouteKind::Safe => Duration::MAX,
        RouteKind::Unsafe | RouteKind::Stream | RouteKind::ResumableStream => NON_SAFE_MAX_IDLE,
    };
    let is_contended = open.shared.machine().is_contended(&open.query.service);
    // Streams are read event by event, and may wait for memory with what is in their buffer.
    let read_buffer = match is_contended || open.query.route.kind.is_stream() {
        true => READ_BUFFER_BYTES,
        false => BUFFERED_SIZE_LIMIT,
    };
    let mut stale = 0;
    loop {
        let pooled = match stale < STALE_CONNECTION_LIMIT {
            true => pool.take(&order.replica, max_idle),
            false => None,
        };
        let mut connection = match pooled {
            Some(connection) => connection,
            None => pool
                .connect(&order.replica, order.address, read_buffer)
                .await
                .map_err(AttemptFailure::NotSent)?,
        };
        let request = build_request(open, order, last_event)?;
        // Opening the connection may have taken long: what has been learnt about the replica since
        // then overrides the choice.
        let now = open.shared.clock.now();
        let (may_send, probed) = {
            let machine = open.shared.machine();
            let may_send = machine.may_send(order, open.query.received, now)
                && !machine.is_fatal(&open.query, now);
            (may_send, machine.probed_suspects(&open.query, now))
        };
        if !may_send {
            pool.put(connection);
            return Err(AttemptFailure::Withheld);
        }
        ends::log_probe(open, order, &probed);
        open.is_sent.store(true, Ordering::Relaxed);
        match connection.send(request).await {
            Ok(head) => return Ok((connection, head)),
            // hyper returned the request, so no byte of it was sent.
            Err(error) if error.message().is_some() && stale < STALE_CONNECTION_LIMIT => {
                open.is_sent.store(false, Ordering::Relaxed);
                stale += 1;
            },
            Err(error) => {
                let is_unsent = error.message().is_some();
                let reason = error.into_error().to_string();
                return Err(match is_unsent {
                    true => AttemptFailure::NotSent(reason),
                    false => AttemptFailure::Lost(reason),
                });
            },
        }
    }
}

/// Builds the request for one attempt.
fn build_request(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> Result<Request<SentBody>, AttemptFailure> {
    let time_left = open.time_left(open.shared.clock.now());
    let terms = AttemptHeaders {
        replica: &order.replica,
        time_left: Some(time_left),
        priority: open.rank,
        last_event,
        workspace: open.workspace(),
    };
    let path = open.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|error: http::uri::InvalidUri| AttemptFailure::NotSent(error.to_string()))?;
    let mut request = Request::new(open.body.to_send());
    *request.method_mut() = open.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = heads::attempt_headers(&open.headers, &terms);
    Ok(request)
}

/// Reads a body that is not forwarded, so that its connection can be reused. A connection on which a response without
/// the request's id came is closed: a late second copy of it could not be told from the response to the next request.
async fn drain_body(
    open: &OpenRequest,
    headers: &HeaderMap,
    connection: ReplicaConnection,
    body: Incoming,
) {
    if !heads::has_request_id(headers) {
        return;
    }
    if let Ok(true) = timeout(DRAIN_TIMEOUT, discard(body, DRAINED_SIZE_LIMIT)).await {
        open.shared.pool.put(connection);
    }
}

/// Returns the end of an exchange whose response is none.
fn lost_exchange(fault: FramingFault) -> ExchangeEnd {
    ExchangeEnd::Known(AttemptEnd::Failed(AttemptFailure::Lost(fault.to_string())))
}

/// Reads a response to its end and returns its connection to the pool, unless it is too large to be buffered.
async fn read_complete(
    open: &OpenRequest,
    order: &AttemptOrder,
    connection: ReplicaConnection,
    mut head: http::response::Parts,
    mut body: Incoming,
) -> ExchangeEnd {
    let is_framed = is_framed(&head.headers) || body.is_end_stream();
    head.headers = heads::end_to_end_headers(&head.headers);
    let mut begin = BytesMut::new();
    let mut memory = open.shared.memory.empty_permit(MemoryClass::Requests);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => begin.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(error) => {
                let reason = format!("response interrupted: {error}");
                return ExchangeEnd::Known(AttemptEnd::Failed(AttemptFailure::Lost(reason)));
            },
        }
        // Where no memory is left, the response is forwarded as the caller takes it, too.
        if begin.len() > BUFFERED_SIZE_LIMIT || memory.grow_to(begin.capacity()).is_err() {
            if !is_framed && let Err(fault) = check_begin(&begin, false) {
                return lost_exchange(fault);
            }
            let (begin, order) = (begin.freeze(), order.clone());
            let answer = LargeAnswer { head, begin, body, connection, order, is_framed, memory };
            return ExchangeEnd::Known(AttemptEnd::Large(Box::new(answer)));
        }
    }
    if !is_framed && let Err(fault) = check_begin(&begin, true) {
        return lost_exchange(fault);
    }
    head.extensions.insert(HeldMemory::new(memory));
    let response = Response::from_parts(head, begin.freeze());
    match is_framed {
        true => {
            open.shared.pool.put(connection);
            ExchangeEnd::Known(classify_complete(open, response))
        },
        false => ExchangeEnd::Unframed(response),
    }
}

/// Records that the replica survived its response, and classifies the response by its status.
fn classify_complete(open: &OpenRequest, response: Response<Bytes>) -> AttemptEnd {
    if response.status().is_success() {
        open.record_success();
        open.record_survival(open.sent_at);
    }
    classify_status(open, response)
}

fn classify_status(open: &OpenRequest, response: Response<Bytes>) -> AttemptEnd {
    match response.status().is_server_error() && open.query.route.kind == RouteKind::Safe {
        true => AttemptEnd::Failed(AttemptFailure::Errored(Box::new(response))),
        false => AttemptEnd::Complete(response),
    }
}

/// Returns how long the replica keeps an idle connection open, if the response says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout="));
    seconds.filter_map(|text| text.parse().ok()).map(Duration::from_secs).next()
}
