//! Many relays that know an engine's queue only from reports do not all choose the same one.
//!
//! Answers the pattern of one adapter that a fifth of all requests ask for, held by a dozen engines,
//! and 68 relays whose view of the queues is some hundred milliseconds old. Grounds of the figures:
//! the users' largest deployment sends some 70 requests a second for it; reports come each 100 ms, so
//! that seven requests choose by one report.

use std::collections::BTreeMap;
use std::time::Duration;

use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt};
use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, ReplicaView, example_record};
use quillcove_core::relay::routing::{self, RoutingCost};

const HOLDERS: u16 = 12;

/// Requests that choose by the same reports.
const REQUESTS: u64 = 70;

/// Holders that were reported with so many prompts waiting; one of them is idle.
fn table() -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for port in 1..=HOLDERS {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        let record = example_record(&format!("i-{port}"));
        table.list(ReplicaRecord { address, ..record }, Duration::ZERO);
        let report = quillcove_core::relay::beacon::EngineReport {
            waiting: u32::from(port > 1),
            ..Default::default()
        };
        table.report(address, report, Duration::ZERO);
    }
    table
}

/// Requests that each engine gets when so many relays choose by the same reports.
fn chosen(relays: usize) -> BTreeMap<String, u64> {
    let table = table();
    let views: Vec<&ReplicaView> = table.all().collect();
    let norm = PrefillAverages::default();
    let prompt = Some(PrefillPrompt { tokens: 1_100, rank: 1 });
    let cost = RoutingCost { prompt, norm: &norm, hall: "hall-a", targets: None };
    let mut counts = BTreeMap::new();
    for draw in 0..REQUESTS {
        let sampled = routing::sample(&views, relays, draw);
        let view = routing::choose(&sampled, &cost, Duration::ZERO, draw).unwrap();
        *counts.entry(view.record.id.clone()).or_insert(0) += 1;
    }
    counts
}

#[test]
fn many_relays_spread_over_the_holders() {
    let counts = chosen(68);
    let most = counts.values().max().copied().unwrap();
    assert!(most <= REQUESTS / 3, "{counts:?}");
    assert!(counts.len() >= 10, "{counts:?}");
    assert_eq!(counts.get("i-1"), Some(&most), "the idle one still goes first");
}

#[test]
fn few_relays_choose_the_best_of_all() {
    assert_eq!(chosen(4), BTreeMap::from([("i-1".to_string(), REQUESTS)]));
}
