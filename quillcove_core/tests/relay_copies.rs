//! When a relay asks for another copy of an adapter that an engine already holds.
//!
//! Answers the pattern in which many relays have one request each for what is asked for most, so that
//! none of them sees the queue by its own requests. Grounds of the figures: 68 relays; a Zipf exponent
//! of 1.2 over 24,000 adapters sends a fifth of all requests to one of them, some 40 in flight at once
//! where one engine reads a dozen prompts a second.

#[allow(dead_code)]
mod relay_site;

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use relay_site::{address, engine_service, ms, stream_route};

const HOLDER: u16 = 1;

fn key() -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: "a1".to_string() }
}

/// A relay that knows three engines, of which one holds the adapter; `waiting` prompts wait there, and
/// all relays have `uses` requests for the adapter in flight.
fn relay(waiting: u32, uses: u32) -> RelayMachine {
    let rules = RelayRules { hall: "hall-a".to_string(), ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(100, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![stream_route()],
        services,
        CallerLimits::default(),
    ));
    for port in HOLDER..=3 {
        let record = example_record(&format!("i-{port}"));
        machine.list(ReplicaRecord { address: address(port), ..record }, ms(0));
        let is_holder = port == HOLDER;
        let held = HeldAdapter { key: key(), version: 1 };
        let beacon = EngineHeartbeat {
            host: format!("h-{port}"),
            engine: address(port),
            number: 1,
            incarnation: 1,
            content: 1,
            report: EngineReport {
                models: vec!["m".to_string()],
                adapters: if is_holder { vec![held] } else { Vec::new() },
                waiting: if is_holder { waiting } else { 0 },
                ..EngineReport::default()
            },
            uses: if is_holder { vec![uses] } else { Vec::new() },
            model_loads: Vec::new(),
            arrivals: Vec::new(),
            spare_places: Some(4),
            relays: Vec::new(),
        };
        machine.take_report(&beacon, ms(0));
    }
    machine
}

/// Sends one request for the adapter; gives the engines that were asked to load it.
fn asked_after_one_request(machine: &mut RelayMachine) -> Vec<u16> {
    let query = RelayQuery {
        route: Arc::new(stream_route()),
        service: "s".to_string(),
        model: Some("m".to_string()),
        adapter: Some(key()),
        prompt_tokens: Some(1_100),
        received: ms(10),
        since_first_attempt: Duration::ZERO,
        deadline: ms(15_000),
        choice_count: 0,
        grant: None,
        identity: None,
        parts: Vec::new(),
        origin: None,
    };
    let choice = machine.choose(&query, &[], ms(10));
    assert!(matches!(choice, RelayChoice::Send(order) if order.replica == "i-1"));
    machine.take_load_requests().into_iter().map(|asked| asked.engine.port()).collect()
}

#[test]
fn a_queue_of_all_relays_is_worth_a_copy_though_this_one_has_a_single_request() {
    let asked = asked_after_one_request(&mut relay(20, 40));
    assert_eq!(asked.len(), 1);
    assert_ne!(asked, [HOLDER]);
}

#[test]
fn a_queue_of_requests_for_other_adapters_is_not() {
    assert!(asked_after_one_request(&mut relay(20, 1)).is_empty());
}

#[test]
fn an_adapter_that_many_use_without_a_queue_is_not() {
    assert!(asked_after_one_request(&mut relay(0, 40)).is_empty());
}

#[test]
fn the_ask_is_made_once_while_it_is_open() {
    let mut machine = relay(20, 40);
    assert_eq!(asked_after_one_request(&mut machine).len(), 1);
    assert!(asked_after_one_request(&mut machine).is_empty());
}
