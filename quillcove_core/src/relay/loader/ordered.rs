//! Loads that were ordered of one engine, until it holds what they bring.

use std::time::Duration;

use crate::crash::watch::ReplicaRun;
use crate::ids::{AdapterVersion, MonoTime};
use crate::relay::beacon::{AdapterKey, HeldAdapter, ReplicaId, StartTime};

/// Time after which an ordered load that did not bring its adapter is taken as lost.
const ORDERED_LIFETIME: Duration = Duration::from_secs(5);

/// Time for which a load that is taken as lost is kept, in case the engine ended under it: an engine is back
/// some seconds after its end.
const LOST_LIFETIME: Duration = Duration::from_secs(30);

/// A load that was under way when its engine ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenLoad {
    /// Which adapter.
    pub key: AdapterKey,
    /// Version that was ordered; 0 for the newest.
    pub version: AdapterVersion,
    /// The run of the engine that ended.
    pub run: ReplicaRun,
}

/// An adapter whose load was ordered.
#[derive(Clone, Debug)]
pub(super) struct OrderedLoad {
    pub key: AdapterKey,
    /// Least version that the load brings; an older one may be there until then.
    pub least: AdapterVersion,
    /// The engine's id at that time.
    pub replica: ReplicaId,
    pub at: MonoTime,
    /// Whether it is no longer waited for.
    is_lost: bool,
}

impl OrderedLoad {
    fn is_met_by(&self, adapters: &[HeldAdapter]) -> bool {
        adapters.iter().any(|held| held.key == self.key && held.version >= self.least)
    }
}

/// The loads that were ordered and have not come.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderedLoads {
    loads: Vec<OrderedLoad>,
}

impl OrderedLoads {
    pub fn begin(
        &mut self,
        key: AdapterKey,
        least: AdapterVersion,
        replica: ReplicaId,
        at: MonoTime,
    ) {
        self.loads.retain(|load| !load.is_lost || load.key != key);
        self.loads.push(OrderedLoad { key, least, replica, at, is_lost: false });
    }

    /// The order for an adapter was not taken.
    pub fn cancel(&mut self, key: &AdapterKey) {
        self.loads.retain(|load| load.key != *key);
    }

    /// Gives up what has not come for long.
    pub fn expire(&mut self, now: MonoTime) {
        let age = |load: &OrderedLoad| now.saturating_sub(load.at);
        self.loads.retain(|load| age(load) < LOST_LIFETIME);
        for load in &mut self.loads {
            load.is_lost |= age(load) >= ORDERED_LIFETIME;
        }
    }

    /// Takes what the engine holds now; gives the loads that were waited for and have come.
    pub fn arrive(&mut self, adapters: &[HeldAdapter]) -> Vec<OrderedLoad> {
        let (met, left) = self.loads.drain(..).partition(|load| load.is_met_by(adapters));
        self.loads = left;
        let met: Vec<OrderedLoad> = met;
        met.into_iter().filter(|load| !load.is_lost).collect()
    }

    /// The engine has restarted; gives what was under way at the end of its run that started then.
    pub fn restart(&mut self, born: Option<StartTime>) -> Vec<BrokenLoad> {
        let broken = |load: OrderedLoad| BrokenLoad {
            key: load.key,
            version: load.least,
            run: ReplicaRun { replica: load.replica, born },
        };
        self.loads.drain(..).map(broken).collect()
    }

    /// Loads that are waited for, other than those that the engine reports as on their way.
    pub fn unseen(&self, incoming: &[HeldAdapter]) -> usize {
        let is_incoming = |load: &OrderedLoad| incoming.iter().any(|held| held.key == load.key);
        self.loads.iter().filter(|load| !load.is_lost && !is_incoming(load)).count()
    }
}
