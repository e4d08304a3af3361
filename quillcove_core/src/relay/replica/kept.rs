//! What replicas that are not listed have said of themselves.
//!
//! An entry lapses and comes back while the store is away, or is read anew; a replica that was leaving before
//! leaves after it as well.

use super::recent::RecentReplicas;
use crate::relay::beacon::StartTime;
use crate::standing::UpstreamStanding;

/// Tells whether two start times can be those of one start. Where a platform names none, each start has an id of
/// its own.
pub(super) fn is_same_start(one: Option<StartTime>, other: Option<StartTime>) -> bool {
    one.is_none() || other.is_none() || one == other
}

/// Words of replicas without an entry, by id and start.
#[derive(Clone, Debug, Default)]
pub(super) struct KeptStandings(RecentReplicas<(Option<StartTime>, UpstreamStanding)>);

impl KeptStandings {
    /// The standing of one start of a replica, to be changed; an earlier start's is dropped.
    pub(super) fn of(&mut self, id: &str, born: Option<StartTime>) -> &mut UpstreamStanding {
        let fresh = || (born, UpstreamStanding::default());
        let kept = self.0.of(id, fresh);
        if !is_same_start(kept.0, born) && born > kept.0 {
            *kept = fresh();
        }
        &mut kept.1
    }

    /// Takes out what a replica that is listed now has said in this start.
    pub(super) fn take(&mut self, id: &str, born: Option<StartTime>) -> UpstreamStanding {
        match self.0.remove(id) {
            Some((kept, standing)) if is_same_start(kept, born) => standing,
            _ => UpstreamStanding::default(),
        }
    }
}
