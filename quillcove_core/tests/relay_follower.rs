//! The follower of a part of the store against a store that is silent at times, and connections that
//! go silent for good: what was published is known in time, whenever the trouble begins and ends.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

use std::ops::Range;
use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::relay::follower::{PartWatcher, StoreCall, WatchRules};
use quillcove_core::relay::position::StorePosition;

/// Milliseconds since the start of a run.
type Millis = u64;

/// Time after a publication by which it is to be in force while nothing is in trouble.
const APPLY_TIME: Millis = 2000;

/// Time after the end of trouble from which a relay is held to that.
const CONTACT_TIME: Millis = 3000;

/// Longest time of a call that asks for an answer at once, with the longest pause before the next:
/// after a silence in which every watch has timed out, this long is enough.
const RETRY_TIME: Millis = 1400;

/// Length of a run.
const RUN: Millis = 40_000;

/// What is wrong with a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Sound,
    /// The call after a failed one waits for a change, as in the incident.
    WaitsAfterFailure,
    /// A watch waits for its whole time, whatever the contact time.
    UncappedWatch,
    /// Both, as it was.
    AsInIncident,
}

/// What happens to the store in one run.
#[derive(Clone, Debug)]
struct StoreDay {
    /// Spans in which it answers nobody.
    silences: Vec<Range<Millis>>,
    /// Moments at which all connections that are open go silent for good.
    breaks: Vec<Millis>,
    /// Moments of publications.
    published: Vec<Millis>,
}

impl StoreDay {
    /// Whether a call from `begin` to `answer` over a connection opened at `opened` gets no answer.
    fn swallows(&self, opened: Millis, begin: Millis, answer: Millis) -> bool {
        let is_silent = self.silences.iter().any(|span| span.start <= answer && begin < span.end);
        is_silent || self.breaks.iter().any(|at| opened <= *at && *at <= answer)
    }

    /// Publications up to a moment.
    fn revision(&self, at: Millis) -> u64 {
        self.published.iter().filter(|moment| **moment <= at).count() as u64
    }

    /// When a call is answered if nothing is in trouble.
    fn answer_at(&self, call: StoreCall, begin: Millis) -> Millis {
        let StoreCall::Changes { after, wait } = call else {
            return begin;
        };
        if self.revision(begin) > after.revision {
            return begin;
        }
        let change = self.published.iter().copied().find(|at| *at > begin);
        change.unwrap_or(RUN).min(begin + wait.as_millis() as u64)
    }

    /// The moment by which a publication is to be known.
    fn due(&self, published: Millis, known: Millis) -> Millis {
        let ends = self.silences.iter().map(|span| span.end).chain(self.breaks.iter().copied());
        let trouble = ends.filter(|end| *end <= known).max();
        let in_touch = trouble.map_or(0, |end| end + CONTACT_TIME);
        in_touch.max(published + APPLY_TIME)
    }
}

fn rules(variant: Variant) -> WatchRules {
    let millis = Duration::from_millis;
    let contact = match variant {
        Variant::UncappedWatch | Variant::AsInIncident => 60_000,
        Variant::Sound | Variant::WaitsAfterFailure => CONTACT_TIME,
    };
    WatchRules {
        watch_time: millis(3000),
        timeout: millis(800),
        contact_time: millis(contact),
        gather_time: millis(600),
    }
}

/// Follows a store for a run; gives each publication with the moment at which it was known, as far
/// as the run goes.
fn follow(day: &StoreDay, variant: Variant) -> Vec<(Millis, Millis)> {
    let rules = rules(variant);
    let mut part = PartWatcher::new(rules);
    let mut known = Vec::new();
    let waits_always = matches!(variant, Variant::WaitsAfterFailure | Variant::AsInIncident);
    let (mut now, mut opened) = (0, 0);
    while now < RUN {
        let mut call = part.next_call();
        if let (true, StoreCall::Changes { after, .. }) = (waits_always, call) {
            call = StoreCall::Changes { after, wait: rules.watch_time() };
        }
        let answer = day.answer_at(call, now);
        let pause = if day.swallows(opened, now, answer) {
            now += part.limit(call).as_millis() as u64;
            opened = now;
            part.record_failure()
        } else {
            now = answer;
            let revision = day.revision(now);
            let seen = part.position().map_or(0, |seen| seen.revision) as usize;
            let newer = day.published.iter().take(revision as usize).skip(seen);
            known.extend(newer.map(|at| (*at, now)));
            part.record_response(StorePosition::in_first_era(revision))
        };
        now += pause.as_millis() as u64;
    }
    known
}

/// The first publication that came too late, if any.
fn late(day: &StoreDay, variant: Variant) -> Option<(Millis, Millis)> {
    follow(day, variant).into_iter().find(|(published, known)| *known > day.due(*published, *known))
}

fn day() -> impl Strategy<Value = StoreDay> {
    // All trouble ends well before the run does, so that everything can become known within it.
    let silences = prop::collection::vec((500..RUN - 15_000, 1u64..8_000), 0..4);
    let breaks = prop::collection::vec(500..RUN - 9_000, 0..4);
    let published = prop::collection::vec(0..RUN - 9_000, 1..12);
    (silences, breaks, published).prop_map(|(silences, breaks, mut published)| {
        published.sort_unstable();
        let silences = silences.into_iter().map(|(from, time)| from..from + time).collect();
        StoreDay { silences, breaks, published }
    })
}

proptest! {
    #![proptest_config(fuzz::config_of(2000))]

    #[test]
    fn what_was_published_is_known_in_time_after_any_trouble(day in day()) {
        prop_assert_eq!(late(&day, Variant::Sound), None);
        let known = follow(&day, Variant::Sound).len();
        prop_assert_eq!(known, day.published.len(), "each is known once");
    }
}

/// The incident: a silence that ends shortly after the call that follows the first time-out.
fn incident(silence: Range<Millis>) -> StoreDay {
    let published = silence.end + 300;
    StoreDay { silences: vec![silence], breaks: Vec::new(), published: vec![published] }
}

#[test]
fn wrong_variants_are_caught() {
    let lengths = (1..6000).step_by(50);
    let incidents: Vec<StoreDay> = lengths.map(|length| incident(8_000..8_000 + length)).collect();
    let at_break = |at| StoreDay { silences: vec![], breaks: vec![at], published: vec![at + 10] };
    let breaks: Vec<StoreDay> = (8_000..14_000).step_by(50).map(at_break).collect();
    let is_late = |days: &[StoreDay], variant| days.iter().any(|day| late(day, variant).is_some());
    for days in [&incidents, &breaks] {
        assert!(!is_late(days, Variant::Sound));
        assert!(is_late(days, Variant::UncappedWatch));
        assert!(is_late(days, Variant::AsInIncident));
    }
}

#[test]
fn after_a_long_silence_the_first_answer_comes_soon() {
    let slowest = |variant| {
        let late_by = |length: Millis| {
            let day = incident(8_000..8_000 + length);
            follow(&day, variant)[0].1 - day.silences[0].end
        };
        (3_000..9_000).step_by(50).map(late_by).max().unwrap()
    };
    assert!(slowest(Variant::Sound) <= RETRY_TIME, "{}", slowest(Variant::Sound));
    assert!(slowest(Variant::WaitsAfterFailure) > RETRY_TIME);
}

#[test]
fn a_watch_is_cut_to_the_contact_time_and_never_to_nothing() {
    let rules = |contact| WatchRules {
        contact_time: Duration::from_millis(contact),
        ..WatchRules::default()
    };
    assert_eq!(rules(4000).watch_time(), Duration::from_millis(2300));
    assert_eq!(rules(60_000).watch_time(), Duration::from_secs(3));
    assert_eq!(rules(100).watch_time(), Duration::from_millis(200));
}
