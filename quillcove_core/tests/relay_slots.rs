//! What a relay does for loaders of engines with scarce adapter slots: it leaves out unreachable engines, and reports
//! its first use of an adapter at once.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter};
use quillcove_core::relay::engine_status::EngineStatus;
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayRules};
use quillcove_core::relay::policy::{ContentionRule, RelayPolicy};
use quillcove_core::relay::replica::{AttemptOutcome, ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use relay_site::{address, engine_service, ms, query, stream_route};

fn key() -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: "a1".to_string() }
}

/// A relay with the engines `i-1` to `i-3`; the first two hold the adapter.
fn machine(contention: ContentionRule) -> RelayMachine {
    let policy = RelayPolicy { contention, ..RelayPolicy::default() };
    let rules = RelayRules { hall: "hall-a".to_string(), policy, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(100, 3.0)];
    let sheet = PublishedConfig::new(1, vec![stream_route()], services, CallerLimits::default());
    machine.apply_configuration(sheet);
    for port in 1..=3 {
        let id = format!("i-{port}");
        machine.list(ReplicaRecord { address: address(port), ..example_record(&id) }, ms(0));
        let adapters = if port < 3 { vec![HeldAdapter { key: key(), version: 1 }] } else { vec![] };
        let heartbeat = EngineHeartbeat {
            host: id,
            engine: address(port),
            number: 1,
            incarnation: 1,
            content: 1,
            report: EngineReport {
                models: vec!["m".to_string()],
                adapters,
                ..EngineReport::default()
            },
            uses: Vec::new(),
            model_loads: Vec::new(),
            arrivals: Vec::new(),
            spare_places: None,
            relays: Vec::new(),
        };
        machine.take_report(&heartbeat, ms(0));
    }
    machine
}

fn lose(machine: &mut RelayMachine, port: u16, now: Duration) -> bool {
    let status =
        EngineStatus { number: 2, is_reachable: false, ..EngineStatus::unknown(address(port)) };
    machine.take_status(status, now)
}

/// The engines that get requests for the adapter, over many choices.
fn chosen(machine: &mut RelayMachine, now: Duration) -> Vec<String> {
    let mut chosen = Vec::new();
    for _ in 0..30 {
        if let RelayChoice::Send(order) =
            machine.choose(&query(stream_route(), Some(key()), now), &[], now)
        {
            chosen.push(order.replica);
        }
    }
    chosen.sort();
    chosen.dedup();
    chosen
}

/// Load: requests for an adapter of which one holder has just exited. Guards against requests to that engine until
/// the store reports its exit, seconds later.
#[test]
fn an_unreachable_engine_gets_no_requests_while_its_status_is_fresh() {
    let mut machine = machine(ContentionRule::Always);
    assert_eq!(chosen(&mut machine, ms(1)), ["i-1", "i-2"]);
    assert!(lose(&mut machine, 1, ms(2)));
    assert_eq!(chosen(&mut machine, ms(3)), ["i-2"]);
    // Two of three are more than half, which the rule for engines that seem unhealthy would ignore.
    lose(&mut machine, 2, ms(4));
    assert!(chosen(&mut machine, ms(5)).is_empty());
    let requests = machine.take_load_requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].ask.replica, "i-3", "the load is asked of the reachable engine");
    assert!(chosen(&mut machine, ms(1600)).contains(&"i-1".to_string()), "the status is too old");
}

/// Guards against a relay that loses all engines by a fault of its own messages.
#[test]
fn a_status_that_every_engine_is_unreachable_is_ignored() {
    let mut machine = machine(ContentionRule::Always);
    for port in 1..=3 {
        lose(&mut machine, port, ms(2));
    }
    assert_eq!(chosen(&mut machine, ms(3)), ["i-1", "i-2"]);
}

/// Load: a load was asked of an engine that exits. Guards against a wait for its three repetitions.
#[test]
fn a_load_asked_of_an_engine_that_becomes_unreachable_is_asked_of_another() {
    let mut machine = machine(ContentionRule::Always);
    let other = AdapterKey { adapter: "a2".to_string(), ..key() };
    machine.choose(&query(stream_route(), Some(other), ms(1)), &[], ms(1));
    let first = machine.take_load_requests();
    assert!(lose(&mut machine, first[0].engine.port(), ms(2)));
    let second = machine.take_load_requests();
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].engine, first[0].engine);
}

/// Guards against new rules where slots are not scarce.
#[test]
fn without_contention_a_status_is_ignored() {
    let mut machine = machine(ContentionRule::Never);
    assert!(!lose(&mut machine, 1, ms(2)));
    assert_eq!(chosen(&mut machine, ms(3)), ["i-1", "i-2"]);
}

/// Load: a request for an adapter that no request uses. Guards against its unload in the 500 ms until the next report,
/// and against a message for each request.
#[test]
fn the_first_use_of_an_adapter_is_reported_at_once() {
    let mut machine = machine(ContentionRule::Always);
    machine.take_uses("i-1");
    machine.begin_attempt("i-1", Some(&key()), ms(1));
    assert!(machine.has_pending_messages());
    assert_eq!(machine.take_freed(), ["i-1"]);
    assert_eq!(machine.take_uses("i-1")[0].in_flight, 1);
    machine.begin_attempt("i-1", Some(&key()), ms(2));
    assert!(!machine.has_pending_messages(), "the loader knows of the use");
    for _ in 0..2 {
        machine.end_attempt("i-1", Some(&key()), AttemptOutcome::Answered, ms(3));
    }
    machine.begin_attempt("i-1", Some(&key()), ms(4));
    assert!(!machine.has_pending_messages(), "no report has said that the use ended");
    machine.end_attempt("i-1", Some(&key()), AttemptOutcome::Answered, ms(5));
    machine.take_uses("i-1");
    machine.begin_attempt("i-1", Some(&key()), ms(51));
    assert_eq!(machine.take_freed(), ["i-1"]);
}

/// Load: many adapters of an engine are used for the first time at once. Guards against a report for each of them, and
/// against a first use that waits for the regular report.
#[test]
fn first_uses_are_reported_once_per_50_ms() {
    let mut machine = machine(ContentionRule::Always);
    let other = AdapterKey { adapter: "a2".to_string(), ..key() };
    machine.begin_attempt("i-1", Some(&key()), ms(1));
    assert_eq!(machine.take_freed(), ["i-1"]);
    machine.take_uses("i-1");
    machine.begin_attempt("i-1", Some(&other), ms(10));
    assert!(!machine.has_pending_messages());
    machine.tick(ms(50));
    assert!(machine.take_freed().is_empty());
    machine.tick(ms(51));
    assert_eq!(machine.take_freed(), ["i-1"]);
    machine.take_uses("i-1");
    machine.tick(ms(200));
    assert!(machine.take_freed().is_empty(), "the loader knows of the use");
}

/// Guards against new messages where slots are not scarce.
#[test]
fn without_contention_the_first_use_waits_for_the_heartbeat() {
    let mut machine = machine(ContentionRule::Never);
    machine.begin_attempt("i-1", Some(&key()), ms(1));
    assert!(!machine.has_pending_messages());
}
