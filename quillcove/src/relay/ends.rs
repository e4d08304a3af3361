//! Detects whether a replica has exited when a connection to it breaks, or under an attempt that was
//! abandoned.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use quillcove_core::crash::digest::RequestIdentity;
use quillcove_core::crash::evidence::{ExitEvidence, part_evidence};
use quillcove_core::crash::phase::RunPhase;
use quillcove_core::crash::watch::{AbortKind, ExitCheck, ResponseAbort};
use quillcove_core::ids::{MonoTime, PartId};
use quillcove_core::relay::machine::{AttemptOrder, BreakStep};
use quillcove_platform::engine;
use slog::info;
use tokio::runtime::Handle;
use tokio::time::sleep;

use super::request::OpenRequest;
use super::shared::RelayShared;
use crate::port::{PROBE_DELAY, PortState, probe_port};

/// Time after the first broken connection within which bytes that a replica sent before its exit may still be read.
const READ_GRACE_PERIOD: Duration = Duration::from_millis(10);

/// Timeout of a replica's status report. An engine answers it without a slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns part ids in the form of the log.
fn part_list(parts: &[PartId]) -> String {
    let ids: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    ids.join(",")
}

/// Records that a replica's response broke off, and starts to detect whether the replica has exited.
pub fn handle_broken_response(open: &OpenRequest, order: &AttemptOrder, phase: RunPhase) {
    log_broken_response(open, order, phase);
    record_abort(open, order, phase, open.shared.clock.now());
}

fn log_broken_response(open: &OpenRequest, order: &AttemptOrder, phase: RunPhase) {
    let Some(identity) = open.query.identity else {
        return;
    };
    info!(open.shared.log, "answer broke off"; "id" => &open.terms.id,
        "request" => %identity.digest, "caller" => format!("{:016x}", identity.caller),
        "replica" => &order.replica, "has_begun" => open.first_event.is_some(),
        "sent_ms" => open.shared.clock.now().saturating_sub(open.sent_at).as_millis() as u64,
        "phase" => phase.label(), "parts" => part_list(&open.terms.shared_parts));
}

/// Returns whether a response without framing, which ended at this moment, is known to be complete: only if its replica's
/// run gave a sign of life after the end, as the replica's exit ends such a response in the same way.
pub async fn is_complete_unframed(
    open: &OpenRequest,
    order: &AttemptOrder,
    phase: RunPhase,
) -> bool {
    let shared = &open.shared;
    let ended_at = shared.clock.now();
    record_abort(open, order, phase, ended_at);
    // The response is delivered late rather than withheld for want of time to check it.
    let until = open.query.deadline.max(ended_at + REPORT_TIMEOUT);
    loop {
        // Registered before the check, so that a result in between is not missed.
        let checked = shared.exit_checked.notified();
        let check = shared.machine().exit_check(order, open.sent_at, ended_at);
        match check {
            ExitCheck::Alive => return true,
            ExitCheck::Exited => break,
            ExitCheck::Unknown => return is_alive_unlisted(open, order).await,
            ExitCheck::Pending => {},
        }
        if shared.resume_notifier.wait_until(&shared.clock, until, checked).await.is_none() {
            break;
        }
    }
    log_broken_response(open, order, phase);
    false
}

/// Returns whether a replica whose exit is not watched still runs: it is leaving or has left the list, but may go on for
/// long.
async fn is_alive_unlisted(open: &OpenRequest, order: &AttemptOrder) -> bool {
    let shared = &open.shared;
    if !shared.machine().expects_exit(order) {
        return false;
    }
    sleep(PROBE_DELAY).await;
    let run = find_run(shared, order, AbortKind::CutOff).await;
    let is_replaced = shared.machine().is_replaced(order);
    info!(shared.log, "leaving replica looked at"; "id" => &open.terms.id, "replica" => &order.replica,
        "port" => run.label(), "is_replaced" => is_replaced);
    match run {
        ReplicaRunState::Same => true,
        ReplicaRunState::Listening => !is_replaced,
        ReplicaRunState::Exited | ReplicaRunState::Replaced | ReplicaRunState::Silent => false,
    }
}

/// Returns what is suspected if the replica of an attempt that ended in this phase has exited: the parts of the prompt,
/// and the whole request.
fn aborts_of(
    open: &OpenRequest,
    identity: RequestIdentity,
    phase: RunPhase,
    kind: AbortKind,
) -> Vec<ResponseAbort> {
    let abort = |identity, has_other_cause| ResponseAbort {
        identity,
        has_other_cause,
        sent_at: open.sent_at,
    };
    let evidence = part_evidence(phase, kind);
    let parts = match evidence {
        ExitEvidence::Weak | ExitEvidence::Strong => &open.query.parts[..],
        ExitEvidence::None => &[],
    };
    let parts = parts.iter().map(|part| abort(*part, evidence == ExitEvidence::Weak));
    parts.chain([abort(identity, open.first_event.is_some())]).collect()
}

/// Records that a response may have been cut off by the exit of its replica at `now`, and starts to detect whether it
/// has exited.
fn record_abort(open: &OpenRequest, order: &AttemptOrder, phase: RunPhase, now: MonoTime) {
    let Some(identity) = open.query.identity else {
        return;
    };
    let mut is_checked = false;
    {
        let mut machine = open.shared.machine();
        for abort in aborts_of(open, identity, phase, AbortKind::CutOff) {
            is_checked |= machine.record_abort(order, abort, now) == BreakStep::Check;
        }
    }
    match is_checked {
        true => {
            drop(tokio::spawn(detect_exit(open.shared.clone(), order.clone(), AbortKind::CutOff)))
        },
        // If the exit is known already, this request is a new crash record that has to be sent.
        false => open.shared.messages_pending.notify_one(),
    }
}

/// Records that an attempt was abandoned: its caller left or its deadline passed. Starts to detect whether the replica
/// exits while it may still work on the attempt.
pub fn handle_abandoned_attempt(open: &OpenRequest, order: &AttemptOrder, phase: RunPhase) {
    // A replica that received no byte of the request cannot exit under it.
    let (Some(identity), true) = (open.query.identity, open.is_sent.load(Ordering::Relaxed)) else {
        return;
    };
    // An attempt is also dropped when the process ends, outside the runtime.
    let Ok(runtime) = Handle::try_current() else {
        return;
    };
    let now = open.shared.clock.now();
    let mut is_checked = false;
    {
        let mut machine = open.shared.machine();
        for abort in aborts_of(open, identity, phase, AbortKind::Abandoned) {
            is_checked |= machine.record_abandoned(order, abort, now) == BreakStep::Check;
        }
    }
    match is_checked {
        true => {
            let task = detect_exit(open.shared.clone(), order.clone(), AbortKind::Abandoned);
            drop(runtime.spawn(task));
        },
        // If the exit is known already, this request is a new crash record that has to be sent.
        false => open.shared.messages_pending.notify_one(),
    }
}

/// Detects whether a replica has exited under the pending responses of one kind, and reports the result to the
/// machine.
async fn detect_exit(shared: Arc<RelayShared>, order: AttemptOrder, kind: AbortKind) {
    let mut next = shared.machine().exit_check_due(&order, kind);
    while let Some(due) = next {
        sleep((due + PROBE_DELAY).saturating_sub(shared.clock.now())).await;
        // The exit may have been found or ruled out since.
        next = shared.machine().exit_check_due(&order, kind);
        if next == Some(due) {
            next = check_replica(&shared, &order, kind, due).await;
        }
        shared.exit_checked.notify_waiters();
    }
}

/// Checks once whether a replica has exited; returns when the next check is due.
async fn check_replica(
    shared: &RelayShared,
    order: &AttemptOrder,
    kind: AbortKind,
    due: MonoTime,
) -> Option<MonoTime> {
    // A process that reads late may read now what the replica sent before its exit.
    let lateness = shared.clock.now().saturating_sub(due + PROBE_DELAY);
    let is_read_in_time = lateness < READ_GRACE_PERIOD;
    if is_read_in_time
        && shared.machine().has_received_since(&order.replica, due + READ_GRACE_PERIOD)
    {
        shared.machine().rule_out_exit(order, due);
        return shared.machine().exit_check_due(order, kind);
    }
    let probed_at = shared.clock.now();
    let run = find_run(shared, order, kind).await;
    // A replica may have begun to drain since the attempt was abandoned.
    let is_expected = kind == AbortKind::Abandoned && shared.machine().expects_exit(order);
    let has_exited = run.has_exited() && !is_expected;
    let mut requests = 0;
    let next = {
        let mut machine = shared.machine();
        match run {
            ReplicaRunState::Exited | ReplicaRunState::Replaced if has_exited => {
                requests = machine.confirm_exit(order, shared.clock.now());
            },
            ReplicaRunState::Same | ReplicaRunState::Listening => {
                machine.rule_out_exit(order, probed_at);
            },
            ReplicaRunState::Exited | ReplicaRunState::Replaced | ReplicaRunState::Silent => {
                machine.end_exit_checks(order, shared.clock.now());
            },
        }
        machine.exit_check_due(order, kind)
    };
    info!(shared.log, "replica looked at"; "replica" => &order.replica, "port" => run.label(),
        "is_expected" => is_expected, "is_abandoned" => kind == AbortKind::Abandoned,
        "late_ms" => lateness.as_millis() as u64, "requests_there" => requests);
    if has_exited {
        shared.metrics.replica_ended();
        shared.messages_pending.notify_one();
    }
    next
}

/// What is known of the run of a replica that was to serve an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplicaRunState {
    /// No process listens.
    Exited,
    /// Another run listens at the address.
    Replaced,
    /// The same run answered.
    Same,
    /// A process listens that does not say which run it is.
    Listening,
    /// The host does not answer.
    Silent,
}

impl ReplicaRunState {
    fn has_exited(self) -> bool {
        matches!(self, Self::Exited | Self::Replaced)
    }

    /// Returns the state's name in the log.
    fn label(self) -> &'static str {
        match self {
            Self::Exited => PortState::Closed.label(),
            Self::Replaced => "replaced",
            Self::Same => "same",
            Self::Listening => PortState::Open.label(),
            Self::Silent => PortState::Silent.label(),
        }
    }
}

/// Finds out whether the run that an attempt was sent to still lives. An open port alone does not show it: a supervisor may
/// have started the replica again, also while this process was paused.
async fn find_run(shared: &RelayShared, order: &AttemptOrder, kind: AbortKind) -> ReplicaRunState {
    match probe_port(order.address).await {
        PortState::Closed => return ReplicaRunState::Exited,
        PortState::Silent => return ReplicaRunState::Silent,
        PortState::Open => {},
    }
    // Abandoned attempts are many, and no connection broke.
    let start_time = order.start_time.filter(|_| kind == AbortKind::CutOff);
    let Some(start_time) = start_time else {
        return ReplicaRunState::Listening;
    };
    let call = engine::report_request();
    let uri = format!("http://{}{}", order.address, call.path);
    let client = &shared.status_client;
    let Ok(answer) = client.fetch(Method::GET, &uri, call.body, REPORT_TIMEOUT).await else {
        return ReplicaRunState::Silent;
    };
    let report = engine::read_report(answer.body()).ok();
    match report.and_then(|report| report.born) {
        Some(born) if born == start_time => ReplicaRunState::Same,
        Some(_) => ReplicaRunState::Replaced,
        None => ReplicaRunState::Listening,
    }
}

/// Logs that a request is sent although replicas exit under it or a part of its prompt, to try whether they still do.
pub fn log_probe(open: &OpenRequest, order: &AttemptOrder, probed: &[RequestIdentity]) {
    let now = open.shared.clock.now();
    for suspect in probed {
        let cause = open.shared.machine().crashes().cause(*suspect, now);
        info!(open.shared.log, "request tries what is blamed"; "id" => &open.terms.id,
            "suspect" => %suspect.digest, "parts" => part_list(&open.terms.shared_parts),
            "replica" => &order.replica, "ends" => cause.map(|cause| cause.ends),
            "last_end_ms" => cause.map(|cause| cause.last_end.as_millis() as u64));
    }
}

/// Logs the crash records for which a fatal request is rejected.
pub fn log_crash_records(open: &OpenRequest) {
    let now = open.shared.clock.now();
    let shared_parts = &open.terms.shared_parts;
    let parts = open.query.parts.iter().zip(shared_parts).map(|(it, part)| (*it, Some(*part)));
    let suspects = open.query.identity.map(|identity| (identity, None)).into_iter().chain(parts);
    for (identity, part) in suspects {
        let Some(cause) = open.shared.machine().crashes().cause(identity, now) else {
            continue;
        };
        info!(open.shared.log, "request ends replicas"; "id" => &open.terms.id,
            "request" => %identity.digest, "part" => part.map(|part| format!("{part:x}")),
            "caller" => format!("{:016x}", identity.caller),
            "ends" => cause.ends, "callers" => cause.callers,
            "callers_own" => cause.is_callers_own, "last_end_ms" => cause.last_end.as_millis() as u64);
    }
}
