//! Which adapters a relay asks for: nothing that is there or coming, copies only where wanted, and its
//! share of the weight store by what it lacks.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineReport, HeldAdapter, OtherRelays};
use quillcove_core::relay::demand::{AdapterDemand, AdapterNeed, EngineChoice};
use quillcove_core::relay::policy::PlacementRule;
use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt};
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, ReplicaView, example_record};
use quillcove_core::relay::sheet::EngineRecord;
use relay_site::{address, engine_service, ms};

const ENGINES: u16 = 4;

fn key(number: usize) -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: format!("a{number}") }
}

fn held(number: usize, version: u32) -> HeldAdapter {
    HeldAdapter { key: key(number), version }
}

/// Engines of the service `s` and what their loaders report.
struct Site {
    table: ReplicaTable,
    engine: EngineRecord,
    demand: AdapterDemand,
}

impl Site {
    fn new() -> Self {
        let mut table = ReplicaTable::default();
        for port in 1..=ENGINES {
            let record = example_record(&format!("i-{port}"));
            table.list(ReplicaRecord { address: address(port), ..record }, ms(0));
        }
        let engine = engine_service(100, 3.0).engine.unwrap();
        let mut site = Self { table, engine, demand: AdapterDemand::default() };
        for port in 1..=ENGINES {
            site.report(port, &[], &[], ms(0));
        }
        site
    }

    fn view(&self, port: u16) -> &ReplicaView {
        self.table.at(address(port)).unwrap()
    }

    fn report(&mut self, port: u16, held: &[HeldAdapter], coming: &[HeldAdapter], now: Duration) {
        let report = EngineReport {
            models: vec!["m".to_string()],
            adapters: held.to_vec(),
            incoming: coming.to_vec(),
            ..EngineReport::default()
        };
        self.table.report(address(port), report, now);
        let view = self.table.at(address(port)).unwrap();
        self.demand.note_held(view, now);
    }

    /// Wants an adapter until long after, at so many engines.
    fn want(&mut self, number: usize, version: Option<u32>, holders: usize, now: Duration) {
        let lacked = AdapterNeed {
            key: &key(number),
            service: &"s".to_string(),
            version,
            useful_until: now + ms(60_000),
            holders,
            home: None,
        };
        self.demand.record_need(&lacked, true, now);
    }

    /// Plans loads; gives the adapters asked for, with the engines' ports.
    fn pump(&mut self, now: Duration) -> Vec<(String, u16)> {
        let service = "s".to_string();
        let views: Vec<&ReplicaView> = (1..=ENGINES).map(|port| self.view(port)).collect();
        let norm = PrefillAverages::default();
        let choice = EngineChoice {
            service: &service,
            engine: &self.engine,
            views,
            homes: Vec::new(),
            norm,
        };
        let mut demand = self.demand.clone();
        demand.pump(&[choice], PlacementRule::default(), now);
        let asks = demand.take_outbox();
        self.demand = demand;
        asks.into_iter()
            .map(|asked| (asked.ask.adapter.unwrap_or_default(), asked.engine.port()))
            .collect()
    }
}

#[test]
fn what_is_wanted_is_asked_for_once() {
    let mut site = Site::new();
    site.want(1, None, 1, ms(0));
    site.want(1, None, 1, ms(1));
    assert_eq!(site.pump(ms(1)).len(), 1);
    assert_eq!(site.pump(ms(2)), []);
}

#[test]
fn what_another_relay_has_asked_for_is_not_asked_for_again() {
    let mut site = Site::new();
    for port in 1..=ENGINES {
        site.want(usize::from(port), None, 1, ms(0));
        // Another relay was first; its choice of the engine need not be this one's.
        site.report(port, &[], &[held(usize::from(port), 1)], ms(10));
    }
    assert_eq!(site.pump(ms(20)), []);
    for port in 1..=ENGINES {
        site.report(port, &[held(usize::from(port), 1)], &[], ms(300));
    }
    assert_eq!(site.pump(ms(310)), []);
    assert_eq!(site.demand.lacking(), 0);
}

#[test]
fn a_copy_is_asked_for_where_more_engines_should_hold_an_adapter() {
    let mut site = Site::new();
    site.report(2, &[held(1, 1)], &[], ms(0));
    site.want(1, None, 2, ms(0));
    let asked = site.pump(ms(0));
    assert_eq!((asked.len(), asked[0].0.as_str()), (1, "a1"));
    assert_ne!(asked[0].1, 2, "an engine that holds it needs no copy");
    site.report(asked[0].1, &[held(1, 1)], &[], ms(300));
    site.want(1, None, 2, ms(301));
    assert_eq!(site.pump(ms(301)), [], "two engines hold it now");
}

#[test]
fn an_older_version_does_not_meet_the_wish_for_a_newer_one() {
    let mut site = Site::new();
    for port in 1..=ENGINES {
        site.report(port, &[held(1, 1)], &[], ms(0));
    }
    site.want(1, Some(2), 1, ms(0));
    // All engines hold some version, and the new one goes beside it only where none is held.
    site.report(3, &[], &[], ms(10));
    assert_eq!(site.pump(ms(20)), [("a1".to_string(), 3)]);
}

#[test]
fn an_adapter_on_its_way_is_expected_when_its_load_is_over() {
    let mut site = Site::new();
    site.want(1, None, 1, ms(0));
    site.report(1, &[], &[held(1, 1)], ms(100));
    let wait = site.demand.ready_at(&key(1), ms(200)).saturating_sub(ms(200));
    assert!(wait < ms(300), "a load takes 300 ms, of which 100 are over: {wait:?}");
    // A want that was never asked for waits for its turn as well.
    site.want(2, None, 1, ms(200));
    assert!(site.demand.ready_at(&key(2), ms(200)) > ms(500));
}

#[test]
fn a_relay_that_lacks_more_than_the_others_gets_more_of_the_store() {
    let count = |lacking: usize| {
        let mut site = Site::new();
        site.demand.set_others(OtherRelays { count: 3, recent: 3, lacking });
        for number in 0..40 {
            site.want(number, None, 1, ms(0));
        }
        site.pump(ms(0)).len()
    };
    let (alone, among_equals) = (count(0), count(120));
    assert!(alone > among_equals, "{alone} alone, {among_equals} among equals");
    assert!(among_equals >= 1, "every relay has some share");
}

#[test]
fn what_more_requests_lack_goes_first_and_of_equals_the_last_wanted() {
    let mut site = Site::new();
    site.demand.set_others(OtherRelays { count: 9, recent: 9, lacking: 900 });
    for number in [1, 2, 3] {
        site.want(number, None, 1, ms(number as u64));
    }
    site.want(1, None, 1, ms(5));
    let asked: Vec<String> = site.pump(ms(6)).into_iter().map(|(adapter, _)| adapter).collect();
    assert_eq!(asked, ["a1", "a3"], "the share of one load, and one more");
}

#[test]
fn a_new_version_goes_to_an_engine_with_the_old_one_when_all_have_that() {
    let mut site = Site::new();
    for port in 1..=ENGINES {
        site.report(port, &[held(1, 1)], &[], ms(0));
    }
    site.want(1, Some(2), 1, ms(0));
    let asked = site.pump(ms(0));
    assert_eq!(asked.len(), 1, "else its requests would find no engine for as long as that lasts");
}

#[test]
fn an_adapter_goes_where_a_place_is_to_be_had() {
    let mut site = Site::new();
    for port in 1..=ENGINES {
        site.table.note_spare(address(port), Some(u32::from(port == 3)), Vec::new());
    }
    site.want(1, None, 1, ms(0));
    assert_eq!(site.pump(ms(0)), [("a1".to_string(), 3)]);
    // The one place is taken by what is on its way there.
    site.want(2, None, 1, ms(1));
    assert_eq!(site.pump(ms(1)), []);
    assert!(site.table.note_spare(address(2), Some(1), Vec::new()));
    assert_eq!(site.pump(ms(2)), [("a2".to_string(), 2)]);
}

#[test]
fn of_engines_with_places_the_one_with_least_to_read_takes_an_adapter_in() {
    let mut site = Site::new();
    for port in 1..=ENGINES {
        site.table.note_spare(address(port), Some(3), Vec::new());
        if port != 2 {
            let prompt = PrefillPrompt { tokens: 50_000, rank: 0 };
            site.table.begin_reading(&format!("i-{port}"), u64::from(port), prompt, ms(0));
        }
    }
    for number in 1..=3 {
        site.want(number, None, 1, ms(0));
    }
    let ports: Vec<u16> = site.pump(ms(0)).into_iter().map(|(_, port)| port).collect();
    assert_eq!(ports, [2, 2, 2]);
}
