//! Membership list of a loader: the relays whose heartbeats it receives, and the choice of those
//! that a report names.
//!
//! Each report names a few relays, so that relays which do not know each other yet learn of each
//! other. A list of all 68 relays took half of a report. Loaders start at different indices of
//! the list, so that the reports of one second from 78 loaders name any given relay with a
//! probability of 99 in 100.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::MonoTime;

/// Number of relays that one report names.
const RELAYS_PER_REPORT: usize = 4;

/// Time after its last heartbeat for which a relay gets reports; relays send a heartbeat twice a
/// second.
const RELAY_LIFETIME: Duration = Duration::from_millis(2200);

/// Relays whose heartbeats a loader has received within the last 2.2 seconds.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::roll::RelayMembership;
///
/// let mut roll = RelayMembership::new(7);
/// assert!(roll.record_heartbeat("127.0.0.1:1".parse().unwrap(), Duration::ZERO));
/// assert_eq!(roll.next_named().len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RelayMembership {
    last_heartbeat: BTreeMap<SocketAddr, MonoTime>,
    /// Index in the list from which the next report names relays.
    next: usize,
}

impl RelayMembership {
    /// Creates an empty list; the seed determines the index at which naming starts.
    ///
    /// ```
    /// use quillcove_core::relay::roll::RelayMembership;
    ///
    /// assert_eq!(RelayMembership::new(7).all().count(), 0);
    /// ```
    pub fn new(seed: u64) -> Self {
        Self { last_heartbeat: BTreeMap::new(), next: (seed >> 1) as usize }
    }

    /// Records a heartbeat of a relay. Returns whether the relay is new.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::roll::RelayMembership;
    ///
    /// let relay = "127.0.0.1:1".parse().unwrap();
    /// let mut roll = RelayMembership::default();
    /// assert!(roll.record_heartbeat(relay, Duration::ZERO));
    /// assert!(!roll.record_heartbeat(relay, Duration::ZERO));
    /// ```
    pub fn record_heartbeat(&mut self, relay: SocketAddr, now: MonoTime) -> bool {
        self.last_heartbeat.insert(relay, now).is_none()
    }

    /// Removes the relays whose last heartbeat is too old, and returns them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::roll::RelayMembership;
    ///
    /// let mut roll = RelayMembership::default();
    /// roll.record_heartbeat("127.0.0.1:1".parse().unwrap(), Duration::ZERO);
    /// assert_eq!(roll.forget(Duration::from_secs(3)).len(), 1);
    /// ```
    pub fn forget(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let is_expired =
            |last_heartbeat: &MonoTime| now.saturating_sub(*last_heartbeat) >= RELAY_LIFETIME;
        let expired =
            self.last_heartbeat.iter().filter(|(_, last_heartbeat)| is_expired(last_heartbeat));
        let expired: Vec<SocketAddr> = expired.map(|(relay, _)| *relay).collect();
        for relay in &expired {
            self.last_heartbeat.remove(relay);
        }
        expired
    }

    /// Returns all relays in the list.
    ///
    /// ```
    /// use quillcove_core::relay::roll::RelayMembership;
    ///
    /// assert_eq!(RelayMembership::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.last_heartbeat.keys().copied()
    }

    /// Returns the relays that the next report names, and advances to the ones after them.
    ///
    /// ```
    /// use quillcove_core::relay::roll::RelayMembership;
    ///
    /// assert!(RelayMembership::default().next_named().is_empty());
    /// ```
    pub fn next_named(&mut self) -> Vec<SocketAddr> {
        let count = self.last_heartbeat.len();
        if count == 0 {
            return Vec::new();
        }
        let start = self.next % count;
        self.next = start + RELAYS_PER_REPORT;
        self.last_heartbeat
            .keys()
            .cycle()
            .skip(start)
            .take(RELAYS_PER_REPORT.min(count))
            .copied()
            .collect()
    }
}
