//! One booking that must not run twice: a caller who repeats through two entries, two agents
//! beside replicas of a plain service, and a network that loses, doubles and delays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{
    AgentAction, AgentEvent, AgentRules, EngineReport, HostState, RunEnd, RunOrder, UpstreamKind,
    WithdrawAnswer, WorkTarget,
};
use quillcove_core::bundle::text::parse;
use quillcove_core::class::WorkClass;
use quillcove_core::entry::EntryMachine;
use quillcove_core::entry::event::{
    AttemptEnd, AttemptOrder, EntryAction, EntryEvent, EntryRules, HostRecord, RepeatRule,
    RouteQuery, RouteTarget,
};
use quillcove_core::ids::{Incarnation, RequestId};
use quillcove_core::once::book::{BookLimits, OnceBook, OnceClaim};
use quillcove_core::verdict::{RunVerdict, WorkRefusal};

use super::search::World;

/// Time at the start; it moves on only where an entry's pause before a repeat is over.
const NOW: Duration = Duration::from_secs(1000);

/// Longer than any pause before a repeat.
const PAUSE: Duration = Duration::from_secs(1);

/// Hosts of the two agents.
const HOSTS: [&str; 2] = ["s0", "s1"];

/// What may happen how often.
#[derive(Clone, Copy, Debug)]
pub struct OnceBounds {
    /// Requests of the caller, the first among them.
    pub requests: u32,
    /// Attempts that are lost or late.
    pub lost: u32,
    /// Attempts that are doubled.
    pub doubled: u32,
    /// Agents replaced.
    pub restarts: u32,
    /// Calls to the service whose answer is lost.
    pub broken: u32,
}

/// Wrong rules that the search must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnceRule {
    /// The product's rules, with a ticket.
    Ticket,
    /// The product's rules, with a key: the owner among the replicas in the bundle.
    Key,
    /// A key goes to any live replica, as if its owner were chosen among the live ones.
    AnyReplica,
    /// An agent that restarts forgets its book but not its name: tickets stay valid.
    BookForgotten,
    /// Keys are taken at once after a restart.
    KeysAtOnce,
    /// A lost attempt counts as not run without asking the agent.
    LostIsNotRun,
    /// The agent's answer to a withdrawal leaves no mark.
    NoMarks,
    /// The product's rules, with neither ticket nor key: the caller asks once.
    Unnamed,
    /// The entry repeats such a request although it may have run.
    RepeatsAnyway,
}

/// A message that is on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentAttempt {
    order: AttemptOrder,
    entry: usize,
    /// Whether the entry still waits for its answer.
    is_awaited: bool,
}

#[derive(Clone, Debug)]
pub struct OnceWorld {
    rule: OnceRule,
    left: OnceBounds,
    now: Duration,
    entries: [EntryMachine; 2],
    agents: [AgentMachine; 2],
    incarnations: [Incarnation; 2],
    claim: Option<OnceClaim>,
    sent: Vec<SentAttempt>,
    /// Attempts handed to a service, by agent.
    runs: BTreeSet<(u128, usize)>,
    /// Attempts taken by an agent, with the entry that sent each.
    taken: BTreeMap<u128, (usize, bool)>,
    /// How often the booking ran, and by which requests.
    ran: u32,
    ran_for: BTreeSet<RequestId>,
    told_not_run: BTreeSet<RequestId>,
    open: BTreeSet<RequestId>,
    fault: Option<String>,
}

fn record(host: &str) -> HostRecord {
    HostRecord {
        host: host.to_string(),
        address: format!("{host}:1"),
        control: format!("{host}:2"),
        hall: "h".to_string(),
        state: HostState::Live,
        kind: UpstreamKind::Service,
        serves: "booking".to_string(),
    }
}

/// The request that an attempt belongs to, as the entry numbers them.
fn request_of(attempt: u128) -> RequestId {
    attempt >> 8
}

impl OnceWorld {
    pub fn new(rule: OnceRule, left: OnceBounds) -> Self {
        let entry = |seed| {
            let mut machine = EntryMachine::new(EntryRules::default(), seed, NOW);
            let hosts = HOSTS.map(record).to_vec();
            machine.handle(NOW, EntryEvent::HostsRead(Some(hosts)), &mut Vec::new());
            machine
        };
        let mut agents = [Self::agent(rule, 0, 1), Self::agent(rule, 1, 1)];
        let claim = match rule {
            OnceRule::Key | OnceRule::AnyReplica | OnceRule::KeysAtOnce => {
                Some(OnceClaim::Key("app".to_string(), "seat".to_string()))
            },
            OnceRule::Unnamed | OnceRule::RepeatsAnyway => None,
            _ => Some(OnceClaim::Ticket(agents[0].once_book_mut().issue(NOW))),
        };
        Self {
            rule,
            left,
            now: NOW,
            entries: [entry(1), entry(2)],
            agents,
            incarnations: [1, 1],
            claim,
            sent: Vec::new(),
            runs: BTreeSet::new(),
            taken: BTreeMap::new(),
            ran: 0,
            ran_for: BTreeSet::new(),
            told_not_run: BTreeSet::new(),
            open: BTreeSet::new(),
            fault: None,
        }
    }

    fn agent(rule: OnceRule, place: usize, incarnation: Incarnation) -> AgentMachine {
        let host = HOSTS[place];
        let rules = AgentRules {
            kind: UpstreamKind::Service,
            mark_lifetime: match rule {
                OnceRule::NoMarks => Duration::ZERO,
                _ => Duration::from_secs(3600),
            },
            ..AgentRules::default()
        };
        // The first run of each agent has been up for long; later ones have just started.
        let is_first = incarnation == 1;
        let began = match is_first || rule == OnceRule::KeysAtOnce {
            true => Duration::ZERO,
            false => NOW,
        };
        let (number, secret) = match rule {
            OnceRule::BookForgotten => (1, [1; 32]),
            _ => (incarnation, [incarnation as u8; 32]),
        };
        let limits = BookLimits::default();
        let book = OnceBook::new(host, number, secret, limits, began);
        let mut machine = AgentMachine::new(host, incarnation, rules, book, NOW);
        let text = "[bundle]\nversion = 1\n[services.booking]\nreplicas = [\"s0\", \"s1\"]\n";
        let bundle = Arc::new(parse(text).expect("the bundle is right"));
        machine.handle(NOW, AgentEvent::BundleActivated(bundle), &mut Vec::new());
        let up = AgentEvent::ReportReceived(EngineReport::default());
        machine.handle(NOW, up, &mut Vec::new());
        machine
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn feed_entry(&mut self, entry: usize, event: EntryEvent) {
        let mut actions = Vec::new();
        self.entries[entry].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                EntryAction::Send(order) => {
                    self.sent.push(SentAttempt { order, entry, is_awaited: true });
                },
                EntryAction::Reject(request, refusal) => self.tell_caller(request, &refusal),
                EntryAction::ReadHosts | EntryAction::RequestBundle | EntryAction::Stopped => {},
            }
        }
    }

    fn tell_caller(&mut self, request: RequestId, refusal: &WorkRefusal) {
        self.open.remove(&request);
        if refusal.verdict == RunVerdict::NotRun {
            if self.ran_for.contains(&request) {
                self.fault = Some(format!("not-run is told of request {request}, which ran"));
            }
            self.told_not_run.insert(request);
        }
    }

    fn feed_agent(&mut self, agent: usize, event: AgentEvent) -> Option<WithdrawAnswer> {
        let mut actions = Vec::new();
        self.agents[agent].handle(self.now, event, &mut actions);
        let mut answer = None;
        for action in actions {
            match action {
                AgentAction::StartAttempt(attempt) => {
                    self.runs.insert((attempt, agent));
                },
                AgentAction::Refuse(attempt, refusal) => {
                    self.answer(agent, attempt, AttemptEnd::Refused(refusal));
                },
                AgentAction::AnswerWithdrawal(_, given) => answer = Some(given),
                _ => {},
            }
        }
        answer
    }

    /// An agent's answer reaches the entry, if that still waits.
    fn answer(&mut self, agent: usize, attempt: u128, end: AttemptEnd) {
        let Some((entry, is_awaited)) = self.taken.get(&attempt).copied() else { return };
        if !is_awaited {
            return;
        }
        self.taken.insert(attempt, (entry, false));
        let news = self.agents[agent].status();
        self.feed_entry(entry, EntryEvent::StatusReceived(HOSTS[agent].to_string(), news));
        let is_answer = end == AttemptEnd::Answered;
        self.feed_entry(entry, EntryEvent::AttemptEnded(attempt, end));
        if is_answer {
            self.open.remove(&request_of(attempt));
            self.feed_entry(entry, EntryEvent::RequestDone(request_of(attempt)));
        }
    }

    fn ask(&mut self, entry: usize) {
        let number = self.left.requests;
        self.left.requests -= 1;
        let target = match self.rule {
            OnceRule::AnyReplica | OnceRule::Unnamed | OnceRule::RepeatsAnyway => {
                RouteTarget::Service("booking".to_string())
            },
            _ => RouteTarget::Owner(HOSTS[0].to_string()),
        };
        let query = RouteQuery {
            request: u128::from(number),
            target,
            class: WorkClass::Urgent,
            repeat: match self.rule {
                OnceRule::RepeatsAnyway => RepeatRule::Repeatable,
                _ => RepeatRule::Once,
            },
            deadline: NOW + Duration::from_secs(30),
            caller: "app".to_string(),
            prefix: None,
            attempt_limit: None,
            identity: None,
        };
        self.open.insert(query.request);
        self.feed_entry(entry, EntryEvent::Admitted(query));
    }

    /// An attempt reaches its agent.
    fn deliver(&mut self, sent: &SentAttempt) {
        let agent = usize::from(sent.order.host == HOSTS[1]);
        let attempt = sent.order.attempt;
        let entry = self.taken.entry(attempt).or_insert((sent.entry, false));
        entry.1 |= sent.is_awaited;
        let order = RunOrder {
            attempt,
            incarnation: sent.order.incarnation,
            target: WorkTarget::Service,
            class: WorkClass::Urgent,
            deadline: NOW + Duration::from_secs(30),
            caller: "app".to_string(),
            claim: self.claim.clone(),
            identity: None,
        };
        self.feed_agent(agent, AgentEvent::Ticked);
        self.feed_agent(agent, AgentEvent::AttemptReceived(order));
    }

    /// The entry's connection breaks after the attempt was sent; it asks the agent.
    fn lose(&mut self, sent: &SentAttempt) {
        let agent = usize::from(sent.order.host == HOSTS[1]);
        let attempt = sent.order.attempt;
        if let Some(taken) = self.taken.get_mut(&attempt) {
            taken.1 = false;
        }
        let withdrawn = AgentEvent::Withdrawn(attempt, sent.order.incarnation);
        let answer = match self.rule {
            OnceRule::LostIsNotRun => Some(WithdrawAnswer::NotRun),
            _ => self.feed_agent(agent, withdrawn),
        };
        let end = match answer {
            Some(WithdrawAnswer::NotRun) => {
                let reason = quillcove_core::verdict::RefusalReason::UpstreamDown;
                AttemptEnd::Refused(WorkRefusal::not_run(reason, None))
            },
            _ => AttemptEnd::Lost,
        };
        self.feed_entry(sent.entry, EntryEvent::AttemptEnded(attempt, end));
    }

    fn caller_steps(&self, steps: &mut Vec<(String, Self)>) {
        // A caller asks again when it was told an end, or when it no longer waits for one.
        if self.left.requests > 0 {
            for entry in 0..2 {
                let next = self.with(|world| world.ask(entry));
                steps.push((format!("the caller asks entry {entry}"), next));
            }
        }
        for entry in 0..2 {
            let next = self.with(|world| {
                world.now += PAUSE;
                world.feed_entry(entry, EntryEvent::Ticked);
            });
            if next.sent.len() != self.sent.len() {
                steps.push((format!("a pause at entry {entry} is over"), next));
            }
        }
    }

    fn network_steps(&self, steps: &mut Vec<(String, Self)>) {
        for (place, sent) in self.sent.iter().enumerate() {
            let name = format!("attempt {:x} to {}", sent.order.attempt, sent.order.host);
            let next = self.with(|world| {
                world.sent.remove(place);
                world.deliver(sent);
            });
            steps.push((format!("{name} arrives"), next));
            if self.left.doubled > 0 {
                let next = self.with(|world| {
                    world.left.doubled -= 1;
                    world.sent[place].is_awaited = false;
                    world.deliver(sent);
                });
                steps.push((format!("{name} arrives and a copy is late"), next));
            }
            if self.left.lost > 0 && sent.is_awaited {
                let next = self.with(|world| {
                    world.left.lost -= 1;
                    world.sent[place].is_awaited = false;
                    world.lose(sent);
                });
                steps.push((format!("{name} is given up and late"), next));
            }
        }
    }

    fn service_steps(&self, steps: &mut Vec<(String, Self)>) {
        for (attempt, agent) in &self.runs {
            let (attempt, agent) = (*attempt, *agent);
            let next = self.with(|world| {
                world.run(attempt, agent);
                let end = RunEnd::Complete(200);
                world.feed_agent(agent, AgentEvent::RunEnded(attempt, end));
                world.answer(agent, attempt, AttemptEnd::Answered);
            });
            steps.push((format!("the service runs attempt {attempt:x}"), next));
            if self.left.broken > 0 {
                let next = self.with(|world| {
                    world.left.broken -= 1;
                    world.run(attempt, agent);
                    world.feed_agent(agent, AgentEvent::RunEnded(attempt, RunEnd::Broken));
                    let reason = quillcove_core::verdict::RefusalReason::UpstreamBroke;
                    let refusal = WorkRefusal::may_have_run(reason);
                    world.answer(agent, attempt, AttemptEnd::Refused(refusal));
                });
                steps.push((format!("the service runs attempt {attempt:x} and breaks"), next));
            }
        }
        for agent in 0..2 {
            if self.left.restarts > 0 {
                let next = self.with(|world| world.restart(agent));
                steps.push((format!("agent {agent} is replaced"), next));
            }
        }
    }

    fn run(&mut self, attempt: u128, agent: usize) {
        self.runs.remove(&(attempt, agent));
        self.ran += 1;
        self.ran_for.insert(request_of(attempt));
        if self.ran > 1 {
            self.fault = Some("the booking ran twice".to_string());
        }
        if self.told_not_run.contains(&request_of(attempt)) {
            self.fault = Some("a request ran after not-run was told".to_string());
        }
    }

    /// What the agent handed over may still run; entries see their connections break.
    fn restart(&mut self, agent: usize) {
        self.left.restarts -= 1;
        self.incarnations[agent] += 1;
        self.agents[agent] = Self::agent(self.rule, agent, self.incarnations[agent]);
        let waiting: Vec<u128> =
            self.runs.iter().filter(|run| run.1 == agent).map(|r| r.0).collect();
        for attempt in waiting {
            let Some((entry, is_awaited)) = self.taken.get(&attempt).copied() else { continue };
            if is_awaited {
                self.taken.insert(attempt, (entry, false));
                self.feed_entry(entry, EntryEvent::AttemptEnded(attempt, AttemptEnd::Lost));
            }
        }
    }
}

impl World for OnceWorld {
    fn steps(&self) -> Vec<(String, Self)> {
        let mut steps = Vec::new();
        self.caller_steps(&mut steps);
        self.network_steps(&mut steps);
        self.service_steps(&mut steps);
        steps
    }

    fn fault(&self) -> Option<String> {
        self.fault.clone()
    }
}
