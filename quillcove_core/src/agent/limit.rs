//! The rate limit that the upstream announces, and its effect on queued attempts.
//!
//! The agent is the only sender of work to its upstream, so it uses the whole limit itself.

use std::time::Duration;

use super::AgentMachine;
use super::event::AgentAction;
use super::waiting::WaitingAttempt;
use crate::ids::{AttemptId, MonoTime};
use crate::standing::limit::RateLimit;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Maximum wait of an attempt for its send slot. Another upstream may be able to take it sooner;
/// once it is rejected here, its entry tries the others.
const MAX_SEND_SLOT_WAIT: Duration = Duration::from_millis(100);

impl AgentMachine {
    /// Returns the rate limit that the upstream announces.
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
        self.upstream_status.limit()
    }

    /// Records that the upstream responded successfully to an attempt and announced no rate limit
    /// with the response.
    pub(super) fn record_no_limit(&mut self, now: MonoTime, attempt: AttemptId) {
        if let Some(running) = self.running.get(&attempt) {
            self.upstream_status.note_no_limit(running.started, Duration::ZERO, now);
        }
    }

    /// Returns the time until the send slot of an attempt that starts after `ahead` others.
    pub(super) fn send_slot_wait(&self, now: MonoTime, ahead: usize) -> Duration {
        let Some(limit) = self.upstream_status.limit() else {
            return Duration::ZERO;
        };
        let first_wait = self.upstream_status.next_request_time(now).saturating_sub(now);
        first_wait + limit.gap() * ahead as u32
    }

    /// Rejects an attempt whose send slot, after `ahead` others, is too far away.
    pub(super) fn check_rate_limit(&self, now: MonoTime, ahead: usize) -> Result<(), WorkRefusal> {
        let wait = self.send_slot_wait(now, ahead);
        match wait <= MAX_SEND_SLOT_WAIT {
            true => Ok(()),
            false => Err(WorkRefusal::not_run(RefusalReason::Overloaded, Some(wait))),
        }
    }

    /// Rejects queued attempts whose send slot is too far away.
    pub(super) fn refuse_over_rate_limit(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.upstream_status.limit().is_none() || self.wait_queue.is_empty() {
            return;
        }
        let queued = self.wait_queue.in_start_order().into_iter().enumerate();
        let refusal = |(ahead, attempt): (usize, &WaitingAttempt)| {
            Some((attempt.order.attempt, self.check_rate_limit(now, ahead).err()?))
        };
        let refused: Vec<(AttemptId, WorkRefusal)> = queued.filter_map(refusal).collect();
        for (attempt, refusal) in refused {
            if let Some(attempt) = self.wait_queue.remove(attempt) {
                self.refuse_waiting(now, attempt, refusal, out);
            }
        }
    }
}
