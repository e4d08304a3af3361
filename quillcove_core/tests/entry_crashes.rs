//! The product's own edge: a request under which upstreams end is refused there as well, by what agents tell
//! with each answer.
//!
//! An entry counted attempts within one request only, so that each return of a fatal request went to upstreams
//! again, up to the limit of attempts each time.

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{AgentEvent, AgentRules, EngineReport, RunEnd, RunOrder};
use quillcove_core::agent::event::{HostState, UpstreamKind, WorkTarget};
use quillcove_core::bundle::FleetBundle;
use quillcove_core::class::WorkClass;
use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
use quillcove_core::entry::EntryMachine;
use quillcove_core::entry::event::{
    AgentStatus, AttemptEnd, EntryAction, EntryEvent, EntryRules, HostRecord, RepeatRule,
    RouteQuery, RouteTarget,
};
use quillcove_core::once::book::{BookLimits, OnceBook};
use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};

const HOSTS: [&str; 4] = ["u1", "u2", "u3", "u4"];

fn identity(caller: u64) -> RequestIdentity {
    let parts = RequestParts { method: "POST", host: "", path: "svc/s", key: None, body: b"fatal" };
    RequestIdentity { digest: parts.digest(), caller }
}

/// An agent before a service that ends under each run of the fatal request.
struct TestAgent {
    machine: AgentMachine,
    now: Duration,
}

impl TestAgent {
    fn new(host: &str) -> Self {
        let now = Duration::from_secs(1);
        let rules = AgentRules { kind: UpstreamKind::Service, ..AgentRules::default() };
        let book = OnceBook::new(host, 5, [7; 32], BookLimits::default(), now);
        let mut agent = Self { machine: AgentMachine::new(host, 5, rules, book, now), now };
        agent.feed(AgentEvent::BundleActivated(Arc::new(FleetBundle::default())));
        agent.feed(AgentEvent::ReportReceived(EngineReport::default()));
        agent
    }

    fn feed(&mut self, event: AgentEvent) {
        self.now += Duration::from_millis(10);
        self.machine.handle(self.now, event, &mut Vec::new());
    }

    /// Runs a request, under which the upstream ends or not.
    fn run(&mut self, attempt: u128, identity: RequestIdentity, is_fatal: bool) -> AgentStatus {
        let order = RunOrder {
            attempt,
            incarnation: 5,
            target: WorkTarget::Service,
            class: WorkClass::Normal,
            deadline: self.now + Duration::from_secs(9),
            caller: String::new(),
            claim: None,
            identity: Some(identity),
        };
        self.feed(AgentEvent::AttemptReceived(order));
        if is_fatal {
            self.feed(AgentEvent::RunEnded(attempt, RunEnd::Broken));
            self.feed(AgentEvent::UpstreamUnreachable);
            self.feed(AgentEvent::ReportReceived(EngineReport::default()));
        } else {
            self.feed(AgentEvent::RunEnded(attempt, RunEnd::Complete(200)));
        }
        self.machine.status()
    }
}

struct TestEntry {
    machine: EntryMachine,
    now: Duration,
    requests: u128,
}

impl TestEntry {
    fn new() -> Self {
        let now = Duration::from_secs(1);
        let machine = EntryMachine::new(EntryRules::default(), 1, now);
        let mut entry = Self { machine, now, requests: 0 };
        let record = |host: &&str| HostRecord {
            host: host.to_string(),
            address: host.to_string(),
            control: host.to_string(),
            hall: String::new(),
            state: HostState::Live,
            kind: UpstreamKind::Service,
            serves: "s".to_string(),
        };
        let records = HOSTS.iter().map(record).collect();
        entry.feed(EntryEvent::HostsRead(Some(records)));
        entry
    }

    fn feed(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        self.now += Duration::from_millis(10);
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        actions
    }

    /// Plays one request to its end; gives its refusal and how often it was sent.
    fn play(
        &mut self,
        agents: &mut [TestAgent],
        identity: RequestIdentity,
        is_fatal: bool,
    ) -> (Option<WorkRefusal>, usize) {
        self.requests += 1;
        let request = self.requests << 8;
        let query = RouteQuery {
            request,
            target: RouteTarget::Service("s".to_string()),
            class: WorkClass::Normal,
            repeat: RepeatRule::Repeatable,
            deadline: self.now + Duration::from_secs(9),
            caller: String::new(),
            prefix: None,
            attempt_limit: None,
            identity: Some(identity),
        };
        let mut actions = self.feed(EntryEvent::Admitted(query));
        let mut sent = 0;
        for _ in 0..100 {
            let Some(action) = actions.pop() else {
                actions = self.feed(EntryEvent::Ticked);
                continue;
            };
            let order = match action {
                EntryAction::Reject(_, refusal) => return (Some(refusal), sent),
                EntryAction::Send(order) => order,
                EntryAction::ReadHosts | EntryAction::RequestBundle | EntryAction::Stopped => {
                    continue;
                },
            };
            sent += 1;
            let place = HOSTS.iter().position(|host| *host == order.host).unwrap();
            let news = agents[place].run(order.attempt, identity, is_fatal);
            self.feed(EntryEvent::StatusReceived(order.host.clone(), news));
            let broke = WorkRefusal::may_have_run(RefusalReason::UpstreamBroke);
            let end = if is_fatal { AttemptEnd::Refused(broke) } else { AttemptEnd::Answered };
            actions = self.feed(EntryEvent::AttemptEnded(order.attempt, end));
            if !is_fatal {
                self.feed(EntryEvent::RequestDone(request));
                return (None, sent);
            }
        }
        panic!("the request has no end");
    }
}

fn agents() -> Vec<TestAgent> {
    HOSTS.iter().map(|host| TestAgent::new(host)).collect()
}

#[test]
fn a_request_under_which_three_upstreams_ended_is_sent_no_more() {
    let (mut entry, mut agents) = (TestEntry::new(), agents());
    let mut sent = 0;
    for _ in 0..12 {
        sent += entry.play(&mut agents, identity(1), true).1;
    }
    assert_eq!(sent, 3);
    let (refusal, _) = entry.play(&mut agents, identity(1), true);
    let refusal = refusal.unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (RefusalReason::EndsUpstreams, RunVerdict::NotRun)
    );
    assert_eq!(refusal.retry_after, None, "coming back is of no use");
}

#[test]
fn another_entry_knows_once_it_has_heard_the_agents() {
    let (mut first, mut second, mut agents) = (TestEntry::new(), TestEntry::new(), agents());
    for _ in 0..3 {
        first.play(&mut agents, identity(1), true);
    }
    for (host, agent) in HOSTS.iter().zip(&agents) {
        second.feed(EntryEvent::StatusReceived(host.to_string(), agent.machine.status()));
    }
    assert_eq!(second.play(&mut agents, identity(1), true).1, 0);
}

#[test]
fn an_equal_body_of_another_caller_is_sent() {
    let (mut entry, mut agents) = (TestEntry::new(), agents());
    for _ in 0..3 {
        entry.play(&mut agents, identity(1), true);
    }
    assert_eq!(entry.play(&mut agents, identity(2), false), (None, 1));
    assert_eq!(entry.play(&mut agents, identity(1), true).1, 0);
}

#[test]
fn an_upstream_that_ends_under_nothing_tells_nothing() {
    let mut agent = TestAgent::new("u1");
    let news = agent.run(1, identity(1), false);
    assert!(news.crashes.is_empty());
    agent.feed(AgentEvent::UpstreamUnreachable);
    agent.feed(AgentEvent::ReportReceived(EngineReport::default()));
    assert!(agent.machine.status().crashes.is_empty());
}
