//! The platform's published state, as one relay sends it to another that can't read the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::beacon::HeldAdapter;
use super::knowledge::FreshnessProof;
use super::position::ReadPositions;
use super::replica::ReplicaRecord;
use super::sheet::PublishedConfig;
use crate::ids::{AdapterKey, AdapterVersion, HallName, ReplicaId, StartTime};

/// A part of the platform's store. The parts are read separately, so a relay may know one up to a
/// later revision than the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StorePart {
    /// What the operator writes: the configuration, versions of adapters and evacuated halls.
    Operator,
    /// The list of replicas.
    Replicas,
}

impl StorePart {
    /// All parts.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Replicas];
}

/// A replica whose entry expired while the store was unreachable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Time that the entry has left to reappear before the replica is given up.
    pub left: Duration,
}

/// A replica that is draining, identified by its start where that is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReplica {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// Start time of the process; `None` where it is unknown.
    pub born: Option<StartTime>,
}

/// One value of the store, or the removal of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// A new configuration.
    Sheet(Box<PublishedConfig>),
    /// The newest version of an adapter.
    Version(AdapterKey, AdapterVersion),
    /// The entry of a replica was added or changed.
    Replica(ReplicaRecord),
    /// The entry of a replica was removed.
    ReplicaGone(ReplicaId),
    /// A hall is evacuated: its replicas get no new work.
    HallEmptied(HallName),
    /// A hall is in use again.
    HallInUse(HallName),
}

impl StoreEvent {
    /// Returns the part of the store that the event belongs to.
    ///
    /// ```
    /// use quillcove_core::relay::published::{StoreEvent, StorePart};
    ///
    /// assert_eq!(StoreEvent::HallInUse("hall-a".into()).part(), StorePart::Operator);
    /// ```
    pub fn part(&self) -> StorePart {
        match self {
            Self::Sheet(_) | Self::Version(..) | Self::HallEmptied(_) | Self::HallInUse(_) => {
                StorePart::Operator
            },
            Self::Replica(_) | Self::ReplicaGone(_) => StorePart::Replicas,
        }
    }

    /// Returns whether both events concern the same item, so that the later one replaces the other.
    fn concerns_same_item(&self, other: &Self) -> bool {
        fn replica(event: &StoreEvent) -> Option<&ReplicaId> {
            match event {
                StoreEvent::Replica(record) => Some(&record.id),
                StoreEvent::ReplicaGone(id) => Some(id),
                _ => None,
            }
        }
        fn hall(event: &StoreEvent) -> Option<&HallName> {
            match event {
                StoreEvent::HallEmptied(hall) | StoreEvent::HallInUse(hall) => Some(hall),
                _ => None,
            }
        }
        match (self, other) {
            (Self::Sheet(_), Self::Sheet(_)) => true,
            (Self::Version(one, _), Self::Version(other, _)) => one == other,
            _ => {
                replica(self).is_some_and(|id| replica(other) == Some(id))
                    || hall(self).is_some_and(|name| hall(other) == Some(name))
            },
        }
    }
}

/// A change and the revision of the store that made it.
pub type RevisedEvent = (StoreEvent, u64);

/// Applies changes to a part that was read whole: each change replaces the value of the same item,
/// and removals drop it.
///
/// ```
/// use quillcove_core::relay::published::{StoreEvent, apply_changes};
/// use quillcove_core::relay::replica::example_record;
///
/// let listed = |id: &str| StoreEvent::Replica(example_record(id));
/// let mut whole = vec![(listed("i-1"), 3), (listed("i-2"), 4)];
/// apply_changes(&mut whole, vec![(StoreEvent::ReplicaGone("i-1".into()), 7), (listed("i-3"), 8)]);
/// assert_eq!(whole, [(listed("i-2"), 4), (listed("i-3"), 8)]);
/// ```
pub fn apply_changes(whole: &mut Vec<RevisedEvent>, changes: Vec<RevisedEvent>) {
    for (change, revision) in changes {
        whole.retain(|(event, _)| !event.concerns_same_item(&change));
        match change {
            StoreEvent::ReplicaGone(_) | StoreEvent::HallInUse(_) => {},
            value => whole.push((value, revision)),
        }
    }
}

/// All that a relay has read from the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedState {
    /// Positions up to which the parts were read.
    pub read: ReadPositions,
    /// Positions of the last changes that matter to relays.
    pub changed: ReadPositions,
    /// Positions from which on changes were followed.
    pub since: ReadPositions,
    /// Freshness proof of the operator's part, with its age; `None` without one.
    pub proof: Option<FreshnessProof>,
    /// The configuration in force; `None` before the first.
    pub sheet: Option<PublishedConfig>,
    /// Newest versions of adapters.
    pub versions: Vec<HeldAdapter>,
    /// Evacuated halls.
    pub emptied: Vec<HallName>,
    /// Listed replicas.
    pub replicas: Vec<ReplicaRecord>,
    /// Listed replicas whose entries expired while the store was unreachable; they are given up
    /// unless their entries reappear.
    pub lapsed: Vec<ExpiredEntry>,
    /// Replicas that have announced themselves that they are draining; the list may not show it
    /// yet.
    pub leaving: Vec<LeavingReplica>,
}
