//! Stateful fuzzing of the entry's machine against a simple oracle.

mod fuzz;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use quillcove_core::agent::event::{HostState, UpstreamKind};
use quillcove_core::class::WorkClass;
use quillcove_core::entry::EntryMachine;
use quillcove_core::entry::event::{
    AgentStatus, AttemptEnd, AttemptOrder, EntryAction, EntryEvent, EntryRules, HostRecord,
    RepeatRule, RouteQuery, RouteTarget,
};
use quillcove_core::ids::RequestId;
use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};

/// Hosts of the service.
const HOSTS: usize = 3;

/// Attempts allowed for one request.
const ATTEMPT_LIMIT: u32 = 3;

/// A gap that counts as a pause of the process.
const PAUSE: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    Ask { once: bool, seconds: u64 },
    End(usize, AttemptEnd),
    Finish(usize),
    Hear { host: usize, incarnation: u64, leaving: bool },
    Hosts(Option<[HostState; HOSTS]>),
    Advance(u64),
    Stop,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let reason = prop_oneof![
            Just(RefusalReason::Overloaded),
            Just(RefusalReason::WrongIncarnation),
            Just(RefusalReason::Leaving),
            Just(RefusalReason::DeadlineTooShort),
            Just(RefusalReason::AlreadyUsed),
        ];
        let refused = (reason, any::<bool>()).prop_map(|(reason, is_sure)| {
            AttemptEnd::Refused(match is_sure {
                true => WorkRefusal::not_run(reason, None),
                false => WorkRefusal::may_have_run(reason),
            })
        });
        let end = prop_oneof![
            3 => Just(AttemptEnd::Answered),
            3 => refused,
            2 => Just(AttemptEnd::Unreachable),
            2 => Just(AttemptEnd::Lost),
        ];
        let state = prop_oneof![3 => Just(HostState::Live), 1 => Just(HostState::Leaving)];
        let hosts = prop::array::uniform3(state);
        prop_oneof![
            40 => (any::<bool>(), 1..10u64).prop_map(|(once, seconds)| Step::Ask { once, seconds }),
            60 => (any::<usize>(), end).prop_map(|(place, end)| Step::End(place, end)),
            15 => any::<usize>().prop_map(Step::Finish),
            10 => (0..HOSTS, 1..3u64, prop::bool::weighted(0.2)).prop_map(
                |(host, incarnation, leaving)| Step::Hear { host, incarnation, leaving }
            ),
            8 => prop::option::weighted(0.8, hosts).prop_map(Step::Hosts),
            40 => (1..300u64).prop_map(Step::Advance),
            3 => Just(Step::Advance(4000)),
            1 => Just(Step::Stop),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Wrong rules that the fuzzing must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WrongRule {
    Right,
    /// Requests that must not run twice are sent as if they might.
    RepeatsOnce,
    /// A pause of the process goes unnoticed.
    NoPauseCheck,
    /// More attempts than allowed.
    NoAttemptLimit,
}

const RULES: [WrongRule; 4] =
    [WrongRule::Right, WrongRule::RepeatsOnce, WrongRule::NoPauseCheck, WrongRule::NoAttemptLimit];

/// What the oracle keeps of a request.
#[derive(Clone, Debug, Default)]
struct Watch {
    is_once: bool,
    deadline: Duration,
    attempts: u32,
    introductions: u32,
    may_have_run: bool,
    is_answered: bool,
    is_over: bool,
}

struct Watched {
    machine: EntryMachine,
    rule: WrongRule,
    now: Duration,
    requests: BTreeMap<RequestId, Watch>,
    out: Vec<AttemptOrder>,
    hosts: [HostState; HOSTS],
    is_unconfirmed: bool,
    is_stopping: bool,
    has_stopped: bool,
}

impl Watched {
    fn feed(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                EntryAction::Send(order) => self.watch_send(order),
                EntryAction::Reject(request, refusal) => self.watch_finish(request, &refusal),
                EntryAction::Stopped => {
                    let is_open = self.requests.values().any(|watch| !watch.is_over);
                    assert!(self.is_stopping && !is_open, "stopped with work left");
                    self.has_stopped = true;
                },
                EntryAction::ReadHosts | EntryAction::RequestBundle => {},
            }
        }
    }

    fn watch_send(&mut self, order: AttemptOrder) {
        let host: usize = order.host[1..].parse().expect("hosts are numbered");
        assert_eq!(self.hosts[host], HostState::Live, "a leaving host gets new work");
        assert!(!self.is_unconfirmed, "a send follows beliefs from before a pause");
        let now = self.now;
        let watch = self.requests.get_mut(&order.request).expect("it was asked");
        assert!(!watch.is_over && !watch.is_answered, "a finished request is sent");
        assert!(!(watch.is_once && watch.may_have_run), "a request that may have run is repeated");
        assert!(now < watch.deadline, "a request is sent after its deadline");
        watch.attempts += 1;
        assert!(watch.attempts <= ATTEMPT_LIMIT, "too many attempts");
        self.out.push(order);
    }

    fn watch_finish(&mut self, request: RequestId, refusal: &WorkRefusal) {
        let watch = self.requests.get_mut(&request).expect("it was asked");
        assert!(!watch.is_over, "a request is finished twice");
        let is_true = refusal.verdict != RunVerdict::NotRun || !watch.may_have_run;
        assert!(is_true, "not-run is told of what may have run");
        watch.is_over = true;
    }

    fn end_attempt(&mut self, place: usize, end: AttemptEnd) {
        let Some(place) = place.checked_rem(self.out.len()) else { return };
        let order = self.out.remove(place);
        if let Some(watch) = self.requests.get_mut(&order.request) {
            match &end {
                AttemptEnd::Answered => watch.is_answered = true,
                AttemptEnd::Lost => watch.may_have_run = true,
                AttemptEnd::Refused(refusal) => {
                    watch.may_have_run |= refusal.verdict == RunVerdict::MayHaveRun;
                    // Learning an agent's incarnation is no attempt of its own.
                    let is_introduction = refusal.reason == RefusalReason::WrongIncarnation
                        && refusal.verdict == RunVerdict::NotRun;
                    watch.attempts -=
                        u32::from(is_introduction && watch.introductions < ATTEMPT_LIMIT);
                    watch.introductions += u32::from(is_introduction);
                },
                AttemptEnd::Unreachable => {},
            }
        }
        self.feed(EntryEvent::AttemptEnded(order.attempt, end));
    }

    fn finish(&mut self, place: usize) {
        let answered =
            self.requests.iter().filter(|(_, watch)| watch.is_answered && !watch.is_over);
        let answered: Vec<RequestId> = answered.map(|(request, _)| *request).collect();
        let Some(place) = place.checked_rem(answered.len()) else { return };
        self.requests.get_mut(&answered[place]).expect("it was listed").is_over = true;
        self.feed(EntryEvent::RequestDone(answered[place]));
    }

    fn ask(&mut self, once: bool, seconds: u64) {
        let request = self.requests.len() as RequestId + 1;
        let deadline = self.now + Duration::from_secs(seconds);
        let watch = Watch { is_once: once, deadline, ..Watch::default() };
        self.requests.insert(request, watch);
        let may_repeat = !once || self.rule == WrongRule::RepeatsOnce;
        self.feed(EntryEvent::Admitted(RouteQuery {
            request,
            target: RouteTarget::Service("booking".to_string()),
            class: WorkClass::Normal,
            repeat: if may_repeat { RepeatRule::Repeatable } else { RepeatRule::Once },
            deadline,
            caller: String::new(),
            prefix: None,
            attempt_limit: None,
            identity: None,
        }));
    }

    fn see_hosts(&mut self, hosts: Option<[HostState; HOSTS]>) {
        self.is_unconfirmed = false;
        if let Some(hosts) = hosts {
            self.hosts = hosts;
        }
        let records = hosts.map(|hosts| {
            let record = |(number, state): (usize, HostState)| HostRecord {
                host: format!("h{number}"),
                address: "a".to_string(),
                control: "c".to_string(),
                hall: String::new(),
                state,
                kind: UpstreamKind::Service,
                serves: "booking".to_string(),
            };
            hosts.into_iter().enumerate().map(record).collect()
        });
        self.feed(EntryEvent::HostsRead(records));
    }
}

/// The test, with one of the rules by its number.
struct EntryFuzz<const RULE: usize>;

impl<const RULE: usize> StateMachineTest for EntryFuzz<RULE> {
    type SystemUnderTest = Watched;
    type Reference = Steps;

    fn init_test((): &()) -> Watched {
        let rule = RULES[RULE];
        let mut rules = EntryRules { attempt_limit: ATTEMPT_LIMIT, ..EntryRules::default() };
        match rule {
            WrongRule::Right | WrongRule::RepeatsOnce => {},
            WrongRule::NoPauseCheck => rules.suspension_limit = Duration::from_secs(3600),
            WrongRule::NoAttemptLimit => rules.attempt_limit = 100,
        }
        let mut watched = Watched {
            machine: EntryMachine::new(rules, 1, Duration::ZERO),
            rule,
            now: Duration::ZERO,
            requests: BTreeMap::new(),
            out: Vec::new(),
            hosts: [HostState::Live; HOSTS],
            is_unconfirmed: false,
            is_stopping: false,
            has_stopped: false,
        };
        watched.see_hosts(Some([HostState::Live; HOSTS]));
        watched
    }

    fn apply(mut watched: Watched, (): &(), step: Step) -> Watched {
        match step {
            Step::Ask { once, seconds } => watched.ask(once, seconds),
            Step::End(place, end) => watched.end_attempt(place, end),
            Step::Finish(place) => watched.finish(place),
            Step::Hear { host, incarnation, leaving } => {
                let news = AgentStatus {
                    incarnation,
                    leaving,
                    running: 0,
                    waiting: 0,
                    capacity: 4,
                    bundle: 1,
                    crashes: Default::default(),
                    rest_ms: 0,
                };
                watched.feed(EntryEvent::StatusReceived(format!("h{host}"), news));
            },
            Step::Hosts(hosts) => watched.see_hosts(hosts),
            Step::Advance(millis) => {
                let gap = Duration::from_millis(millis);
                watched.now += gap;
                watched.is_unconfirmed |= gap > PAUSE;
                watched.feed(EntryEvent::Ticked);
            },
            Step::Stop => {
                watched.is_stopping = true;
                watched.feed(EntryEvent::StopRequested);
            },
        }
        watched
    }

    /// Once all attempts have ended, every request is over, and a planned stop ends.
    fn teardown(mut watched: Watched, (): ()) {
        watched.see_hosts(None);
        for _ in 0..1000 {
            while !watched.out.is_empty() {
                watched.end_attempt(0, AttemptEnd::Unreachable);
            }
            watched.now += Duration::from_millis(500);
            watched.feed(EntryEvent::Ticked);
        }
        for place in 0..watched.requests.len() {
            watched.finish(place);
        }
        let is_open = watched.requests.values().any(|watch| !watch.is_over && !watch.is_answered);
        assert!(!is_open, "a request never got an answer");
        while watched.requests.values().any(|watch| watch.is_answered && !watch.is_over) {
            watched.finish(0);
        }
        assert_eq!(watched.is_stopping, watched.has_stopped, "a planned stop ends");
    }
}

fn find_fault<const RULE: usize>() -> Result<(), String> {
    fuzz::run_fuzz!(Steps, EntryFuzz<RULE>)
}

fn catches<const RULE: usize>(expected: &str) {
    let fault = find_fault::<RULE>().expect_err("the wrong rule is caught");
    assert!(fault.contains(expected), "{fault}");
}

#[test]
fn the_entrys_machine_keeps_what_must_always_hold() {
    find_fault::<0>().unwrap_or_else(|fault| panic!("{fault}"));
}

#[test]
fn repeat_of_what_may_have_run_is_caught() {
    catches::<1>("may have run is repeated");
}

#[test]
fn pause_that_goes_unnoticed_is_caught() {
    catches::<2>("before a pause");
}

#[test]
fn attempts_without_a_limit_are_caught() {
    catches::<3>("too many attempts");
}
