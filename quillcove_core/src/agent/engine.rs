//! What the agent knows of its engine: slots, fences and the load in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::adapter::AdapterRef;
use crate::agent::event::{EngineOrder, EngineReport, OrderKind};
use crate::agent::slots::SlotTable;
use crate::fence::OrderFence;
use crate::ids::{BundleVersion, Incarnation, MonoTime};

/// Assumed time of a load before the first one was seen.
const FIRST_LOAD_TIME: Duration = Duration::from_secs(1);

/// Weight of the newest load in the average load time.
const LOAD_TIME_GAIN: f64 = 0.2;

/// First pause after a failed load; doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest pause after failed loads.
const LAST_BACKOFF: Duration = Duration::from_secs(30);

/// Progress of the one load that an agent works on.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Adapter to load.
    pub adapter: AdapterRef,
    /// When the plan began.
    pub since: MonoTime,
    /// Whether the keeper's permit is held.
    pub has_permit: bool,
    /// Where it stands.
    pub stage: PlanStage,
}

/// Stages of a load.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStage {
    /// The keeper was asked.
    Asking,
    /// An order is out.
    Ordered(EngineOrder),
    /// An order got no answer; nothing else is ordered until this time.
    Unsure(OrderKind, MonoTime),
}

/// Whether this agent alone gives the engine orders.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// A first order has to raise the fence, so that orders still on their way from an earlier
    /// agent, or from before the engine's restart, are refused.
    Needed,
    /// That order is out.
    Ordered(OrderFence),
    /// Orders on their way may still take effect until this time. After an order without an
    /// answer, or with an engine that does not check fences.
    Waiting(MonoTime),
    /// The fence stands.
    Held,
}

/// Pause after failed loads of one adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBackoff {
    /// No load before this time.
    pub until: MonoTime,
    /// Length of the pause.
    pub pause: Duration,
}

/// State of one run of the engine under this agent.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine's run.
    pub incarnation: Incarnation,
    /// Requests in one batch.
    pub batch: usize,
    /// Slots.
    pub table: SlotTable,
    /// Whether this agent alone gives orders.
    pub claim: ClaimState,
    /// Load in progress.
    pub plan: Option<LoadPlan>,
    /// Nothing is unloaded before this time, because reports may be older than the takeover.
    pub settle_until: MonoTime,
    /// Another agent has taken the engine over.
    pub is_superseded: bool,
    /// Average time from the wish for a load, or from the load before it, to its end; the wait
    /// for permits is part of it.
    pub load_time: Duration,
    /// Since when an adapter is wanted without a pause; starts anew with each load.
    pub wanted_since: Option<MonoTime>,
    /// Pauses by adapter.
    pub backoffs: BTreeMap<AdapterRef, LoadBackoff>,
    /// Loads that the engine did.
    pub loads_done: u64,
    /// Highest fence of this agent, or of an earlier one at the takeover.
    last_fence: OrderFence,
    /// Highest fence that the engine has reported or answered.
    pub seen_fence: OrderFence,
    term: u64,
}

impl EngineState {
    /// Takes over an engine as it reports itself, in a term above all that it has seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// assert!(engine.plan.is_none());
    /// ```
    pub fn take_over(report: &EngineReport, least_term: u64, settle_until: MonoTime) -> Self {
        Self {
            incarnation: report.incarnation,
            batch: report.batch.max(1),
            table: SlotTable::from_report(report, Duration::ZERO),
            claim: ClaimState::Needed,
            plan: None,
            settle_until,
            is_superseded: false,
            load_time: FIRST_LOAD_TIME,
            wanted_since: None,
            backoffs: BTreeMap::new(),
            loads_done: 0,
            last_fence: report.highest_fence,
            seen_fence: report.highest_fence,
            term: (report.highest_fence.term + 1).max(least_term),
        }
    }

    /// Takes the engine over again after it restarted: what it forgot of the fences, this agent
    /// still knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let report = EngineReport::default();
    /// let engine = EngineState::take_over(&report, 5, Duration::ZERO);
    /// assert!(engine.restarted(&report, Duration::ZERO).term() > engine.term());
    /// ```
    pub fn restarted(&self, report: &EngineReport, settle_until: MonoTime) -> Self {
        let next = Self::take_over(report, self.term + 1, settle_until);
        Self { load_time: self.load_time, loads_done: self.loads_done, ..next }
    }

    /// Term of this agent at this engine.
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

    /// Makes the next order.
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

    /// Tells whether a report shows the effect of all orders so far.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let report = EngineReport::default();
    /// let engine = EngineState::take_over(&report, 0, Duration::ZERO);
    /// assert!(engine.shows_all_orders(&report, true));
    /// ```
    pub fn shows_all_orders(&self, report: &EngineReport, checks_fence: bool) -> bool {
        let is_caught_up = !checks_fence || report.highest_fence >= self.last_fence;
        self.plan.as_ref().is_none_or(|plan| plan.stage == PlanStage::Asking) && is_caught_up
    }

    /// Notes a fence that the engine has seen. Returns the bundle version in it when another
    /// agent's order is behind it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    /// use quillcove_core::fence::OrderFence;
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// engine.note_fence(OrderFence { bundle: 1, term: 9, sequence: 1 });
    /// assert!(engine.is_superseded);
    /// ```
    pub fn note_fence(&mut self, fence: OrderFence) {
        self.seen_fence = self.seen_fence.max(fence);
        if fence.term > self.term {
            self.is_superseded = true;
        }
    }

    /// Tells whether an order to load the adapter, or to make a slot free for it, is out.
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
        planned.is_some_and(|plan| plan.stage != PlanStage::Asking)
    }

    /// Notes a finished load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// engine.note_load(&AdapterRef::new("shuttle", 1), Duration::from_secs(2));
    /// assert_eq!(engine.load_time, Duration::from_millis(1200));
    /// ```
    pub fn note_load(&mut self, adapter: &AdapterRef, took: Duration) {
        self.loads_done += 1;
        self.backoffs.remove(adapter);
        let old = self.load_time.as_secs_f64();
        let new = old + (took.as_secs_f64() - old) * LOAD_TIME_GAIN;
        self.load_time = Duration::from_secs_f64(new);
    }

    /// Notes a failed load and returns the pause before the next try.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::engine::EngineState;
    /// use quillcove_core::agent::event::EngineReport;
    ///
    /// let mut engine = EngineState::take_over(&EngineReport::default(), 0, Duration::ZERO);
    /// let adapter = AdapterRef::new("shuttle", 1);
    /// let first = engine.note_failed_load(&adapter, Duration::ZERO);
    /// assert_eq!(engine.note_failed_load(&adapter, Duration::ZERO), first * 2);
    /// ```
    pub fn note_failed_load(&mut self, adapter: &AdapterRef, now: MonoTime) -> Duration {
        let before = self.backoffs.get(adapter).map(|backoff| backoff.pause);
        let pause = before.map_or(FIRST_BACKOFF, |pause| (pause * 2).min(LAST_BACKOFF));
        self.backoffs.insert(adapter.clone(), LoadBackoff { until: now + pause, pause });
        pause
    }

    /// Tells whether a load of the adapter has to wait after failures.
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
