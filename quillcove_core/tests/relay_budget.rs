//! Repeats of a fleet of relays stay within what the platform allows for all of them, however many
//! relays there are, whoever hears whom, and however uneven their traffic is.
//!
//! Answers the pattern in which many relays see failures at the same moment, such as a service that
//! answers with errors after a pause of all. Grounds of the figures: the users' deployments allow 52
//! repeats beyond a fifth of the requests for four relays, 104 for 32 and 176 for 68, in ten seconds;
//! for 420 relays the same line gives 880.

use std::time::Duration;

use quillcove_core::relay::beacon::OtherRelays;
use quillcove_core::relay::machine::{RelayMachine, RelayRules};

/// Repeats allowed as a share of the requests of a window.
const RATIO: f64 = 0.2;

const FLEETS: [(usize, f64); 4] = [(1, 50.0), (4, 54.0), (68, 176.0), (420, 880.0)];

/// Requests that each relay has saved up credit from before the window.
const BEFORE: usize = 400;

struct Fleet {
    relays: Vec<RelayMachine>,
    extra: f64,
}

impl Fleet {
    /// Relays of which each hears so many others.
    fn new(count: usize, extra: f64, heard: usize) -> Self {
        let rules =
            RelayRules { retry_share: RATIO / 2.0, retry_extra: extra, ..RelayRules::default() };
        let mut relays: Vec<RelayMachine> =
            (0..count).map(|seed| RelayMachine::new(rules.clone(), seed as u64)).collect();
        for relay in &mut relays {
            relay.set_others(
                OtherRelays { count: heard, recent: heard, lacking: 0 },
                Duration::ZERO,
            );
        }
        Self { relays, extra }
    }

    fn request(&mut self, relay: usize) {
        let relay = &mut self.relays[relay];
        let _ = relay.admit("s", Duration::from_secs(1), Duration::ZERO);
        relay.finish();
    }

    /// All repeats that all relays take when each wants as many as it gets.
    fn drain(&mut self) -> f64 {
        let of_relay = |relay: &mut RelayMachine| {
            let mut taken = 0;
            while relay.take_retry("s") {
                taken += 1;
            }
            taken
        };
        self.relays.iter_mut().map(of_relay).sum::<usize>() as f64
    }

    /// Repeats of a window in which some relays have so many requests each.
    fn window(&mut self, busy: usize, requests: usize) -> f64 {
        let mut repeats = self.drain();
        for relay in 0..busy.min(self.relays.len()) {
            for _ in 0..requests {
                self.request(relay);
                repeats += self.drain();
            }
        }
        repeats
    }

    fn allowed(&self, requests: usize) -> f64 {
        self.extra + RATIO * requests as f64
    }
}

#[test]
fn a_fleet_that_saved_up_stays_within_what_is_allowed() {
    for (count, extra) in FLEETS {
        let mut fleet = Fleet::new(count, extra, count - 1);
        for relay in 0..count {
            (0..BEFORE).for_each(|_| fleet.request(relay));
        }
        let repeats = fleet.window(count, 10);
        assert!(repeats <= fleet.allowed(count * 10), "{count} relays: {repeats} repeats");
    }
}

#[test]
fn uneven_traffic_gives_no_more() {
    for (count, extra) in FLEETS {
        let mut fleet = Fleet::new(count, extra, count - 1);
        (0..BEFORE).for_each(|_| fleet.request(0));
        let repeats = fleet.window(1, 500);
        assert!(repeats <= fleet.allowed(500), "{count} relays: {repeats} repeats");
    }
}

#[test]
fn relays_that_have_just_started_and_hear_nobody_stay_within_it() {
    for (count, extra) in FLEETS {
        let mut fleet = Fleet::new(count, extra, 0);
        let repeats = fleet.window(count, 10);
        assert!(repeats <= fleet.allowed(count * 10), "{count} relays: {repeats} repeats");
    }
}

#[test]
fn a_fleet_that_loses_sight_of_itself_stays_within_it() {
    for (count, extra) in FLEETS {
        let mut fleet = Fleet::new(count, extra, count - 1);
        for relay in &mut fleet.relays {
            relay.set_others(OtherRelays::default(), Duration::ZERO);
        }
        for relay in 0..count {
            (0..BEFORE).for_each(|_| fleet.request(relay));
        }
        let repeats = fleet.window(count, 10);
        assert!(repeats <= fleet.allowed(count * 10), "{count} relays: {repeats} repeats");
    }
}

#[test]
fn a_small_fleet_may_use_most_of_what_is_allowed() {
    let (count, extra) = (4, 54.0);
    let mut fleet = Fleet::new(count, extra, count - 1);
    for relay in 0..count {
        (0..BEFORE).for_each(|_| fleet.request(relay));
    }
    assert!(fleet.drain() >= extra * 0.9);
}
