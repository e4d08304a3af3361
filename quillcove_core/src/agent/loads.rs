//! Which adapter is loaded next, and what is unloaded for it.

use std::collections::VecDeque;
use std::time::Duration;

use super::AgentMachine;
use super::engine::{ClaimState, EngineState, LoadPlan, PlanStage};
use super::event::{
    AgentAction, EngineOrder, EvictRule, LoadRule, OrderEnd, OrderKind, PacingRule, RunOrder,
    UpstreamKind, WorkTarget,
};
use super::slots::{EvictRank, SlotState, priority_weight};
use super::waiting::WaitingAttempt;
use crate::adapter::AdapterRef;
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::fence::OrderFence;
use crate::ids::MonoTime;
use crate::permit::PermitAnswer;
use crate::verdict::{RefusalReason, WorkRefusal};

/// A permit's answer that took longer than this is given back unused.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);

/// Pause after which an engine that checks fences gets an unanswered order again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Time over which the demand for a loaded adapter is set against the requests that wait.
const KEEP_HORIZON_SECS: f64 = 5.0;

/// Batch-class work counts as normal when its deadline is nearer than this many load times.
const LATE_LOADS: u32 = 8;

impl AgentMachine {
    /// Expected wait until an order could start: none for a loaded adapter, else the loads that
    /// go before it and its own.
    pub(super) fn expected_wait(&self, now: MonoTime, order: &RunOrder) -> Duration {
        let WorkTarget::Adapter(adapter) = &order.target else { return Duration::ZERO };
        let Some(engine) = &self.engine else { return Duration::ZERO };
        if engine.table.get(adapter).is_some() || engine.is_loading(adapter) {
            return Duration::ZERO;
        }
        let own = order.class.weight() * self.priority_weight(adapter);
        let ahead = self
            .line_of_loads(now)
            .into_iter()
            .filter(|(other, value)| other != adapter && *value >= own);
        engine.load_time * (ahead.count() as u32 + 1)
    }

    /// Adapters that attempts wait for and that are not loaded, by falling value.
    fn line_of_loads(&self, now: MonoTime) -> Vec<(AdapterRef, f64)> {
        let Some(engine) = &self.engine else { return Vec::new() };
        let wanted = self.room.adapters().filter(|(adapter, _)| {
            engine.table.get(adapter).is_none() && !engine.is_loading(adapter)
        });
        let valued =
            wanted.map(|(adapter, queue)| (adapter.clone(), self.load_value(now, adapter, queue)));
        let mut line: Vec<(AdapterRef, f64)> = valued.collect();
        line.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        line
    }

    /// Refuses attempts whose load can not come in time any more, at once, with the time that the
    /// load is expected to take.
    pub(super) fn refuse_hopeless(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let Some(load_time) = self.engine.as_ref().map(|engine| engine.load_time) else { return };
        for (place, (adapter, _)) in self.line_of_loads(now).into_iter().enumerate() {
            let wait = load_time * (place as u32 + 1);
            let target = WorkTarget::Adapter(adapter);
            let is_hopeless = |attempt: &WaitingAttempt| {
                attempt.order.target == target && attempt.order.deadline < now + wait
            };
            let refusal = WorkRefusal::not_run(RefusalReason::DeadlineTooShort, Some(wait));
            for attempt in self.room.take_where(is_hopeless) {
                self.refuse_waiting(now, attempt, refusal, out);
            }
        }
    }

    fn priority_weight(&self, adapter: &AdapterRef) -> f64 {
        let priority = self.bundle.as_ref().map_or(0, |bundle| bundle.priority_of(adapter));
        priority_weight(priority)
    }

    /// Value of loading an adapter for those who wait: each counts by class and by how long it
    /// has waited already, in seconds.
    fn load_value(
        &self,
        now: MonoTime,
        adapter: &AdapterRef,
        queue: &VecDeque<WaitingAttempt>,
    ) -> f64 {
        let load_time = self.engine.as_ref().map_or(Duration::ZERO, |engine| engine.load_time);
        let value_of = |attempt: &WaitingAttempt| {
            let is_late = attempt.order.deadline < now + load_time * LATE_LOADS;
            let class = match attempt.order.class {
                WorkClass::Batch if is_late => WorkClass::Normal,
                class => class,
            };
            class.weight() * (1.0 + now.saturating_sub(attempt.since).as_secs_f64())
        };
        queue.iter().map(value_of).sum::<f64>() * self.priority_weight(adapter)
    }

    /// Makes sure that this agent alone gives the engine orders, before anything runs or loads
    /// there. `true` when it is so.
    pub(super) fn hold_claim(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) -> bool {
        if self.rules.kind == UpstreamKind::Service {
            return true;
        }
        let Some(bundle) = self.bundle.as_ref().map(|bundle| bundle.version) else { return false };
        let Some(engine) = &mut self.engine else { return false };
        match engine.claim {
            ClaimState::Held => return !engine.is_superseded,
            ClaimState::Ordered(_) => return false,
            ClaimState::Waiting(until) if now < until => return false,
            ClaimState::Waiting(_) if !self.rules.checks_fence => {
                engine.claim = ClaimState::Held;
                return true;
            },
            ClaimState::Waiting(_) | ClaimState::Needed => {},
        }
        if !engine.is_superseded && self.is_upstream_up {
            let order = engine.next_order(bundle, OrderKind::Claim);
            engine.claim = ClaimState::Ordered(order.fence);
            out.push(AgentAction::Send(order));
        }
        false
    }

    /// Takes the end of a claiming order.
    fn end_claim(
        &mut self,
        now: MonoTime,
        fence: OrderFence,
        end: OrderEnd,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(engine) = &mut self.engine else { return };
        engine.claim = match end {
            OrderEnd::Done => ClaimState::Held,
            OrderEnd::Stale(_) | OrderEnd::Failed | OrderEnd::Unknown => {
                ClaimState::Waiting(now + RESEND_PAUSE)
            },
        };
        match end {
            OrderEnd::Done => engine.note_fence(fence),
            OrderEnd::Stale(highest) => {
                engine.note_fence(highest);
                self.witness(highest.bundle, out);
            },
            OrderEnd::Failed | OrderEnd::Unknown => {},
        }
    }

    /// Moves the load in progress on, or begins the next one.
    pub(super) fn advance_loads(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let Some(engine) = &self.engine else { return };
        if engine.is_superseded || !self.is_upstream_up {
            return;
        }
        match engine.plan.as_ref().map(|plan| plan.stage.clone()) {
            None => self.begin_load(now, &bundle, out),
            Some(PlanStage::Asking | PlanStage::Ordered(_)) => {},
            Some(PlanStage::Unsure(_, until)) if now < until => {},
            Some(PlanStage::Unsure(kind, _)) => self.settle_unsure(&bundle, kind, out),
        }
    }

    fn begin_load(&mut self, now: MonoTime, bundle: &FleetBundle, out: &mut Vec<AgentAction>) {
        self.note_wanted(now);
        if self.is_stopping || now < self.ask_after {
            return;
        }
        let Some((adapter, value)) = self.next_load(now) else {
            return;
        };
        if self.make_way(now, bundle, &adapter, value).is_none() {
            return;
        }
        let Some(engine) = &mut self.engine else {
            return;
        };
        let is_paced = self.rules.pacing == PacingRule::Keeper;
        engine.plan =
            Some(LoadPlan { adapter, since: now, has_permit: false, stage: PlanStage::Asking });
        match is_paced {
            true => out.push(AgentAction::AskPermit(value)),
            false => self.order_next(now, out),
        }
    }

    /// Notes since when a load is wanted, so that its whole wait is measured.
    fn note_wanted(&mut self, now: MonoTime) {
        let is_wanted = self.next_load(now).is_some();
        let Some(engine) = &mut self.engine else { return };
        match is_wanted {
            true => engine.wanted_since = engine.wanted_since.or(Some(now)),
            false => engine.wanted_since = None,
        }
    }

    /// The adapter that should be loaded next, with its value.
    fn next_load(&self, now: MonoTime) -> Option<(AdapterRef, f64)> {
        let engine = self.engine.as_ref()?;
        let wanted = self.room.adapters().filter(|(adapter, _)| {
            engine.table.get(adapter).is_none() && !engine.is_backing_off(adapter, now)
        });
        let valued = wanted.map(|(adapter, queue)| {
            let value = self.load_value(now, adapter, queue);
            let rank = match self.rules.load {
                LoadRule::Value => value,
                LoadRule::Oldest => oldest_wait(now, queue).as_secs_f64(),
            };
            (adapter, value, rank)
        });
        let best = valued.max_by(|(_, _, a), (_, _, b)| a.total_cmp(b))?;
        Some((best.0.clone(), best.1))
    }

    /// How a slot becomes free for an adapter: `Some(None)` when one is free, `Some(victim)`
    /// when one can be unloaded, `None` when the loaded ones are worth more or in use.
    fn make_way(
        &self,
        now: MonoTime,
        bundle: &FleetBundle,
        adapter: &AdapterRef,
        value: f64,
    ) -> Option<Option<AdapterRef>> {
        let engine = self.engine.as_ref()?;
        if engine.table.has_free() {
            return Some(None);
        }
        if now < engine.settle_until {
            return None;
        }
        let rank = EvictRank {
            rule: self.rules.evict,
            demand: &self.demand,
            half_life: self.rules.half_life,
            bundle,
        };
        let is_in_use = |other: &AdapterRef| self.room.wants(other) || self.pins(other) > 0;
        let victim = rank.victim(&engine.table, is_in_use, now)?;
        if self.rules.evict == EvictRule::Lru {
            return Some(Some(victim));
        }
        let keep = rank.value(&victim, now) * KEEP_HORIZON_SECS * self.rules.evict_margin;
        let expected = rank.value(adapter, now) * KEEP_HORIZON_SECS;
        let gain = value / WorkClass::Normal.weight() + expected;
        (gain >= keep).then_some(Some(victim))
    }

    /// Takes the keeper's answer.
    pub(super) fn take_permit(
        &mut self,
        now: MonoTime,
        answer: PermitAnswer,
        out: &mut Vec<AgentAction>,
    ) {
        let engine = self.engine.as_mut();
        let asking = engine.filter(|engine| {
            engine.plan.as_ref().is_some_and(|plan| plan.stage == PlanStage::Asking)
        });
        let Some(engine) = asking else {
            if answer == PermitAnswer::Granted {
                out.push(AgentAction::ReturnPermit);
            }
            return;
        };
        let asked = engine.plan.as_ref().map_or(now, |plan| plan.since);
        match answer {
            PermitAnswer::Granted if now.saturating_sub(asked) > ANSWER_LIFETIME => {
                engine.plan = None;
                out.push(AgentAction::ReturnPermit);
            },
            PermitAnswer::Granted => {
                if let Some(plan) = &mut engine.plan {
                    plan.has_permit = true;
                }
                self.order_next(now, out);
            },
            PermitAnswer::Wait(pause) => {
                engine.plan = None;
                self.ask_after = now + pause;
            },
        }
    }

    /// Sends the next order of the plan, or drops the plan when nothing waits for it any more.
    fn order_next(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let Some(bundle) = self.bundle.clone() else {
            return self.drop_plan(out);
        };
        let planned = self.engine.as_ref().and_then(|engine| engine.plan.clone());
        let Some(plan) = planned else { return };
        let is_possible = self.is_confirmed && bundle.serves(&plan.adapter);
        let value = match self.next_load(now) {
            Some((adapter, value)) if adapter == plan.adapter => value,
            _ if self.room.wants(&plan.adapter) => f64::INFINITY,
            _ => return self.drop_plan(out),
        };
        match self.make_way(now, &bundle, &plan.adapter, value) {
            Some(None) if is_possible => {
                self.send(now, &bundle, OrderKind::Load(plan.adapter), out);
            },
            Some(Some(victim)) if is_possible => {
                self.send(now, &bundle, OrderKind::Unload(victim), out);
            },
            _ => self.drop_plan(out),
        }
    }

    fn drop_plan(&mut self, out: &mut Vec<AgentAction>) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        if let Some(plan) = engine.plan.take()
            && plan.has_permit
        {
            out.push(AgentAction::ReturnPermit);
        }
    }

    fn send(
        &mut self,
        now: MonoTime,
        bundle: &FleetBundle,
        kind: OrderKind,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        match &kind {
            OrderKind::Load(adapter) => engine.table.add(adapter, SlotState::Loading, now),
            OrderKind::Unload(adapter) => {
                if let Some(slot) = engine.table.get_mut(adapter) {
                    slot.state = SlotState::Unloading;
                }
            },
            OrderKind::Claim => {},
        }
        let order = engine.next_order(bundle.version, kind);
        if let Some(plan) = &mut engine.plan {
            plan.stage = PlanStage::Ordered(order.clone());
        }
        out.push(AgentAction::Send(order));
    }

    /// Takes the end of the order that is out; ends of other orders are late and say nothing.
    pub(super) fn end_order(
        &mut self,
        now: MonoTime,
        fence: OrderFence,
        end: OrderEnd,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        if engine.claim == ClaimState::Ordered(fence) {
            return self.end_claim(now, fence, end, out);
        }
        let Some(order) = current_order(engine, fence) else {
            return;
        };
        match end {
            OrderEnd::Done => self.order_done(now, &order, out),
            OrderEnd::Failed => self.order_failed(now, &order, out),
            OrderEnd::Stale(highest) => {
                engine.note_fence(highest);
                undo(engine, &order.kind);
                self.drop_plan(out);
                self.witness(highest.bundle, out);
            },
            OrderEnd::Unknown => {
                let pause = match self.rules.checks_fence {
                    true => RESEND_PAUSE,
                    false => self.rules.order_lifetime,
                };
                if let Some(plan) = &mut engine.plan {
                    plan.stage = PlanStage::Unsure(order.kind, now + pause);
                }
            },
        }
    }

    fn order_done(&mut self, now: MonoTime, order: &EngineOrder, out: &mut Vec<AgentAction>) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        engine.note_fence(order.fence);
        match &order.kind {
            OrderKind::Unload(adapter) => {
                engine.table.remove(adapter);
                self.order_next(now, out);
            },
            OrderKind::Claim => {},
            OrderKind::Load(adapter) => {
                if let Some(slot) = engine.table.get_mut(adapter) {
                    slot.state = SlotState::Ready;
                    slot.used = now;
                }
                let since = engine.wanted_since.replace(now).unwrap_or(now);
                engine.note_load(adapter, now.saturating_sub(since));
                self.drop_plan(out);
            },
        }
    }

    /// A failed load frees its slot and sends its waiting attempts to other engines.
    fn order_failed(&mut self, now: MonoTime, order: &EngineOrder, out: &mut Vec<AgentAction>) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        undo(engine, &order.kind);
        if let OrderKind::Load(adapter) = &order.kind {
            let pause = engine.note_failed_load(adapter, now);
            let refusal = WorkRefusal::not_run(RefusalReason::LoadFailed, Some(pause));
            let target = WorkTarget::Adapter(adapter.clone());
            for attempt in self.room.take_where(|attempt| attempt.order.target == target) {
                self.refuse_waiting(now, attempt, refusal, out);
            }
        }
        self.drop_plan(out);
    }

    /// An order without an answer. An engine that checks fences gets it again under a higher
    /// fence, which also shuts out the first copy. With another engine the order's lifetime has
    /// passed by now; the slot goes back to what the next report shows.
    fn settle_unsure(&mut self, bundle: &FleetBundle, kind: OrderKind, out: &mut Vec<AgentAction>) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        if !self.rules.checks_fence {
            if let OrderKind::Load(adapter) | OrderKind::Unload(adapter) = &kind {
                engine.table.remove(adapter);
            }
            return self.drop_plan(out);
        }
        let order = engine.next_order(bundle.version, kind);
        if let Some(plan) = &mut engine.plan {
            plan.stage = PlanStage::Ordered(order.clone());
        }
        out.push(AgentAction::Send(order));
    }
}

fn oldest_wait(now: MonoTime, queue: &VecDeque<WaitingAttempt>) -> Duration {
    let since = queue.iter().map(|attempt| attempt.since).min();
    now.saturating_sub(since.unwrap_or(now))
}

fn current_order(engine: &EngineState, fence: OrderFence) -> Option<EngineOrder> {
    match &engine.plan.as_ref()?.stage {
        PlanStage::Ordered(order) if order.fence == fence => Some(order.clone()),
        _ => None,
    }
}

/// Puts a slot back after an order that was not done.
fn undo(engine: &mut EngineState, kind: &OrderKind) {
    match kind {
        OrderKind::Load(adapter) => engine.table.remove(adapter),
        OrderKind::Unload(adapter) => {
            if let Some(slot) = engine.table.get_mut(adapter) {
                slot.state = SlotState::Ready;
            }
        },
        OrderKind::Claim => {},
    }
}
