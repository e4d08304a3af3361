//! Each place that offers a replica keeps to the software version that began a stream.

#[allow(dead_code)]
mod relay_site;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport, HeldAdapter, PeerMessage};
use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::origin::{OriginDigest, StreamKey, StreamOrigin};
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::replica::{AttemptOutcome, ReplicaRecord, ReplicaState, example_record};
use quillcove_core::relay::sheet::PublishedConfig;
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use quillcove_core::verdict::RefusalReason;
use relay_site::{address, engine_service, ms, query, stream_route};

/// Engines 1 and 2 run v1, engines 3 and 4 run v2.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

fn key() -> AdapterKey {
    AdapterKey { model: "m".to_string(), adapter: "a1".to_string() }
}

fn record(port: u16, version: &str) -> ReplicaRecord {
    let software = Some(version.to_string());
    ReplicaRecord { address: address(port), software, ..example_record(&format!("i-{port}")) }
}

/// A relay whose engines with these ports hold the adapter.
fn machine(holders: &[u16]) -> RelayMachine {
    let mut machine = RelayMachine::new(RelayRules::default(), 1);
    let services = vec![engine_service(360, 3.0)];
    let sheet = PublishedConfig::new(1, vec![stream_route()], services, Default::default());
    machine.apply_configuration(sheet);
    for (port, version) in (1..).zip(VERSIONS) {
        machine.list(record(port, version), ms(0));
        let held = HeldAdapter { key: key(), version: 1 };
        let adapters = holders.contains(&port).then_some(held).into_iter().collect();
        let models = vec!["m".to_string()];
        report(&mut machine, port, 1, EngineReport { models, adapters, ..Default::default() });
    }
    machine
}

fn report(machine: &mut RelayMachine, port: u16, number: u64, report: EngineReport) {
    let heartbeat = EngineHeartbeat {
        host: format!("e{port}"),
        engine: address(port),
        number,
        incarnation: 1,
        content: number,
        report,
        uses: Vec::new(),
        model_loads: Vec::new(),
        arrivals: Vec::new(),
        spare_places: Some(3),
        relays: Vec::new(),
    };
    machine.take_report(&heartbeat, ms(0));
}

fn resumed(version: &str) -> RelayQuery {
    let route = RouteRecord { kind: RouteKind::ResumableStream, ..stream_route() };
    let origin = Some(OriginDigest::of("s", Some(version)));
    RelayQuery { origin, ..query(route, Some(key()), ms(10)) }
}

fn port_of(choice: &RelayChoice) -> Option<u16> {
    match choice {
        RelayChoice::Send(order) => Some(order.address.port()),
        RelayChoice::Wait(_) | RelayChoice::Refuse(_) => None,
    }
}

/// Guards against a load for a resumed stream that is requested from an engine of another version, or not at all
/// because such an engine holds the adapter.
#[test]
fn a_missing_adapter_is_requested_from_an_engine_of_the_origin() {
    let mut machine = machine(&[3, 4]);
    assert!(matches!(machine.choose(&resumed("v1"), &[], ms(10)), RelayChoice::Wait(_)));
    let requests = machine.take_load_requests();
    assert_eq!(requests.len(), 1, "{requests:?}");
    let engine = requests[0].engine.port();
    assert!([1, 2].contains(&engine), "{engine}");
    // The request goes on waiting for that engine, and is not repeated at once.
    let again = RelayQuery { choice_count: 1, ..resumed("v1") };
    assert!(matches!(machine.choose(&again, &[], ms(50)), RelayChoice::Wait(_)));
    assert!(machine.take_load_requests().is_empty());
    machine.choose(&again, &[], ms(400));
    let repeated = machine.take_load_requests();
    assert_eq!(repeated[0].engine.port(), engine, "a request that is lost is repeated");
    machine.choose(&again, &[], ms(600));
    let other = machine.take_load_requests();
    assert_eq!(other[0].engine.port(), 3 - engine, "an engine that does not react is replaced");
}

/// Guards against a resumed stream that goes to a holder of another version, on its first attempt or a later one.
#[test]
fn each_attempt_keeps_to_the_origin() {
    let mut machine = machine(&[1, 2, 3, 4]);
    for (version, ports) in [("v1", [1, 2]), ("v2", [3, 4])] {
        let mut tried = Vec::new();
        for _ in 0..2 {
            let choice = machine.choose(&resumed(version), &tried, ms(10));
            let port = port_of(&choice).expect("two engines of the version are left");
            assert!(ports.contains(&port), "{version}: {port}");
            tried.push(format!("i-{port}"));
        }
        let choice = machine.choose(&resumed(version), &tried, ms(10));
        assert_eq!(port_of(&choice), None, "an engine of another version is no replacement");
    }
}

/// Guards against a stream that is rejected, or asks engines of another version, while those of its own load their base
/// model after a restart.
#[test]
fn a_stream_waits_for_the_base_model_of_its_origin() {
    let mut machine = machine(&[3, 4]);
    for port in [1, 2] {
        machine.list(ReplicaRecord { models: Vec::new(), ..record(port, "v1") }, ms(0));
        let local_models = vec!["m".to_string()];
        report(&mut machine, port, 2, EngineReport { local_models, ..Default::default() });
    }
    let returned = RelayQuery { since_first_attempt: ms(500), ..resumed("v1") };
    assert!(matches!(machine.choose(&returned, &[], ms(10)), RelayChoice::Wait(_)));
    assert!(machine.take_load_requests().is_empty(), "an engine without its base model takes none");
    for port in [1, 2] {
        let models = vec!["m".to_string()];
        report(&mut machine, port, 3, EngineReport { models, ..Default::default() });
    }
    machine.choose(&returned, &[], ms(20));
    assert!(machine.take_load_requests().iter().all(|it| [1, 2].contains(&it.engine.port())));
    // No engine of the origin has the base model, nor will have it.
    let mut machine = self::machine(&[3, 4]);
    for port in [1, 2] {
        let models = vec!["other".to_string()];
        report(&mut machine, port, 2, EngineReport { models, ..Default::default() });
    }
    assert!(matches!(machine.choose(&returned, &[], ms(10)), RelayChoice::Refuse(_)));
}

/// Guards against a stream that stops although an engine of its version is left that only seems unwell.
#[test]
fn an_unwell_engine_of_the_origin_is_better_than_none() {
    let mut machine = machine(&[1, 2, 3, 4]);
    for _ in 0..8 {
        machine.end_attempt("i-2", None, AttemptOutcome::Failed, ms(10));
    }
    let choice = machine.choose(&resumed("v1"), &["i-1".to_string()], ms(10));
    assert_eq!(port_of(&choice), Some(2));
}

/// Guards against a stream that is told to come back, or is run elsewhere, when no engine of its version is left.
#[test]
fn a_stream_whose_version_is_gone_is_rejected_at_once() {
    let mut machine = machine(&[1, 2, 3, 4]);
    for port in [1, 2] {
        let state = ReplicaState::Draining;
        machine.list(ReplicaRecord { state, ..record(port, "v1") }, ms(10));
    }
    let RelayChoice::Refuse(refusal) = machine.choose(&resumed("v1"), &[], ms(10)) else {
        panic!("the stream runs elsewhere or waits");
    };
    assert_eq!((refusal.reason, refusal.retry_after), (RefusalReason::OriginGone, None));
    let unknown = OriginDigest::of("s", Some("v3"));
    assert_eq!(machine.service_of_origin(&stream_route(), unknown), None);
}

/// Guards against a change of the messages' layout: processes of two builds run beside each other in an upgrade.
#[test]
fn the_layout_of_earlier_messages_stays() {
    let stream = StreamKey::of("r1");
    let origin = OriginDigest::of("s", Some("v1"));
    let report = PeerMessage::Origin(StreamOrigin { stream, origin, lifetime: ms(25_000) });
    let bytes = postcard::to_stdvec(&report).unwrap();
    assert_eq!(bytes[0], 16, "the new messages come after the sixteen earlier ones");
    assert!(bytes.len() <= 27, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).unwrap(), report);
}

/// Guards against a stream that goes on at a replica which has taken over the id or the address of its own.
#[test]
fn a_replica_that_starts_again_or_takes_an_address_over_is_another_origin() {
    let mut machine = machine(&[1, 2, 3, 4]);
    let started = |port, version, born| ReplicaRecord { born: Some(born), ..record(port, version) };
    for port in [1, 2] {
        machine.list(started(port, "v1", 5), ms(10));
    }
    let RelayChoice::Send(order) = machine.choose(&resumed("v1"), &[], ms(10)) else {
        panic!("engines of the version are ready");
    };
    // One starts again under its id with another version, the other's address is taken over.
    machine.list(started(1, "v2", 6), ms(20));
    let created = StorePosition::in_first_era(9);
    machine.list(ReplicaRecord { id: "i-9".into(), created, ..record(2, "v2") }, ms(20));
    assert!(!machine.may_send(&order, ms(10), ms(20)), "an attempt under way is withheld");
    assert_eq!(port_of(&machine.choose(&resumed("v1"), &[], ms(20))), None);
}

/// Guards against a stream that goes on at a service to which its route has moved since it began.
#[test]
fn a_stream_goes_on_at_the_service_that_began_it() {
    let mut machine = machine(&[1, 2, 3, 4]);
    machine.list(ReplicaRecord { service: "t".into(), ..record(9, "v1") }, ms(0));
    let route_to = |shares: &[(&str, u32)]| {
        let share = |(service, weight): &(&str, u32)| RouteShare {
            service: service.to_string(),
            weight: *weight,
        };
        RouteRecord { targets: shares.iter().map(share).collect(), ..stream_route() }
    };
    let origin = OriginDigest::of("s", Some("v1"));
    let service = |shares: &[(&str, u32)]| machine.service_of_origin(&route_to(shares), origin);
    assert_eq!(service(&[("t", 9), ("s", 1)]), Some("s".to_string()), "not drawn by weight");
    assert_eq!(service(&[("t", 1)]), None);
    assert_eq!(service(&[("t", 1), ("s", 0)]), None);
}

/// Guards against an entry of the replica list from an earlier build that is read as one of this build.
#[test]
fn an_entry_of_an_earlier_build_is_not_decoded() {
    let entry = |software| ReplicaRecord { software, ..record(1, "v1") };
    let bytes = postcard::to_stdvec(&entry(None)).unwrap();
    let earlier = &bytes[..bytes.len() - 1];
    assert!(postcard::from_bytes::<ReplicaRecord>(earlier).is_err());
    assert_eq!(
        bytes.last(),
        Some(&0),
        "the version comes last, after all that earlier builds read"
    );
}

/// Guards against a planned stop that waits for lookups whose callers have left.
#[test]
fn an_abandoned_lookup_does_not_hold_up_a_planned_stop() {
    let mut machine = machine(&[]);
    machine.tick(ms(0));
    machine.origins_mut().look_up(StreamKey::of("r1"), ms(100));
    assert_eq!(machine.in_flight(), 1, "its request is not admitted yet");
    machine.tick(ms(600));
    assert_eq!(machine.in_flight(), 0);
}

/// Guards against a change of the hash by which relays of two builds rank hosts and name exits and streams.
#[test]
fn hashes_are_those_of_earlier_builds() {
    assert_eq!(quillcove_core::rendezvous::weight("shuttle@3", "e1"), 9_630_591_781_764_093_523);
    assert_eq!(quillcove_core::crash::telling::exit_id("i-1", Some(5)), 7_092_812_964_733_099_376);
}
