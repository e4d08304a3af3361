//! Orders to the engine: first a claim of the engine, then one load or unload at a time.

use std::time::Duration;

use super::AgentMachine;
use super::engine::{ClaimState, EngineState, PlanStage};
use super::event::{AgentAction, EngineOrder, OrderEnd, OrderKind, UpstreamKind, WorkTarget};
use super::slots::SlotState;
use crate::bundle::FleetBundle;
use crate::fence::OrderFence;
use crate::ids::MonoTime;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Delay before an unanswered order is resent to an engine that checks fences.
const RESEND_DELAY: Duration = Duration::from_millis(200);

impl AgentMachine {
    /// Ensures that this agent is the only one whose orders the engine accepts, before anything
    /// runs or loads there. Returns whether that is the case.
    pub(super) fn ensure_claim(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) -> bool {
        if self.rules.kind == UpstreamKind::Service {
            return true;
        }
        let Some(bundle) = self.bundle.as_ref().map(|bundle| bundle.version) else { return false };
        let Some(engine) = &mut self.engine else { return false };
        match engine.claim {
            ClaimState::Held => return !engine.is_superseded,
            ClaimState::OrderPending(_) => return false,
            ClaimState::Waiting(until) if now < until => return false,
            ClaimState::Waiting(_) if !self.rules.checks_fence => {
                engine.claim = ClaimState::Held;
                return true;
            },
            ClaimState::Waiting(_) | ClaimState::Needed => {},
        }
        if !engine.is_superseded && self.is_upstream_up {
            let order = engine.next_order(bundle, OrderKind::Claim);
            engine.claim = ClaimState::OrderPending(order.fence);
            out.push(AgentAction::SendOrder(order));
        }
        false
    }

    /// Handles the outcome of a claim order.
    fn apply_claim_outcome(
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
                ClaimState::Waiting(now + RESEND_DELAY)
            },
        };
        match end {
            OrderEnd::Done => engine.record_fence(fence),
            OrderEnd::Stale(highest) => {
                engine.record_fence(highest);
                self.drop_outdated_bundle(highest.bundle, out);
            },
            OrderEnd::Failed | OrderEnd::Unknown => {},
        }
    }

    pub(super) fn send_order(
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
            OrderKind::Load(adapter) => engine.slot_table.add(adapter, SlotState::Loading, now),
            OrderKind::Unload(adapter) => {
                if let Some(slot) = engine.slot_table.get_mut(adapter) {
                    slot.state = SlotState::Unloading;
                }
            },
            OrderKind::Claim => {},
        }
        issue_order(engine, bundle, kind, out);
    }

    /// Handles the outcome of the pending order. Outcomes of other orders are late and ignored.
    pub(super) fn apply_order_outcome(
        &mut self,
        now: MonoTime,
        fence: OrderFence,
        end: OrderEnd,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        if engine.claim == ClaimState::OrderPending(fence) {
            return self.apply_claim_outcome(now, fence, end, out);
        }
        let Some(order) = current_order(engine, fence) else {
            return;
        };
        match end {
            OrderEnd::Done => self.apply_done_order(now, &order, out),
            OrderEnd::Failed => self.apply_failed_order(now, &order, out),
            OrderEnd::Stale(highest) => {
                engine.record_fence(highest);
                revert_slot(engine, &order.kind);
                self.drop_plan(out);
                self.drop_outdated_bundle(highest.bundle, out);
            },
            OrderEnd::Unknown => {
                let pause = match self.rules.checks_fence {
                    true => RESEND_DELAY,
                    false => self.rules.order_lifetime,
                };
                if let Some(plan) = &mut engine.plan {
                    plan.stage = PlanStage::Unanswered(order.kind, now + pause);
                }
            },
        }
    }

    fn apply_done_order(&mut self, now: MonoTime, order: &EngineOrder, out: &mut Vec<AgentAction>) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        engine.record_fence(order.fence);
        match &order.kind {
            OrderKind::Unload(adapter) => {
                engine.slot_table.remove(adapter);
                self.send_next_order(now, out);
            },
            OrderKind::Claim => {},
            OrderKind::Load(adapter) => {
                if let Some(slot) = engine.slot_table.get_mut(adapter) {
                    slot.state = SlotState::Ready;
                    slot.last_used = now;
                }
                let since = engine.load_needed_since.replace(now).unwrap_or(now);
                engine.record_load(adapter, now.saturating_sub(since));
                self.drop_plan(out);
            },
        }
    }

    /// Handles a failed order. A failed load frees its slot and rejects the attempts that wait for
    /// the adapter, so that they are sent to other engines.
    fn apply_failed_order(
        &mut self,
        now: MonoTime,
        order: &EngineOrder,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        revert_slot(engine, &order.kind);
        if let OrderKind::Load(adapter) = &order.kind {
            let pause = engine.record_failed_load(adapter, now);
            let refusal = WorkRefusal::not_run(RefusalReason::LoadFailed, Some(pause));
            let target = WorkTarget::Adapter(adapter.clone());
            for attempt in self.wait_queue.remove_where(|attempt| attempt.order.target == target) {
                self.refuse_waiting(now, attempt, refusal, out);
            }
        }
        self.drop_plan(out);
    }

    /// Resolves an order without a response. An engine that checks fences gets the order again
    /// under a higher fence, which also makes it reject the first copy. With another engine, the
    /// order's lifetime has passed by now, and the slot is set by the next report.
    pub(super) fn resolve_unanswered_order(
        &mut self,
        bundle: &FleetBundle,
        kind: OrderKind,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        if !self.rules.checks_fence {
            if let OrderKind::Load(adapter) | OrderKind::Unload(adapter) = &kind {
                engine.slot_table.remove(adapter);
            }
            return self.drop_plan(out);
        }
        issue_order(engine, bundle, kind, out);
    }
}

/// Assigns the next fence to an order of the plan and sends it.
fn issue_order(
    engine: &mut EngineState,
    bundle: &FleetBundle,
    kind: OrderKind,
    out: &mut Vec<AgentAction>,
) {
    let order = engine.next_order(bundle.version, kind);
    if let Some(plan) = &mut engine.plan {
        plan.stage = PlanStage::OrderPending(order.clone());
    }
    out.push(AgentAction::SendOrder(order));
}

fn current_order(engine: &EngineState, fence: OrderFence) -> Option<EngineOrder> {
    match &engine.plan.as_ref()?.stage {
        PlanStage::OrderPending(order) if order.fence == fence => Some(order.clone()),
        _ => None,
    }
}

/// Reverts the state of a slot after an order that was not executed.
fn revert_slot(engine: &mut EngineState, kind: &OrderKind) {
    match kind {
        OrderKind::Load(adapter) => engine.slot_table.remove(adapter),
        OrderKind::Unload(adapter) => {
            if let Some(slot) = engine.slot_table.get_mut(adapter) {
                slot.state = SlotState::Ready;
            }
        },
        OrderKind::Claim => {},
    }
}
