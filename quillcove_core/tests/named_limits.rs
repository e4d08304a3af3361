//! Limits that replicas name for all relays together, kept by 1 to 420 relays with loss, delay, cuts, freezes and
//! restarts.
//!
//! Pattern: a fifth of the replicas, or all of them, name a limit for 16 s. Figures: in 4 s the users allow one and
//! a half times the limit and five requests more, from relays that have passed an answer with it on.
//! `cargo test -p quillcove_core --test named_limits -- --nocapture` prints the columns.

mod rate_fleet;

use std::time::Duration;

use rate_fleet::{RateFleet, RatePattern, RateResult, RateRule, SimCut};

const LOSSY: RatePattern = RatePattern {
    name: "lossy",
    loss: 0.1,
    delay: Duration::from_millis(300),
    ..RatePattern::QUIET
};

const CUT: RatePattern = RatePattern {
    name: "cut",
    cut: Some(SimCut { share: 0.3, from: 6, to: 12 }),
    ..RatePattern::QUIET
};

const FREEZES: RatePattern =
    RatePattern { name: "freezes", freezes: &[5, 11], loss: 0.02, ..RatePattern::QUIET };

const RESTARTS: RatePattern =
    RatePattern { name: "restarts", restarts: &[5, 9, 13], loss: 0.02, ..RatePattern::QUIET };

const NEW_STARTS: RatePattern =
    RatePattern { name: "new starts", new_starts: &[9], ..RatePattern::QUIET };

const UNEVEN: RatePattern = RatePattern { name: "uneven", first_share: 0.7, ..RatePattern::QUIET };

const ALL: RatePattern = RatePattern { name: "all", needy: 1.0, ..RatePattern::QUIET };

const HIGHER: RatePattern =
    RatePattern { name: "higher", limits: (6.0, 3.0), loss: 0.02, ..RatePattern::QUIET };

const NEARLY_NONE: RatePattern =
    RatePattern { name: "nearly none", limits: (0.2, 0.05), ..RatePattern::QUIET };

const MIXED: RatePattern = RatePattern {
    name: "mixed",
    loss: 0.05,
    delay: Duration::from_millis(100),
    freezes: &[5],
    restarts: &[8],
    new_starts: &[12],
    cut: Some(SimCut { share: 0.2, from: 10, to: 13 }),
    first_share: 0.2,
    ..RatePattern::QUIET
};

const PATTERNS: [RatePattern; 11] = [
    RatePattern::QUIET,
    LOSSY,
    CUT,
    FREEZES,
    RESTARTS,
    NEW_STARTS,
    UNEVEN,
    ALL,
    HIGHER,
    NEARLY_NONE,
    MIXED,
];

/// Relays and replicas.
const SIZES: [(usize, usize); 4] = [(1, 3), (4, 12), (25, 46), (68, 120)];

fn print(pattern: &RatePattern, result: &RateResult) {
    println!(
        "{:11} {:3} relays {:3} replicas: broken {}, worst window {:.2}, of all relays {:.2}, used {:.2}, asked {}, \
         served {}, refused {} ({} wrongly), still limited {}",
        pattern.name,
        pattern.relays,
        pattern.replicas,
        result.broken,
        result.worst,
        result.worst_of_all,
        result.came as f64 / result.would_take,
        result.asked,
        result.served,
        result.refused,
        result.wrongly_refused,
        result.still_limited,
    );
}

fn assert_kept(pattern: &RatePattern, result: &RateResult) {
    let name = format!("{} at {} relays", pattern.name, pattern.relays);
    assert_eq!(result.broken, 0, "{name}: more than may come");
    assert_eq!(result.wrongly_refused, 0, "{name}: refused though a replica would take it");
    assert_eq!(result.untold, 0, "{name}: refused without a time");
    assert!(result.came > 0, "{name}: the replicas in need are used");
}

#[test]
fn limits_hold_over_all_relays_at_any_size() {
    for pattern in PATTERNS {
        for (relays, replicas) in SIZES {
            let pattern = pattern.of_size(relays, replicas);
            let seeds = if relays <= 4 { 4 } else { 1 };
            for seed in 1..=seeds {
                let result = RateFleet::play(pattern, RateRule::Kept, seed);
                print(&pattern, &result);
                assert_kept(&pattern, &result);
            }
        }
    }
}

/// Where many requests a second are allowed, many relays share the limit, and each has its own turn to save up.
#[test]
fn limits_of_many_requests_hold() {
    for (limits, rate) in [((20.0, 10.0), 600), ((200.0, 100.0), 4000)] {
        for pattern in [LOSSY, RESTARTS, ALL, MIXED] {
            for (relays, replicas) in [(4, 4), (25, 6)] {
                let pattern = RatePattern { limits, rate, relays, replicas, ..pattern };
                let result = RateFleet::play(pattern, RateRule::Kept, 1);
                print(&pattern, &result);
                assert_kept(&pattern, &result);
            }
        }
    }
}

#[test]
fn limits_hold_at_420_relays_before_790_replicas() {
    let length = Duration::from_secs(9);
    let pattern = RatePattern { length, need: (1, 8), needy: 0.05, restarts: &[4], ..MIXED };
    let cut = Some(SimCut { share: 0.2, from: 5, to: 7 });
    let pattern = RatePattern { rate: 3_000, cut, ..pattern.of_size(420, 790) };
    let result = RateFleet::play(pattern, RateRule::Kept, 1);
    print(&pattern, &result);
    assert_kept(&pattern, &result);
}

#[test]
fn relays_that_keep_a_limit_each_for_itself_are_caught() {
    let pattern = RatePattern::QUIET.of_size(4, 12);
    let result = RateFleet::play(pattern, RateRule::Alone, 1);
    print(&pattern, &result);
    assert!(result.broken > 0);
}

/// With a part for each of many relays, most of a limit is spent nowhere: the relays that have a request for the
/// replica are rarely those whose turn it is.
#[test]
fn few_sharers_refuse_fewer_callers_than_all_when_every_replica_names_a_limit() {
    for (relays, replicas) in SIZES.into_iter().skip(1) {
        let pattern = ALL.of_size(relays, replicas);
        let [few, all] = [RateRule::Kept, RateRule::Everybody].map(|rule| {
            let result = RateFleet::play(pattern, rule, 1);
            print(&pattern, &result);
            result
        });
        assert_eq!((few.broken, all.broken), (0, 0), "{relays} relays");
        assert!(relays <= 4 || few.refused < all.refused, "{relays} relays");
    }
}

#[test]
fn the_end_of_a_limit_reaches_relays_that_send_nothing_there() {
    for pattern in [RatePattern::QUIET, LOSSY, RESTARTS, UNEVEN] {
        let pattern = RatePattern { need: (2, 10), length: Duration::from_secs(36), ..pattern };
        for (relays, replicas) in SIZES {
            let result = RateFleet::play(pattern.of_size(relays, replicas), RateRule::Kept, 1);
            print(&pattern.of_size(relays, replicas), &result);
            assert_eq!(result.still_limited, 0, "{} at {relays} relays", pattern.name);
        }
    }
}
