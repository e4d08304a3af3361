//! Simulated halls in which one relay gets most new connections, with and without a limit on the connections served.
//!
//! Guards against requests that one relay reads and keeps waiting while the others could serve them.

use std::collections::VecDeque;
use std::time::Duration;

use quillcove_core::relay::intake::{IntakeLimit, MAX_UNREAD_WAIT, STEP_INTERVAL};

/// Requests a second that a relay of 0.09 cores serves.
const CAPACITY: f64 = 25.0;

/// Load of the relays before connections become uneven.
const USUAL_LOAD: f64 = 0.4;

/// Share of new connections that go to one relay.
const HOT_SHARE: f64 = 0.8;

/// Time for which one relay gets them, before the next one does.
const HOT_TIME: Duration = Duration::from_secs(5);

/// Time after which a caller gives a request up that nobody has read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(5);

/// Whether relays limit the connections that they serve.
#[derive(Clone, Copy, PartialEq)]
enum IntakeRule {
    Limited,
    Unlimited,
}

/// A request that waits to be read.
#[derive(Clone, Copy)]
struct WaitingCall {
    arrived_at: Duration,
    /// Whether another relay has closed its caller's first connection.
    is_retry: bool,
}

/// A relay that reads and serves its requests one after the other.
struct SimulatedRelay {
    limit: IntakeLimit,
    queue: VecDeque<WaitingCall>,
    /// Part of the first request that is done.
    progress: f64,
}

#[derive(Default)]
struct CallCounts {
    sent: u32,
    served: u32,
    closed: u32,
}

struct SimulatedHall {
    rule: IntakeRule,
    relays: Vec<SimulatedRelay>,
    now: Duration,
    /// State of a linear congruential generator.
    draw: u64,
    due: f64,
    counts: CallCounts,
}

impl SimulatedHall {
    fn new(rule: IntakeRule, relays: usize, seed: u64) -> Self {
        let relay = |_| SimulatedRelay {
            limit: IntakeLimit::default(),
            queue: VecDeque::new(),
            progress: 0.0,
        };
        let relays = (0..relays).map(relay).collect();
        let counts = CallCounts::default();
        Self { rule, relays, now: Duration::ZERO, draw: seed, due: 0.0, counts }
    }

    fn draw(&mut self) -> f64 {
        self.draw = self.draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.draw >> 11) as f64 / (1u64 << 53) as f64
    }

    fn any_relay(&mut self) -> usize {
        (self.draw() * self.relays.len() as f64) as usize
    }

    /// Opens a connection; returns whether the relay serves it.
    fn open(&mut self, relay: usize, is_retry: bool) -> bool {
        let (rule, arrived_at) = (self.rule, self.now);
        let relay = &mut self.relays[relay];
        let is_admitted = rule == IntakeRule::Unlimited || relay.limit.admits();
        if is_admitted {
            relay.queue.push_back(WaitingCall { arrived_at, is_retry });
        }
        is_admitted
    }

    /// Tries another relay after a relay has closed a caller's connection unread.
    fn retry(&mut self, closed_by: usize) {
        let others = self.relays.len() - 1;
        let other = (closed_by + 1 + self.any_relay() % others) % self.relays.len();
        self.counts.closed += u32::from(!self.open(other, true));
    }

    /// Reads the next request whose caller still waits for it.
    fn serve(&mut self, relay: usize) {
        while let Some(call) = self.relays[relay].queue.pop_front() {
            let wait = self.now.saturating_sub(call.arrived_at);
            if self.rule == IntakeRule::Unlimited || wait <= MAX_UNREAD_WAIT {
                self.counts.served += u32::from(wait < READ_TIMEOUT);
                return;
            }
            match call.is_retry {
                true => self.counts.closed += 1,
                false => self.retry(relay),
            }
        }
    }

    /// Sends a caller's request; a caller whose connection is closed tries another relay once.
    fn call(&mut self, hot: Option<usize>) {
        self.counts.sent += 1;
        let is_hot = self.draw() < HOT_SHARE;
        let first = hot.filter(|_| is_hot).unwrap_or_else(|| self.any_relay());
        if !self.open(first, false) {
            self.retry(first);
        }
    }

    fn step(&mut self, load: f64, hot: Option<usize>) {
        self.now += STEP;
        self.due += load * CAPACITY * self.relays.len() as f64 * STEP.as_secs_f64();
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.call(hot);
        }
        for number in 0..self.relays.len() {
            self.relays[number].progress += CAPACITY * STEP.as_secs_f64();
            if self.relays[number].progress >= 1.0 {
                self.relays[number].progress -= 1.0;
                self.serve(number);
            }
            let relay = &mut self.relays[number];
            if self.now.as_millis().is_multiple_of(STEP_INTERVAL.as_millis()) {
                let first = relay.queue.front();
                let wait = first.map_or(Duration::ZERO, |call| self.now - call.arrived_at);
                relay.limit.record_delay(wait, self.now);
            }
        }
    }

    fn play(&mut self, time: Duration, load: f64, hot: Option<usize>) -> CallCounts {
        self.counts = CallCounts::default();
        let end = self.now + time;
        while self.now < end {
            self.step(load, hot);
        }
        std::mem::take(&mut self.counts)
    }
}

/// Returns the share of requests that are served while one relay, then the next, gets most connections, which callers
/// open twice as often as before.
fn served_share(rule: IntakeRule, relays: usize, seed: u64) -> f64 {
    let mut hall = SimulatedHall::new(rule, relays, seed);
    hall.play(HOT_TIME, USUAL_LOAD, None);
    let (mut sent, mut served) = (0, 0);
    for hot in 0..2 {
        let counts = hall.play(HOT_TIME, 2.0 * USUAL_LOAD, Some(hot));
        sent += counts.sent;
        served += counts.served;
    }
    f64::from(served) / f64::from(sent)
}

/// A relay that gets most connections of a hall or a region, in fleets of 25, 68 and 420 relays in 5 halls and 2 regions.
#[test]
fn requests_are_served_while_one_relay_gets_most_connections() {
    for relays in [5, 12, 14, 34, 84, 210] {
        for seed in 1..=10 {
            let share = served_share(IntakeRule::Limited, relays, seed);
            assert!(
                share > 0.9,
                "{share:.3} of the requests served at {relays} relays, seed {seed}"
            );
            let unlimited = served_share(IntakeRule::Unlimited, relays, seed);
            assert!(unlimited < 0.75, "{unlimited:.3} of them are served without a limit");
        }
    }
}

#[test]
fn no_connection_is_closed_by_a_relay_that_serves_all_in_time() {
    let mut hall = SimulatedHall::new(IntakeRule::Limited, 25, 1);
    let counts = hall.play(Duration::from_secs(30), USUAL_LOAD, None);
    assert!(counts.closed == 0 && counts.served + 25 >= counts.sent, "{} closed", counts.closed);
}

/// A pause of the whole process, such as a suspension, is no overload.
#[test]
fn one_long_pause_closes_few_connections() {
    let mut limit = IntakeLimit::default();
    limit.record_delay(Duration::from_secs(3), Duration::from_secs(4));
    let closed = (0..20).filter(|_| !limit.admits()).count();
    assert!(closed <= 6, "{closed} of 20 closed");
    limit.record_delay(Duration::ZERO, Duration::from_millis(4020));
    assert!((0..20).all(|_| limit.admits()));
}

#[test]
fn all_connections_are_served_within_a_second_after_the_load_falls() {
    let mut limit = IntakeLimit::default();
    let step = |number: u32| STEP_INTERVAL * number;
    (1..200).for_each(|number| limit.record_delay(Duration::from_millis(200), step(number)));
    assert!(limit.closed_share() > 0.9);
    (200..250).for_each(|number| limit.record_delay(Duration::ZERO, step(number)));
    assert!((0..100).all(|_| limit.admits()), "{}", limit.closed_share());
}
