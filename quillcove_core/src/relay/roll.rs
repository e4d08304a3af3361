//! The relays that a loader hears, and which of them it names to the others.
//!
//! Each report names a few relays, so that relays which do not know each other yet meet. A list of all
//! 68 relays took half of a report. Loaders begin at different places of the list, so that the reports
//! of one second from 78 loaders name every relay with a chance of 99 in 100.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::MonoTime;

/// Relays that one report names.
const NAMED_AT_ONCE: usize = 4;

/// Time for which a relay that was heard gets reports; relays announce themselves twice a second.
const RELAY_LIFETIME: Duration = Duration::from_millis(2200);

/// The relays that a loader has heard lately.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::roll::RelayRoll;
///
/// let mut roll = RelayRoll::new(7);
/// assert!(roll.hear("127.0.0.1:1".parse().unwrap(), Duration::ZERO));
/// assert_eq!(roll.name_some().len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RelayRoll {
    heard: BTreeMap<SocketAddr, MonoTime>,
    /// Place in the list from which the next report names relays.
    next: usize,
}

impl RelayRoll {
    /// An empty one; the seed decides where in the list it begins to name relays.
    ///
    /// ```
    /// use quillcove_core::relay::roll::RelayRoll;
    ///
    /// assert_eq!(RelayRoll::new(7).all().count(), 0);
    /// ```
    pub fn new(seed: u64) -> Self {
        Self { heard: BTreeMap::new(), next: (seed >> 1) as usize }
    }

    /// Notes that a relay was heard; tells whether it is new.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::roll::RelayRoll;
    ///
    /// let relay = "127.0.0.1:1".parse().unwrap();
    /// let mut roll = RelayRoll::default();
    /// assert!(roll.hear(relay, Duration::ZERO));
    /// assert!(!roll.hear(relay, Duration::ZERO));
    /// ```
    pub fn hear(&mut self, relay: SocketAddr, now: MonoTime) -> bool {
        self.heard.insert(relay, now).is_none()
    }

    /// Forgets relays that were not heard lately, and names them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::roll::RelayRoll;
    ///
    /// let mut roll = RelayRoll::default();
    /// roll.hear("127.0.0.1:1".parse().unwrap(), Duration::ZERO);
    /// assert_eq!(roll.forget(Duration::from_secs(3)).len(), 1);
    /// ```
    pub fn forget(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let is_silent = |heard: &MonoTime| now.saturating_sub(*heard) >= RELAY_LIFETIME;
        let silent = self.heard.iter().filter(|(_, heard)| is_silent(heard));
        let silent: Vec<SocketAddr> = silent.map(|(relay, _)| *relay).collect();
        for relay in &silent {
            self.heard.remove(relay);
        }
        silent
    }

    /// All of them.
    ///
    /// ```
    /// use quillcove_core::relay::roll::RelayRoll;
    ///
    /// assert_eq!(RelayRoll::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.heard.keys().copied()
    }

    /// The relays that the next report names.
    ///
    /// ```
    /// use quillcove_core::relay::roll::RelayRoll;
    ///
    /// assert!(RelayRoll::default().name_some().is_empty());
    /// ```
    pub fn name_some(&mut self) -> Vec<SocketAddr> {
        let count = self.heard.len();
        if count == 0 {
            return Vec::new();
        }
        let start = self.next % count;
        self.next = start + NAMED_AT_ONCE;
        self.heard.keys().cycle().skip(start).take(NAMED_AT_ONCE.min(count)).copied().collect()
    }
}
