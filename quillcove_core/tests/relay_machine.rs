//! A relay's machine: routes, versions of sheets, leaving replicas, repeats, and what a request
//! does whose adapter is in no engine.

#[allow(dead_code)]
mod relay_site;

use std::collections::BTreeSet;
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter, OtherRelays};
use quillcove_core::relay::machine::{
    RelayChoice, RelayMachine, RelayQuery, RelayRules, StateChange,
};
use quillcove_core::relay::policy::{PriorityRule, RelayPolicy};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::{PublishedState, StorePart};
use quillcove_core::relay::replica::{AttemptOutcome, ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use quillcove_core::verdict::{RefusalReason, RunVerdict};
use relay_site::{address, engine_service, ms};

fn route(kind: RouteKind) -> RouteRecord {
    RouteRecord {
        name: "r".to_string(),
        host: "a.example".to_string(),
        prefix: "/a/".to_string(),
        kind,
        timeout: ms(15_000),
        aim: ms(800),
        patience: None,
        priority: 1,
        attempt_limit: 2,
        target_gap: None,
        is_public: true,
        targets: vec![RouteShare { service: "s".to_string(), weight: 1 }],
    }
}

fn sheet(version: u64) -> PublishedConfig {
    let routes = vec![route(RouteKind::Stream)];
    PublishedConfig::new(version, routes, vec![engine_service(100, 3.0)], CallerLimits::default())
}

fn machine() -> RelayMachine {
    let rules = RelayRules { hall: "hall-a".to_string(), ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    machine.apply_configuration(sheet(1));
    machine
}

fn record(id: &str, port: u16) -> ReplicaRecord {
    ReplicaRecord { address: address(port), ..example_record(id) }
}

fn key(adapter: &str) -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: adapter.to_string() }
}

fn held(adapter: &str, version: u32) -> HeldAdapter {
    HeldAdapter { key: key(adapter), version }
}

fn beacon(port: u16, number: u64, adapters: &[HeldAdapter]) -> EngineHeartbeat {
    EngineHeartbeat {
        host: format!("host-{port}"),
        engine: address(port),
        number,
        incarnation: 1,
        report: EngineReport {
            models: vec!["m".to_string()],
            adapters: adapters.to_vec(),
            ..EngineReport::default()
        },
        model_loads: Vec::new(),
        content: 1,
        uses: Vec::new(),
        spare_places: None,
        arrivals: Vec::new(),
        relays: Vec::new(),
    }
}

fn query(adapter: Option<&str>, received: Duration) -> RelayQuery {
    relay_site::query(route(RouteKind::Stream), adapter.map(key), received)
}

fn sent_to(choice: &RelayChoice) -> Option<&str> {
    match choice {
        RelayChoice::Send(order) => Some(order.replica.as_str()),
        RelayChoice::Wait(_) | RelayChoice::Refuse(_) => None,
    }
}

/// Both parts, read up to a revision.
fn read(revision: u64) -> ReadPositions {
    let position = StorePosition::in_first_era(revision);
    ReadPositions { operator: position, replicas: position }
}

#[test]
fn an_older_sheet_never_comes_back() {
    let mut machine = machine();
    assert!(machine.apply_configuration(sheet(5)));
    assert!(!machine.apply_configuration(sheet(4)));
    assert!(!machine.apply_configuration(sheet(5)));
    let published = PublishedState { read: read(9), sheet: Some(sheet(3)), ..Default::default() };
    machine.take_published(published, ms(0));
    assert_eq!(machine.sheet().unwrap().version, 5);
}

#[test]
fn a_relay_is_ready_with_a_sheet_and_replicas_until_it_stops() {
    let mut machine = RelayMachine::new(RelayRules::default(), 1);
    machine.list(record("i-1", 1), ms(0));
    assert!(!machine.is_ready());
    machine.apply_configuration(sheet(1));
    assert!(machine.is_ready());
    machine.stop();
    assert!(!machine.is_ready());
}

#[test]
fn a_leaving_replica_gets_nothing_new() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    assert_eq!(sent_to(&machine.choose(&query(None, ms(0)), &[], ms(0))), Some("i-1"));
    let leaving = ReplicaRecord { state: ReplicaState::Draining, ..record("i-1", 1) };
    assert_eq!(machine.list(leaving, ms(1)), [StateChange::Listed("i-1".to_string())]);
    let choice = machine.choose(&query(None, ms(2)), &[], ms(2));
    let RelayChoice::Refuse(refusal) = choice else {
        panic!("{choice:?}");
    };
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::NoUpstream, RunVerdict::NotRun));
}

#[test]
fn a_replica_that_starts_again_at_an_address_replaces_the_one_before_it() {
    let mut machine = machine();
    let old = ReplicaRecord { created: StorePosition::in_first_era(5), ..record("i-old", 1) };
    let new = ReplicaRecord { created: StorePosition::in_first_era(9), ..record("i-new", 1) };
    machine.list(old.clone(), ms(0));
    let changes = machine.list(new.clone(), ms(10));
    let replaced = StateChange::Replaced("i-old".to_string());
    assert_eq!(changes, [replaced, StateChange::Listed("i-new".to_string())]);
    assert_eq!(sent_to(&machine.choose(&query(None, ms(10)), &[], ms(10))), Some("i-new"));
    // The old entry lapses only later, and until then every reading of the whole list names it.
    assert_eq!(machine.list_all(vec![new, old], ms(20)), []);
    assert!(machine.table().get("i-old").is_none());
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_has_two_seconds_to_return() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    machine.list(record("i-2", 2), ms(0));
    machine.set_store_reachable(false, ms(1_000));
    machine.set_store_reachable(true, ms(5_000));
    let changes = machine.list_all(Vec::new(), ms(5_010));
    assert!(
        changes.iter().all(|change| matches!(change, StateChange::Unconfirmed(_))),
        "{changes:?}"
    );
    assert!(machine.tick(ms(6_900)).is_empty());
    machine.list(record("i-1", 1), ms(7_000));
    assert_eq!(machine.tick(ms(7_300)), [StateChange::Gone("i-2".to_string())]);
    assert!(machine.table().get("i-1").is_some());
    assert_eq!(machine.unlist("i-1", ms(9_000)), Some(StateChange::Gone("i-1".to_string())));
}

#[test]
fn a_relay_that_the_store_turns_away_takes_what_another_has_read() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    machine.note_read(StorePart::Operator, StorePosition::in_first_era(4));
    machine.note_read(StorePart::Replicas, StorePosition::in_first_era(4));
    machine.set_store_reachable(false, ms(0));
    let published = PublishedState {
        proof: None,
        read: read(6),
        changed: read(6),
        since: read(1),
        sheet: Some(sheet(2)),
        emptied: Vec::new(),
        versions: vec![held("a1", 3)],
        replicas: vec![record("i-2", 2)],
        lapsed: Vec::new(),
        leaving: Vec::new(),
    };
    let changes = machine.take_published(published, ms(10));
    assert!(changes.contains(&StateChange::Configuration(2)), "{changes:?}");
    assert!(changes.contains(&StateChange::Gone("i-1".to_string())), "{changes:?}");
    assert_eq!(machine.newest(&key("a1")), Some(3));
    let older = PublishedState { read: read(5), replicas: Vec::new(), ..Default::default() };
    assert!(machine.take_published(older, ms(20)).is_empty());
    assert!(machine.table().get("i-2").is_some());
}

#[test]
fn an_older_list_is_not_taken_from_a_relay_that_is_ahead_in_the_other_part() {
    let mut machine = machine();
    machine.list(record("i-2", 2), ms(0));
    machine.note_read(StorePart::Replicas, StorePosition::in_first_era(7));
    let published = PublishedState {
        proof: None,
        read: ReadPositions {
            operator: StorePosition::in_first_era(12),
            replicas: StorePosition::in_first_era(5),
        },
        changed: ReadPositions::default(),
        since: ReadPositions::default(),
        sheet: Some(sheet(2)),
        emptied: Vec::new(),
        versions: vec![held("a1", 3)],
        replicas: vec![record("i-1", 1)],
        lapsed: Vec::new(),
        leaving: Vec::new(),
    };
    let changes = machine.take_published(published, ms(10));
    assert_eq!(changes, [StateChange::Configuration(2)]);
    assert_eq!(machine.newest(&key("a1")), Some(3));
    assert_eq!(
        machine.read(),
        ReadPositions {
            operator: StorePosition::in_first_era(12),
            replicas: StorePosition::in_first_era(7)
        }
    );
}

#[test]
fn a_request_goes_where_its_adapter_is() {
    let mut machine = machine();
    for port in 1..=3 {
        machine.list(record(&format!("i-{port}"), port), ms(0));
        let adapters = if port == 2 { vec![held("a1", 1)] } else { Vec::new() };
        machine.take_report(&beacon(port, 1, &adapters), ms(0));
    }
    for _ in 0..20 {
        let choice = machine.choose(&query(Some("a1"), ms(0)), &[], ms(0));
        assert_eq!(sent_to(&choice), Some("i-2"));
    }
}

#[test]
fn a_missing_adapter_is_asked_for_once_and_the_request_waits_for_it() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    machine.take_report(&beacon(1, 1, &[]), ms(0));
    let choice = machine.choose(&query(Some("a1"), ms(0)), &[], ms(0));
    assert!(matches!(choice, RelayChoice::Wait(_)), "{choice:?}");
    let asks = machine.take_load_requests();
    assert_eq!(asks.len(), 1);
    assert_eq!((asks[0].ask.key(), asks[0].ask.places), (Some(key("a1")), 4));
    machine.choose(&query(Some("a1"), ms(5)), &[], ms(5));
    assert!(machine.take_load_requests().is_empty());
    machine.take_report(&beacon(1, 2, &[held("a1", 1)]), ms(270));
    let choice = machine.choose(&query(Some("a1"), ms(0)), &[], ms(270));
    assert_eq!(sent_to(&choice), Some("i-1"));
}

#[test]
fn a_request_whose_adapter_comes_too_late_is_refused_at_once_with_a_time() {
    let mut machine = machine();
    machine.set_others(OtherRelays::default(), Duration::ZERO);
    machine.list(record("i-1", 1), ms(0));
    machine.take_report(&beacon(1, 1, &[]), ms(0));
    let mut refused = Vec::new();
    for number in 0..40 {
        let adapter = format!("a{number}");
        match machine.choose(&query(Some(&adapter), ms(0)), &[], ms(0)) {
            RelayChoice::Refuse(refusal) => refused.push(refusal),
            RelayChoice::Wait(until) => assert!(until <= ms(1600)),
            RelayChoice::Send(order) => panic!("sent to {order:?}"),
        }
    }
    assert!(refused.len() > 20, "only {} were refused", refused.len());
    for refusal in refused {
        assert_eq!(refusal.verdict, RunVerdict::NotRun);
        assert!(refusal.retry_after.unwrap() > ms(100));
        assert!(refusal.retry_after.unwrap() <= ms(5000));
    }
}

#[test]
fn a_relay_that_hears_no_loader_sends_callers_elsewhere() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    machine.choose(&query(Some("a1"), ms(0)), &[], ms(0));
    let mut late = query(Some("a1"), ms(0));
    late.choice_count = 1;
    let choice = machine.choose(&late, &[], ms(1700));
    let RelayChoice::Refuse(refusal) = choice else {
        panic!("{choice:?}");
    };
    assert!(refusal.retry_after.unwrap() < ms(100));
}

#[test]
fn requests_move_to_a_new_version_before_the_old_one_is_forbidden() {
    let mut machine = machine();
    for port in 1..=2 {
        machine.list(record(&format!("i-{port}"), port), ms(0));
    }
    machine.take_report(&beacon(1, 1, &[held("a1", 1)]), ms(0));
    machine.take_report(&beacon(2, 1, &[]), ms(0));
    machine.take_version(key("a1"), 2, true, ms(100));
    let choice = machine.choose(&query(Some("a1"), ms(110)), &[], ms(110));
    assert_eq!(sent_to(&choice), Some("i-1"), "the old version may still be used");
    let asks = machine.take_load_requests();
    assert_eq!((asks[0].ask.replica.as_str(), asks[0].ask.version), ("i-2", Some(2)));
    machine.take_report(&beacon(2, 2, &[held("a1", 2)]), ms(400));
    for _ in 0..20 {
        let choice = machine.choose(&query(Some("a1"), ms(410)), &[], ms(410));
        assert_eq!(sent_to(&choice), Some("i-2"));
    }
    machine.take_report(&beacon(1, 2, &[held("a1", 1)]), ms(4000));
    machine.take_report(&beacon(2, 3, &[]), ms(4000));
    let choice = machine.choose(&query(Some("a1"), ms(4000)), &[], ms(4000));
    assert_eq!(sent_to(&choice), None, "the old version is forbidden by now");
}

#[test]
fn a_version_published_before_the_start_allows_no_grace() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    machine.take_report(&beacon(1, 1, &[held("a1", 1)]), ms(0));
    machine.take_version(key("a1"), 2, false, ms(0));
    let choice = machine.choose(&query(Some("a1"), ms(1)), &[], ms(1));
    assert_eq!(sent_to(&choice), None);
}

#[test]
fn a_replica_that_fails_is_left_out_while_others_are_there() {
    let mut machine = machine();
    for port in 1..=3 {
        machine.list(record(&format!("i-{port}"), port), ms(0));
    }
    for _ in 0..3 {
        machine.begin_attempt("i-1", None, ms(0));
        machine.end_attempt("i-1", None, AttemptOutcome::Failed, ms(0));
    }
    for _ in 0..50 {
        let choice = machine.choose(&query(None, ms(1)), &[], ms(1));
        assert_ne!(sent_to(&choice), Some("i-1"));
    }
    let choices: Vec<Option<String>> = (0..50)
        .map(|_| sent_to(&machine.choose(&query(None, ms(1500)), &[], ms(1500))).map(String::from))
        .collect();
    assert!(choices.contains(&Some("i-1".to_string())), "it is back after a second");
}

#[test]
fn a_silent_replica_with_requests_in_flight_is_avoided() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    machine.list(record("i-2", 2), ms(0));
    machine.begin_attempt("i-1", None, ms(0));
    for _ in 0..20 {
        let choice = machine.choose(&query(None, ms(1500)), &[], ms(1500));
        assert_eq!(sent_to(&choice), Some("i-2"));
    }
    machine.record_bytes_received("i-1", ms(1500));
    let all: Vec<Option<String>> = (0..50)
        .map(|_| sent_to(&machine.choose(&query(None, ms(1501)), &[], ms(1501))).map(String::from))
        .collect();
    assert!(all.contains(&Some("i-2".to_string())));
}

#[test]
fn connections_to_a_replica_stay_within_this_relays_share() {
    let mut machine = machine();
    machine.apply_configuration(PublishedConfig::new(
        2,
        vec![route(RouteKind::Stream)],
        vec![engine_service(50, 3.0)],
        CallerLimits::default(),
    ));
    machine.set_others(OtherRelays { count: 3, recent: 3, lacking: 0 }, Duration::ZERO);
    machine.list(record("i-1", 1), ms(0));
    for _ in 0..10 {
        assert!(sent_to(&machine.choose(&query(None, ms(0)), &[], ms(0))).is_some());
        machine.begin_attempt("i-1", None, ms(0));
    }
    let choice = machine.choose(&query(None, ms(0)), &[], ms(0));
    assert!(matches!(choice, RelayChoice::Refuse(refusal)
        if refusal.reason == RefusalReason::Overloaded && refusal.verdict == RunVerdict::NotRun));
}

#[test]
fn repeats_stay_within_the_budget() {
    let rules = RelayRules { retry_share: 0.1, retry_extra: 3.0, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let mut repeats = 0;
    for _ in 0..1000 {
        machine.admit("s", ms(1000), ms(0)).unwrap();
        machine.finish();
        while machine.take_retry("s") {
            repeats += 1;
        }
    }
    assert!((100..=103).contains(&repeats), "{repeats}");
    assert!(machine.take_retry("other"), "services do not share a budget");
}

#[test]
fn a_relay_that_starts_beside_empty_engines_tells_when_they_will_be_loaded() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(10));
    // Before any loader has reported, the engine may be empty, and is taken to load from its disk.
    let told = refused_until(&machine.choose(&query(Some("a1"), ms(20)), &[], ms(20)));
    assert!(told > ms(1200), "{told:?}");
    let mut empty = beacon(1, 1, &[]);
    empty.report.models.clear();
    empty.report.local_models = vec!["m".to_string()];
    machine.take_report(&empty, ms(100));
    let told = refused_until(&machine.choose(&query(Some("a2"), ms(400)), &[], ms(400)));
    assert!(
        told > ms(900) && told < ms(2500),
        "900 ms of the base model's load are left: {told:?}"
    );
    machine.take_report(&beacon(1, 2, &[]), ms(1300));
    let choice = machine.choose(&query(Some("a3"), ms(1300)), &[], ms(1300));
    assert!(matches!(choice, RelayChoice::Wait(_)), "{choice:?}");
}

fn refused_until(choice: &RelayChoice) -> Duration {
    match choice {
        RelayChoice::Refuse(refusal) => refusal.retry_after.unwrap_or_default(),
        RelayChoice::Send(_) | RelayChoice::Wait(_) => panic!("not refused: {choice:?}"),
    }
}

#[test]
fn a_full_engine_hears_at_once_that_an_adapter_went_out_of_use() {
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    let full = EngineHeartbeat { spare_places: Some(0), ..beacon(1, 1, &[held("a1", 1)]) };
    machine.take_report(&full, ms(0));
    for _ in 0..2 {
        machine.begin_attempt("i-1", Some(&key("a1")), ms(1));
    }
    machine.end_attempt("i-1", Some(&key("a1")), AttemptOutcome::Answered, ms(2));
    assert!(!machine.has_pending_messages(), "another request still uses it");
    machine.end_attempt("i-1", Some(&key("a1")), AttemptOutcome::Answered, ms(3));
    assert!(machine.has_pending_messages());
    assert_eq!(machine.take_freed(), ["i-1"]);
    assert!(machine.take_freed().is_empty());
}

#[test]
fn what_misses_its_aim_in_any_case_goes_behind_what_does_not() {
    let rules = |priority| RelayRules {
        hall: "hall-a".to_string(),
        policy: RelayPolicy { priority, ..RelayPolicy::default() },
        ..RelayRules::default()
    };
    let mut machine = machine();
    machine.list(record("i-1", 1), ms(0));
    let sized = |tokens| RelayQuery { prompt_tokens: Some(tokens), ..query(None, ms(0)) };
    machine.set_rules(rules(PriorityRule::Feasible));
    let timely = machine.begin_prefill("i-1", &sized(500), ms(0));
    let late = machine.begin_prefill("i-1", &sized(500_000), ms(0));
    let next = machine.begin_prefill("i-1", &sized(500), ms(0));
    assert!(timely.rank < late.rank, "{timely:?} {late:?}");
    assert_eq!(next.rank, timely.rank);
    assert!(next.expected < late.expected, "the late one is not waited for");
    machine.set_rules(rules(PriorityRule::Route));
    assert_eq!(machine.begin_prefill("i-1", &sized(500_000), ms(0)).rank, timely.rank);
}

fn born(id: &str, port: u16, born: u64) -> ReplicaRecord {
    ReplicaRecord { born: Some(born), ..record(id, port) }
}

#[test]
fn a_replica_that_starts_again_under_its_id_is_another_one() {
    let mut machine = machine();
    let old = ReplicaRecord { adapters: vec![held("a1", 1)], ..born("i-1", 1, 5) };
    machine.list(old, ms(0));
    machine.begin_attempt("i-1", None, ms(0));
    let changes = machine.list(born("i-1", 1, 9), ms(10));
    let expected =
        [StateChange::Replaced("i-1".to_string()), StateChange::Listed("i-1".to_string())];
    assert_eq!(changes, expected);
    let view = machine.table().get("i-1").unwrap();
    assert!(view.adapters(ms(10)).is_empty(), "it holds nothing of before");
    assert_eq!(view.in_flight, 0);
    // What was written before its start and comes late says nothing of it.
    assert!(machine.list(born("i-1", 1, 5), ms(20)).is_empty());
    assert_eq!(machine.table().get("i-1").unwrap().record.born, Some(9));
    // The end of a request at the start before does not count against the new one.
    machine.end_attempt("i-1", None, AttemptOutcome::Failed, ms(30));
    assert!(machine.table().get("i-1").unwrap().seems_well(ms(30)));
}

#[test]
fn the_same_start_of_a_replica_is_not_taken_for_another() {
    let mut machine = machine();
    machine.list(born("i-1", 1, 5), ms(0));
    machine.begin_attempt("i-1", None, ms(0));
    assert!(machine.list(born("i-1", 1, 5), ms(10)).is_empty());
    assert!(machine.list(record("i-1", 1), ms(20)).is_empty());
    assert_eq!(machine.table().get("i-1").unwrap().in_flight, 1);
}

#[test]
fn a_replica_is_found_at_its_address_whatever_came_and_went_there() {
    let mut draws: u64 = 7;
    let mut draw = |limit: u64| {
        draws = draws.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (draws >> 33) % limit
    };
    let mut machine = machine();
    for step in 0..4000 {
        let id = format!("i-{}", draw(12));
        match draw(4) {
            0 => machine.remove_replica(&id),
            _ => {
                let next = ReplicaRecord {
                    created: StorePosition::in_first_era(draw(50)),
                    ..record(&id, draw(6) as u16)
                };
                machine.list(next, ms(step));
            },
        }
        for port in 0..6 {
            let there = machine.table().all().filter(|view| view.record.address == address(port));
            let newest = there.map(|view| view.record.created).max();
            let found = machine.table().at(address(port)).map(|view| view.record.created);
            assert_eq!(found, newest, "step {step}, port {port}");
        }
    }
}

/// A relay whose own way to the store was cut takes the removal of an entry for a lapse, and sent requests there for as
/// long as the entry might have come back: 2,596 ms after the replica had said that it leaves.
#[test]
fn a_replica_whose_entry_is_missing_gets_nothing_while_others_can_take_it() {
    let mut machine = machine();
    for number in 1..=3 {
        machine.list(record(&format!("i-{number}"), number), ms(0));
    }
    machine.set_store_reachable(false, ms(100));
    machine.set_store_reachable(true, ms(4_000));
    assert_eq!(machine.unlist("i-1", ms(4_010)), Some(StateChange::Unconfirmed("i-1".to_string())));
    let chosen_from = |machine: &mut RelayMachine, from: u64| -> BTreeSet<String> {
        let times = (from..from + 200).map(ms);
        let choices = times.map(|now| machine.choose(&query(None, now), &[], now));
        choices.filter_map(|choice| sent_to(&choice).map(str::to_string)).collect()
    };
    assert!(!chosen_from(&mut machine, 4_020).contains("i-1"));
    // With most of them missing, the fault is the store's.
    machine.unlist("i-2", ms(4_300));
    let chosen = chosen_from(&mut machine, 4_310);
    assert!(chosen.contains("i-1") && chosen.contains("i-2"), "{chosen:?}");
}

/// Seen: a request reached a replica four seconds after its entry had gone. A relay that the store had turned away
/// read a list without the entry, doubted the replica for 2.2 s, and passed its list on meanwhile with a
/// revision after the removal. Who took it over never heard of the removal.
#[test]
fn a_relay_that_takes_over_a_list_takes_over_what_is_in_doubt() {
    let now = ms(1_000);
    let (mut reader, mut told) =
        (RelayMachine::new(RelayRules::default(), 1), RelayMachine::new(RelayRules::default(), 2));
    for machine in [&mut reader, &mut told] {
        machine.list(example_record("i-1"), now);
        machine.list(example_record("i-2"), now);
    }
    reader.set_store_reachable(false, now);
    reader.set_store_reachable(true, now);
    let listed = reader.list_all(vec![example_record("i-2")], now);
    assert_eq!(listed, [StateChange::Unconfirmed("i-1".to_string())]);
    reader.note_read(StorePart::Replicas, StorePosition::in_first_era(9));
    told.take_published(reader.published(now), now);
    let after = now + ms(2_200);
    assert_eq!(reader.tick(after), [StateChange::Gone("i-1".to_string())]);
    assert_eq!(told.tick(after), [StateChange::Gone("i-1".to_string())]);
}
