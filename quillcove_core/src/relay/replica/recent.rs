//! What is kept of replicas that are not listed: bounded, the oldest goes first.

use std::collections::{BTreeMap, VecDeque};

use crate::relay::beacon::ReplicaId;

/// Most replicas of which something is kept; ten days of a fleet with 380 restarts a day would be as many. With an
/// id of some 20 bytes each they take under half a megabyte.
const MOST_KEPT: usize = 4096;

/// A value for each of the replicas that came last.
#[derive(Clone, Debug)]
pub(super) struct RecentReplicas<V> {
    values: BTreeMap<ReplicaId, V>,
    /// The ids in the order in which they came.
    order: VecDeque<ReplicaId>,
}

impl<V> Default for RecentReplicas<V> {
    fn default() -> Self {
        Self { values: BTreeMap::new(), order: VecDeque::new() }
    }
}

impl<V> RecentReplicas<V> {
    /// The value of a replica, a fresh one if there is none.
    pub(super) fn of(&mut self, id: &str, fresh: impl FnOnce() -> V) -> &mut V {
        if !self.values.contains_key(id) {
            self.order.push_back(id.to_string());
            if self.order.len() > MOST_KEPT
                && let Some(oldest) = self.order.pop_front()
            {
                self.values.remove(&oldest);
            }
        }
        self.values.entry(id.to_string()).or_insert_with(fresh)
    }

    /// The value of a replica, if there is one.
    pub(super) fn get(&self, id: &str) -> Option<&V> {
        self.values.get(id)
    }

    /// Takes out the value of a replica.
    pub(super) fn remove(&mut self, id: &str) -> Option<V> {
        let value = self.values.remove(id)?;
        self.order.retain(|other| other != id);
        Some(value)
    }
}
