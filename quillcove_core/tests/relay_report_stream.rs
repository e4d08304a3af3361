//! What relays make of loaders' reports when datagrams are lost, doubled and overtake one another.
//!
//! Answers the pattern of a large fleet, where a whole report to each relay several times a second was
//! most of what crossed between halls. Grounds of the figures: fourteen adapters an engine and 68
//! relays as on the users' largest deployment, a change of what an engine holds about twice a second
//! and a report each 100 ms while requests wait.

#[allow(unused_macros, unused_imports, dead_code)]
mod fuzz;

use std::time::Duration;

use proptest::prelude::*;
use quillcove_core::ids::{AdapterKey, MonoTime};
use quillcove_core::relay::beacon::{
    EngineGauges, EngineHeartbeat, EngineReport, GaugeHeartbeat, HeldAdapter, PeerMessage,
};
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, example_record};
use quillcove_core::relay::report_stream::{GaugeOutcome, ReportLedger, ReportSender};
use quillcove_core::relay::roll::RelayMembership;

const PLACES: u32 = 14;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn engine() -> std::net::SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn held(number: u32) -> HeldAdapter {
    let adapter = format!("a{}", 13_400 + number);
    HeldAdapter { key: AdapterKey { model: "daka510000".to_string(), adapter }, version: 1 }
}

/// An engine whose adapters begin at this number.
fn report(first: u32, running: u32) -> EngineReport {
    EngineReport {
        models: vec!["daka510000".to_string()],
        local_models: vec!["daka510000".to_string()],
        adapters: (first..first + PLACES).map(held).collect(),
        running,
        ..EngineReport::default()
    }
}

/// A loader as far as its messages go.
#[derive(Default)]
struct Loader {
    sender: ReportSender,
    number: u64,
}

impl Loader {
    fn whole(&mut self, report: &EngineReport) -> PeerMessage {
        self.number += 1;
        PeerMessage::Engine(Box::new(EngineHeartbeat {
            host: "side-a-1".to_string(),
            engine: engine(),
            number: self.number,
            incarnation: 1,
            content: self.sender.content(),
            report: report.clone(),
            uses: vec![1; report.adapters.len()],
            model_loads: Vec::new(),
            arrivals: Vec::new(),
            spare_places: Some(1),
            relays: Vec::new(),
        }))
    }

    fn tell(&mut self, report: &EngineReport, now: MonoTime) -> PeerMessage {
        if self.sender.decide_full(report, now) {
            return self.whole(report);
        }
        self.number += 1;
        PeerMessage::Gauges(GaugeHeartbeat {
            engine: engine(),
            number: self.number,
            incarnation: 1,
            content: self.sender.content(),
            gauges: EngineGauges {
                running: report.running,
                uses: vec![1; report.adapters.len()],
                ..EngineGauges::default()
            },
        })
    }
}

/// A relay as far as reports go.
struct Relay {
    ledger: ReportLedger,
    table: ReplicaTable,
    asks: u32,
}

impl Relay {
    fn new() -> Self {
        let mut table = ReplicaTable::default();
        table.list(ReplicaRecord { address: engine(), ..example_record("i-1") }, ms(0));
        Self { ledger: ReportLedger::default(), table, asks: 0 }
    }

    fn take(&mut self, message: &PeerMessage, now: MonoTime) {
        match message {
            PeerMessage::Engine(beacon) => {
                if self.ledger.take_whole(beacon) {
                    self.table.report(beacon.engine, beacon.report.clone(), now);
                }
            },
            PeerMessage::Gauges(beacon) => match self.ledger.take_gauges(beacon, now) {
                GaugeOutcome::Fits => {
                    assert!(self.table.record_gauges(beacon.engine, &beacon.gauges, now));
                },
                GaugeOutcome::Lacks { asks } => self.asks += u32::from(asks),
                GaugeOutcome::Late => {},
            },
            _ => unreachable!("loaders send no other messages"),
        }
    }

    fn believes(&self, now: MonoTime) -> Option<&EngineReport> {
        self.table.at(engine()).and_then(|view| view.report(now))
    }
}

fn size(message: &PeerMessage) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

#[test]
fn a_report_survives_the_wire() {
    let mut sent = report(1, 3);
    sent.incoming = vec![held(90)];
    sent.is_busy = true;
    let message = Loader::default().whole(&sent);
    let bytes = postcard::to_stdvec(&message).unwrap();
    assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).unwrap(), message);
}

#[test]
fn a_report_without_a_name_for_its_model_is_garbage() {
    let message = Loader::default().whole(&report(1, 0));
    let mut bytes = postcard::to_stdvec(&message).unwrap();
    let name = bytes.windows(10).position(|window| window == b"daka510000").unwrap();
    // The list of names is made empty, so that the places in it point nowhere.
    bytes.drain(name - 1..name + 10);
    bytes[name - 2] = 0;
    assert!(postcard::from_bytes::<PeerMessage>(&bytes).is_err());
}

#[test]
fn a_second_of_reports_takes_a_quarter_of_what_whole_ones_take() {
    let (mut loader, mut bytes, mut whole_bytes) = (Loader::default(), 0, 0);
    for step in 0..10u64 {
        let report = report(1 + step as u32 / 5, step as u32);
        bytes += size(&loader.tell(&report, ms(100 * step)));
        let whole = size(&loader.whole(&report));
        assert!(whole < 300, "{whole} bytes of a whole report");
        // What a whole report took with all relays and the model's name with each adapter.
        whole_bytes += whole + 68 * 8 + PLACES as usize * 10;
    }
    assert!(bytes * 4 < whole_bytes, "{bytes} of {whole_bytes} bytes");
}

#[test]
fn gauges_of_an_unknown_content_are_not_taken_and_a_whole_report_is_asked_for() {
    let (mut loader, mut relay) = (Loader::default(), Relay::new());
    relay.take(&loader.tell(&report(1, 0), ms(0)), ms(0));
    let lost = loader.tell(&report(2, 0), ms(100));
    let gauges = loader.tell(&report(2, 5), ms(200));
    relay.take(&gauges, ms(200));
    assert_eq!((relay.believes(ms(200)).unwrap().running, relay.asks), (0, 1));
    relay.take(&loader.tell(&report(2, 6), ms(250)), ms(250));
    assert_eq!(relay.asks, 1, "one ask is under way");
    // The report was only overtaken.
    relay.take(&lost, ms(260));
    relay.take(&loader.tell(&report(2, 7), ms(300)), ms(300));
    assert_eq!(relay.believes(ms(300)), Some(&report(2, 7)));
}

#[test]
fn an_engine_that_restarted_is_not_taken_for_what_it_held_before() {
    let (mut loader, mut relay) = (Loader::default(), Relay::new());
    relay.take(&loader.tell(&report(1, 0), ms(0)), ms(0));
    relay.table.list(
        ReplicaRecord {
            address: engine(),
            created: StorePosition::in_first_era(9),
            ..example_record("i-2")
        },
        ms(10),
    );
    let gauges = EngineGauges::default();
    assert!(!relay.table.record_gauges(engine(), &gauges, ms(20)));
}

#[test]
fn uses_are_known_over_all_relays_and_not_after_the_lists_differ() {
    let mut relay = Relay::new();
    relay.table.report(engine(), report(1, 0), ms(0));
    let mut uses = vec![0; PLACES as usize];
    uses[2] = 40;
    relay.table.note_spare(engine(), None, uses);
    let (used, unused) = (held(3).key, held(1).key);
    let view = relay.table.at(engine()).unwrap();
    assert_eq!((view.fleet_uses_of(&used, ms(0)), view.fleet_uses_of(&unused, ms(0))), (40, 0));
    relay.table.remove_adapter("i-1", &unused);
    assert_eq!(relay.table.at(engine()).unwrap().fleet_uses_of(&used, ms(0)), 0);
}

#[test]
fn reports_of_all_loaders_name_every_relay_within_seconds() {
    let relays = 68u16;
    let mut named = std::collections::BTreeSet::new();
    for loader in 0..78u64 {
        let mut roll =
            RelayMembership::new(quillcove_core::rendezvous::weight("l", &loader.to_string()));
        for port in 1..=relays {
            roll.record_heartbeat(std::net::SocketAddr::from(([127, 0, 0, 1], port)), ms(0));
        }
        (0..3).for_each(|_| named.extend(roll.next_named()));
    }
    assert_eq!(named.len(), usize::from(relays));
}

#[test]
fn one_loader_names_every_relay_in_turn() {
    let mut roll = RelayMembership::new(u64::MAX);
    for port in 1..=10 {
        roll.record_heartbeat(std::net::SocketAddr::from(([127, 0, 0, 1], port)), ms(0));
    }
    let named: std::collections::BTreeSet<_> = (0..3).flat_map(|_| roll.next_named()).collect();
    assert_eq!(named.len(), 10);
    assert_eq!(roll.forget(ms(3000)).len(), 10);
    assert!(roll.next_named().is_empty());
}

/// What happens to one datagram.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives,
    Lost,
    Twice,
    /// It arrives after so many others.
    Late(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Arrives),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Twice),
        1 => (1usize..6).prop_map(Fate::Late),
    ]
}

proptest! {
    #![proptest_config(fuzz::config_of(256))]

    /// Whatever becomes of the datagrams, a relay believes one of the states that the engine was in,
    /// never a mix of two; and after a whole report has come it believes the last one.
    #[test]
    fn beliefs_are_states_that_were(steps in prop::collection::vec((0u32..4, 0u32..50, fate()), 1..60)) {
        let (mut loader, mut relay) = (Loader::default(), Relay::new());
        let mut states = Vec::new();
        let mut late: Vec<(usize, PeerMessage)> = Vec::new();
        let mut now = ms(0);
        for (step, (first, running, fate)) in steps.iter().enumerate() {
            now = ms(90 * step as u64);
            let state = report(*first, *running);
            states.push(state.clone());
            let message = loader.tell(&state, now);
            match fate {
                Fate::Arrives => relay.take(&message, now),
                Fate::Lost => {},
                Fate::Twice => {
                    relay.take(&message, now);
                    relay.take(&message, now);
                },
                Fate::Late(steps) => late.push((step + steps, message)),
            }
            let (due, kept): (Vec<_>, Vec<_>) =
                late.into_iter().partition(|(due, _)| *due <= step);
            late = kept;
            for (_, message) in due {
                relay.take(&message, now);
            }
            if let Some(believed) = relay.believes(now) {
                prop_assert!(states.contains(believed));
            }
        }
        let last = states.last().cloned().unwrap();
        relay.take(&loader.whole(&last), now);
        prop_assert_eq!(relay.believes(now), Some(&last));
    }
}
