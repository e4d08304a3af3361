//! A fleet beside a store that comes back older: whatever is written, and written again, is known at every relay in
//! time, although revisions are given out again and few relays read.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

use std::ops::Range;
use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::ids::{MonoTime, StoreEra};
use quillcove_core::relay::follower::{AnswerEra, PartWatcher, StoreCall, WatchRules};
use quillcove_core::relay::knowledge::{StoreKnowledge, StoreSummary};
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::store_duty::DutyRules;

const PART: StorePart = StorePart::Operator;

/// Milliseconds of a step of the simulation, and of a run.
const STEP: u64 = 50;
const RUN: u64 = 20_000;

/// Time between beacons.
const BEACON: u64 = 500;

/// Relays that read the store; the others are told.
const READERS: usize = 2;

/// The users' bound in milliseconds, and the time after trouble from which it holds.
const BOUND: u64 = 3_000;
const CONTACT_TIME: u64 = 3_000;

/// Changes of the store that concern no relay, in each step.
const OTHER_CHANGES: u64 = 1;

/// What is wrong with the relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// Nobody reads the era.
    NoEra,
    /// A relay heeds the era in its own readings, and words of others have none.
    NoEraInWords,
    /// The changes after a position of the era before are taken, unless the store says that it lacks them.
    TakesChangesAcross,
    /// A reader tells only of what it did not know itself.
    TellsOwnNewsOnly,
}

/// The store goes back: it is away from one moment to another, and goes on from a copy of an earlier one.
#[derive(Clone, Copy, Debug)]
struct Drill {
    copied: u64,
    from: u64,
    until: u64,
    /// Time until what was lost is written again.
    again_after: u64,
    /// Whether what concerns no relay is written again as well, so that the counter is soon where it was.
    is_all_again: bool,
}

/// A value that was written at a moment of the run; later ones have higher numbers.
#[derive(Clone, Copy, Debug)]
struct Write {
    number: u64,
    at: u64,
    position: StorePosition,
}

/// The store: its era and revision, and what it has.
struct Store {
    position: StorePosition,
    writes: Vec<Write>,
    lost: Vec<u64>,
    /// Changes that concern no relay and were lost.
    others_lost: u64,
    is_away: bool,
}

impl Store {
    fn write(&mut self, number: u64, at: u64) {
        self.position.revision += 1;
        self.writes.push(Write { number, at, position: self.position });
    }

    fn newest(&self) -> u64 {
        self.writes.iter().map(|write| write.number).max().unwrap_or(0)
    }

    /// The newest value among the changes after a revision; `None` when it does not have them.
    fn changes(&self, after: u64) -> Option<u64> {
        let changes = self.writes.iter().filter(|write| write.position.revision > after);
        let newest = changes.map(|write| write.number).max().unwrap_or(0);
        (after <= self.position.revision).then_some(newest)
    }
}

/// Trouble between relays, beside a drill.
#[derive(Clone, Debug, Default)]
struct Trouble {
    /// Steps in which those that read the store do nothing.
    frozen: Range<u64>,
    /// One of so many words is lost; none where it is zero.
    lost_each: u64,
}

struct Relay {
    follower: PartWatcher,
    knowledge: StoreKnowledge,
    /// Newest value that is known.
    newest: u64,
    next_call: u64,
    wants: bool,
    calls: usize,
    words: Vec<StoreSummary>,
}

struct Fleet {
    variant: Variant,
    trouble: Trouble,
    words: u64,
    store: Store,
    copies: Vec<(u64, StorePosition, Vec<Write>)>,
    relays: Vec<Relay>,
    fault: Option<String>,
}

fn ms(millis: u64) -> MonoTime {
    Duration::from_millis(millis)
}

fn duty_rules() -> DutyRules {
    DutyRules { apply_time: ms(BOUND), drain_time: ms(BOUND), ..DutyRules::default() }
}

impl Fleet {
    fn new(variant: Variant, count: usize) -> Self {
        let relay = |_| Relay {
            follower: PartWatcher::new(WatchRules::default()),
            knowledge: StoreKnowledge::default(),
            newest: 0,
            next_call: 0,
            wants: true,
            calls: 0,
            words: Vec::new(),
        };
        let position = StorePosition { era: 1, revision: 1 };
        let store = Store {
            position,
            writes: Vec::new(),
            lost: Vec::new(),
            others_lost: 0,
            is_away: false,
        };
        let relays = (0..count).map(relay).collect();
        let (trouble, copies) = (Trouble::default(), Vec::new());
        Self { variant, trouble, words: 0, store, copies, relays, fault: None }
    }

    fn with(self, trouble: Trouble) -> Self {
        Self { trouble, ..self }
    }

    fn is_frozen(&self, relay: usize, now: u64) -> bool {
        relay < READERS && self.trouble.frozen.contains(&now)
    }

    /// Whether a relay was frozen lately, so that the bound does not hold for it.
    fn was_frozen(&self, relay: usize, now: u64) -> bool {
        let Range { start, end } = self.trouble.frozen;
        relay < READERS && (start..end + CONTACT_TIME).contains(&now)
    }

    /// Plays a run; gives what was known too late, and the calls of a relay.
    fn run(mut self, written: &[u64], drills: &[Drill]) -> (Option<String>, f64) {
        for now in (0..RUN).step_by(STEP as usize) {
            self.store.position.revision += OTHER_CHANGES;
            for (number, _) in written.iter().enumerate().filter(|(_, at)| **at == now) {
                self.store.write(number as u64 + 1, now);
            }
            drills.iter().for_each(|drill| self.drill(drill, now));
            for number in 0..self.relays.len() {
                if !self.is_frozen(number, now) {
                    self.hear(number, now);
                    self.call(number, now);
                }
            }
            self.tell(now);
            self.check(drills, now);
        }
        let calls: usize = self.relays.iter().map(|relay| relay.calls).sum();
        let count = self.relays.len() as f64;
        (self.fault, calls as f64 / count)
    }

    fn drill(&mut self, drill: &Drill, now: u64) {
        if now == drill.copied {
            self.copies.push((now, self.store.position, self.store.writes.clone()));
        }
        if now == drill.from {
            self.store.is_away = true;
        }
        if now == drill.until {
            self.store.is_away = false;
            let found = self.copies.iter().find(|(at, ..)| *at == drill.copied);
            let (_, position, writes) = found.unwrap().clone();
            let lost = self.store.writes.iter().map(|write| write.number);
            let lost = lost.filter(|number| writes.iter().all(|kept| kept.number != *number));
            self.store.lost.extend(lost);
            let era = self.store.position.era + 1;
            self.store.others_lost += self.store.position.revision - position.revision;
            self.store.position = StorePosition { era, ..position };
            self.store.writes = writes;
        }
        if now == drill.until + drill.again_after {
            for number in std::mem::take(&mut self.store.lost) {
                self.store.write(number, now);
            }
            let others = std::mem::take(&mut self.store.others_lost);
            self.store.position.revision += if drill.is_all_again { others } else { 0 };
        }
    }

    /// The era of an answer, as far as relays of this variant see it.
    fn era(&self) -> StoreEra {
        match self.variant {
            Variant::NoEra => 0,
            _ => self.store.position.era,
        }
    }

    fn hear(&mut self, number: usize, now: u64) {
        let variant = self.variant;
        let relay = &mut self.relays[number];
        for mut word in std::mem::take(&mut relay.words) {
            if variant == Variant::NoEraInWords {
                let era = relay.knowledge.read().of(PART).era;
                word.read.operator.era = era;
                word.changed.operator.era = era;
                word.since.operator.era = era;
            }
            relay.wants |= !relay.knowledge.apply_summary(PART, &word, ms(now));
        }
        let limit = duty_rules().age_limit(PART, &format!("front-{number}"));
        relay.wants |= relay.knowledge.is_old(PART, limit, ms(now));
    }

    /// Calls the store, if this relay reads it or has to; answers come at once.
    fn call(&mut self, number: usize, now: u64) {
        let is_due = number < READERS || self.relays[number].wants;
        if now < self.relays[number].next_call || !is_due {
            return;
        }
        let era = self.era();
        let variant = self.variant;
        let store = &self.store;
        let relay = &mut self.relays[number];
        relay.calls += 1;
        relay.follower.advance_to(relay.knowledge.read().of(PART));
        if store.is_away {
            relay.next_call = now + relay.follower.record_failure().as_millis() as u64;
            return;
        }
        let position = StorePosition { era, revision: store.position.revision };
        let (found, is_whole) = match relay.follower.next_call() {
            StoreCall::Whole => (Some(store.newest()), true),
            StoreCall::Changes { after, .. } => {
                let is_later = AnswerEra::judge(era, after.era) == AnswerEra::Later;
                let is_refused = is_later && variant != Variant::TakesChangesAcross;
                (store.changes(after.revision).filter(|_| !is_refused), false)
            },
        };
        let Some(newest) = found else {
            relay.follower.forget();
            relay.next_call = now + STEP;
            return;
        };
        // What is written again may be known here, and not to those that have read the copy alone.
        let is_written = !is_whole && newest > 0 && variant != Variant::TellsOwnNewsOnly;
        let is_news = is_written || newest > relay.newest;
        relay.newest = relay.newest.max(newest);
        relay.wants = false;
        relay.knowledge.note_read(PART, position, ms(now));
        if is_whole {
            relay.knowledge.note_whole(PART, position);
        }
        if is_news {
            relay.knowledge.note_change(PART, position);
        }
        relay.next_call = now + relay.follower.record_response(position).as_millis() as u64;
    }

    fn tell(&mut self, now: u64) {
        for number in 0..self.relays.len() {
            let is_due = (now + 37 * number as u64 / STEP * STEP).is_multiple_of(BEACON);
            if !is_due || self.is_frozen(number, now) {
                continue;
            }
            let word = self.relays[number].knowledge.summary(!self.store.is_away, ms(now));
            for other in (0..self.relays.len()).filter(|other| *other != number) {
                self.words += 1;
                let lost_each = self.trouble.lost_each;
                if lost_each == 0 || !self.words.is_multiple_of(lost_each) {
                    self.relays[other].words.push(word);
                }
            }
        }
    }

    /// What the store has had for longer than the bound is known to every relay, once the store has not been away
    /// for the contact time.
    fn check(&mut self, drills: &[Drill], now: u64) {
        let is_trouble = |drill: &Drill| drill.from <= now && now < drill.until + CONTACT_TIME;
        if drills.iter().any(is_trouble) || self.fault.is_some() {
            return;
        }
        let due = self.store.writes.iter().filter(|write| write.at + BOUND <= now);
        let due = due.map(|write| write.number).max().unwrap_or(0);
        let is_late =
            |(number, relay): (usize, &Relay)| relay.newest < due && !self.was_frozen(number, now);
        let late = self.relays.iter().enumerate().position(is_late);
        self.fault = late.map(|relay| format!("relay {relay} at {now} ms lacks value {due}"));
    }
}

/// Drills of a second and copies of some seconds, with a write at each half second around them.
fn hard_days() -> impl Iterator<Item = (Vec<u64>, Vec<Drill>)> {
    let spans = [(4_000, 5_000), (1_000, 5_500)];
    spans.into_iter().flat_map(|(copied, from)| {
        (0..20).map(move |step| {
            let until = from + 1_000;
            let is_all_again = step / 2 % 2 == 0;
            let again_after = if is_all_again { 0 } else { 500 };
            let drill = Drill { copied, from, until, again_after, is_all_again };
            // Once more, before the counter has come to where it was.
            let second =
                Drill { copied: until + 200, from: until + 1_500, until: until + 2_000, ..drill };
            let drills = if step % 2 == 0 { vec![drill] } else { vec![drill, second] };
            (vec![500, 4_500, until + step * 250], drills)
        })
    })
}

#[test]
fn what_is_written_after_the_store_came_back_older_is_known_in_time() {
    for (written, drills) in hard_days() {
        for count in [1, 4, 25, 68] {
            let (fault, _) = Fleet::new(Variant::Sound, count).run(&written, &drills);
            assert_eq!(fault, None, "{count} relays, written at {written:?} ms, {drills:?}");
        }
    }
}

#[test]
fn every_wrong_variant_is_caught() {
    let variants = [
        Variant::NoEra,
        Variant::NoEraInWords,
        Variant::TakesChangesAcross,
        Variant::TellsOwnNewsOnly,
    ];
    for variant in variants {
        let is_caught = hard_days().any(|(written, drills)| {
            let breaks = |count| Fleet::new(variant, count).run(&written, &drills).0.is_some();
            [4, 25].into_iter().any(breaks)
        });
        assert!(is_caught, "{variant:?}");
    }
}

#[test]
fn a_drill_costs_few_calls_at_420_and_at_1000_relays() {
    let (copied, from, until) = (4_000, 5_000, 6_000);
    let drill = Drill { copied, from, until, again_after: 500, is_all_again: true };
    for count in [25, 68, 420, 1_000] {
        let (fault, quiet) = Fleet::new(Variant::Sound, count).run(&[500], &[]);
        assert_eq!(fault, None);
        let (fault, with_drill) = Fleet::new(Variant::Sound, count).run(&[500], &[drill]);
        assert_eq!(fault, None);
        println!(
            "{count} relays: {quiet:.2} calls each in a quiet run, {with_drill:.2} with a drill"
        );
        // Calls that fail in the second away, the changes that are refused, and the part read whole.
        assert!(
            with_drill - quiet < 10.0,
            "{count} relays: {quiet} calls each, {with_drill} with a drill"
        );
    }
}

fn drill() -> impl Strategy<Value = Drill> {
    let spans = (10u64..60, 1u64..60, 1u64..40, 0u64..40, any::<bool>());
    spans.prop_map(|(copied, age, away, again, is_all_again)| {
        let (copied, from) = (copied * STEP, (copied + age) * STEP);
        let (until, again_after) = (from + away * STEP, again * STEP);
        Drill { copied, from, until, again_after, is_all_again }
    })
}

proptest! {
    #![proptest_config(fuzz::config_of(64))]

    /// Whenever the store goes back, whatever is written around it, whichever words are lost, and when all readers are
    /// frozen: it is known in time.
    #[test]
    fn any_drill_leaves_the_bound(
        drill in drill(),
        written in prop::collection::vec((0..RUN / STEP).prop_map(|step| step * STEP), 1..12),
        count in 1usize..12,
        frozen in (0..RUN / STEP, 1u64..80),
        lost_each in 0u64..6,
    ) {
        let mut written = written;
        written.sort_unstable();
        let frozen = frozen.0 * STEP..(frozen.0 + frozen.1) * STEP;
        let fleet = Fleet::new(Variant::Sound, count).with(Trouble { frozen, lost_each });
        let (fault, _) = fleet.run(&written, &[drill]);
        prop_assert_eq!(fault, None);
    }
}
