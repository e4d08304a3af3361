//! Which parts of prompts are blamed for replica exits, and when a blamed part is tried again.

use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::crash::book::CrashTable;
use quillcove_core::crash::digest::{RequestIdentity, RequestParts, part_identity};
use quillcove_core::crash::probe::ProbeRequest;
use quillcove_core::crash::telling::InFlightRequest;
use quillcove_core::crash::watch::{CrashTracker, ReplicaRun, ResponseAbort};

/// Time between two exits that are not of one moment.
const APART: Duration = Duration::from_secs(1);

const START: Duration = Duration::from_secs(100);

fn part(id: u64) -> RequestIdentity {
    part_identity("m", id)
}

fn request(body: u32) -> ProbeRequest {
    let body = body.to_le_bytes();
    let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: &body };
    ProbeRequest { digest: parts.digest(), received: START }
}

fn exit_with(tracker: &mut CrashTracker, exit: u64, parts: &[RequestIdentity], at: Duration) {
    let run = ReplicaRun { replica: format!("i-{exit}"), born: None };
    for identity in parts {
        let abort = ResponseAbort { identity: *identity, has_other_cause: false, sent_at: at };
        tracker.record_abort(&run, abort, at);
    }
    tracker.confirm_exit(&run, at);
}

/// Exits one second apart with these parts; returns the time of the last one.
fn exits_with(tracker: &mut CrashTracker, count: u32, parts: &[RequestIdentity]) -> Duration {
    for exit in 0..count {
        exit_with(tracker, u64::from(exit), parts, START + APART * exit);
    }
    START + APART * (count - 1)
}

#[test]
fn a_part_at_three_exits_is_blamed_and_a_run_that_survives_later_clears_it() {
    let mut tracker = CrashTracker::default();
    let last = exits_with(&mut tracker, 2, &[part(1)]);
    assert!(tracker.cause(part(1), last).is_none());
    let last = exits_with(&mut tracker, 3, &[part(1)]);
    assert_eq!(tracker.cause(part(1), last).unwrap().ends, 3);
    // A run that began before the last exit says nothing about it.
    assert!(tracker.record_survival(&[part(1)], last - APART / 2));
    exit_with(&mut tracker, 7, &[part(1)], last + APART);
    exit_with(&mut tracker, 8, &[part(1)], last + APART * 2);
    assert!(tracker.cause(part(1), last + APART * 2).is_some());
    tracker.record_survival(&[part(1)], last + APART * 3);
    assert!(tracker.cause(part(1), last + APART * 4).is_none());
}

// Guards against a popular part that is blamed because many replicas are killed at once.
#[test]
fn exits_at_one_moment_count_once() {
    let mut tracker = CrashTracker::default();
    for exit in 0..20 {
        exit_with(&mut tracker, exit, &[part(1)], START + Duration::from_millis(exit * 10));
    }
    assert!(tracker.cause(part(1), START + APART).is_none());
}

/// Four exits 10 ms apart with these parts, from `at` on.
fn exits_together(tracker: &mut CrashTracker, parts: &[RequestIdentity], at: Duration) {
    for number in 0..4 {
        let at = at + Duration::from_millis(10) * number;
        exit_with(tracker, at.as_millis() as u64, parts, at);
    }
}

// Guards against a part that crashes all replicas at one moment, each time that they are back, before it is blamed.
#[test]
fn many_exits_at_two_moments_are_enough_for_a_part_that_no_run_survived() {
    let mut tracker = CrashTracker::default();
    exits_together(&mut tracker, &[part(1)], START);
    assert!(tracker.cause(part(1), START + APART).is_none());
    exits_together(&mut tracker, &[part(1)], START + APART);
    assert!(tracker.cause(part(1), START + APART * 2).is_some());
}

// Guards against a popular part that is blamed because replicas are killed in two herds.
#[test]
fn many_exits_at_two_moments_are_too_few_for_a_part_that_was_sound() {
    let mut tracker = CrashTracker::default();
    tracker.record_survival(&[part(1)], START - APART);
    exits_together(&mut tracker, &[part(1)], START);
    exits_together(&mut tracker, &[part(1)], START + APART);
    assert!(tracker.cause(part(1), START + APART * 2).is_none());
    exits_together(&mut tracker, &[part(1)], START + APART * 2);
    assert!(tracker.cause(part(1), START + APART * 3).is_some());
}

// Guards against a sound first part that is blamed together with the part that crashes replicas.
#[test]
fn a_common_part_is_not_blamed_for_the_exits_of_a_rare_one() {
    let (first, fatal) = (part(1), part(2));
    let mut tracker = CrashTracker::default();
    for start in 0..100_u32 {
        let parts = if start % 10 == 0 { vec![first, fatal] } else { vec![first] };
        tracker.record_start(&parts, START);
    }
    let last = exits_with(&mut tracker, 6, &[first, fatal]);
    assert!(tracker.cause(fatal, last).is_some());
    assert!(tracker.cause(first, last).is_none());
    // Exits without the rare one are the common one's own.
    for exit in 10..13 {
        exit_with(&mut tracker, exit, &[first], last + APART * exit as u32);
    }
    assert!(tracker.cause(first, last + APART * 13).is_some());
}

// Guards against a part that was sound for long and keeps its excuse when it begins to crash replicas.
#[test]
fn a_part_that_was_sound_before_is_blamed_as_soon_as_another() {
    let mut tracker = CrashTracker::default();
    for run in 1..=200 {
        tracker.record_survival(&[part(1)], START - Duration::from_millis(run));
    }
    let last = exits_with(&mut tracker, 3, &[part(1)]) + APART;
    assert!(tracker.cause(part(1), last).is_some());
}

// Guards against a part that stays rejected although it was blamed wrongly.
#[test]
fn a_blamed_part_is_tried_again_by_one_request_and_later_each_time() {
    let mut tracker = CrashTracker::default();
    let last = exits_with(&mut tracker, 3, &[part(1)]);
    assert!(!tracker.begin_probe(part(1), request(1), last + APART * 29));
    let probed_at = last + APART * 31;
    assert!(tracker.begin_probe(part(1), request(1), probed_at));
    assert!(tracker.is_probe(part(1), request(1)));
    assert!(!tracker.is_probe(part(1), request(2)));
    assert!(!tracker.begin_probe(part(1), request(2), probed_at + APART), "one at a time");
    // The replica exits under it: the next try comes after twice the time.
    let exit_at = probed_at + APART;
    exit_with(&mut tracker, 9, &[part(1)], exit_at);
    assert!(!tracker.is_probe(part(1), request(1)));
    assert!(!tracker.begin_probe(part(1), request(3), exit_at + APART * 59));
    assert!(tracker.begin_probe(part(1), request(3), exit_at + APART * 61));
    assert!(tracker.record_survival(&[part(1)], exit_at + APART * 62));
    assert!(tracker.cause(part(1), exit_at + APART * 63).is_none());
}

// Guards against a process that only hears of survivals, as a loader does, and keeps each part for good.
#[test]
fn memory_for_runs_with_parts_is_bounded() {
    let mut tracker = CrashTracker::default();
    for id in 0..20_000 {
        tracker.record_survival(&[part(id)], START);
        tracker.record_start(&[part(id), part(id + 50_000)], START);
    }
    assert!(tracker.book().summary().seen_parts <= 4096);
}

/// What a process hears of parts.
#[derive(Clone, Copy, Debug)]
enum PartWord {
    Exit { part: u64, exit: u64 },
    Survival { part: u64, at: u64 },
}

fn word() -> impl Strategy<Value = PartWord> {
    let exit = (0..4_u64, 0..8_u64).prop_map(|(part, exit)| PartWord::Exit { part, exit });
    let survival = (0..4_u64, 0..8_u64).prop_map(|(part, at)| PartWord::Survival { part, at });
    prop_oneof![3 => exit, 1 => survival]
}

fn blamed_after(words: &[PartWord]) -> Vec<u64> {
    let mut table = CrashTable::default();
    let now = START + APART * 20;
    for word in words {
        match *word {
            PartWord::Exit { part: id, exit } => {
                let ended = InFlightRequest {
                    identity: part(id),
                    has_other_cause: false,
                    runs_well: false,
                };
                table.note_end(exit, ended, START + APART * exit as u32, now);
            },
            PartWord::Survival { part: id, at } => {
                table.record_success(part(id), START + APART * at as u32);
            },
        }
    }
    (0..4).filter(|id| table.cause(part(*id), now).is_some()).collect()
}

proptest! {
    #[test]
    fn blame_depends_on_what_was_heard_and_not_on_its_order(
        words in prop::collection::vec(word(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut other = words.clone();
        other.sort_by_key(|word| quillcove_core::rendezvous::weight(&format!("{word:?}"), &seed.to_string()));
        let blamed = blamed_after(&words);
        prop_assert_eq!(&blamed, &blamed_after(&other));
        for id in blamed {
            let exits = words.iter().filter(|word| matches!(word, PartWord::Exit { part, .. } if *part == id));
            prop_assert!(exits.count() >= 3, "part {} was at too few exits", id);
        }
    }
}

fn weak_exit(tracker: &mut CrashTracker, exit: u64, at: Duration) {
    let run = ReplicaRun { replica: format!("i-{exit}"), born: None };
    let abort = ResponseAbort { identity: part(1), has_other_cause: true, sent_at: at };
    tracker.record_abort(&run, abort, at);
    tracker.confirm_exit(&run, at);
}

// Guards against a part that is never blamed because none of its exits is proved to be its own.
#[test]
fn weak_evidence_adds_up_and_counts_less_than_strong() {
    let mut tracker = CrashTracker::default();
    for exit in 0..3 {
        weak_exit(&mut tracker, exit, START + APART * exit as u32);
        assert!(tracker.cause(part(1), START + APART * 3).is_none());
    }
    weak_exit(&mut tracker, 3, START + APART * 3);
    assert!(tracker.cause(part(1), START + APART * 3).is_some());
}

// Guards against an exit that stays weak evidence because the relay that saw little of it reported first.
#[test]
fn stronger_evidence_of_a_known_exit_replaces_weaker() {
    let mut tracker = CrashTracker::default();
    for exit in 0..3 {
        let at = START + APART * exit as u32;
        weak_exit(&mut tracker, exit, at);
        exit_with(&mut tracker, exit, &[part(1)], at);
    }
    assert!(tracker.cause(part(1), START + APART * 3).is_some());
}

// Guards against a popular part that is suspected because replicas are killed while requests with it wait.
#[test]
fn a_part_that_runs_have_just_survived_gathers_no_weak_evidence() {
    let mut tracker = CrashTracker::default();
    for exit in 0..10 {
        let at = START + APART * exit as u32;
        tracker.record_survival(&[part(1)], at - APART / 2);
        weak_exit(&mut tracker, exit, at);
    }
    assert!(tracker.cause(part(1), START + APART * 10).is_none());
}

// Guards against a part that is tried again for ever, as its latest exits are not kept.
#[test]
fn a_part_with_many_exits_is_tried_again_twice_at_most() {
    let mut tracker = CrashTracker::default();
    let mut last = exits_with(&mut tracker, 30, &[part(1)]);
    for probe in 0..2 {
        let due_at = tracker.probe_due_at(part(1)).expect("a probe is left");
        assert!(due_at >= last + Duration::from_secs(30));
        last = due_at + APART;
        exit_with(&mut tracker, 100 + probe, &[part(1)], last);
    }
    assert!(tracker.probe_due_at(part(1)).is_none());
}
