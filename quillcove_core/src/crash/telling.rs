//! What processes tell each other of replicas that ended. No body, key or address is told.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::digest::RequestIdentity;
use crate::relay::beacon::StartTime;

/// Names the end of one run of a replica, alike at all processes that know the replica.
pub type EndId = u64;

/// Name of the end of the run of a replica that started at this time. A replica that starts again under
/// its id may end again.
///
/// ```
/// use quillcove_core::crash::telling::end_id;
///
/// assert_eq!(end_id("i-1", Some(5)), end_id("i-1", Some(5)));
/// assert_ne!(end_id("i-1", Some(5)), end_id("i-1", Some(6)));
/// ```
pub fn end_id(replica: &str, born: Option<StartTime>) -> EndId {
    let mut hasher = SipHasher13::new();
    replica.hash(&mut hasher);
    born.hash(&mut hasher);
    hasher.finish()
}

/// Name of the end after this one, of a later run that goes by the same name: a replica that is back may be known
/// by its earlier run for a while.
///
/// ```
/// use quillcove_core::crash::telling::{end_id, next_end};
///
/// let end = end_id("i-1", None);
/// assert_ne!(next_end(end), end);
/// ```
pub fn next_end(end: EndId) -> EndId {
    let mut hasher = SipHasher13::new();
    end.hash(&mut hasher);
    hasher.finish()
}

/// A request that was at a replica when that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// Whether bytes of its answer had come.
    pub has_begun: bool,
    /// Whether the same request of another caller lately ran to a good end.
    pub runs_well: bool,
}

/// The end of a replica, and requests that were there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Which end.
    pub end: EndId,
    /// How long ago it was noticed.
    pub age: Duration,
    /// Requests that were sent to the replica and not answered whole.
    pub requests: Vec<EndedRequest>,
}

/// A request that ran to a good end although it had been at replicas that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoodReport {
    /// The request.
    pub identity: RequestIdentity,
    /// How long ago.
    pub age: Duration,
}

/// What one process tells another of replicas that ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashBeacon {
    /// Ends.
    pub ends: Vec<EndReport>,
    /// Requests that are cleared.
    pub good: Vec<GoodReport>,
}

impl CrashBeacon {
    /// Tells whether there is nothing in it.
    ///
    /// ```
    /// use quillcove_core::crash::telling::CrashBeacon;
    ///
    /// assert!(CrashBeacon::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.good.is_empty()
    }
}

/// A relay's wish for all that another process knows of replicas that ended, as it may have missed some.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashAsk {
    /// Where the relay wants the answer.
    pub relay: SocketAddr,
}
