//! What must hold of replicas' words, as the replicas and callers see it.

use std::collections::HashMap;
use std::time::Duration;

use quillcove_core::ids::MonoTime;

use super::DRAIN_TIME;

/// Time after an answer that asks for rest within which what is on its way may still come.
const REST_SLACK: Duration = Duration::from_millis(500);

/// Requests that may come in the rest of a rest.
const MOST_IN_REST: usize = 2;

/// Width of the window in which arrivals after a rest are counted.
const HERD_WINDOW: Duration = Duration::from_millis(100);

/// A relay, a replica, and a start of that.
type StartKey = (usize, usize, u64);

/// One rest that was asked of a relay.
#[derive(Clone, Copy, Debug)]
struct AskedRest {
    at: MonoTime,
    until: MonoTime,
    came: usize,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct WordResult {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    /// Refused although a replica was there that would have taken it.
    pub wrongly_refused: usize,
    /// Refused with no time at which to come back.
    pub untold: usize,
    pub failed: usize,
    pub repeats: usize,
    /// Requests that reached a replica after the bound.
    pub late: usize,
    /// Requests that reached a replica in its rest, beside what was on its way.
    pub in_rest: usize,
    /// Rests in which more came than may.
    pub broken_rests: usize,
    /// Most arrivals at a replica within 100 ms in the second after a rest.
    pub herd: usize,
}

/// Watches a run.
pub struct WordOracle {
    result: WordResult,
    leaving: HashMap<StartKey, MonoTime>,
    rests: HashMap<StartKey, Vec<AskedRest>>,
    /// Until when a relay stood still or had just started.
    excused: HashMap<usize, MonoTime>,
    /// End of the last rest of a replica, by any relay, and arrivals after it in each window.
    ends: Vec<MonoTime>,
    after: Vec<HashMap<u128, usize>>,
}

impl WordOracle {
    pub fn new(replicas: usize) -> Self {
        Self {
            result: WordResult::default(),
            leaving: HashMap::new(),
            rests: HashMap::new(),
            excused: HashMap::new(),
            ends: vec![Duration::ZERO; replicas],
            after: vec![HashMap::new(); replicas],
        }
    }

    pub fn result(&self) -> WordResult {
        self.result
    }

    pub fn asked(&mut self) {
        self.result.asked += 1;
    }

    pub fn served(&mut self) {
        self.result.served += 1;
    }

    pub fn failed(&mut self) {
        self.result.failed += 1;
    }

    pub fn repeated(&mut self) {
        self.result.repeats += 1;
    }

    pub fn refused(&mut self, can_serve: bool, retry_after: Option<Duration>) {
        self.result.refused += 1;
        self.result.wrongly_refused += usize::from(can_serve);
        self.result.untold += usize::from(retry_after.is_none());
    }

    /// A relay stood still until then, or started then.
    pub fn excuse(&mut self, relay: usize, until: MonoTime) {
        self.excused.insert(relay, until);
    }

    fn is_excused(&self, relay: usize, since: MonoTime) -> bool {
        self.excused.get(&relay).is_some_and(|until| *until >= since)
    }

    /// A relay has had an answer by which a replica says that it leaves.
    pub fn said_leaving(&mut self, relay: usize, replica: usize, born: u64, now: MonoTime) {
        self.leaving.entry((relay, replica, born)).or_insert(now);
    }

    /// A replica has asked a relay for rest.
    pub fn asked_rest(
        &mut self,
        relay: usize,
        replica: usize,
        born: u64,
        at: MonoTime,
        rest: Duration,
    ) {
        let rests = self.rests.entry((relay, replica, born)).or_default();
        rests.push(AskedRest { at, until: at + rest, came: 0 });
        if at + rest > self.ends[replica] {
            self.ends[replica] = at + rest;
            self.after[replica].clear();
        }
    }

    /// Tells whether a replica has asked a relay for a rest that is not over.
    pub fn rests(&self, relay: usize, replica: usize, born: u64, now: MonoTime) -> bool {
        let rests = self.rests.get(&(relay, replica, born));
        // A relay returns somewhat later than it may.
        let slack = Duration::from_millis(1100);
        rests.is_some_and(|rests| rests.iter().any(|rest| now < rest.until + slack))
    }

    /// A request has reached a replica.
    pub fn reached(
        &mut self,
        relay: usize,
        replica: usize,
        born: u64,
        received: MonoTime,
        now: MonoTime,
    ) {
        let key = (relay, replica, born);
        if let Some(said) = self.leaving.get(&key)
            && received > *said + DRAIN_TIME
            && !self.is_excused(relay, *said)
        {
            self.result.late += 1;
        }
        let excused = self.excused.get(&relay).copied();
        for rest in self.rests.get_mut(&key).into_iter().flatten() {
            let is_excused = excused.is_some_and(|until| until >= rest.at);
            if now > rest.at + REST_SLACK && now < rest.until && !is_excused {
                rest.came += 1;
                self.result.in_rest += 1;
                self.result.broken_rests += usize::from(rest.came == MOST_IN_REST + 1);
            }
        }
        let end = self.ends[replica];
        if !end.is_zero() && now >= end && now < end + Duration::from_secs(1) {
            let window = (now - end).as_millis() / HERD_WINDOW.as_millis();
            let count = self.after[replica].entry(window).or_insert(0);
            *count += 1;
            self.result.herd = self.result.herd.max(*count);
        }
    }
}
