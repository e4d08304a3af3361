//! An agent beside a model engine: two adapters, one slot, and a network that loses, doubles and
//! delays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::adapter::AdapterRef;
use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{
    AgentAction, AgentEvent, AgentRules, EngineOrder, EngineReport, OrderEnd, OrderKind,
    PacingRule, RunEnd, RunOrder, WithdrawAnswer, WorkTarget,
};
use quillcove_core::bundle::FleetBundle;
use quillcove_core::bundle::text::parse;
use quillcove_core::class::WorkClass;
use quillcove_core::fence::OrderFence;
use quillcove_core::ids::{AttemptId, BundleVersion, Incarnation, MonoTime};
use quillcove_core::once::book::{BookLimits, OnceBook};
use quillcove_core::verdict::RunVerdict;

use super::search::World;

/// Time after which the engine must have noticed a closed connection.
const SETTLE: Duration = Duration::from_secs(2);

/// What may happen how often.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub arrivals: u32,
    pub copies: u32,
    pub withdrawals: u32,
    pub engine_restarts: u32,
    pub agent_restarts: u32,
    pub unanswered_orders: u32,
    pub doubled_orders: u32,
    pub broken_runs: u32,
    pub late_reports: u32,
    pub time_steps: u32,
    pub bundles: u32,
    pub stops: u32,
}

impl Bounds {
    pub const NOTHING: Self = Self {
        arrivals: 0,
        copies: 0,
        withdrawals: 0,
        engine_restarts: 0,
        agent_restarts: 0,
        unanswered_orders: 0,
        doubled_orders: 0,
        broken_runs: 0,
        late_reports: 0,
        time_steps: 0,
        bundles: 0,
        stops: 0,
    };
}

/// Wrong rules that the search must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongRule {
    /// None: the product's rules.
    Right,
    /// A run's pin goes at its first byte.
    UnpinAtFirstByte,
    /// A new agent unloads at once, without waiting for late reports.
    NoSettling,
    /// A broken run's pin goes at once.
    UnpinBroken,
    /// The engine does not check fences and the agent does not know it.
    UncheckedFence,
    /// Refused attempts leave no mark.
    NoMarks,
    /// A broken connection counts as not run.
    BrokenIsNotRun,
    /// A new agent works before an order of its own has raised the fence.
    NoClaim,
    /// A new agent is not told which bundle the engine acted on.
    NoWitness,
}

/// The engine as its published protocol describes it.
#[derive(Clone, Debug, Default)]
struct SpecEngine {
    incarnation: Incarnation,
    highest: OrderFence,
    loaded: BTreeSet<AdapterRef>,
    running: BTreeMap<AttemptId, AdapterRef>,
}

/// A request on its connection from agent to engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RunState {
    /// Sent.
    Underway,
    /// The engine works on it.
    Begun,
    /// Its connection is closed; the engine has not noticed.
    Abandoned,
}

#[derive(Clone, Debug)]
pub struct EngineWorld {
    rule: WrongRule,
    left: Bounds,
    now: MonoTime,
    agent: AgentMachine,
    agent_number: Incarnation,
    agent_bundle: BundleVersion,
    /// Bundle that the engine had acted on when this agent took over.
    floor: BundleVersion,
    engine: SpecEngine,
    runs: BTreeMap<AttemptId, (AdapterRef, RunState)>,
    orders: Vec<EngineOrder>,
    awaited: Option<OrderFence>,
    late_report: Option<EngineReport>,
    arrived: Vec<RunOrder>,
    told_not_run: BTreeSet<AttemptId>,
    fault: Option<String>,
}

fn bundle(version: BundleVersion) -> Arc<FleetBundle> {
    let text = format!(
        "[bundle]\nversion = {version}\n[models.base]\n[adapters]\n\
         a = {{ model = \"base\", current = 1 }}\nb = {{ model = \"base\", current = 1 }}\n"
    );
    Arc::new(parse(&text).expect("the bundle is right"))
}

impl EngineWorld {
    pub fn new(rule: WrongRule, left: Bounds) -> Self {
        let agent = Self::agent(rule, 1, Duration::ZERO);
        let mut world = Self {
            rule,
            left,
            now: Duration::ZERO,
            agent,
            agent_number: 1,
            agent_bundle: 0,
            floor: 0,
            engine: SpecEngine { incarnation: 1, ..SpecEngine::default() },
            runs: BTreeMap::new(),
            orders: Vec::new(),
            awaited: None,
            late_report: None,
            arrived: Vec::new(),
            told_not_run: BTreeSet::new(),
            fault: None,
        };
        world.take_bundle(1);
        let report = world.report();
        world.feed(AgentEvent::ReportReceived(report));
        if !world.orders.is_empty() {
            world.deliver(0);
        }
        world
    }

    /// An order reaches the engine, and its answer the agent if that still waits for it.
    fn deliver(&mut self, place: usize) {
        let order = self.orders.remove(place);
        self.deliver_copy(&order);
    }

    fn deliver_copy(&mut self, order: &EngineOrder) {
        let end = self.apply(order);
        if self.awaited == Some(order.fence) {
            self.awaited = None;
            self.feed(AgentEvent::OrderEnded(order.fence, end));
        }
    }

    fn agent(rule: WrongRule, number: Incarnation, now: MonoTime) -> AgentMachine {
        let rules = AgentRules {
            pacing: PacingRule::None,
            min_term: number,
            suspension_limit: Duration::from_secs(3600),
            settle_time: match rule {
                WrongRule::NoSettling | WrongRule::UnpinBroken => Duration::ZERO,
                _ => SETTLE,
            },
            mark_lifetime: match rule {
                WrongRule::NoMarks => Duration::ZERO,
                _ => Duration::from_secs(3600),
            },
            ..AgentRules::default()
        };
        let book = OnceBook::new("e", number, [1; 32], BookLimits::default(), now);
        AgentMachine::new("e", number, rules, book, now)
    }

    fn feed(&mut self, event: AgentEvent) {
        let mut actions = Vec::new();
        self.agent.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: AgentAction) {
        match action {
            AgentAction::StartAttempt(attempt) => self.start(attempt),
            AgentAction::Refuse(attempt, refusal) if refusal.verdict == RunVerdict::NotRun => {
                self.tell_not_run(attempt);
            },
            AgentAction::AnswerWithdrawal(attempt, WithdrawAnswer::NotRun) => {
                self.tell_not_run(attempt);
            },
            AgentAction::SendOrder(order)
                if self.rule == WrongRule::NoClaim && order.kind == OrderKind::Claim =>
            {
                self.feed(AgentEvent::OrderEnded(order.fence, OrderEnd::Done));
            },
            AgentAction::SendOrder(order) => {
                self.awaited = Some(order.fence);
                self.orders.push(order);
            },
            _ => {},
        }
    }

    fn start(&mut self, attempt: AttemptId) {
        let order = self.arrived.iter().find(|order| order.attempt == attempt);
        let Some(WorkTarget::Adapter(adapter)) = order.map(|order| order.target.clone()) else {
            return;
        };
        if self.told_not_run.contains(&attempt) {
            self.fault = Some(format!("attempt {attempt} starts after not-run was told"));
        }
        if self.agent_bundle < self.floor {
            self.fault = Some(format!("attempt {attempt} starts under an older bundle"));
        }
        self.runs.insert(attempt, (adapter, RunState::Underway));
    }

    fn tell_not_run(&mut self, attempt: AttemptId) {
        if self.runs.contains_key(&attempt) || self.engine.running.contains_key(&attempt) {
            self.fault = Some(format!("not-run is told of attempt {attempt}, which runs"));
        }
        self.told_not_run.insert(attempt);
    }

    fn take_bundle(&mut self, version: BundleVersion) {
        self.agent_bundle = version;
        self.feed(AgentEvent::BundleActivated(bundle(version)));
    }

    fn report(&self) -> EngineReport {
        let mut running: BTreeMap<AdapterRef, usize> = BTreeMap::new();
        for adapter in self.engine.running.values() {
            *running.entry(adapter.clone()).or_default() += 1;
        }
        let mut highest_fence = self.engine.highest;
        if self.rule == WrongRule::NoWitness {
            highest_fence.bundle = 0;
        }
        EngineReport {
            leaving: false,
            incarnation: self.engine.incarnation,
            highest_fence,
            slots: 1,
            batch: 2,
            loaded: self.engine.loaded.iter().cloned().collect(),
            running: running.into_iter().collect(),
        }
    }

    /// The engine takes an order.
    fn apply(&mut self, order: &EngineOrder) -> OrderEnd {
        let is_stale = match self.rule {
            WrongRule::UncheckedFence => false,
            WrongRule::NoWitness => {
                let position = |fence: OrderFence| (fence.term, fence.sequence);
                position(order.fence) <= position(self.engine.highest)
            },
            _ => order.fence <= self.engine.highest,
        };
        if is_stale {
            return OrderEnd::Stale(self.engine.highest);
        }
        self.engine.highest = self.engine.highest.max(order.fence);
        match &order.kind {
            OrderKind::Load(adapter) if self.engine.loaded.is_empty() => {
                self.engine.loaded.insert(adapter.clone());
                OrderEnd::Done
            },
            OrderKind::Load(adapter) if self.engine.loaded.contains(adapter) => OrderEnd::Done,
            OrderKind::Load(_) => OrderEnd::Failed,
            OrderKind::Claim => OrderEnd::Done,
            OrderKind::Unload(adapter) => {
                if self.engine.running.values().any(|running| running == adapter) {
                    self.fault = Some(format!("{adapter} is unloaded while it serves"));
                }
                self.engine.loaded.remove(adapter);
                OrderEnd::Done
            },
        }
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn arrivals(&self, steps: &mut Vec<(String, Self)>) {
        if self.left.arrivals > 0 {
            for name in ["a", "b"] {
                let attempt = self.arrived.len() as AttemptId + 1;
                let order = RunOrder {
                    attempt,
                    incarnation: self.agent_number,
                    target: WorkTarget::Adapter(AdapterRef::new(name, 1)),
                    class: WorkClass::Normal,
                    deadline: Duration::from_secs(100),
                    caller: String::new(),
                    claim: None,
                    identity: None,
                };
                let next = self.with(|world| {
                    world.left.arrivals -= 1;
                    world.arrived.push(order.clone());
                    world.feed(AgentEvent::AttemptReceived(order));
                });
                steps.push((format!("attempt {attempt} for {name} arrives"), next));
            }
        }
        for order in &self.arrived {
            let attempt = order.attempt;
            if self.left.copies > 0 {
                let next = self.with(|world| {
                    world.left.copies -= 1;
                    world.feed(AgentEvent::Ticked);
                    world.feed(AgentEvent::AttemptReceived(order.clone()));
                });
                steps.push((format!("a copy of attempt {attempt} arrives"), next));
            }
            if self.left.withdrawals > 0 {
                let next = self.with(|world| {
                    world.left.withdrawals -= 1;
                    world.feed(AgentEvent::Withdrawn(attempt, order.incarnation));
                });
                steps.push((format!("attempt {attempt} is withdrawn"), next));
            }
        }
    }

    fn order_steps(&self, steps: &mut Vec<(String, Self)>) {
        for (place, order) in self.orders.iter().enumerate() {
            let next = self.with(|world| world.deliver(place));
            steps.push((format!("{order:?} reaches the engine"), next));
            if self.left.doubled_orders > 0 {
                let next = self.with(|world| {
                    world.left.doubled_orders -= 1;
                    world.deliver_copy(order);
                });
                steps.push((format!("{order:?} reaches the engine, and a copy is late"), next));
            }
            if self.awaited == Some(order.fence) && self.left.unanswered_orders > 0 {
                let next = self.with(|world| {
                    world.left.unanswered_orders -= 1;
                    world.awaited = None;
                    world.feed(AgentEvent::OrderEnded(order.fence, OrderEnd::Unknown));
                });
                steps.push((format!("{order:?} gets no answer and is late"), next));
            }
        }
    }

    fn run_steps(&self, steps: &mut Vec<(String, Self)>) {
        for (attempt, (adapter, state)) in &self.runs {
            let attempt = *attempt;
            match state {
                RunState::Underway => {
                    let next = self.with(|world| world.begin_run(attempt, adapter));
                    steps.push((format!("attempt {attempt} reaches the engine"), next));
                },
                RunState::Begun => {
                    let next = self.with(|world| {
                        world.runs.remove(&attempt);
                        world.engine.running.remove(&attempt);
                        world.feed(AgentEvent::RunEnded(attempt, RunEnd::Complete(200)));
                    });
                    steps.push((format!("attempt {attempt} is answered whole"), next));
                },
                RunState::Abandoned => {
                    let next = self.with(|world| {
                        world.runs.remove(&attempt);
                        world.engine.running.remove(&attempt);
                    });
                    steps.push((format!("the engine drops attempt {attempt}"), next));
                },
            }
            if *state != RunState::Abandoned && self.left.broken_runs > 0 {
                let next = self.with(|world| {
                    world.left.broken_runs -= 1;
                    world.break_run(attempt);
                });
                steps.push((format!("the connection of attempt {attempt} breaks"), next));
            }
        }
    }

    fn begin_run(&mut self, attempt: AttemptId, adapter: &AdapterRef) {
        if !self.engine.loaded.contains(adapter) {
            self.runs.remove(&attempt);
            self.tell_not_run(attempt);
            self.feed(AgentEvent::RunEnded(attempt, RunEnd::NotRun));
            return;
        }
        self.engine.running.insert(attempt, adapter.clone());
        self.runs.insert(attempt, (adapter.clone(), RunState::Begun));
        if self.rule == WrongRule::UnpinAtFirstByte {
            self.feed(AgentEvent::RunEnded(attempt, RunEnd::Complete(200)));
        }
    }

    fn break_run(&mut self, attempt: AttemptId) {
        if let Some(run) = self.runs.get_mut(&attempt) {
            run.1 = RunState::Abandoned;
        }
        if self.rule == WrongRule::BrokenIsNotRun {
            self.tell_not_run(attempt);
            self.feed(AgentEvent::RunEnded(attempt, RunEnd::NotRun));
        } else {
            self.feed(AgentEvent::RunEnded(attempt, RunEnd::Broken));
        }
    }

    fn report_steps(&self, steps: &mut Vec<(String, Self)>) {
        let report = self.report();
        let next = self.with(|world| world.feed(AgentEvent::ReportReceived(report.clone())));
        steps.push(("the engine reports".to_string(), next));
        if self.left.late_reports > 0 && self.late_report.is_none() {
            let next = self.with(|world| {
                world.left.late_reports -= 1;
                world.late_report = Some(report);
            });
            steps.push(("a report is on its way".to_string(), next));
        }
        if let Some(report) = &self.late_report {
            let next = self.with(|world| {
                world.late_report = None;
                world.feed(AgentEvent::ReportReceived(report.clone()));
            });
            steps.push(("the late report arrives".to_string(), next));
        }
    }

    fn fault_steps(&self, steps: &mut Vec<(String, Self)>) {
        if self.left.engine_restarts > 0 {
            let next = self.with(Self::restart_engine);
            steps.push(("the engine restarts empty".to_string(), next));
        }
        if self.left.agent_restarts > 0 {
            for version in 1..=self.agent_bundle {
                let next = self.with(|world| world.replace_agent(version));
                steps.push((format!("a new agent starts with bundle {version}"), next));
            }
        }
        if self.left.bundles > 0 {
            let next = self.with(|world| {
                world.left.bundles -= 1;
                world.take_bundle(world.agent_bundle + 1);
            });
            steps.push(("a newer bundle comes into force".to_string(), next));
        }
        if self.left.stops > 0 {
            let next = self.with(|world| {
                world.left.stops -= 1;
                world.feed(AgentEvent::StopRequested);
            });
            steps.push(("the agent is asked to stop".to_string(), next));
        }
        // Within the settling time the engine notices closed connections and late reports come.
        let is_settled = self.late_report.is_none()
            && self.runs.values().all(|(_, state)| *state != RunState::Abandoned);
        if self.left.time_steps > 0 && is_settled {
            let next = self.with(|world| {
                world.left.time_steps -= 1;
                world.now += SETTLE;
                world.feed(AgentEvent::Ticked);
            });
            steps.push(("time passes".to_string(), next));
        }
    }

    fn restart_engine(&mut self) {
        self.left.engine_restarts -= 1;
        self.engine = SpecEngine {
            incarnation: self.engine.incarnation + 1,
            highest: OrderFence::default(),
            ..SpecEngine::default()
        };
        self.late_report = None;
        let begun: Vec<AttemptId> = self.runs.keys().copied().collect();
        for attempt in begun {
            let (_, state) = self.runs.remove(&attempt).expect("it was listed");
            if state != RunState::Abandoned {
                self.feed(AgentEvent::RunEnded(attempt, RunEnd::Broken));
            }
        }
        // An engine that forgot its fences can not bear witness to older orders.
        self.floor = 0;
    }

    fn replace_agent(&mut self, version: BundleVersion) {
        self.left.agent_restarts -= 1;
        self.agent_number += 1;
        self.agent = Self::agent(self.rule, self.agent_number, self.now);
        self.awaited = None;
        for run in self.runs.values_mut() {
            run.1 = RunState::Abandoned;
        }
        self.floor = self.engine.highest.bundle;
        self.agent_bundle = version;
        self.feed(AgentEvent::BundleActivated(bundle(version)));
    }
}

impl World for EngineWorld {
    fn steps(&self) -> Vec<(String, Self)> {
        let mut steps = Vec::new();
        self.arrivals(&mut steps);
        self.order_steps(&mut steps);
        self.run_steps(&mut steps);
        self.report_steps(&mut steps);
        self.fault_steps(&mut steps);
        steps
    }

    fn fault(&self) -> Option<String> {
        self.fault.clone()
    }
}
