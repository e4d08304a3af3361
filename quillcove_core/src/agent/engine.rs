//! State of the agent's engine: slots, fences and the load in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::adapter::AdapterRef;
use crate::agent::event::{EngineOrder, EngineReport, OrderKind};
use crate::agent::slots::SlotTable;
use crate::fence::OrderFence;
use crate::ids::{BundleVersion, Incarnation, MonoTime};

/// Load time assumed until the first load has been measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_secs(1);

/// Smoothing factor of the moving average of load times.
const LOAD_TIME_SMOOTHING: f64 = 0.2;

/// Backoff after the first failed load; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the backoff after failed loads.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Progress of a load; an agent runs one load at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Adapter to load.
    pub adapter: AdapterRef,
    /// Start time of the plan.
    pub started_at: MonoTime,
    /// Whether a permit of the load rate coordinator is held.
    pub has_permit: bool,
    /// Current stage.
    pub stage: PlanStage,
}

/// Stages of a load.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStage {
    /// A permit was requested.
    PermitRequested,
    /// An order was sent and its outcome is pending.
    OrderPending(EngineOrder),
    /// An order got no response; no other order is sent before this time.
    Unanswered(OrderKind, MonoTime),
}

/// Whether this agent is the only one whose orders the engine accepts.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// A first order must raise the fence, so that the engine rejects orders still in transit from
    /// an earlier agent or from before the engine's restart.
    Needed,
    /// The claim order was sent and its outcome is pending.
    OrderPending(OrderFence),
    /// Orders in transit may still take effect until this time. Used after an unanswered claim
    /// order, or with an engine that does not check fences.
    Waiting(MonoTime),
    /// The claim is established.
    Held,
}

/// Backoff after failed loads of one adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBackoff {
    /// Time before which the adapter is not loaded.
    pub until: MonoTime,
    /// Length of the current backoff.
    pub pause: Duration,
}

/// State of one process start of the engine under this agent.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Number of requests in one batch.
    pub batch_size: usize,
    /// Adapter slots.
    pub slot_table: SlotTable,
    /// Whether this agent is the only one whose orders the engine accepts.
    pub claim: ClaimState,
    /// Load in progress.
    pub plan: Option<LoadPlan>,
    /// Time before which nothing is unloaded, because reports may predate the takeover.
    pub settle_until: MonoTime,
    /// Whether another agent has taken the engine over.
    pub is_superseded: bool,
    /// Moving average of the time from the need for a load, or from the preceding load, to its end;
    /// includes the wait for a permit.
    pub load_time: Duration,
    /// Time since which some adapter has been waiting to be loaded without interruption; restarts
    /// with each load.
    pub load_needed_since: Option<MonoTime>,
    /// Backoffs by adapter.
    pub backoffs: BTreeMap<AdapterRef, LoadBackoff>,
    /// Number of completed loads.
    pub loads_done: u64,
    /// Fence of this agent's latest order, or at the takeover the highest fence that the engine
    /// reported.
    last_fence: OrderFence,
    /// Highest fence that the engine has reported or returned in a response.
    pub seen_fence: OrderFence,
    term: u64,
}

impl EngineState {
    /// Takes over an engine in the state that it reports, under a term above every term it has
    /// seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// assert!(engine.plan.is_none());
    /// ```
    pub fn take_over(report: &EngineReport, min_term: u64, settle_until: MonoTime) -> Self {
        Self {
            incarnation: report.incarnation,
            batch_size: report.batch.max(1),
            slot_table: SlotTable::from_report(report, Duration::ZERO),
            claim: ClaimState::Needed,
            plan: None,
            settle_until,
            is_superseded: false,
            load_time: INITIAL_LOAD_TIME,
            load_needed_since: None,
            backoffs: BTreeMap::new(),
            loads_done: 0,
            last_fence: report.highest_fence,
            seen_fence: report.highest_fence,
            term: (report.highest_fence.term + 1).max(min_term),
        }
    }

    /// Takes the engine over again after its restart. The engine may have lost its fences, so the
    /// new term is derived from this agent's own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let report = EngineReport::default();
    /// let engine = EngineState::take_over(&report, 5, Duration::ZERO);
    /// assert!(engine.after_restart(&report, Duration::ZERO).term() > engine.term());
    /// ```
    pub fn after_restart(&self, report: &EngineReport, settle_until: MonoTime) -> Self {
        let next = Self::take_over(report, self.term + 1, settle_until);
        Self { load_time: self.load_time, loads_done: self.loads_done, ..next }
    }

    /// Returns this agent's term at the engine.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// assert_eq!(EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO).term(), 1);
    /// ```
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Creates an order with the next fence.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::{EngineReport, OrderKind};
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// let kind = OrderKind::Load(AdapterRef::new("shuttle", 1));
    /// let first = engine.next_order(4, kind.clone());
    /// assert!(engine.next_order(4, kind).fence > first.fence);
    /// ```
    pub fn next_order(&mut self, bundle: BundleVersion, kind: OrderKind) -> EngineOrder {
        let sequence = self.last_fence.sequence + 1;
        self.last_fence = OrderFence { bundle, term: self.term, sequence };
        EngineOrder { fence: self.last_fence, kind }
    }

    /// Returns whether a report reflects the effect of all orders sent so far.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let report = EngineReport::default();
    /// let engine = EngineState::take_over(&report, 0, Duration::ZERO);
    /// assert!(engine.reflects_all_orders(&report, true));
    /// ```
    pub fn reflects_all_orders(&self, report: &EngineReport, checks_fence: bool) -> bool {
        let has_seen_fence = !checks_fence || report.highest_fence >= self.last_fence;
        self.plan.as_ref().is_none_or(|plan| plan.stage == PlanStage::PermitRequested)
            && has_seen_fence
    }

    /// Records a fence that the engine has seen, and marks this agent as superseded if the fence
    /// carries a higher term than its own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    /// use quillcove_core::fence::OrderFence;
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// engine.record_fence(OrderFence { bundle: 1, term: 9, sequence: 1 });
    /// assert!(engine.is_superseded);
    /// ```
    pub fn record_fence(&mut self, fence: OrderFence) {
        self.seen_fence = self.seen_fence.max(fence);
        if fence.term > self.term {
            self.is_superseded = true;
        }
    }

    /// Returns whether an order to load the adapter, or to free a slot for it, has been sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// assert!(!engine.is_loading(&AdapterRef::new("shuttle", 1)));
    /// ```
    pub fn is_loading(&self, adapter: &AdapterRef) -> bool {
        let planned = self.plan.as_ref().filter(|plan| plan.adapter == *adapter);
        planned.is_some_and(|plan| plan.stage != PlanStage::PermitRequested)
    }

    /// Records a completed load and how long it took.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// engine.record_load(&AdapterRef::new("shuttle", 1), Duration::from_secs(2));
    /// assert_eq!(engine.load_time, Duration::from_millis(1200));
    /// ```
    pub fn record_load(&mut self, adapter: &AdapterRef, took: Duration) {
        self.loads_done += 1;
        self.backoffs.remove(adapter);
        let old = self.load_time.as_secs_f64();
        let new = old + (took.as_secs_f64() - old) * LOAD_TIME_SMOOTHING;
        self.load_time = Duration::from_secs_f64(new);
    }

    /// Records a failed load and returns the backoff before the next load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// let adapter = AdapterRef::new("shuttle", 1);
    /// let first = engine.record_failed_load(&adapter, Duration::ZERO);
    /// assert_eq!(engine.record_failed_load(&adapter, Duration::ZERO), first * 2);
    /// ```
    pub fn record_failed_load(&mut self, adapter: &AdapterRef, now: MonoTime) -> Duration {
        let before = self.backoffs.get(adapter).map(|backoff| backoff.pause);
        let pause = before.map_or(INITIAL_BACKOFF, |pause| (pause * 2).min(MAX_BACKOFF));
        self.backoffs.insert(adapter.clone(), LoadBackoff { until: now + pause, pause });
        pause
    }

    /// Returns whether the adapter is in backoff after failed loads.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// assert!(!engine.is_backing_off(&AdapterRef::new("shuttle", 1), Duration::ZERO));
    /// ```
    pub fn is_backing_off(&self, adapter: &AdapterRef, now: MonoTime) -> bool {
        self.backoffs.get(adapter).is_some_and(|backoff| now < backoff.until)
    }
}
