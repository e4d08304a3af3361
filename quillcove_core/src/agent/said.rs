//! What the upstream says of itself, and what follows for attempts.

use std::time::Duration;

use super::AgentMachine;
use super::event::{AgentAction, UpstreamKind};
use crate::ids::MonoTime;
use crate::standing::notice::UpstreamNotice;
use crate::standing::{LeavingSource, StandingChange, UpstreamStanding};
use crate::verdict::{RefusalReason, WorkRefusal};

/// Reports in a row without the word after which a plain service that said that it leaves is another one: the
/// second of them was asked for after the word had come.
const STAYING_REPORTS: u32 = 2;

/// Rest that entries are told of while an upstream leaves, as the next one may stand in its place by then, and the
/// longest one while it names a limit.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

impl AgentMachine {
    /// Takes what the upstream said with an answer. What waits here for an upstream that leaves or rests is
    /// refused at once, as others may take it.
    pub(super) fn take_notice(
        &mut self,
        now: MonoTime,
        notice: &UpstreamNotice,
        out: &mut Vec<AgentAction>,
    ) {
        // The agent is the only one that gives it work, so that nobody returns beside it.
        match self.standing.take(notice, Duration::ZERO, now) {
            Some(StandingChange::Leaves) => {
                self.staying_reports = 0;
                self.refuse_leaving(now, out);
            },
            Some(StandingChange::Rests(until)) => {
                self.refuse_all(now, resting(until.saturating_sub(now)), out);
            },
            // What waits beyond its turn is refused with the next step.
            Some(StandingChange::Limits(_)) | None => {},
        }
    }

    /// Takes whether a report says that the upstream leaves. An engine's next start shows in its incarnation; a plain
    /// service has none, but says with each answer that it leaves, so that one which does not is another one.
    pub(super) fn note_reported_leaving(
        &mut self,
        now: MonoTime,
        is_leaving: bool,
        out: &mut Vec<AgentAction>,
    ) {
        if is_leaving {
            self.staying_reports = 0;
            if self.standing.note_leaving(LeavingSource::Answer, now) {
                self.refuse_leaving(now, out);
            }
            return;
        }
        if self.rules.kind == UpstreamKind::Service && self.standing.is_leaving() {
            self.staying_reports += 1;
            if self.staying_reports >= STAYING_REPORTS {
                self.standing = UpstreamStanding::default();
                self.staying_reports = 0;
            }
        }
    }

    /// Tells whether the upstream wants work, as far as it has said.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(machine.wants_work(Duration::ZERO));
    /// ```
    pub fn wants_work(&self, now: MonoTime) -> bool {
        self.check_standing(now).is_ok()
    }

    /// Refuses an attempt while the upstream leaves or rests.
    pub(super) fn check_standing(&self, now: MonoTime) -> Result<(), WorkRefusal> {
        if self.standing.is_leaving() {
            return Err(WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO)));
        }
        match self.standing.rest_end(now) {
            Some(end) => Err(resting(end.saturating_sub(now))),
            None => Ok(()),
        }
    }

    /// Tells whether the upstream takes another attempt now.
    pub(super) fn may_start(&self, now: MonoTime) -> bool {
        !self.standing.is_leaving() && self.standing.takes_work(now)
    }

    /// How long entries are to send nothing, as the upstream rests or leaves, or as others wait for their turn under
    /// its limit. That one may be lifted at any moment, so that they look again after a while.
    pub(super) fn rest_left(&self, now: MonoTime) -> Duration {
        if self.standing.is_leaving() {
            return LOOK_PAUSE;
        }
        let rest =
            self.standing.rest_end(now).map_or(Duration::ZERO, |end| end.saturating_sub(now));
        rest.max(self.limit_wait(now, self.room.len()).min(LOOK_PAUSE))
    }
}

fn resting(left: Duration) -> WorkRefusal {
    WorkRefusal::not_run(RefusalReason::Overloaded, Some(left))
}
