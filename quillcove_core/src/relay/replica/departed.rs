//! Replicas that are gone, so that an older copy of the listing does not bring them back.

use super::ReplicaRecord;
use super::kept::is_same_start;
use super::recent::RecentReplicas;
use crate::relay::beacon::StartTime;
use crate::relay::position::StorePosition;

/// The last entry of a replica that is gone.
#[derive(Clone, Copy, Debug)]
struct DepartedEntry {
    born: Option<StartTime>,
    created: StorePosition,
}

/// Replicas that are gone, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedReplicas(RecentReplicas<DepartedEntry>);

impl DepartedReplicas {
    /// Notes that a replica is gone.
    pub(super) fn note(&mut self, record: &ReplicaRecord) {
        let entry = DepartedEntry { born: record.born, created: record.created };
        *self.0.of(&record.id, || entry) = entry;
    }

    /// Notes that a replica is there.
    pub(super) fn forget(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Tells whether a record is the entry of a replica that is gone, as an older copy of the store or a relay that
    /// knows less still has it. A replica that lists itself again has an entry of its own, created later.
    pub(super) fn has(&self, record: &ReplicaRecord) -> bool {
        self.0.get(&record.id).is_some_and(|gone| {
            let is_older = record.created <= gone.created;
            let is_copy = record.created.revision == gone.created.revision;
            is_same_start(gone.born, record.born) && (is_older || is_copy)
        })
    }
}
