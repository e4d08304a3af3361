//! Attempts in flight at the upstream: their start, their end, and the adapters that they pin.

use super::event::{AgentAction, BatchRule, RunEnd, UpstreamKind, WorkTarget, once_state};
use super::marks::AttemptMark;
use super::waiting::WaitingAttempt;
use super::{AgentMachine, LingeringPin, RunningAttempt};
use crate::adapter::AdapterRef;
use crate::class::WorkClass;
use crate::ids::{AttemptId, MonoTime};

impl AgentMachine {
    pub(super) fn start_ready(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        // After a requested pause, work resumes in growing steps, so only a few attempts may start.
        while self.running.len() < self.capacity() && self.can_send_attempt(now) {
            let is_ready = |target: &WorkTarget| self.is_target_ready(target);
            let may_start_batch = self.may_start_batch(now);
            let is_admitted = |class| class != WorkClass::Batch || may_start_batch;
            let Some(attempt) = self.wait_queue.first_ready(is_ready, is_admitted) else { return };
            let Some(attempt) = self.wait_queue.remove(attempt) else { return };
            self.start(now, attempt, out);
        }
    }

    fn is_target_ready(&self, target: &WorkTarget) -> bool {
        match (target, &self.engine) {
            (WorkTarget::Service, _) => true,
            (WorkTarget::Adapter(adapter), Some(engine)) => engine.slot_table.is_ready(adapter),
            (WorkTarget::Adapter(_), None) => false,
        }
    }

    /// Returns whether batch-class work may start. It uses capacity beside other work. On an idle
    /// engine it starts once enough has accumulated to fill the batch, or when half of the time
    /// until an attempt's deadline has passed.
    fn may_start_batch(&self, now: MonoTime) -> bool {
        let batch_limit = (self.capacity() as f64 * self.rules.batch_share).ceil() as usize;
        if self.running_count(WorkClass::Batch) >= batch_limit {
            return false;
        }
        let is_eager = self.rules.batch == BatchRule::Eager;
        if is_eager || self.rules.kind == UpstreamKind::Service || !self.running.is_empty() {
            return true;
        }
        let is_ready = |target: &WorkTarget| self.is_target_ready(target);
        let accumulated = self.wait_queue.batch_attempts(is_ready);
        let is_half_over = |attempt: &&WaitingAttempt| {
            now.saturating_sub(attempt.arrived_at) >= attempt.order.deadline.saturating_sub(now)
        };
        accumulated.len() >= batch_limit || accumulated.iter().any(is_half_over)
    }

    fn start(&mut self, now: MonoTime, attempt: WaitingAttempt, out: &mut Vec<AgentAction>) {
        let id = attempt.order.attempt;
        self.upstream_status.begin(now);
        self.record_use(now, &attempt.order.target);
        self.marks.set(id, AttemptMark::Started);
        let running = RunningAttempt {
            started: now,
            target: attempt.order.target,
            class: attempt.order.class,
            once: attempt.once,
            identity: attempt.order.identity,
        };
        self.running.insert(id, running);
        out.push(AgentAction::StartAttempt(id));
    }

    pub(super) fn capacity(&self) -> usize {
        match (self.rules.kind, &self.engine) {
            (UpstreamKind::Service, _) => self.rules.service_limit,
            (UpstreamKind::Engine, Some(engine)) => engine.batch_size + self.rules.engine_margin,
            (UpstreamKind::Engine, None) => 0,
        }
    }

    pub(super) fn running_count(&self, class: WorkClass) -> usize {
        self.running.values().filter(|running| running.class == class).count()
    }

    pub(super) fn finish_run(&mut self, now: MonoTime, attempt: AttemptId, end: RunEnd) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(once) = &running.once {
            self.book.record_outcome(now, once, once_state(end));
        }
        let mark = match end {
            RunEnd::NotRun => AttemptMark::Refused,
            RunEnd::Complete(_) | RunEnd::Broken => AttemptMark::Started,
        };
        self.marks.set_expiring(attempt, mark, now, self.rules.mark_lifetime);
        self.record_run_end(now, running.identity, end);
        self.record_use(now, &running.target);
        if let (WorkTarget::Adapter(adapter), RunEnd::Broken) = (running.target, end) {
            let until = now + self.rules.settle_time;
            self.lingering_pins.push_back(LingeringPin { until, adapter });
        }
    }

    /// Removes the pins of cut-off runs once the engine must have noticed their end.
    pub(super) fn expire_pins(&mut self, now: MonoTime) {
        while self.lingering_pins.front().is_some_and(|pin| pin.until <= now) {
            self.lingering_pins.pop_front();
        }
    }

    fn record_use(&mut self, now: MonoTime, target: &WorkTarget) {
        let Some(engine) = &mut self.engine else { return };
        let WorkTarget::Adapter(adapter) = target else { return };
        if let Some(slot) = engine.slot_table.get_mut(adapter) {
            slot.last_used = now;
        }
    }

    /// Returns the number of this agent's runs that use an adapter, under any process start of the
    /// engine: from their start to the last byte of the response, and after a cut-off response
    /// until the engine must have noticed.
    pub(super) fn pin_count(&self, adapter: &AdapterRef) -> usize {
        let uses = |running: &&RunningAttempt| match &running.target {
            WorkTarget::Adapter(other) => other == adapter,
            WorkTarget::Service => false,
        };
        let running = self.running.values().filter(uses).count();
        let lingering_pins =
            self.lingering_pins.iter().filter(|pin| pin.adapter == *adapter).count();
        running + lingering_pins
    }
}
