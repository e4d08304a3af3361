//! Choice of the relays that read the platform's store directly, and limits for the age of the
//! other relays' knowledge of it.
//!
//! In a large fleet a few relays of each hall, the direct readers, watch the store; the others are
//! followers. The heartbeat of each relay states the revision up to which it knows each part of the
//! store, the age of that knowledge, and the revision of the last change that matters. A follower
//! that receives a heartbeat without a new change adopts its revision and age. A follower that
//! learns of a change it lacks, or whose knowledge exceeds its age limit, reads the store itself,
//! whichever relays are the direct readers. The age of all knowledge is therefore bounded without
//! any agreement on who reads: direct readers may be killed, suspended, partitioned or rejected by
//! the store.
//!
//! A heartbeat states only the age of the relay's own last read. The age does not include the
//! heartbeat's transit time, so if relays passed on ages that they received, an age would never
//! grow.
//!
//! With 68 relays that all watched the store, its calls cost 0.06 to 0.10 of a day's value.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::published::StorePart;
use crate::ids::{HallName, HostId};
use crate::rendezvous;

/// Largest fleet in which all relays read directly: there, fewer calls would save less than they
/// risk.
const MAX_FLEET_WITHOUT_FOLLOWERS: usize = 8;

/// Number of direct readers over all halls, with at least one in each hall. This many may be lost
/// at once before followers have to wait for their age limit, as every relay receives the
/// heartbeats of the direct readers of all halls.
const DIRECT_READERS: usize = 3;

/// Part of the users' time bounds that is reserved for a relay's own read of the store and for the
/// delay of a heartbeat on a busy host.
const OWN_READ_RESERVE: Duration = Duration::from_millis(900);

/// Span over which the age limits of relays are spread, so that they do not all read at once when
/// no heartbeat of a direct reader arrives; the first ones to read inform the others.
const AGE_LIMIT_SPREAD: Duration = Duration::from_millis(400);

/// Time between two reports of unchanged state by a direct reader, beyond its watch and the pause
/// in which changes accumulate: the interval of heartbeats and the network delays.
const PROPAGATION_TIME: Duration = Duration::from_millis(700);

/// Shortest watch of a direct reader; with a shorter one, followers would save no calls.
const MIN_WATCH: Duration = Duration::from_millis(300);

/// Longest watch of a direct reader: the others notice a hung one within this time.
const MAX_WATCH: Duration = Duration::from_millis(1500);

/// How a relay learns what the store publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum StoreRole {
    /// As a direct reader, it watches the store.
    #[default]
    Watches,
    /// As a follower, it learns changes from direct readers, and reads the store only when it has
    /// to.
    IsTold,
}

/// Why a follower reads the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// Another relay knows of a change that this one lacks.
    ChangeTold,
    /// The knowledge of a part is too old.
    KnowledgeOld,
}

impl ReadReason {
    /// Returns the name for log lines and metrics.
    ///
    /// ```
    /// use quillcove_core::relay::store_duty::ReadReason;
    ///
    /// assert_eq!(ReadReason::KnowledgeOld.label(), "knowledge is old");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::ChangeTold => "another relay knows of a change",
            Self::KnowledgeOld => "knowledge is old",
        }
    }
}

/// The users' time bounds for published changes, and the pauses between reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyRules {
    /// Time within which changes by the operator have to be in force.
    pub apply_time: Duration,
    /// Time within which draining replicas have to get no more work.
    pub drain_time: Duration,
    /// Pause between two reads of the operator's part, in which changes accumulate.
    pub operator_gather: Duration,
    /// Pause between two reads of the replica list.
    pub replica_gather: Duration,
}

impl Default for DutyRules {
    /// Returns the bounds of the users' smaller deployments, with which every relay reads directly.
    fn default() -> Self {
        Self {
            apply_time: Duration::from_secs(2),
            drain_time: Duration::from_secs(2),
            operator_gather: Duration::from_millis(200),
            replica_gather: Duration::from_millis(600),
        }
    }
}

impl DutyRules {
    /// Returns the age of a part's knowledge at which a relay reads the store itself. A hash of
    /// `host` spreads the limits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::DutyRules;
    ///
    /// let limit = DutyRules::default().age_limit(StorePart::Operator, "front-1");
    /// assert!(limit <= Duration::from_millis(1100));
    /// ```
    pub fn age_limit(&self, part: StorePart, host: &str) -> Duration {
        let fraction = rendezvous::weight("age limit", host) as f64 / u64::MAX as f64;
        self.max_age(part).saturating_sub(AGE_LIMIT_SPREAD.mul_f64(fraction))
    }

    fn max_age(&self, part: StorePart) -> Duration {
        let bound = match part {
            StorePart::Operator => self.apply_time,
            StorePart::Replicas => self.drain_time,
        };
        bound.saturating_sub(OWN_READ_RESERVE)
    }

    /// Returns the longest watch with which a direct reader keeps the knowledge of followers
    /// younger than every age limit; `None` when the users' bounds leave too little time to relay
    /// both parts to followers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::DutyRules;
    ///
    /// assert_eq!(DutyRules::default().watch_time(StorePart::Operator), None);
    /// let bound = Duration::from_secs(4);
    /// let rules = DutyRules { apply_time: bound, drain_time: bound, ..DutyRules::default() };
    /// let watch = rules.watch_time(StorePart::Replicas);
    /// assert_eq!(watch, Some(Duration::from_millis(1400)));
    /// ```
    pub fn watch_time(&self, part: StorePart) -> Option<Duration> {
        let leaves_time =
            StorePart::ALL.into_iter().all(|part| self.watch_budget(part) >= MIN_WATCH);
        leaves_time.then(|| self.watch_budget(part).min(MAX_WATCH))
    }

    /// Returns the time that a watch of a part may take.
    fn watch_budget(&self, part: StorePart) -> Duration {
        let gather_time = match part {
            StorePart::Operator => self.operator_gather,
            StorePart::Replicas => self.replica_gather,
        };
        self.max_age(part).saturating_sub(AGE_LIMIT_SPREAD + PROPAGATION_TIME + gather_time)
    }
}

/// A relay as a candidate for direct reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderCandidate<'a> {
    /// Host of the relay.
    pub host: &'a HostId,
    /// Hall of the relay.
    pub hall: &'a HallName,
    /// Whether the store answered its last call.
    pub is_up: bool,
}

/// Returns whether a fleet of this relay and `others` more is large enough to have followers.
///
/// ```
/// assert!(!quillcove_core::relay::store_duty::is_large(3));
/// ```
pub fn is_large(others: usize) -> bool {
    others >= MAX_FLEET_WITHOUT_FOLLOWERS
}

/// Chooses whether a relay reads directly or follows. All relays choose the same direct readers as
/// far as they receive heartbeats from the same relays; where these differ, more relays read, or
/// followers reach their age limits.
///
/// ```
/// use quillcove_core::relay::store_duty::{DutyRules, ReaderCandidate, StoreRole, choose_role};
///
/// let (host, hall) = ("front-1".to_string(), "hall-a".to_string());
/// let own = ReaderCandidate { host: &host, hall: &hall, is_up: true };
/// assert_eq!(choose_role(&DutyRules::default(), own, &[]), StoreRole::Watches);
/// ```
pub fn choose_role(
    rules: &DutyRules,
    own: ReaderCandidate<'_>,
    others: &[ReaderCandidate<'_>],
) -> StoreRole {
    // A relay whose last call failed watches the store until it answers; otherwise it would not
    // notice when its own connection to the store works again.
    if !is_large(others.len()) || !own.is_up || rules.watch_time(StorePart::Replicas).is_none() {
        return StoreRole::Watches;
    }
    let reachable = others.iter().filter(|other| other.is_up).chain([&own]);
    let mut halls: BTreeMap<&HallName, Vec<&HostId>> = BTreeMap::new();
    for candidate in reachable {
        halls.entry(candidate.hall).or_default().push(candidate.host);
    }
    let readers_per_hall = DIRECT_READERS.div_ceil(halls.len());
    let hosts = halls.get_mut(own.hall).map(std::mem::take).unwrap_or_default();
    let rank = |host: &HostId| Reverse(rendezvous::weight("reader", host));
    let own_rank = rank(own.host);
    let higher_ranked = hosts.into_iter().filter(|host| rank(host) < own_rank).count();
    match higher_ranked < readers_per_hall {
        true => StoreRole::Watches,
        false => StoreRole::IsTold,
    }
}
