//! A loader's machine against a simple engine: never more adapters than places, nothing taken out
//! that is in use or has just come in, and fences that grow.

#[allow(dead_code, unused_imports, unused_macros)]
mod fuzz;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{
    AdapterUse, EngineReport, HeldAdapter, LoadRequest, UseHeartbeat,
};
use quillcove_core::relay::engine_status::{PendingPrompts, PromptReport};
use quillcove_core::relay::loader::LoaderMachine;
use quillcove_core::relay::order::{LoadOrder, OrderKind, OrderOutcome};
use quillcove_core::standing::notice::UpstreamNotice;

/// The relay that asks for loads.
const RELAY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

const PLACES: u32 = 5;
const INCOMING_LIMIT: usize = 4;

/// Time after a loader's first report by which relays have told it their use.
const USES_TOLD: Duration = Duration::from_millis(600);

/// Time between two tellings of one relay.
const USE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a request of the test's relay is in flight.
const USE_TIME: Duration = Duration::from_millis(1600);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn key(number: u8) -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: format!("a{number}") }
}

fn ask(number: u8, version: Option<u32>) -> LoadRequest {
    LoadRequest {
        replica: "i-1".to_string(),
        model: "m".to_string(),
        adapter: Some(key(number).adapter),
        version,
        places: PLACES,
    }
}

/// An engine that takes orders as the platform's do.
#[derive(Default)]
struct SimpleEngine {
    held: BTreeMap<String, u32>,
    incoming: Vec<(String, u32, Duration)>,
    fence: u64,
    taken: u64,
}

impl SimpleEngine {
    fn report(&mut self, now: Duration) -> EngineReport {
        let (done, coming) = self.incoming.drain(..).partition(|(_, _, at)| *at <= now);
        self.incoming = coming;
        for (name, version, _) in done as Vec<(String, u32, Duration)> {
            self.held.insert(name, version);
        }
        let held = |(adapter, version): (&String, &u32)| HeldAdapter {
            key: AdapterKey { model: "m".to_string(), adapter: adapter.clone() },
            version: *version,
        };
        EngineReport {
            models: vec!["m".to_string()],
            orders_taken: Some(self.taken),
            adapters: self.held.iter().map(held).collect(),
            incoming: self
                .incoming
                .iter()
                .map(|(name, version, _)| held((name, version)))
                .collect(),
            ..EngineReport::default()
        }
    }

    /// Takes an order; panics where a real engine would fall over.
    fn take(&mut self, order: &LoadOrder, now: Duration) -> OrderOutcome {
        if order.fence <= self.fence {
            return OrderOutcome::FenceTooLow;
        }
        self.fence = order.fence;
        if order.orders_seen.is_some_and(|seen| seen != self.taken) {
            return OrderOutcome::Busy;
        }
        self.taken += 1;
        let name = order.adapter.clone().unwrap();
        match order.kind {
            OrderKind::Unload => {
                self.held.remove(&name);
                OrderOutcome::Holds
            },
            OrderKind::Load => {
                // A new version on its way takes a place beside the old one.
                self.incoming.push((name, order.version.unwrap_or(1), now + ms(250)));
                let used = self.held.len() + self.incoming.len();
                assert!(used <= PLACES as usize, "too many adapters");
                assert!(self.incoming.len() <= INCOMING_LIMIT, "too many at once");
                OrderOutcome::Begun
            },
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u8, Option<u32>),
    Use(u8),
    Wait(u64),
    LoseAnswer,
    /// The loader's process is replaced; the new one knows nothing.
    Replace,
    /// The same while an order is on its way, which the engine takes just before the next one.
    ReplaceMidOrder,
    /// The engine gives no report in the steps that follow, or gives them again.
    HideReports(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..12, prop::option::of(1u32..4)).prop_map(|(a, v)| Step::Ask(a, v)),
        2 => (0u8..12).prop_map(Step::Use),
        3 => (1u64..400).prop_map(Step::Wait),
        1 => Just(Step::LoseAnswer),
        1 => Just(Step::Replace),
        2 => Just(Step::ReplaceMidOrder),
        1 => any::<bool>().prop_map(Step::HideReports),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        // Cases that once failed stay beside this file, and are tried first.
        failure_persistence: ProptestConfig::default().failure_persistence,
        ..fuzz::config_of(1024)
    })]

    #[test]
    fn an_engine_never_holds_too_much_and_nothing_in_use_goes(
        steps in prop::collection::vec(step(), 1..120),
        is_contended in any::<bool>(),
    ) {
        let mut machine = LoaderMachine::new("e1".to_string(), 100);
        let mut engine = SimpleEngine::default();
        let mut now = ms(0);
        let mut loses = false;
        let mut hides_reports = false;
        let mut late: Option<LoadOrder> = None;
        // When the relay tells a new process its use, at the latest.
        let mut untold_until: Option<Duration> = None;
        // Each new process begins above all fences of the one before, as its clock says.
        let mut first_fence = 100;
        let mut used: Option<(u8, Duration)> = None;
        let relay = "127.0.0.1:1".parse().unwrap();
        for (number, step) in steps.into_iter().enumerate() {
            if is_contended {
                let (number, pending) = (number as u64 + 1, PendingPrompts::default());
                machine.record_prompts(PromptReport { relay, number, incarnation: 1, pending }, now);
            }
            match step {
                Step::Ask(adapter, version) => machine.queue_load_request(RELAY, ask(adapter, version), now),
                Step::Use(adapter) => {
                    let use_of = AdapterUse { key: key(adapter), sent: 1, in_flight: 1 };
                    machine.record_uses(UseHeartbeat { relay, uses: vec![use_of] }, now);
                    used = Some((adapter, now));
                },
                Step::Wait(time) => now += ms(time),
                Step::LoseAnswer => loses = true,
                Step::Replace | Step::ReplaceMidOrder => {
                    if matches!(step, Step::ReplaceMidOrder) {
                        late = machine.next_order(now).or(late);
                    }
                    first_fence += 1_000;
                    machine = LoaderMachine::new("e1".to_string(), first_fence);
                    untold_until = Some(now + USE_INTERVAL);
                },
                Step::HideReports(hides) => hides_reports = hides,
            }
            if let (Some(due), Some((adapter, told))) = (untold_until, used)
                && now >= due
            {
                untold_until = None;
                let in_flight = u32::from(now - told < USE_TIME);
                let use_of = AdapterUse { key: key(adapter), sent: 0, in_flight };
                machine.record_uses(UseHeartbeat { relay, uses: vec![use_of] }, now);
            }
            if !hides_reports {
                machine.record_report(engine.report(now), now);
            }
            while let Some(order) = machine.next_order(now) {
                if let (OrderKind::Unload, Some((adapter, told))) = (order.kind, used) {
                    let is_used = now - told < USE_TIME;
                    let name = order.adapter.clone().unwrap();
                    prop_assert!(!is_used || name != key(adapter).adapter, "taken out in use");
                }
                if let Some(late) = late.take() {
                    engine.take(&late, now);
                }
                let outcome = engine.take(&order, now);
                prop_assert_ne!(outcome, OrderOutcome::FenceTooLow, "fences grow");
                let outcome = if loses { OrderOutcome::Unanswered } else { outcome };
                loses = false;
                machine.complete_order(outcome, now);
                if hides_reports {
                    break;
                }
                machine.record_report(engine.report(now), now);
            }
        }
    }
}

fn settled(names: &[u8]) -> EngineReport {
    let held = |number: &u8| HeldAdapter { key: key(*number), version: 1 };
    EngineReport {
        models: vec!["m".to_string()],
        adapters: names.iter().map(held).collect(),
        ..EngineReport::default()
    }
}

#[test]
fn the_adapter_that_is_asked_for_least_makes_room() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(settled(&[0, 1, 2, 3, 4]), ms(0));
    let later = |millis| USES_TOLD + ms(millis);
    let relay = "127.0.0.1:1".parse().unwrap();
    let use_of = |number, sent| AdapterUse { key: key(number), sent, in_flight: 0 };
    let uses = vec![use_of(0, 5), use_of(1, 2), use_of(2, 9), use_of(3, 1), use_of(4, 3)];
    machine.record_uses(UseHeartbeat { relay, uses }, later(0));
    machine.queue_load_request(RELAY, ask(7, None), later(10));
    let order = machine.next_order(later(10)).unwrap();
    assert_eq!((order.kind, order.adapter.as_deref()), (OrderKind::Unload, Some("a3")));
    machine.complete_order(OrderOutcome::Holds, later(11));
    machine.record_report(settled(&[0, 1, 2, 4]), later(12));
    let order = machine.next_order(later(12)).unwrap();
    assert_eq!((order.kind, order.adapter.as_deref()), (OrderKind::Load, Some("a7")));
}

#[test]
fn a_new_loader_waits_for_its_engines_report() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.queue_load_request(RELAY, ask(7, None), ms(0));
    machine.queue_load_request(RELAY, LoadRequest { adapter: None, ..ask(0, None) }, ms(0));
    assert!(machine.next_order(ms(0)).is_none(), "the engine may be full");
    assert_eq!(machine.spare_places(ms(0)), None);
    machine.record_report(settled(&[0, 1, 2, 3, 4]), ms(10));
    assert!(machine.next_order(ms(10)).is_none(), "any of them may be in use");
    let order = machine.next_order(ms(10) + USES_TOLD).unwrap();
    assert_eq!(order.kind, OrderKind::Unload, "the ask has waited, and the engine is full");
}

#[test]
fn a_new_loader_takes_nothing_out_before_relays_have_told_their_use() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(settled(&[0, 1, 2, 3, 4]), ms(10));
    machine.queue_load_request(RELAY, ask(7, None), ms(10));
    assert!(machine.next_order(ms(10)).is_none(), "any of them may be in use");
    assert_eq!(machine.spare_places(ms(10)), Some(0));
    // Relays tell twice a second.
    let relay = "127.0.0.1:1".parse().unwrap();
    let in_use = |number| AdapterUse { key: key(number), sent: 0, in_flight: 1 };
    machine.record_uses(UseHeartbeat { relay, uses: (0..4).map(in_use).collect() }, ms(500));
    let order = machine.next_order(ms(620)).unwrap();
    assert_eq!((order.kind, order.adapter.as_deref()), (OrderKind::Unload, Some("a4")));
}

#[test]
fn an_order_names_the_orders_that_it_knows_of() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(EngineReport { orders_taken: Some(6), ..settled(&[]) }, ms(0));
    machine.queue_load_request(RELAY, ask(1, None), ms(0));
    assert_eq!(machine.next_order(ms(0)).unwrap().orders_seen, Some(6));
    // The engine has taken others since: the ask waits for a report that shows them.
    machine.complete_order(OrderOutcome::Busy, ms(1));
    machine.record_report(EngineReport { orders_taken: Some(7), ..settled(&[2]) }, ms(2));
    let order = machine.next_order(ms(2)).unwrap();
    assert_eq!((order.adapter.as_deref(), order.orders_seen), (Some("a1"), Some(7)));
}

#[test]
fn a_refused_fence_is_raised_until_the_engine_takes_it() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(settled(&[]), ms(0));
    machine.queue_load_request(RELAY, ask(1, None), ms(0));
    let first = machine.next_order(ms(0)).unwrap();
    machine.complete_order(OrderOutcome::FenceTooLow, ms(1));
    let second = machine.next_order(ms(1)).unwrap();
    assert_eq!(second.adapter, first.adapter);
    assert!(second.fence > first.fence + 5_000, "the clock may have stepped back by seconds");
}

#[test]
fn base_models_are_ordered_only_into_an_empty_engine_and_are_told() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    let model = LoadRequest { adapter: None, ..ask(0, None) };
    machine.record_report(settled(&[]), ms(0));
    machine.queue_load_request(RELAY, model.clone(), ms(0));
    assert!(machine.next_order(ms(0)).is_none(), "it is there already");
    machine.record_report(EngineReport::default(), ms(10));
    machine.queue_load_request(RELAY, model, ms(10));
    assert!(machine.next_order(ms(10)).is_some());
    machine.complete_order(OrderOutcome::Begun, ms(11));
    assert_eq!(machine.model_loads(ms(1010)), [ms(1000)]);
    assert!(machine.model_loads(ms(9000)).is_empty());
}

#[test]
fn a_load_from_the_hosts_own_copy_does_not_count_at_the_weight_store() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    let local_models = vec!["m".to_string()];
    machine.record_report(EngineReport { local_models, ..EngineReport::default() }, ms(0));
    machine.queue_load_request(RELAY, LoadRequest { adapter: None, ..ask(0, None) }, ms(0));
    assert!(machine.next_order(ms(0)).is_some());
    machine.complete_order(OrderOutcome::Begun, ms(1));
    assert!(machine.model_loads(ms(2)).is_empty());
}

#[test]
fn warm_and_cold_loads_are_told_apart() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    let load = |at: u64, machine: &mut LoaderMachine| {
        machine.record_report(settled(&[]), ms(at));
        machine.queue_load_request(RELAY, ask(1, None), ms(at));
        machine.next_order(ms(at)).unwrap();
        machine.complete_order(OrderOutcome::Begun, ms(at));
        machine.record_report(settled(&[1]), ms(at + 250)).arrived[0].1.clone()
    };
    let first = load(0, &mut machine);
    assert_eq!((first.took, first.was_warm), (ms(250), false));
    assert!(load(5_000, &mut machine).was_warm);
    machine.record_report(EngineReport::default(), ms(9_000));
    assert!(!load(10_000, &mut machine).was_warm, "the engine restarted and lost its copies");
}

#[test]
fn a_newer_version_has_arrived_only_when_that_version_is_held() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(settled(&[1]), ms(0));
    machine.queue_load_request(RELAY, ask(1, Some(2)), ms(0));
    let order = machine.next_order(ms(0)).unwrap();
    assert_eq!((order.kind, order.version), (OrderKind::Load, Some(2)));
    machine.complete_order(OrderOutcome::Begun, ms(0));
    assert_eq!(machine.record_report(settled(&[1]), ms(50)).arrived, []);
    let mut newer = settled(&[1]);
    newer.adapters[0].version = 2;
    assert_eq!(machine.record_report(newer, ms(260)).arrived.len(), 1);
}

#[test]
fn spare_places_are_those_that_are_free_or_that_nobody_uses() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    assert_eq!(machine.spare_places(ms(0)), None, "no ask told the places");
    machine.record_report(settled(&[1, 2, 3]), ms(0));
    machine.queue_load_request(RELAY, ask(1, None), ms(0));
    assert!(machine.next_order(ms(0)).is_none());
    assert_eq!(machine.spare_places(ms(0)), Some(PLACES - 3), "those held may be in use");
    let ms = |millis| USES_TOLD + ms(millis);
    assert_eq!(machine.spare_places(ms(0)), Some(PLACES));
    let used = |in_flight| AdapterUse { key: key(1), sent: 1, in_flight };
    let relay = "127.0.0.1:1".parse().unwrap();
    machine.record_uses(UseHeartbeat { relay, uses: vec![used(1)] }, ms(1));
    assert_eq!(machine.spare_places(ms(1)), Some(PLACES - 1));
    machine.record_uses(UseHeartbeat { relay, uses: vec![used(0)] }, ms(2));
    assert_eq!(machine.spare_places(ms(2)), Some(PLACES));
    machine.queue_load_request(RELAY, ask(4, None), ms(3));
    assert_eq!(machine.spare_places(ms(3)), Some(PLACES - 1));
    assert!(machine.next_order(ms(3)).is_some());
    assert_eq!(machine.spare_places(ms(3)), Some(PLACES - 1));
}

#[test]
fn an_engine_that_starts_again_under_its_id_has_places_for_what_was_on_its_way() {
    let ask = |adapter: &str| LoadRequest {
        replica: "i-1".into(),
        model: "m".into(),
        adapter: Some(adapter.into()),
        version: None,
        places: 4,
    };
    let report = |born, taken| EngineReport {
        born: Some(born),
        models: vec!["m".into()],
        orders_taken: Some(taken),
        ..EngineReport::default()
    };
    let mut machine = LoaderMachine::new("e1".into(), 1);
    machine.record_report(report(5, 7), Duration::ZERO);
    for (number, adapter) in ["a1", "a2", "a3", "a4"].into_iter().enumerate() {
        let now = Duration::from_millis(number as u64);
        machine.queue_load_request(RELAY, ask(adapter), now);
        assert!(machine.next_order(now).is_some());
        machine.complete_order(OrderOutcome::Begun, now);
    }
    let now = Duration::from_millis(100);
    machine.queue_load_request(RELAY, ask("a5"), now);
    assert!(machine.next_order(now).is_none(), "four are on their way");
    machine.record_report(report(9, 0), now);
    let order =
        machine.next_order(now).expect("nothing is on its way to an engine that has started");
    assert_eq!(order.orders_seen, Some(0));
}

#[test]
fn an_engine_that_leaves_gets_no_orders_until_another_start() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    let report = |born, is_leaving| EngineReport { born: Some(born), is_leaving, ..settled(&[]) };
    let change = machine.record_report(report(1, true), ms(0));
    assert!(change.is_changed, "relays are to hear of it at once");
    machine.queue_load_request(RELAY, ask(1, None), ms(1));
    assert_eq!(machine.next_order(ms(1)), None);
    // A later report of the same start takes nothing back.
    machine.record_report(report(1, false), ms(500));
    assert!(machine.report().is_leaving);
    assert_eq!(machine.next_order(ms(500)), None);
    machine.record_report(report(2, false), ms(1000));
    machine.queue_load_request(RELAY, ask(1, None), ms(1000));
    assert!(machine.next_order(ms(1000)).is_some());
}

#[test]
fn an_engine_that_asked_for_rest_gets_its_orders_after_it() {
    let mut machine = LoaderMachine::new("e1".to_string(), 1);
    machine.record_report(settled(&[]), ms(0));
    let notice = UpstreamNotice { is_leaving: false, rest: Some(ms(900)), limit: None };
    machine.record_notice(&notice, ms(1));
    machine.queue_load_request(RELAY, ask(1, None), ms(2));
    assert_eq!(machine.next_order(ms(900)), None);
    assert!(machine.next_order(ms(901)).is_some());
}
