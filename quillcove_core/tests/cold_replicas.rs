//! The load of a fleet of relays on cold replicas.
//!
//! Seen: a replica that had come back cold got twenty requests in one second from 25 relays, where it bears 8.2 and the
//! users allow one and a half times that and five more. Cause: no process knew that a replica is cold, and what it bears
//! is a sum over all relays. Shown here for 1 to 420 relays: every span of one second keeps the bound, with a list that
//! relays learn at different moments, late connections, relays that start again, and replicas that turn cold again.
//! Rules that each relay keeps for itself, or that forget the term, break it.

#[allow(dead_code)]
mod relay_site;

use std::collections::BTreeMap;
use std::time::Duration;

use quillcove_core::relay::machine::{
    AttemptOrder, RelayChoice, RelayMachine, RelayQuery, RelayRules,
};
use quillcove_core::relay::policy::{RelayPolicy, SharingRule};
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::replica::{ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
use quillcove_core::rendezvous;
use quillcove_core::standing::limit::RateLimit;
use relay_site::{address, engine_service, ms, stream_route};

/// Requests a second that a cold replica bears, and the users' bound on them in any second.
const COLD_RATE: f64 = 8.2;
const OVERSHOOT: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

/// When the replicas turn cold, and for how long.
const TURNS_COLD: Duration = Duration::from_secs(2);
const COLD_TIME: Duration = Duration::from_secs(4);

/// Longest time until a relay has read of it, and longest way of a request to a replica.
const LEARN_TIME: u64 = 400;
const WAY_TIME: u64 = 60;

const RUN_TIME: Duration = Duration::from_secs(10);
const REPLICAS: u16 = 12;

/// A load that a fleet meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ColdPattern {
    /// A third of the replicas come back, each with a new id.
    Return,
    /// All replicas come back.
    AllReturn,
    /// All replicas come back, and meanwhile every relay starts again.
    RelaysStart,
}

/// How the relays go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ColdFault {
    None,
    /// Each takes what a replica bears for itself.
    Alone,
    /// The entry's word is not read.
    Unread,
}

struct SimRelay {
    machine: RelayMachine,
    started: Duration,
    /// When it reads that replicas have come back.
    learns: Option<Duration>,
}

struct ColdFleet {
    relays: Vec<SimRelay>,
    fault: ColdFault,
    draws: u64,
    /// Arrivals at each replica while it was cold.
    arrivals: BTreeMap<String, Vec<Duration>>,
    sent_to_warm: usize,
    refused: usize,
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("relay-{number}")).collect()
}

fn warm(number: u16) -> ReplicaRecord {
    ReplicaRecord { address: address(number), ..example_record(&format!("i-{number}")) }
}

/// The replica that stands at the same address after its return.
fn cold(number: u16) -> ReplicaRecord {
    let record = ReplicaRecord {
        id: format!("i-{number}-cold"),
        created: StorePosition::in_first_era(2),
        ..warm(number)
    };
    ReplicaRecord { cold_left: COLD_TIME, ..record }
}

impl ColdFleet {
    fn new(count: usize, fault: ColdFault) -> Self {
        let mut fleet = Self {
            relays: Vec::new(),
            fault,
            draws: 7,
            arrivals: BTreeMap::new(),
            sent_to_warm: 0,
            refused: 0,
        };
        fleet.relays =
            (0..count).map(|number| fleet.relay(number, count, Duration::ZERO)).collect();
        fleet
    }

    fn relay(&self, number: usize, count: usize, started: Duration) -> SimRelay {
        let host = format!("relay-{number}");
        let policy = match self.fault {
            ColdFault::Alone => RelayPolicy { sharing: SharingRule::All, ..RelayPolicy::default() },
            ColdFault::None | ColdFault::Unread => RelayPolicy::default(),
        };
        let rules = RelayRules { host: host.clone(), policy, ..RelayRules::default() };
        let mut machine = RelayMachine::new(rules, number as u64);
        let mut service = engine_service(100_000, 3.0);
        service.cold_rate = RateLimit::per_second(COLD_RATE);
        let routes = vec![stream_route()];
        machine.apply_configuration(PublishedConfig::new(
            1,
            routes,
            vec![service],
            CallerLimits::default(),
        ));
        if self.fault != ColdFault::Alone {
            let others = names(count).into_iter().filter(|other| *other != host).collect();
            machine.set_peers(others, Duration::ZERO);
        }
        SimRelay { machine, started, learns: None }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        rendezvous::weight("cold", &self.draws.to_string()) % below
    }

    fn list(&mut self, relay: usize, records: Vec<ReplicaRecord>, now: Duration) {
        let relay = &mut self.relays[relay];
        for mut record in records {
            if self.fault == ColdFault::Unread {
                record.cold_left = Duration::ZERO;
            }
            relay.machine.list(record, now - relay.started);
        }
    }

    /// One request at one relay.
    fn request(&mut self, relay: usize, now: Duration) {
        let way = ms(self.draw(WAY_TIME));
        let SimRelay { machine, started, .. } = &mut self.relays[relay];
        let own_now = now - *started;
        let query: RelayQuery = relay_site::query(stream_route(), None, own_now);
        let order: AttemptOrder = match machine.choose(&query, &[], own_now) {
            RelayChoice::Send(order) => order,
            RelayChoice::Wait(_) | RelayChoice::Refuse(_) => {
                self.refused += 1;
                return;
            },
        };
        machine.begin_attempt(&order.replica, None, own_now);
        let is_sent = machine.may_send(&order, own_now, own_now + way);
        machine.end_attempt(
            &order.replica,
            None,
            quillcove_core::relay::replica::AttemptOutcome::Answered,
            own_now,
        );
        if !is_sent {
            return;
        }
        match order.replica.ends_with("-cold") && now + way < TURNS_COLD + COLD_TIME {
            true => self.arrivals.entry(order.replica).or_default().push(now + way),
            false => self.sent_to_warm += 1,
        }
    }

    fn run(&mut self, pattern: ColdPattern, per_second: u64) {
        let count = self.relays.len();
        let returning = match pattern {
            ColdPattern::Return => REPLICAS / 3,
            ColdPattern::AllReturn | ColdPattern::RelaysStart => REPLICAS,
        };
        for relay in 0..count {
            self.list(relay, (1..=REPLICAS).map(warm).collect(), Duration::ZERO);
        }
        for relay in 0..count {
            let delay = ms(self.draw(LEARN_TIME));
            self.relays[relay].learns = Some(TURNS_COLD + delay);
        }
        let starts = TURNS_COLD + ms(1500);
        let mut has_started = pattern != ColdPattern::RelaysStart;
        let mut now = Duration::ZERO;
        while now < RUN_TIME {
            now += Duration::from_micros(1_000_000 / per_second);
            if !has_started && now >= starts {
                has_started = true;
                for relay in 0..count {
                    self.relays[relay] = self.relay(relay, count, now);
                    let left = (TURNS_COLD + COLD_TIME).saturating_sub(now);
                    let aged = |number| ReplicaRecord { cold_left: left, ..cold(number) };
                    self.list(relay, (1..=REPLICAS).map(aged).collect(), now);
                }
            }
            for relay in 0..count {
                if self.relays[relay].learns.is_some_and(|at| at <= now) {
                    self.relays[relay].learns = None;
                    self.list(relay, (1..=returning).map(cold).collect(), now);
                }
                if now.as_millis().is_multiple_of(50) {
                    let started = self.relays[relay].started;
                    self.relays[relay].machine.tick(now - started);
                }
            }
            let relay = self.draw(count as u64) as usize;
            self.request(relay, now);
        }
    }

    /// The most requests that a replica got in one second.
    fn worst_second(&self) -> usize {
        let in_second = |arrivals: &Vec<Duration>| {
            let mut arrivals = arrivals.clone();
            arrivals.sort_unstable();
            let from = |first: &Duration| {
                arrivals.iter().filter(|at| *at >= first && **at < *first + ms(1000)).count()
            };
            arrivals.iter().map(from).max().unwrap_or(0)
        };
        self.arrivals.values().map(in_second).max().unwrap_or(0)
    }
}

fn bound() -> usize {
    (COLD_RATE * OVERSHOOT + TOLERANCE) as usize
}

const PATTERNS: [ColdPattern; 3] =
    [ColdPattern::Return, ColdPattern::AllReturn, ColdPattern::RelaysStart];

#[test]
fn cold_replicas_get_what_they_bear_from_all_relays_together() {
    for count in [1, 4, 25, 68, 420] {
        for pattern in PATTERNS {
            let mut fleet = ColdFleet::new(count, ColdFault::None);
            fleet.run(pattern, 300);
            let worst = fleet.worst_second();
            assert!(worst <= bound(), "{count} relays, {pattern:?}: {worst} in a second");
        }
    }
}

#[test]
fn what_warm_replicas_can_take_is_not_refused() {
    let mut fleet = ColdFleet::new(25, ColdFault::None);
    fleet.run(ColdPattern::Return, 300);
    assert_eq!(fleet.refused, 0);
    assert!(fleet.sent_to_warm > 2000);
}

#[test]
fn cold_replicas_are_used_and_take_all_work_when_they_are_warm() {
    let mut fleet = ColdFleet::new(25, ColdFault::None);
    fleet.run(ColdPattern::AllReturn, 300);
    let arrived: usize = fleet.arrivals.values().map(Vec::len).sum();
    let borne = COLD_RATE * COLD_TIME.as_secs_f64() * f64::from(REPLICAS);
    assert!(arrived as f64 > borne * 0.3, "{arrived} of {borne} that they bear");
    for relay in &mut fleet.relays {
        let now = RUN_TIME - relay.started;
        let query = relay_site::query(stream_route(), None, now);
        let choice = relay.machine.choose(&query, &[], now);
        assert!(matches!(choice, RelayChoice::Send(_)), "{choice:?}");
    }
}

#[test]
fn relays_that_keep_the_rate_each_for_itself_pass_it() {
    let mut fleet = ColdFleet::new(25, ColdFault::Alone);
    fleet.run(ColdPattern::AllReturn, 1200);
    assert!(fleet.worst_second() > bound());
}

#[test]
fn relays_that_do_not_know_of_cold_replicas_pass_the_rate() {
    let mut fleet = ColdFleet::new(25, ColdFault::Unread);
    fleet.run(ColdPattern::AllReturn, 300);
    assert!(fleet.worst_second() > bound());
}
