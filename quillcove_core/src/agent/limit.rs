//! The limit that the upstream names, and what it means for attempts that wait.
//!
//! The agent is the only one that gives its upstream work, so that the whole limit is its own.

use std::time::Duration;

use super::AgentMachine;
use super::event::AgentAction;
use super::waiting::WaitingAttempt;
use crate::ids::{AttemptId, MonoTime};
use crate::standing::limit::RateLimit;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Longest wait of an attempt for its turn. Others may take it sooner, and its entry asks them when it is refused.
const MOST_TURN_WAIT: Duration = Duration::from_millis(100);

impl AgentMachine {
    /// The limit that the upstream names.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(machine.upstream_limit().is_none());
    /// ```
    pub fn upstream_limit(&self) -> Option<RateLimit> {
        self.standing.limit()
    }

    /// Takes that the upstream has answered an attempt well and named no limit with it.
    pub(super) fn note_no_limit(&mut self, now: MonoTime, attempt: AttemptId) {
        if let Some(running) = self.running.get(&attempt) {
            self.standing.note_no_limit(running.started, Duration::ZERO, now);
        }
    }

    /// Time until an attempt has its turn under the limit that starts after so many others.
    pub(super) fn limit_wait(&self, now: MonoTime, ahead: usize) -> Duration {
        let Some(limit) = self.standing.limit() else {
            return Duration::ZERO;
        };
        let first = self.standing.takes_work_from(now).saturating_sub(now);
        first + limit.gap() * ahead as u32
    }

    /// Refuses an attempt that would have its turn too late, behind so many others.
    pub(super) fn check_limit(&self, now: MonoTime, ahead: usize) -> Result<(), WorkRefusal> {
        let wait = self.limit_wait(now, ahead);
        match wait <= MOST_TURN_WAIT {
            true => Ok(()),
            false => Err(WorkRefusal::not_run(RefusalReason::Overloaded, Some(wait))),
        }
    }

    /// Refuses what waits for a turn that comes too late.
    pub(super) fn refuse_beyond_limit(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.standing.limit().is_none() || self.room.is_empty() {
            return;
        }
        let in_turn = self.room.by_turn().into_iter().enumerate();
        let refusal = |(ahead, attempt): (usize, &WaitingAttempt)| {
            Some((attempt.order.attempt, self.check_limit(now, ahead).err()?))
        };
        let refused: Vec<(AttemptId, WorkRefusal)> = in_turn.filter_map(refusal).collect();
        for (attempt, refusal) in refused {
            if let Some(attempt) = self.room.take(attempt) {
                self.refuse_waiting(now, attempt, refusal, out);
            }
        }
    }
}
