//! Estimates which adapters the hosts of engines still have copies of, from which an engine can load
//! them without the weight store.

use std::collections::BTreeMap;

use crate::ids::{AdapterKey, MonoTime, ReplicaId};
use crate::relay::replica::ReplicaView;

/// Maximum number of adapters per engine that are assumed to have a copy in the host's memory: a few
/// times the adapters of an engine.
const COPY_LIMIT: usize = 100;

/// The last time at which each engine reported each adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct HostCopies {
    engines: BTreeMap<ReplicaId, BTreeMap<AdapterKey, MonoTime>>,
}

impl HostCopies {
    /// Records the adapters of an engine.
    pub(super) fn record(&mut self, view: &ReplicaView, now: MonoTime) {
        let copies = self.engines.entry(view.record.id.clone()).or_default();
        for held in view.adapters(now) {
            match copies.get_mut(&held.key) {
                Some(last_seen) => *last_seen = now,
                None => drop(copies.insert(held.key.clone(), now)),
            }
        }
        remove_oldest(copies);
    }

    /// Drops an engine that is gone or has lost its memory.
    pub(super) fn remove(&mut self, replica: &str) {
        self.engines.remove(replica);
    }

    /// Returns whether an engine's host is assumed to have a copy.
    pub(super) fn contains(&self, replica: &str, key: &AdapterKey) -> bool {
        self.engines.get(replica).is_some_and(|copies| copies.contains_key(key))
    }
}

/// Drops the copies reported longest ago, down to [`COPY_LIMIT`].
fn remove_oldest(copies: &mut BTreeMap<AdapterKey, MonoTime>) {
    while copies.len() > COPY_LIMIT {
        let oldest =
            copies.iter().min_by_key(|(_, last_seen)| **last_seen).map(|(key, _)| key.clone());
        let Some(key) = oldest else {
            return;
        };
        copies.remove(&key);
    }
}
