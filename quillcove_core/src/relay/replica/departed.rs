//! Tombstones of removed replicas, so that an older copy of the listing does not bring them back.

use super::ReplicaRecord;
use super::kept::is_same_start;
use super::recent::BoundedReplicaMap;
use crate::ids::StartTime;
use crate::relay::position::StorePosition;

/// The last known entry of a removed replica.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    born: Option<StartTime>,
    created: StorePosition,
}

/// Tombstones by replica id.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaTombstones(BoundedReplicaMap<Tombstone>);

impl ReplicaTombstones {
    /// Records that a replica is removed.
    pub(super) fn add(&mut self, record: &ReplicaRecord) {
        let tombstone = Tombstone { born: record.born, created: record.created };
        *self.0.get_or_insert_with(&record.id, || tombstone) = tombstone;
    }

    /// Drops the tombstone of a replica that is listed again.
    pub(super) fn remove(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Tells whether a record is the old entry of a removed replica, from an older copy of the
    /// store or from a relay that is behind. A replica that registers again has a new entry with a
    /// later creation position.
    pub(super) fn covers(&self, record: &ReplicaRecord) -> bool {
        self.0.get(&record.id).is_some_and(|tombstone| {
            let is_older = record.created <= tombstone.created;
            let is_copy = record.created.revision == tombstone.created.revision;
            is_same_start(tombstone.born, record.born) && (is_older || is_copy)
        })
    }
}
