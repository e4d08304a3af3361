//! Selection of the adapter to load next and of the adapter to evict for it.

use std::collections::VecDeque;
use std::time::Duration;

use super::AgentMachine;
use super::engine::{LoadPlan, PlanStage};
use super::event::{AgentAction, EvictRule, LoadRule, OrderKind, PacingRule, RunOrder, WorkTarget};
use super::slots::{EvictionRanking, priority_weight};
use super::waiting::WaitingAttempt;
use crate::adapter::AdapterRef;
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::ids::MonoTime;
use crate::permit::PermitResponse;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Time after which a granted permit is returned unused, because the answer is outdated.
const PERMIT_ANSWER_LIFETIME: Duration = Duration::from_secs(2);

/// Time over which the expected demand for a loaded adapter is weighed against the waiting
/// requests.
const DEMAND_HORIZON_SECS: f64 = 5.0;

/// Batch-class work counts as normal when its deadline is less than this many load times away.
const BATCH_PROMOTION_LOAD_TIMES: u32 = 8;

impl AgentMachine {
    /// Returns the expected wait until an attempt can start: zero for a loaded adapter, otherwise
    /// the total time of the loads ahead of its own load and of that load.
    pub(super) fn expected_wait(&self, now: MonoTime, order: &RunOrder) -> Duration {
        let WorkTarget::Adapter(adapter) = &order.target else { return Duration::ZERO };
        let Some(engine) = &self.engine else { return Duration::ZERO };
        if engine.slot_table.get(adapter).is_some() || engine.is_loading(adapter) {
            return Duration::ZERO;
        }
        let own = order.class.weight() * self.priority_weight(adapter);
        let ahead = self
            .pending_loads(now)
            .into_iter()
            .filter(|(other, value)| other != adapter && *value >= own);
        engine.load_time * (ahead.count() as u32 + 1)
    }

    /// Returns the adapters that attempts wait for and that are not loaded, by descending value.
    fn pending_loads(&self, now: MonoTime) -> Vec<(AdapterRef, f64)> {
        let Some(engine) = &self.engine else { return Vec::new() };
        let needed = self.wait_queue.adapter_queues().filter(|(adapter, _)| {
            engine.slot_table.get(adapter).is_none() && !engine.is_loading(adapter)
        });
        let candidates =
            needed.map(|(adapter, queue)| (adapter.clone(), self.load_value(now, adapter, queue)));
        let mut pending: Vec<(AdapterRef, f64)> = candidates.collect();
        pending.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        pending
    }

    /// Rejects attempts whose adapter can no longer be loaded before their deadline, at once and
    /// with the expected load time.
    pub(super) fn refuse_infeasible(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let Some(load_time) = self.engine.as_ref().map(|engine| engine.load_time) else { return };
        for (position, (adapter, _)) in self.pending_loads(now).into_iter().enumerate() {
            let wait = load_time * (position as u32 + 1);
            let target = WorkTarget::Adapter(adapter);
            let is_infeasible = |attempt: &WaitingAttempt| {
                attempt.order.target == target && attempt.order.deadline < now + wait
            };
            let refusal = WorkRefusal::not_run(RefusalReason::DeadlineTooShort, Some(wait));
            for attempt in self.wait_queue.remove_where(is_infeasible) {
                self.refuse_waiting(now, attempt, refusal, out);
            }
        }
    }

    fn priority_weight(&self, adapter: &AdapterRef) -> f64 {
        let priority = self.bundle.as_ref().map_or(0, |bundle| bundle.priority_of(adapter));
        priority_weight(priority)
    }

    /// Returns the value of loading an adapter for the waiting attempts: each counts by its class
    /// and by how long it has waited, in seconds.
    fn load_value(
        &self,
        now: MonoTime,
        adapter: &AdapterRef,
        queue: &VecDeque<WaitingAttempt>,
    ) -> f64 {
        let load_time = self.engine.as_ref().map_or(Duration::ZERO, |engine| engine.load_time);
        let value_of = |attempt: &WaitingAttempt| {
            let is_deadline_near =
                attempt.order.deadline < now + load_time * BATCH_PROMOTION_LOAD_TIMES;
            let class = match attempt.order.class {
                WorkClass::Batch if is_deadline_near => WorkClass::Normal,
                class => class,
            };
            class.weight() * (1.0 + now.saturating_sub(attempt.arrived_at).as_secs_f64())
        };
        queue.iter().map(value_of).sum::<f64>() * self.priority_weight(adapter)
    }

    /// Advances the load in progress, or starts the next one.
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
            Some(PlanStage::PermitRequested | PlanStage::OrderPending(_)) => {},
            Some(PlanStage::Unanswered(_, until)) if now < until => {},
            Some(PlanStage::Unanswered(kind, _)) => {
                self.resolve_unanswered_order(&bundle, kind, out)
            },
        }
    }

    fn begin_load(&mut self, now: MonoTime, bundle: &FleetBundle, out: &mut Vec<AgentAction>) {
        let next = self.next_load(now);
        self.record_load_need(now, next.is_some());
        if self.is_stopping || now < self.next_permit_request_at {
            return;
        }
        let Some((adapter, value)) = next else { return };
        if self.find_slot(now, bundle, &adapter, value).is_none() {
            return;
        }
        let Some(engine) = &mut self.engine else {
            return;
        };
        let is_paced = self.rules.pacing == PacingRule::Keeper;
        engine.plan = Some(LoadPlan {
            adapter,
            started_at: now,
            has_permit: false,
            stage: PlanStage::PermitRequested,
        });
        match is_paced {
            true => out.push(AgentAction::RequestPermit(value)),
            false => self.send_next_order(now, out),
        }
    }

    /// Records since when a load has been needed, so that its whole wait is measured.
    fn record_load_need(&mut self, now: MonoTime, is_needed: bool) {
        let Some(engine) = &mut self.engine else { return };
        match is_needed {
            true => engine.load_needed_since = engine.load_needed_since.or(Some(now)),
            false => engine.load_needed_since = None,
        }
    }

    /// Returns the adapter to load next, with its value.
    fn next_load(&self, now: MonoTime) -> Option<(AdapterRef, f64)> {
        let engine = self.engine.as_ref()?;
        let needed = self.wait_queue.adapter_queues().filter(|(adapter, _)| {
            engine.slot_table.get(adapter).is_none() && !engine.is_backing_off(adapter, now)
        });
        let candidates = needed.map(|(adapter, queue)| {
            let value = self.load_value(now, adapter, queue);
            let rank = match self.rules.load {
                LoadRule::Value => value,
                LoadRule::Oldest => longest_wait(now, queue).as_secs_f64(),
            };
            (adapter, value, rank)
        });
        let best = candidates.max_by(|(_, _, a), (_, _, b)| a.total_cmp(b))?;
        Some((best.0.clone(), best.1))
    }

    /// Finds a slot for an adapter: `Some(None)` when one is free, `Some(victim)` when an adapter
    /// can be evicted, `None` when all loaded adapters have a higher value or are in use.
    fn find_slot(
        &self,
        now: MonoTime,
        bundle: &FleetBundle,
        adapter: &AdapterRef,
        value: f64,
    ) -> Option<Option<AdapterRef>> {
        let engine = self.engine.as_ref()?;
        if engine.slot_table.has_free_slot() {
            return Some(None);
        }
        if now < engine.settle_until {
            return None;
        }
        let ranking = EvictionRanking {
            rule: self.rules.evict,
            demand: &self.demand,
            half_life: self.rules.half_life,
            bundle,
        };
        let is_in_use =
            |other: &AdapterRef| self.wait_queue.has_waiting(other) || self.pin_count(other) > 0;
        let victim = ranking.victim(&engine.slot_table, is_in_use, now)?;
        if self.rules.evict == EvictRule::Lru {
            return Some(Some(victim));
        }
        let victim_value =
            ranking.value(&victim, now) * DEMAND_HORIZON_SECS * self.rules.evict_margin;
        let expected = ranking.value(adapter, now) * DEMAND_HORIZON_SECS;
        let load_gain = value / WorkClass::Normal.weight() + expected;
        (load_gain >= victim_value).then_some(Some(victim))
    }

    /// Handles the answer of the load rate coordinator.
    pub(super) fn apply_permit_answer(
        &mut self,
        now: MonoTime,
        answer: PermitResponse,
        out: &mut Vec<AgentAction>,
    ) {
        let engine = self.engine.as_mut();
        let requesting = engine.filter(|engine| {
            engine.plan.as_ref().is_some_and(|plan| plan.stage == PlanStage::PermitRequested)
        });
        let Some(engine) = requesting else {
            if answer == PermitResponse::Granted {
                out.push(AgentAction::ReturnPermit);
            }
            return;
        };
        let requested_at = engine.plan.as_ref().map_or(now, |plan| plan.started_at);
        match answer {
            PermitResponse::Granted
                if now.saturating_sub(requested_at) > PERMIT_ANSWER_LIFETIME =>
            {
                engine.plan = None;
                out.push(AgentAction::ReturnPermit);
            },
            PermitResponse::Granted => {
                if let Some(plan) = &mut engine.plan {
                    plan.has_permit = true;
                }
                self.send_next_order(now, out);
            },
            PermitResponse::Wait(pause) => {
                engine.plan = None;
                self.next_permit_request_at = now + pause;
            },
        }
    }

    /// Sends the next order of the plan, or drops the plan when no attempt waits for its adapter
    /// any more.
    pub(super) fn send_next_order(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let Some(bundle) = self.bundle.clone() else {
            return self.drop_plan(out);
        };
        let planned = self.engine.as_ref().and_then(|engine| engine.plan.clone());
        let Some(plan) = planned else { return };
        let is_possible = self.is_host_state_confirmed && bundle.serves(&plan.adapter);
        let value = match self.next_load(now) {
            Some((adapter, value)) if adapter == plan.adapter => value,
            _ if self.wait_queue.has_waiting(&plan.adapter) => f64::INFINITY,
            _ => return self.drop_plan(out),
        };
        match self.find_slot(now, &bundle, &plan.adapter, value) {
            Some(None) if is_possible => {
                self.send_order(now, &bundle, OrderKind::Load(plan.adapter), out);
            },
            Some(Some(victim)) if is_possible => {
                self.send_order(now, &bundle, OrderKind::Unload(victim), out);
            },
            _ => self.drop_plan(out),
        }
    }

    pub(super) fn drop_plan(&mut self, out: &mut Vec<AgentAction>) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        if let Some(plan) = engine.plan.take()
            && plan.has_permit
        {
            out.push(AgentAction::ReturnPermit);
        }
    }
}

fn longest_wait(now: MonoTime, queue: &VecDeque<WaitingAttempt>) -> Duration {
    let since = queue.iter().map(|attempt| attempt.arrived_at).min();
    now.saturating_sub(since.unwrap_or(now))
}
