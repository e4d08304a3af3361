//! The status that the upstream reports about itself, and its effect on attempts.

use std::time::Duration;

use super::AgentMachine;
use super::event::{AgentAction, UpstreamKind};
use crate::ids::MonoTime;
use crate::standing::notice::UpstreamNotice;
use crate::standing::{LeavingSource, UpstreamStatus, UpstreamStatusChange};
use crate::verdict::{RefusalReason, WorkRefusal};

/// Consecutive reports without draining after which a plain service that announced draining counts
/// as a new process start. The second such report was requested after the announcement had arrived.
const MIN_REPORTS_WITHOUT_DRAINING: u32 = 2;

/// Pause announced to entries while the upstream drains, since its successor may run by then; also
/// the longest pause announced because of a rate limit.
const RECHECK_PAUSE: Duration = Duration::from_secs(2);

impl AgentMachine {
    /// Applies a status that the upstream sent with a response. Attempts queued for an upstream
    /// that drains or requests a pause are rejected at once, as other upstreams may be able to take
    /// them.
    pub(super) fn apply_notice(
        &mut self,
        now: MonoTime,
        notice: &UpstreamNotice,
        out: &mut Vec<AgentAction>,
    ) {
        // The spread is zero: the agent is the only sender of work to the upstream, so no other
        // sender resumes at the same moment.
        match self.upstream_status.record_notice(notice, Duration::ZERO, now) {
            Some(UpstreamStatusChange::Leaves) => {
                self.reports_without_draining = 0;
                self.refuse_all_draining(now, out);
            },
            Some(UpstreamStatusChange::Rests(until)) => {
                self.refuse_all(now, pause_refusal(until.saturating_sub(now)), out);
            },
            // Attempts whose send slot is too far away are rejected by the next `progress`.
            Some(UpstreamStatusChange::Limits(_)) | None => {},
        }
    }

    /// Applies whether a report announces draining. A new process start of an engine shows in its
    /// incarnation. A plain service has none, but it announces draining with every response, so one
    /// that no longer does is a new process start.
    pub(super) fn record_reported_draining(
        &mut self,
        now: MonoTime,
        is_leaving: bool,
        out: &mut Vec<AgentAction>,
    ) {
        if is_leaving {
            self.reports_without_draining = 0;
            if self.upstream_status.note_leaving(LeavingSource::Answer, now) {
                self.refuse_all_draining(now, out);
            }
            return;
        }
        if self.rules.kind == UpstreamKind::Service && self.upstream_status.is_leaving() {
            self.reports_without_draining += 1;
            if self.reports_without_draining >= MIN_REPORTS_WITHOUT_DRAINING {
                self.upstream_status = UpstreamStatus::default();
                self.reports_without_draining = 0;
            }
        }
    }

    /// Returns whether the upstream, by its reported status, accepts work: it neither drains nor
    /// requests a pause.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(machine.accepts_work(Duration::ZERO));
    /// ```
    pub fn accepts_work(&self, now: MonoTime) -> bool {
        self.check_upstream_status(now).is_ok()
    }

    /// Rejects an attempt while the upstream drains or is in a requested pause.
    pub(super) fn check_upstream_status(&self, now: MonoTime) -> Result<(), WorkRefusal> {
        if self.upstream_status.is_leaving() {
            return Err(WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO)));
        }
        match self.upstream_status.pause_end(now) {
            Some(end) => Err(pause_refusal(end.saturating_sub(now))),
            None => Ok(()),
        }
    }

    /// Returns whether another attempt may be sent to the upstream now.
    pub(super) fn can_send_attempt(&self, now: MonoTime) -> bool {
        !self.upstream_status.is_leaving() && self.upstream_status.takes_work(now)
    }

    /// Returns how long entries should send nothing, because the upstream drains or is in a
    /// requested pause, or because other attempts wait for their send slots under its rate limit. A
    /// rate limit may be lifted at any moment, so the pause that it causes is short and entries
    /// check again after it.
    pub(super) fn pause_left(&self, now: MonoTime) -> Duration {
        if self.upstream_status.is_leaving() {
            return RECHECK_PAUSE;
        }
        let requested_pause = self
            .upstream_status
            .pause_end(now)
            .map_or(Duration::ZERO, |end| end.saturating_sub(now));
        requested_pause.max(self.send_slot_wait(now, self.wait_queue.len()).min(RECHECK_PAUSE))
    }
}

fn pause_refusal(left: Duration) -> WorkRefusal {
    WorkRefusal::not_run(RefusalReason::Overloaded, Some(left))
}
