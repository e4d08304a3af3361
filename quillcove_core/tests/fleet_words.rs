//! What relays and loaders of a large fleet tell each other, by the size of the fleet.
//!
//! Seen: 385 relays before 600 engines could not be run to the end of a day: each told each relay and each loader of
//! itself twice a second, and each loader told each relay what its engine does. Cause: words that grow with relays times
//! engines. Shown here from the rules alone: of a fleet of any size a relay works with some tens of engines and sends and
//! gets about the same number of words, and the parts of a fleet stay together when some engines come and go.

#[allow(dead_code)]
mod relay_site;

use std::collections::{BTreeMap, BTreeSet};

use quillcove_core::relay::cell::CellPlan;
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayRules};
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::relay::telling::{ListRound, RelayDistance, SHORTEST_INTERVAL, lifetime};
use relay_site::{address, engine_service, ms, stream_route};

/// Whole reports and gauges of a calm loader, and words of a relay to a loader, each a second.
const LOADER_WORDS: f64 = 2.5;
const USE_WORDS: f64 = 2.0;

/// A fleet of some halls, all alike.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    halls: usize,
    relays: usize,
    engines: usize,
}

fn hall(number: usize) -> String {
    format!("hall-{number}")
}

fn plan_of(size: FleetSize) -> CellPlan {
    let mut plan = CellPlan::default();
    let engines = (0..size.halls).map(|number| (hall(number), size.engines / size.halls));
    plan.update(&engines.collect());
    plan
}

/// Engines of each cell, and relays of each, by counting.
fn cells_of(size: FleetSize) -> Vec<(usize, usize)> {
    let plan = plan_of(size);
    let mut cells: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for engine in 0..size.engines {
        let cell = plan.cell_of(&hall(engine % size.halls), &format!("10.0.0.{engine}:80"));
        cells.entry(format!("{cell:?}")).or_default().0 += 1;
    }
    for relay in 0..size.relays {
        let cell = plan.cell_of(&hall(relay % size.halls), &format!("relay-{relay}"));
        cells.entry(format!("{cell:?}")).or_default().1 += 1;
    }
    cells.into_values().collect()
}

/// Words a second that the busiest relay sends and gets, and the busiest loader.
fn words(size: FleetSize) -> (f64, f64) {
    let near = size.relays / size.halls - 1;
    let far = size.relays - near - 1;
    let to_relays = |distance: RelayDistance, relays: usize| {
        relays as f64 / distance.interval(relays).as_secs_f64()
    };
    let relays = to_relays(RelayDistance::Near, near) + to_relays(RelayDistance::Far, far);
    let cells = cells_of(size);
    let engines = cells.iter().map(|(engines, _)| *engines).max().unwrap_or(0) as f64;
    let callers = cells.iter().map(|(_, relays)| *relays).max().unwrap_or(0) as f64;
    let relay = 2.0 * relays + engines * (LOADER_WORDS + USE_WORDS);
    (relay, callers * (LOADER_WORDS + USE_WORDS))
}

#[test]
fn words_do_not_grow_with_the_fleet() {
    let fleet = |halls, relays, engines| FleetSize { halls, relays, engines };
    let (relay, loader) = words(fleet(5, 385, 600));
    for size in [fleet(5, 770, 1200), fleet(5, 1540, 2400), fleet(10, 770, 1200)] {
        let (larger_relay, larger_loader) = words(size);
        println!("{size:?}: {larger_relay:.0} a relay, {larger_loader:.0} a loader");
        assert!(larger_relay < relay * 1.5, "{size:?}: {larger_relay} after {relay}");
        assert!(larger_loader < loader * 1.5, "{size:?}: {larger_loader} after {loader}");
    }
    // As it was: two words a second to each of the others and to each loader, and as many back.
    let before = 2.0 * 2.0 * 384.0 + 600.0 * (LOADER_WORDS + USE_WORDS);
    println!(
        "385 relays, 600 engines: {relay:.0} a relay, {before:.0} before; {loader:.0} a loader"
    );
    assert!(relay * 3.0 < before, "{relay} of {before}");
}

#[test]
fn small_fleets_are_one_cell_and_tell_all() {
    for (relays, engines) in [(4, 12), (25, 46), (68, 78)] {
        let size = FleetSize { halls: 3, relays, engines };
        assert_eq!(cells_of(size), [(engines, relays)]);
    }
    assert_eq!(RelayDistance::Near.interval(23), SHORTEST_INTERVAL);
    assert_eq!(RelayDistance::Far.interval(17), SHORTEST_INTERVAL);
}

#[test]
fn each_cell_has_engines_and_relays() {
    for relays in [100, 385, 790] {
        let size = FleetSize { halls: 5, relays, engines: relays * 3 / 2 };
        for (engines, relays) in cells_of(size) {
            assert!((16..=140).contains(&engines), "{size:?}: {engines} engines");
            assert!(relays >= 5, "{size:?}: {relays} relays");
        }
    }
}

#[test]
fn engines_that_come_and_go_do_not_move_others() {
    let mut plan = plan_of(FleetSize { halls: 5, relays: 385, engines: 600 });
    let place = |plan: &CellPlan| {
        let cell = |engine: usize| plan.cell_of(&hall(engine % 5), &format!("10.0.0.{engine}:80"));
        (0..600).map(cell).collect::<Vec<_>>()
    };
    let before = place(&plan);
    for in_hall in [104, 96, 80, 70, 120, 150, 190, 120] {
        plan.update(&(0..5).map(|number| (hall(number), in_hall)).collect());
        assert_eq!(place(&plan), before, "{in_hall} engines a hall");
    }
}

#[test]
fn a_hall_with_few_engines_goes_with_a_larger_one() {
    let mut plan = CellPlan::default();
    let engines = [("hall-0", 120), ("hall-1", 120), ("hall-2", 3)];
    plan.update(&engines.iter().map(|(name, count)| (name.to_string(), *count)).collect());
    let cells: BTreeSet<String> =
        (0..3).map(|engine| format!("{:?}", plan.cell_of("hall-2", &engine.to_string()))).collect();
    assert!(cells.iter().all(|cell| !cell.contains("hall-2")), "{cells:?}");
}

fn record(number: u16, hall: &str) -> ReplicaRecord {
    let hall = hall.to_string();
    ReplicaRecord { address: address(number), hall, ..example_record(&format!("i-{number}")) }
}

/// A relay of the first hall that knows so many engines in each of two halls.
fn relay(engines: u16) -> RelayMachine {
    let rules = RelayRules { hall: "hall-0".to_string(), ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(10_000, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![stream_route()],
        services,
        CallerLimits::default(),
    ));
    let records = (0..engines * 2).map(|number| record(number + 1, &hall(usize::from(number % 2))));
    machine.list_all(records.collect(), ms(0));
    machine
}

fn chosen(machine: &mut RelayMachine, now: u64) -> Option<String> {
    let query = relay_site::query(stream_route(), None, ms(now));
    match machine.choose(&query, &[], ms(now)) {
        RelayChoice::Send(order) => Some(order.replica),
        RelayChoice::Wait(_) | RelayChoice::Refuse(_) => None,
    }
}

#[test]
fn requests_stay_in_the_cell_while_it_can_take_them() {
    let mut machine = relay(60);
    let near: BTreeSet<String> =
        machine.near_engines("s").map(|view| view.record.id.clone()).collect();
    assert_eq!(near.len(), 60, "the engines of its hall");
    for _ in 0..200 {
        let replica = chosen(&mut machine, 1).unwrap();
        assert!(near.contains(&replica));
    }
}

#[test]
fn a_full_cell_leaves_requests_to_others() {
    let mut machine = relay(60);
    let near: Vec<String> = machine.near_engines("s").map(|view| view.record.id.clone()).collect();
    for replica in &near {
        for _ in 0..8 {
            machine.begin_attempt(replica, None, ms(1));
        }
    }
    let replica = chosen(&mut machine, 2).unwrap();
    assert!(!near.contains(&replica));
}

#[test]
fn a_cell_that_is_lost_is_replaced_by_all_engines() {
    let mut machine = relay(60);
    let near: Vec<ReplicaRecord> =
        machine.near_engines("s").map(|view| view.record.clone()).collect();
    for record in near {
        machine.list(ReplicaRecord { state: ReplicaState::Draining, ..record }, ms(1));
    }
    machine.tick(ms(1000));
    assert!(chosen(&mut machine, 1001).is_some());
    assert_eq!(machine.near_engines("s").count(), 60, "loads go there as well");
}

#[test]
fn all_relays_are_told_within_the_interval_that_a_word_names() {
    for relays in [3, 40, 308, 1000] {
        let list: Vec<usize> = (0..relays).collect();
        let interval = RelayDistance::Far.interval(relays);
        let mut round = ListRound::default();
        let mut told = BTreeSet::new();
        let mut elapsed = ms(0);
        while elapsed < interval {
            told.extend(round.take(&list, RelayDistance::Far.at_once(relays)));
            elapsed += SHORTEST_INTERVAL;
        }
        assert_eq!(told.len(), relays);
        assert!(lifetime(interval) > interval * 3, "a word may be lost");
    }
}
