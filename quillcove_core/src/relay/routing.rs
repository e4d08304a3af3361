//! Choice of the replica for one attempt.
//!
//! An adapter that sits in one engine has its prompt parts there too, so requests of one adapter
//! need no further affinity. Between several holders the less loaded one goes first; a hop to
//! another hall counts as a share of a batch.

use std::time::Duration;

use super::beacon::AdapterKey;
use super::reading::{ReadingNorm, ReadingPrompt};
use super::replica::ReplicaView;
use crate::ids::{AdapterVersion, ModelName, MonoTime};
use crate::rendezvous;

/// Load, in shares of a replica's places, that a hop to another hall is worth. Halls are a
/// millisecond apart, which is the step time that a tenth of a batch adds.
const FAR_PENALTY: f64 = 0.1;

/// Time to a first event that a hop to another hall is worth. Halls are a millisecond or two apart,
/// and what crosses them is paid for.
const FAR_TIME: Duration = Duration::from_millis(20);

/// Time to a first event that an engine's last free place is worth: a full batch makes every step
/// of the requests in it longer, and the next request waits for one of them to end.
const FULL_TIME: Duration = Duration::from_millis(400);

/// Load of an engine at which another copy of its adapter is asked for, in shares of its places.
pub const SPREAD_LOAD: f64 = 0.7;

/// What a replica must hold to take a request.
#[derive(Clone, Copy, Debug)]
pub enum HoldingNeed<'a> {
    /// Nothing.
    Nothing,
    /// A base model.
    Model(&'a ModelName),
    /// An adapter, at least in this version.
    Adapter(&'a AdapterKey, AdapterVersion),
}

impl HoldingNeed<'_> {
    /// Tells whether a replica holds it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::relay::routing::HoldingNeed;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let view = table.get("i-1").unwrap();
    /// assert!(HoldingNeed::Model(&"m".to_string()).is_met_by(view, Duration::ZERO));
    /// ```
    pub fn is_met_by(&self, view: &ReplicaView, now: MonoTime) -> bool {
        match self {
            Self::Nothing => true,
            Self::Model(model) => view.models(now).contains(model),
            Self::Adapter(key, least) => {
                view.version_of(key, now).is_some_and(|version| version >= *least)
            },
        }
    }
}

/// What a choice weighs.
#[derive(Clone, Copy, Debug)]
pub struct RoutingCost<'a> {
    /// The request's prompt; `None` for plain calls.
    pub prompt: Option<ReadingPrompt>,
    /// What the service's engines have in common.
    pub norm: &'a ReadingNorm,
    /// Hall of this process.
    pub hall: &'a str,
}

impl RoutingCost<'_> {
    /// The cost of a replica, in seconds.
    fn of(&self, view: &ReplicaView, now: MonoTime) -> f64 {
        let is_far = view.record.hall != self.hall;
        match self.prompt {
            None => view.load(now) + if is_far { FAR_PENALTY } else { 0.0 },
            Some(prompt) => {
                let reading = view.reading.time_to_read(prompt, self.norm).as_secs_f64();
                let far = if is_far { FAR_TIME.as_secs_f64() } else { 0.0 };
                reading + view.share_of_places(now) * FULL_TIME.as_secs_f64() + far
            },
        }
    }
}

/// Relays from which on each chooses among a few candidates only.
const MANY_RELAYS: usize = 16;

/// Candidates among which each of many relays chooses.
const SAMPLE: usize = 3;

/// The candidates among which one of so many relays chooses. What relays know of an engine's queue is
/// some hundred milliseconds old; if each of many chose the best of all, they would all choose the same
/// one in that time. Choosing the better of a few drawn ones spreads them (Mitzenmacher, 2001, "The
/// power of two choices in randomized load balancing").
///
/// ```
/// use quillcove_core::relay::routing::sample;
///
/// assert!(sample(&[], 68, 0).is_empty());
/// ```
pub fn sample<'a>(
    candidates: &[&'a ReplicaView],
    relays: usize,
    draw: u64,
) -> Vec<&'a ReplicaView> {
    let mut sampled = candidates.to_vec();
    if relays >= MANY_RELAYS && sampled.len() > SAMPLE {
        let key = draw.to_string();
        sampled.sort_by_cached_key(|view| rendezvous::weight(&key, &view.record.id));
        sampled.truncate(SAMPLE);
    }
    sampled
}

/// The best of several replicas: the one that answers soonest, near ones first; the draw tells equals
/// apart.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::reading::ReadingNorm;
/// use quillcove_core::relay::routing::{RoutingCost, choose};
///
/// let norm = ReadingNorm::default();
/// let cost = RoutingCost { prompt: None, norm: &norm, hall: "hall-a" };
/// assert!(choose(&[], &cost, Duration::ZERO, 0).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a ReplicaView],
    cost: &RoutingCost<'_>,
    now: MonoTime,
    draw: u64,
) -> Option<&'a ReplicaView> {
    let key = draw.to_string();
    let tie = |view: &ReplicaView| rendezvous::weight(&key, &view.record.id);
    candidates.iter().copied().min_by(|a, b| {
        let by_cost = cost.of(a, now).total_cmp(&cost.of(b, now));
        by_cost.then_with(|| tie(a).cmp(&tie(b)))
    })
}
