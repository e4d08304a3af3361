//! The way of one request: admission, attempts, and its one final answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use quillcove_core::class::WorkClass;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::ReplicaId;
use quillcove_core::relay::machine::{AttemptOrder, RelayChoice, RelayQuery};
use quillcove_core::relay::replica::AttemptFate;
use quillcove_core::relay::sheet::{RouteKind, RouteSheet};
use quillcove_core::verdict::{RefusalReason, RunVerdict, SOON, WorkRefusal};
use quillcove_platform::heads::{self, CallerTerms};
use slog::info;
use tokio::time::{timeout, timeout_at};

use super::attempt::{self, AttemptEnd, AttemptFailure};
use super::shared::RelayShared;
use super::stream;

/// Why an answer's body breaks off.
#[derive(Debug, thiserror::Error)]
pub enum BodyBreak {
    /// The upstream's answer broke off, and nothing could go on in its place.
    #[error("the upstream broke off: {0}")]
    Upstream(String),
    /// The time that the route gives is over.
    #[error("the request's time is over")]
    TimeOver,
}

/// Refusals of replicas after which a request is refused to its caller.
const REFUSAL_LIMIT: u32 = 2;

/// Connections that may fail before a request is refused to its caller.
const UNSENT_LIMIT: u32 = 3;

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyBreak>;

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
    refusals: u32,
    /// Attempts that never left this process.
    unsent: u32,
    pub waited: Duration,
    /// Time from the request to the first event of its stream.
    pub first_event: Option<Duration>,
    /// Longest time between two events.
    pub longest_pause: Duration,
    finished: Option<FinishedRequest>,
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

    pub fn class(&self) -> WorkClass {
        match self.query.route.priority {
            0 => WorkClass::Urgent,
            1 => WorkClass::Normal,
            _ => WorkClass::Batch,
        }
    }

    /// Tells whether a plain call could be sent again if its attempt of now were lost.
    pub fn may_repeat_lost(&self) -> bool {
        self.query.route.kind == RouteKind::Safe
            && self.runs + 1 < self.query.route.attempt_limit
            && self.shared.machine().has_repeat(&self.query.service)
    }

    pub fn left(&self, now: MonoTime) -> Duration {
        self.query.deadline.saturating_sub(now)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared.machine().finish();
        let took = now.saturating_sub(self.query.received);
        let end = self.finished.take().unwrap_or(FinishedRequest {
            verdict: match self.attempts {
                0 => RunVerdict::NotRun,
                _ => RunVerdict::MayHaveRun,
            },
            status: 0,
            reason: "caller left".to_string(),
        });
        self.shared.metrics.finished(end.verdict, self.class(), took);
        info!(self.shared.log, "request"; "id" => &self.terms.id,
            "route" => &self.query.route.name, "sheet" => self.sheet.version,
            "service" => &self.query.service,
            "adapter" => self.query.adapter.as_ref().map(|key| key.adapter.as_str()),
            "verdict" => end.verdict.label(), "status" => end.status, "reason" => end.reason,
            "attempts" => self.attempts, "replicas" => self.tried.join(","),
            "waited_ms" => self.waited.as_millis() as u64,
            "first_event_ms" => self.first_event.map(|first| first.as_millis() as u64),
            "longest_pause_ms" => self.longest_pause.as_millis() as u64, "took_ms" => took.as_millis() as u64);
    }
}

/// Why a request is not taken at all.
struct Denial {
    status: StatusCode,
    reason: String,
}

/// Answers one request of a caller.
pub async fn answer(shared: Arc<RelayShared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = shared.clock.now();
    let id = request.headers().get(heads::id_header()).cloned();
    let answer = match prepare(&shared, request, received).await {
        Ok(open) => run(open).await,
        Err(Rejection::Refused(refusal)) => {
            shared.metrics.refused(refusal.reason, WorkClass::Normal);
            info!(shared.log, "request refused"; "id" => ?id, "reason" => refusal.reason.label());
            refusal_answer(&refusal)
        },
        Err(Rejection::Denied(denial)) => {
            info!(shared.log, "request denied"; "id" => ?id, "status" => denial.status.as_u16(),
                "reason" => denial.reason);
            own_answer(denial.status, None)
        },
    };
    close_when_stopping(&shared, with_id(answer, id))
}

/// Answers name the request that they belong to.
fn with_id(mut answer: Response<AnswerBody>, id: Option<HeaderValue>) -> Response<AnswerBody> {
    if let Some(id) = id {
        answer.headers_mut().entry(heads::id_header()).or_insert(id);
    }
    answer
}

fn close_when_stopping(
    shared: &RelayShared,
    mut answer: Response<AnswerBody>,
) -> Response<AnswerBody> {
    if shared.machine().is_stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// An answer of the relay's own, with an empty body.
pub fn own_answer(status: StatusCode, retry_after: Option<Duration>) -> Response<AnswerBody> {
    let body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    if let Some(pause) = retry_after {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

/// The answer for a refusal: 503 promises that the request did not run and never will.
fn refusal_answer(refusal: &WorkRefusal) -> Response<AnswerBody> {
    let status = match (refusal.verdict, refusal.reason) {
        (RunVerdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        (RunVerdict::MayHaveRun | RunVerdict::Ran, _) => StatusCode::BAD_GATEWAY,
    };
    own_answer(status, refusal.retry_after)
}

enum Rejection {
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

/// Reads a request whole and admits it.
async fn prepare(
    shared: &Arc<RelayShared>,
    request: Request<Incoming>,
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
    let patience = terms.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = received + patience;
    let body = read_body(&sheet, body).await?;
    let service = shared.machine().draw_service(&route);
    let no_service = || WorkRefusal::not_run(RefusalReason::NoUpstream, Some(SOON));
    let service = service.ok_or_else(no_service)?;
    shared.machine().admit(&service, deadline, shared.clock.now())?;
    let query = RelayQuery {
        route,
        service,
        model: terms.model.clone(),
        adapter: terms.adapter.clone(),
        received,
        deadline,
        looks: 0,
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
        waited: Duration::ZERO,
        first_event: None,
        longest_pause: Duration::ZERO,
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

/// Tries until there is an answer or nothing more may be tried.
async fn run(mut open: OpenRequest) -> Response<AnswerBody> {
    loop {
        let order = match next_step(&mut open).await {
            Ok(order) => order,
            Err(refusal) => return give_up(open, refusal),
        };
        let is_first = open.attempts == 0;
        open.attempts += 1;
        open.tried.push(order.replica.clone());
        open.shared.metrics.attempted(is_first);
        let end = attempt::send(&mut open, &order, None).await;
        match end {
            AttemptEnd::Whole(answer) => return pass_whole(open, answer),
            AttemptEnd::Stream(live) => return stream::pass(open, live),
            AttemptEnd::Failed(failure) => {
                if let Some(answer) = after_failure(&mut open, &order, failure) {
                    return finish_failed(open, answer);
                }
            },
        }
    }
}

/// Waits until the request can be sent or is refused.
async fn next_step(open: &mut OpenRequest) -> Result<AttemptOrder, WorkRefusal> {
    let shared = open.shared.clone();
    let mut news = shared.news.subscribe();
    let began = shared.clock.now();
    loop {
        news.mark_unchanged();
        let now = shared.clock.now();
        let choice = shared.machine().choose(&open.query, &open.tried, now);
        open.query.looks += 1;
        if open.query.adapter.is_some() {
            shared.wanted.notify_one();
        }
        match choice {
            RelayChoice::Send(order) => {
                open.waited += now.saturating_sub(began);
                shared.metrics.stalled(open.class(), now.saturating_sub(open.query.received));
                return Ok(order);
            },
            RelayChoice::Refuse(refusal) => {
                open.waited += now.saturating_sub(began);
                return Err(refusal);
            },
            RelayChoice::Wait(until) => {
                let until = tokio::time::Instant::now() + until.saturating_sub(now);
                // Either the news or the time is a reason to look again.
                let _ = timeout_at(until, news.changed()).await;
            },
        }
    }
}

/// Ends a request for which nothing more can be sent.
fn give_up(mut open: OpenRequest, refusal: WorkRefusal) -> Response<AnswerBody> {
    let verdict = match open.runs {
        0 => refusal.verdict,
        _ => RunVerdict::MayHaveRun,
    };
    let refusal = WorkRefusal { verdict, ..refusal };
    open.shared.metrics.refused(refusal.reason, open.class());
    let answer = refusal_answer(&refusal);
    open.finish(verdict, answer.status().as_u16(), refusal.reason.label());
    answer
}

fn pass_whole(mut open: OpenRequest, answer: Response<Bytes>) -> Response<AnswerBody> {
    let status = answer.status().as_u16();
    open.finish(RunVerdict::Ran, status, "answered");
    let now = open.shared.clock.now();
    let took = now.saturating_sub(open.query.received);
    open.shared.metrics.answered(open.class(), took);
    answer.map(|body| Full::new(body).map_err(|never| match never {}).boxed_unsync())
}

/// What a failed request is answered with.
enum FailedAnswer {
    /// The replica's own answer.
    Passed(Response<Bytes>),
    /// The relay's own refusal.
    Refused(WorkRefusal),
}

/// Decides whether a request is tried again; gives its final answer when it is not.
fn after_failure(
    open: &mut OpenRequest,
    order: &AttemptOrder,
    failure: AttemptFailure,
) -> Option<FailedAnswer> {
    let shared = open.shared.clone();
    let now = shared.clock.now();
    let fate = match &failure {
        AttemptFailure::NotSent(_) | AttemptFailure::Lost(_) => AttemptFate::Failed,
        AttemptFailure::Refused(_) | AttemptFailure::Misdirected(_) => AttemptFate::Refused,
        AttemptFailure::Errored(_) => AttemptFate::Failed,
        AttemptFailure::TimeOver => AttemptFate::Abandoned,
    };
    let is_ejected = shared.machine().end(&order.replica, open.query.adapter.as_ref(), fate, now);
    info!(shared.log, "attempt failed"; "id" => &open.terms.id, "replica" => &order.replica,
        "attempt" => open.attempts, "failure" => failure.label(), "detail" => failure.detail(),
        "ejected" => is_ejected);
    let kind = open.query.route.kind;
    let is_repeated = match &failure {
        AttemptFailure::NotSent(_) => {
            open.unsent += 1;
            open.unsent < UNSENT_LIMIT
        },
        AttemptFailure::Refused(_) => may_send_again(open),
        AttemptFailure::Misdirected(is_other) => {
            note_misdirected(open, order, *is_other);
            may_send_again(open)
        },
        AttemptFailure::Lost(_) | AttemptFailure::Errored(_) => {
            open.runs += 1;
            kind.is_repeatable()
                && open.runs < open.query.route.attempt_limit
                && shared.machine().take_repeat(&open.query.service)
        },
        AttemptFailure::TimeOver => {
            open.runs += 1;
            false
        },
    };
    match is_repeated {
        true => None,
        false => Some(final_failure(open, failure)),
    }
}

/// A request that a replica refused may go to another one. The route's limit counts replicas that
/// may have run it; refusals have a limit of their own.
fn may_send_again(open: &mut OpenRequest) -> bool {
    open.refusals += 1;
    open.refusals <= REFUSAL_LIMIT && open.shared.machine().take_repeat(&open.query.service)
}

/// A replica that is another one is forgotten; one that lacks the adapter is not sent requests for
/// it until it reports it.
fn note_misdirected(open: &mut OpenRequest, order: &AttemptOrder, is_other: bool) {
    let shared = open.shared.clone();
    let mut machine = shared.machine();
    match (&open.query.adapter, is_other) {
        (_, true) => machine.forget(&order.replica),
        (Some(key), false) => {
            machine.lacks(&order.replica, key);
            // Once it holds the adapter again, it may well be the only one.
            open.tried.retain(|tried| *tried != order.replica);
        },
        (None, false) => {},
    }
}

fn final_failure(open: &OpenRequest, failure: AttemptFailure) -> FailedAnswer {
    let verdict = match open.runs {
        0 => RunVerdict::NotRun,
        _ => RunVerdict::MayHaveRun,
    };
    let refusal = |reason, retry_after| {
        let retry_after = match verdict {
            RunVerdict::NotRun => retry_after,
            RunVerdict::MayHaveRun | RunVerdict::Ran => None,
        };
        FailedAnswer::Refused(WorkRefusal { reason, verdict, retry_after })
    };
    match failure {
        AttemptFailure::Errored(answer) => FailedAnswer::Passed(*answer),
        AttemptFailure::Refused(_) => refusal(RefusalReason::Overloaded, Some(REFUSED_PAUSE)),
        AttemptFailure::Misdirected(_) => refusal(RefusalReason::WrongIncarnation, Some(SOON)),
        AttemptFailure::NotSent(_) => refusal(RefusalReason::UpstreamDown, Some(REFUSED_PAUSE)),
        AttemptFailure::Lost(_) => refusal(RefusalReason::UpstreamBroke, None),
        AttemptFailure::TimeOver => refusal(RefusalReason::DeadlinePassed, None),
    }
}

/// When a caller may come back after a replica refused its request: queues of the upstreams turn
/// over in a fraction of this.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

fn finish_failed(mut open: OpenRequest, answer: FailedAnswer) -> Response<AnswerBody> {
    match answer {
        FailedAnswer::Refused(refusal) => {
            open.shared.metrics.refused(refusal.reason, open.class());
            let answer = refusal_answer(&refusal);
            open.finish(refusal.verdict, answer.status().as_u16(), refusal.reason.label());
            answer
        },
        FailedAnswer::Passed(answer) => pass_whole(open, answer),
    }
}

/// Tells whether an answer of this kind of route is a stream of events.
pub fn is_event_stream(kind: RouteKind, status: StatusCode) -> bool {
    kind.is_stream() && status.is_success()
}
