//! A loader's machine beside an engine with scarce adapter slots: engines that do not respond, rejected unloads, the
//! order of the queue, replies, and what is learnt of slots and of the host's copies.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{
    AdapterUse, EngineReport, HeldAdapter, LoadRequest, UseHeartbeat,
};
use quillcove_core::relay::engine_status::{LoadOutcome, PendingPrompts, PromptReport};
use quillcove_core::relay::loader::{EngineContact, LoaderMachine};
use quillcove_core::relay::order::{OrderKind, OrderOutcome};

const SLOTS: u32 = 5;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn relay(number: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), number)
}

fn key(number: u32) -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: format!("a{number}") }
}

fn request(number: u32) -> LoadRequest {
    LoadRequest {
        replica: "i-1".to_string(),
        model: "m".to_string(),
        adapter: Some(key(number).adapter),
        version: None,
        places: SLOTS,
    }
}

fn report(adapters: &[u32]) -> EngineReport {
    let held = |number: &u32| HeldAdapter { key: key(*number), version: 1 };
    EngineReport {
        born: Some(1),
        models: vec!["m".to_string()],
        adapters: adapters.iter().map(held).collect(),
        ..EngineReport::default()
    }
}

/// Reports that a relay uses these adapters and no others.
fn use_adapters(machine: &mut LoaderMachine, number: u16, adapters: &[u32], now: Duration) {
    let uses = adapters.iter().map(|used| AdapterUse { key: key(*used), sent: 1, in_flight: 1 });
    machine.record_uses(UseHeartbeat { relay: relay(number), uses: uses.collect() }, now);
}

/// Renews the switch, as relays do where slots are scarce.
fn contend(machine: &mut LoaderMachine, now: Duration) {
    let pending = PendingPrompts::default();
    let number = now.as_millis() as u64 + 1;
    machine.record_prompts(PromptReport { relay: relay(9), number, incarnation: 1, pending }, now);
}

/// A machine whose engine holds these adapters since a second.
fn machine(is_contended: bool, adapters: &[u32]) -> LoaderMachine {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(report(adapters), ms(0));
    if is_contended {
        contend(&mut machine, ms(1000));
    }
    machine.record_report(report(adapters), ms(1000));
    machine
}

fn outcomes(machine: &mut LoaderMachine) -> Vec<(SocketAddr, String, LoadOutcome)> {
    let replies = machine.take_replies().into_iter();
    replies.map(|reply| (reply.relay, reply.key.adapter, reply.outcome)).collect()
}

/// Load: relays ask an engine whose process has just exited. Guards against load requests that wait at its loader, and
/// against orders and announced slots from its last report.
#[test]
fn an_unreachable_engine_gets_no_orders_and_its_queue_is_answered() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1001));
    machine.queue_load_request(relay(2), request(7), ms(1001));
    machine.take_replies();
    assert!(machine.record_contact(EngineContact::Refused, ms(1002)));
    let status = machine.status(relay(80), ms(1002));
    assert!(!status.is_reachable);
    let expected = |number| (relay(number), "a7".to_string(), LoadOutcome::Unreachable);
    assert_eq!(outcomes(&mut machine), [expected(1), expected(2)]);
    use_adapters(&mut machine, 1, &[], ms(1003));
    assert_eq!(machine.spare_places(ms(1003)), Some(0));
    machine.queue_load_request(relay(3), request(7), ms(1003));
    assert_eq!(outcomes(&mut machine), [expected(3)]);
    assert!(machine.next_order(ms(1003)).is_none());
    // The process that follows holds nothing.
    assert!(machine.record_contact(EngineContact::Responded, ms(2000)));
    machine.record_report(EngineReport { born: Some(2), ..report(&[]) }, ms(2000));
    assert!(machine.next_order(ms(2000)).is_none(), "relays ask anew");
    machine.queue_load_request(relay(1), request(7), ms(2001));
    assert!(machine.next_order(ms(2001)).is_some());
}

/// Load: one slow step of a busy engine. Guards against an engine that is given up after one lost response.
#[test]
fn one_lost_response_does_not_make_an_engine_unreachable() {
    let mut machine = machine(true, &[]);
    assert!(!machine.record_contact(EngineContact::Unanswered, ms(1000)));
    assert!(!machine.record_contact(EngineContact::Responded, ms(1100)));
    assert!(!machine.record_contact(EngineContact::Unanswered, ms(1200)));
    machine.queue_load_request(relay(1), request(7), ms(1200));
    assert!(machine.next_order(ms(1200)).is_some());
}

/// Guards against new rules where no relay asks for them.
#[test]
fn without_contention_an_unreachable_engine_is_treated_as_before() {
    let mut machine = machine(false, &[]);
    machine.queue_load_request(relay(1), request(7), ms(1000));
    machine.record_contact(EngineContact::Refused, ms(1001));
    machine.queue_load_request(relay(1), request(8), ms(1002));
    assert_eq!(machine.spare_places(ms(1002)), Some(SLOTS - 2));
    assert_eq!(machine.next_order(ms(1002)).unwrap().adapter, request(7).adapter);
    assert!(machine.take_replies().is_empty());
}

/// Gives the next order, which must be an unload, and returns its adapter.
fn unload(machine: &mut LoaderMachine, outcome: OrderOutcome, now: Duration) -> String {
    let order = machine.next_order(now).expect("an adapter is idle");
    assert_eq!(order.kind, OrderKind::Unload);
    machine.complete_order(outcome, now);
    machine.record_report(
        EngineReport { orders_taken: order.orders_seen, ..machine.report().clone() },
        now,
    );
    order.adapter.unwrap()
}

/// Load: a request whose use report was lost keeps an adapter in use, and another adapter is asked for. Guards against
/// a lost load request, and against the same unload order over and over.
#[test]
fn after_a_rejected_unload_the_next_idle_adapter_is_tried() {
    for outcome in [OrderOutcome::Rejected, OrderOutcome::Busy, OrderOutcome::Unanswered] {
        let mut machine = machine(true, &[1, 2, 3, 4, 5]);
        let counted = EngineReport { orders_taken: Some(6), ..report(&[1, 2, 3, 4, 5]) };
        machine.record_report(counted, ms(1000));
        use_adapters(&mut machine, 1, &[3, 4, 5], ms(1000));
        machine.queue_load_request(relay(1), request(7), ms(1000));
        let first = unload(&mut machine, outcome, ms(1001));
        let second = unload(&mut machine, outcome, ms(1002));
        assert_ne!(first, second);
        assert!(machine.next_order(ms(1003)).is_none(), "no other adapter is idle");
        use_adapters(&mut machine, 1, &[3, 4, 5], ms(1490));
        assert!(machine.next_order(ms(1500)).is_none(), "the report of its use may be lost");
        assert_eq!(unload(&mut machine, outcome, ms(1501)), first);
    }
}

/// Load: an order of the loader before this one is carried out late. Guards against a slot that counts as in use
/// because the engine had accepted an order that this loader did not know of.
#[test]
fn a_rejection_for_an_unknown_order_does_not_show_that_the_adapter_is_in_use() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    let counted = |taken| EngineReport { orders_taken: Some(taken), ..report(&[1, 2, 3, 4, 5]) };
    machine.record_report(counted(6), ms(1000));
    use_adapters(&mut machine, 1, &[2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1000));
    assert_eq!(machine.next_order(ms(1001)).unwrap().kind, OrderKind::Unload);
    machine.complete_order(OrderOutcome::Busy, ms(1001));
    machine.record_report(counted(7), ms(1002));
    assert_eq!(machine.next_order(ms(1002)).unwrap().kind, OrderKind::Unload);
}

/// Guards against new rules where no relay asks for them.
#[test]
fn without_contention_a_rejected_unload_ends_the_load_request() {
    let mut machine = machine(false, &[1, 2, 3, 4, 5]);
    machine.queue_load_request(relay(1), request(7), ms(1000));
    machine.next_order(ms(1001)).unwrap();
    machine.complete_order(OrderOutcome::Rejected, ms(1001));
    assert!(machine.next_order(ms(1002)).is_none());
    assert_eq!(machine.spare_places(ms(1002)), Some(SLOTS));
}

/// Has the machine load an adapter for relay 1 into a free slot; it is loaded at 1,300 ms.
fn load(machine: &mut LoaderMachine, number: u32, held: &[u32]) {
    machine.queue_load_request(relay(1), request(number), ms(1000));
    assert_eq!(machine.next_order(ms(1000)).unwrap().kind, OrderKind::Load);
    machine.complete_order(OrderOutcome::Begun, ms(1001));
    machine.record_report(report(held), ms(1300));
    contend(machine, ms(1300));
}

/// Load: the callers that waited for an adapter have left when it is loaded. Guards against a slot that is held for
/// 900 ms without use.
#[test]
fn an_adapter_that_nobody_uses_is_idle_after_400_ms() {
    let mut machine = machine(true, &[1, 2, 3, 4]);
    load(&mut machine, 5, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4], ms(1500));
    machine.queue_load_request(relay(2), request(7), ms(1600));
    assert!(machine.next_order(ms(1699)).is_none());
    assert_eq!(machine.next_order(ms(1700)).unwrap().adapter, request(5).adapter);
}

/// Load: the relay that asked for an adapter uses it, and its first report of that is lost. Guards against an unload
/// of the adapter before the regular report.
#[test]
fn an_adapter_is_kept_until_the_relay_that_asked_for_it_has_reported() {
    let mut machine = machine(true, &[1, 2, 3, 4]);
    use_adapters(&mut machine, 2, &[1, 2, 3, 4], ms(1250));
    use_adapters(&mut machine, 1, &[], ms(1290));
    load(&mut machine, 5, &[1, 2, 3, 4, 5]);
    // This regular report left the relay before it knew of the load.
    use_adapters(&mut machine, 1, &[], ms(1310));
    machine.queue_load_request(relay(2), request(7), ms(1600));
    assert!(machine.next_order(ms(1750)).is_none());
    use_adapters(&mut machine, 1, &[5], ms(1790));
    use_adapters(&mut machine, 2, &[1, 2, 3, 4], ms(1800));
    assert!(machine.next_order(ms(2300)).is_none(), "it is in use");
}

/// Load: a second relay asks for a load that is under way. Guards against an unload before its first report.
#[test]
fn a_relay_that_asks_during_the_load_counts_among_those_that_asked() {
    let mut machine = machine(true, &[1, 2, 3, 4]);
    machine.queue_load_request(relay(1), request(5), ms(1000));
    machine.next_order(ms(1000)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(1001));
    machine.queue_load_request(relay(3), request(5), ms(1100));
    machine.record_report(report(&[1, 2, 3, 4, 5]), ms(1300));
    use_adapters(&mut machine, 1, &[1, 2, 3, 4], ms(1500));
    machine.queue_load_request(relay(2), request(7), ms(1600));
    assert!(machine.next_order(ms(1750)).is_none());
    use_adapters(&mut machine, 3, &[], ms(1760));
    assert_eq!(machine.next_order(ms(1760)).unwrap().adapter, request(5).adapter);
}

/// Guards against new rules where no relay asks for them.
#[test]
fn without_contention_a_loaded_adapter_is_kept_for_900_ms() {
    let mut machine = machine(false, &[1, 2, 3, 4]);
    machine.queue_load_request(relay(1), request(5), ms(1000));
    machine.next_order(ms(1000)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(1001));
    machine.record_report(report(&[1, 2, 3, 4, 5]), ms(1300));
    use_adapters(&mut machine, 1, &[1, 2, 3, 4], ms(1500));
    machine.queue_load_request(relay(2), request(7), ms(1600));
    assert!(machine.next_order(ms(2199)).is_none());
    assert_eq!(machine.next_order(ms(2200)).unwrap().adapter, request(5).adapter);
}
