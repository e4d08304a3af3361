//! Relays of which a few watch the store and tell the others: what was published is known in time at
//! each, whoever of them is killed, paused, cut from the store or from the others.
//!
//! Answers the pattern of a large fleet in which every relay watched the store for itself, 140 to 280
//! calls a second. Grounds of the figures: the users' largest deployment, with 4 s for a configuration
//! and for replicas that leave, relays in five halls, and two beacons a second.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::knowledge::{PartAges, StoreKnowledge, StoreSummary};
use quillcove_core::relay::machine::{RelayMachine, RelayRules};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::replica::example_record;
use quillcove_core::relay::store_duty::{DutyRules, ReaderCandidate, StoreRole, choose_role};

const HALLS: usize = 5;

/// Milliseconds of a step of the simulation, and of a run.
const STEP: u64 = 50;
const RUN: u64 = 20_000;

/// Time between beacons.
const BEACON: u64 = 500;

/// Pause of a reader after an answer.
const GATHER: u64 = 600;

/// Time that a call of a relay takes to be answered, and after which one that is not is given up.
const CALL: u64 = 50;
const CALL_LIMIT: u64 = 800;

/// Time for which a relay that was heard counts as there.
const LIFETIME: u64 = 1_600;

/// The users' bound in milliseconds.
const BOUND: u64 = 4_000;

fn rules() -> DutyRules {
    let bound = Duration::from_millis(BOUND);
    DutyRules { apply_time: bound, drain_time: bound, ..DutyRules::default() }
}

fn ms(millis: u64) -> MonoTime {
    Duration::from_millis(millis)
}

fn host(number: usize) -> String {
    format!("front-{number}")
}

fn hall(number: usize) -> String {
    format!("hall-{}", number % HALLS)
}

/// What is wrong with the relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// What is told counts as complete at its arrival.
    AgeAtArrival,
    /// What was told is passed on as if it had been read, less the time of its way.
    PassesOnAges,
    /// A relay that is told never reads for itself.
    NeverReads,
    /// Word of a change is taken for word of nothing new.
    AdoptsOverChange,
    /// Old knowledge is read anew only half as long again after the users' bound.
    LateLimit,
}

/// Trouble of one relay in a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// It does nothing.
    Paused,
    /// Its calls of the store are not answered.
    CutFromStore,
    /// It neither hears others nor is heard.
    CutFromRelays,
}

#[derive(Clone, Copy, Debug)]
struct Incident {
    relay: usize,
    trouble: Trouble,
    from: u64,
    until: u64,
}

/// A call of the store that is under way.
#[derive(Clone, Copy, Debug)]
struct Call {
    began: u64,
    /// When it ends without a change, and when it is given up.
    ends: u64,
    given_up: u64,
    /// Whether it was ever cut.
    is_lost: bool,
}

struct Relay {
    knowledge: StoreKnowledge,
    /// Last revision that this relay knows the content of.
    content: u64,
    duty: StoreRole,
    is_up: bool,
    call: Option<Call>,
    next_call: u64,
    wants: bool,
    /// When each other relay was last heard, and whether the store answers it.
    heard: Vec<Option<(u64, bool)>>,
    words: Vec<(usize, StoreSummary)>,
    calls: usize,
}

impl Relay {
    fn new(count: usize) -> Self {
        Self {
            knowledge: StoreKnowledge::default(),
            content: 0,
            duty: StoreRole::Watches,
            is_up: true,
            call: None,
            next_call: 0,
            wants: true,
            heard: vec![None; count],
            words: Vec::new(),
            calls: 0,
        }
    }
}

/// A fleet beside a store that publishes at given moments; irrelevant changes come all the time.
struct Fleet {
    variant: Variant,
    relays: Vec<Relay>,
    incidents: Vec<Incident>,
    published: Vec<u64>,
    /// The first violation.
    fault: Option<String>,
}

impl Fleet {
    fn new(variant: Variant, count: usize, incidents: Vec<Incident>, published: Vec<u64>) -> Self {
        let relays = (0..count).map(|_| Relay::new(count)).collect();
        Self { variant, relays, incidents, published, fault: None }
    }

    fn has(&self, relay: usize, trouble: Trouble, now: u64) -> bool {
        let hits = |incident: &&Incident| {
            incident.relay == relay
                && incident.trouble == trouble
                && (incident.from..incident.until).contains(&now)
        };
        self.incidents.iter().any(|incident| hits(&incident))
    }

    /// Whether a relay had no trouble of its own in the time before this.
    fn is_in_touch(&self, relay: usize, now: u64) -> bool {
        let since = now.saturating_sub(BOUND + 1_000);
        let hits = |incident: &&Incident| {
            incident.relay == relay && incident.from <= now && since < incident.until
        };
        !self.incidents.iter().any(|incident| hits(&incident))
    }

    /// The store's revision: one more each step, and the last one at which something mattered.
    fn revision(now: u64) -> u64 {
        1 + now / STEP
    }

    fn last_change(&self, now: u64) -> u64 {
        let last = self.published.iter().filter(|at| **at <= now).max();
        last.map_or(1, |at| Self::revision(*at))
    }

    fn run(mut self) -> (Option<String>, usize) {
        for now in (0..RUN).step_by(STEP as usize) {
            for relay in 0..self.relays.len() {
                if !self.has(relay, Trouble::Paused, now) {
                    self.step(relay, now);
                }
            }
            self.deliver(now);
            self.check(now);
        }
        let calls = self.relays.iter().map(|relay| relay.calls).sum();
        (self.fault, calls)
    }

    fn step(&mut self, number: usize, now: u64) {
        self.take_words(number, now);
        self.end_call(number, now);
        self.choose(number, now);
        self.begin_call(number, now);
    }

    fn take_words(&mut self, number: usize, now: u64) {
        let variant = self.variant;
        let relay = &mut self.relays[number];
        for (from, mut word) in std::mem::take(&mut relay.words) {
            relay.heard[from] = Some((now, word.is_up));
            match variant {
                Variant::AgeAtArrival => word.ages.operator = Some(Duration::ZERO),
                Variant::AdoptsOverChange => word.changed = ReadPositions::default(),
                _ => {},
            }
            if !relay.knowledge.apply_summary(StorePart::Operator, &word, ms(now)) {
                relay.wants = true;
            } else if variant == Variant::PassesOnAges
                && relay.content > 0
                && let Some(age) = word.ages.operator
            {
                let read = word.read.operator;
                relay.knowledge.note_read(StorePart::Operator, read, ms(now).saturating_sub(age));
            }
        }
    }

    fn end_call(&mut self, number: usize, now: u64) {
        let is_cut = self.has(number, Trouble::CutFromStore, now);
        let (revision, change) = (Self::revision(now), self.last_change(now));
        let relay = &mut self.relays[number];
        let Some(call) = &mut relay.call else {
            return;
        };
        call.is_lost |= is_cut;
        let has_news = change > relay.content;
        if call.is_lost {
            if now >= call.given_up {
                relay.call = None;
                relay.is_up = false;
                relay.next_call = now + 100;
            }
            return;
        }
        if now < call.ends && !(has_news && now >= call.began + CALL) {
            return;
        }
        // A watch that ends without a change was answered after its whole time.
        let complete_at = if has_news { call.began } else { call.ends - CALL };
        relay.call = None;
        relay.is_up = true;
        relay.wants = false;
        relay.next_call = now + GATHER;
        relay.knowledge.note_read(
            StorePart::Operator,
            StorePosition::in_first_era(revision),
            ms(complete_at),
        );
        relay.content = change;
        if has_news {
            relay.knowledge.note_change(StorePart::Operator, StorePosition::in_first_era(change));
            self.tell(number, now);
        }
    }

    fn choose(&mut self, number: usize, now: u64) {
        let names: Vec<(String, String)> =
            (0..self.relays.len()).map(|other| (host(other), hall(other))).collect();
        let relay = &self.relays[number];
        let of = |other: usize, is_up| ReaderCandidate {
            host: &names[other].0,
            hall: &names[other].1,
            is_up,
        };
        let is_there = |heard: &(u64, bool)| now - heard.0 < LIFETIME;
        let others: Vec<ReaderCandidate<'_>> = relay
            .heard
            .iter()
            .enumerate()
            .filter_map(|(other, heard)| Some((other, heard.filter(is_there)?)))
            .map(|(other, (_, is_up))| of(other, is_up))
            .collect();
        let duty = choose_role(&rules(), of(number, relay.is_up), &others);
        let limit = match self.variant {
            Variant::LateLimit => ms(BOUND + BOUND / 2),
            _ => rules().age_limit(StorePart::Operator, &names[number].0),
        };
        let is_old = relay.knowledge.is_old(StorePart::Operator, limit, ms(now));
        let relay = &mut self.relays[number];
        relay.duty = duty;
        relay.wants |= is_old;
    }

    fn begin_call(&mut self, number: usize, now: u64) {
        let variant = self.variant;
        let relay = &mut self.relays[number];
        let is_first = relay.content == 0;
        let is_due = match relay.duty {
            StoreRole::Watches => true,
            StoreRole::IsTold => is_first || (relay.wants && variant != Variant::NeverReads),
        };
        if relay.call.is_some() || now < relay.next_call || !is_due {
            return;
        }
        let wait = match relay.duty {
            StoreRole::Watches if relay.is_up && !is_first => {
                rules().watch_time(StorePart::Replicas).unwrap().as_millis() as u64
            },
            _ => 0,
        };
        relay.calls += 1;
        let ends = now + CALL + wait;
        let given_up = now + wait + CALL_LIMIT;
        relay.call = Some(Call { began: now, ends, given_up, is_lost: false });
    }

    fn tell(&mut self, number: usize, now: u64) {
        if self.has(number, Trouble::CutFromRelays, now) {
            return;
        }
        let relay = &self.relays[number];
        let word = relay.knowledge.summary(relay.is_up, ms(now));
        for other in (0..self.relays.len()).filter(|other| *other != number) {
            if !self.has(other, Trouble::CutFromRelays, now) {
                self.relays[other].words.push((number, word));
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        for number in 0..self.relays.len() {
            let is_due = (now + 37 * number as u64 / STEP * STEP).is_multiple_of(BEACON);
            if is_due && !self.has(number, Trouble::Paused, now) {
                self.tell(number, now);
            }
        }
    }

    /// What was published longer ago than the bound is known to every relay in touch.
    fn check(&mut self, now: u64) {
        let Some(published) = now.checked_sub(BOUND) else {
            return;
        };
        let due = self.last_change(published);
        for (number, relay) in self.relays.iter().enumerate() {
            if relay.content < due && self.is_in_touch(number, now) && self.fault.is_none() {
                self.fault = Some(format!("relay {number} at {now} ms lacks revision {due}"));
            }
        }
    }
}

/// Every reader of a fleet of twenty fails at the same moment.
fn all_readers_fail(trouble: Trouble) -> Vec<Incident> {
    let names: Vec<(String, String)> = (0..20).map(|number| (host(number), hall(number))).collect();
    let of = |number: usize| ReaderCandidate {
        host: &names[number].0,
        hall: &names[number].1,
        is_up: true,
    };
    let is_reader = |number: &usize| {
        let others: Vec<_> = (0..20).filter(|other| other != number).map(of).collect();
        choose_role(&rules(), of(*number), &others) == StoreRole::Watches
    };
    let readers: Vec<usize> = (0..20).filter(is_reader).collect();
    assert!((4..=5).contains(&readers.len()), "{readers:?}");
    readers
        .into_iter()
        .map(|relay| Incident { relay, trouble, from: 5_020, until: 14_000 })
        .collect()
}

/// All relays of a fleet but one are cut from the store at the same moment.
fn only_one_reaches_the_store(count: usize, alone: usize) -> Vec<Incident> {
    let others = (0..count).filter(|relay| *relay != alone);
    let cut =
        |relay| Incident { relay, trouble: Trouble::CutFromStore, from: 5_020, until: 14_000 };
    others.map(cut).collect()
}

/// Days that show what each rule is for: the number of relays, what happens, and the moment of a
/// publication.
fn hard_days() -> impl Iterator<Item = (usize, Vec<Incident>, u64)> {
    let troubles = [Trouble::Paused, Trouble::CutFromStore, Trouble::CutFromRelays];
    let failing = troubles.map(all_readers_fail).into_iter();
    let alone = (0..20).step_by(3).map(|alone| only_one_reaches_the_store(20, alone));
    let days: Vec<Vec<Incident>> = failing.chain(alone).collect();
    let of_twenty = (4_250..9_000).step_by(500).flat_map(move |published| {
        days.clone().into_iter().map(move |incidents| (20, incidents, published))
    });
    // With so many relays in each hall, its own turn to read comes too late for the one.
    let of_sixty = [7, 29, 51].map(|alone| (60, only_one_reaches_the_store(60, alone), 5_250));
    of_twenty.chain(of_sixty)
}

#[test]
fn few_relays_of_a_large_fleet_read_and_all_of_a_small_one() {
    let calls = |count| {
        let (fault, calls) = Fleet::new(Variant::Sound, count, vec![], vec![7_000, 9_000]).run();
        assert_eq!(fault, None, "{count} relays");
        calls as f64 / count as f64
    };
    let (small, large) = (calls(4), calls(68));
    assert!(large * 3.0 < small, "{large} calls a relay of 68, {small} of 4");
}

#[test]
fn what_is_published_is_known_in_time_on_hard_days() {
    for (count, incidents, published) in hard_days() {
        let fleet = Fleet::new(Variant::Sound, count, incidents.clone(), vec![published]);
        let (fault, _) = fleet.run();
        assert_eq!(fault, None, "published at {published} ms, {incidents:?}");
    }
}

#[test]
fn every_wrong_variant_is_caught() {
    for variant in
        [Variant::AgeAtArrival, Variant::NeverReads, Variant::AdoptsOverChange, Variant::LateLimit]
    {
        let is_caught = hard_days().any(|(count, incidents, published)| {
            Fleet::new(variant, count, incidents, vec![published]).run().0.is_some()
        });
        assert!(is_caught, "{variant:?}");
    }
}

#[test]
fn bounds_that_leave_no_time_make_every_relay_read() {
    let rules = DutyRules::default();
    let names: Vec<(String, String)> = (0..50).map(|number| (host(number), hall(number))).collect();
    let of = |number: usize| ReaderCandidate {
        host: &names[number].0,
        hall: &names[number].1,
        is_up: true,
    };
    let others: Vec<_> = (1..50).map(of).collect();
    assert_eq!(choose_role(&rules, of(0), &others), StoreRole::Watches);
}

#[test]
fn a_relay_that_the_store_turns_away_is_no_reader_for_others() {
    let names: Vec<(String, String)> = (0..20).map(|number| (host(number), hall(number))).collect();
    let of = |number: usize, is_up| ReaderCandidate {
        host: &names[number].0,
        hall: &names[number].1,
        is_up,
    };
    // One hall after the other has only one relay that the store answers.
    for alone in 0..20 {
        let others: Vec<_> = (0..20)
            .filter(|other| *other != alone)
            .map(|other| of(other, other % HALLS != alone % HALLS))
            .collect();
        assert_eq!(choose_role(&rules(), of(alone, true), &others), StoreRole::Watches);
    }
}

#[test]
fn who_has_read_nothing_takes_no_word() {
    let mut knowledge = StoreKnowledge::default();
    let ages = PartAges { operator: Some(Duration::ZERO), replicas: None };
    let read =
        ReadPositions { operator: StorePosition::in_first_era(9), ..ReadPositions::default() };
    let word = StoreSummary { read, ages, is_up: true, ..StoreSummary::default() };
    assert!(knowledge.apply_summary(StorePart::Operator, &word, ms(10)));
    assert_eq!(knowledge.read().operator.revision, 0);
    assert!(knowledge.is_old(StorePart::Operator, ms(1_000), ms(10)));
}

/// A relay that knows the listing up to a revision by its own reading, with one replica in it.
fn knowing(revision: u64) -> RelayMachine {
    let mut machine = RelayMachine::new(RelayRules::default(), 1);
    machine.list(example_record("i-1"), ms(0));
    machine.knowledge_mut().note_read(
        StorePart::Replicas,
        StorePosition::in_first_era(revision),
        ms(0),
    );
    machine
}

/// Tells one relay's word to another; gives whether the other has to read, and what it takes itself to
/// know then.
fn told(to: &mut RelayMachine, from: &RelayMachine) -> (bool, u64) {
    let word = from.knowledge().summary(true, ms(10));
    let knows = to.knowledge_mut().apply_summary(StorePart::Replicas, &word, ms(10));
    (!knows, to.read().replicas.revision)
}

/// Seen on a day of the users' largest deployment: relays that the store did not answer took the state
/// of others, and the word of theirs carried everybody past a replica that had gone; work was sent to
/// it 4.0 s after.
#[test]
fn a_change_that_came_from_another_relay_is_not_passed_over_by_a_third() {
    let mut source = knowing(50);
    source.unlist("i-1", ms(5_000));
    source.knowledge_mut().note_read(
        StorePart::Replicas,
        StorePosition::in_first_era(60),
        ms(5_000),
    );
    source.knowledge_mut().note_change(StorePart::Replicas, StorePosition::in_first_era(55));
    let mut cut_off = knowing(40);
    cut_off.take_published(source.published(ms(5_000)), ms(5_000));
    assert!(cut_off.table().get("i-1").is_none());
    let mut third = knowing(50);
    assert_eq!(told(&mut third, &cut_off), (true, 50));
}

#[test]
fn a_relay_that_has_just_started_carries_nobody_past_what_went_before() {
    let mut started = RelayMachine::new(RelayRules::default(), 1);
    started.list_all(vec![], ms(5_000));
    started.knowledge_mut().note_read(
        StorePart::Replicas,
        StorePosition::in_first_era(60),
        ms(5_000),
    );
    started.knowledge_mut().note_whole(StorePart::Replicas, StorePosition::in_first_era(60));
    started.knowledge_mut().note_change(StorePart::Replicas, StorePosition::in_first_era(48));
    let mut other = knowing(50);
    assert_eq!(told(&mut other, &started), (false, 50));
    let mut newer = knowing(60);
    started.knowledge_mut().note_read(
        StorePart::Replicas,
        StorePosition::in_first_era(70),
        ms(6_000),
    );
    assert_eq!(told(&mut newer, &started), (false, 70));
}

fn incident(count: usize) -> impl Strategy<Value = Incident> {
    let trouble = prop_oneof![
        Just(Trouble::Paused),
        Just(Trouble::CutFromStore),
        Just(Trouble::CutFromRelays),
    ];
    (0..count, trouble, 0..RUN / STEP, 1u64..120).prop_map(|(relay, trouble, from, steps)| {
        let from = from * STEP;
        Incident { relay, trouble, from, until: from + steps * STEP }
    })
}

proptest! {
    #![proptest_config(fuzz::config_of(24))]

    /// Whatever happens to which relay, those in touch know in time.
    #[test]
    fn any_troubles_leave_the_bound(
        incidents in prop::collection::vec(incident(14), 0..40),
        published in prop::collection::vec(0..RUN, 1..8),
    ) {
        let (fault, _) = Fleet::new(Variant::Sound, 14, incidents, published).run();
        prop_assert_eq!(fault, None);
    }
}
