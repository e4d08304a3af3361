//! A caller's request: reading it, admitting it, and its line in the log when it ends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use quillcove_core::access::account::LimitAccount;
use quillcove_core::access::grant::AccessGrant;
use quillcove_core::access::limit::{UseCharge, UseClaim};
use quillcove_core::class::WorkClass;
use quillcove_core::crash::digest::{CallerDigest, RequestIdentity, RequestParts};
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::ReplicaId;
use quillcove_core::relay::machine::{RelayMachine, RelayQuery};
use quillcove_core::relay::prompt::PromptSize;
use quillcove_core::relay::reading::ReadingNumber;
use quillcove_core::relay::sheet::RouteSheet;
use quillcove_core::route::{RouteKind, RouteRecord};
use quillcove_core::verdict::{RefusalReason, RunVerdict, SOON, WorkRefusal};
use quillcove_platform::heads::{self, CallerTerms};
use slog::info;
use tokio::time::timeout;

use super::shared::RelayShared;

/// A request in flight, with what its attempts share.
pub struct OpenRequest {
    pub shared: Arc<RelayShared>,
    pub query: RelayQuery,
    pub terms: CallerTerms,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub sheet: Arc<RouteSheet>,
    pub tried: Vec<ReplicaId>,
    pub attempts: u32,
    /// Attempts that may have run, in part at least.
    pub runs: u32,
    /// Attempts that their replica refused.
    pub refusals: u32,
    /// Attempts that never left this process.
    pub unsent: u32,
    /// When the last attempt was sent.
    pub sent_at: MonoTime,
    pub waited: Duration,
    /// Time from the request to the first event of its stream.
    pub first_event: Option<Duration>,
    /// Longest time between two events.
    pub longest_pause: Duration,
    /// When a refused caller was told to come back.
    pub come_back: Option<Duration>,
    /// The attempt of now, until its first event has come.
    reading: Option<ReadingMark>,
    /// Rank of the last attempt at its engine.
    pub rank: Option<u8>,
    /// Time in which the last attempt was expected to bring its first event.
    pub expected: Option<Duration>,
    charge: HeldCharge,
    finished: Option<FinishedRequest>,
}

/// An attempt whose prompt is being read.
#[derive(Clone, Debug)]
struct ReadingMark {
    replica: ReplicaId,
    number: ReadingNumber,
}

/// How a request ended, for its line in the log.
#[derive(Clone, Debug)]
struct FinishedRequest {
    verdict: RunVerdict,
    status: u16,
    reason: String,
}

impl OpenRequest {
    /// Notes how the request ended; the line is written when it is dropped.
    pub fn finish(&mut self, verdict: RunVerdict, status: u16, reason: impl Into<String>) {
        self.finished = Some(FinishedRequest { verdict, status, reason: reason.into() });
    }

    /// Notes that the prompt is sent to a replica.
    pub fn begin_reading(&mut self, replica: &str, now: MonoTime) {
        self.end_reading(None);
        if self.query.model.is_none() {
            return;
        }
        let start = self.shared.machine().begin_reading(replica, &self.query, now);
        let mark = |number| ReadingMark { replica: replica.to_string(), number };
        self.reading = start.number.map(mark);
        self.rank = Some(start.rank);
        self.expected = start.expected;
    }

    /// Notes that the first event of the attempt came at this time, or that it ended without one.
    pub fn end_reading(&mut self, read_at: Option<MonoTime>) {
        if let Some(mark) = self.reading.take() {
            self.shared.machine().end_reading(&mark.replica, mark.number, read_at);
        }
    }

    pub fn class(&self) -> WorkClass {
        self.query.route.class()
    }

    /// Tells whether a plain call could be sent again if its attempt of now were lost.
    pub fn may_repeat_lost(&self) -> bool {
        self.query.route.kind == RouteKind::Safe
            && self.runs + 1 < self.query.route.attempt_limit
            && self.shared.machine().has_repeat(&self.query.service)
    }

    /// Name of the request's workspace.
    pub fn workspace(&self) -> Option<&str> {
        self.query.grant.as_ref().map(|grant| grant.workspace.name.as_str())
    }

    /// Notes that a replica ran the request to a good end.
    pub fn note_good(&self) {
        let now = self.shared.clock.now();
        if let Some(identity) = self.query.identity {
            self.shared.machine().crashes_mut().note_good(identity, now);
        }
    }

    pub fn left(&self, now: MonoTime) -> Duration {
        self.query.deadline.saturating_sub(now)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.end_reading(None);
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
        if end.verdict == RunVerdict::NotRun {
            self.charge.give_back(&mut machine);
        }
        if machine.has_asks() {
            self.shared.wanted.notify_one();
        }
        drop(machine);
        self.charge.settle();
        self.shared.metrics.finished(end.verdict, self.class(), took);
        info!(self.shared.log, "request"; "id" => &self.terms.id,
            "route" => &self.query.route.name, "sheet" => self.sheet.version,
            "service" => &self.query.service, "workspace" => self.workspace(),
            "adapter" => self.query.adapter.as_ref().map(|key| key.adapter.as_str()),
            "verdict" => end.verdict.label(), "status" => end.status, "reason" => end.reason,
            "age_ms" => self.query.age.as_millis() as u64, "attempts" => self.attempts, "replicas" => self.tried.join(","),
            "come_back_ms" => self.come_back.map(|pause| pause.as_millis() as u64),
            "waited_ms" => self.waited.as_millis() as u64,
            "prompt_tokens" => self.query.prompt_tokens, "rank" => self.rank,
            "expected_ms" => self.expected.map(|time| time.as_millis() as u64),
            "first_event_ms" => self.first_event.map(|first| first.as_millis() as u64),
            "longest_pause_ms" => self.longest_pause.as_millis() as u64, "took_ms" => took.as_millis() as u64);
    }
}

/// Why a request is not taken at all.
pub struct Denial {
    pub status: StatusCode,
    pub reason: String,
}

/// Why a request is not admitted.
pub enum Rejection {
    Refused(WorkRefusal),
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

/// What a request was charged with. It is given back when the request ends before it is open.
pub struct HeldCharge {
    shared: Arc<RelayShared>,
    charge: Option<UseCharge>,
}

impl HeldCharge {
    fn give_back(&mut self, machine: &mut RelayMachine) {
        if let Some(charge) = self.charge.take() {
            machine.give_back(&charge);
        }
    }

    /// Nothing is given back any more.
    fn settle(&mut self) {
        self.charge = None;
    }
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        if self.charge.is_some() {
            let shared = self.shared.clone();
            self.give_back(&mut shared.machine());
        }
    }
}

/// Lets a request in by its key, before its body is taken.
fn let_in(
    shared: &Arc<RelayShared>,
    route: &RouteRecord,
    terms: &CallerTerms,
    now: MonoTime,
) -> Result<Option<AccessGrant>, Rejection> {
    let tokens = terms.prompt.as_ref().map(PromptSize::all_tokens);
    let claim = UseClaim { tokens, rank: route.priority };
    let granted = shared.machine().let_in(route, terms.key, claim, now);
    granted.map_err(|refusal| {
        let machine = shared.machine();
        let access = machine.sheet().and_then(|sheet| sheet.access());
        let holder = access.and_then(|access| access.find(&terms.key?));
        let account = holder.and_then(|holder| machine.ledger().account_of(&holder.name));
        let proved_at = machine.knowledge().proved_at();
        let knowledge_age = proved_at.map(|at| now.saturating_sub(at).as_millis() as u64);
        info!(shared.log, "not let in"; "id" => &terms.id, "route" => &route.name,
            "has_key" => terms.key.is_some(), "workspace" => holder.map(|holder| &holder.name),
            "left" => account.map(LimitAccount::level), "tokens" => tokens,
            "knowledge_age_ms" => knowledge_age, "sheet" => machine.sheet().map(|sheet| sheet.version));
        Rejection::Refused(refusal.into())
    })
}

/// Reads a request whole and admits it.
pub async fn prepare(
    shared: &Arc<RelayShared>,
    request: Request<Incoming>,
    caller: CallerDigest,
    received: MonoTime,
) -> Result<OpenRequest, Rejection> {
    let (parts, body) = request.into_parts();
    let missing = || WorkRefusal::not_run(RefusalReason::BundleMissing, Some(SOON));
    let sheet = shared.machine().sheet().cloned().ok_or_else(missing)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = sheet.find_route(host, parts.uri.path()).cloned();
    let no_route = || Rejection::denied(StatusCode::NOT_FOUND, "no route");
    let route = route.ok_or_else(no_route)?;
    let terms = heads::read_terms(&parts.headers)
        .map_err(|fault| Rejection::denied(StatusCode::BAD_REQUEST, fault))?;
    if let Some(fault) = &terms.fault {
        info!(shared.log, "size of a prompt not understood"; "id" => &terms.id, "fault" => %fault);
    }
    let grant = let_in(shared, &route, &terms, received)?;
    let charge = grant.as_ref().and_then(|grant| grant.charge.clone());
    let charge = HeldCharge { shared: shared.clone(), charge };
    let said = terms.patience.unwrap_or(route.timeout);
    let age = shared.machine().age_of(&route.name, said);
    let deadline = received + said.min(route.timeout);
    let body = read_body(&sheet, body).await?;
    let parts_of = RequestParts {
        method: parts.method.as_str(),
        host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        key: grant.as_ref().map(|grant| grant.key),
        body: &body,
    };
    let identity = RequestIdentity { digest: parts_of.digest(), caller };
    let service = shared.machine().draw_service(&route);
    let no_service = || WorkRefusal::not_run(RefusalReason::NoUpstream, Some(SOON));
    let service = service.ok_or_else(no_service)?;
    shared.machine().admit(&service, deadline, shared.clock.now())?;
    let query = RelayQuery {
        route,
        service,
        model: terms.model.clone(),
        adapter: terms.adapter.clone(),
        prompt_tokens: terms.prompt.as_ref().map(|prompt| prompt.tokens),
        received,
        age,
        deadline,
        looks: 0,
        grant,
        identity: Some(identity),
    };
    Ok(OpenRequest {
        shared: shared.clone(),
        query,
        terms,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        sheet,
        tried: Vec::new(),
        attempts: 0,
        runs: 0,
        refusals: 0,
        unsent: 0,
        sent_at: received,
        waited: Duration::ZERO,
        first_event: None,
        longest_pause: Duration::ZERO,
        come_back: None,
        reading: None,
        rank: None,
        expected: None,
        charge,
        finished: None,
    })
}

async fn read_body(sheet: &RouteSheet, body: Incoming) -> Result<Bytes, Rejection> {
    let limited = Limited::new(body, sheet.limits.body_bytes);
    match timeout(sheet.limits.read_timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Rejection::denied(StatusCode::PAYLOAD_TOO_LARGE, error))
        },
        Ok(Err(error)) => Err(Rejection::denied(StatusCode::BAD_REQUEST, error)),
        Err(_) => Err(Rejection::denied(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")),
    }
}
