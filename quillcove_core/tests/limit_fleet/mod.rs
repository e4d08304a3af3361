//! A fleet of relays that share one workspace's limit, with no network: messages take time and get lost,
//! relays are cut off from each other and start again.

use std::collections::VecDeque;
use std::time::Duration;

use quillcove_core::access::ledger::{FleetSize, HEARD_LIFETIME, LimitLedger};
use quillcove_core::access::limit::{LimitRule, LimitRules, UseClaim, UseLimit, UseUnit};
use quillcove_core::access::spending::UsageReport;
use quillcove_core::access::workspace::WorkspaceRecord;

/// Time between two steps of the fleet.
const STEP: Duration = Duration::from_millis(10);

/// Time between beacons, as relays send them.
const BEACON_INTERVAL: Duration = Duration::from_millis(500);

/// Time between looks at whether something is to be told at once, as relays do.
const TICK: Duration = Duration::from_millis(50);

/// Silence after which a relay no longer counts as there.
const RELAY_LIFETIME: Duration = Duration::from_millis(1600);

/// Time from the start until the demand begins, in which relays hear each other.
pub const LEAD: Duration = Duration::from_secs(4);

/// Length of a run after that.
const LENGTH: Duration = Duration::from_secs(24);

/// Units of one request: a common prompt and its answer.
const COST: u64 = 1540;

/// The limit, in units a second: that of a large workspace of the users.
const RATE: f64 = 140_000.0;

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadPattern {
    pub name: &'static str,
    pub relays: usize,
    /// Demand in limits, from the first to the second time after the lead; 0.55 otherwise.
    pub flood: f64,
    pub flood_from: u64,
    pub flood_until: u64,
    /// Share of the demand that reaches the first relay.
    pub first_share: f64,
    pub loss: f64,
    pub delay: Duration,
    /// Number of parts into which the fleet is cut, from the first to the second time.
    pub parts: usize,
    pub cut_from: u64,
    pub cut_until: u64,
    /// Share of the fleet of which each relay is cut off from all others meanwhile.
    pub first_cut: f64,
    /// Seconds after the lead at which all relays start again.
    pub restarts: &'static [u64],
    /// Seconds between restarts of one relay after the other from the start of the flood on; 0 for none.
    pub roll: f64,
}

impl LoadPattern {
    /// A flood of the workspace at eight times its usual, which is 4.4 times its limit.
    pub const FLOOD: Self = Self {
        name: "flood",
        relays: 25,
        flood: 4.4,
        flood_from: 4,
        flood_until: 14,
        first_share: 0.0,
        loss: 0.0,
        delay: Duration::from_millis(5),
        parts: 1,
        cut_from: 0,
        cut_until: 0,
        first_cut: 0.0,
        restarts: &[],
        roll: 0.0,
    };

    /// Demand within the limit only.
    pub const USUAL: Self = Self { name: "usual", flood: 0.55, ..Self::FLOOD };
}

/// What came of a run.
#[derive(Clone, Copy, Debug)]
pub struct FleetResult {
    /// Most units in a window, over what the users let pass.
    pub worst_window: f64,
    /// Share of requests refused while the demand was within the limit, outside of a second after a
    /// flood, a cut or a restart.
    pub wrongly_refused: f64,
    /// The same at relays that hear most others, while some are cut off and the demand is usual.
    pub refused_by_most: f64,
    /// The same within two seconds after all have started again.
    pub refused_at_start: f64,
    /// Units that ran during the flood, over what the limit allows.
    pub flood_use: f64,
    /// Messages a second a relay.
    pub messages: f64,
}

/// A random sequence that is the same on every machine.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as f64) / f64::from(1u32 << 31)
    }
}

enum Word {
    /// A beacon of a relay that has just started.
    Greeting,
    Beacon,
    Spent(UsageReport),
}

struct Relay {
    ledger: LimitLedger,
    started: Duration,
    incarnation: u64,
    heard: Vec<Option<Duration>>,
    most: usize,
}

impl Relay {
    fn new(rules: LimitRules, relays: usize, started: Duration, incarnation: u64) -> Self {
        let ledger = LimitLedger::new(rules);
        Self { ledger, started, incarnation, heard: vec![None; relays], most: 1 }
    }
}

struct Fleet {
    pattern: LoadPattern,
    rules: LimitRules,
    workspace: WorkspaceRecord,
    relays: Vec<Relay>,
    on_the_way: VecDeque<(Duration, usize, usize, Word)>,
    draws: Draws,
    ran: Vec<(Duration, u64)>,
    usual: (u64, u64),
    started: (u64, u64),
    by_most: (u64, u64),
    rolled: usize,
    sent: u64,
}

/// Plays a pattern with a rule.
pub fn play(pattern: LoadPattern, rule: LimitRule, seed: u64) -> FleetResult {
    let rules = LimitRules { tolerance: 11_000.0, rule, ..LimitRules::default() };
    let unit = UseUnit::Tokens { plain: 200 };
    let limit = UseLimit { unit, rate: RATE, burst: RATE };
    let workspace = WorkspaceRecord { name: "w".into(), priority: None, limit: Some(limit) };
    let fresh = |place| Relay::new(rules, pattern.relays, Duration::ZERO, place as u64);
    let relays = (0..pattern.relays).map(fresh).collect();
    let mut fleet = Fleet {
        pattern,
        rules,
        workspace,
        relays,
        on_the_way: VecDeque::new(),
        draws: Draws(seed),
        ran: Vec::new(),
        usual: (0, 0),
        started: (0, 0),
        by_most: (0, 0),
        rolled: 0,
        sent: 0,
    };
    let mut now = Duration::ZERO;
    while now < LEAD + LENGTH {
        fleet.step(now);
        now += STEP;
    }
    fleet.result(limit)
}

impl Fleet {
    fn second(&self, now: Duration) -> Option<f64> {
        now.checked_sub(LEAD).map(|passed| passed.as_secs_f64())
    }

    fn is_flooded(&self, now: Duration) -> bool {
        let (from, until) = (self.pattern.flood_from as f64, self.pattern.flood_until as f64);
        self.second(now).is_some_and(|second| second >= from && second < until)
    }

    /// Whether trouble has been over for long enough that every refusal within the limit is a fault.
    fn is_usual(&self, now: Duration) -> bool {
        let Some(second) = self.second(now) else {
            return false;
        };
        let pattern = &self.pattern;
        let mut troubles: Vec<(u64, u64)> = pattern.restarts.iter().map(|at| (*at, *at)).collect();
        if pattern.flood > 1.0 {
            troubles.push((pattern.flood_from, pattern.flood_until));
        }
        if pattern.parts > 1 || pattern.first_cut > 0.0 {
            troubles.push((pattern.cut_from, pattern.cut_until));
        }
        // Relays that start take two seconds to hear each other and to fill their accounts.
        troubles.iter().all(|(from, until)| second < *from as f64 || second > *until as f64 + 2.0)
    }

    /// Whether all relays have started again within the last two seconds, while the demand is usual.
    fn has_started(&self, now: Duration) -> bool {
        let Some(second) = self.second(now) else {
            return false;
        };
        let is_recent = |at: &u64| second >= *at as f64 && second < *at as f64 + 2.0;
        !self.is_flooded(now) && self.pattern.restarts.iter().any(is_recent)
    }

    fn is_cut(&self, from: usize, to: usize, now: Duration) -> bool {
        let pattern = &self.pattern;
        let (begin, end) = (pattern.cut_from as f64, pattern.cut_until as f64);
        let is_time = self.second(now).is_some_and(|second| second >= begin && second < end);
        let is_off = |place: usize| (place as f64) < pattern.first_cut * pattern.relays as f64;
        is_time && (is_off(from) || is_off(to) || from % pattern.parts != to % pattern.parts)
    }

    fn step(&mut self, now: Duration) {
        self.restart(now);
        self.deliver(now);
        let ticks = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        let place_of = |place: usize| now + STEP * place as u32;
        for place in 0..self.relays.len() {
            let is_beacon = place_of(place).as_millis().is_multiple_of(BEACON_INTERVAL.as_millis());
            if is_beacon {
                self.send(place, || Word::Beacon, now);
            }
            if is_beacon || ticks(TICK) {
                self.tell(place, is_beacon, now);
            }
        }
        self.demand(now);
    }

    fn restart(&mut self, now: Duration) {
        let starts = |at: &&u64| LEAD + Duration::from_secs(**at) == now;
        if self.pattern.restarts.iter().any(|at| starts(&at)) {
            (0..self.relays.len()).for_each(|place| self.start_again(place, now));
        }
        let since_flood = self.second(now).unwrap_or(0.0) - self.pattern.flood_from as f64;
        let is_due = since_flood >= self.pattern.roll * self.rolled as f64;
        if self.pattern.roll > 0.0 && is_due && since_flood >= 0.0 {
            self.start_again(self.rolled % self.relays.len(), now);
            self.rolled += 1;
        }
    }

    /// A relay starts again, and greets all.
    fn start_again(&mut self, place: usize, now: Duration) {
        let incarnation = self.relays[place].incarnation + 1000;
        self.relays[place] = Relay::new(self.rules, self.relays.len(), now, incarnation);
        self.send(place, || Word::Greeting, now);
    }

    fn tell(&mut self, place: usize, is_beacon: bool, now: Duration) {
        let pattern_relays = self.relays.len();
        let relay = &mut self.relays[place];
        let own = now - relay.started;
        let is_heard = |heard: &Option<Duration>| heard.is_some_and(|at| now < at + RELAY_LIFETIME);
        for other in 0..pattern_relays {
            if relay.heard[other].is_some() && !is_heard(&relay.heard[other]) {
                relay.heard[other] = None;
                relay.ledger.forget(&other.to_string());
            }
        }
        let known = relay.heard.iter().filter(|heard| is_heard(heard)).count() + 1;
        relay.most = relay.most.max(known);
        let is_recent =
            |heard: &&Option<Duration>| heard.is_some_and(|at| now < at + HEARD_LIFETIME);
        let heard = relay.heard.iter().filter(is_recent).count() + 1;
        relay.ledger.set_fleet(FleetSize { reachable: heard, most: relay.most }, own);
        let spent = relay.ledger.tell(is_beacon, own);
        if spent.is_empty() {
            return;
        }
        let (host, incarnation) = (place.to_string(), relay.incarnation);
        let levels = Vec::new();
        let beacon = UsageReport { host, incarnation, uptime: own, spent, levels };
        self.send(place, || Word::Spent(beacon.clone()), now);
    }

    fn send(&mut self, from: usize, word: impl Fn() -> Word, now: Duration) {
        for to in 0..self.relays.len() {
            if to == from {
                continue;
            }
            self.sent += 1;
            let is_lost = self.draws.next() < self.pattern.loss;
            if !is_lost && !self.is_cut(from, to, now) {
                self.on_the_way.push_back((now + self.pattern.delay, from, to, word()));
            }
        }
    }

    fn deliver(&mut self, now: Duration) {
        while self.on_the_way.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, to, word)) = self.on_the_way.pop_front() else {
                return;
            };
            let limit = self.workspace.limit;
            let relay = &mut self.relays[to];
            let own = now.saturating_sub(relay.started);
            match word {
                Word::Beacon | Word::Greeting => {
                    let is_new = relay.heard[from].is_none() || matches!(word, Word::Greeting);
                    relay.heard[from] = Some(now);
                    if is_new {
                        self.answer(to, from, now);
                    }
                },
                Word::Spent(beacon) => relay.ledger.record_report(&beacon, |_| limit, own),
            }
        }
    }

    /// Tells a relay that is new to another one what is left, and that the other one is there.
    fn answer(&mut self, from: usize, to: usize, now: Duration) {
        let relay = &mut self.relays[from];
        let own = now.saturating_sub(relay.started);
        let levels = relay.ledger.levels(own);
        let (host, incarnation) = (from.to_string(), relay.incarnation);
        let (uptime, spent) = (own, Vec::new());
        let beacon = UsageReport { host, incarnation, uptime, spent, levels };
        let is_lost = self.draws.next() < self.pattern.loss;
        if !is_lost && !self.is_cut(from, to, now) {
            let at = now + self.pattern.delay;
            self.on_the_way.push_back((at, from, to, Word::Beacon));
            self.on_the_way.push_back((at, from, to, Word::Spent(beacon)));
        }
    }

    fn demand(&mut self, now: Duration) {
        if self.second(now).is_none() {
            return;
        }
        let level = if self.is_flooded(now) { self.pattern.flood } else { 0.55 };
        let wanted = RATE * level * STEP.as_secs_f64() / COST as f64;
        let whole = wanted.floor() as usize;
        let requests = whole + usize::from(self.draws.next() < wanted.fract());
        for _ in 0..requests {
            let is_first = self.draws.next() < self.pattern.first_share;
            let drawn = (self.draws.next() * self.relays.len() as f64) as usize;
            let place = if is_first { 0 } else { drawn.min(self.relays.len() - 1) };
            let relay = &mut self.relays[place];
            let own = now - relay.started;
            let claim = UseClaim { tokens: Some(COST), rank: 2 };
            let taken = relay.ledger.charge(&self.workspace, claim, own).is_ok();
            if taken {
                self.ran.push((now, COST));
            }
            if self.is_usual(now) {
                self.usual.0 += 1;
                self.usual.1 += u64::from(!taken);
            }
            let is_off = (place as f64) < self.pattern.first_cut * self.relays.len() as f64;
            if self.is_cut(0, self.relays.len() - 1, now) && !is_off && !self.is_flooded(now) {
                self.by_most.0 += 1;
                self.by_most.1 += u64::from(!taken);
            }
            if self.has_started(now) {
                self.started.0 += 1;
                self.started.1 += u64::from(!taken);
            }
        }
    }

    fn result(&self, limit: UseLimit) -> FleetResult {
        let window = self.rules.window;
        let allowed = limit.rate * window.as_secs_f64() + limit.burst;
        let passes = allowed * (1.0 + self.rules.overshoot) + self.rules.tolerance;
        let (mut first, mut sum, mut worst) = (0, 0, 0);
        for (at, cost) in &self.ran {
            sum += cost;
            while self.ran[first].0 + window <= *at {
                sum -= self.ran[first].1;
                first += 1;
            }
            worst = worst.max(sum);
        }
        let flood = self.ran.iter().filter(|(at, _)| self.is_flooded(*at));
        let flood: u64 = flood.map(|(_, cost)| cost).sum();
        let seconds = (self.pattern.flood_until - self.pattern.flood_from) as f64;
        let time = (LEAD + LENGTH).as_secs_f64();
        FleetResult {
            worst_window: worst as f64 / passes,
            wrongly_refused: self.usual.1 as f64 / self.usual.0.max(1) as f64,
            refused_by_most: self.by_most.1 as f64 / self.by_most.0.max(1) as f64,
            refused_at_start: self.started.1 as f64 / self.started.0.max(1) as f64,
            flood_use: flood as f64 / (limit.rate * seconds),
            messages: self.sent as f64 / self.relays.len() as f64 / time,
        }
    }
}
