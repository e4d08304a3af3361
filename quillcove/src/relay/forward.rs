//! Handles one request of a caller: admits it, makes its attempts, and produces the one response.

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
use quillcove_core::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};
use quillcove_platform::heads;
use slog::info;

use super::answers::{
    ResponseBody, close_when_leaving_or_crowded, empty_response, refusal_response, with_request_id,
};
use super::attempt::{self, AttemptEnd, AttemptFailure};
use super::connections::ConnectionState;
use super::ends;
use super::large;
use super::request::{OpenRequest, Rejection, RequestArrival, prepare};
use super::shared::RelayShared;
use super::stream;

/// Number of rejections by replicas that are retried before the request is rejected.
const REFUSAL_LIMIT: u32 = 2;

/// Number of unsent attempts at which the request is rejected.
const UNSENT_LIMIT: u32 = 3;

/// Delay after which a caller may retry when replicas rejected its request. The queues of the
/// upstreams turn over in a fraction of this time.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Handles one request of a caller and returns its response.
pub async fn handle(
    shared: &Arc<RelayShared>,
    request: Request<Incoming>,
    caller: CallerDigest,
    connection: &ConnectionState,
) -> Response<ResponseBody> {
    let received = shared.clock.now();
    let id = request.headers().get(heads::id_header()).cloned();
    let arrival = RequestArrival { caller, received, connection };
    let prepare = prepare(shared, request, arrival);
    let prepared = match unless_stop_rejects(shared, |_| true, prepare).await {
        Ok(prepared) => prepared,
        Err(refusal) => Err(refusal.into()),
    };
    let response = match prepared {
        Ok(open) => run_attempts(open).await,
        Err(Rejection::Refused(refusal)) => {
            shared.metrics.record_refusal(refusal.reason, WorkClass::Normal);
            info!(shared.log, "request refused"; "id" => log_id(&id),
                "reason" => refusal.reason.label(),
                "come_back_ms" => refusal.retry_after.map(|pause| pause.as_millis() as u64));
            refusal_response(&refusal)
        },
        Err(Rejection::Denied(denial)) => {
            info!(shared.log, "request denied"; "id" => log_id(&id),
                "status" => denial.status.as_u16(), "reason" => denial.reason);
            empty_response(denial.status, None)
        },
    };
    close_when_leaving_or_crowded(shared, with_request_id(response, id))
}

/// Awaits a step during which no replica works on the request.
///
/// # Errors
///
/// Rejects the request if the planned stop leaves no time for it. `may_end_by` says whether it is expected to end by a time.
async fn unless_stop_rejects<F: Future>(
    shared: &RelayShared,
    may_end_by: impl Fn(MonoTime) -> bool,
    step: F,
) -> Result<F::Output, WorkRefusal> {
    tokio::select! {
        biased;
        output = step => Ok(output),
        () = shared.stop_rejects(may_end_by) => Err(leaving()),
    }
}

/// Returns the rejection of a request that another relay can serve at once.
fn leaving() -> WorkRefusal {
    WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO))
}

/// Returns a request's id in the form that the other log lines use.
fn log_id(id: &Option<http::HeaderValue>) -> Option<String> {
    id.as_ref().map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned())
}

/// Makes attempts until there is a response or no further attempt is allowed.
async fn run_attempts(mut open: OpenRequest) -> Response<ResponseBody> {
    loop {
        let shared = open.shared.clone();
        let may_end_by = open.end_estimate();
        let attempt = next_attempt(&mut open);
        let order = match unless_stop_rejects(&shared, &may_end_by, attempt).await {
            // The time that is left may have become too short during the wait.
            Ok(Ok(_)) if !shared.stop_allows(&may_end_by) => return reject(open, leaving()),
            Ok(Ok(order)) => order,
            Ok(Err(refusal)) | Err(refusal) => return reject(open, refusal),
        };
        let is_first = open.attempts == 0;
        open.attempts += 1;
        open.tried.push(order.replica.clone());
        open.shared.metrics.record_attempt(is_first);
        let end = attempt::send(&mut open, &order, None).await;
        match end {
            AttemptEnd::Complete(response) => return finish_complete(open, response),
            AttemptEnd::Stream(live) => return stream::forward(open, live),
            AttemptEnd::Large(answer) => return large::forward(open, *answer),
            AttemptEnd::Failed(failure) => {
                if let Some(response) = handle_failure(&mut open, &order, failure) {
                    return finish_failed(open, response);
                }
            },
        }
    }
}

/// Waits until a replica is chosen for the next attempt or the request is rejected.
async fn next_attempt(open: &mut OpenRequest) -> Result<AttemptOrder, WorkRefusal> {
    let shared = open.shared.clone();
    let began = shared.clock.now();
    let waiter = open.query.adapter.as_ref().map(|key| shared.waiters.join(key));
    let result = loop {
        // Registered before the choice, so that a notification during the choice is not lost.
        let notified = waiter.as_ref().map(|waiter| waiter.notify.notified());
        let now = shared.clock.now();
        match choose(open, now) {
            RelayChoice::Send(order) => {
                shared.metrics.record_stall(open.class(), now.saturating_sub(open.query.received));
                break Ok(order);
            },
            RelayChoice::Refuse(refusal) => break Err(refusal),
            RelayChoice::Wait(until) => {
                let notified = async {
                    match notified {
                        Some(notified) => notified.await,
                        None => pending().await,
                    }
                };
                // A notification and the end of the wait are both reasons to choose again.
                let _ = shared.resume_notifier.wait_until(&shared.clock, until, notified).await;
            },
        }
    };
    open.waited += shared.clock.now().saturating_sub(began);
    result
}

/// Asks the machine once what to do with a request, and triggers the sending of the load requests
/// that result.
fn choose(open: &mut OpenRequest, now: MonoTime) -> RelayChoice {
    let mut machine = open.shared.machine();
    let choice = machine.choose(&open.query, &open.tried, now);
    if machine.has_pending_messages() {
        open.shared.messages_pending.notify_one();
    }
    drop(machine);
    open.query.choice_count += 1;
    choice
}

/// Rejects a request that gets no further attempt.
fn reject(open: OpenRequest, refusal: WorkRefusal) -> Response<ResponseBody> {
    if refusal.reason == RefusalReason::EndsUpstreams {
        ends::log_crash_records(&open);
    }
    let verdict = match open.runs {
        0 => refusal.verdict,
        _ => RunVerdict::MayHaveRun,
    };
    let refusal = WorkRefusal { verdict, ..refusal };
    finish_rejected(open, &refusal)
}

/// Ends a request with a rejection by the relay itself.
fn finish_rejected(mut open: OpenRequest, refusal: &WorkRefusal) -> Response<ResponseBody> {
    open.shared.metrics.record_refusal(refusal.reason, open.class());
    open.retry_after = refusal.retry_after;
    let response = refusal_response(refusal);
    open.finish(refusal.verdict, response.status().as_u16(), refusal.reason.label());
    response
}

/// Ends a request with the complete response of a replica.
fn finish_complete(mut open: OpenRequest, response: Response<Bytes>) -> Response<ResponseBody> {
    let status = response.status().as_u16();
    open.finish(RunVerdict::Ran, status, "answered");
    let now = open.shared.clock.now();
    let took = now.saturating_sub(open.query.received);
    open.shared.metrics.record_first_byte(open.class(), took);
    response.map(|body| Full::new(body).map_err(|never| match never {}).boxed_unsync())
}

/// Response to a request whose last attempt failed.
enum FailureResponse {
    /// The replica's own response.
    Forwarded(Response<Bytes>),
    /// A rejection by the relay itself.
    Refused(WorkRefusal),
}

/// Records a failed attempt. Returns `None` if the request is to be retried, and its final response
/// otherwise.
fn handle_failure(
    open: &mut OpenRequest,
    order: &AttemptOrder,
    failure: AttemptFailure,
) -> Option<FailureResponse> {
    let shared = open.shared.clone();
    let now = shared.clock.now();
    let key = open.query.adapter.as_ref();
    let is_ejected = shared.machine().end_attempt(&order.replica, key, failure.fate(), now);
    info!(shared.log, "attempt failed"; "id" => &open.terms.id, "replica" => &order.replica,
        "attempt" => open.attempts, "failure" => failure.label(), "detail" => failure.detail(),
        "ejected" => is_ejected);
    if matches!(failure, AttemptFailure::Lost(_)) {
        // A stream whose head was received breaks off elsewhere.
        ends::handle_broken_response(open, order, attempt::attempt_phase(open));
    }
    let kind = open.query.route.kind;
    let is_retried = match &failure {
        AttemptFailure::NotSent(_) | AttemptFailure::Withheld => {
            open.unsent += 1;
            open.unsent < UNSENT_LIMIT
        },
        AttemptFailure::Refused(_) => may_retry_rejected(open),
        AttemptFailure::Misdirected(is_other) => {
            record_misdirected(open, order, *is_other);
            may_retry_rejected(open)
        },
        AttemptFailure::Lost(_) | AttemptFailure::CutOff | AttemptFailure::Errored(_) => {
            open.runs += 1;
            kind.is_repeatable()
                && open.runs < open.query.route.attempt_limit
                && shared.machine().take_retry(&open.query.service)
        },
        AttemptFailure::TimeOver => {
            open.runs += 1;
            false
        },
    };
    match is_retried {
        true => None,
        false => Some(failure_response(open, failure)),
    }
}

/// Counts a rejection by a replica and returns whether another replica may be tried. Rejections
/// have a limit of their own, as the route's limit counts only attempts that may have run.
fn may_retry_rejected(open: &mut OpenRequest) -> bool {
    open.refusals += 1;
    open.refusals <= REFUSAL_LIMIT && open.shared.machine().take_retry(&open.query.service)
}

/// Records a misdirected request. If another replica runs at the address, the expected one is
/// removed. A replica that lacks the adapter gets no requests for it until it reports the adapter.
fn record_misdirected(open: &mut OpenRequest, order: &AttemptOrder, is_other: bool) {
    let shared = open.shared.clone();
    let mut machine = shared.machine();
    match (&open.query.adapter, is_other) {
        (_, true) => machine.remove_replica(&order.replica),
        (Some(key), false) => {
            machine.record_missing_adapter(&order.replica, key);
            // When it has loaded the adapter again, it may be the only replica with it.
            open.tried.retain(|tried| *tried != order.replica);
        },
        (None, false) => {},
    }
}

/// Builds the final response to a request whose last attempt failed.
fn failure_response(open: &OpenRequest, failure: AttemptFailure) -> FailureResponse {
    let verdict = match open.runs {
        0 => RunVerdict::NotRun,
        _ => RunVerdict::MayHaveRun,
    };
    let refusal = |reason, retry_after| {
        let retry_after = match verdict {
            RunVerdict::NotRun => retry_after,
            RunVerdict::MayHaveRun | RunVerdict::Ran => None,
        };
        FailureResponse::Refused(WorkRefusal { reason, verdict, retry_after })
    };
    match failure {
        AttemptFailure::Errored(response) => FailureResponse::Forwarded(*response),
        AttemptFailure::Refused(_) => refusal(RefusalReason::Overloaded, Some(REFUSED_RETRY_AFTER)),
        AttemptFailure::Misdirected(_) => {
            refusal(RefusalReason::WrongIncarnation, Some(SHORT_RETRY_DELAY))
        },
        AttemptFailure::NotSent(_) => {
            refusal(RefusalReason::UpstreamDown, Some(REFUSED_RETRY_AFTER))
        },
        AttemptFailure::Withheld => refusal(RefusalReason::NoUpstream, Some(REFUSED_RETRY_AFTER)),
        AttemptFailure::Lost(_) | AttemptFailure::CutOff => {
            refusal(RefusalReason::UpstreamBroke, None)
        },
        AttemptFailure::TimeOver => refusal(RefusalReason::DeadlinePassed, None),
    }
}

fn finish_failed(open: OpenRequest, response: FailureResponse) -> Response<ResponseBody> {
    match response {
        FailureResponse::Refused(refusal) => finish_rejected(open, &refusal),
        FailureResponse::Forwarded(response) => finish_complete(open, response),
    }
}
