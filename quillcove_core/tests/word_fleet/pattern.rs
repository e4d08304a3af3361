//! What happens in a run, and what relays make of it.

use std::time::Duration;

/// What relays make of replicas' words. All but the first are wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WordRule {
    /// As the relay does it.
    Kept,
    /// The next list that says ready takes the word back.
    EndedByList,
    /// The next good answer takes it back.
    EndedByGoodAnswer,
    /// It counts when a replica is chosen, and not when the request is sent.
    AtChoiceOnly,
    /// A late answer of an earlier start marks the one that is there.
    OfAnyStart,
    /// Only refusals are listened to.
    RefusalsOnly,
    /// Another relay's list that says ready takes it back.
    EndedByRelay,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct WordPattern {
    pub name: &'static str,
    pub relays: usize,
    pub replicas: usize,
    /// Requests that begin in a second, at all relays.
    pub rate: usize,
    pub length: Duration,
    /// Time between two replicas that begin to leave, one after the other from the first second on; none at zero.
    pub leave_every: Duration,
    /// Share of the replicas that begins to leave at once in the first second.
    pub reclaimed: f64,
    /// Share of the replicas that turns requests away, and in which seconds; then all do in the others.
    pub third_rests: (u64, u64),
    pub all_rest: (u64, u64),
    /// Seconds in which the store is silent.
    pub silence: (u64, u64),
    /// Seconds at which a quarter of the relays stands still for three seconds.
    pub freezes: &'static [u64],
    /// Seconds at which a quarter of the relays starts again.
    pub restarts: &'static [u64],
    /// Share of answers that are lost.
    pub loss: f64,
}

impl WordPattern {
    pub const QUIET: Self = Self {
        name: "quiet",
        relays: 4,
        replicas: 12,
        rate: 160,
        length: Duration::from_secs(10),
        leave_every: Duration::ZERO,
        reclaimed: 0.0,
        third_rests: (0, 0),
        all_rest: (0, 0),
        silence: (1, 8),
        freezes: &[],
        restarts: &[],
        loss: 0.0,
    };

    pub fn of_size(self, relays: usize, replicas: usize) -> Self {
        Self { relays, replicas, rate: (replicas * 17).div_ceil(2).max(60), ..self }
    }
}
