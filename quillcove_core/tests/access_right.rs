//! A key that was taken away: no relay lets a request in by it later than the users' bound, whatever is
//! late, lost, paused, cut off or started again. Relays read a store that answers watches early or late and
//! falls silent, and ask each other for proofs. Wrong ways to count an age are caught.

use std::collections::VecDeque;
use std::time::Duration;

use quillcove_core::access::right::{KeyValidityRules, ProofStep};
use quillcove_core::relay::knowledge::{FreshnessProof, StoreKnowledge};
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use rand_like::Draws;

mod rand_like {
    //! A random sequence that is the same on every machine.

    pub struct Draws(pub u64);

    impl Draws {
        pub fn below(&mut self, limit: u64) -> u64 {
            self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (self.0 >> 33) % limit.max(1)
        }

        pub fn is(&mut self, chance_percent: u64) -> bool {
            self.below(100) < chance_percent
        }
    }
}

const BOUND: Duration = Duration::from_secs(5);
const STEP: u64 = 10;
const RUN: u64 = 40_000;

/// How ages are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AgeRule {
    /// As the relays do.
    Standing,
    /// From when an answer of the store came.
    FromAnswer,
    /// From when another relay's answer came.
    FromWord,
    /// A pause of the process does not count.
    WithoutPauses,
    /// What a relay knew before it started again is taken for known, with the age of now.
    KeptOverStart,
    /// Another relay's proof counts although it knows of a change that this one does not.
    WithoutChange,
}

#[derive(Clone, Debug)]
enum Message {
    /// The store's answer to a reading that began at a time, with the revision that it shows.
    Read {
        began: u64,
        revision: u64,
    },
    Ask {
        from: usize,
        number: u64,
    },
    Word {
        number: u64,
        word: FreshnessProof,
    },
}

struct Relay {
    knowledge: StoreKnowledge,
    knows_removal: bool,
    /// Whether it reads the store by itself.
    reads: bool,
    is_reading: bool,
    number: u64,
    asked_at: Option<Duration>,
    paused_until: u64,
    /// Time that pauses took, for the rule that does not count them.
    paused: u64,
    inbox: VecDeque<(u64, Message)>,
}

impl Relay {
    fn new(reads: bool) -> Self {
        Self {
            knowledge: StoreKnowledge::default(),
            knows_removal: false,
            reads,
            is_reading: false,
            number: 0,
            asked_at: None,
            paused_until: 0,
            paused: 0,
            inbox: VecDeque::new(),
        }
    }
}

struct World {
    rule: AgeRule,
    rules: KeyValidityRules,
    relays: Vec<Relay>,
    draws: Draws,
    /// When the key was taken away, which is the store's revision 2.
    removed_at: u64,
    /// How often each kind of trouble comes, in percent of what may be struck.
    trouble: u64,
    /// Looks at which a relay with a sound way to the store would have refused for age.
    refused_when_sound: u64,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl World {
    fn new(rule: AgeRule, relays: usize, trouble: u64, seed: u64) -> Self {
        let mut draws = Draws(seed);
        let removed_at = 8_000 + draws.below(15_000);
        Self {
            rule,
            rules: KeyValidityRules { bound: Some(BOUND) },
            relays: (0..relays).map(|place| Relay::new(place == 0)).collect(),
            draws,
            removed_at,
            trouble,
            refused_when_sound: 0,
        }
    }

    fn own(&self, place: usize, now: u64) -> Duration {
        match self.rule {
            AgeRule::WithoutPauses => ms(now - self.relays[place].paused),
            _ => ms(now),
        }
    }

    fn lateness(&mut self) -> u64 {
        match self.draws.is(self.trouble) {
            true => self.draws.below(2_500),
            false => 5 + self.draws.below(10),
        }
    }

    /// Gives the time of a fault: a relay that lets a request in by the key beyond the bound.
    fn run(&mut self) -> Option<u64> {
        for now in (0..RUN).step_by(STEP as usize) {
            for place in 0..self.relays.len() {
                self.strike(place, now);
                if self.relays[place].paused_until > now {
                    continue;
                }
                self.deliver(place, now);
                self.read(place, now);
                self.ask(place, now);
                let own = self.own(place, now);
                let relay = &self.relays[place];
                let holds = self.rules.holds(relay.knowledge.proved_at(), own);
                if !holds && now > 1_000 {
                    self.refused_when_sound += 1;
                }
                let is_late = now > self.removed_at + BOUND.as_millis() as u64;
                if holds && !relay.knows_removal && is_late {
                    return Some(now);
                }
            }
        }
        None
    }

    /// Pauses, and starts again.
    fn strike(&mut self, place: usize, now: u64) {
        if !now.is_multiple_of(1_000) || self.relays[place].paused_until > now {
            return;
        }
        if self.draws.is(self.trouble / 4) {
            let length = 500 + self.draws.below(7_000);
            self.relays[place].paused_until = now + length;
            self.relays[place].paused += length;
        }
        if self.draws.is(self.trouble / 10) {
            let mut fresh = Relay::new(self.relays[place].reads);
            if self.rule == AgeRule::KeptOverStart {
                fresh.knowledge = self.relays[place].knowledge;
                fresh.knowledge.note_proof(ms(now));
                fresh.knows_removal = self.relays[place].knows_removal;
            }
            fresh.paused = self.relays[place].paused;
            self.relays[place] = fresh;
        }
    }

    fn send(&mut self, to: usize, at: u64, message: Message) {
        if self.draws.is(self.trouble / 2) {
            return;
        }
        let inbox = &mut self.relays[to].inbox;
        inbox.push_back((at, message));
        inbox.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    fn deliver(&mut self, place: usize, now: u64) {
        while self.relays[place].inbox.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = self.relays[place].inbox.pop_front() else {
                return;
            };
            let own = self.own(place, now);
            match message {
                Message::Read { began, revision } => {
                    let from = if self.rule == AgeRule::FromAnswer { own } else { ms(began) };
                    let relay = &mut self.relays[place];
                    relay.is_reading = false;
                    relay.knows_removal |= revision >= 2;
                    let position = StorePosition::in_first_era(revision);
                    relay.knowledge.note_read(StorePart::Operator, position, ms(began));
                    relay.knowledge.note_change(StorePart::Operator, position);
                    relay.knowledge.note_proof(from);
                },
                Message::Ask { from, number } => {
                    if let Some(word) = self.relays[place].knowledge.proof(own) {
                        let at = now + self.lateness();
                        self.send(from, at, Message::Word { number, word });
                    }
                },
                Message::Word { number, word } => self.take_word(place, number, word, own),
            }
        }
    }

    fn take_word(&mut self, place: usize, number: u64, word: FreshnessProof, own: Duration) {
        let rule = self.rule;
        let relay = &mut self.relays[place];
        let Some(asked_at) = relay.asked_at.filter(|_| number == relay.number) else {
            return;
        };
        let from = if rule == AgeRule::FromWord { own } else { asked_at };
        let word = match rule {
            AgeRule::WithoutChange => FreshnessProof { changed: StorePosition::default(), ..word },
            _ => word,
        };
        relay.knowledge.apply_proof(&word, from);
    }

    /// Reads the store: a watch may be answered early, and an answer may be long on its way or lost.
    fn read(&mut self, place: usize, now: u64) {
        let own = self.own(place, now);
        let knowledge = &self.relays[place].knowledge;
        let step = self.rules.step(knowledge.proved_at(), None, own);
        let reads = self.relays[place].reads || step == ProofStep::AskAndRead;
        if self.relays[place].is_reading || !reads {
            return;
        }
        let is_lost = self.draws.is(self.trouble / 3);
        let watch = if self.relays[place].reads { self.draws.below(1_000) } else { 0 };
        let answered_at = now + 3 + watch;
        let at = answered_at + self.lateness();
        if is_lost {
            // The relay's own limit ends the call; it reads again a while later.
            return;
        }
        let revision = if answered_at >= self.removed_at { 2 } else { 1 };
        self.relays[place].is_reading = true;
        let began = own.as_millis() as u64;
        let inbox = &mut self.relays[place].inbox;
        inbox.push_back((at, Message::Read { began, revision }));
        inbox.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    fn ask(&mut self, place: usize, now: u64) {
        let own = self.own(place, now);
        let relay = &mut self.relays[place];
        let step = self.rules.step(relay.knowledge.proved_at(), relay.asked_at, own);
        if step == ProofStep::Idle || self.relays.len() == 1 {
            return;
        }
        let relay = &mut self.relays[place];
        relay.number += 1;
        relay.asked_at = Some(own);
        let number = relay.number;
        for other in (0..self.relays.len()).filter(|other| *other != place) {
            let at = now + self.lateness();
            self.send(other, at, Message::Ask { from: place, number });
        }
    }
}

#[test]
fn no_request_is_let_in_by_a_key_beyond_the_bound() {
    for relays in 1..=4 {
        for seed in 0..60 {
            let mut world = World::new(AgeRule::Standing, relays, 5 + seed % 50, seed);
            assert_eq!(world.run(), None, "{relays} relays, seed {seed}");
        }
    }
}

#[test]
fn without_trouble_no_request_is_refused_for_age() {
    for relays in 1..=4 {
        for seed in 0..20 {
            let mut world = World::new(AgeRule::Standing, relays, 0, seed);
            world.run();
            assert_eq!(world.refused_when_sound, 0, "{relays} relays, seed {seed}");
        }
    }
}

#[test]
fn wrong_ways_to_count_an_age_are_caught() {
    for rule in [
        AgeRule::FromAnswer,
        AgeRule::FromWord,
        AgeRule::WithoutPauses,
        AgeRule::KeptOverStart,
        AgeRule::WithoutChange,
    ] {
        let is_caught = |seed| World::new(rule, 3, 5 + seed % 50, seed).run().is_some();
        assert!((0..60).any(is_caught), "{rule:?} is not caught");
    }
}
