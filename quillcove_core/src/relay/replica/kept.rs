//! The status that unlisted replicas have reported about themselves.
//!
//! An entry expires and comes back while the store is unavailable or is read again; a replica that
//! was draining before is still draining after that.

use super::recent::BoundedReplicaMap;
use crate::ids::StartTime;
use crate::standing::UpstreamStatus;

/// Tells whether two start times can belong to the same start. A platform that reports no start
/// time gives each start an id of its own.
pub(super) fn is_same_start(one: Option<StartTime>, other: Option<StartTime>) -> bool {
    one.is_none() || other.is_none() || one == other
}

/// The status of each unlisted replica, by id and start time.
#[derive(Clone, Debug, Default)]
pub(super) struct UnlistedStatuses(BoundedReplicaMap<(Option<StartTime>, UpstreamStatus)>);

impl UnlistedStatuses {
    /// Returns the status of one start of a replica for changes; the status of an earlier start is
    /// dropped.
    pub(super) fn status_mut(&mut self, id: &str, born: Option<StartTime>) -> &mut UpstreamStatus {
        let fresh = || (born, UpstreamStatus::default());
        let entry = self.0.get_or_insert_with(id, fresh);
        if !is_same_start(entry.0, born) && born > entry.0 {
            *entry = fresh();
        }
        &mut entry.1
    }

    /// Removes and returns the status that a now listed replica has reported in this start.
    pub(super) fn take(&mut self, id: &str, born: Option<StartTime>) -> UpstreamStatus {
        match self.0.remove(id) {
            Some((kept_born, status)) if is_same_start(kept_born, born) => status,
            _ => UpstreamStatus::default(),
        }
    }
}
