//! What replicas that are not listed have said of themselves.
//!
//! An entry lapses and comes back while the store is away, or is read anew; a replica that was leaving before
//! leaves after it as well.

use std::collections::{BTreeMap, VecDeque};

use crate::relay::beacon::{ReplicaId, StartTime};
use crate::standing::UpstreamStanding;

/// Most replicas whose word is kept; ten days of a fleet with 380 restarts a day would be as many. With an id
/// of some 20 bytes each they take under half a megabyte.
const MOST_KEPT: usize = 4096;

/// Tells whether two start times can be those of one start. Where a platform names none, each start has an id of
/// its own.
pub(super) fn is_same_start(one: Option<StartTime>, other: Option<StartTime>) -> bool {
    one.is_none() || other.is_none() || one == other
}

/// Words of replicas without an entry, by id and start.
#[derive(Clone, Debug, Default)]
pub(super) struct KeptStandings {
    standings: BTreeMap<ReplicaId, (Option<StartTime>, UpstreamStanding)>,
    /// The ids in the order in which they came.
    order: VecDeque<ReplicaId>,
}

impl KeptStandings {
    /// The standing of one start of a replica, to be changed; an earlier start's is dropped.
    pub(super) fn of(&mut self, id: &str, born: Option<StartTime>) -> &mut UpstreamStanding {
        if !self.standings.contains_key(id) {
            self.order.push_back(id.to_string());
            if self.order.len() > MOST_KEPT
                && let Some(oldest) = self.order.pop_front()
            {
                self.standings.remove(&oldest);
            }
        }
        let fresh = || (born, UpstreamStanding::default());
        let kept = self.standings.entry(id.to_string()).or_insert_with(fresh);
        if !is_same_start(kept.0, born) && born > kept.0 {
            *kept = fresh();
        }
        &mut kept.1
    }

    /// Takes out what a replica that is listed now has said in this start.
    pub(super) fn take(&mut self, id: &str, born: Option<StartTime>) -> UpstreamStanding {
        let Some((kept, standing)) = self.standings.remove(id) else {
            return UpstreamStanding::default();
        };
        self.order.retain(|other| other != id);
        match is_same_start(kept, born) {
            true => standing,
            false => UpstreamStanding::default(),
        }
    }
}
