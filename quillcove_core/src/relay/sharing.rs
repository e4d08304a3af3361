//! Which relays send to a replica that names a limit for all of them together.
//!
//! Each relay that sends may have one request at the replica beside the mean of its part, so the more there are, the
//! more may come at one moment. A limit is therefore shared by few relays, which a rendezvous hash picks: all that
//! know the same relays pick the same ones, with no message, and one that goes is followed by the next in rank.

use super::policy::SharingRule;
use crate::ids::HostId;
use crate::rendezvous;
use crate::standing::limit::RateLimit;

/// Relays that share the lowest of limits. The users bear five requests beyond one and a half times a limit; what is left is
/// for relays that do not know each other yet.
const FEWEST_SHARERS: usize = 3;

/// Why a replica takes few requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// It names a limit in its answers. Requests are counted in spans of several seconds.
    Named,
    /// It is cold. Requests are counted in spans of one second, so that fewer relays may have one each in it.
    Cold,
}

impl LimitKind {
    /// Requests a second for each of which there is one more relay that sends.
    fn rate_a_sharer(self) -> f64 {
        match self {
            Self::Named => 2.0,
            Self::Cold => 4.0,
        }
    }
}

/// Relays that send to a replica with this limit, of so many that are there.
///
/// ```
/// use quillcove_core::relay::policy::SharingRule;
/// use quillcove_core::relay::sharing::{LimitKind, sharers};
/// use quillcove_core::standing::limit::RateLimit;
///
/// let limit = RateLimit::per_second(1.5).unwrap();
/// assert_eq!(sharers(limit, LimitKind::Named, 2, SharingRule::Few), 2);
/// assert_eq!(sharers(limit, LimitKind::Named, 420, SharingRule::Few), 4);
/// assert_eq!(sharers(limit, LimitKind::Cold, 420, SharingRule::Few), 3);
/// assert_eq!(sharers(limit, LimitKind::Named, 420, SharingRule::All), 420);
/// ```
pub fn sharers(limit: RateLimit, kind: LimitKind, relays: usize, rule: SharingRule) -> usize {
    let of_rate = limit.rate() / kind.rate_a_sharer() + 0.5;
    match rule {
        SharingRule::Few => relays.min(FEWEST_SHARERS + of_rate as usize),
        SharingRule::All => relays,
    }
}

/// The relays among which limits are shared.
///
/// ```
/// use quillcove_core::relay::sharing::RelayPeers;
///
/// let peers = RelayPeers::new("relay-a".into(), vec!["relay-b".into()]);
/// assert_eq!(peers.count(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPeers {
    own: HostId,
    others: Vec<HostId>,
}

impl RelayPeers {
    /// A relay and the others that it hears.
    ///
    /// ```
    /// use quillcove_core::relay::sharing::RelayPeers;
    ///
    /// assert_eq!(RelayPeers::new("relay-a".into(), Vec::new()).count(), 1);
    /// ```
    pub fn new(own: HostId, others: Vec<HostId>) -> Self {
        Self { own, others }
    }

    /// How many they are, this one included.
    ///
    /// ```
    /// assert_eq!(quillcove_core::relay::sharing::RelayPeers::default().count(), 1);
    /// ```
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// How many of the others go before this one for a replica.
    ///
    /// ```
    /// use quillcove_core::relay::sharing::RelayPeers;
    ///
    /// let [a, b] = ["relay-a", "relay-b"].map(String::from);
    /// let first = RelayPeers::new(a.clone(), vec![b.clone()]);
    /// let second = RelayPeers::new(b, vec![a]);
    /// assert_eq!(first.rank("i-1") + second.rank("i-1"), 1);
    /// ```
    pub fn rank(&self, replica: &str) -> usize {
        let own = (rendezvous::weight(replica, &self.own), &self.own);
        let is_before = |host: &&HostId| (rendezvous::weight(replica, host), *host) > own;
        self.others.iter().filter(is_before).count()
    }
}
