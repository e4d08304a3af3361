//! A fleet of relays whose replicas leave and rest by their own word, in release, reclaim and overload, at 1 to
//! 420 relays, while the store is silent.
//!
//! Pattern: replicas are released one after the other, a third is taken away at once, or a third and then all turn
//! requests away. Figures: the users allow work for 2 s after a word of leaving, and two requests beside what is on
//! its way in a rest. `cargo test -p quillcove_core --test upstream_words -- --nocapture` prints the columns.

mod word_fleet;

use std::time::Duration;

use word_fleet::oracle::WordResult;
use word_fleet::{PLACES, WordFleet, WordPattern, WordRule};

const RELEASE: WordPattern = WordPattern {
    name: "release",
    leave_every: Duration::from_millis(500),
    restarts: &[4],
    loss: 0.02,
    ..WordPattern::QUIET
};

const RECLAIM: WordPattern =
    WordPattern { name: "reclaim", reclaimed: 0.34, freezes: &[3], ..WordPattern::QUIET };

const OVERLOAD: WordPattern = WordPattern {
    name: "overload",
    third_rests: (1, 4),
    all_rest: (4, 6),
    loss: 0.02,
    ..WordPattern::QUIET
};

const MIXED: WordPattern = WordPattern {
    name: "mixed",
    leave_every: Duration::from_millis(700),
    third_rests: (2, 6),
    freezes: &[2],
    restarts: &[5],
    loss: 0.02,
    ..WordPattern::QUIET
};

const PATTERNS: [WordPattern; 4] = [RELEASE, RECLAIM, OVERLOAD, MIXED];

/// Relays and replicas.
const SIZES: [(usize, usize); 4] = [(1, 3), (4, 12), (25, 46), (68, 120)];

fn print(pattern: &WordPattern, result: &WordResult) {
    println!(
        "{:9} {:3} relays {:3} replicas: late {}, in rest {}, rests broken {}, asked {}, served {}, \
         refused {} ({} wrongly), failed {}, repeats {}, herd {} of {} places",
        pattern.name,
        pattern.relays,
        pattern.replicas,
        result.late,
        result.in_rest,
        result.broken_rests,
        result.asked,
        result.served,
        result.refused,
        result.wrongly_refused,
        result.failed,
        result.repeats,
        result.herd,
        PLACES
    );
}

fn assert_kept(pattern: &WordPattern, result: &WordResult) {
    let name = format!("{} at {} relays", pattern.name, pattern.relays);
    assert_eq!(result.late, 0, "{name}: after the bound");
    assert_eq!(result.in_rest, 0, "{name}: into a rest");
    assert_eq!(result.wrongly_refused, 0, "{name}: refused though a replica would take it");
    assert_eq!(result.untold, 0, "{name}: refused without a time");
    assert!(result.served > 0, "{name}: served");
}

#[test]
fn words_hold_in_release_reclaim_and_overload_at_any_size() {
    for pattern in PATTERNS {
        for (relays, replicas) in SIZES {
            let pattern = pattern.of_size(relays, replicas);
            let seeds = if relays <= 4 { 6 } else { 1 };
            for seed in 1..=seeds {
                let result = WordFleet::play(pattern, WordRule::Kept, seed);
                print(&pattern, &result);
                assert_kept(&pattern, &result);
            }
        }
    }
}

#[test]
fn words_hold_at_420_relays_before_790_replicas() {
    let length = Duration::from_secs(4);
    let pattern = WordPattern {
        leave_every: Duration::from_millis(20),
        third_rests: (1, 2),
        silence: (1, 3),
        restarts: &[],
        length,
        ..RELEASE
    };
    let pattern = WordPattern { rate: 6_700, ..pattern.of_size(420, 790) };
    let result = WordFleet::play(pattern, WordRule::Kept, 1);
    print(&pattern, &result);
    assert_kept(&pattern, &result);
}

// Guards against a request that is refused without a time in a release, though a replica would take it.
#[test]
fn no_request_is_refused_in_a_release_at_68_relays_at_seeds_6_and_22() {
    let (relays, replicas) = *SIZES.iter().find(|(relays, _)| *relays == 68).expect("a size");
    for seed in [6, 22] {
        let pattern = RELEASE.of_size(relays, replicas);
        assert_kept(&pattern, &WordFleet::play(pattern, WordRule::Kept, seed));
    }
}

// Guards against a request that is refused without a time in an overload, though a replica would take it.
#[test]
fn no_request_is_refused_without_a_time_in_an_overload_at_25_relays_at_seed_2() {
    let (relays, replicas) = *SIZES.iter().find(|(relays, _)| *relays == 25).expect("a size");
    let pattern = OVERLOAD.of_size(relays, replicas);
    assert_kept(&pattern, &WordFleet::play(pattern, WordRule::Kept, 2));
}

/// Requests that should not have reached a replica, and needless refusals, with a rule, over several seeds of a pattern.
fn faults(pattern: WordPattern, rule: WordRule) -> usize {
    let play = |seed| {
        let result = WordFleet::play(pattern, rule, seed);
        result.late + result.in_rest + result.wrongly_refused
    };
    (1..=4).map(play).sum()
}

#[test]
fn wrong_rules_are_caught() {
    let small = OVERLOAD.of_size(4, 12);
    // The only replica starts again under its id, and answers of its earlier start come after that.
    let anew = WordPattern { silence: (9, 10), reclaimed: 1.0, ..RECLAIM.of_size(2, 1) };
    let anew = WordPattern { rate: 400, ..anew };
    for (pattern, rule) in [
        (RECLAIM.of_size(4, 12), WordRule::EndedByGoodAnswer),
        (small, WordRule::EndedByGoodAnswer),
        (RECLAIM.of_size(4, 12), WordRule::EndedByRelay),
        (RECLAIM.of_size(4, 12), WordRule::RefusalsOnly),
        (anew, WordRule::OfAnyStart),
        (small, WordRule::AtChoiceOnly),
        (WordPattern { silence: (1, 4), ..MIXED }.of_size(4, 12), WordRule::EndedByList),
    ] {
        let faults = faults(pattern, rule);
        println!("{rule:?} in {}: {faults} faults", pattern.name);
        assert!(faults > 0, "{rule:?} is not caught in {}", pattern.name);
    }
}
