//! Halls that the operator has emptied: their replicas get nothing new until they are in use again.
//!
//! Seen: nothing read that a hall is to be emptied, so that its replicas went on getting work until they were taken
//! away. Shown here: choice, sending, loads and what relays pass on to each other keep to it.

#[allow(dead_code)]
mod relay_site;

use quillcove_core::relay::machine::{
    AttemptOrder, RelayChoice, RelayMachine, RelayRules, StateChange,
};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::PublishedState;
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use relay_site::{address, engine_service, ms, stream_route};

fn record(number: u16, hall: &str) -> ReplicaRecord {
    let hall = hall.to_string();
    ReplicaRecord { address: address(number), hall, ..example_record(&format!("i-{number}")) }
}

/// A relay that knows two replicas in each of two halls.
fn relay() -> RelayMachine {
    let mut machine = RelayMachine::new(RelayRules::default(), 1);
    let services = vec![engine_service(100, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![stream_route()],
        services,
        CallerLimits::default(),
    ));
    for (number, hall) in [(1, "hall-a"), (2, "hall-a"), (3, "hall-b"), (4, "hall-b")] {
        machine.list(record(number, hall), ms(0));
    }
    machine
}

/// The replica that a request gets, if any.
fn chosen(machine: &mut RelayMachine) -> Option<String> {
    let query = relay_site::query(stream_route(), None, ms(10));
    match machine.choose(&query, &[], ms(10)) {
        RelayChoice::Send(order) => Some(order.replica),
        RelayChoice::Wait(_) | RelayChoice::Refuse(_) => None,
    }
}

#[test]
fn replicas_of_an_emptied_hall_get_nothing_new_until_it_is_in_use_again() {
    let mut machine = relay();
    machine.set_evacuated("hall-a", true);
    for _ in 0..40 {
        let replica = chosen(&mut machine).expect("the other hall takes it");
        assert!(["i-3", "i-4"].contains(&replica.as_str()), "{replica}");
    }
    assert_eq!(machine.ready_engines("s").count(), 2, "loads go elsewhere");
    machine.set_evacuated("hall-a", false);
    assert_eq!(machine.ready_engines("s").count(), 4);
}

#[test]
fn what_was_chosen_before_is_not_sent_there_any_more() {
    let mut machine = relay();
    let order = AttemptOrder::to(&record(1, "hall-a"));
    assert!(machine.may_send(&order, ms(0), ms(0)));
    machine.set_evacuated("hall-a", true);
    assert!(!machine.may_send(&order, ms(0), ms(1)));
}

#[test]
fn a_replica_that_is_listed_later_in_an_emptied_hall_gets_nothing() {
    let mut machine = relay();
    machine.set_evacuated("hall-b", true);
    machine.set_evacuated("hall-a", true);
    machine.list(record(5, "hall-a"), ms(1));
    assert_eq!(chosen(&mut machine), None);
}

#[test]
fn the_whole_operator_part_says_which_halls_are_in_use() {
    let mut machine = relay();
    machine.set_evacuated("hall-a", true);
    let changes = machine.set_all_emptied(&["hall-b".to_string()], ms(0));
    let expected = [
        StateChange::HallInUse("hall-a".to_string()),
        StateChange::HallEvacuated("hall-b".to_string()),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn a_relay_that_is_cut_off_from_the_store_hears_it_from_another() {
    let mut machine = relay();
    let read =
        ReadPositions { operator: StorePosition::in_first_era(7), ..ReadPositions::default() };
    let emptied = vec!["hall-a".to_string()];
    let published = PublishedState { read, emptied, ..PublishedState::default() };
    let changes = machine.take_published(published, ms(5));
    assert_eq!(changes, [StateChange::HallEvacuated("hall-a".to_string())]);
    let older =
        ReadPositions { operator: StorePosition::in_first_era(6), ..ReadPositions::default() };
    let published = PublishedState { read: older, ..PublishedState::default() };
    assert!(machine.take_published(published, ms(6)).is_empty(), "an older word is not taken");
}
