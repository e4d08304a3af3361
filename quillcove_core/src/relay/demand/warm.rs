//! Which adapters the engines' hosts still have copies of.

use std::collections::BTreeMap;

use crate::ids::MonoTime;
use crate::relay::beacon::{AdapterKey, ReplicaId};
use crate::relay::replica::ReplicaView;

/// Adapters of one engine that are taken to have a copy in its host's memory: a few times those in
/// the engine.
const COPY_LIMIT: usize = 100;

/// When each engine was last reported to hold an adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmCopies {
    engines: BTreeMap<ReplicaId, BTreeMap<AdapterKey, MonoTime>>,
}

impl WarmCopies {
    /// Takes what an engine holds now.
    pub(super) fn note(&mut self, view: &ReplicaView, now: MonoTime) {
        let copies = self.engines.entry(view.record.id.clone()).or_default();
        for held in view.adapters(now) {
            match copies.get_mut(&held.key) {
                Some(seen) => *seen = now,
                None => drop(copies.insert(held.key.clone(), now)),
            }
        }
        forget_oldest(copies);
    }

    /// Forgets an engine that is gone or lost its memory.
    pub(super) fn forget(&mut self, replica: &str) {
        self.engines.remove(replica);
    }

    /// Tells whether an engine's host has a copy.
    pub(super) fn has(&self, replica: &str, key: &AdapterKey) -> bool {
        self.engines.get(replica).is_some_and(|copies| copies.contains_key(key))
    }
}

/// Keeps the copies that were held last.
fn forget_oldest(copies: &mut BTreeMap<AdapterKey, MonoTime>) {
    while copies.len() > COPY_LIMIT {
        let oldest = copies.iter().min_by_key(|(_, seen)| **seen).map(|(key, _)| key.clone());
        let Some(key) = oldest else {
            return;
        };
        copies.remove(&key);
    }
}
