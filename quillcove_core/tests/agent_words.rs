//! What an agent and an entry make of the words of an upstream: that it leaves, or wants rest for a time.

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{
    AgentAction, AgentEvent, AgentRules, EngineReport, HostState, RunEnd, RunOrder, UpstreamKind,
    WorkTarget,
};
use quillcove_core::bundle::FleetBundle;
use quillcove_core::class::WorkClass;
use quillcove_core::entry::event::{AgentStatus, EntryRules, HostRecord, RouteTarget};
use quillcove_core::entry::fleet::UpstreamTable;
use quillcove_core::once::book::{BookLimits, OnceBook};
use quillcove_core::standing::limit::RateLimit;
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_core::verdict::RefusalReason;

const REST: Duration = Duration::from_secs(1);

const LEAVES: UpstreamNotice = UpstreamNotice { is_leaving: true, rest: None, limit: None };

const RESTS: UpstreamNotice = UpstreamNotice { is_leaving: false, rest: Some(REST), limit: None };

/// An agent before a plain service, with the actions of its last event.
struct Agent {
    machine: AgentMachine,
    now: Duration,
    attempts: u128,
}

impl Agent {
    fn start(service_limit: usize) -> Self {
        let rules =
            AgentRules { kind: UpstreamKind::Service, service_limit, ..AgentRules::default() };
        let book = OnceBook::new("s0", 5, [7; 32], BookLimits::default(), Duration::ZERO);
        let machine = AgentMachine::new("s0", 5, rules, book, Duration::ZERO);
        let mut agent = Self { machine, now: Duration::ZERO, attempts: 0 };
        agent.feed(AgentEvent::BundleActivated(Arc::new(FleetBundle::default())));
        agent.report(false);
        agent
    }

    fn feed(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        self.now += Duration::from_millis(1);
        let mut out = Vec::new();
        self.machine.handle(self.now, event, &mut out);
        out
    }

    fn report(&mut self, leaving: bool) {
        self.feed(AgentEvent::ReportReceived(EngineReport { leaving, ..EngineReport::default() }));
    }

    /// An attempt arrives; gives what becomes of it.
    fn arrive(&mut self) -> Vec<AgentAction> {
        self.attempts += 1;
        let order = RunOrder {
            attempt: self.attempts,
            incarnation: 5,
            target: WorkTarget::Service,
            class: WorkClass::Normal,
            deadline: self.now + Duration::from_secs(9),
            caller: String::new(),
            claim: None,
            identity: None,
        };
        self.feed(AgentEvent::AttemptReceived(order))
    }

    fn is_started(&mut self) -> bool {
        let attempt = self.attempts + 1;
        let is_started = self.arrive().contains(&AgentAction::StartAttempt(attempt));
        self.feed(AgentEvent::RunEnded(attempt, RunEnd::Complete(200)));
        is_started
    }

    fn refusal(&mut self) -> Option<(RefusalReason, Option<Duration>)> {
        self.arrive().into_iter().find_map(|action| match action {
            AgentAction::Refuse(_, refusal) => Some((refusal.reason, refusal.retry_after)),
            _ => None,
        })
    }
}

#[test]
fn nothing_starts_in_a_rest_and_few_at_once_after_it() {
    let mut agent = Agent::start(64);
    assert!(agent.is_started());
    agent.feed(AgentEvent::NoticeReceived(RESTS));
    let (reason, retry_after) = agent.refusal().expect("it is refused at once");
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!(retry_after.is_some_and(|left| left <= REST && left > REST / 2));
    assert!(agent.machine.status().rest_ms > 0);
    // A good answer to an earlier call ends no rest.
    agent.feed(AgentEvent::NoticeReceived(UpstreamNotice::default()));
    assert!(agent.refusal().is_some());
    agent.now += REST;
    let started = (0..8).filter(|_| agent.is_started()).count();
    assert_eq!(started, 1, "of those that come together after the rest");
}

#[test]
fn what_waits_is_refused_when_its_upstream_leaves() {
    let mut agent = Agent::start(1);
    agent.arrive();
    agent.arrive();
    let out = agent.feed(AgentEvent::NoticeReceived(LEAVES));
    let refused = out.iter().filter(|action| matches!(action, AgentAction::Refuse(2, _))).count();
    assert_eq!(refused, 1);
    assert_eq!(agent.refusal().map(|(reason, _)| reason), Some(RefusalReason::Leaving));
}

#[test]
fn a_service_that_stands_in_the_place_of_one_that_left_takes_work() {
    let mut agent = Agent::start(64);
    agent.report(true);
    assert!(!agent.is_started());
    // A report that was on its way before the word says nothing.
    agent.report(false);
    agent.report(true);
    agent.report(false);
    assert!(!agent.is_started());
    agent.report(false);
    assert!(agent.is_started());
    // The next process at the port after an end is another one as well.
    agent.feed(AgentEvent::NoticeReceived(LEAVES));
    agent.feed(AgentEvent::UpstreamUnreachable);
    agent.report(false);
    assert!(agent.is_started());
}

fn news(incarnation: u64, rest_ms: u64) -> AgentStatus {
    AgentStatus {
        incarnation,
        leaving: false,
        running: 0,
        waiting: 0,
        capacity: 8,
        bundle: 1,
        crashes: Default::default(),
        rest_ms,
    }
}

#[test]
fn an_entry_sends_nothing_to_agents_whose_upstreams_rest() {
    let record = |host: &str| HostRecord {
        host: host.to_string(),
        address: format!("{host}:1"),
        control: format!("{host}:2"),
        hall: "h1".to_string(),
        state: HostState::Live,
        kind: UpstreamKind::Service,
        serves: "booking".to_string(),
    };
    let target = RouteTarget::Service("booking".to_string());
    let rules = EntryRules::default();
    let mut table = UpstreamTable::default();
    table.apply_host_list(vec![record("s0"), record("s1")]);
    table.record_status("s0", &news(5, 0), Duration::ZERO);
    let count = |table: &UpstreamTable, now| table.candidates(&target, now, &rules).len();
    table.record_status("s0", &news(5, 1000), Duration::ZERO);
    assert_eq!(count(&table, REST / 2), 1);
    assert_eq!(table.earliest_pause_end(&target, REST / 2), None, "the other one takes work");
    // The host list is read anew, and an answer on its way before says nothing of a rest.
    table.apply_host_list(vec![record("s0"), record("s1")]);
    table.record_status("s0", &news(5, 0), REST / 2);
    assert_eq!(count(&table, REST / 2), 1);
    table.record_status("s1", &news(5, 1000), REST / 2);
    assert_eq!(count(&table, REST / 2), 0);
    assert_eq!(table.earliest_pause_end(&target, REST / 2), Some(REST));
    assert_eq!(count(&table, REST), 1);
    // Another start of the agent is clean.
    table.record_status("s1", &news(6, 0), REST);
    assert_eq!(count(&table, REST), 2);
}

/// Two attempts a second.
const LIMITS: Duration = Duration::from_millis(500);

fn limits() -> UpstreamNotice {
    UpstreamNotice { limit: RateLimit::per_second(2.0), ..UpstreamNotice::default() }
}

#[test]
fn an_agent_starts_no_more_than_its_upstream_takes_and_refuses_the_rest_at_once() {
    let mut agent = Agent::start(64);
    agent.feed(AgentEvent::NoticeReceived(limits()));
    assert_eq!(agent.machine.upstream_limit(), RateLimit::per_second(2.0));
    let (reason, retry_after) = agent.refusal().expect("its turn is too far away");
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!(retry_after.is_some_and(|left| left > LIMITS / 2 && left <= LIMITS));
    assert!(agent.machine.status().rest_ms > 0, "entries are told");
    let from = agent.now;
    let mut started = 0;
    while agent.now < from + Duration::from_secs(8) {
        let out = agent.arrive();
        for action in out {
            // One that waited for its turn may start with another one's arrival.
            if let AgentAction::StartAttempt(attempt) = action {
                started += 1;
                agent.feed(AgentEvent::RunEnded(attempt, RunEnd::Complete(200)));
            }
        }
        agent.now += Duration::from_millis(20);
    }
    assert!((14..=17).contains(&started), "{started} in 8 s");
}

#[test]
fn what_waits_is_refused_when_its_turn_gets_too_far_away() {
    let mut agent = Agent::start(1);
    (0..3).for_each(|_| drop(agent.arrive()));
    let out = agent.feed(AgentEvent::NoticeReceived(limits()));
    let refused = out.iter().filter(|action| matches!(action, AgentAction::Refuse(..))).count();
    assert_eq!(refused, 2);
}

#[test]
fn only_a_good_answer_to_a_later_attempt_ends_an_upstreams_limit() {
    let mut agent = Agent::start(64);
    agent.arrive();
    agent.feed(AgentEvent::NoticeReceived(limits()));
    agent.feed(AgentEvent::NoLimitAnnounced(1));
    assert!(agent.machine.upstream_limit().is_some(), "it was started before the word");
    agent.report(false);
    assert!(agent.machine.upstream_limit().is_some(), "a report says nothing of it");
    agent.now += LIMITS;
    agent.arrive();
    agent.feed(AgentEvent::NoLimitAnnounced(agent.attempts));
    assert_eq!(agent.machine.upstream_limit(), None);
}
