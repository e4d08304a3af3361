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
use quillcove_core::standing::notice::UpstreamNotice;

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
    let mut machine = machine(true, &[1, 2, 3, 4]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4], ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1001));
    machine.queue_load_request(relay(2), request(7), ms(1001));
    assert_eq!(machine.take_replies().len(), 2);
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
        let last = outcomes(&mut machine).pop();
        assert!(matches!(last, Some((_, _, LoadOutcome::Full { .. }))), "{last:?}");
        use_adapters(&mut machine, 1, &[3, 4, 5], ms(1490));
        machine.queue_load_request(relay(1), request(7), ms(1500));
        assert!(machine.next_order(ms(1500)).is_none(), "the report of its use may be lost");
        machine.queue_load_request(relay(1), request(7), ms(1501));
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
    machine.queue_load_request(relay(2), request(7), ms(1699));
    assert!(machine.next_order(ms(1699)).is_none());
    machine.queue_load_request(relay(2), request(7), ms(1700));
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
    machine.queue_load_request(relay(2), request(7), ms(1750));
    assert!(machine.next_order(ms(1750)).is_none());
    use_adapters(&mut machine, 1, &[5], ms(1790));
    use_adapters(&mut machine, 2, &[1, 2, 3, 4], ms(1800));
    machine.queue_load_request(relay(2), request(7), ms(2300));
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
    machine.queue_load_request(relay(2), request(7), ms(1750));
    assert!(machine.next_order(ms(1750)).is_none());
    use_adapters(&mut machine, 3, &[], ms(1760));
    machine.queue_load_request(relay(2), request(7), ms(1760));
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

fn queued(ready_in: u64) -> LoadOutcome {
    LoadOutcome::Queued { ready_in: ms(ready_in) }
}

/// Load: several relays ask for adapters at an engine that has fewer slots. Guards against a slot for an adapter that
/// one relay wants while two relays wait for another, and against a younger request that overtakes an older one.
#[test]
fn the_adapter_for_which_most_relays_ask_is_loaded_first() {
    let mut machine = machine(true, &[1, 2, 3]);
    use_adapters(&mut machine, 1, &[1, 2, 3], ms(1000));
    machine.queue_load_request(relay(1), request(6), ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1001));
    machine.queue_load_request(relay(2), request(7), ms(1002));
    machine.queue_load_request(relay(1), request(6), ms(1003));
    assert_eq!(machine.next_order(ms(1004)).unwrap().adapter, request(7).adapter);
    machine.complete_order(OrderOutcome::Begun, ms(1005));
    assert_eq!(machine.next_order(ms(1006)).unwrap().adapter, request(6).adapter);
}

/// Load: the same requests without contention. Guards against a changed order for the other deployments.
#[test]
fn without_contention_requests_are_served_in_order_and_get_no_reply() {
    let mut machine = machine(false, &[1, 2, 3]);
    machine.queue_load_request(relay(1), request(6), ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1001));
    machine.queue_load_request(relay(2), request(7), ms(1002));
    assert_eq!(machine.next_order(ms(1004)).unwrap().adapter, request(6).adapter);
    machine.complete_order(OrderOutcome::Begun, ms(1005));
    machine.record_report(report(&[1, 2, 3, 6]), ms(1300));
    assert!(machine.take_replies().is_empty());
}

/// Load: relays ask for adapters that are loaded, under way or to be loaded into a free slot. Guards against relays
/// that repeat requests for want of a reply, and against a lost or doubled message that changes the reply.
#[test]
fn each_request_is_answered_with_the_time_of_its_load() {
    let mut machine = machine(true, &[1, 2, 3]);
    machine.queue_load_request(relay(1), request(1), ms(1000));
    assert_eq!(outcomes(&mut machine), [(relay(1), "a1".to_string(), queued(0))]);
    machine.queue_load_request(relay(1), request(7), ms(1000));
    let reply = |number, ready_in| (relay(number), "a7".to_string(), queued(ready_in));
    assert_eq!(outcomes(&mut machine), [reply(1, 300)]);
    machine.queue_load_request(relay(1), request(7), ms(1010));
    assert_eq!(outcomes(&mut machine), [reply(1, 300)], "the reply may be lost");
    machine.next_order(ms(1010)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(1011));
    machine.queue_load_request(relay(2), request(7), ms(1110));
    assert_eq!(outcomes(&mut machine), [reply(2, 200)]);
    let incoming = vec![HeldAdapter { key: key(7), version: 1 }];
    let loading = EngineReport { incoming, ..report(&[1, 2, 3]) };
    machine.record_report(loading.clone(), ms(1600));
    let late = outcomes(&mut machine);
    assert_eq!(late.len(), 2, "the load takes longer than announced: {late:?}");
    machine.record_report(loading, ms(1610));
    assert!(outcomes(&mut machine).is_empty(), "it has hardly grown");
}

/// Load: all slots are in use, and none has been released since the loader started. Guards against a time that nothing
/// supports, and against requests that wait at the loader unanswered.
#[test]
fn without_an_estimate_a_request_that_needs_a_slot_is_not_queued() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1001));
    let full = LoadOutcome::Full { free_in: ms(2000) };
    assert_eq!(outcomes(&mut machine), [(relay(1), "a7".to_string(), full)]);
    assert_eq!(machine.slot_free_in(ms(1001)), None);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4], ms(1002));
    assert!(machine.next_order(ms(1002)).is_none(), "it was not queued");
}

/// Has slots of a full engine released at these times, each for 10 ms.
fn release(machine: &mut LoaderMachine, times: &[u64]) {
    for at in times {
        contend(machine, ms(*at));
        use_adapters(machine, 1, &[2, 3, 4, 5], ms(*at));
        use_adapters(machine, 1, &[1, 2, 3, 4, 5], ms(*at + 10));
    }
}

/// Load: a full engine that releases a slot every 400 ms. Guards against a promise that takes no account of slots, and
/// against a relay that is not told that its load comes later.
#[test]
fn a_request_that_waits_for_a_slot_gets_an_estimate_from_the_releases() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(1000));
    // A request gives the number of slots.
    machine.queue_load_request(relay(1), request(1), ms(1000));
    machine.take_replies();
    release(&mut machine, &[1400, 1800, 2200]);
    assert_eq!(machine.slot_free_in(ms(2210)), Some(ms(405)));
    machine.queue_load_request(relay(1), request(7), ms(2210));
    machine.queue_load_request(relay(2), request(8), ms(2210));
    let reply = |number, name: &str, outcome| (relay(number), name.to_string(), outcome);
    let expected = [reply(1, "a7", queued(705)), reply(2, "a8", queued(1110))];
    assert_eq!(outcomes(&mut machine), expected);
    machine.record_report(report(&[1, 2, 3, 4, 5]), ms(2250));
    assert!(outcomes(&mut machine).is_empty());
    machine.record_report(report(&[1, 2, 3, 4, 5]), ms(2420));
    assert_eq!(outcomes(&mut machine).len(), 2, "no slot was released meanwhile");
    // Without a release until here, the second is expected in 1,600 ms and kept for 1,200 ms more.
    machine.record_report(report(&[1, 2, 3, 4, 5]), ms(3010));
    let dropped = outcomes(&mut machine);
    assert!(matches!(&dropped[..], [(_, first, LoadOutcome::Full { .. }), ..] if first == "a8"));
    use_adapters(&mut machine, 1, &[2, 3, 4, 5], ms(3020));
    let interval = ms(3020 - 1400) / 3;
    assert_eq!(machine.slot_free_in(ms(3020)), Some(interval), "the first has the free slot");
    assert_eq!(machine.next_order(ms(3021)).unwrap().kind, OrderKind::Unload);
}

/// Load: all adapters are idle when a new loader has heard of their use. Guards against releases that it did not see.
#[test]
fn adapters_that_a_new_loader_finds_idle_are_no_releases() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    for at in [0, 100, 700] {
        contend(&mut machine, ms(at));
        machine.record_report(report(&[1, 2, 3, 4, 5]), ms(at));
    }
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(1200));
    machine.queue_load_request(relay(1), request(7), ms(1200));
    assert_eq!(machine.slot_free_in(ms(1300)), None);
}

/// Load: a relay asks for an idle adapter of which it has not heard. Guards against its unload between the reply and
/// the first request.
#[test]
fn an_adapter_that_was_just_announced_as_loaded_is_not_evicted() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(2), request(1), ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1001));
    assert!(machine.next_order(ms(1001)).is_none());
}

/// Has the machine load an adapter in this time into an engine that holds nothing else; returns whether the loader
/// reports that it came from a copy.
fn load_in(machine: &mut LoaderMachine, number: u32, took: u64, now: &mut u64) -> bool {
    contend(machine, ms(*now));
    machine.record_report(EngineReport { local_models: vec!["m".into()], ..report(&[]) }, ms(*now));
    machine.queue_load_request(relay(1), request(number), ms(*now));
    machine.next_order(ms(*now)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(*now));
    let change = machine.record_report(report(&[number]), ms(*now + took));
    *now += 400;
    change.arrived[0].1.was_warm
}

/// Load: more adapters than the host keeps copies of, loaded in turn. Guards against relays that expect a copy where the
/// load comes from the store, and against loads from the store that do not count at it.
#[test]
fn the_number_of_host_copies_is_learnt_from_load_times() {
    const COPIES: usize = 3;
    let mut machine = machine(true, &[]);
    let (mut now, mut kept): (u64, Vec<u32>) = (2000, Vec::new());
    let limit = |machine: &LoaderMachine, now: u64| machine.status(relay(80), ms(now)).host_copies;
    let turns = [1, 2, 3, 4, 1, 2, 2, 3, 2, 1, 3, 4, 1, 2, 3, 1, 2, 3];
    for number in turns {
        let is_copied = kept.contains(&number);
        kept.retain(|other| *other != number);
        kept.insert(0, number);
        kept.truncate(COPIES);
        let took = if is_copied { 29 } else { 288 };
        assert_eq!(load_in(&mut machine, number, took, &mut now), is_copied);
        assert!(limit(&machine, now).is_none_or(|limit| limit as usize <= COPIES));
    }
    assert_eq!(limit(&machine, now), Some(COPIES as u32));
    // One copy that takes long to read does not change it, two do.
    load_in(&mut machine, 2, 288, &mut now);
    assert_eq!(limit(&machine, now), Some(3));
    load_in(&mut machine, 3, 288, &mut now);
    assert_eq!(limit(&machine, now), Some(1));
}

/// Load: an adapter with a copy and one without are asked for at once. Guards against a slot that waits for the store
/// while a load of a tenth of the time could be done first; and against copies that a host no longer has.
#[test]
fn a_load_from_a_copy_goes_first_until_the_host_has_none() {
    for has_copies in [true, false] {
        let mut machine = machine(true, &[]);
        let mut now = 2000;
        for (number, took) in [(1, 288), (2, 288), (1, 29)] {
            load_in(&mut machine, number, took, &mut now);
        }
        let local_models = if has_copies { vec!["m".to_string()] } else { Vec::new() };
        let restarted = EngineReport { born: Some(2), local_models, ..report(&[]) };
        let empty = EngineReport { models: Vec::new(), ..restarted.clone() };
        machine.record_report(empty, ms(now));
        machine.record_report(restarted, ms(now + 10));
        contend(&mut machine, ms(now + 10));
        machine.take_replies();
        for (number, asking) in [(7, relay(1)), (7, relay(2)), (1, relay(1))] {
            machine.queue_load_request(asking, request(number), ms(now + 10));
        }
        let last = outcomes(&mut machine).pop().unwrap();
        assert_eq!(last.2, queued(if has_copies { 29 } else { 288 }));
        let first = if has_copies { 1 } else { 7 };
        assert_eq!(machine.next_order(ms(now + 10)).unwrap().adapter, request(first).adapter);
    }
}

/// Load: the response to a load order is lost, and the engine did not accept it; or the load fails. Guards against relays
/// that wait for a load that is not under way.
#[test]
fn relays_are_told_of_a_load_that_the_engine_does_not_report() {
    let mut machine = machine(true, &[1, 2, 3]);
    machine.queue_load_request(relay(1), request(7), ms(1000));
    machine.next_order(ms(1000)).unwrap();
    machine.complete_order(OrderOutcome::Unanswered, ms(1000));
    machine.record_report(report(&[1, 2, 3]), ms(1001));
    assert_eq!(outcomes(&mut machine), [(relay(1), "a7".to_string(), queued(300))]);
    machine.record_report(report(&[1, 2, 3]), ms(1200));
    let told = outcomes(&mut machine);
    assert!(matches!(told[..], [(_, _, LoadOutcome::Full { .. })]), "{told:?}");
    machine.queue_load_request(relay(1), request(7), ms(1201));
    assert_eq!(machine.next_order(ms(1201)).unwrap().adapter, request(7).adapter);
}

/// Has the machine order the load of adapter 7 for relay 1 at 1,000 ms; the engine accepts it.
fn order_load(machine: &mut LoaderMachine) {
    machine.queue_load_request(relay(1), request(7), ms(1000));
    machine.next_order(ms(1000)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(1001));
    machine.take_replies();
}

/// A report with adapter 7 as incoming.
fn loading(adapters: &[u32]) -> EngineReport {
    let incoming = vec![HeldAdapter { key: key(7), version: 1 }];
    EngineReport { incoming, ..report(adapters) }
}

/// Load: an engine exits while it loads an adapter. Guards against relays that are told to go on waiting for the load.
#[test]
fn relays_are_told_that_the_engine_exited_during_their_load() {
    let unreachable = [(relay(1), "a7".to_string(), LoadOutcome::Unreachable)];
    for is_seen in [true, false] {
        let mut machine = machine(true, &[1, 2, 3]);
        order_load(&mut machine);
        machine.record_report(loading(&[1, 2, 3]), ms(1001));
        if is_seen {
            machine.record_contact(EngineContact::Refused, ms(1100));
            assert_eq!(outcomes(&mut machine), unreachable);
            use_adapters(&mut machine, 1, &[1, 2], ms(1900));
            assert!(outcomes(&mut machine).is_empty(), "the last report is out of date");
        } else {
            machine.record_report(EngineReport { born: Some(2), ..report(&[]) }, ms(1900));
            assert_eq!(outcomes(&mut machine), unreachable);
        }
    }
}

/// Load: the report after an accepted order is lost. Guards against relays that are told that the load failed, while the
/// engine loads the adapter.
#[test]
fn a_lost_report_does_not_show_that_a_load_failed() {
    let mut machine = machine(true, &[1, 2, 3]);
    order_load(&mut machine);
    machine.record_report(report(&[1, 2, 3]), ms(1001));
    machine.queue_load_request(relay(2), request(7), ms(1250));
    let told = outcomes(&mut machine);
    assert!(told.iter().all(|told| matches!(told.2, LoadOutcome::Queued { .. })), "{told:?}");
    assert!(machine.next_order(ms(1250)).is_none(), "it is under way");
}

/// Load: a load that seemed to have failed is completed. Guards against an adapter without known relays that is evicted
/// before the first regular use report.
#[test]
fn an_adapter_whose_relays_were_told_of_a_failure_is_kept_for_900_ms() {
    let mut machine = machine(true, &[1, 2, 3, 4]);
    order_load(&mut machine);
    machine.record_report(report(&[1, 2, 3, 4]), ms(1200));
    machine.record_report(report(&[1, 2, 3, 4, 7]), ms(1300));
    use_adapters(&mut machine, 1, &[1, 2, 3, 4], ms(1500));
    machine.queue_load_request(relay(2), request(8), ms(1800));
    assert!(machine.next_order(ms(1800)).is_none());
}

/// Load: an unload is rejected, and another order is accepted right after. Guards against the same rejected unload again
/// and again.
#[test]
fn a_rejected_unload_counts_after_the_next_order_too() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    let counted = |taken| EngineReport { orders_taken: Some(taken), ..report(&[1, 2, 3, 4, 5]) };
    machine.record_report(counted(6), ms(1000));
    use_adapters(&mut machine, 1, &[2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(1), request(7), ms(1000));
    assert_eq!(unload(&mut machine, OrderOutcome::Busy, ms(1001)), "a1");
    machine.record_report(counted(7), ms(1010));
    machine.queue_load_request(relay(1), request(7), ms(1011));
    assert!(machine.next_order(ms(1011)).is_none());
}

/// Load: an engine with a free slot is busy for a moment. Guards against a queue that is emptied for it.
#[test]
fn a_busy_engine_keeps_its_queue() {
    let mut machine = machine(true, &[1, 2, 3]);
    machine.queue_load_request(relay(1), request(7), ms(1000));
    machine.record_report(EngineReport { is_busy: true, ..report(&[1, 2, 3]) }, ms(1010));
    assert_eq!(outcomes(&mut machine), [(relay(1), "a7".to_string(), queued(300))]);
    assert!(machine.next_order(ms(1010)).is_none());
    machine.record_report(report(&[1, 2, 3]), ms(1050));
    assert!(machine.next_order(ms(1050)).is_some());
}

/// Load: the store slows down for some loads. Guards against an ordinary load that counts as one from a copy.
#[test]
fn while_the_store_is_slow_an_ordinary_load_is_not_taken_for_a_copy() {
    let mut machine = machine(true, &[]);
    let mut now = 2000;
    for (number, took) in [(1, 900), (2, 900), (3, 900), (1, 288)] {
        now += 1000;
        assert!(!load_in(&mut machine, number, took, &mut now), "{number}");
    }
}

/// Load: a new loader beside an engine whose host has copies. Guards against times of loads from copies that count as
/// those of the store.
#[test]
fn loads_from_copies_after_a_restart_of_the_loader_do_not_count_as_store_loads() {
    let mut machine = machine(true, &[]);
    let mut now = 2000;
    for number in 1..8 {
        assert!(load_in(&mut machine, number, 29, &mut now));
    }
    assert_eq!(machine.status(relay(80), ms(now)).host_copies, None, "no rank is known");
    machine.take_replies();
    machine.queue_load_request(relay(1), request(9), ms(now));
    assert_eq!(outcomes(&mut machine), [(relay(1), "a9".to_string(), queued(300))]);
}

/// Load: the engine did not accept an order whose response was lost, and it is repeated. Guards against one load that
/// takes two slots.
#[test]
fn a_repeated_order_takes_one_slot() {
    let mut machine = machine(true, &[1, 2, 3]);
    use_adapters(&mut machine, 1, &[1, 2, 3], ms(1000));
    order_load(&mut machine);
    machine.record_report(report(&[1, 2, 3]), ms(1200));
    assert_eq!(machine.spare_places(ms(1200)), Some(2), "the engine does not load it");
    machine.queue_load_request(relay(1), request(7), ms(1201));
    machine.next_order(ms(1201)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(1202));
    assert_eq!(machine.spare_places(ms(1202)), Some(1));
}

/// Load: an order fails, once because the engine has exited. Guards against a relay that is told of a free slot there.
#[test]
fn the_reply_after_a_failed_order_promises_no_slot() {
    for (contact, expected) in [
        (EngineContact::Refused, LoadOutcome::Unreachable),
        (EngineContact::Responded, LoadOutcome::Full { free_in: ms(2000) }),
    ] {
        let mut machine = machine(true, &[1, 2, 3]);
        machine.queue_load_request(relay(1), request(7), ms(1000));
        machine.next_order(ms(1000)).unwrap();
        machine.take_replies();
        machine.record_contact(contact, ms(1001));
        machine.complete_order(OrderOutcome::Rejected, ms(1001));
        assert_eq!(outcomes(&mut machine), [(relay(1), "a7".to_string(), expected)]);
    }
}

/// Load: the engine requests a pause right after a reply. Guards against a message for each report while an estimate
/// grows.
#[test]
fn an_estimate_is_announced_at_most_every_200_ms() {
    let mut machine = machine(true, &[1, 2, 3]);
    machine.queue_load_request(relay(1), request(7), ms(1000));
    assert_eq!(outcomes(&mut machine), [(relay(1), "a7".to_string(), queued(300))]);
    let pause = UpstreamNotice { is_leaving: false, rest: Some(ms(500)), limit: None };
    machine.record_notice(&pause, ms(1000));
    machine.record_report(report(&[1, 2, 3]), ms(1199));
    assert!(outcomes(&mut machine).is_empty());
    machine.record_report(report(&[1, 2, 3]), ms(1200));
    assert_eq!(outcomes(&mut machine), [(relay(1), "a7".to_string(), queued(600))]);
}

/// Load: use reports of many relays. Guards against estimates that are computed for each of them.
#[test]
fn a_use_report_gives_no_reply() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(1), request(1), ms(1000));
    release(&mut machine, &[1400, 1800, 2200]);
    machine.queue_load_request(relay(1), request(7), ms(2210));
    machine.take_replies();
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(2710));
    assert!(outcomes(&mut machine).is_empty());
    machine.record_report(report(&[1, 2, 3, 4, 5]), ms(2710));
    assert_eq!(outcomes(&mut machine).len(), 1);
}

/// Load: a relay asked once for an adapter for which another relay still asks. Guards against a request that goes first
/// for relays that no longer ask.
#[test]
fn relays_that_no_longer_ask_do_not_count() {
    let mut machine = machine(true, &[1, 2, 3, 4, 5]);
    use_adapters(&mut machine, 1, &[1, 2, 3, 4, 5], ms(1000));
    machine.queue_load_request(relay(1), request(1), ms(1000));
    release(&mut machine, &[1400, 1500, 1600]);
    machine.queue_load_request(relay(1), request(6), ms(1690));
    for (number, asking) in [(7, 2), (7, 3)] {
        machine.queue_load_request(relay(asking), request(number), ms(1700));
    }
    for now in [2700, 3700] {
        contend(&mut machine, ms(now));
        release(&mut machine, &[now - 200, now - 100, now]);
        machine.queue_load_request(relay(1), request(6), ms(now + 10));
        machine.queue_load_request(relay(2), request(7), ms(now + 10));
    }
    machine.take_replies();
    assert!(machine.next_order(ms(3720)).is_none());
    let told = outcomes(&mut machine);
    assert!(matches!(&told[..], [(asked, _, LoadOutcome::Full { .. })] if *asked == relay(3)));
    use_adapters(&mut machine, 1, &[2, 3, 4, 5], ms(3730));
    machine.next_order(ms(3730)).unwrap();
    machine.complete_order(OrderOutcome::Begun, ms(3731));
    machine.record_report(report(&[2, 3, 4, 5]), ms(3731));
    assert_eq!(machine.next_order(ms(3732)).unwrap().adapter, request(6).adapter);
}
