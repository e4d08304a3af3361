//! Streams that are taken up by callers that name no beginning go on only at a version that alone can have begun them.

#[allow(dead_code)]
mod relay_site;

use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::{RelayMachine, RelayRules};
use quillcove_core::relay::origin::OriginDigest;
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use relay_site::stream_route;

const TICK: Duration = Duration::from_millis(500);
/// Longer than a stream of the route may be old, with what the list may be late.
const LONG: Duration = Duration::from_secs(40);

fn route(service: &str) -> RouteRecord {
    let targets = vec![RouteShare { service: service.to_string(), weight: 1 }];
    RouteRecord { kind: RouteKind::ResumableStream, targets, ..stream_route() }
}

fn record(id: &str, service: &str, software: &str, port: u16) -> ReplicaRecord {
    ReplicaRecord {
        service: service.to_string(),
        software: Some(software.to_string()),
        address: relay_site::address(port),
        ..example_record(id)
    }
}

/// Requests after which the times that callers state are known.
const LEARNT: usize = 40;

/// A relay that follows the store, and its time.
struct Follower {
    machine: RelayMachine,
    now: MonoTime,
    version: u64,
}

impl Follower {
    fn start() -> Self {
        let machine = RelayMachine::new(RelayRules::default(), 1);
        let mut follower = Self { machine, now: Duration::from_secs(1), version: 0 };
        follower.configure("s");
        follower.machine.list(record("i-1", "s", "v1", 1), follower.now);
        follower.state_times(LEARNT, route("s").timeout);
        follower
    }

    /// Some callers of the route state how long they wait.
    fn state_times(&mut self, callers: usize, time: Duration) {
        for _ in 0..callers {
            self.machine.time_since_first_attempt(&route("s").name, time);
        }
    }

    /// The relay has read the store whole.
    fn read(&mut self) {
        let position = StorePosition::in_first_era(1);
        for part in [StorePart::Replicas, StorePart::Operator] {
            self.machine.knowledge_mut().note_read(part, position, self.now);
        }
    }

    /// Puts a configuration in force that sends the route to a service.
    fn configure(&mut self, service: &str) {
        self.version += 1;
        let limits = CallerLimits::default();
        let sheet = PublishedConfig::new(self.version, vec![route(service)], vec![], limits);
        self.machine.apply_configuration(sheet);
    }

    fn go_on(&mut self, time: Duration, is_reading: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            if is_reading {
                self.read();
            }
            self.machine.tick(self.now);
        }
    }

    /// Returns the sole origin after the relay has followed the store for so long.
    fn sole_after(&mut self, time: Duration) -> Option<OriginDigest> {
        self.go_on(time, true);
        self.sole()
    }

    fn sole(&self) -> Option<OriginDigest> {
        self.machine.sole_origin(&route("s"), self.now)
    }
}

fn v1() -> Option<OriginDigest> {
    Some(OriginDigest::of("s", Some("v1")))
}

// Guards against a version that a relay takes for the only one, as it has not run long enough to have seen another.
#[test]
fn a_relay_that_has_just_started_knows_no_sole_origin() {
    let mut follower = Follower::start();
    assert_eq!(follower.sole_after(LONG / 4), None);
    assert_eq!(follower.sole_after(LONG), v1());
}

// Guards against streams of a version that has just left and go on at the one that is left.
#[test]
fn a_version_counts_until_its_streams_are_over() {
    let mut follower = Follower::start();
    follower.machine.list(record("i-2", "s", "v2", 2), follower.now);
    follower.go_on(LONG, true);
    follower.machine.unlist("i-2", follower.now);
    assert_eq!(follower.sole_after(LONG / 4), None);
    assert_eq!(follower.sole_after(LONG), v1());
}

// Guards against a version that came and went while the relay did not read the list.
#[test]
fn a_gap_in_the_reading_of_the_list_begins_the_watch_anew() {
    let mut follower = Follower::start();
    follower.go_on(LONG, true);
    follower.go_on(LONG / 4, false);
    assert_eq!(follower.sole(), None, "the list is old");
    assert_eq!(follower.sole_after(LONG / 4), None, "the list was old");
    assert_eq!(follower.sole_after(LONG), v1());
}

// Guards against a version that came and went while the relay was paused, which reads the store before its next tick.
#[test]
fn a_pause_begins_the_watch_anew() {
    let mut follower = Follower::start();
    assert_eq!(follower.sole_after(LONG), v1());
    follower.now += LONG / 4;
    follower.read();
    assert_eq!(follower.sole_after(TICK), None);
    assert_eq!(follower.sole_after(LONG), v1());
}

// Guards against streams of callers that wait for longer than the route's timeout, or of whom that is not known yet.
#[test]
fn a_stream_may_be_as_old_as_callers_state() {
    let mut follower = Follower::start();
    follower.state_times(1, LONG * 2);
    assert_eq!(follower.sole_after(LONG), None, "one caller may come back later");
    assert_eq!(follower.sole_after(LONG * 2), v1());
    let mut follower =
        Follower { machine: RelayMachine::new(RelayRules::default(), 1), ..follower };
    follower.configure("s");
    follower.machine.list(record("i-1", "s", "v1", 1), follower.now);
    assert_eq!(follower.sole_after(LONG), None, "no caller has stated a time");
}

// Guards against a stream that began at another service, to which its route led a moment ago or still leads in part.
#[test]
fn a_route_that_led_elsewhere_has_no_sole_origin() {
    let mut follower = Follower::start();
    follower.go_on(LONG, true);
    follower.configure("other");
    follower.configure("s");
    assert_eq!(follower.sole_after(TICK), None);
    assert_eq!(follower.sole_after(LONG), v1());
    let mut split = route("s");
    split.targets.extend(route("other").targets);
    assert_eq!(follower.machine.sole_origin(&split, follower.now), None);
}
