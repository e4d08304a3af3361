//! Resumed streams in simulated fleets of 1 to 420 relays: none holds events of two software versions, and those that
//! can go on do so. Loaders hold the origins; messages are late, lost and cut off.

#[allow(dead_code)]
mod relay_site;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayRules};
use quillcove_core::relay::origin::{
    KnownOrigin, OriginAnswer, OriginBook, OriginDigest, OriginLookup, OriginTracker, StreamKey,
    StreamOrigin,
};
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::PublishedConfig;
use quillcove_core::rendezvous;
use quillcove_core::route::{RouteKind, RouteRecord};
use relay_site::{engine_service, ms, query, stream_route};

/// Relays and engines of a fleet.
const SIZES: [(usize, usize); 5] = [(1, 6), (4, 12), (25, 40), (68, 78), (420, 790)];
const STREAMS: u64 = 400;
const STREAM_INTERVAL: Duration = Duration::from_millis(40);
/// When the trouble of a scenario begins, and how long a relay is cut off.
const TROUBLE_AT: Duration = Duration::from_secs(6);
const CUT_TIME: Duration = Duration::from_secs(4);
/// Share of the datagrams that are lost, in percent.
const LOST_PERCENT: u64 = 2;
/// Share of the streams that can go on and do, below which the aim is missed; the users' edge is half.
const RESUMED_AIM: f64 = 0.9;
/// The same where all relays are lost beside engines that leave.
const DEPARTURE_AIM: f64 = 0.99;
/// Interval of the relays' own work, and time over which a part of the engines leaves.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const DEPARTURE_TIME: Duration = Duration::from_millis(3_000);
/// Time for which an engine that leaves is listed as draining.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// Two versions serve side by side.
    SideBySide,
    /// Engines are replaced one after the other by a new version, from the first engine on.
    Release,
    /// The new version is taken back, engine by engine.
    Rollback,
    /// A third version is released beside two.
    ThirdVersion,
    /// Each relay in turn loses its state; in the end all at once.
    RelayLosses,
    /// A third of the engines ends while two versions serve.
    EngineCrash,
    /// A relay is cut off from the store and from all others while a new version begins to serve.
    CutOff,
    /// Half of the engines leave one after the other, replaced at other addresses by a new version; all relays lose their
    /// state once a third of that is done.
    LossInRelease,
    /// The same, and the new version is taken back after the loss.
    LossInRollback,
    /// A third of the engines leaves one after the other with no successor, and all relays lose their state.
    LossInShrinking,
}

const SCENARIOS: [Scenario; 7] = [
    Scenario::SideBySide,
    Scenario::Release,
    Scenario::Rollback,
    Scenario::ThirdVersion,
    Scenario::RelayLosses,
    Scenario::EngineCrash,
    Scenario::CutOff,
];

/// Scenarios in which engines leave their hosts, where the loaders go on.
const DEPARTURES: [Scenario; 3] =
    [Scenario::LossInRelease, Scenario::LossInRollback, Scenario::LossInShrinking];

/// What a relay does with a stream of unknown origin, or with a known one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Right,
    /// Concludes from the versions that are listed now.
    SoleListed,
    /// Goes on at the newest version.
    Newest,
    /// Rejects each stream that is taken up.
    RejectsAll,
    /// Forgets the origin when it chooses a replica.
    Unpinned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Report(usize),
    Ask(usize),
    Reply(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin(usize),
    Return(usize),
    LookUp(usize, usize),
    /// A message between a relay and the loader of an engine, about a stream.
    Deliver(Message, usize, SocketAddr),
    List(usize, usize),
    /// An engine that leaves is listed as draining at a relay, and not listed any more.
    Drain(usize, usize),
    Unlist(usize, usize),
    Tick(usize),
    Trouble(usize),
}

/// Returns the only origin that is listed now.
fn sole_listed(machine: &RelayMachine) -> Option<OriginDigest> {
    let origins = machine.table().all().map(|view| OriginDigest::of_record(&view.record));
    let origins: BTreeSet<OriginDigest> = origins.collect();
    origins.first().copied().filter(|_| origins.len() == 1)
}

struct Stream {
    begun: Option<OriginDigest>,
    begun_at: MonoTime,
    relay: usize,
}

#[derive(Default, Debug)]
struct Outcome {
    mixed: usize,
    /// Streams that were taken up at relays in touch while two engines of their version served, and those that went on.
    could_go_on: usize,
    went_on: usize,
}

struct Fleet {
    scenario: Scenario,
    variant: Variant,
    relays: Vec<RelayMachine>,
    engines: Vec<ReplicaRecord>,
    loaders: BTreeMap<SocketAddr, OriginBook>,
    streams: Vec<Stream>,
    answers: Vec<OriginAnswer>,
    reports: Vec<StreamOrigin>,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    draws: u64,
    /// Engines that leave, and until when they are listed as draining.
    leaving: Vec<(MonoTime, ReplicaRecord)>,
    /// When all relays were lost, in a scenario in which engines leave.
    lost_at: Option<MonoTime>,
    outcome: Outcome,
}

fn route() -> RouteRecord {
    RouteRecord { kind: RouteKind::ResumableStream, attempt_limit: 2, ..stream_route() }
}

fn key(stream: usize) -> StreamKey {
    StreamKey::of(&format!("stream-{stream}"))
}

fn relay(seed: u64) -> RelayMachine {
    let mut machine = RelayMachine::new(RelayRules::default(), seed);
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![route()],
        vec![engine_service(360, 3.0)],
        Default::default(),
    ));
    machine
}

impl Fleet {
    fn start(size: (usize, usize), scenario: Scenario, variant: Variant, seed: u64) -> Self {
        let has_one = [Scenario::Release, Scenario::Rollback, Scenario::CutOff].contains(&scenario)
            || [Scenario::LossInRelease, Scenario::LossInRollback].contains(&scenario);
        let has_two = !has_one;
        let engine = |number: usize| {
            let software =
                Some(if has_two && number.is_multiple_of(3) { "v2" } else { "v1" }.to_string());
            let [high, low] = (number as u16).to_be_bytes();
            let address = SocketAddr::from(([10, 0, high, low], 8301));
            let created = StorePosition::in_first_era(number as u64 + 1);
            let record = example_record(&format!("i-{number}"));
            ReplicaRecord { address, software, created, ..record }
        };
        let engines: Vec<ReplicaRecord> = (0..size.1).map(engine).collect();
        let mut fleet = Self {
            scenario,
            variant,
            relays: (0..size.0).map(|number| relay(seed * 1_000 + number as u64)).collect(),
            loaders: engines.iter().map(|it| (it.address, OriginBook::default())).collect(),
            engines,
            streams: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
            events: BinaryHeap::new(),
            draws: seed << 32,
            leaving: Vec::new(),
            lost_at: None,
            outcome: Outcome::default(),
        };
        for machine in &mut fleet.relays {
            for record in &fleet.engines {
                machine.list(record.clone(), ms(0));
            }
        }
        for number in 0..STREAMS as usize {
            fleet.push(STREAM_INTERVAL * number as u32, Event::Begin(number));
        }
        fleet.push(TROUBLE_AT, Event::Trouble(0));
        if DEPARTURES.contains(&scenario) {
            (0..size.0).for_each(|relay| fleet.push(TICK_INTERVAL, Event::Tick(relay)));
        }
        fleet
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        rendezvous::weight("sim", &self.draws.to_string()) % below
    }

    fn push(&mut self, at: MonoTime, event: Event) {
        self.draws += 1;
        self.events.push(Reverse((at, self.draws, event)));
    }

    fn is_cut_off(&self, relay: usize, now: MonoTime) -> bool {
        let is_in_trouble = now >= TROUBLE_AT && now < TROUBLE_AT + CUT_TIME;
        self.scenario == Scenario::CutOff && relay == 0 && is_in_trouble
    }

    fn send(&mut self, message: Message, relay: usize, engine: SocketAddr, now: MonoTime) {
        if self.draw(100) >= LOST_PERCENT && !self.is_cut_off(relay, now) {
            let latency = ms(1 + self.draw(3));
            self.push(now + latency, Event::Deliver(message, relay, engine));
        }
    }

    fn play(mut self) -> Outcome {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Begin(stream) => self.begin(stream, now),
                Event::Return(stream) => {
                    let relay = self.draw(self.relays.len() as u64) as usize;
                    self.look_up(stream, relay, now);
                },
                Event::LookUp(stream, relay) => self.look_up(stream, relay, now),
                Event::Deliver(message, relay, engine) => {
                    self.deliver(message, relay, engine, now);
                },
                Event::List(relay, engine) if self.is_cut_off(relay, now) => {
                    self.push(TROUBLE_AT + CUT_TIME, Event::List(relay, engine));
                },
                Event::List(relay, engine) => {
                    self.relays[relay].list(self.engines[engine].clone(), now);
                },
                Event::Drain(relay, leaving) => {
                    self.relays[relay].list(self.leaving[leaving].1.clone(), now);
                },
                Event::Unlist(relay, leaving) => {
                    self.relays[relay].unlist(&self.leaving[leaving].1.id, now);
                },
                Event::Tick(relay) => self.tick(relay, now),
                Event::Trouble(step) => self.trouble(step, now),
            }
        }
        self.outcome
    }

    fn begin(&mut self, stream: usize, now: MonoTime) {
        let relay = self.draw(self.relays.len() as u64) as usize;
        let choice = self.relays[relay].choose(&query(route(), None, now), &[], now);
        let begun = match choice {
            RelayChoice::Send(order) => Some(OriginDigest::of("s", order.software.as_deref())),
            RelayChoice::Wait(_) | RelayChoice::Refuse(_) => None,
        };
        self.streams.push(Stream { begun, begun_at: now, relay });
        let Some(origin) = begun else {
            return;
        };
        let report = StreamOrigin { stream: key(stream), origin, lifetime: ms(15_000) };
        self.relays[relay].begin_stream(RouteKind::ResumableStream, report, now);
        self.send_messages(relay, stream, now);
        let longest = if DEPARTURES.contains(&self.scenario) { 8_000 } else { 3_000 };
        let broken_after = ms(self.draw(longest));
        let return_after = ms(3 + self.draw(20));
        self.push(now + broken_after + return_after, Event::Return(stream));
    }

    /// Sends the reports and questions of a relay; questions are all about one stream here.
    fn send_messages(&mut self, relay: usize, stream: usize, now: MonoTime) {
        let machine = &mut self.relays[relay];
        let questions = machine.origins_mut().take_questions();
        let asked = machine.asked_holders(key(stream), now);
        self.send_reports(relay, now);
        for question in questions {
            self.relays[relay].origins_mut().note_asked(question, &asked);
            for holder in &asked {
                self.send(Message::Ask(stream), relay, *holder, now);
            }
        }
    }

    fn send_reports(&mut self, relay: usize, now: MonoTime) {
        for report in self.relays[relay].origins_mut().take_reports() {
            self.reports.push(report);
            for holder in self.relays[relay].origin_holders(report.stream) {
                self.send(Message::Report(self.reports.len() - 1), relay, holder, now);
            }
        }
    }

    fn tick(&mut self, relay: usize, now: MonoTime) {
        self.relays[relay].tick(now);
        self.send_reports(relay, now);
        if now < STREAM_INTERVAL * STREAMS as u32 {
            self.push(now + TICK_INTERVAL, Event::Tick(relay));
        }
    }

    fn deliver(&mut self, message: Message, relay: usize, engine: SocketAddr, now: MonoTime) {
        let book = self.loaders.get_mut(&engine).expect("each engine has a loader");
        match message {
            Message::Report(number) => drop(book.record(&self.reports[number], now)),
            Message::Ask(stream) => {
                self.answers.push(book.answer(key(stream), now));
                self.send(Message::Reply(self.answers.len() - 1), relay, engine, now);
            },
            Message::Reply(number) => {
                let answer = self.answers[number];
                let is_over = self.relays[relay].origins_mut().take_answer(&answer, engine, now);
                let waits = |stream: &usize| key(*stream) == answer.stream;
                if let Some(stream) = (0..self.streams.len()).find(waits).filter(|_| is_over) {
                    self.push(now, Event::LookUp(stream, relay));
                }
            },
        }
    }

    fn look_up(&mut self, stream: usize, relay: usize, now: MonoTime) {
        // A stream whose lookup has ended is not looked up again.
        let Some(begun) = self.streams[stream].begun else {
            return;
        };
        let found = self.relays[relay].origins_mut().look_up(key(stream), now);
        self.send_messages(relay, stream, now);
        let origin = match found {
            OriginLookup::Pending(until) => {
                self.streams[stream].relay = relay;
                return self.push(until, Event::LookUp(stream, relay));
            },
            OriginLookup::Known(KnownOrigin::Began(origin)) => Some(origin),
            OriginLookup::Known(KnownOrigin::Ambiguous) | OriginLookup::Unknown => None,
        };
        self.streams[stream].begun = None;
        let machine = &mut self.relays[relay];
        let newest = || machine.table().all().map(|view| &view.record.software).max().cloned();
        let origin = match (self.variant, origin) {
            (Variant::RejectsAll, _) => None,
            (Variant::SoleListed, None) => sole_listed(machine),
            (Variant::Newest, None) => {
                newest().map(|software| OriginDigest::of("s", software.as_deref()))
            },
            (_, origin) => origin,
        };
        let pinned = origin.filter(|_| self.variant != Variant::Unpinned);
        let mut resumed = query(route(), None, now);
        resumed.origin = pinned;
        let choice = origin.map(|_| machine.choose(&resumed, &[], now));
        let went_on = match &choice {
            Some(RelayChoice::Send(order)) => {
                Some(OriginDigest::of("s", order.software.as_deref()))
            },
            _ => None,
        };
        let of_origin = |record: &&ReplicaRecord| {
            record.state == ReplicaState::Ready && OriginDigest::of_record(record) == begun
        };
        let is_servable = self.engines.iter().filter(of_origin).count() >= 2;
        // Where engines leave, only the streams that were open at the loss of the relays count.
        let was_open = |lost_at| self.streams[stream].begun_at < lost_at && now >= lost_at;
        let is_counted = !DEPARTURES.contains(&self.scenario) || self.lost_at.is_some_and(was_open);
        let could_go_on = is_counted && is_servable && !self.is_cut_off(relay, now);
        self.outcome.mixed += usize::from(went_on.is_some_and(|origin| origin != begun));
        self.outcome.could_go_on += usize::from(could_go_on);
        self.outcome.went_on += usize::from(could_go_on && went_on.is_some());
    }

    /// Replaces an engine by one of another version: the predecessor leaves the list as its successor enters.
    fn replace(&mut self, step: usize, engine: usize, version: &str, now: MonoTime) {
        let count = self.engines.len();
        let record = &self.engines[engine];
        let created = StorePosition::in_first_era((count + step) as u64 + 1);
        let (id, software) = (format!("i-new-{step}"), Some(version.to_string()));
        self.engines[engine] = ReplicaRecord { id, software, created, ..record.clone() };
        for relay in 0..self.relays.len() {
            let delay = ms(self.draw(600));
            self.push(now + delay, Event::List(relay, engine));
        }
        self.push(now + ms(3_000) / count as u32, Event::Trouble(step + 1));
    }

    /// Takes an engine away whose loader goes on, and puts one of a version at another address, if one is named.
    fn depart(&mut self, step: usize, engine: usize, version: Option<&str>, now: MonoTime) {
        let old = self.engines[engine].clone();
        let [high, low] = (step as u16).to_be_bytes();
        match version {
            Some(version) => {
                let address = SocketAddr::from(([10, 1, high, low], 8301));
                let created = StorePosition::in_first_era((self.engines.len() + step) as u64 + 1);
                let (id, software) = (format!("i-new-{step}"), Some(version.to_string()));
                self.engines[engine] =
                    ReplicaRecord { id, software, created, address, ..old.clone() };
                self.loaders.insert(address, OriginBook::default());
            },
            None => self.engines[engine].state = ReplicaState::Draining,
        }
        let draining = ReplicaRecord { state: ReplicaState::Draining, ..old };
        self.leaving.push((now + DRAIN_TIME, draining));
        let leaving = self.leaving.len() - 1;
        for relay in 0..self.relays.len() {
            let delay = ms(self.draw(600));
            if version.is_some() {
                self.push(now + delay, Event::List(relay, engine));
            }
            self.push(now + delay, Event::Drain(relay, leaving));
            self.push(now + delay + DRAIN_TIME, Event::Unlist(relay, leaving));
        }
    }

    fn lose_relays(&mut self, lost: std::ops::Range<usize>, now: MonoTime) {
        for number in lost {
            self.relays[number] = relay(now.as_millis() as u64 + number as u64);
            let leaving = self.leaving.iter().filter(|(until, _)| now < *until);
            let listed = self.engines.iter().chain(leaving.map(|(_, record)| record));
            for record in listed {
                self.relays[number].list(record.clone(), now);
            }
        }
    }

    /// One step of a scenario in which engines leave.
    fn departure(&mut self, step: usize, now: MonoTime) {
        let (relays, engines) = (self.relays.len(), self.engines.len());
        let (half, third) = (engines / 2, engines / 3);
        let (last, lost_at) = match self.scenario {
            Scenario::LossInShrinking => (third, third),
            _ => (half, third),
        };
        match self.scenario {
            Scenario::LossInShrinking if step < third => self.depart(step, step * 3, None, now),
            Scenario::LossInRollback if step >= third && step < half => {
                self.depart(step, step - third, Some("v1"), now)
            },
            _ if step < last => self.depart(step, step, Some("v2"), now),
            _ => {},
        }
        if step == lost_at {
            self.lose_relays(0..relays, now);
            self.lost_at = Some(now);
        }
        if step < last {
            self.push(now + DEPARTURE_TIME / last as u32, Event::Trouble(step + 1));
        }
    }

    fn trouble(&mut self, step: usize, now: MonoTime) {
        let (relays, engines, half) =
            (self.relays.len(), self.engines.len(), self.engines.len() / 2);
        match self.scenario {
            Scenario::SideBySide => {},
            Scenario::Release | Scenario::CutOff if step < half => {
                self.replace(step, step, "v2", now)
            },
            Scenario::Rollback if step < half => self.replace(step, step, "v2", now),
            Scenario::Rollback if step < half * 2 => self.replace(step, step - half, "v1", now),
            Scenario::ThirdVersion if step < half => self.replace(step, step, "v3", now),
            Scenario::RelayLosses if step <= relays => {
                let lost = if step == relays { 0..relays } else { step..step + 1 };
                self.lose_relays(lost, now);
                self.push(now + ms(4_000) / relays as u32, Event::Trouble(step + 1));
            },
            Scenario::EngineCrash => {
                for engine in (0..engines).step_by(3) {
                    self.engines[engine].state = ReplicaState::Draining;
                    (0..relays).for_each(|relay| self.push(now, Event::List(relay, engine)));
                }
            },
            Scenario::Release | Scenario::Rollback | Scenario::ThirdVersion => {},
            Scenario::CutOff | Scenario::RelayLosses => {},
            Scenario::LossInRelease | Scenario::LossInRollback | Scenario::LossInShrinking => {
                self.departure(step, now);
            },
        }
    }
}

/// Returns the failures of the two-sided oracle.
fn failures(size: (usize, usize), scenario: Scenario, variant: Variant) -> Vec<String> {
    failures_at(size, scenario, variant, 61)
}

fn failures_at(
    size: (usize, usize),
    scenario: Scenario,
    variant: Variant,
    seed: u64,
) -> Vec<String> {
    let outcome = Fleet::start(size, scenario, variant, seed).play();
    let share = outcome.went_on as f64 / outcome.could_go_on.max(1) as f64;
    println!("{size:?} {scenario:?} {variant:?}: {outcome:?}, share {share:.3}");
    let mixed = (outcome.mixed > 0).then(|| format!("{scenario:?}: {} mixed", outcome.mixed));
    let (least, aim) = match DEPARTURES.contains(&scenario) {
        true => (50, DEPARTURE_AIM),
        false => (100, RESUMED_AIM),
    };
    let is_lost = outcome.could_go_on < least || share < aim;
    mixed.into_iter().chain(is_lost.then(|| format!("{scenario:?}: {share} go on"))).collect()
}

/// Guards against streams of two software versions and against rejections of streams that can go on.
#[test]
fn streams_go_on_at_their_own_version_in_fleets_of_any_size() {
    for size in SIZES {
        for scenario in SCENARIOS {
            assert_eq!(failures(size, scenario, Variant::Right), Vec::<String>::new(), "{size:?}");
        }
    }
}

/// Guards against streams that are rejected after the loss of all relays, as the engines beside whose loaders their origins
/// are held have left the list.
#[test]
fn streams_go_on_after_a_loss_of_all_relays_while_engines_leave() {
    for size in &SIZES[1..4] {
        for scenario in DEPARTURES {
            for seed in 1..4 {
                let failures = failures_at(*size, scenario, Variant::Right, seed);
                assert_eq!(failures, Vec::<String>::new(), "{size:?} at seed {seed}");
            }
        }
    }
}

/// Guards against an oracle that a wrong way of finding a stream's origin passes.
#[test]
fn each_wrong_variant_is_caught() {
    for variant in [Variant::SoleListed, Variant::Newest, Variant::RejectsAll, Variant::Unpinned] {
        let found = SCENARIOS.map(|scenario| failures((4, 12), scenario, variant));
        assert!(found.iter().any(|failures| !failures.is_empty()), "{variant:?} passes");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against any order of reports, answers, lists and losses by which a stream holds two versions.
    #[test]
    fn no_stream_holds_two_versions(
        seed in 0..1_000_000u64,
        scenario in 0..SCENARIOS.len(),
        relays in 1..6usize,
        engines in 4..16usize,
    ) {
        let fleet = Fleet::start((relays, engines), SCENARIOS[scenario], Variant::Right, seed);
        prop_assert_eq!(fleet.play().mixed, 0);
    }

    /// Guards against an order of reports, answers, expiries and repeated ids that makes a relay believe an origin
    /// that nobody reported, or one of two.
    #[test]
    fn an_origin_is_believed_only_as_reported(
        steps in proptest::collection::vec((0..4u8, 0..3usize, 0..2u8, 0..20_000u64), 1..60),
    ) {
        let from = SocketAddr::from(([127, 0, 0, 1], 1));
        let (mut tracker, mut holder) = (OriginTracker::default(), OriginBook::default());
        let mut reported: BTreeMap<usize, Vec<OriginDigest>> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for (step, stream, version, elapsed) in steps {
            now += ms(elapsed / 20);
            let origin = OriginDigest::of("s", Some(["v1", "v2"][usize::from(version)]));
            let report = StreamOrigin { stream: key(stream), origin, lifetime: ms(15_000) };
            match step {
                0 => tracker.begin(report, now),
                1 => drop(holder.record(&report, now)),
                2 => drop(tracker.take_answer(&holder.answer(key(stream), now), from, now)),
                _ => {},
            }
            if step < 2 {
                reported.entry(stream).or_default().push(origin);
            }
            if let OriginLookup::Known(KnownOrigin::Began(found)) = tracker.look_up(key(stream), now) {
                let all = reported.get(&stream).cloned().unwrap_or_default();
                prop_assert!(all.contains(&found), "nobody reported it");
            }
        }
    }
}
