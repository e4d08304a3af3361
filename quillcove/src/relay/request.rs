//! Reads and admits a caller's request, holds the state that its attempts share, and writes its log
//! line when it ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::header::HOST;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quillcove_core::access::account::LimitAccount;
use quillcove_core::access::grant::AccessGrant;
use quillcove_core::access::limit::{UseCharge, UseClaim};
use quillcove_core::class::WorkClass;
use quillcove_core::crash::digest::{CallerDigest, RequestIdentity, RequestParts, part_identity};
use quillcove_core::ids::{MonoTime, ReplicaId, SoftwareVersion};
use quillcove_core::memory::{MemoryClass, MemoryFull, MemoryPermit, REQUEST_BYTES};
use quillcove_core::relay::admission::decision::AdmissionStep;
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayQuery};
use quillcove_core::relay::origin::{OriginDigest, StreamKey, StreamOrigin};
use quillcove_core::relay::prompt::PromptSize;
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::reading::ReadingNumber;
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::route::{RouteKind, RouteRecord};
use quillcove_core::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};
use quillcove_platform::heads::{self, RequestHeaders};
use slog::info;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::connections::ConnectionState;
use super::resumption::resolve_origin;
use super::shared::RelayShared;
use crate::web::body::discard;
use crate::web::held::{BodyCollector, HeldBody};

/// An admitted request, with the state that its attempts share.
pub struct OpenRequest {
    pub shared: Arc<RelayShared>,
    pub query: RelayQuery,
    pub terms: RequestHeaders,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: HeldBody,
    /// What the request takes without its body.
    _memory: MemoryPermit,
    pub configuration: Arc<PublishedConfig>,
    pub tried: Vec<ReplicaId>,
    pub attempts: u32,
    /// Attempts that may have run, at least in part.
    pub runs: u32,
    /// Attempts that replicas rejected.
    pub refusals: u32,
    /// Attempts of which no byte was sent.
    pub unsent: u32,
    /// When the last attempt was sent.
    pub sent_at: MonoTime,
    /// Whether a byte of the last attempt may have reached its replica.
    pub is_sent: AtomicBool,
    /// Total time spent waiting for a replica or an adapter.
    pub waited: Duration,
    /// Time from receiving the request to the first event of its stream.
    pub first_event: Option<Duration>,
    /// Software version of the replica that sent the first event of this answer.
    pub first_software: Option<SoftwareVersion>,
    /// Longest time between two consecutive events.
    pub longest_pause: Duration,
    /// Delay after which a rejected caller may retry, as sent in the response.
    pub retry_after: Option<Duration>,
    /// Prefill of the current attempt, until the first event is received.
    prefill: Option<PendingPrefill>,
    /// Priority rank of the last attempt at its engine.
    pub rank: Option<u8>,
    /// Admission decision on the last attempt; `None` where the rules for scarce adapter slots do not apply.
    pub admission: Option<AdmissionStep>,
    /// Estimated time to the first event of the last attempt.
    pub expected_first_event: Option<Duration>,
    /// Predicted longest pause of the last attempt.
    pub expected_pause: Option<Duration>,
    charge: ChargeGuard,
    finished: Option<FinishedRequest>,
}

/// An attempt that waits for its prefill to end.
#[derive(Clone, Debug)]
struct PendingPrefill {
    replica: ReplicaId,
    number: ReadingNumber,
}

/// Outcome of a request, for its log line.
#[derive(Clone, Debug)]
struct FinishedRequest {
    verdict: RunVerdict,
    status: u16,
    reason: String,
}

impl OpenRequest {
    /// Records the outcome; the log line is written on drop.
    pub fn finish(&mut self, verdict: RunVerdict, status: u16, reason: impl Into<String>) {
        self.finished = Some(FinishedRequest { verdict, status, reason: reason.into() });
    }

    /// Records that the prompt is sent to a replica, and stores the attempt's rank and estimate.
    pub fn begin_prefill(&mut self, replica: &str, now: MonoTime) {
        self.end_prefill(None);
        if self.query.model.is_none() {
            return;
        }
        let start = self.shared.machine().begin_prefill(replica, &self.query, now);
        let pending = |number| PendingPrefill { replica: replica.to_string(), number };
        self.prefill = start.number.map(pending);
        self.rank = Some(start.rank);
        self.expected_first_event = start.expected;
        self.admission = start.admission;
        self.expected_pause = start.expected_pause;
    }

    /// Records that the attempt's first event was received at `read_at`, or that the attempt ended
    /// without one (`None`).
    pub fn end_prefill(&mut self, read_at: Option<MonoTime>) {
        if let Some(pending) = self.prefill.take() {
            self.shared.machine().end_prefill(&pending.replica, pending.number, read_at);
        }
    }

    pub fn class(&self) -> WorkClass {
        self.query.route.class()
    }

    /// Returns whether the request is on a safe route and may be retried if the current attempt is
    /// lost.
    pub fn may_retry_lost(&self) -> bool {
        self.query.route.kind == RouteKind::Safe
            && self.runs + 1 < self.query.route.attempt_limit
            && self.shared.machine().has_retry(&self.query.service)
    }

    /// Records that the first event of the stream was received from a replica. From then on the stream goes on only at
    /// that replica's software version, in this answer and in later attempts of the caller.
    pub fn begin_stream(&mut self, order: &AttemptOrder, now: MonoTime) {
        self.first_software = order.software.clone();
        let origin = OriginDigest::of(&self.query.service, order.software.as_deref());
        self.query.origin = Some(origin);
        let stream = StreamKey::of(self.terms.resumes.as_ref().unwrap_or(&self.terms.id));
        // A caller may come back until its own deadline, even if the route's timeout ends this attempt earlier.
        let lifetime = self.terms.time_limit.unwrap_or(self.query.route.timeout);
        let report = StreamOrigin { stream, origin, lifetime };
        self.shared.machine().begin_stream(self.query.route.kind, report, now);
        self.send_origin_reports(stream);
    }

    /// Sends the origins of streams to the loaders that hold them, before the caller gets the first event, so that they
    /// are known if this process then exits. If relays are the holders, the control thread sends them.
    fn send_origin_reports(&self, stream: StreamKey) {
        let mut machine = self.shared.machine();
        if machine.origin_holders(stream).is_empty() {
            drop(machine);
            self.shared.messages_pending.notify_one();
            return;
        }
        let reports = machine.origins_mut().take_reports();
        drop(machine);
        for report in reports {
            let engines = self.shared.machine().origin_holders(report.stream);
            let loaders = engines.into_iter().map(|engine| self.shared.loader_of(engine));
            self.shared.send(&PeerMessage::Origin(report), loaders);
        }
    }

    /// Returns the name of the request's workspace, if it has one.
    pub fn workspace(&self) -> Option<&str> {
        self.query.grant.as_ref().map(|grant| grant.workspace.name.as_str())
    }

    /// Records that a replica began to answer the request.
    pub fn record_start(&self, now: MonoTime) {
        self.shared.machine().crashes_mut().record_start(&self.query.parts, now);
    }

    /// Records that a replica went on after it had begun the answer at `begun_at`, as evidence that no part of the prompt
    /// makes replicas exit.
    pub fn record_survival(&self, begun_at: MonoTime) {
        if self.shared.machine().crashes_mut().record_survival(&self.query.parts, begun_at) {
            self.shared.messages_pending.notify_one();
        }
    }

    /// Records that a replica went on for long after it had begun the answer at `begun_at`, as evidence that the request
    /// is not fatal.
    pub fn record_run_survival(&self, begun_at: MonoTime) {
        let Some(identity) = self.query.identity else {
            return;
        };
        let now = self.shared.clock.now();
        let is_told =
            self.shared.machine().crashes_mut().record_run_survival(identity, begun_at, now);
        if is_told {
            self.shared.messages_pending.notify_one();
        }
    }

    /// Records that a replica completed the request, as evidence that it is not a fatal request.
    pub fn record_success(&self) {
        let now = self.shared.clock.now();
        if let Some(identity) = self.query.identity {
            self.shared.machine().crashes_mut().record_success(identity, now);
        }
    }

    /// Returns a function that says whether the request, if it is passed on now, is expected to end by a time. What has
    /// run in part goes on in any case: nothing would be gained by its rejection.
    pub fn end_estimate(&self) -> impl Fn(MonoTime) -> bool + use<> {
        let (shared, has_run) = (self.shared.clone(), self.runs > 0);
        let (route, deadline) = (self.query.route.clone(), self.query.deadline);
        move |end| {
            let now = shared.clock.now();
            has_run || shared.machine().may_end_by(&route.name, deadline, end, now)
        }
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: MonoTime) -> Duration {
        self.query.deadline.saturating_sub(now)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.end_prefill(None);
        let now = self.shared.clock.now();
        let took = now.saturating_sub(self.query.received);
        let end = self.finished.take().unwrap_or(FinishedRequest {
            verdict: match self.attempts {
                0 => RunVerdict::NotRun,
                _ => RunVerdict::MayHaveRun,
            },
            status: 0,
            reason: "caller left".to_string(),
        });
        let mut machine = self.shared.machine();
        machine.finish();
        if end.verdict == RunVerdict::Ran {
            machine.record_run_time(&self.query.route.name, took, now);
        }
        if end.verdict == RunVerdict::NotRun {
            self.charge.refund(&mut machine);
        }
        if machine.has_pending_messages() {
            self.shared.messages_pending.notify_one();
        }
        drop(machine);
        self.charge.commit();
        self.shared.metrics.record_finish(end.verdict, self.class(), took);
        if let Some((limit, expected)) = self.query.route.target_gap.zip(self.expected_pause)
            && self.first_event.is_some()
        {
            self.shared.metrics.record_pause(expected > limit, self.longest_pause > limit);
        }
        info!(self.shared.log, "request"; "id" => &self.terms.id,
            "route" => &self.query.route.name, "sheet" => self.configuration.version,
            "service" => &self.query.service, "workspace" => self.workspace(),
            "resumes" => &self.terms.resumes, "after" => &self.terms.last_event,
            "software" => &self.first_software,
            "adapter" => self.query.adapter.as_ref().map(|key| key.adapter.as_str()),
            "verdict" => end.verdict.label(), "status" => end.status, "reason" => end.reason,
            "age_ms" => self.query.since_first_attempt.as_millis() as u64, "attempts" => self.attempts, "replicas" => self.tried.join(","),
            "come_back_ms" => self.retry_after.map(|pause| pause.as_millis() as u64),
            "waited_ms" => self.waited.as_millis() as u64,
            "prompt_tokens" => self.query.prompt_tokens, "rank" => self.rank,
            "admission" => self.admission.map(|step| step.label()),
            "expected_ms" => self.expected_first_event.map(|time| time.as_millis() as u64),
            "first_event_ms" => self.first_event.map(|first| first.as_millis() as u64),
            "expected_pause_ms" => self.expected_pause.map(|pause| pause.as_millis() as u64),
            "longest_pause_ms" => self.longest_pause.as_millis() as u64, "took_ms" => took.as_millis() as u64);
    }
}

/// A response status for a request that cannot be processed, and the reason for the log.
pub struct Denial {
    pub status: StatusCode,
    pub reason: String,
}

/// Why a request is not admitted.
pub enum Rejection {
    /// It may be admitted later or elsewhere.
    Refused(WorkRefusal),
    /// It is malformed, or no route matches it.
    Denied(Denial),
}

impl From<WorkRefusal> for Rejection {
    fn from(refusal: WorkRefusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Rejection {
    fn denied(status: StatusCode, reason: impl ToString) -> Self {
        Self::Denied(Denial { status, reason: reason.to_string() })
    }
}

/// What a request was charged. Refunds the charge on drop unless [`ChargeGuard::commit`] was called:
/// a request that fails before it is admitted costs nothing.
pub struct ChargeGuard {
    shared: Arc<RelayShared>,
    charge: Option<UseCharge>,
}

impl ChargeGuard {
    fn refund(&mut self, machine: &mut RelayMachine) {
        if let Some(charge) = self.charge.take() {
            machine.refund(&charge);
        }
    }

    /// Makes the charge final.
    fn commit(&mut self) {
        self.charge = None;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if self.charge.is_some() {
            let shared = self.shared.clone();
            self.refund(&mut shared.machine());
        }
    }
}

/// Authorizes a request by its key and charges its use, before the body is read.
fn authorize(
    shared: &Arc<RelayShared>,
    route: &RouteRecord,
    terms: &RequestHeaders,
    now: MonoTime,
) -> Result<Option<AccessGrant>, Rejection> {
    let tokens = terms.prompt.as_ref().map(PromptSize::all_tokens);
    let claim = UseClaim { tokens, rank: route.priority };
    let granted = shared.machine().authorize(route, terms.key, claim, now);
    granted.map_err(|refusal| {
        let machine = shared.machine();
        let access = machine.sheet().and_then(|configuration| configuration.access());
        let holder = access.and_then(|access| access.find(&terms.key?));
        let account = holder.and_then(|holder| machine.ledger().account_of(&holder.name));
        let proved_at = machine.knowledge().proved_at();
        let knowledge_age = proved_at.map(|at| now.saturating_sub(at).as_millis() as u64);
        info!(shared.log, "not let in"; "id" => &terms.id, "route" => &route.name,
            "has_key" => terms.key.is_some(), "workspace" => holder.map(|holder| &holder.name),
            "left" => account.map(LimitAccount::level), "tokens" => tokens,
            "knowledge_age_ms" => knowledge_age,
            "sheet" => machine.sheet().map(|configuration| configuration.version));
        Rejection::Refused(refusal.into())
    })
}

/// Rejects a request to which no route of the configuration applies.
fn reject_without_route(
    shared: &RelayShared,
    configuration: &PublishedConfig,
    now: MonoTime,
) -> Rejection {
    let age = shared.machine().knowledge().age(StorePart::Operator, now);
    if age > shared.settings.platform.max_knowledge_age() {
        // A later configuration may have the route, and another relay may know it.
        return WorkRefusal::not_run(RefusalReason::KnowledgeOld, Some(SHORT_RETRY_DELAY)).into();
    }
    let version = configuration.version;
    let reason = format!("no route in configuration {version}, which was checked {age:?} ago");
    Rejection::denied(StatusCode::NOT_FOUND, reason)
}

/// How a request came.
pub struct RequestArrival<'a> {
    pub caller: CallerDigest,
    pub received: MonoTime,
    pub connection: &'a ConnectionState,
}

/// Reads a request with its body and admits it.
pub async fn prepare(
    shared: &Arc<RelayShared>,
    request: Request<Incoming>,
    arrival: RequestArrival<'_>,
) -> Result<OpenRequest, Rejection> {
    let RequestArrival { caller, received, connection } = arrival;
    let (parts, body) = request.into_parts();
    let no_configuration =
        || WorkRefusal::not_run(RefusalReason::BundleMissing, Some(SHORT_RETRY_DELAY));
    let configuration = shared.machine().sheet().cloned().ok_or_else(no_configuration)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = configuration.find_route(host, parts.uri.path()).cloned();
    let route = route.ok_or_else(|| reject_without_route(shared, &configuration, received))?;
    let terms = heads::parse_request_headers(&parts.headers)
        .map_err(|fault| Rejection::denied(StatusCode::BAD_REQUEST, fault))?;
    if let Some(fault) = &terms.fault {
        info!(shared.log, "size of a prompt not understood"; "id" => &terms.id, "fault" => %fault);
    }
    let grant = authorize(shared, &route, &terms, received)?;
    let charge = grant.as_ref().and_then(|grant| grant.charge.clone());
    let charge = ChargeGuard { shared: shared.clone(), charge };
    let requested_timeout = terms.time_limit.unwrap_or(route.timeout);
    let age = shared.machine().time_since_first_attempt(&route.name, requested_timeout);
    let deadline = received + requested_timeout.min(route.timeout);
    let body = read_body(shared, &configuration.limits, body, connection).await?;
    let memory = shared.memory.reserve(MemoryClass::Requests, REQUEST_BYTES);
    let memory = memory.map_err(|full| reject_for_memory(shared, full))?;
    let digested = RequestParts {
        method: parts.method.as_str(),
        host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        key: grant.as_ref().map(|grant| grant.key),
        body: body.first_segment(),
    };
    let digest = digested.digest_with(body.other_segments());
    let identity = RequestIdentity { digest, caller };
    let no_service = || WorkRefusal::not_run(RefusalReason::NoUpstream, Some(SHORT_RETRY_DELAY));
    let (service, origin) = match resolve_origin(shared, &route, &terms, received).await? {
        Some(resolved) => (resolved.service, Some(resolved.origin)),
        None => (shared.machine().draw_service(&route).ok_or_else(no_service)?, None),
    };
    let model = terms.model.as_deref().unwrap_or(&service);
    let part_identities =
        terms.shared_parts.iter().map(|part| part_identity(model, *part)).collect();
    shared.machine().admit(&service, deadline, shared.clock.now())?;
    let query = RelayQuery {
        route,
        service,
        model: terms.model.clone(),
        adapter: terms.adapter.clone(),
        prompt_tokens: terms.prompt.as_ref().map(|prompt| prompt.tokens),
        received,
        since_first_attempt: age,
        deadline,
        choice_count: 0,
        grant,
        identity: Some(identity),
        parts: part_identities,
        origin,
    };
    Ok(OpenRequest {
        shared: shared.clone(),
        query,
        terms,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        _memory: memory,
        configuration,
        tried: Vec::new(),
        attempts: 0,
        runs: 0,
        refusals: 0,
        unsent: 0,
        sent_at: received,
        is_sent: AtomicBool::new(false),
        waited: Duration::ZERO,
        first_event: None,
        first_software: None,
        longest_pause: Duration::ZERO,
        retry_after: None,
        prefill: None,
        rank: None,
        admission: None,
        expected_first_event: None,
        expected_pause: None,
        charge,
        finished: None,
    })
}

/// Counts something for as long as it lives.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Rejects a request for which no memory is left.
fn reject_for_memory(shared: &RelayShared, full: MemoryFull) -> Rejection {
    info!(shared.log, "no memory is left"; "class" => full.0.label(),
        "held_bytes" => shared.memory.total());
    WorkRefusal::overloaded().into()
}

/// Reads the body within the size limit and the read timeout of the configuration, and within the memory that is left.
async fn read_body(
    shared: &RelayShared,
    limits: &CallerLimits,
    body: Incoming,
    connection: &ConnectionState,
) -> Result<HeldBody, Rejection> {
    let _counted = CountGuard::enter(&shared.reading);
    let late =
        |_| Rejection::denied(StatusCode::REQUEST_TIMEOUT, "request body not received in time");
    let read = collect_body(shared, limits, body, connection);
    let body = timeout(limits.read_timeout, read).await.map_err(late)??;
    // A connection that was told to close meanwhile is closed with the request unread.
    let closed = || WorkRefusal::overloaded();
    connection.record_request().then_some(body).ok_or_else(closed).map_err(Rejection::from)
}

async fn collect_body(
    shared: &RelayShared,
    limits: &CallerLimits,
    mut body: Incoming,
    connection: &ConnectionState,
) -> Result<HeldBody, Rejection> {
    let too_large = || Rejection::denied(StatusCode::PAYLOAD_TOO_LARGE, "body over the limit");
    let announced = body.size_hint().exact();
    if announced.is_some_and(|length| length > limits.body_bytes as u64) {
        return Err(too_large());
    }
    connection.record_read(shared.clock.now());
    let announced = announced.map(|length| length as usize);
    let collector = BodyCollector::new(&shared.memory, announced);
    let mut collector = collector.map_err(|full| reject_for_memory(shared, full))?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Rejection::denied(StatusCode::BAD_REQUEST, error))?;
        let data = frame.into_data().unwrap_or_default();
        if collector.len() + data.len() > limits.body_bytes {
            return Err(too_large());
        }
        connection.record_read(shared.clock.now());
        if let Err(full) = hold(shared, &mut collector, &data).await {
            // Its memory is free before the rest is read, so that its caller gets the response and not a reset.
            drop(collector);
            tokio::spawn(timeout(limits.read_timeout, discard(body, limits.body_bytes)));
            return Err(reject_for_memory(shared, full));
        }
    }
    Ok(collector.finish())
}

/// Adds bytes to a body. Where no memory is left, bodies of which nothing more comes give way.
async fn hold(
    shared: &RelayShared,
    collector: &mut BodyCollector,
    mut data: &[u8],
) -> Result<(), MemoryFull> {
    while let Err(full) = collector.push(&mut data) {
        if !shared.connections.close_stalled_body(shared.clock.now()) {
            return Err(full);
        }
        // The connection that was told to close has to run.
        yield_now().await;
    }
    Ok(())
}
