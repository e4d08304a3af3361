//! Origins of resumable streams: the software version that began each stream.
//!
//! What two software versions write does not fit together, so a stream may go on only at the version that began it.
//! Callers take a stream up at any relay, and the relay that began it may be gone. Each first event is therefore
//! reported to the loaders of [`HOLDERS`] engines, which rendezvous hashing selects by the stream, and a relay that does
//! not know the origin of a stream asks them. For callers that name the beginning of their stream, an origin is only
//! believed when it was recorded or told. Those that name none go on only if this process has followed the store for as
//! long as their stream may be old ([`WatchHistory`]) and has seen a single version in that time: what a process that has
//! just started has not seen may have been there.

mod book;
mod history;
mod holders;
mod listings;
mod lookup;
mod renewal;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::book::{KnownOrigin, MAX_LIFETIME, OriginBook};
pub use self::history::WatchHistory;
pub use self::holders::{ASKED_HOLDERS, HOLDERS, ListedTime, possible_holders, rank_holders};
pub use self::listings::{DEPARTED_LIFETIME, LISTING_SLACK, RecentListings};
pub use self::lookup::{OriginLookup, OriginTracker};
pub use self::renewal::OwnStreams;
use crate::relay::replica::ReplicaRecord;
use crate::rendezvous::stable_hash;

/// Digest of the id of the caller's attempt that brought the first event of a stream.
///
/// ```
/// use quillcove_core::relay::origin::StreamKey;
///
/// assert_eq!(StreamKey::of("r1"), StreamKey::of("r1"));
/// assert_ne!(StreamKey::of("r1"), StreamKey::of("r2"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that began with an attempt.
    ///
    /// ```
    /// use quillcove_core::relay::origin::StreamKey;
    ///
    /// assert_eq!(StreamKey::of("r1"), StreamKey::of("r1"));
    /// ```
    pub fn of(attempt: &str) -> Self {
        Self(stable_hash(&attempt))
    }
}

/// Digest of a service and of a software version of its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OriginDigest(u64);

impl OriginDigest {
    /// Returns the digest of a service and a software version.
    ///
    /// ```
    /// use quillcove_core::relay::origin::OriginDigest;
    ///
    /// assert_ne!(OriginDigest::of("s", Some("v1")), OriginDigest::of("s", Some("v2")));
    /// assert_ne!(OriginDigest::of("s", Some("")), OriginDigest::of("s", None));
    /// ```
    pub fn of(service: &str, software: Option<&str>) -> Self {
        Self(stable_hash(&(service, software)))
    }

    /// Returns the origin of the streams that begin at a replica.
    ///
    /// ```
    /// use quillcove_core::relay::origin::OriginDigest;
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// assert_eq!(OriginDigest::of_record(&example_record("i-1")), OriginDigest::of("s", None));
    /// ```
    pub fn of_record(record: &ReplicaRecord) -> Self {
        Self::of(&record.service, record.software.as_deref())
    }
}

/// Report that a stream has an origin, from a relay to the holders of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: OriginDigest,
    /// Time for which the caller may still take the stream up.
    pub lifetime: Duration,
}

/// Question of a relay for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// Address to which the answer is to be sent.
    pub relay: SocketAddr,
    /// The stream.
    pub stream: StreamKey,
}

/// Answer to an [`OriginQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The stream.
    pub stream: StreamKey,
    /// What is known, and for how long it is kept; `None` if nothing is known.
    pub known: Option<(KnownOrigin, Duration)>,
}
