//! Admission of attempts to the queue, and their rejection and withdrawal.

use std::time::Duration;

use super::AgentMachine;
use super::event::{AgentAction, RunOrder, UpstreamKind, WithdrawAnswer, WorkTarget};
use super::marks::AttemptMark;
use super::waiting::WaitingAttempt;
use crate::class::WorkClass;
use crate::ids::{AttemptId, Incarnation, MonoTime};
use crate::once::book::OnceKey;
use crate::verdict::{RefusalReason, SHORT_RETRY_DELAY, WorkRefusal};

impl AgentMachine {
    pub(super) fn receive_attempt(
        &mut self,
        now: MonoTime,
        order: RunOrder,
        out: &mut Vec<AgentAction>,
    ) {
        let attempt = order.attempt;
        if let Err(refusal) = self.check_identity(&order) {
            out.push(AgentAction::Refuse(attempt, refusal));
            return;
        }
        self.record_demand(now, &order);
        match self.admit(now, &order, out) {
            Ok(once) => {
                self.marks.set(attempt, AttemptMark::Waiting);
                self.wait_queue.push(WaitingAttempt { order, once, arrived_at: now });
            },
            Err(refusal) => self.refuse(now, attempt, refusal, out),
        }
    }

    /// Checks that the attempt is addressed to this incarnation of the agent and is not a copy.
    fn check_identity(&self, order: &RunOrder) -> Result<(), WorkRefusal> {
        if order.incarnation != self.incarnation {
            return Err(WorkRefusal::not_run(
                RefusalReason::WrongIncarnation,
                Some(Duration::ZERO),
            ));
        }
        match self.marks.get(order.attempt) {
            None if self.marks.is_full() => {
                Err(WorkRefusal::may_have_run(RefusalReason::Overloaded))
            },
            None => Ok(()),
            Some(AttemptMark::Refused) => Err(WorkRefusal::not_run(RefusalReason::Duplicate, None)),
            Some(AttemptMark::Waiting | AttemptMark::Started) => {
                Err(WorkRefusal::may_have_run(RefusalReason::Duplicate))
            },
        }
    }

    fn record_demand(&mut self, now: MonoTime, order: &RunOrder) {
        if let WorkTarget::Adapter(adapter) = &order.target {
            let meter = self.demand.entry(adapter.clone()).or_default();
            meter.add(now, 1.0, self.rules.half_life);
        }
    }

    /// Decides whether an attempt may be queued. The run-once claim is taken last, so that no
    /// rejection has to release it.
    fn admit(
        &mut self,
        now: MonoTime,
        order: &RunOrder,
        out: &mut Vec<AgentAction>,
    ) -> Result<Option<OnceKey>, WorkRefusal> {
        self.check_availability()?;
        self.check_upstream_status(now)?;
        self.check_target(order)?;
        if order.deadline <= now {
            return Err(WorkRefusal::not_run(RefusalReason::DeadlinePassed, None));
        }
        self.check_rate_limit(now, self.wait_queue.len())?;
        let wait = self.expected_wait(now, order);
        if now + wait > order.deadline {
            return Err(WorkRefusal::not_run(RefusalReason::DeadlineTooShort, Some(wait)));
        }
        self.make_room(now, order.class, out)?;
        match &order.claim {
            Some(claim) => self.book.claim(now, claim).map(Some),
            None => Ok(None),
        }
    }

    pub(super) fn check_availability(&self) -> Result<(), WorkRefusal> {
        if self.is_leaving() {
            return Err(WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO)));
        }
        let is_known = self.rules.kind == UpstreamKind::Service || self.engine.is_some();
        if !self.is_upstream_up || !is_known {
            return Err(WorkRefusal::not_run(RefusalReason::UpstreamDown, Some(SHORT_RETRY_DELAY)));
        }
        Ok(())
    }

    fn check_target(&self, order: &RunOrder) -> Result<(), WorkRefusal> {
        let Some(bundle) = &self.bundle else {
            return Err(WorkRefusal::not_run(
                RefusalReason::BundleMissing,
                Some(SHORT_RETRY_DELAY),
            ));
        };
        let is_served = match (&order.target, self.rules.kind) {
            (WorkTarget::Adapter(adapter), UpstreamKind::Engine) => bundle.serves(adapter),
            (WorkTarget::Service, UpstreamKind::Service) => true,
            _ => false,
        };
        match is_served {
            true => Ok(()),
            false => Err(WorkRefusal::not_run(RefusalReason::Unknown, Some(SHORT_RETRY_DELAY))),
        }
    }

    /// Keeps the queue bounded: a more urgent attempt displaces a less urgent one.
    fn make_room(
        &mut self,
        now: MonoTime,
        class: WorkClass,
        out: &mut Vec<AgentAction>,
    ) -> Result<(), WorkRefusal> {
        if self.wait_queue.len() < self.rules.queue_limit {
            return Ok(());
        }
        let overflow = WorkRefusal::overloaded();
        match self.wait_queue.remove_less_urgent(class) {
            Some(attempt) => {
                self.refuse_waiting(now, attempt, overflow, out);
                Ok(())
            },
            None => Err(overflow),
        }
    }

    /// Rejects a queued attempt and releases its run-once claim.
    pub(super) fn refuse_waiting(
        &mut self,
        now: MonoTime,
        attempt: WaitingAttempt,
        refusal: WorkRefusal,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(once) = &attempt.once {
            self.book.record_outcome(now, once, None);
        }
        self.refuse(now, attempt.order.attempt, refusal, out);
    }

    fn refuse(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        refusal: WorkRefusal,
        out: &mut Vec<AgentAction>,
    ) {
        self.marks.set_expiring(attempt, AttemptMark::Refused, now, self.rules.mark_lifetime);
        out.push(AgentAction::Refuse(attempt, refusal));
    }

    pub(super) fn refuse_all(
        &mut self,
        now: MonoTime,
        refusal: WorkRefusal,
        out: &mut Vec<AgentAction>,
    ) {
        for attempt in self.wait_queue.remove_where(|_| true) {
            self.refuse_waiting(now, attempt, refusal, out);
        }
    }

    pub(super) fn refuse_expired(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.wait_queue.is_empty() {
            return;
        }
        for attempt in self.wait_queue.remove_where(|attempt| attempt.order.deadline <= now) {
            let refusal = WorkRefusal::not_run(RefusalReason::DeadlinePassed, None);
            self.refuse_waiting(now, attempt, refusal, out);
        }
    }

    pub(super) fn withdraw(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        incarnation: Incarnation,
        out: &mut Vec<AgentAction>,
    ) {
        let answer = match self.marks.get(attempt) {
            _ if incarnation != self.incarnation => WithdrawAnswer::MayHaveRun,
            None if self.marks.is_full() => WithdrawAnswer::MayHaveRun,
            None => {
                let lifetime = self.rules.mark_lifetime;
                self.marks.set_expiring(attempt, AttemptMark::Refused, now, lifetime);
                WithdrawAnswer::NotRun
            },
            Some(AttemptMark::Refused) => WithdrawAnswer::NotRun,
            Some(AttemptMark::Started) => WithdrawAnswer::MayHaveRun,
            Some(AttemptMark::Waiting) => {
                if let Some(waiting) = self.wait_queue.remove(attempt) {
                    let refusal = WorkRefusal::not_run(RefusalReason::Withdrawn, None);
                    self.refuse_waiting(now, waiting, refusal, out);
                }
                WithdrawAnswer::NotRun
            },
        };
        out.push(AgentAction::AnswerWithdrawal(attempt, answer));
    }
}
