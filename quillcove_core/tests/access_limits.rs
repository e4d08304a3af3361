//! A workspace's limit over a fleet: what passes it, and what is wrongly refused. The patterns are those
//! of the users' days: a workspace at eight times its usual, callers spread unevenly by the balancer,
//! links that lose datagrams, halls that do not hear each other, relays that all start again.
//!
//! `cargo test -p quillcove_core --test access_limits table -- --nocapture` prints the table of rules and
//! patterns.

mod limit_fleet;

use std::time::Duration;

use limit_fleet::{FleetResult, LoadPattern, play};
use proptest::prelude::*;
use quillcove_core::access::limit::LimitRule;

const RULES: [LimitRule; 3] = [LimitRule::Prompt, LimitRule::Beacons, LimitRule::Even];

fn patterns() -> Vec<LoadPattern> {
    let flood = LoadPattern::FLOOD;
    let usual = LoadPattern::USUAL;
    vec![
        LoadPattern { name: "usual, 4", relays: 4, ..usual },
        LoadPattern { name: "usual, 25", ..usual },
        LoadPattern { name: "usual, 68", relays: 68, ..usual },
        LoadPattern { name: "usual, uneven", first_share: 0.5, ..usual },
        LoadPattern { name: "usual, 10 % lost", loss: 0.1, ..usual },
        LoadPattern { name: "usual, restart", restarts: &[8], ..usual },
        LoadPattern { name: "flood, 4", relays: 4, ..flood },
        LoadPattern { name: "flood, 25", ..flood },
        LoadPattern { name: "flood, 68", relays: 68, ..flood },
        LoadPattern { name: "flood, uneven", first_share: 0.5, ..flood },
        LoadPattern { name: "flood, 30 % lost", loss: 0.3, ..flood },
        LoadPattern { name: "flood, slow", delay: Duration::from_millis(300), ..flood },
        LoadPattern { name: "flood, halves", parts: 2, cut_from: 6, cut_until: 12, ..flood },
        LoadPattern { name: "flood, thirds", parts: 3, cut_from: 3, cut_until: 12, ..flood },
        LoadPattern {
            name: "flood, cut at once",
            relays: 68,
            parts: 3,
            cut_from: 4,
            cut_until: 6,
            ..flood
        },
        LoadPattern {
            name: "flood, third cut off",
            first_cut: 0.36,
            cut_from: 2,
            cut_until: 14,
            ..flood
        },
        LoadPattern {
            name: "usual, third cut off",
            first_cut: 0.36,
            cut_from: 2,
            cut_until: 14,
            ..usual
        },
        LoadPattern { name: "flood, restarts", restarts: &[6, 8], ..flood },
        LoadPattern { name: "flood, 4, restarts", relays: 4, restarts: &[6, 8], ..flood },
        LoadPattern { name: "flood, 68, restarts", relays: 68, restarts: &[6, 8], ..flood },
        LoadPattern { name: "flood, rolling", roll: 0.4, ..flood },
    ]
}

fn worst(pattern: LoadPattern, rule: LimitRule) -> FleetResult {
    let results = (1..=3).map(|seed| play(pattern, rule, seed));
    results.reduce(worse).expect("there are seeds")
}

fn worse(a: FleetResult, b: FleetResult) -> FleetResult {
    FleetResult {
        worst_window: a.worst_window.max(b.worst_window),
        wrongly_refused: a.wrongly_refused.max(b.wrongly_refused),
        refused_by_most: a.refused_by_most.max(b.refused_by_most),
        refused_at_start: a.refused_at_start.max(b.refused_at_start),
        flood_use: a.flood_use.min(b.flood_use),
        messages: a.messages.max(b.messages),
    }
}

#[test]
fn the_table_of_rules_and_patterns() {
    println!(
        "| pattern | rule | worst window | wrongly refused | by most | at a start | use in the flood | messages |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for pattern in patterns() {
        for rule in RULES {
            let result = worst(pattern, rule);
            println!(
                "| {} | {rule:?} | {:.2} | {:.4} | {:.3} | {:.3} | {:.2} | {:.1} |",
                pattern.name,
                result.worst_window,
                result.wrongly_refused,
                result.refused_by_most,
                result.refused_at_start,
                result.flood_use,
                result.messages
            );
        }
    }
}

#[test]
fn what_passes_a_limit_stays_within_what_the_users_let_pass() {
    for pattern in patterns() {
        let result = worst(pattern, LimitRule::default());
        assert!(result.worst_window < 1.0, "{}: {result:?}", pattern.name);
    }
}

#[test]
fn within_the_limit_nearly_nothing_is_refused() {
    for pattern in patterns() {
        let result = worst(pattern, LimitRule::default());
        assert!(result.wrongly_refused <= 0.005, "{}: {result:?}", pattern.name);
    }
}

#[test]
fn a_flooding_workspace_gets_what_its_limit_allows() {
    for pattern in patterns().into_iter().filter(|pattern| pattern.flood > 1.0) {
        // While relays do not hear each other, or know nothing, less is let through.
        let is_cut = pattern.parts > 1 || pattern.first_cut > 0.0;
        let least = if is_cut || !pattern.restarts.is_empty() { 0.6 } else { 0.9 };
        let result = worst(pattern, LimitRule::default());
        assert!(result.flood_use >= least, "{}: {result:?}", pattern.name);
    }
}

#[test]
fn after_a_loss_of_all_relays_callers_within_the_limit_are_let_in() {
    for relays in [4, 25] {
        let pattern = LoadPattern { relays, restarts: &[8, 16], ..LoadPattern::USUAL };
        let result = worst(pattern, LimitRule::default());
        assert!(result.refused_at_start <= 0.05, "{relays}: {result:?}");
    }
}

// Guards against first requests at hundreds of relays that nobody counts, as each relay's first total is taken as a base.
#[test]
fn a_flood_at_420_relays_stays_within_its_limit() {
    let flood = LoadPattern { relays: 420, ..LoadPattern::FLOOD };
    let patterns = [
        flood,
        LoadPattern { name: "uneven", first_share: 0.5, ..flood },
        LoadPattern { name: "restart", restarts: &[6], ..flood },
    ];
    for pattern in patterns {
        let result = play(pattern, LimitRule::default(), 1);
        assert!(result.worst_window < 1.0, "{}: {result:?}", pattern.name);
    }
}

// Guards against a flood that passes more than is allowed, as 420 relays are cut into parts at the moment of its begin.
#[test]
fn a_flood_that_420_relays_meet_as_they_are_cut_stays_within_its_limit_at_seed_2() {
    let flood =
        LoadPattern { relays: 420, parts: 3, cut_from: 4, cut_until: 6, ..LoadPattern::FLOOD };
    let result = play(flood, LimitRule::default(), 2);
    assert!(result.worst_window < 1.0, "{result:?}");
}

// Guards against a flood that passes more than is allowed, as 420 relays all start again twice within a window.
#[test]
fn a_flood_at_420_relays_that_start_twice_stays_within_its_limit_at_seed_1() {
    let flood = LoadPattern { relays: 420, restarts: &[6, 8], ..LoadPattern::FLOOD };
    let result = play(flood, LimitRule::default(), 1);
    assert!(result.worst_window < 1.0, "{result:?}");
}

// Guards against callers within their limit who are refused after 420 relays have all started again.
#[test]
fn after_a_loss_of_420_relays_callers_are_let_in_at_seed_2() {
    let pattern = LoadPattern { relays: 420, restarts: &[8, 16], ..LoadPattern::USUAL };
    let result = play(pattern, LimitRule::default(), 2);
    assert!(result.refused_at_start <= 0.05, "{result:?}");
}

// Guards against a flood that passes more than is allowed, as the relays are cut into parts at the moment of its begin.
#[test]
fn a_flood_that_is_cut_at_once_stays_within_its_limit_at_seed_39() {
    let pattern = patterns().into_iter().find(|pattern| pattern.name == "flood, cut at once");
    let result = play(pattern.expect("it is listed"), LimitRule::default(), 39);
    assert!(result.worst_window < 1.0, "{result:?}");
}

// Guards against callers within their limit who are refused after four relays have all started again.
#[test]
fn after_a_loss_of_four_relays_callers_are_let_in_at_seeds_11_and_56() {
    let pattern = LoadPattern { relays: 4, restarts: &[8, 16], ..LoadPattern::USUAL };
    for seed in [11, 56] {
        let result = play(pattern, LimitRule::default(), seed);
        assert!(result.refused_at_start <= 0.05, "{seed}: {result:?}");
    }
}

#[test]
fn the_relays_that_hear_most_others_serve_the_callers_of_those_that_are_cut_off() {
    let pattern = LoadPattern { first_cut: 0.36, cut_from: 2, cut_until: 14, ..LoadPattern::USUAL };
    let result = worst(pattern, LimitRule::default());
    assert!(result.refused_by_most <= 0.01, "{result:?}");
}

/// Without being told what is left, 0.95 of what may pass is reached.
#[test]
fn relays_that_start_in_a_flood_learn_from_others_what_is_left() {
    let pattern = LoadPattern { roll: 0.15, ..LoadPattern::FLOOD };
    let result = worst(pattern, LimitRule::default());
    assert!(result.worst_window <= 0.85, "{result:?}");
}

#[test]
fn even_shares_refuse_what_is_spread_unevenly() {
    let pattern = LoadPattern { first_share: 0.5, ..LoadPattern::USUAL };
    let even = worst(pattern, LimitRule::Even);
    assert!(even.wrongly_refused > 0.3, "{even:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Fleets, floods, losses, delays and cuts of any kind.
    #[test]
    fn no_trouble_lets_much_more_pass(
        relays in prop::sample::select(vec![1usize, 4, 25, 68]),
        flood in 1.0f64..4.5,
        first_share in 0.0f64..0.9,
        loss in 0.0f64..0.3,
        delay in 0u64..300,
        parts in 1usize..4,
        cut_from in 0u64..10,
        cut_for in 0u64..10,
        first_cut in prop::sample::select(vec![0.0, 0.1, 0.3, 0.6]),
        seed in 1u64..1000,
    ) {
        let pattern = LoadPattern {
            name: "drawn",
            relays,
            flood,
            first_share,
            loss,
            delay: Duration::from_millis(delay),
            parts,
            cut_from,
            cut_until: cut_from + cut_for,
            first_cut,
            ..LoadPattern::FLOOD
        };
        let result = play(pattern, LimitRule::default(), seed);
        prop_assert!(result.worst_window < 1.0, "{:?}", result);
    }
}
