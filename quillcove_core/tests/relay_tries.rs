//! How long ago callers tried first, and how long requests of first and later tries wait.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

#[allow(dead_code)]
mod relay_site;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::policy::{RelayPolicy, WaitingRule};
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::relay::tries::CallerTries;
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use relay_site::{address, engine_service, ms};

fn route() -> RouteRecord {
    RouteRecord {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind: RouteKind::Stream,
        timeout: ms(15_000),
        aim: ms(200),
        patience: Some(ms(2_000)),
        priority: 0,
        attempt_limit: 1,
        target_gap: None,
        is_public: true,
        targets: vec![RouteShare { service: "s".into(), weight: 1 }],
    }
}

/// One engine that holds no adapter and has a place for one.
fn machine(waiting: WaitingRule) -> RelayMachine {
    let policy = RelayPolicy { waiting, ..RelayPolicy::default() };
    let rules = RelayRules { hall: "hall-a".into(), policy, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(8, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![route()],
        services,
        CallerLimits::default(),
    ));
    machine.list(ReplicaRecord { address: address(1), ..example_record("i-1") }, ms(0));
    let beacon = EngineHeartbeat {
        host: "h1".into(),
        engine: address(1),
        number: 1,
        incarnation: 1,
        report: EngineReport { models: vec!["m".into()], ..EngineReport::default() },
        model_loads: Vec::new(),
        content: 1,
        uses: Vec::new(),
        spare_places: Some(1),
        arrivals: Vec::new(),
        relays: Vec::new(),
    };
    machine.take_report(&beacon, ms(1_000));
    machine
}

fn query(age: Duration, patience: Duration) -> RelayQuery {
    RelayQuery {
        route: Arc::new(route()),
        service: "s".into(),
        model: Some("m".into()),
        adapter: Some(AdapterKey { model: "m".into(), adapter: "a1".into() }),
        prompt_tokens: Some(500),
        received: ms(1_000),
        since_first_attempt: age,
        deadline: ms(1_000) + patience,
        choice_count: 0,
        grant: None,
        identity: None,
    }
}

#[test]
fn who_comes_back_waits_for_a_late_adapter_and_a_first_try_is_told_when_to_come() {
    // A load takes 300 ms until one has been seen, and the aim is 200 ms.
    let mut machine = machine(WaitingRule::Returned);
    let first = machine.choose(&query(ms(0), ms(15_000)), &[], ms(1_000));
    let RelayChoice::Refuse(refusal) = first else { panic!("{first:?}") };
    assert!(refusal.retry_after.is_some_and(|after| after >= ms(300)), "{refusal:?}");
    let back = machine.choose(&query(ms(400), ms(15_000)), &[], ms(1_000));
    assert!(matches!(back, RelayChoice::Wait(_)), "{back:?}");
}

#[test]
fn who_comes_back_and_can_not_be_served_is_refused_at_once() {
    let mut machine = machine(WaitingRule::Returned);
    let back = machine.choose(&query(ms(400), ms(250)), &[], ms(1_000));
    assert!(matches!(back, RelayChoice::Refuse(_)), "{back:?}");
}

#[test]
fn a_return_that_is_told_apart_no_more_is_refused_again() {
    let mut machine = machine(WaitingRule::Aim);
    let back = machine.choose(&query(ms(400), ms(15_000)), &[], ms(1_000));
    assert!(matches!(back, RelayChoice::Refuse(_)), "{back:?}");
}

#[test]
fn what_a_caller_waits_for_ends_with_its_patience() {
    let query = query(ms(0), ms(15_000));
    assert_eq!(query.abandon_at(), ms(3_000));
    assert_eq!(query.due(), ms(1_200));
    assert_eq!(RelayQuery { since_first_attempt: ms(500), ..query }.due(), ms(700));
}

#[test]
fn callers_that_wait_unequally_long_are_not_taken_for_returns() {
    let mut tries = CallerTries::default();
    for number in 0..400u64 {
        tries.time_since_first_attempt(ms(1_000 + number * 37 % 4_000));
    }
    assert_eq!(tries.time_since_first_attempt(ms(2_000)), ms(0));
}

proptest! {
    #![proptest_config(fuzz::config_of(64))]

    /// The age never exceeds what the caller's time fell short of the longest.
    #[test]
    fn ages_are_what_is_missing(times in proptest::collection::vec(1u64..20_000, 1..200)) {
        let mut tries = CallerTries::default();
        let mut longest = 0;
        for time in times {
            longest = longest.max(time);
            let age = tries.time_since_first_attempt(ms(time));
            prop_assert!(age == ms(0) || age == ms(longest - time));
        }
    }
}
