//! Tracks the adapter loads that were ordered from one engine until its reports show them as loaded.

use std::time::Duration;

use super::replies::AskingRelays;
use crate::crash::watch::ReplicaRun;
use crate::ids::{AdapterKey, AdapterVersion, MonoTime, ReplicaId, StartTime};
use crate::relay::beacon::{HeldAdapter, LoadRequest};

/// Time after which an ordered load that has not completed counts as lost.
const ORDERED_LIFETIME: Duration = Duration::from_secs(5);

/// Time after an order by which a load that the engine has accepted is in its report, unless it has completed.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(200);

/// Age up to which a lost load is kept, in case the engine exited during it: an engine is back some
/// seconds after its exit.
const LOST_LIFETIME: Duration = Duration::from_secs(30);

/// A load that was under way when its engine exited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenLoad {
    /// Adapter that was being loaded.
    pub key: AdapterKey,
    /// Version that was ordered; 0 for the newest.
    pub version: AdapterVersion,
    /// Process start of the engine that exited.
    pub run: ReplicaRun,
}

/// An adapter load that was ordered and has not completed.
#[derive(Clone, Debug)]
pub(super) struct OrderedLoad {
    pub key: AdapterKey,
    /// Minimum version that completes the load; the engine may hold an older one until then.
    pub min_version: AdapterVersion,
    /// Replica id of the engine at the time of the order.
    pub replica: ReplicaId,
    pub ordered_at: MonoTime,
    /// Relays that asked for it.
    pub relays: AskingRelays,
    /// Whether it has passed [`ORDERED_LIFETIME`] and is kept only to be reported if the engine exited.
    is_lost: bool,
}

impl OrderedLoad {
    /// Returns whether the engine has probably not accepted the order, or the load has failed: its report, read at
    /// `reported_at`, does not name the adapter as incoming. A report that was read too early, or lost, shows neither.
    pub fn is_unconfirmed(&self, incoming: &[HeldAdapter], reported_at: MonoTime) -> bool {
        let is_incoming = incoming.iter().any(|held| held.key == self.key);
        !is_incoming && reported_at.saturating_sub(self.ordered_at) >= CONFIRMED_WITHIN
    }

    fn is_completed_by(&self, adapters: &[HeldAdapter]) -> bool {
        adapters.iter().any(|held| held.key == self.key && held.version >= self.min_version)
    }
}

/// The ordered loads of one engine that have not completed.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderedLoads {
    loads: Vec<OrderedLoad>,
}

impl OrderedLoads {
    /// Adds a load ordered at `ordered_at` for `request`; it replaces a lost one of the same adapter, and any other
    /// one too if `replaces_pending`.
    pub fn add(
        &mut self,
        key: AdapterKey,
        request: &LoadRequest,
        relays: AskingRelays,
        ordered_at: MonoTime,
        replaces_pending: bool,
    ) {
        self.loads.retain(|load| load.key != key || !(load.is_lost || replaces_pending));
        let min_version = request.version.unwrap_or(0);
        let replica = request.replica.clone();
        let load = OrderedLoad { key, min_version, replica, ordered_at, relays, is_lost: false };
        self.loads.push(load);
    }

    /// Returns the loads that are under way.
    pub fn pending(&mut self) -> impl Iterator<Item = &mut OrderedLoad> {
        self.loads.iter_mut().filter(|load| !load.is_lost)
    }

    /// Returns the load of an adapter in this version or a newer one, if it is under way.
    pub fn pending_mut(
        &mut self,
        key: &AdapterKey,
        version: AdapterVersion,
    ) -> Option<&mut OrderedLoad> {
        self.pending().find(|load| load.key == *key && load.min_version >= version)
    }

    /// Removes the load of an adapter whose order the engine did not accept and returns the relays that asked for it.
    pub fn cancel(&mut self, key: &AdapterKey) -> AskingRelays {
        let (cancelled, remaining) = self.loads.drain(..).partition(|load| load.key == *key);
        self.loads = remaining;
        let cancelled: Vec<OrderedLoad> = cancelled;
        cancelled.into_iter().flat_map(|load| load.relays).collect()
    }

    /// Marks overdue loads as lost and drops those older than [`LOST_LIFETIME`].
    pub fn expire(&mut self, now: MonoTime) {
        let age = |load: &OrderedLoad| now.saturating_sub(load.ordered_at);
        self.loads.retain(|load| age(load) < LOST_LIFETIME);
        for load in &mut self.loads {
            load.is_lost |= age(load) >= ORDERED_LIFETIME;
        }
    }

    /// Removes the loads that the engine's adapters complete and returns those that were not lost.
    pub fn take_completed(&mut self, adapters: &[HeldAdapter]) -> Vec<OrderedLoad> {
        let (completed, remaining) =
            self.loads.drain(..).partition(|load| load.is_completed_by(adapters));
        self.loads = remaining;
        let completed: Vec<OrderedLoad> = completed;
        completed.into_iter().filter(|load| !load.is_lost).collect()
    }

    /// Removes all loads after a restart of the engine and returns them as broken. `born` is the start
    /// time of the process that exited.
    pub fn take_broken(&mut self, born: Option<StartTime>) -> Vec<BrokenLoad> {
        let broken = |load: OrderedLoad| BrokenLoad {
            key: load.key,
            version: load.min_version,
            run: ReplicaRun { replica: load.replica, born },
        };
        self.loads.drain(..).map(broken).collect()
    }

    /// Returns the number of loads that are neither lost nor reported by the engine as incoming. If `confirmed_by` is
    /// given, the time of the engine's report, unconfirmed ones do not count either.
    pub fn unreported_count(
        &self,
        incoming: &[HeldAdapter],
        confirmed_by: Option<MonoTime>,
    ) -> usize {
        let is_incoming = |load: &OrderedLoad| incoming.iter().any(|held| held.key == load.key);
        let is_unconfirmed =
            |load: &OrderedLoad| confirmed_by.is_some_and(|at| load.is_unconfirmed(incoming, at));
        let is_unreported =
            |load: &&OrderedLoad| !load.is_lost && !is_incoming(load) && !is_unconfirmed(load);
        self.loads.iter().filter(is_unreported).count()
    }
}
