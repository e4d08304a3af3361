//! What one relay makes of replicas' words: as a last resort, as told by another relay, for loads, and at the send.

#[allow(dead_code)]
mod relay_site;

use std::collections::BTreeSet;
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter};
use quillcove_core::relay::machine::{
    AttemptOrder, RelayChoice, RelayMachine, RelayQuery, RelayRules,
};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_core::verdict::RefusalReason;
use relay_site::{address, engine_service, ms, stream_route};

const LEAVES: UpstreamNotice = UpstreamNotice { is_leaving: true, rest: None, limit: None };

/// Time within which leaving replicas may get work, as the rules of these machines have it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn rests(millis: u64) -> UpstreamNotice {
    UpstreamNotice { is_leaving: false, rest: Some(ms(millis)), limit: None }
}

fn record(number: u16) -> ReplicaRecord {
    ReplicaRecord { address: address(number), ..example_record(&format!("i-{number}")) }
}

/// A relay that knows no replica.
fn relay() -> RelayMachine {
    let rules = RelayRules { drain_time: DRAIN_TIME, ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, 1);
    let services = vec![engine_service(100, 3.0)];
    let routes = vec![stream_route()];
    machine.apply_configuration(PublishedConfig::new(1, routes, services, CallerLimits::default()));
    machine
}

/// A relay that knows replicas with these numbers.
fn machine(numbers: std::ops::RangeInclusive<u16>) -> RelayMachine {
    let mut machine = relay();
    for number in numbers {
        machine.list(record(number), ms(0));
    }
    machine
}

fn query(adapter: Option<&str>, received: Duration) -> RelayQuery {
    let key = |adapter: &str| AdapterKey { model: "m".to_string(), adapter: adapter.to_string() };
    relay_site::query(stream_route(), adapter.map(key), received)
}

/// Replicas that forty requests of one moment go to.
fn chosen(machine: &mut RelayMachine, now: Duration) -> BTreeSet<String> {
    let choices = (0..40).map(|_| machine.choose(&query(None, now), &[], now));
    let sent = choices.filter_map(|choice| match choice {
        RelayChoice::Send(order) => Some(order.replica),
        RelayChoice::Wait(_) | RelayChoice::Refuse(_) => None,
    });
    sent.collect()
}

fn ids(numbers: &[u16]) -> BTreeSet<String> {
    numbers.iter().map(|number| format!("i-{number}")).collect()
}

fn beacon(number: u16, adapter: &str, is_leaving: bool) -> EngineHeartbeat {
    let key = AdapterKey { model: "m".to_string(), adapter: adapter.to_string() };
    EngineHeartbeat {
        host: format!("host-{number}"),
        engine: address(number),
        number: 1,
        incarnation: 1,
        content: 1,
        report: EngineReport {
            models: vec!["m".to_string()],
            adapters: vec![HeldAdapter { key, version: 1 }],
            is_leaving,
            ..EngineReport::default()
        },
        uses: Vec::new(),
        model_loads: Vec::new(),
        arrivals: Vec::new(),
        spare_places: None,
        relays: Vec::new(),
    }
}

#[test]
fn when_all_leave_they_serve_for_half_of_the_drain_time() {
    let mut machine = machine(1..=2);
    for number in [1, 2] {
        machine.record_notice(&AttemptOrder::to(&record(number)), &LEAVES, ms(100));
    }
    let half = ms(100) + DRAIN_TIME / 2;
    assert_eq!(chosen(&mut machine, half - ms(1)), ids(&[1, 2]));
    assert!(chosen(&mut machine, half).is_empty());
    // A third one that stays takes everything.
    machine.list(record(3), ms(200));
    assert_eq!(chosen(&mut machine, ms(300)), ids(&[3]));
}

#[test]
fn what_was_chosen_before_a_word_is_withheld_after_it() {
    let mut machine = machine(1..=2);
    let order = AttemptOrder::to(&record(1));
    assert!(machine.may_send(&order, ms(0), ms(0)));
    machine.record_notice(&order, &rests(500), ms(10));
    assert!(!machine.may_send(&order, ms(0), ms(20)));
    assert!(machine.may_send(&order, ms(0), ms(520)), "the rest and its spread are over");
    machine.record_notice(&order, &LEAVES, ms(600));
    assert!(!machine.may_send(&order, ms(0), ms(610)));
    // One that the list has lost meanwhile, and another start under the same id.
    let other = AttemptOrder::to(&record(2));
    machine.unlist("i-2", ms(700));
    assert!(!machine.may_send(&other, ms(0), ms(710)));
    machine.list(ReplicaRecord { born: Some(9), ..record(2) }, ms(720));
    assert!(!machine.may_send(&other, ms(0), ms(730)));
}

#[test]
fn several_rests_end_with_the_latest() {
    let mut machine = machine(1..=1);
    let order = AttemptOrder::to(&record(1));
    machine.record_notice(&order, &rests(1000), ms(0));
    machine.record_notice(&order, &rests(200), ms(10));
    assert!(chosen(&mut machine, ms(500)).is_empty());
    let choice = machine.choose(&query(None, ms(500)), &[], ms(500));
    let RelayChoice::Refuse(refusal) = choice else { panic!("{choice:?}") };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let pause = refusal.retry_after.unwrap();
    assert!((ms(500)..ms(640)).contains(&pause), "{pause:?}");
    assert_eq!(chosen(&mut machine, ms(1010)), ids(&[1]));
}

/// A relay that has another one's list, in which these are said to leave.
fn told_of(leaving: &[u16]) -> RelayMachine {
    let mut other = machine(1..=4);
    for number in leaving {
        other.record_notice(&AttemptOrder::to(&record(*number)), &LEAVES, ms(0));
    }
    let mut machine = relay();
    let mut published = other.published(ms(10));
    published.read =
        ReadPositions { replicas: StorePosition::in_first_era(5), ..ReadPositions::default() };
    machine.take_published(published, ms(10));
    machine
}

#[test]
fn what_another_relay_heard_counts_unless_it_would_empty_a_service() {
    assert_eq!(chosen(&mut told_of(&[1]), ms(20)), ids(&[2, 3, 4]));
    assert_eq!(chosen(&mut told_of(&[1, 2]), ms(20)), ids(&[3, 4]));
    // More than half: that relay may have been wrong.
    assert_eq!(chosen(&mut told_of(&[1, 2, 3]), ms(20)), ids(&[1, 2, 3, 4]));
    // It goes no further than to the relay that was told.
    let published = told_of(&[1]).published(ms(20));
    assert!(published.leaving.is_empty());
    assert_eq!(told_of(&[1]).read().of(StorePart::Replicas).revision, 5);
}

#[test]
fn an_adapter_of_an_engine_that_takes_no_work_is_asked_of_another() {
    for notice in [LEAVES, rests(3000)] {
        let mut machine = machine(1..=2);
        machine.take_report(&beacon(1, "a1", false), ms(0));
        machine.take_report(&beacon(2, "a2", false), ms(0));
        let order = AttemptOrder::to(&record(1));
        machine.record_notice(&order, &notice, ms(10));
        let choice = machine.choose(&query(Some("a1"), ms(20)), &[], ms(20));
        assert!(matches!(choice, RelayChoice::Wait(_)), "{notice:?}: {choice:?}");
        let asks = machine.take_load_requests();
        let asked: Vec<&str> = asks.iter().map(|it| it.ask.replica.as_str()).collect();
        assert_eq!(asked, ["i-2"], "{notice:?}");
    }
}

#[test]
fn what_a_loader_reports_holds_until_it_reports_otherwise() {
    let mut machine = machine(1..=2);
    machine.take_report(&beacon(1, "a1", true), ms(0));
    assert_eq!(chosen(&mut machine, ms(10)), ids(&[2]));
    // The list says ready once more.
    machine.list(record(1), ms(20));
    assert_eq!(chosen(&mut machine, ms(30)), ids(&[2]));
    machine.take_report(&beacon(1, "a1", false), ms(40));
    assert_eq!(chosen(&mut machine, ms(50)), ids(&[1, 2]));
}
