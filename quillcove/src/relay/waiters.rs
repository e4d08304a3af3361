//! Requests that wait for an adapter, grouped by adapter, so that a loaded adapter notifies only the requests for it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quillcove_core::ids::AdapterKey;
use quillcove_core::relay::beacon::HeldAdapter;
use tokio::sync::Notify;

/// Requests that wait for one adapter.
#[derive(Default)]
struct WaitingGroup {
    notify: Arc<Notify>,
    members: usize,
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

    /// Registers a request as waiting for an adapter until the returned guard is dropped.
    pub fn join(&self, key: &AdapterKey) -> WaiterGuard<'_> {
        let mut groups = self.groups();
        let group = groups.entry(key.clone()).or_default();
        group.members += 1;
        WaiterGuard { waiters: self, key: key.clone(), notify: group.notify.clone() }
    }

    /// Notifies the requests that wait for adapters which an engine now holds.
    pub fn notify_loaded(&self, held: &[HeldAdapter]) {
        let groups = self.groups();
        let notified = held.iter().filter_map(|held| groups.get(&held.key));
        notified.for_each(|group| group.notify.notify_waiters());
    }

    /// Notifies all waiting requests.
    pub fn notify_all(&self) {
        self.groups().values().for_each(|group| group.notify.notify_waiters());
    }
}

/// Registration of one waiting request, removed on drop.
pub struct WaiterGuard<'a> {
    waiters: &'a AdapterWaiters,
    key: AdapterKey,
    pub notify: Arc<Notify>,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut groups = self.waiters.groups();
        if let Some(group) = groups.get_mut(&self.key) {
            group.members -= 1;
            if group.members == 0 {
                groups.remove(&self.key);
            }
        }
    }
}
