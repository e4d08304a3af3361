//! An adapter whose load ends its engine: it is asked of one engine after the other as long as callers want it,
//! and each of them ends. What was known of a load ended with the engine that it ended.

#[allow(dead_code)]
mod relay_site;

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::crash::digest::{RequestIdentity, load_identity};
use quillcove_core::crash::telling::CrashReport;
use quillcove_core::crash::watch::{CrashTracker, ResponseAbort};
use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineReport, HeldAdapter, LoadRequest};
use quillcove_core::relay::loader::LoaderMachine;
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::order::OrderOutcome;
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::verdict::RefusalReason;
use relay_site::{address, engine_service, ms, stream_route};

const NOW: Duration = Duration::from_secs(10);

fn broke(identity: RequestIdentity, sent_at: Duration) -> ResponseAbort {
    ResponseAbort { identity, has_other_cause: false, sent_at }
}

fn broken_key() -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: "a1".to_string() }
}

fn report(born: u64) -> EngineReport {
    EngineReport {
        born: Some(born),
        models: vec!["m".to_string()],
        orders_taken: Some(0),
        ..EngineReport::default()
    }
}

/// A loader whose engine ends under the load, if it is broken; what it tells.
fn load_at(replica: &str, is_broken: bool) -> CrashReport {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(report(1), NOW);
    let ask = LoadRequest {
        replica: replica.to_string(),
        model: "m".to_string(),
        adapter: Some("a1".to_string()),
        version: Some(2),
        places: 4,
    };
    machine.queue_load_request(address(1), ask, NOW);
    assert!(machine.next_order(NOW).is_some());
    machine.complete_order(OrderOutcome::Begun, NOW);
    let later = NOW + Duration::from_secs(6);
    assert!(machine.next_order(later).is_none());
    let mut after = report(if is_broken { 2 } else { 1 });
    if !is_broken {
        after.adapters.push(HeldAdapter { key: broken_key(), version: 2 });
    }
    let change = machine.record_report(after, later);
    let mut watch = CrashTracker::default();
    for load in change.broken {
        watch.record_abort(&load.run, broke(load_identity(&load.key, load.version), NOW), NOW);
        watch.confirm_exit(&load.run, NOW);
    }
    watch.tell(false, NOW).pop().unwrap_or_default()
}

#[test]
fn a_load_under_which_three_engines_ended_is_told_to_relays_and_refused() {
    let mut relay = CrashTracker::default();
    for replica in ["i-1", "i-2", "i-3"] {
        assert!(relay.cause(load_identity(&broken_key(), 2), NOW).is_none());
        relay.apply_report(&load_at(replica, true), NOW);
    }
    assert!(relay.book().has_loads());
    assert!(relay.cause(load_identity(&broken_key(), 2), NOW).is_some());
    // A newer version is another load.
    assert!(relay.cause(load_identity(&broken_key(), 3), NOW).is_none());
}

#[test]
fn a_load_that_came_is_not_blamed_for_a_later_end() {
    assert!(load_at("i-1", false).is_empty());
}

#[test]
fn an_adapter_that_some_engine_holds_loads_well() {
    let mut relay = CrashTracker::default();
    for replica in ["i-1", "i-2", "i-3"] {
        relay.apply_report(&load_at(replica, true), NOW);
    }
    relay.note_seen_good(load_identity(&broken_key(), 2), NOW + Duration::from_secs(1));
    assert!(relay.cause(load_identity(&broken_key(), 2), NOW).is_none());
}

/// A relay before three engines without the adapter.
fn relay_machine() -> (RelayMachine, RelayQuery) {
    let route = stream_route();
    let mut machine = RelayMachine::new(RelayRules::default(), 1);
    let services = vec![engine_service(100, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![route.clone()],
        services,
        CallerLimits::default(),
    ));
    for port in 1..=3 {
        let record = example_record(&format!("i-{port}"));
        machine.list(ReplicaRecord { address: address(port), ..record }, NOW);
    }
    let query = RelayQuery {
        route: Arc::new(route),
        service: "s".to_string(),
        model: Some("m".to_string()),
        adapter: Some(broken_key()),
        prompt_tokens: Some(1_100),
        received: NOW,
        since_first_attempt: Duration::ZERO,
        deadline: NOW + ms(15_000),
        choice_count: 0,
        grant: None,
        identity: None,
        parts: Vec::new(),
        origin: None,
    };
    (machine, query)
}

#[test]
fn a_relay_asks_for_no_load_that_ends_engines_and_refuses_what_needs_it_at_once() {
    let (mut machine, query) = relay_machine();
    machine.take_version(broken_key(), 2, false, NOW);
    assert!(matches!(machine.choose(&query, &[], NOW), RelayChoice::Wait(_)));
    for replica in ["i-1", "i-2", "i-3"] {
        machine.crashes_mut().apply_report(&load_at(replica, true), NOW);
    }
    machine.take_load_requests();
    let choice = machine.choose(&query, &[], NOW);
    assert!(
        matches!(choice, RelayChoice::Refuse(refusal) if refusal.reason == RefusalReason::EndsUpstreams)
    );
    assert!(machine.take_load_requests().is_empty());
}
