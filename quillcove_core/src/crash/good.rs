//! Requests that lately ran to a good end.
//!
//! A popular request (the same question of many callers, or of one that asks again and again) is at every
//! replica at any time, so also at each of several that are killed at once. What has just run well is not
//! what ended them.

use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use siphasher::sip::SipHasher13;

use super::digest::{RequestDigest, RequestIdentity};
use crate::ids::MonoTime;

/// Time for which a good end is remembered at least, unless there are too many. A replica that is hit by
/// a request ends within a second; what ran well a minute ago is the same request still.
const GOOD_LIFETIME: Duration = Duration::from_secs(60);

/// Good ends that are remembered at least, however many there are: two sets of this size take 128 kB.
const GOOD_LIMIT: usize = 4096;

/// Good ends of requests and of callers, in two sets of which the older one is dropped in turn.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
/// use quillcove_core::crash::good::GoodRuns;
///
/// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
/// let one = RequestIdentity { digest: parts.digest(), caller: 1 };
/// let mut runs = GoodRuns::default();
/// runs.note(one, Duration::ZERO);
/// assert!(runs.has_caller(one) && runs.has_request(one.digest));
/// assert!(!runs.has_caller(RequestIdentity { caller: 2, ..one }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct GoodRuns {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    turned_at: MonoTime,
}

impl GoodRuns {
    /// Notes that a request ran to a good end.
    ///
    /// See [`GoodRuns`] for an example.
    pub fn note(&mut self, identity: RequestIdentity, now: MonoTime) {
        let is_old = now.saturating_sub(self.turned_at) >= GOOD_LIFETIME;
        if is_old || self.newer.len() >= GOOD_LIMIT {
            self.older = std::mem::take(&mut self.newer);
            self.turned_at = now;
        }
        self.newer.insert(short(&identity));
        self.newer.insert(short(&identity.digest));
    }

    /// Tells whether the request of this very caller lately ran to a good end.
    ///
    /// See [`GoodRuns`] for an example.
    pub fn has_caller(&self, identity: RequestIdentity) -> bool {
        self.has(short(&identity))
    }

    /// Tells whether the request of any caller lately ran to a good end.
    ///
    /// See [`GoodRuns`] for an example.
    pub fn has_request(&self, digest: RequestDigest) -> bool {
        self.has(short(&digest))
    }

    fn has(&self, short: u64) -> bool {
        self.newer.contains(&short) || self.older.contains(&short)
    }
}

fn short(what: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    what.hash(&mut hasher);
    hasher.finish()
}
