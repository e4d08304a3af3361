//! The way of one request: admission, attempts, and its one final answer.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use quillcove_core::class::WorkClass;
use quillcove_core::crash::digest::CallerDigest;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::{AttemptOrder, RelayChoice};
use quillcove_core::verdict::{RefusalReason, RunVerdict, SOON, WorkRefusal};
use quillcove_platform::heads;
use slog::info;

use super::answers::{
    ResponseBody, close_when_stopping, empty_response, refusal_response, with_request_id,
};
use super::attempt::{self, AttemptEnd, AttemptFailure};
use super::ends;
use super::request::{OpenRequest, Rejection, prepare};
use super::shared::RelayShared;
use super::stream;

/// Refusals of replicas after which a request is refused to its caller.
const REFUSAL_LIMIT: u32 = 2;

/// Connections that may fail before a request is refused to its caller.
const UNSENT_LIMIT: u32 = 3;

/// When a caller may come back after a replica refused its request: queues of the upstreams turn
/// over in a fraction of this.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Answers one request of a caller.
pub async fn answer(
    shared: Arc<RelayShared>,
    request: Request<Incoming>,
    caller: CallerDigest,
) -> Response<ResponseBody> {
    let received = shared.clock.now();
    let id = request.headers().get(heads::id_header()).cloned();
    let answer = match prepare(&shared, request, caller, received).await {
        Ok(open) => run(open).await,
        Err(Rejection::Refused(refusal)) => {
            shared.metrics.refused(refusal.reason, WorkClass::Normal);
            info!(shared.log, "request refused"; "id" => logged(&id),
                "reason" => refusal.reason.label(),
                "come_back_ms" => refusal.retry_after.map(|pause| pause.as_millis() as u64));
            refusal_response(&refusal)
        },
        Err(Rejection::Denied(denial)) => {
            info!(shared.log, "request denied"; "id" => logged(&id),
                "status" => denial.status.as_u16(), "reason" => denial.reason);
            empty_response(denial.status, None)
        },
    };
    close_when_stopping(&shared, with_request_id(answer, id))
}

/// A request's id as the other lines of the log give it.
fn logged(id: &Option<http::HeaderValue>) -> Option<String> {
    id.as_ref().map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned())
}

/// Tries until there is an answer or nothing more may be tried.
async fn run(mut open: OpenRequest) -> Response<ResponseBody> {
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
    let began = shared.clock.now();
    let seat = open.query.adapter.as_ref().map(|key| shared.waiters.join(key));
    let result = loop {
        // What comes from here on is not missed, although the choice is made first.
        let news = seat.as_ref().map(|seat| seat.news.notified());
        let now = shared.clock.now();
        match choose(open, now) {
            RelayChoice::Send(order) => {
                shared.metrics.stalled(open.class(), now.saturating_sub(open.query.received));
                break Ok(order);
            },
            RelayChoice::Refuse(refusal) => break Err(refusal),
            RelayChoice::Wait(until) => {
                let news = async {
                    match news {
                        Some(news) => news.await,
                        None => pending().await,
                    }
                };
                // Either the news or the time is a reason to look again.
                let _ = shared.wakes.wait_until(&shared.clock, until, news).await;
            },
        }
    };
    open.waited += shared.clock.now().saturating_sub(began);
    result
}

/// One look at what can be done for a request; sends the asks for adapters that it led to.
fn choose(open: &mut OpenRequest, now: MonoTime) -> RelayChoice {
    let mut machine = open.shared.machine();
    let choice = machine.choose(&open.query, &open.tried, now);
    if machine.has_asks() {
        open.shared.wanted.notify_one();
    }
    drop(machine);
    open.query.looks += 1;
    choice
}

/// Ends a request for which nothing more can be sent.
fn give_up(open: OpenRequest, refusal: WorkRefusal) -> Response<ResponseBody> {
    if refusal.reason == RefusalReason::EndsUpstreams {
        ends::log_cause(&open);
    }
    let verdict = match open.runs {
        0 => refusal.verdict,
        _ => RunVerdict::MayHaveRun,
    };
    let refusal = WorkRefusal { verdict, ..refusal };
    finish_refused(open, &refusal)
}

/// Answers with a refusal of the relay's own.
fn finish_refused(mut open: OpenRequest, refusal: &WorkRefusal) -> Response<ResponseBody> {
    open.shared.metrics.refused(refusal.reason, open.class());
    open.come_back = refusal.retry_after;
    let answer = refusal_response(refusal);
    open.finish(refusal.verdict, answer.status().as_u16(), refusal.reason.label());
    answer
}

fn pass_whole(mut open: OpenRequest, answer: Response<Bytes>) -> Response<ResponseBody> {
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
    let key = open.query.adapter.as_ref();
    let is_ejected = shared.machine().end(&order.replica, key, failure.fate(), now);
    info!(shared.log, "attempt failed"; "id" => &open.terms.id, "replica" => &order.replica,
        "attempt" => open.attempts, "failure" => failure.label(), "detail" => failure.detail(),
        "ejected" => is_ejected);
    if matches!(failure, AttemptFailure::Lost(_)) {
        ends::note_broken(open, order);
    }
    let kind = open.query.route.kind;
    let is_repeated = match &failure {
        AttemptFailure::NotSent(_) | AttemptFailure::Withheld => {
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
        AttemptFailure::Withheld => refusal(RefusalReason::NoUpstream, Some(REFUSED_PAUSE)),
        AttemptFailure::Lost(_) => refusal(RefusalReason::UpstreamBroke, None),
        AttemptFailure::TimeOver => refusal(RefusalReason::DeadlinePassed, None),
    }
}

fn finish_failed(open: OpenRequest, answer: FailedAnswer) -> Response<ResponseBody> {
    match answer {
        FailedAnswer::Refused(refusal) => finish_refused(open, &refusal),
        FailedAnswer::Passed(answer) => pass_whole(open, answer),
    }
}
