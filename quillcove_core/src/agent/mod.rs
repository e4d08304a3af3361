//! The agent: a process beside one upstream that queues and starts attempts there and, at a model
//! engine, loads and unloads adapters. It is the only process that sends work and orders to its
//! upstream, so its safety rules need no agreement with other processes.

mod admission;
mod crashes;
pub mod engine;
pub mod event;
mod limit;
mod loads;
pub mod marks;
mod orders;
mod running;
mod said;
pub mod slots;
pub mod view;
pub mod waiting;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use self::engine::{ClaimState, EngineState};
use self::event::{
    AgentAction, AgentEvent, AgentRules, EngineReport, HostState, RunEnd, UpstreamKind, WorkTarget,
};
use self::marks::MarkTable;
use self::waiting::WaitQueue;
use crate::adapter::AdapterRef;
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::crash::digest::RequestIdentity;
use crate::crash::watch::CrashTracker;
use crate::demand::DemandMeter;
use crate::ids::{AttemptId, HostId, Incarnation, MonoTime};
use crate::once::book::{OnceBook, OnceKey};
use crate::standing::UpstreamStatus;
use crate::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};

/// Number of demand meters above which those of faded demand are removed.
const MAX_DEMAND_METERS: usize = 4096;

/// Demand level at or below which a meter may be removed.
const MIN_DEMAND_LEVEL: f64 = 0.05;

/// One attempt that was handed to the upstream.
#[derive(Clone, Debug)]
struct RunningAttempt {
    started: MonoTime,
    target: WorkTarget,
    class: WorkClass,
    once: Option<OnceKey>,
    identity: Option<RequestIdentity>,
}

/// A pin on the adapter of a run whose response was cut off: the engine may continue to process it
/// for a while.
#[derive(Clone, Debug)]
struct LingeringPin {
    until: MonoTime,
    adapter: AdapterRef,
}

/// The agent's state machine.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::agent::AgentMachine;
/// use quillcove_core::agent::event::{AgentAction, AgentEvent, AgentRules};
/// use quillcove_core::once::book::{BookLimits, OnceBook};
///
/// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
/// let mut machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
/// let mut actions = Vec::new();
/// machine.handle(Duration::ZERO, AgentEvent::StopRequested, &mut actions);
/// assert_eq!(actions, [AgentAction::Stopped]);
/// ```
#[derive(Clone, Debug)]
pub struct AgentMachine {
    host: HostId,
    incarnation: Incarnation,
    rules: AgentRules,
    book: OnceBook,
    bundle: Option<Arc<FleetBundle>>,
    marks: MarkTable,
    wait_queue: WaitQueue,
    running: BTreeMap<AttemptId, RunningAttempt>,
    lingering_pins: VecDeque<LingeringPin>,
    engine: Option<EngineState>,
    demand: BTreeMap<AdapterRef, DemandMeter>,
    next_permit_request_at: MonoTime,
    is_upstream_up: bool,
    /// What the current process start of the upstream has reported about itself.
    upstream_status: UpstreamStatus,
    /// Consecutive reports that do not mention draining, since the upstream announced it.
    reports_without_draining: u32,
    host_state: HostState,
    is_stopping: bool,
    has_stopped: bool,
    is_host_state_confirmed: bool,
    /// Detects fatal requests of the upstream.
    crash_watch: CrashTracker,
    /// Number of process starts of the upstream that this process has seen.
    upstream_starts: u64,
    /// Incarnation in the upstream's latest report.
    upstream_incarnation: Incarnation,
    last_event_at: MonoTime,
}

impl AgentMachine {
    /// Creates a machine with no information about its upstream; it rejects work until the upstream
    /// has reported and a bundle is in force.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// ```
    pub fn new(
        host: &str,
        incarnation: Incarnation,
        rules: AgentRules,
        book: OnceBook,
        now: MonoTime,
    ) -> Self {
        Self {
            host: host.to_string(),
            incarnation,
            rules,
            book,
            bundle: None,
            marks: MarkTable::default(),
            wait_queue: WaitQueue::default(),
            running: BTreeMap::new(),
            lingering_pins: VecDeque::new(),
            engine: None,
            demand: BTreeMap::new(),
            next_permit_request_at: MonoTime::ZERO,
            is_upstream_up: false,
            upstream_status: UpstreamStatus::default(),
            reports_without_draining: 0,
            host_state: HostState::Live,
            is_stopping: false,
            has_stopped: false,
            is_host_state_confirmed: true,
            crash_watch: CrashTracker::default(),
            upstream_starts: 0,
            upstream_incarnation: 0,
            last_event_at: now,
        }
    }

    /// Returns the record of runs that must not happen twice.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let mut machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(!machine.once_book_mut().issue(Duration::ZERO).is_empty());
    /// ```
    pub fn once_book_mut(&mut self) -> &mut OnceBook {
        &mut self.book
    }

    /// Handles one event and appends the resulting actions to `out`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::{AgentEvent, AgentRules};
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let mut machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// let mut actions = Vec::new();
    /// machine.handle(Duration::ZERO, AgentEvent::Ticked, &mut actions);
    /// assert!(actions.is_empty());
    /// ```
    pub fn handle(&mut self, now: MonoTime, event: AgentEvent, out: &mut Vec<AgentAction>) {
        self.detect_suspension(now, out);
        match event {
            AgentEvent::AttemptReceived(order) => self.receive_attempt(now, order, out),
            AgentEvent::Withdrawn(attempt, incarnation) => {
                self.withdraw(now, attempt, incarnation, out)
            },
            AgentEvent::RunEnded(attempt, end) => self.finish_run(now, attempt, end),
            AgentEvent::ReportReceived(report) => self.apply_report(now, &report, out),
            AgentEvent::UpstreamUnreachable => self.record_upstream_loss(now, out),
            AgentEvent::NoticeReceived(notice) => self.apply_notice(now, &notice, out),
            AgentEvent::NoLimitAnnounced(attempt) => self.record_no_limit(now, attempt),
            AgentEvent::OrderEnded(fence, end) => self.apply_order_outcome(now, fence, end, out),
            AgentEvent::PermitAnswered(answer) => self.apply_permit_answer(now, answer, out),
            AgentEvent::BundleActivated(bundle) => self.apply_bundle(now, bundle),
            AgentEvent::HostStateRead(state) => self.apply_host_state(now, state, out),
            AgentEvent::StopRequested => self.begin_stop(now, out),
            AgentEvent::Ticked => self.tick(now),
        }
        self.progress(now, out);
    }

    /// Detects a suspension of this process. After one, the age of its information is unknown, so
    /// it starts nothing until the host list has been read again.
    fn detect_suspension(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let gap = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        if gap > self.rules.suspension_limit {
            self.is_host_state_confirmed = false;
            out.push(AgentAction::ReadHosts);
        }
    }

    /// Performs every step that has become possible.
    fn progress(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        // A stopped process may still have open connections, while its successor controls the engine.
        if self.has_stopped {
            return;
        }
        self.refuse_expired(now, out);
        self.refuse_infeasible(now, out);
        self.refuse_over_rate_limit(now, out);
        self.expire_pins(now);
        if self.is_host_state_confirmed && self.ensure_claim(now, out) {
            self.start_ready(now, out);
            // An engine that is draining or in a requested pause gets no orders either.
            if self.check_upstream_status(now).is_ok() {
                self.advance_loads(now, out);
            }
        }
        if self.is_stopping && self.running.is_empty() {
            self.has_stopped = true;
            self.drop_plan(out);
            out.push(AgentAction::Stopped);
        }
    }

    fn apply_report(&mut self, now: MonoTime, report: &EngineReport, out: &mut Vec<AgentAction>) {
        if !self.is_upstream_up || self.upstream_incarnation != report.incarnation {
            self.record_upstream_exit(now);
            self.upstream_starts += 1;
            self.upstream_status = UpstreamStatus::default();
            self.upstream_incarnation = report.incarnation;
        }
        self.is_upstream_up = true;
        self.record_reported_draining(now, report.leaving, out);
        if self.rules.kind == UpstreamKind::Service {
            return;
        }
        self.drop_outdated_bundle(report.highest_fence.bundle, out);
        let mut engine = match self.engine.take() {
            Some(engine) if engine.incarnation == report.incarnation => engine,
            other => return self.take_over_engine(now, other, report, out),
        };
        engine.record_fence(report.highest_fence);
        let is_settling = now < engine.settle_until;
        let reflects_all = engine.reflects_all_orders(report, self.rules.checks_fence);
        let pins = |adapter: &AdapterRef| self.pin_count(adapter);
        engine.slot_table.update(report, pins, is_settling, reflects_all, now);
        self.engine = Some(engine);
    }

    /// Takes over an engine that is new to this agent or has restarted.
    fn take_over_engine(
        &mut self,
        now: MonoTime,
        before: Option<EngineState>,
        report: &EngineReport,
        out: &mut Vec<AgentAction>,
    ) {
        if before.as_ref().is_some_and(|engine| engine.plan.is_some()) {
            out.push(AgentAction::ReturnPermit);
        }
        let settle_until = now + self.rules.settle_time;
        let mut engine = match before {
            Some(before) => before.after_restart(report, settle_until),
            None => EngineState::take_over(report, self.rules.min_term, settle_until),
        };
        if !self.rules.checks_fence {
            engine.claim = ClaimState::Waiting(now + self.rules.order_lifetime);
        }
        self.engine = Some(engine);
    }

    /// Drops this agent's bundle when the engine has acted on a newer one: acting on the older
    /// bundle would undo the newer one.
    pub(super) fn drop_outdated_bundle(&mut self, version: u64, out: &mut Vec<AgentAction>) {
        let held = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if version > held {
            self.bundle = None;
            out.push(AgentAction::ReportNewerBundle(version));
        }
    }

    fn record_upstream_loss(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.is_upstream_up = false;
        self.record_upstream_exit(now);
        let refusal = WorkRefusal::not_run(RefusalReason::UpstreamDown, Some(SHORT_RETRY_DELAY));
        self.refuse_all(now, refusal, out);
    }

    fn apply_bundle(&mut self, now: MonoTime, bundle: Arc<FleetBundle>) {
        let seen = self.engine.as_ref().map_or(0, |engine| engine.seen_fence.bundle);
        let held = self.bundle.as_ref().map_or(0, |held| held.version);
        if bundle.version < seen.max(held) {
            return;
        }
        if let Some(held) = &self.bundle
            && held.services != bundle.services
        {
            self.book.mark_keys_uncertain(now);
        }
        self.bundle = Some(bundle);
    }

    fn apply_host_state(
        &mut self,
        now: MonoTime,
        state: Option<HostState>,
        out: &mut Vec<AgentAction>,
    ) {
        self.is_host_state_confirmed = true;
        let Some(state) = state else { return };
        self.host_state = state;
        if state == HostState::Leaving {
            self.refuse_all_draining(now, out);
        }
    }

    fn begin_stop(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.is_stopping = true;
        self.refuse_all_draining(now, out);
    }

    fn refuse_all_draining(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let refusal = WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO));
        self.refuse_all(now, refusal, out);
    }

    fn tick(&mut self, now: MonoTime) {
        self.marks.expire(now);
        if self.demand.len() > MAX_DEMAND_METERS {
            let half_life = self.rules.half_life;
            self.demand.retain(|_, meter| meter.level(now, half_life) > MIN_DEMAND_LEVEL);
        }
    }
}

/// Returns the verdict for the end of a run.
///
/// ```
/// use quillcove_core::agent::event::RunEnd;
/// use quillcove_core::agent::verdict_of;
/// use quillcove_core::verdict::RunVerdict;
///
/// assert_eq!(verdict_of(RunEnd::Broken), RunVerdict::MayHaveRun);
/// ```
pub fn verdict_of(end: RunEnd) -> RunVerdict {
    match end {
        RunEnd::Complete(_) => RunVerdict::Ran,
        RunEnd::NotRun => RunVerdict::NotRun,
        RunEnd::Broken => RunVerdict::MayHaveRun,
    }
}
