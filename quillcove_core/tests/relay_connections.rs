//! The connections that a replica accepts from all relays together, at 1 to 420 relays.
//!
//! Pattern: every relay has more requests than it may have connections. Figures: the least and the most connections of
//! the users' services. Seen by reading, after a rate that all relays keep together had been kept by nobody: each relay
//! might always have four connections, so that 420 relays had 1,680 to a replica that accepts 570.

#[allow(dead_code)]
mod relay_site;

use quillcove_core::relay::beacon::OtherRelays;
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayRules};
use quillcove_core::relay::replica::example_record;
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use relay_site::{engine_service, ms, query, stream_route};

/// Connections to one replica that one of so many relays opens.
fn connections(own: usize, relays: usize, limit: usize) -> usize {
    let host = |relay: usize| format!("relay-{relay}");
    let rules = RelayRules { host: host(own), ..RelayRules::default() };
    let mut machine = RelayMachine::new(rules, own as u64);
    let services = vec![engine_service(limit, 3.0)];
    machine.apply_configuration(PublishedConfig::new(
        1,
        vec![stream_route()],
        services,
        CallerLimits::default(),
    ));
    let others: Vec<String> = (0..relays).filter(|it| *it != own).map(host).collect();
    let count = others.len();
    machine.set_others(OtherRelays { count, recent: count, lacking: 0 }, ms(0));
    machine.set_peers(others, ms(0));
    machine.list(example_record("i-1"), ms(0));
    let mut open = 0;
    while let RelayChoice::Send(order) =
        machine.choose(&query(stream_route(), None, ms(0)), &[], ms(0))
    {
        machine.begin_attempt(&order.replica, None, ms(0));
        open += 1;
    }
    open
}

#[test]
fn all_relays_together_open_no_more_than_a_replica_accepts() {
    for limit in [96, 570] {
        for relays in [1, 4, 25, 68, 142, 300, 420] {
            let open = (0..relays).map(|own| connections(own, relays, limit));
            let open: usize = open.sum();
            println!("{relays} relays: {open} of {limit} connections");
            assert!(open <= limit, "{relays} relays: {open} of {limit} connections");
            assert!(open >= limit / 2, "{relays} relays: {open} of {limit} connections");
        }
    }
}
