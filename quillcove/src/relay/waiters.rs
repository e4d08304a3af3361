//! Requests that wait for an adapter, by adapter, so that news wakes only those that it is for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quillcove_core::relay::beacon::{AdapterKey, HeldAdapter};
use tokio::sync::Notify;

/// Those who wait for one adapter.
#[derive(Default)]
struct WaitingGroup {
    news: Arc<Notify>,
    seats: usize,
}

/// All requests of a relay that wait for adapters.
#[derive(Default)]
pub struct AdapterWaiters {
    groups: Mutex<HashMap<AdapterKey, WaitingGroup>>,
}

impl AdapterWaiters {
    fn groups(&self) -> MutexGuard<'_, HashMap<AdapterKey, WaitingGroup>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request among those who wait for an adapter, for as long as its seat lives.
    pub fn join(&self, key: &AdapterKey) -> WaitingSeat<'_> {
        let mut groups = self.groups();
        let group = groups.entry(key.clone()).or_default();
        group.seats += 1;
        WaitingSeat { waiters: self, key: key.clone(), news: group.news.clone() }
    }

    /// Wakes those who wait for adapters that an engine holds now.
    pub fn tell_held(&self, held: &[HeldAdapter]) {
        let groups = self.groups();
        let told = held.iter().filter_map(|held| groups.get(&held.key));
        told.for_each(|group| group.news.notify_waiters());
    }

    /// Wakes all.
    pub fn tell_all(&self) {
        self.groups().values().for_each(|group| group.news.notify_waiters());
    }
}

/// One request among those who wait.
pub struct WaitingSeat<'a> {
    waiters: &'a AdapterWaiters,
    key: AdapterKey,
    pub news: Arc<Notify>,
}

impl Drop for WaitingSeat<'_> {
    fn drop(&mut self) {
        let mut groups = self.waiters.groups();
        if let Some(group) = groups.get_mut(&self.key) {
            group.seats -= 1;
            if group.seats == 0 {
                groups.remove(&self.key);
            }
        }
    }
}
