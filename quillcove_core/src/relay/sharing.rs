//! Selection of the relays that send to a replica with a rate limit for all relays together.
//!
//! Each sending relay may have one request at the replica above the mean of its share, so the more relays send, the
//! more requests can arrive at one moment. A limit is therefore shared by few relays, selected by a rendezvous hash:
//! relays with the same membership select the same senders without any message, and a sender that fails is replaced by
//! the next in rank.

use super::policy::SharingRule;
use crate::ids::HostId;
use crate::rendezvous;
use crate::standing::limit::RateLimit;

/// Number of sending relays for the lowest limits. The requirements allow five requests above 1.5 times a limit; the
/// remainder is for relays that do not know each other yet.
const MIN_SENDERS: usize = 3;

/// The reason for a replica's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// The replica announces a limit in its responses. Requests are counted over intervals of several seconds.
    Announced,
    /// The replica is in warm-up. Requests are counted over intervals of one second, so fewer relays may have one
    /// request each in an interval.
    WarmUp,
}

impl LimitKind {
    /// Returns the requests a second for each of which one more relay sends.
    fn rate_per_sender(self) -> f64 {
        match self {
            Self::Announced => 2.0,
            Self::WarmUp => 4.0,
        }
    }
}

/// Returns the number of relays, out of `relays`, that send to a replica with this limit.
///
/// ```
/// use quillcove_core::relay::policy::SharingRule;
/// use quillcove_core::relay::sharing::{LimitKind, sender_count};
/// use quillcove_core::standing::limit::RateLimit;
///
/// let limit = RateLimit::per_second(1.5).unwrap();
/// assert_eq!(sender_count(limit, LimitKind::Announced, 2, SharingRule::Few), 2);
/// assert_eq!(sender_count(limit, LimitKind::Announced, 420, SharingRule::Few), 4);
/// assert_eq!(sender_count(limit, LimitKind::WarmUp, 420, SharingRule::Few), 3);
/// assert_eq!(sender_count(limit, LimitKind::Announced, 420, SharingRule::All), 420);
/// ```
pub fn sender_count(limit: RateLimit, kind: LimitKind, relays: usize, rule: SharingRule) -> usize {
    let extra = limit.rate() / kind.rate_per_sender() + 0.5;
    match rule {
        SharingRule::Few => relays.min(MIN_SENDERS + extra as usize),
        SharingRule::All => relays,
    }
}

/// The relays among which limits are shared: this one and the others that it receives heartbeats from.
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
    /// Creates the peers of the relay on the host `own`.
    ///
    /// ```
    /// use quillcove_core::relay::sharing::RelayPeers;
    ///
    /// assert_eq!(RelayPeers::new("relay-a".into(), Vec::new()).count(), 1);
    /// ```
    pub fn new(own: HostId, others: Vec<HostId>) -> Self {
        Self { own, others }
    }

    /// Returns the number of relays, this one included.
    ///
    /// ```
    /// assert_eq!(quillcove_core::relay::sharing::RelayPeers::default().count(), 1);
    /// ```
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns this relay's rank for a replica: the number of other relays that precede it.
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
        let precedes = |host: &&HostId| (rendezvous::weight(replica, host), *host) > own;
        self.others.iter().filter(precedes).count()
    }
}
