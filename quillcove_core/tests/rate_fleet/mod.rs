//! A fleet of relays before replicas that name limits, with no network: connections, answers and datagrams take time
//! and get lost, relays are cut off from one another, stand still and start again.

mod oracle;
mod pattern;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{LimitUpdate, OtherRelays};
use quillcove_core::relay::machine::{
    AttemptOrder, RelayChoice, RelayMachine, RelayQuery, RelayRules,
};
use quillcove_core::relay::policy::RelayPolicy;
use quillcove_core::relay::replica::{AttemptOutcome, ReplicaRecord, example_record};
use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig, ServiceRecord};
use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
use quillcove_core::standing::limit::RateLimit;
use quillcove_core::standing::notice::UpstreamNotice;

use self::oracle::RateOracle;
pub use self::oracle::RateResult;
pub use self::pattern::{RatePattern, RateRule, SimCut};

/// Time between two beacons of a relay, and for which one that was heard counts as there.
const BEACON_INTERVAL: Duration = Duration::from_millis(500);
const RELAY_LIFETIME: Duration = Duration::from_millis(1600);

/// Time from a request at a replica to its answer.
const HEAD_TIME: Duration = Duration::from_millis(40);

/// Time by which a packet that gets lost comes later.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// Time that a relay stands still.
const FREEZE_TIME: Duration = Duration::from_secs(3);

/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(8);

struct SimReplica {
    record: ReplicaRecord,
    born: u64,
    is_needy: bool,
    rate: Option<f64>,
}

struct SimRelay {
    machine: RelayMachine,
    /// Rises with each start.
    run: u32,
    frozen_until: MonoTime,
    heard: BTreeMap<usize, MonoTime>,
}

/// A request on its way to a replica, or its answer.
struct SimAttempt {
    relay: usize,
    run: u32,
    order: AttemptOrder,
    replica: usize,
}

enum SimEvent {
    Ask,
    Send(SimAttempt),
    Reach(SimAttempt),
    Answer(SimAttempt, u64, Option<f64>),
    Beacon(usize, u32),
    Heard(usize, Option<LimitUpdate>),
    Need(Option<f64>),
    Freeze,
    Restart,
    NewStarts,
}

struct Timed(Reverse<(MonoTime, u64)>, SimEvent);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// The fleet.
pub struct RateFleet {
    pattern: RatePattern,
    rule: RateRule,
    now: MonoTime,
    events: BinaryHeap<Timed>,
    numbers: u64,
    draws: u64,
    relays: Vec<SimRelay>,
    replicas: Vec<SimReplica>,
    index: HashMap<String, usize>,
    route: Arc<RouteRecord>,
    oracle: RateOracle,
}

impl RateFleet {
    /// Plays a pattern, and gives what came of it.
    pub fn play(pattern: RatePattern, rule: RateRule, seed: u64) -> RateResult {
        let mut fleet = Self::new(pattern, rule, seed);
        while let Some(Timed(Reverse((at, _)), event)) = fleet.events.pop() {
            if at > pattern.length {
                break;
            }
            fleet.now = at;
            fleet.take(event);
        }
        let limited = |relay: &SimRelay| {
            relay.machine.table().all().filter(|view| view.standing.limit().is_some()).count()
        };
        let still = fleet.relays.iter().map(limited).sum();
        fleet.oracle.still_limited(still);
        fleet.oracle.finish(pattern.length);
        fleet.oracle.result()
    }

    fn new(pattern: RatePattern, rule: RateRule, seed: u64) -> Self {
        let route = RouteRecord {
            name: "r".to_string(),
            host: "a.example".to_string(),
            prefix: "/".to_string(),
            kind: RouteKind::Safe,
            timeout: PATIENCE,
            aim: Duration::from_millis(300),
            patience: None,
            priority: 1,
            attempt_limit: 2,
            target_gap: None,
            is_public: true,
            targets: vec![RouteShare { service: "s".to_string(), weight: 1 }],
        };
        let needy = (pattern.replicas as f64 * pattern.needy).ceil() as usize;
        let replica = |number: usize| SimReplica {
            record: ReplicaRecord {
                places: 64,
                address: format!("127.1.{}.{}:1", number / 200, number % 200).parse().unwrap(),
                ..example_record(&format!("i-{number}"))
            },
            born: 1,
            is_needy: number < needy,
            rate: None,
        };
        let replicas: Vec<SimReplica> = (0..pattern.replicas).map(replica).collect();
        let index = replicas.iter().enumerate();
        let index = index.map(|(number, it)| (it.record.id.clone(), number)).collect();
        let mut fleet = Self {
            pattern,
            rule,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            numbers: 0,
            draws: seed,
            relays: Vec::new(),
            replicas,
            index,
            route: Arc::new(route),
            oracle: RateOracle::default(),
        };
        for relay in 0..pattern.relays {
            let others = (0..pattern.relays).filter(|other| *other != relay);
            let heard = others.map(|other| (other, Duration::ZERO)).collect();
            let machine = fleet.machine(relay, seed);
            let sim = SimRelay { machine, run: 0, frozen_until: Duration::ZERO, heard };
            fleet.relays.push(sim);
            fleet.set_peers(relay);
            let phase = fleet.millis(1, BEACON_INTERVAL.as_millis() as u64);
            fleet.after(phase, SimEvent::Beacon(relay, 0));
        }
        fleet.schedule();
        fleet
    }

    fn machine(&self, relay: usize, seed: u64) -> RelayMachine {
        let policy = RelayPolicy { sharing: self.rule.sharing(), ..RelayPolicy::default() };
        let rules = RelayRules { host: host(relay), policy, ..RelayRules::default() };
        let mut machine = RelayMachine::new(rules, seed ^ (relay as u64) << 20);
        let service = ServiceRecord {
            name: "s".to_string(),
            connection_limit: 100_000,
            cold_rate: None,
            engine: None,
        };
        let route = RouteRecord::clone(&self.route);
        machine.apply_configuration(PublishedConfig::new(
            1,
            vec![route],
            vec![service],
            CallerLimits::default(),
        ));
        for replica in &self.replicas {
            machine.list(record_of(replica), self.now);
        }
        machine
    }

    fn schedule(&mut self) {
        let second = Duration::from_secs;
        let RatePattern { need: (from, to), limits, cut, .. } = self.pattern;
        self.at(Duration::ZERO, SimEvent::Ask);
        self.at(second(from), SimEvent::Need(Some(limits.0)));
        self.at(second((from + to) / 2), SimEvent::Need(Some(limits.1)));
        self.at(second(to), SimEvent::Need(None));
        for at in self.pattern.freezes {
            self.at(second(*at), SimEvent::Freeze);
        }
        for at in self.pattern.restarts {
            self.at(second(*at), SimEvent::Restart);
        }
        for at in self.pattern.new_starts {
            self.at(second(*at), SimEvent::NewStarts);
        }
        if let Some(cut) = cut {
            for relay in 0..self.cut_off(cut) {
                self.oracle.excuse(relay, second(cut.to));
            }
        }
    }

    /// How many relays, from the first on, a cut takes from the others.
    fn cut_off(&self, cut: SimCut) -> usize {
        (self.pattern.relays as f64 * cut.share) as usize
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.pattern.cut.is_some_and(|cut| {
            let is_now = (cut.from..cut.to).contains(&self.now.as_secs());
            let cut_off = self.cut_off(cut);
            is_now && (one < cut_off) != (other < cut_off)
        })
    }

    fn at(&mut self, at: MonoTime, event: SimEvent) {
        self.numbers += 1;
        self.events.push(Timed(Reverse((at, self.numbers)), event));
    }

    fn after(&mut self, pause: Duration, event: SimEvent) {
        self.at(self.now + pause, event);
    }

    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.draws ^ (self.draws >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 16
    }

    fn chance(&mut self, share: f64) -> bool {
        (self.draw() % 10_000) < (share * 10_000.0) as u64
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.draw() % (to - from).max(1))
    }

    /// Time of a connection: mostly a kept one, sometimes a slow one.
    fn connect_time(&mut self) -> Duration {
        match self.draw() % 50 {
            0 => self.millis(100, 3000),
            _ => self.millis(0, 3),
        }
    }

    /// Time of a packet to a replica.
    fn way_time(&mut self) -> Duration {
        match self.chance(self.pattern.loss) {
            true => RESEND_TIME,
            false => self.millis(1, 5),
        }
    }

    fn take(&mut self, event: SimEvent) {
        match event {
            SimEvent::Ask => self.ask(),
            SimEvent::Send(attempt) => self.send(attempt),
            SimEvent::Reach(attempt) => self.reach(attempt),
            SimEvent::Answer(attempt, born, rate) => self.answer(attempt, born, rate),
            SimEvent::Beacon(relay, run) => self.tell(relay, run),
            SimEvent::Heard(relay, beacon) => self.hear(relay, beacon),
            SimEvent::Need(rate) => self.need(rate),
            SimEvent::Freeze => {
                for relay in (0..self.relays.len()).step_by(4) {
                    self.relays[relay].frozen_until = self.now + FREEZE_TIME;
                    self.oracle.excuse(relay, self.now + FREEZE_TIME);
                }
            },
            SimEvent::Restart => self.restart(),
            SimEvent::NewStarts => self.start_anew(),
        }
    }

    /// A relay that a caller reaches.
    fn drawn_relay(&mut self) -> usize {
        match self.chance(self.pattern.first_share) {
            true => 0,
            false => (self.draw() % self.relays.len() as u64) as usize,
        }
    }

    /// A caller's request at some relay.
    fn ask(&mut self) {
        let mean = 1_000_000 / self.pattern.rate as u64;
        let pause = Duration::from_micros(1 + self.draw() % (2 * mean));
        self.after(pause, SimEvent::Ask);
        let relay = self.drawn_relay();
        let now = self.now;
        if now < self.relays[relay].frozen_until {
            return;
        }
        self.oracle.asked();
        self.choose(relay, now + PATIENCE, &[]);
    }

    fn choose(&mut self, relay: usize, deadline: MonoTime, tried: &[String]) {
        let now = self.now;
        let query = RelayQuery {
            route: self.route.clone(),
            service: "s".to_string(),
            model: None,
            adapter: None,
            prompt_tokens: None,
            received: now,
            since_first_attempt: Duration::ZERO,
            deadline,
            choice_count: 0,
            grant: None,
            identity: None,
            parts: Vec::new(),
            origin: None,
        };
        let sim = &mut self.relays[relay];
        match sim.machine.choose(&query, tried, now) {
            RelayChoice::Send(order) => {
                sim.machine.begin_attempt(&order.replica, None, now);
                let (run, replica) = (sim.run, self.index[&order.replica]);
                let pause = self.connect_time();
                self.after(pause, SimEvent::Send(SimAttempt { relay, run, order, replica }));
            },
            RelayChoice::Refuse(refusal) => {
                let can_serve = self.replicas.iter().any(|replica| replica.rate.is_none());
                // Those whose limit has just ended return in steps.
                let can_serve = can_serve && self.pattern.needy < 1.0;
                self.oracle.refused(can_serve, refusal.retry_after);
            },
            RelayChoice::Wait(_) => unreachable!("a plain call waits for nothing"),
        }
    }

    /// How long a relay still stands still.
    fn frozen_for(&self, relay: usize) -> Option<Duration> {
        let left = self.relays[relay].frozen_until.saturating_sub(self.now);
        (!left.is_zero()).then_some(left)
    }

    fn send(&mut self, attempt: SimAttempt) {
        if let Some(left) = self.frozen_for(attempt.relay) {
            return self.after(left, SimEvent::Send(attempt));
        }
        let now = self.now;
        let sim = &mut self.relays[attempt.relay];
        if sim.run != attempt.run {
            return;
        }
        if !sim.machine.may_send(&attempt.order, now, now) {
            sim.machine.end_attempt(&attempt.order.replica, None, AttemptOutcome::Abandoned, now);
            return self.choose(attempt.relay, now + PATIENCE, &[attempt.order.replica]);
        }
        let pause = self.way_time();
        self.after(pause, SimEvent::Reach(attempt));
    }

    fn reach(&mut self, attempt: SimAttempt) {
        let SimReplica { born, rate, .. } = self.replicas[attempt.replica];
        self.oracle.reached(attempt.relay, attempt.replica, born, self.now);
        let pause = match self.draw() % 40 {
            0 => self.millis(500, 4000),
            _ => HEAD_TIME + self.millis(0, 10),
        };
        let pause = pause + self.way_time();
        self.after(pause, SimEvent::Answer(attempt, born, rate));
    }

    fn answer(&mut self, attempt: SimAttempt, born: u64, rate: Option<f64>) {
        let relay = attempt.relay;
        if let Some(left) = self.frozen_for(relay) {
            return self.after(left, SimEvent::Answer(attempt, born, rate));
        }
        let now = self.now;
        let sim = &mut self.relays[relay];
        if sim.run != attempt.run {
            return;
        }
        let SimAttempt { mut order, replica, .. } = attempt;
        sim.machine.end_attempt(&order.replica, None, AttemptOutcome::Answered, now);
        self.oracle.served();
        // The start that answered; the one that was meant may be over.
        order.start_time = Some(born);
        match rate {
            Some(rate) => {
                let limit = RateLimit::per_second(rate);
                let notice = UpstreamNotice { limit, ..UpstreamNotice::default() };
                sim.machine.record_notice(&order, &notice, now);
                if self.rule == RateRule::Alone {
                    sim.machine.set_peers(Vec::new(), now);
                }
                self.oracle.told(relay, replica, born, now);
            },
            None => drop(sim.machine.record_no_limit(&order, now)),
        }
    }

    fn tell(&mut self, relay: usize, run: u32) {
        if self.relays[relay].run != run {
            return;
        }
        if let Some(left) = self.frozen_for(relay) {
            return self.after(left, SimEvent::Beacon(relay, run));
        }
        self.after(BEACON_INTERVAL, SimEvent::Beacon(relay, run));
        let told = self.relays[relay].machine.take_due_limit_reports(self.now);
        let longest = self.pattern.delay.as_millis() as u64;
        let pause = self.millis(1, longest.max(2));
        self.after(pause, SimEvent::Heard(relay, told));
        self.set_peers(relay);
    }

    /// All others hear a beacon, but for those that it does not reach.
    fn hear(&mut self, teller: usize, told: Option<LimitUpdate>) {
        for relay in 0..self.relays.len() {
            let is_lost = self.chance(self.pattern.loss);
            if relay == teller || is_lost || self.is_cut(relay, teller) {
                continue;
            }
            if self.now < self.relays[relay].frozen_until {
                continue;
            }
            if self.relays[relay].heard.insert(teller, self.now).is_none() {
                self.set_peers(relay);
            }
            // Each message gets lost for itself.
            let is_lost = self.chance(self.pattern.loss);
            if let Some(told) = told.as_ref().filter(|_| !is_lost) {
                self.relays[relay].machine.apply_limit_reports(told, self.now);
            }
        }
    }

    /// A relay forgets others that it has not heard, and shares with those that are there.
    fn set_peers(&mut self, relay: usize) {
        let now = self.now;
        let is_alone = self.rule == RateRule::Alone;
        let sim = &mut self.relays[relay];
        sim.heard.retain(|_, heard| now.saturating_sub(*heard) < RELAY_LIFETIME);
        let count = sim.heard.len();
        sim.machine.set_others(OtherRelays { count, recent: count, lacking: 0 }, now);
        let others = sim.heard.keys().filter(|_| !is_alone).map(|other| host(*other));
        let others = others.collect();
        sim.machine.set_peers(others, now);
    }

    fn need(&mut self, rate: Option<f64>) {
        for number in 0..self.replicas.len() {
            let replica = &mut self.replicas[number];
            if !replica.is_needy {
                continue;
            }
            replica.rate = rate;
            match rate {
                Some(rate) => self.oracle.name(number, replica.born, rate, self.now),
                None => self.oracle.end(number, replica.born, self.now),
            }
        }
    }

    fn restart(&mut self) {
        for relay in (0..self.relays.len()).step_by(4) {
            let machine = self.machine(relay, self.now.as_millis() as u64);
            let sim = &mut self.relays[relay];
            sim.machine = machine;
            sim.run += 1;
            sim.heard.clear();
            let run = sim.run;
            self.oracle.excuse(relay, self.now);
            self.oracle.forget(relay);
            // It greets its seeds at once.
            self.after(Duration::from_millis(20), SimEvent::Beacon(relay, run));
        }
    }

    /// Needy replicas start again under their ids; the relays read it a moment later.
    fn start_anew(&mut self) {
        for number in 0..self.replicas.len() {
            let replica = &mut self.replicas[number];
            if !replica.is_needy {
                continue;
            }
            self.oracle.end(number, replica.born, self.now);
            replica.born += 1;
            if let Some(rate) = replica.rate {
                self.oracle.name(number, replica.born, rate, self.now);
            }
            let record = record_of(replica);
            for relay in &mut self.relays {
                relay.machine.list(record.clone(), self.now);
            }
        }
    }
}

fn host(relay: usize) -> String {
    format!("relay-{relay}")
}

fn record_of(replica: &SimReplica) -> ReplicaRecord {
    ReplicaRecord { born: Some(replica.born), ..replica.record.clone() }
}
