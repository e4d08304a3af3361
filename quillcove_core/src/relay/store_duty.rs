//! Who reads the platform's store, and how old a relay's knowledge of it may get.
//!
//! In a large fleet a few relays of each hall watch the store, and the others are told: each relay's
//! beacon says up to which revision it knows each part of the store, since when that was known to be
//! complete, and at which revision something last changed that matters. A relay that is told of no such
//! change takes over the revision and the age. One that is told of a change, or whose knowledge gets
//! older than its limit, reads for itself, whoever else is to read. So the age of every belief is
//! bounded with no agreement on who reads: readers may be killed, paused, cut off or turned away.
//!
//! A beacon tells the age of the relay's own last reading only. The time that a beacon is on its way is
//! missing in the age that is told; passed on from relay to relay, an age would stay young for ever.
//!
//! With 68 relays that all watched, calls of the store cost 0.06 to 0.10 of the worth of a day.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::published::StorePart;
use crate::ids::{HallName, HostId};
use crate::rendezvous;

/// Relays of a fleet in which all read: fewer calls would save less than they risk.
const SMALL_FLEET: usize = 8;

/// Relays that read, over all halls, and one of each hall at least: so many may be lost at once before
/// others wait for their limit. Every relay hears the readers of all halls.
const READERS: usize = 3;

/// Part of the users' bounds that is left for a relay's own read of the store and for the way of a
/// beacon through a busy host.
const OWN_READ_TIME: Duration = Duration::from_millis(900);

/// Span over which the age limits of relays are spread, so that not all read at once when no reader is
/// heard; those that come first tell the others.
const LIMIT_SPREAD: Duration = Duration::from_millis(400);

/// Time between a reader's answer and its word of the next one when nothing changes, beside its watch
/// and the pause in which changes gather: the beacon that tells of it, and the ways.
const TELLING_TIME: Duration = Duration::from_millis(700);

/// Shortest watch of a reader; with less, being told would not save calls.
const LEAST_WATCH: Duration = Duration::from_millis(300);

/// Longest watch of a reader: a hung one is noticed by the others within this time.
const MOST_WATCH: Duration = Duration::from_millis(1500);

/// How a relay learns what the store publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum StoreDuty {
    /// It watches the store.
    #[default]
    Watches,
    /// It is told by others, and reads the store only when it must.
    IsTold,
}

/// Why a relay that is told reads the store for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// Another relay knows of a change that this one does not.
    ChangeTold,
    /// What it was told last is too old.
    KnowledgeOld,
}

impl ReadReason {
    /// Its name in log lines and metrics.
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

/// The users' bounds for what is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyRules {
    /// Time within which what the operator writes is in force.
    pub apply_time: Duration,
    /// Time within which replicas that leave get no more work.
    pub drain_time: Duration,
    /// Pause between two readings of what the operator writes, in which changes gather.
    pub operator_gather: Duration,
    /// The same for the listing of replicas.
    pub replica_gather: Duration,
}

impl Default for DutyRules {
    /// Those of the users' smaller deployments, with which every relay reads.
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
    /// Age of a part's knowledge at which a relay reads for itself. `host` spreads the limits.
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
        let spread = rendezvous::weight("age limit", host) as f64 / u64::MAX as f64;
        self.most_age(part).saturating_sub(LIMIT_SPREAD.mul_f64(spread))
    }

    fn most_age(&self, part: StorePart) -> Duration {
        let bound = match part {
            StorePart::Operator => self.apply_time,
            StorePart::Replicas => self.drain_time,
        };
        bound.saturating_sub(OWN_READ_TIME)
    }

    /// Longest watch of a reader whose knowledge of a part stays younger than every limit; `None` when
    /// the users' bounds leave no time for being told of both parts.
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
        let is_told = StorePart::ALL.into_iter().all(|part| self.time_left(part) >= LEAST_WATCH);
        is_told.then(|| self.time_left(part).min(MOST_WATCH))
    }

    /// Time that a watch of a part may take.
    fn time_left(&self, part: StorePart) -> Duration {
        let gather_time = match part {
            StorePart::Operator => self.operator_gather,
            StorePart::Replicas => self.replica_gather,
        };
        self.most_age(part).saturating_sub(LIMIT_SPREAD + TELLING_TIME + gather_time)
    }
}

/// A relay as far as the choice of readers goes.
#[derive(Clone, Copy, Debug)]
pub struct ReaderCandidate<'a> {
    /// Its host.
    pub host: &'a HostId,
    /// Its hall.
    pub hall: &'a HallName,
    /// Whether the store answered its last call.
    pub is_up: bool,
}

/// Tells whether a fleet of this relay and so many others is large enough for some to be told.
///
/// ```
/// assert!(!quillcove_core::relay::store_duty::is_large(3));
/// ```
pub fn is_large(others: usize) -> bool {
    others >= SMALL_FLEET
}

/// The duty of one relay among others. Every relay finds the same readers as far as it hears the same
/// relays; where they differ, more of them read, or limits pass.
///
/// ```
/// use quillcove_core::relay::store_duty::{DutyRules, ReaderCandidate, StoreDuty, duty};
///
/// let (host, hall) = ("front-1".to_string(), "hall-a".to_string());
/// let own = ReaderCandidate { host: &host, hall: &hall, is_up: true };
/// assert_eq!(duty(&DutyRules::default(), own, &[]), StoreDuty::Watches);
/// ```
pub fn duty(
    rules: &DutyRules,
    own: ReaderCandidate<'_>,
    others: &[ReaderCandidate<'_>],
) -> StoreDuty {
    // A relay whose last call failed follows the store until it answers: only so does it know when
    // its own way to the store is back.
    if !is_large(others.len()) || !own.is_up || rules.watch_time(StorePart::Replicas).is_none() {
        return StoreDuty::Watches;
    }
    let up = others.iter().filter(|other| other.is_up).chain([&own]);
    let mut halls: BTreeMap<&HallName, Vec<&HostId>> = BTreeMap::new();
    for candidate in up {
        halls.entry(candidate.hall).or_default().push(candidate.host);
    }
    let in_each = READERS.div_ceil(halls.len());
    let hosts = halls.get_mut(own.hall).map(std::mem::take).unwrap_or_default();
    let rank = |host: &HostId| Reverse(rendezvous::weight("reader", host));
    let own_rank = rank(own.host);
    let ahead = hosts.into_iter().filter(|host| rank(host) < own_rank).count();
    match ahead < in_each {
        true => StoreDuty::Watches,
        false => StoreDuty::IsTold,
    }
}
