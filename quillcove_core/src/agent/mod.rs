//! Decisions beside one upstream. The agent is the only process that gives its upstream orders
//! and work, so no agreement with others is needed for what must always hold.

pub mod engine;
pub mod event;
mod loads;
pub mod marks;
pub mod slots;
pub mod view;
pub mod waiting;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use self::engine::{ClaimState, EngineState};
use self::event::{
    AgentAction, AgentEvent, AgentRules, BatchRule, EngineReport, HostState, RunEnd, RunOrder,
    UpstreamKind, WithdrawAnswer, WorkTarget, once_state,
};
use self::marks::{AttemptMark, MarkTable};
use self::waiting::{WaitingAttempt, WaitingRoom};
use crate::adapter::AdapterRef;
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::demand::DemandMeter;
use crate::ids::{AttemptId, HostId, Incarnation, MonoTime};
use crate::once::book::{OnceBook, OnceKey};
use crate::verdict::{RefusalReason, RunVerdict, WorkRefusal};

/// When to come back after a refusal that will soon be over.
const SOON: Duration = Duration::from_secs(1);

/// Demand meters kept; beyond them the faded ones go.
const METER_LIMIT: usize = 4096;

/// Level below which a demand meter may go.
const FADED_LEVEL: f64 = 0.05;

/// One attempt that was handed to the upstream.
#[derive(Clone, Debug)]
struct RunningAttempt {
    target: WorkTarget,
    class: WorkClass,
    once: Option<OnceKey>,
}

/// A pin of a run whose answer broke off: the engine may still work on it for a while.
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
/// machine.handle(Duration::ZERO, AgentEvent::StopAsked, &mut actions);
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
    room: WaitingRoom,
    running: BTreeMap<AttemptId, RunningAttempt>,
    lingering: VecDeque<LingeringPin>,
    engine: Option<EngineState>,
    demand: BTreeMap<AdapterRef, DemandMeter>,
    ask_after: MonoTime,
    is_upstream_up: bool,
    host_state: HostState,
    is_stopping: bool,
    has_stopped: bool,
    is_confirmed: bool,
    last_event: MonoTime,
}

impl AgentMachine {
    /// A machine that knows nothing of its upstream yet and refuses work until it does.
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
            room: WaitingRoom::default(),
            running: BTreeMap::new(),
            lingering: VecDeque::new(),
            engine: None,
            demand: BTreeMap::new(),
            ask_after: MonoTime::ZERO,
            is_upstream_up: false,
            host_state: HostState::Live,
            is_stopping: false,
            has_stopped: false,
            is_confirmed: true,
            last_event: now,
        }
    }

    /// The record of runs that must not happen twice.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let mut machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(!machine.book_mut().issue(Duration::ZERO).is_empty());
    /// ```
    pub fn book_mut(&mut self) -> &mut OnceBook {
        &mut self.book
    }

    /// Takes one event and appends the actions that follow from it.
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
        self.notice_pause(now, out);
        match event {
            AgentEvent::Arrived(order) => self.arrive(now, order, out),
            AgentEvent::Withdrawn(attempt, incarnation) => {
                self.withdraw(now, attempt, incarnation, out)
            },
            AgentEvent::Ended(attempt, end) => self.end_run(now, attempt, end),
            AgentEvent::Reported(report) => self.take_report(now, &report, out),
            AgentEvent::UpstreamLost => self.lose_upstream(now, out),
            AgentEvent::OrderEnded(fence, end) => self.end_order(now, fence, end, out),
            AgentEvent::PermitAnswered(answer) => self.take_permit(now, answer, out),
            AgentEvent::BundleTaken(bundle) => self.take_bundle(now, bundle),
            AgentEvent::HostSeen(state) => self.see_host(now, state, out),
            AgentEvent::StopAsked => self.stop(now, out),
            AgentEvent::Ticked => self.tick(now),
        }
        self.progress(now, out);
    }

    /// A process that was paused holds beliefs of which it can not tell how old they are. It
    /// starts nothing before the host list was read again.
    fn notice_pause(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let gap = now.saturating_sub(self.last_event);
        self.last_event = now;
        if gap > self.rules.pause_limit {
            self.is_confirmed = false;
            out.push(AgentAction::ReadHosts);
        }
    }

    /// Does all that has become possible.
    fn progress(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.refuse_late(now, out);
        self.refuse_hopeless(now, out);
        self.release_lingering(now);
        if self.is_confirmed && self.hold_claim(now, out) {
            self.start_ready(now, out);
            self.advance_loads(now, out);
        }
        if self.is_stopping && self.running.is_empty() && !self.has_stopped {
            self.has_stopped = true;
            out.push(AgentAction::Stopped);
        }
    }

    fn arrive(&mut self, now: MonoTime, order: RunOrder, out: &mut Vec<AgentAction>) {
        let attempt = order.attempt;
        if let Err(refusal) = self.check_identity(&order) {
            out.push(AgentAction::Refuse(attempt, refusal));
            return;
        }
        self.note_demand(now, &order);
        match self.admit(now, &order, out) {
            Ok(once) => {
                self.marks.set(attempt, AttemptMark::Waiting);
                self.room.push(WaitingAttempt { order, once, since: now });
            },
            Err(refusal) => self.refuse(now, attempt, refusal, out),
        }
    }

    /// Checks that the order is meant for this run of the agent and is no copy.
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

    fn note_demand(&mut self, now: MonoTime, order: &RunOrder) {
        if let WorkTarget::Adapter(adapter) = &order.target {
            let meter = self.demand.entry(adapter.clone()).or_default();
            meter.add(now, 1.0, self.rules.half_life);
        }
    }

    /// Decides whether an order may wait here. The claim comes last, so that no refusal has to
    /// give it back.
    fn admit(
        &mut self,
        now: MonoTime,
        order: &RunOrder,
        out: &mut Vec<AgentAction>,
    ) -> Result<Option<OnceKey>, WorkRefusal> {
        self.check_presence()?;
        self.check_target(order)?;
        if order.deadline <= now {
            return Err(WorkRefusal::not_run(RefusalReason::DeadlinePassed, None));
        }
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

    fn check_presence(&self) -> Result<(), WorkRefusal> {
        let is_superseded = self.engine.as_ref().is_some_and(|engine| engine.is_superseded);
        if self.is_stopping || self.host_state == HostState::Leaving || is_superseded {
            return Err(WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO)));
        }
        let is_known = self.rules.kind == UpstreamKind::Service || self.engine.is_some();
        if !self.is_upstream_up || !is_known {
            return Err(WorkRefusal::not_run(RefusalReason::UpstreamDown, Some(SOON)));
        }
        Ok(())
    }

    fn check_target(&self, order: &RunOrder) -> Result<(), WorkRefusal> {
        let Some(bundle) = &self.bundle else {
            return Err(WorkRefusal::not_run(RefusalReason::BundleMissing, Some(SOON)));
        };
        let is_served = match (&order.target, self.rules.kind) {
            (WorkTarget::Adapter(adapter), UpstreamKind::Engine) => bundle.serves(adapter),
            (WorkTarget::Service, UpstreamKind::Service) => true,
            _ => false,
        };
        match is_served {
            true => Ok(()),
            false => Err(WorkRefusal::not_run(RefusalReason::Unknown, Some(SOON))),
        }
    }

    /// Keeps the queue bounded: a less urgent attempt makes room for a more urgent one.
    fn make_room(
        &mut self,
        now: MonoTime,
        class: WorkClass,
        out: &mut Vec<AgentAction>,
    ) -> Result<(), WorkRefusal> {
        if self.room.len() < self.rules.queue_limit {
            return Ok(());
        }
        let overflow = WorkRefusal::not_run(RefusalReason::Overloaded, Some(SOON));
        match self.room.take_less_urgent(class) {
            Some(attempt) => {
                self.refuse_waiting(now, attempt, overflow, out);
                Ok(())
            },
            None => Err(overflow),
        }
    }

    /// Refuses an attempt that waits, and gives its claim back.
    fn refuse_waiting(
        &mut self,
        now: MonoTime,
        attempt: WaitingAttempt,
        refusal: WorkRefusal,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(once) = &attempt.once {
            self.book.settle(now, once, None);
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
        self.marks.close(attempt, AttemptMark::Refused, now, self.rules.mark_lifetime);
        out.push(AgentAction::Refuse(attempt, refusal));
    }

    fn refuse_all(&mut self, now: MonoTime, refusal: WorkRefusal, out: &mut Vec<AgentAction>) {
        for attempt in self.room.take_where(|_| true) {
            self.refuse_waiting(now, attempt, refusal, out);
        }
    }

    fn refuse_late(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.room.is_empty() {
            return;
        }
        for attempt in self.room.take_where(|attempt| attempt.order.deadline <= now) {
            let refusal = WorkRefusal::not_run(RefusalReason::DeadlinePassed, None);
            self.refuse_waiting(now, attempt, refusal, out);
        }
    }

    fn withdraw(
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
                self.marks.close(attempt, AttemptMark::Refused, now, lifetime);
                WithdrawAnswer::NotRun
            },
            Some(AttemptMark::Refused) => WithdrawAnswer::NotRun,
            Some(AttemptMark::Started) => WithdrawAnswer::MayHaveRun,
            Some(AttemptMark::Waiting) => {
                if let Some(waiting) = self.room.take(attempt) {
                    let refusal = WorkRefusal::not_run(RefusalReason::Withdrawn, None);
                    self.refuse_waiting(now, waiting, refusal, out);
                }
                WithdrawAnswer::NotRun
            },
        };
        out.push(AgentAction::AnswerWithdrawal(attempt, answer));
    }

    fn start_ready(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        while self.running.len() < self.capacity() {
            let is_ready = |target: &WorkTarget| self.is_target_ready(target);
            let may_start_batch = self.may_start_batch(now);
            let is_admitted = |class| class != WorkClass::Batch || may_start_batch;
            let Some(attempt) = self.room.first(is_ready, is_admitted) else { return };
            let Some(attempt) = self.room.take(attempt) else { return };
            self.start(now, attempt, out);
        }
    }

    fn is_target_ready(&self, target: &WorkTarget) -> bool {
        match (target, &self.engine) {
            (WorkTarget::Service, _) => true,
            (WorkTarget::Adapter(adapter), Some(engine)) => engine.table.is_ready(adapter),
            (WorkTarget::Adapter(_), None) => false,
        }
    }

    /// Batch-class work fills places beside other work. Alone it starts when enough of it is
    /// gathered to fill the batch, or when half of somebody's time is over.
    fn may_start_batch(&self, now: MonoTime) -> bool {
        let places = (self.capacity() as f64 * self.rules.batch_share).ceil() as usize;
        if self.running_of(WorkClass::Batch) >= places {
            return false;
        }
        let is_eager = self.rules.batch == BatchRule::Eager;
        if is_eager || self.rules.kind == UpstreamKind::Service || !self.running.is_empty() {
            return true;
        }
        let is_ready = |target: &WorkTarget| self.is_target_ready(target);
        let gathered = self.room.batch_class(is_ready);
        let is_half_over = |attempt: &&WaitingAttempt| {
            now.saturating_sub(attempt.since) >= attempt.order.deadline.saturating_sub(now)
        };
        gathered.len() >= places || gathered.iter().any(is_half_over)
    }

    fn start(&mut self, now: MonoTime, attempt: WaitingAttempt, out: &mut Vec<AgentAction>) {
        let id = attempt.order.attempt;
        self.note_use(now, &attempt.order.target);
        self.marks.set(id, AttemptMark::Started);
        let running = RunningAttempt {
            target: attempt.order.target,
            class: attempt.order.class,
            once: attempt.once,
        };
        self.running.insert(id, running);
        out.push(AgentAction::Start(id));
    }

    fn capacity(&self) -> usize {
        match (self.rules.kind, &self.engine) {
            (UpstreamKind::Service, _) => self.rules.service_limit,
            (UpstreamKind::Engine, Some(engine)) => engine.batch + self.rules.engine_margin,
            (UpstreamKind::Engine, None) => 0,
        }
    }

    fn running_of(&self, class: WorkClass) -> usize {
        self.running.values().filter(|running| running.class == class).count()
    }

    fn end_run(&mut self, now: MonoTime, attempt: AttemptId, end: RunEnd) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(once) = &running.once {
            self.book.settle(now, once, once_state(end));
        }
        let mark = match end {
            RunEnd::NotRun => AttemptMark::Refused,
            RunEnd::Complete(_) | RunEnd::Broken => AttemptMark::Started,
        };
        self.marks.close(attempt, mark, now, self.rules.mark_lifetime);
        self.note_use(now, &running.target);
        if let (WorkTarget::Adapter(adapter), RunEnd::Broken) = (running.target, end) {
            let until = now + self.rules.settle_time;
            self.lingering.push_back(LingeringPin { until, adapter });
        }
    }

    /// Lets go of runs that broke off, once the engine must have noticed.
    fn release_lingering(&mut self, now: MonoTime) {
        while self.lingering.front().is_some_and(|pin| pin.until <= now) {
            self.lingering.pop_front();
        }
    }

    fn note_use(&mut self, now: MonoTime, target: &WorkTarget) {
        let Some(engine) = &mut self.engine else { return };
        let WorkTarget::Adapter(adapter) = target else { return };
        if let Some(slot) = engine.table.get_mut(adapter) {
            slot.used = now;
        }
    }

    /// Runs of this agent that use an adapter, whichever run of the engine they began in: from
    /// their start to their last byte, and after a broken end until the engine must have noticed.
    fn pins(&self, adapter: &AdapterRef) -> usize {
        let uses = |running: &&RunningAttempt| match &running.target {
            WorkTarget::Adapter(other) => other == adapter,
            WorkTarget::Service => false,
        };
        let running = self.running.values().filter(uses).count();
        let lingering = self.lingering.iter().filter(|pin| pin.adapter == *adapter).count();
        running + lingering
    }

    fn take_report(&mut self, now: MonoTime, report: &EngineReport, out: &mut Vec<AgentAction>) {
        self.is_upstream_up = true;
        if self.rules.kind == UpstreamKind::Service {
            return;
        }
        self.witness(report.highest_fence.bundle, out);
        let mut engine = match self.engine.take() {
            Some(engine) if engine.incarnation == report.incarnation => engine,
            other => return self.take_over(now, other, report, out),
        };
        engine.note_fence(report.highest_fence);
        let is_settling = now < engine.settle_until;
        let shows_all = engine.shows_all_orders(report, self.rules.checks_fence);
        let pins = |adapter: &AdapterRef| self.pins(adapter);
        engine.table.update(report, pins, is_settling, shows_all, now);
        self.engine = Some(engine);
    }

    /// Begins anew with an engine that is new to this agent or has restarted.
    fn take_over(
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
            Some(before) => before.restarted(report, settle_until),
            None => EngineState::take_over(report, self.rules.least_term, settle_until),
        };
        if !self.rules.checks_fence {
            engine.claim = ClaimState::Waiting(now + self.rules.order_lifetime);
        }
        self.engine = Some(engine);
    }

    /// An engine acted on a newer bundle than this agent holds: acting on the older one would
    /// take the newer one back.
    fn witness(&mut self, version: u64, out: &mut Vec<AgentAction>) {
        let held = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if version > held {
            self.bundle = None;
            out.push(AgentAction::WitnessBundle(version));
        }
    }

    fn lose_upstream(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.is_upstream_up = false;
        let refusal = WorkRefusal::not_run(RefusalReason::UpstreamDown, Some(SOON));
        self.refuse_all(now, refusal, out);
    }

    fn take_bundle(&mut self, now: MonoTime, bundle: Arc<FleetBundle>) {
        let seen = self.engine.as_ref().map_or(0, |engine| engine.seen_fence.bundle);
        let held = self.bundle.as_ref().map_or(0, |held| held.version);
        if bundle.version < seen.max(held) {
            return;
        }
        if let Some(held) = &self.bundle
            && held.services != bundle.services
        {
            self.book.doubt_keys(now);
        }
        self.bundle = Some(bundle);
    }

    fn see_host(&mut self, now: MonoTime, state: Option<HostState>, out: &mut Vec<AgentAction>) {
        self.is_confirmed = true;
        let Some(state) = state else { return };
        self.host_state = state;
        if state == HostState::Leaving {
            self.refuse_leaving(now, out);
        }
    }

    fn stop(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.is_stopping = true;
        self.refuse_leaving(now, out);
    }

    fn refuse_leaving(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let refusal = WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO));
        self.refuse_all(now, refusal, out);
    }

    fn tick(&mut self, now: MonoTime) {
        self.marks.expire(now);
        if self.demand.len() > METER_LIMIT {
            let half_life = self.rules.half_life;
            self.demand.retain(|_, meter| meter.level(now, half_life) > FADED_LEVEL);
        }
    }
}

/// The verdict that goes with the end of a run.
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
