//! A service of engines for tests of relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::machine::{RelayMachine, RelayQuery, RelayRules};
use quillcove_core::relay::replica::example_record;
use quillcove_core::relay::sheet::{
    CallerLimits, EngineRecord, ModelRecord, PublishedConfig, ServiceRecord,
};
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The service `s` of engines with the model `m` and four places for adapters.
pub fn engine_service(connection_limit: usize, loads_per_second: f64) -> ServiceRecord {
    let model = ModelRecord {
        name: "m".to_string(),
        weights_mb: 10.0,
        adapter_mb: 1.0,
        load_time: ms(600),
        disk_load_time: ms(1200),
    };
    let engine =
        EngineRecord { models: vec![model], weights_mb: 14.0, adapter_places: 8, loads_per_second };
    ServiceRecord { name: "s".to_string(), connection_limit, cold_rate: None, engine: Some(engine) }
}

/// A route for streams to the service `s`.
pub fn stream_route() -> RouteRecord {
    RouteRecord {
        name: "r".to_string(),
        host: "a.example".to_string(),
        prefix: "/".to_string(),
        kind: RouteKind::Stream,
        timeout: ms(15_000),
        aim: ms(800),
        patience: None,
        priority: 1,
        attempt_limit: 1,
        target_gap: None,
        is_public: true,
        targets: vec![RouteShare { service: "s".to_string(), weight: 1 }],
    }
}

/// A first try on a route to the service `s`, received then, for the model `m`.
pub fn query(route: RouteRecord, adapter: Option<AdapterKey>, received: Duration) -> RelayQuery {
    RelayQuery {
        deadline: received + route.timeout,
        route: Arc::new(route),
        service: "s".to_string(),
        model: Some("m".to_string()),
        adapter,
        received,
        prompt_tokens: None,
        since_first_attempt: Duration::ZERO,
        choice_count: 0,
        grant: None,
        identity: None,
        parts: Vec::new(),
        origin: None,
    }
}

/// Returns a relay with the stream route and three replicas for it, listed at `now`.
pub fn stream_machine(rules: RelayRules, seed: u64, now: Duration) -> RelayMachine {
    let mut machine = RelayMachine::new(rules, seed);
    let services = vec![engine_service(100, 3.0)];
    let routes = vec![stream_route()];
    machine.apply_configuration(PublishedConfig::new(1, routes, services, CallerLimits::default()));
    for replica in ["i-1", "i-2", "i-3"] {
        machine.list(example_record(replica), now);
    }
    machine
}
