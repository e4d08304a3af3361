//! What must hold of limits, as replicas and callers see it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use quillcove_core::ids::MonoTime;

/// Width of the window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Times a limit that may come in a window, and requests beside that.
const OVERSHOOT: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// Time from the first answer with a limit until it binds, and after a disruption of a relay until it counts again.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from an answer to a relay from which on its requests count.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateResult {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    /// Refused although a replica without a limit was there.
    pub wrongly_refused: usize,
    pub untold: usize,
    /// Windows in which more came than may, of relays that were told.
    pub broken: usize,
    /// Most that came in a window, in parts of what may.
    pub worst: f64,
    /// The same of all relays.
    pub worst_of_all: f64,
    /// Requests at needy replicas while the limit bound, and what they would have taken.
    pub came: usize,
    pub would_take: f64,
    /// Relays that still kept to a limit when the run ended, of all pairs.
    pub still_limited: usize,
}

/// One start of a replica that names a limit.
#[derive(Debug, Default)]
struct NeedyStart {
    named_at: Option<MonoTime>,
    /// Rates, and from when on each is named.
    rates: Vec<(MonoTime, f64)>,
    ended_at: Option<MonoTime>,
    told: BTreeMap<usize, MonoTime>,
    counted: VecDeque<MonoTime>,
    all: VecDeque<MonoTime>,
}

impl NeedyStart {
    /// Requests that its limit allows in the window that ends then.
    fn allowed(&self, end: MonoTime) -> f64 {
        let begin = end.saturating_sub(WINDOW);
        let ends = self.rates.iter().skip(1).map(|(from, _)| *from).chain([end]);
        let parts = self.rates.iter().zip(ends);
        let part = |((from, rate), until): (&(MonoTime, f64), MonoTime)| {
            let time = until.min(end).saturating_sub((*from).max(begin));
            rate * time.as_secs_f64()
        };
        // Before it named one, a window has the first.
        let first = self.rates.first().map_or(0.0, |(from, rate)| {
            rate * from.saturating_sub(begin).min(WINDOW).as_secs_f64()
        });
        OVERSHOOT * (first + parts.map(part).sum::<f64>()) + EXTRA
    }
}

/// Watches a run.
#[derive(Default)]
pub struct RateOracle {
    result: RateResult,
    starts: BTreeMap<(usize, u64), NeedyStart>,
    /// Until when a relay is excused.
    excused: BTreeMap<usize, MonoTime>,
}

impl RateOracle {
    pub fn result(&self) -> RateResult {
        self.result
    }

    pub fn asked(&mut self) {
        self.result.asked += 1;
    }

    pub fn served(&mut self) {
        self.result.served += 1;
    }

    pub fn refused(&mut self, can_serve: bool, retry_after: Option<Duration>) {
        self.result.refused += 1;
        self.result.wrongly_refused += usize::from(can_serve);
        self.result.untold += usize::from(retry_after.is_none());
    }

    pub fn still_limited(&mut self, pairs: usize) {
        self.result.still_limited = pairs;
    }

    /// A relay stands still, starts or is cut off until then.
    pub fn excuse(&mut self, relay: usize, until: MonoTime) {
        self.excused.insert(relay, until + CONTACT);
    }

    /// A relay that starts anew has been told nothing.
    pub fn forget(&mut self, relay: usize) {
        for start in self.starts.values_mut() {
            start.told.remove(&relay);
        }
    }

    /// A start of a replica names this rate from now on.
    pub fn name(&mut self, replica: usize, born: u64, rate: f64, now: MonoTime) {
        self.starts.entry((replica, born)).or_default().rates.push((now, rate));
    }

    /// It names none any more, or is gone.
    pub fn end(&mut self, replica: usize, born: u64, now: MonoTime) {
        if let Some(start) = self.starts.get_mut(&(replica, born)) {
            start.ended_at.get_or_insert(now);
        }
    }

    /// A relay has passed on an answer with a limit.
    pub fn told(&mut self, relay: usize, replica: usize, born: u64, now: MonoTime) {
        let start = self.starts.entry((replica, born)).or_default();
        start.named_at.get_or_insert(now);
        start.told.entry(relay).or_insert(now);
    }

    /// A request has reached a replica.
    pub fn reached(&mut self, relay: usize, replica: usize, born: u64, now: MonoTime) {
        let excused = self.excused.get(&relay).is_some_and(|until| now < *until);
        let Some(start) = self.starts.get_mut(&(replica, born)) else {
            return;
        };
        let Some(named) = start.named_at.filter(|_| start.ended_at.is_none()) else {
            return;
        };
        let is_told = start.told.get(&relay).is_some_and(|told| now >= *told + TOLD_AFTER);
        if now < named + CONTACT {
            return;
        }
        let allowed = start.allowed(now);
        let push = |arrivals: &mut VecDeque<MonoTime>| {
            arrivals.push_back(now);
            while arrivals.front().is_some_and(|first| now.saturating_sub(*first) > WINDOW) {
                arrivals.pop_front();
            }
            arrivals.len() as f64
        };
        self.result.came += 1;
        self.result.worst_of_all = self.result.worst_of_all.max(push(&mut start.all) / allowed);
        if is_told && !excused {
            let count = push(&mut start.counted);
            self.result.worst = self.result.worst.max(count / allowed);
            self.result.broken += usize::from(count > allowed);
        }
    }

    /// What needy replicas would have taken while their limits bound.
    pub fn finish(&mut self, end: MonoTime) {
        for start in self.starts.values() {
            let Some(named) = start.named_at else { continue };
            let until = start.ended_at.unwrap_or(end);
            let mean = start.rates.iter().map(|(_, rate)| rate).sum::<f64>();
            let mean = mean / start.rates.len().max(1) as f64;
            let bound = until.saturating_sub(named + CONTACT);
            self.result.would_take += mean * bound.as_secs_f64();
        }
    }
}
