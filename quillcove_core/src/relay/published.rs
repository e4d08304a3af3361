//! What the platform has published, as one relay passes it on to another that can not read the
//! store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::beacon::{AdapterKey, HeldAdapter, ReplicaId, StartTime};
use super::knowledge::ProofWord;
use super::position::ReadPositions;
use super::replica::ReplicaRecord;
use super::sheet::RouteSheet;
use crate::ids::{AdapterVersion, HallName};

/// A part of the platform's store; each is read by itself, so that one may be known further than
/// the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StorePart {
    /// What the operator writes: the sheet and versions of adapters.
    Operator,
    /// The listing of replicas.
    Replicas,
}

impl StorePart {
    /// All parts.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Replicas];
}

/// A replica whose entry lapsed while the store was away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LapsedEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Time that its entry has left to return.
    pub left: Duration,
}

/// One start of a replica that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReplica {
    /// Its id.
    pub replica: ReplicaId,
    /// When it started, where that is known.
    pub born: Option<StartTime>,
}

/// One value of the store, or the removal of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// A new sheet.
    Sheet(Box<RouteSheet>),
    /// The newest version of an adapter.
    Version(AdapterKey, AdapterVersion),
    /// A replica's entry.
    Replica(ReplicaRecord),
    /// A replica's entry is gone.
    ReplicaGone(ReplicaId),
    /// A hall is to be emptied: its replicas get no new work.
    HallEmptied(HallName),
    /// A hall is in use again.
    HallInUse(HallName),
}

impl StoreEvent {
    /// The part of the store that it is of.
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

    /// Tells whether both say something of the same thing, so that the later one takes the place of the other.
    fn is_of_same(&self, other: &Self) -> bool {
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

/// A change with the revision of the store at which it was made.
pub type RevisedEvent = (StoreEvent, u64);

/// What is there after changes of a part that was read whole.
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
        whole.retain(|(event, _)| !event.is_of_same(&change));
        match change {
            StoreEvent::ReplicaGone(_) | StoreEvent::HallInUse(_) => {},
            there => whole.push((there, revision)),
        }
    }
}

/// All that a relay has read from the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedState {
    /// Positions up to which its parts were read.
    pub read: ReadPositions,
    /// Positions at which something last changed that matters to relays.
    pub changed: ReadPositions,
    /// Positions from which on its changes were followed.
    pub since: ReadPositions,
    /// How old the proof is that all that the operator wrote is known; `None` without one.
    pub proof: Option<ProofWord>,
    /// The sheet in force; `None` before the first.
    pub sheet: Option<RouteSheet>,
    /// Newest versions of adapters.
    pub versions: Vec<HeldAdapter>,
    /// Halls that are to be emptied.
    pub emptied: Vec<HallName>,
    /// Replicas that are listed.
    pub replicas: Vec<ReplicaRecord>,
    /// Those of them whose entries lapsed while the store was away, and are given up unless they return.
    pub lapsed: Vec<LapsedEntry>,
    /// Replicas that have said themselves that they leave; the list may not know it yet.
    pub leaving: Vec<LeavingReplica>,
}
