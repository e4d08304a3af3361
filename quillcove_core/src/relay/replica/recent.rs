//! A bounded map for data of unlisted replicas that evicts the oldest entry first.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::ReplicaId;

/// Maximum number of replicas; a fleet with 380 restarts a day reaches it in about ten days. With
/// ids of about 20 bytes the map takes less than half a megabyte.
const MAX_REPLICAS: usize = 4096;

/// A value for each of the most recently inserted replicas.
#[derive(Clone, Debug)]
pub(super) struct BoundedReplicaMap<V> {
    values: BTreeMap<ReplicaId, V>,
    /// The ids in insertion order.
    order: VecDeque<ReplicaId>,
}

impl<V> Default for BoundedReplicaMap<V> {
    fn default() -> Self {
        Self { values: BTreeMap::new(), order: VecDeque::new() }
    }
}

impl<V> BoundedReplicaMap<V> {
    /// Returns the value of a replica, inserting `fresh()` if there is none.
    pub(super) fn get_or_insert_with(&mut self, id: &str, fresh: impl FnOnce() -> V) -> &mut V {
        if !self.values.contains_key(id) {
            self.order.push_back(id.to_string());
            if self.order.len() > MAX_REPLICAS
                && let Some(oldest) = self.order.pop_front()
            {
                self.values.remove(&oldest);
            }
        }
        self.values.entry(id.to_string()).or_insert_with(fresh)
    }

    /// Returns the value of a replica, if there is one.
    pub(super) fn get(&self, id: &str) -> Option<&V> {
        self.values.get(id)
    }

    /// Removes and returns the value of a replica.
    pub(super) fn remove(&mut self, id: &str) -> Option<V> {
        let value = self.values.remove(id)?;
        self.order.retain(|other| other != id);
        Some(value)
    }
}
