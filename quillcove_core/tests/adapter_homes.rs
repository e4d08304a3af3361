//! Rare adapters in a fleet that is divided into cells, each asked for by callers of all halls now and then.
//!
//! Seen: on a day of 385 relays before 600 engines in ten cells 3,640 adapters were brought from the weight store, where some
//! 1,760 different ones are asked for. Cause: each cell brought each adapter for itself. Shown here: relays of all cells
//! ask one engine for a rare adapter and send there; what is used much gets a copy in the cell; an engine that is silent,
//! busy or leaves is passed over.

#[allow(dead_code)]
mod relay_site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayRules};
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use relay_site::{address, engine_service, ms, stream_route};

const HALLS: u16 = 5;

fn hall(number: u16) -> String {
    format!("hall-{number}")
}

fn record(number: u16) -> ReplicaRecord {
    let hall = hall(number % HALLS);
    ReplicaRecord { address: address(number + 1), hall, ..example_record(&format!("i-{number}")) }
}

/// A relay of this hall before so many engines in all halls.
fn relay(name: &str, own: u16, engines: u16) -> RelayMachine {
    let rules = RelayRules { host: name.to_string(), hall: hall(own), ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(10_000, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![stream_route()],
        services,
        CallerLimits::default(),
    ));
    machine.list_all((0..engines).map(record).collect(), ms(0));
    for number in 0..engines {
        let near = machine.table().at(address(number + 1)).unwrap().is_in_cell;
        if near {
            machine.take_report(&report(address(number + 1), &[], 0), ms(0));
        }
    }
    machine
}

fn key(number: usize) -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: format!("a{number}") }
}

/// A loader's report: its engine holds these, each with so many requests in flight over all relays.
fn report(engine: SocketAddr, held: &[AdapterKey], uses: u32) -> EngineHeartbeat {
    let adapters = held.iter().map(|key| HeldAdapter { key: key.clone(), version: 1 }).collect();
    let models = vec!["m".to_string()];
    EngineHeartbeat {
        host: "side".to_string(),
        engine,
        number: 1,
        incarnation: 1,
        content: 1,
        report: EngineReport { models, adapters, ..EngineReport::default() },
        uses: held.iter().map(|_| uses).collect(),
        model_loads: Vec::new(),
        arrivals: Vec::new(),
        spare_places: Some(4),
        relays: Vec::new(),
    }
}

/// What a relay does with a request for an adapter.
fn request(machine: &mut RelayMachine, adapter: usize, now: Duration) -> RelayChoice {
    let query = relay_site::query(stream_route(), Some(key(adapter)), now);
    machine.choose(&query, &[], now)
}

fn asked(machine: &mut RelayMachine) -> Vec<SocketAddr> {
    machine.take_load_requests().into_iter().map(|ask| ask.engine).collect()
}

#[test]
fn relays_of_all_cells_ask_one_engine_for_a_rare_adapter() {
    let mut relays: Vec<RelayMachine> =
        (0..HALLS).map(|own| relay(&format!("relay-{own}"), own, 600)).collect();
    for adapter in 0..40 {
        let now = ms(10 * adapter as u64);
        let engines: BTreeSet<SocketAddr> = relays
            .iter_mut()
            .flat_map(|relay| {
                assert!(matches!(request(relay, adapter, now), RelayChoice::Wait(_)));
                let engines = asked(relay);
                for engine in &engines {
                    relay.take_report(&report(*engine, &[key(adapter)], 1), now);
                }
                engines
            })
            .collect();
        assert_eq!(engines.len(), 1, "adapter {adapter}");
    }
}

#[test]
fn a_request_goes_to_another_cell_once_its_loader_says_that_the_adapter_is_there() {
    let mut machine = relay("relay-0", 0, 600);
    let mut is_far = false;
    for adapter in 0..10 {
        request(&mut machine, adapter, ms(0));
        let home = asked(&mut machine)[0];
        machine.take_report(&report(home, &[key(adapter)], 1), ms(2));
        let RelayChoice::Send(order) = request(&mut machine, adapter, ms(3)) else {
            panic!("the adapter is there");
        };
        assert_eq!(order.address, home);
        is_far |= !machine.table().at(home).unwrap().is_in_cell;
    }
    assert!(is_far);
}

#[test]
fn a_silent_home_is_passed_over_for_an_engine_of_the_cell() {
    let mut machine = relay("relay-0", 0, 600);
    let has_far_home = |adapter: &usize| {
        request(&mut machine, *adapter, ms(0));
        let home = asked(&mut machine)[0];
        !machine.table().at(home).unwrap().is_in_cell
    };
    let adapter = (0..50).find(has_far_home).unwrap();
    machine.tick(ms(200));
    let query = relay_site::query(stream_route(), Some(key(adapter)), ms(0));
    machine.choose(
        &quillcove_core::relay::machine::RelayQuery { choice_count: 1, ..query },
        &[],
        ms(250),
    );
    machine.tick(ms(300));
    let engines = asked(&mut machine);
    assert!(
        engines.iter().any(|engine| machine.table().at(*engine).unwrap().is_in_cell),
        "{engines:?}"
    );
}

#[test]
fn what_is_used_much_at_its_home_gets_a_copy_in_the_cell() {
    let mut machine = relay("relay-0", 0, 600);
    for adapter in 0..10 {
        request(&mut machine, adapter, ms(0));
        let home = asked(&mut machine)[0];
        machine.take_report(&report(home, &[key(adapter)], 9), ms(2));
        request(&mut machine, adapter, ms(3));
        let copies = asked(&mut machine);
        if machine.table().at(home).unwrap().is_in_cell {
            continue;
        }
        assert_eq!(copies.len(), 1, "a copy is asked for at once");
        assert!(machine.table().at(copies[0]).unwrap().is_in_cell);
        machine.take_report(&report(copies[0], &[key(adapter)], 1), ms(4));
        let RelayChoice::Send(order) = request(&mut machine, adapter, ms(5)) else {
            panic!("the copy is there");
        };
        assert_eq!(order.address, copies[0], "requests stay in the cell from then on");
    }
}

#[test]
fn a_home_that_leaves_is_followed_by_the_next_one() {
    let mut machine = relay("relay-0", 0, 600);
    request(&mut machine, 7, ms(0));
    let home = asked(&mut machine)[0];
    let record = machine.table().at(home).unwrap().record.clone();
    machine.list(ReplicaRecord { state: ReplicaState::Draining, ..record }, ms(1));
    let mut other = relay("relay-1", 1, 600);
    let record = other.table().at(home).unwrap().record.clone();
    other.list(ReplicaRecord { state: ReplicaState::Draining, ..record }, ms(1));
    request(&mut other, 7, ms(2));
    let next = asked(&mut other)[0];
    assert_ne!(next, home);
}

#[test]
fn a_fleet_of_one_cell_has_no_homes() {
    let mut machine = relay("relay-0", 0, 90);
    request(&mut machine, 7, ms(0));
    assert_eq!(asked(&mut machine).len(), 1);
    assert!(machine.table().all().all(|view| view.is_in_cell));
}
