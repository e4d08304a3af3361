//! Stateful fuzzing of the relay's machine against a simple oracle: where requests go, what replicas say of
//! themselves, versions of sheets and adapters, repeats, and connections.

mod fuzz;
#[allow(dead_code)]
mod relay_site;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter};
use quillcove_core::relay::machine::{
    AttemptOrder, RelayChoice, RelayMachine, RelayQuery, RelayRules,
};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::PublishedState;
use quillcove_core::relay::replica::{AttemptOutcome, ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use quillcove_core::standing::limit::RateLimit;
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_core::verdict::RunVerdict;
use relay_site::{address, engine_service, ms};

/// Addresses at which replicas run, one after the other.
const ADDRESSES: usize = 3;

/// Adapters that requests name.
const ADAPTERS: u8 = 3;

/// Connections to a replica of the service that all relays share.
const CONNECTIONS: usize = 12;

/// Time in which requests may still begin on an older version: what is promised.
const VERSION_TIME: Duration = Duration::from_secs(5);

/// Time for which a replica that said that it leaves may still get work: what the users allow.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time in which requests at a replica that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Repeats that may be saved up, and their share of first attempts.
const SAVING: f64 = 4.0;
const SHARE: f64 = 0.25;

#[derive(Clone, Debug)]
enum Step {
    /// A replica starts at an address, with or without the entry of the one before it.
    Start(usize),
    Drain(usize),
    Leave(usize),
    /// The engine's loader reports these adapters, by version; 0 is none.
    Report(usize, [u32; ADAPTERS as usize]),
    Sheet(u64),
    /// Another relay's word, with a sheet.
    Published(u64),
    Version(u8, u32),
    /// A request that names an adapter, or none.
    Ask(Option<u8>),
    End(usize, AttemptOutcome),
    /// The answer to an attempt in flight says that its replica leaves, or wants rest for so many milliseconds.
    Say(usize, Option<u64>),
    /// The answer to one names so many requests in ten seconds as its replica's limit, or is good and names none.
    Limit(usize, Option<u32>),
    Repeat,
    Advance(u64),
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let fate = prop_oneof![
            3 => Just(AttemptOutcome::Answered),
            1 => Just(AttemptOutcome::Refused),
            2 => Just(AttemptOutcome::Failed),
            1 => Just(AttemptOutcome::Abandoned),
        ];
        prop_oneof![
            4 => (0..ADDRESSES).prop_map(Step::Start),
            2 => (0..ADDRESSES).prop_map(Step::Drain),
            2 => (0..ADDRESSES).prop_map(Step::Leave),
            10 => (0..ADDRESSES, prop::array::uniform3(0..4u32))
                .prop_map(|(place, held)| Step::Report(place, held)),
            2 => (1..9u64).prop_map(Step::Sheet),
            1 => (1..9u64).prop_map(Step::Published),
            2 => (0..ADAPTERS, 1..4u32).prop_map(|(adapter, version)| Step::Version(adapter, version)),
            20 => prop::option::of(0..ADAPTERS).prop_map(Step::Ask),
            12 => (any::<usize>(), fate).prop_map(|(place, fate)| Step::End(place, fate)),
            4 => Just(Step::Repeat),
            12 => (1..400u64).prop_map(Step::Advance),
            2 => Just(Step::Advance(5_000)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The same with replicas that say something of themselves.
struct SpokenSteps;

impl ReferenceStateMachine for SpokenSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let said = (any::<usize>(), prop::option::of(1..3_000u64));
        prop_oneof![
            12 => Steps::transitions(&()),
            1 => said.prop_map(|(place, rest)| Step::Say(place, rest)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Few replicas that name limits, and many requests.
struct LimitedSteps;

impl ReferenceStateMachine for LimitedSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let limit = (any::<usize>(), prop::option::weighted(0.6, 0..8u32));
        prop_oneof![
            1 => (0..2usize).prop_map(Step::Start),
            30 => Just(Step::Ask(None)),
            20 => any::<usize>().prop_map(|place| Step::End(place, AttemptOutcome::Answered)),
            8 => (1..300u64).prop_map(Step::Advance),
            6 => limit.prop_map(|(place, limit)| Step::Limit(place, limit)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Wrong rules that the fuzzing must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WrongRule {
    Right,
    /// A draining replica counts as ready.
    KeepsDraining,
    /// The replica before the one at an address stays.
    KeepsPredecessor,
    /// An older sheet is taken as if it were a newer one.
    TakesAnySheet,
    /// A new version of an adapter is not heard of.
    IgnoresVersions,
    /// Reports of an engine are taken for another one's.
    MixesReports,
    /// Repeats are made without a look at the budget.
    RepeatsFreely,
    /// The service's limit of connections is not known.
    NoConnectionLimit,
    /// What replicas say of themselves is heard by nobody.
    DeafToLeaving,
    DeafToRest,
    DeafToLimit,
    /// A good answer ends a limit, whenever its request was sent.
    AnyAnswerEndsLimit,
}

const RULES: [WrongRule; 12] = [
    WrongRule::Right,
    WrongRule::KeepsDraining,
    WrongRule::KeepsPredecessor,
    WrongRule::TakesAnySheet,
    WrongRule::IgnoresVersions,
    WrongRule::MixesReports,
    WrongRule::RepeatsFreely,
    WrongRule::NoConnectionLimit,
    WrongRule::DeafToLeaving,
    WrongRule::DeafToRest,
    WrongRule::DeafToLimit,
    WrongRule::AnyAnswerEndsLimit,
];

/// The oracle's word on one replica.
#[derive(Clone, Debug)]
struct Known {
    place: usize,
    is_ready: bool,
    held: [u32; ADAPTERS as usize],
    in_flight: usize,
    /// When it said that it leaves, and until when it wants rest.
    says_leaving: Option<Duration>,
    rests_until: Duration,
    limit: Option<KnownLimit>,
}

/// A limit that a replica names.
#[derive(Clone, Debug)]
struct KnownLimit {
    /// The highest rate of the window, and when it was last named.
    rate: f64,
    named_at: Duration,
    sent: Vec<Duration>,
}

impl Known {
    /// A good answer without a limit ends one when its request was chosen after the last answer that named it.
    fn note_limit(&mut self, rate: Option<f64>, chosen_at: Duration, now: Duration) {
        match (&mut self.limit, rate) {
            (Some(limit), Some(rate)) => {
                limit.rate = limit.rate.max(rate);
                limit.named_at = now;
            },
            (None, Some(rate)) => {
                self.limit = Some(KnownLimit { rate, named_at: now, sent: Vec::new() });
            },
            (Some(limit), None) if chosen_at > limit.named_at => self.limit = None,
            (_, None) => {},
        }
    }
}

struct Watched {
    machine: RelayMachine,
    rule: WrongRule,
    now: Duration,
    starts: u64,
    beacons: u64,
    /// Replicas that are there, by id.
    known: BTreeMap<String, Known>,
    /// Attempts in flight: replica and adapter, and when it was chosen.
    out: Vec<(String, Option<u8>, Duration)>,
    sheet: u64,
    /// Newest version of each adapter, and when it was told.
    versions: BTreeMap<u8, (u32, Duration)>,
    firsts: u32,
    repeats: u32,
}

fn key(adapter: u8) -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: format!("a{adapter}") }
}

fn route() -> RouteRecord {
    RouteRecord {
        name: "r".to_string(),
        host: "a.example".to_string(),
        prefix: "/".to_string(),
        kind: RouteKind::Stream,
        timeout: ms(60_000),
        aim: ms(800),
        patience: None,
        priority: 1,
        attempt_limit: 2,
        target_gap: None,
        is_public: true,
        targets: vec![RouteShare { service: "s".to_string(), weight: 1 }],
    }
}

impl Watched {
    fn new(rule: WrongRule) -> Self {
        let rules = RelayRules { retry_share: SHARE, retry_extra: SAVING, ..RelayRules::default() };
        let mut watched = Self {
            machine: RelayMachine::new(rules, 1),
            rule,
            now: ms(1_000),
            starts: 0,
            beacons: 0,
            known: BTreeMap::new(),
            out: Vec::new(),
            sheet: 0,
            versions: BTreeMap::new(),
            firsts: 0,
            repeats: 0,
        };
        watched.take_sheet(1);
        watched
    }

    fn sheet_of(&self, version: u64) -> PublishedConfig {
        let limit = match self.rule {
            WrongRule::NoConnectionLimit => 10_000,
            _ => CONNECTIONS,
        };
        // The route's name tells the version apart whatever number the sheet is given.
        let route = RouteRecord { name: version.to_string(), ..route() };
        let number = match self.rule {
            WrongRule::TakesAnySheet => self.machine.sheet().map_or(1, |sheet| sheet.version + 1),
            _ => version,
        };
        let services = vec![engine_service(limit, 3.0)];
        PublishedConfig::new(number, vec![route], services, CallerLimits::default())
    }

    fn take_sheet(&mut self, version: u64) {
        let sheet = self.sheet_of(version);
        self.machine.apply_configuration(sheet);
        self.check_sheet(version);
    }

    fn check_sheet(&mut self, version: u64) {
        self.sheet = self.sheet.max(version);
        let route = self.machine.sheet().unwrap().find_route("a.example", "/x").unwrap().clone();
        assert_eq!(route.name, self.sheet.to_string(), "an older sheet is in force");
    }

    fn published(&mut self, version: u64) {
        let replicas = self.machine.table().all().map(|view| view.record.clone()).collect();
        let ReadPositions { operator, replicas: listed } = self.machine.read();
        let next = |known: StorePosition| StorePosition { revision: known.revision + 1, ..known };
        let published = PublishedState {
            read: ReadPositions { operator: next(operator), replicas: next(listed) },
            sheet: Some(self.sheet_of(version)),
            versions: Vec::new(),
            replicas,
            ..PublishedState::default()
        };
        self.machine.take_published(published, self.now);
        self.check_sheet(version);
    }

    fn record(
        &self,
        id: &str,
        place: usize,
        created: StorePosition,
        state: ReplicaState,
    ) -> ReplicaRecord {
        let address = address(1 + place as u16);
        ReplicaRecord { address, created, state, ..example_record(id) }
    }

    fn start(&mut self, place: usize) {
        self.starts += 1;
        let id = format!("i-{}", self.starts);
        self.known.retain(|_, known| known.place != place);
        let known = Known {
            place,
            is_ready: true,
            held: Default::default(),
            in_flight: 0,
            says_leaving: None,
            rests_until: Duration::ZERO,
            limit: None,
        };
        self.known.insert(id.clone(), known);
        let created = match self.rule {
            WrongRule::KeepsPredecessor => 1,
            _ => self.starts,
        };
        let created = StorePosition::in_first_era(created);
        let record = self.record(&id, place, created, ReplicaState::Ready);
        self.machine.list(record, self.now);
    }

    /// The replica that runs at an address.
    fn at(&self, place: usize) -> Option<String> {
        let found = self.known.iter().find(|(_, known)| known.place == place);
        found.map(|(id, _)| id.clone())
    }

    fn drain(&mut self, place: usize) {
        let Some(id) = self.at(place) else { return };
        self.known.get_mut(&id).unwrap().is_ready = false;
        if self.rule == WrongRule::KeepsDraining {
            return;
        }
        let created = self
            .machine
            .table()
            .get(&id)
            .map_or(StorePosition::default(), |view| view.record.created);
        let record = self.record(&id, place, created, ReplicaState::Draining);
        self.machine.list(record, self.now);
    }

    fn leave(&mut self, place: usize) {
        let Some(id) = self.at(place) else { return };
        self.known.remove(&id);
        self.machine.unlist(&id, self.now);
    }

    fn report(&mut self, place: usize, held: [u32; ADAPTERS as usize]) {
        let Some(id) = self.at(place) else { return };
        self.known.get_mut(&id).unwrap().held = held;
        let adapters = (0..ADAPTERS).zip(held).filter(|(_, version)| *version > 0);
        let adapters =
            adapters.map(|(adapter, version)| HeldAdapter { key: key(adapter), version });
        self.beacons += 1;
        let told = match self.rule {
            WrongRule::MixesReports => (place + 1) % ADDRESSES,
            _ => place,
        };
        let beacon = EngineHeartbeat {
            host: format!("h{place}"),
            engine: address(1 + told as u16),
            number: self.beacons,
            incarnation: 1,
            report: EngineReport {
                models: vec!["m".to_string()],
                adapters: adapters.collect(),
                ..EngineReport::default()
            },
            model_loads: Vec::new(),
            content: 1,
            uses: Vec::new(),
            spare_places: None,
            arrivals: Vec::new(),
            relays: Vec::new(),
        };
        self.machine.take_report(&beacon, self.now);
    }

    fn version(&mut self, adapter: u8, version: u32) {
        let known = self.versions.get(&adapter).map_or(0, |(known, _)| *known);
        if version > known {
            self.versions.insert(adapter, (version, self.now));
        }
        if self.rule != WrongRule::IgnoresVersions {
            self.machine.take_version(key(adapter), version, true, self.now);
        }
    }

    fn ask(&mut self, adapter: Option<u8>) {
        let deadline = self.now + ms(60_000);
        if self.machine.admit("s", deadline, self.now).is_err() {
            return;
        }
        self.firsts += 1;
        let query = RelayQuery {
            route: Arc::new(route()),
            service: "s".to_string(),
            model: Some("m".to_string()),
            adapter: adapter.map(key),
            received: self.now,
            deadline,
            prompt_tokens: None,
            since_first_attempt: Duration::ZERO,
            choice_count: 0,
            grant: None,
            identity: None,
            parts: Vec::new(),
            origin: None,
        };
        match self.machine.choose(&query, &[], self.now) {
            RelayChoice::Send(order) => self.send(order.replica, adapter),
            RelayChoice::Refuse(refusal) => {
                assert_eq!(refusal.verdict, RunVerdict::NotRun, "nothing was sent");
                self.machine.finish();
            },
            RelayChoice::Wait(until) => {
                assert!(until > self.now && until <= deadline, "a wait has an end");
                self.machine.finish();
            },
        }
    }

    fn send(&mut self, replica: String, adapter: Option<u8>) {
        let known = self.known.get_mut(&replica).expect("a replica that is not there");
        assert!(known.is_ready, "a leaving replica gets a request");
        let is_late = known.says_leaving.is_some_and(|since| self.now > since + DRAIN_TIME);
        assert!(!is_late, "a replica that said that it leaves gets a request");
        assert!(self.now >= known.rests_until, "a resting replica gets a request");
        if let Some(limit) = &mut known.limit {
            limit.sent.push(self.now);
            limit.sent.retain(|sent| *sent + LIMIT_WINDOW >= self.now);
            let most = 1.5 * limit.rate * LIMIT_WINDOW.as_secs_f64() + 5.0;
            assert!(limit.sent.len() as f64 <= most, "more than a replica takes: {limit:?}");
        }
        if let Some(adapter) = adapter {
            let held = known.held[usize::from(adapter)];
            assert!(held > 0, "the engine does not hold the adapter");
            let newest = self.versions.get(&adapter);
            let is_late = newest.is_some_and(|(newest, told)| {
                held < *newest && self.now.saturating_sub(*told) > VERSION_TIME
            });
            assert!(!is_late, "a request begins on an old version");
        }
        known.in_flight += 1;
        assert!(known.in_flight <= CONNECTIONS, "too many connections");
        self.machine.begin_attempt(&replica, adapter.map(key).as_ref(), self.now);
        self.out.push((replica, adapter, self.now));
    }

    fn end(&mut self, place: usize, fate: AttemptOutcome) {
        let Some(place) = place.checked_rem(self.out.len()) else { return };
        let (replica, adapter, _) = self.out.remove(place);
        if let Some(known) = self.known.get_mut(&replica) {
            known.in_flight -= 1;
        }
        self.machine.end_attempt(&replica, adapter.map(key).as_ref(), fate, self.now);
        self.machine.finish();
    }

    fn say(&mut self, place: usize, rest: Option<u64>) {
        let Some(place) = place.checked_rem(self.out.len()) else { return };
        let replica = self.out[place].0.clone();
        let notice = UpstreamNotice { is_leaving: rest.is_none(), rest: rest.map(ms), limit: None };
        if let Some(known) = self.known.get_mut(&replica) {
            match notice.rest {
                Some(rest) => known.rests_until = known.rests_until.max(self.now + rest),
                None => drop(known.says_leaving.get_or_insert(self.now)),
            }
        }
        let is_heard = match self.rule {
            WrongRule::DeafToLeaving => !notice.is_leaving,
            WrongRule::DeafToRest => notice.rest.is_none(),
            _ => true,
        };
        if is_heard {
            let order = AttemptOrder::to(&example_record(&replica));
            self.machine.record_notice(&order, &notice, self.now);
        }
    }

    fn limit(&mut self, place: usize, limit: Option<u32>) {
        let Some(place) = place.checked_rem(self.out.len()) else { return };
        let (replica, _, chosen_at) = self.out[place].clone();
        if let Some(known) = self.known.get_mut(&replica) {
            known.note_limit(limit.map(|requests| f64::from(requests) / 10.0), chosen_at, self.now);
        }
        let mut order = AttemptOrder { chosen_at, ..AttemptOrder::to(&example_record(&replica)) };
        let limit = limit.and_then(|requests| RateLimit::per_second(f64::from(requests) / 10.0));
        match limit {
            Some(_) if self.rule == WrongRule::DeafToLimit => {},
            Some(_) => {
                let notice = UpstreamNotice { limit, ..UpstreamNotice::default() };
                self.machine.record_notice(&order, &notice, self.now);
            },
            None => {
                if self.rule == WrongRule::AnyAnswerEndsLimit {
                    order.chosen_at = self.now;
                }
                self.machine.record_no_limit(&order, self.now);
            },
        }
    }

    fn repeat(&mut self) {
        let is_allowed = self.machine.take_retry("s");
        if is_allowed || self.rule == WrongRule::RepeatsFreely {
            self.repeats += 1;
        }
        let most = SAVING + SHARE * f64::from(self.firsts);
        assert!(f64::from(self.repeats) <= most, "{} repeats of {}", self.repeats, self.firsts);
    }

    fn advance(&mut self, millis: u64) {
        self.now += ms(millis);
        self.machine.tick(self.now);
        // The machine falls back to the listing when no report is fresh; both name nothing here.
        for place in 0..ADDRESSES {
            let held = self.at(place).map(|id| self.known[&id].held);
            if let Some(held) = held {
                self.report(place, held);
            }
        }
    }
}

/// The test, with one of the rules by its number.
struct RelayFuzz<const RULE: usize>;

/// The same with replicas that say something of themselves.
struct WordFuzz<const RULE: usize>;

/// The same with replicas that name limits.
struct LimitFuzz<const RULE: usize>;

fn take(mut watched: Watched, step: Step) -> Watched {
    match step {
        Step::Start(place) => watched.start(place),
        Step::Drain(place) => watched.drain(place),
        Step::Leave(place) => watched.leave(place),
        Step::Report(place, held) => watched.report(place, held),
        Step::Sheet(version) => watched.take_sheet(version),
        Step::Published(version) => watched.published(version),
        Step::Version(adapter, version) => watched.version(adapter, version),
        Step::Ask(adapter) => watched.ask(adapter),
        Step::End(place, fate) => watched.end(place, fate),
        Step::Say(place, rest) => watched.say(place, rest),
        Step::Limit(place, limit) => watched.limit(place, limit),
        Step::Repeat => watched.repeat(),
        Step::Advance(millis) => watched.advance(millis),
    }
    watched
}

impl<const RULE: usize> StateMachineTest for RelayFuzz<RULE> {
    type SystemUnderTest = Watched;
    type Reference = Steps;

    fn init_test((): &()) -> Watched {
        Watched::new(RULES[RULE])
    }

    fn apply(watched: Watched, (): &(), step: Step) -> Watched {
        take(watched, step)
    }
}

impl<const RULE: usize> StateMachineTest for WordFuzz<RULE> {
    type SystemUnderTest = Watched;
    type Reference = SpokenSteps;

    fn init_test((): &()) -> Watched {
        Watched::new(RULES[RULE])
    }

    fn apply(watched: Watched, (): &(), step: Step) -> Watched {
        take(watched, step)
    }
}

impl<const RULE: usize> StateMachineTest for LimitFuzz<RULE> {
    type SystemUnderTest = Watched;
    type Reference = LimitedSteps;

    fn init_test((): &()) -> Watched {
        Watched::new(RULES[RULE])
    }

    fn apply(watched: Watched, (): &(), step: Step) -> Watched {
        take(watched, step)
    }
}

#[test]
fn the_relays_machine_keeps_limits_that_replicas_name() {
    fuzz::run_fuzz!(LimitedSteps, LimitFuzz<0>).unwrap_or_else(|fault| panic!("{fault}"));
}

#[test]
fn a_limit_that_nobody_hears_is_caught() {
    caught(fuzz::run_fuzz!(LimitedSteps, LimitFuzz<10>), "more than a replica takes");
}

#[test]
fn a_limit_that_any_answer_ends_is_caught() {
    caught(fuzz::run_fuzz!(LimitedSteps, LimitFuzz<11>), "more than a replica takes");
}

#[test]
fn the_relays_machine_keeps_what_must_always_hold() {
    fuzz::run_fuzz!(Steps, RelayFuzz<0>).unwrap_or_else(|fault| panic!("{fault}"));
}

#[test]
fn the_relays_machine_keeps_what_replicas_say() {
    fuzz::run_fuzz!(SpokenSteps, WordFuzz<0>).unwrap_or_else(|fault| panic!("{fault}"));
}

fn caught(result: Result<(), String>, expected: &str) {
    let fault = result.expect_err("the wrong rule is caught");
    assert!(fault.contains(expected), "{fault}");
}

#[test]
fn a_draining_replica_that_stays_is_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<1>), "a leaving replica gets a request");
}

#[test]
fn a_predecessor_that_stays_is_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<2>), "a replica that is not there");
}

#[test]
fn an_older_sheet_that_comes_back_is_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<3>), "an older sheet is in force");
}

#[test]
fn versions_that_are_not_heard_are_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<4>), "a request begins on an old version");
}

#[test]
fn reports_of_another_engine_are_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<5>), "the engine does not hold the adapter");
}

#[test]
fn repeats_beyond_the_budget_are_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<6>), "repeats of");
}

#[test]
fn connections_beyond_the_limit_are_caught() {
    caught(fuzz::run_fuzz!(Steps, RelayFuzz<7>), "too many connections");
}

#[test]
fn a_word_of_leaving_that_nobody_hears_is_caught() {
    let expected = "a replica that said that it leaves gets a request";
    caught(fuzz::run_fuzz!(SpokenSteps, WordFuzz<8>), expected);
}

#[test]
fn a_rest_that_nobody_keeps_is_caught() {
    caught(fuzz::run_fuzz!(SpokenSteps, WordFuzz<9>), "a resting replica gets a request");
}
