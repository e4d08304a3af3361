//! Choice of the replica for one attempt.
//!
//! An adapter that sits in one engine has its prompt parts there too, so requests of one adapter
//! need no further affinity. Between several holders the less loaded one goes first; a hop to
//! another hall counts as a share of a batch.

use super::beacon::AdapterKey;
use super::replica::ReplicaView;
use crate::ids::{AdapterVersion, HallName, ModelName, MonoTime};
use crate::rendezvous;

/// Load, in shares of a replica's places, that a hop to another hall is worth. Halls are a
/// millisecond apart, which is the step time that a tenth of a batch adds.
const FAR_PENALTY: f64 = 0.1;

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

/// The best of several replicas: the least loaded, near ones first; the draw tells equals apart.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::routing::choose;
///
/// assert!(choose(&[], "hall-a", Duration::ZERO, 0).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a ReplicaView],
    hall: &str,
    now: MonoTime,
    draw: u64,
) -> Option<&'a ReplicaView> {
    let key = draw.to_string();
    let cost = |view: &ReplicaView| view.load(now) + distance(&view.record.hall, hall);
    let tie = |view: &ReplicaView| rendezvous::weight(&key, &view.record.id);
    candidates
        .iter()
        .copied()
        .min_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| tie(a).cmp(&tie(b))))
}

fn distance(hall: &HallName, own: &str) -> f64 {
    if hall == own { 0.0 } else { FAR_PENALTY }
}
