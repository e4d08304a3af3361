//! Loads over the whole site: base models within the weight store's rate also when the keeper
//! changes, and adapters no more at once than the store serves at full speed.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport};
use quillcove_core::relay::keeper::LoadRateCoordinator;
use quillcove_core::relay::limiter::LoadLimiter;
use quillcove_core::relay::machine::{RelayMachine, RelayRules};
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use relay_site::{address, engine_service, ms};

const ENGINES: u16 = 40;
const RATE: f64 = 3.3;
const WINDOW: Duration = Duration::from_secs(5);

fn machine() -> RelayMachine {
    let mut machine = RelayMachine::new(RelayRules::default(), 1);
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![],
        vec![engine_service(100, RATE)],
        CallerLimits::default(),
    ));
    for port in 1..=ENGINES {
        let id = format!("i-{port}");
        machine.list(ReplicaRecord { address: address(port), ..example_record(&id) }, ms(0));
    }
    machine
}

/// What the loader of an engine tells: it is empty until its model's load is over.
fn beacon(port: u16, number: u64, began: &[Duration], now: Duration) -> EngineHeartbeat {
    let is_loaded = began.last().is_some_and(|at| now >= *at + ms(600));
    let is_busy = !began.is_empty() && !is_loaded;
    let models = if is_loaded { vec!["m".to_string()] } else { Vec::new() };
    EngineHeartbeat {
        host: format!("h{port}"),
        engine: address(port),
        number,
        incarnation: 1,
        report: EngineReport { models, is_busy, ..EngineReport::default() },
        model_loads: began.iter().map(|at| now - *at).collect(),
        arrivals: Vec::new(),
        content: 1,
        uses: Vec::new(),
        spare_places: None,
        relays: Vec::new(),
    }
}

proptest! {
    #![proptest_config(fuzz::config_of(48))]

    /// All engines restart empty at once, and another relay becomes keeper at any moment.
    #[test]
    fn base_models_stay_within_the_rate_over_any_change_of_keeper(
        takeovers in prop::collection::vec(1u64..200, 0..6),
    ) {
        let mut machine = machine();
        let mut keeper = LoadRateCoordinator::default();
        let mut began: Vec<Vec<Duration>> = vec![Vec::new(); usize::from(ENGINES) + 1];
        let mut all: Vec<Duration> = Vec::new();
        for tick in 0u64..300 {
            let now = ms(tick * 50);
            if takeovers.contains(&tick) {
                // The new keeper has heard the same beacons as the old one.
                keeper = LoadRateCoordinator::default();
            }
            for port in 1..=ENGINES {
                let beacon = beacon(port, tick + 1, &began[usize::from(port)], now);
                machine.take_report(&beacon, now);
                keeper.take_report(&beacon, now);
            }
            for addressed in keeper.plan_requests(&machine, |_| true, now) {
                began[usize::from(addressed.engine.port())].push(now);
                all.push(now);
            }
        }
        let limit = ceiling();
        for first in &all {
            let count = all.iter().filter(|at| *at >= first && **at < *first + WINDOW).count();
            prop_assert!(count as f64 <= limit, "{count} loads within {WINDOW:?}");
        }
        prop_assert_eq!(all.len(), usize::from(ENGINES), "every engine got its model, once");
    }
}

/// Most loads within a window that the users allow.
fn ceiling() -> f64 {
    RATE * WINDOW.as_secs_f64() * 1.1 + 3.0
}

/// Most loads that begin within any window, when two keepers plan at once, as after a cut between
/// them. Each hears the reports of all loaders with a lag of its own; `counts` is false for a wrong
/// keeper that does not count what others asked for.
fn most_of_two_keepers(lags: [u64; 2], counts: bool) -> usize {
    let mut machines = [machine(), machine()];
    let mut keepers = [LoadRateCoordinator::default(), LoadRateCoordinator::default()];
    let mut began: Vec<Vec<Duration>> = vec![Vec::new(); usize::from(ENGINES) + 1];
    let mut all: Vec<Duration> = Vec::new();
    for tick in 0u64..300 {
        let now = ms(tick * 50);
        for side in 0..2 {
            if tick % 2 != side as u64 {
                continue;
            }
            for port in 1..=ENGINES {
                let heard = now.saturating_sub(ms(lags[side]));
                let known: Vec<Duration> =
                    began[usize::from(port)].iter().filter(|at| **at <= heard).copied().collect();
                let mut beacon = beacon(port, tick + 1, &known, now);
                if !counts {
                    beacon.model_loads.clear();
                }
                machines[side].take_report(&beacon, now);
                keepers[side].take_report(&beacon, now);
            }
            for addressed in keepers[side].plan_requests(&machines[side], |_| true, now) {
                let began = &mut began[usize::from(addressed.engine.port())];
                // A loader orders a model only into an empty engine.
                if began.is_empty() {
                    began.push(now);
                    all.push(now);
                }
            }
        }
    }
    let within =
        |first: &Duration| all.iter().filter(|at| *at >= first && **at < *first + WINDOW).count();
    all.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(fuzz::config_of(32))]

    #[test]
    fn two_keepers_at_once_stay_within_the_rate(one in 0u64..700, two in 0u64..700) {
        let most = most_of_two_keepers([one, two], true);
        prop_assert!(most as f64 <= ceiling(), "{most} loads within {WINDOW:?}");
    }
}

#[test]
fn keepers_that_count_only_their_own_asks_are_caught() {
    let most = most_of_two_keepers([0, 0], false);
    assert!(most as f64 > ceiling(), "{most} loads within {WINDOW:?}");
}

/// Beacons of engines that restarted empty; `local` says whether their hosts have the model's copy.
fn empty_engines(machine: &mut RelayMachine, keeper: &mut LoadRateCoordinator, local: bool) {
    for port in 1..=ENGINES {
        let mut beacon = beacon(port, 1, &[], ms(0));
        beacon.report.local_models = if local { vec!["m".to_string()] } else { Vec::new() };
        machine.take_report(&beacon, ms(0));
        keeper.take_report(&beacon, ms(0));
    }
}

#[test]
fn models_that_hosts_have_copies_of_are_asked_for_at_once_by_any_relay() {
    let mut machine = machine();
    let mut keeper = LoadRateCoordinator::default();
    empty_engines(&mut machine, &mut keeper, true);
    assert_eq!(keeper.plan_requests(&machine, |_| false, ms(0)).len(), usize::from(ENGINES));
    assert!(keeper.plan_requests(&machine, |_| false, ms(50)).is_empty(), "asked for already");
    assert_eq!(keeper.window_count(ms(50)), 0, "they take nothing from the weight store");
}

#[test]
fn models_from_the_weight_store_are_asked_for_by_the_keeper_alone() {
    let mut machine = machine();
    let mut keeper = LoadRateCoordinator::default();
    empty_engines(&mut machine, &mut keeper, false);
    assert!(keeper.plan_requests(&machine, |_| false, ms(0)).is_empty());
    assert_eq!(keeper.plan_requests(&machine, |_| true, ms(0)).len(), 1);
}

/// Load time of a store that serves this many at full speed.
fn store_time(at_once: usize, full_speed: usize) -> Duration {
    ms(250).mul_f64((at_once as f64 / full_speed as f64).max(1.0))
}

#[test]
fn the_limit_settles_near_what_the_store_serves_at_full_speed() {
    for full_speed in [3usize, 8, 24] {
        let mut limiter = LoadLimiter::default();
        let mut total = 0;
        for _ in 0..2000 {
            let at_once = limiter.limit();
            limiter.note_load(store_time(at_once, full_speed), at_once);
        }
        for _ in 0..100 {
            let at_once = limiter.limit();
            limiter.note_load(store_time(at_once, full_speed), at_once);
            total += limiter.limit();
        }
        let mean = total / 100;
        let range = full_speed..=full_speed * 3 / 2 + 1;
        assert!(range.contains(&mean), "{mean} for a store of {full_speed}");
    }
}

#[test]
fn the_limit_recovers_after_a_slow_spell() {
    let mut limiter = LoadLimiter::default();
    for _ in 0..200 {
        limiter.note_load(store_time(limiter.limit(), 8), limiter.limit());
    }
    for _ in 0..30 {
        limiter.note_load(ms(2500), limiter.limit());
    }
    assert!(limiter.limit() <= 4, "{}", limiter.limit());
    for _ in 0..400 {
        limiter.note_load(store_time(limiter.limit(), 8), limiter.limit());
    }
    assert!(limiter.limit() >= 8, "{}", limiter.limit());
}
