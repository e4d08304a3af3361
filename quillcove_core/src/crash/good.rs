//! Requests that lately ran to a good end.
//!
//! A popular request (the same question of many callers, or of one that asks again and again) is at every
//! replica at any time, so also at each of several that are killed at once. What has just run well is not
//! what ended them. It is excused for what ends at one moment; after that only another good end excuses it, as
//! a request that used to run well may begin to end replicas.

use std::collections::{HashMap, HashSet};
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

/// Time within which several ends count as one moment: what is killed at once is noticed within some
/// milliseconds, and a caller comes back later than that.
const ONE_MOMENT: Duration = Duration::from_millis(300);

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
/// assert!(runs.has_request(one.digest));
/// assert!(!runs.excuse(RequestIdentity { caller: 2, ..one }, Duration::from_secs(1)));
/// assert!(runs.excuse(one, Duration::from_secs(1)));
/// assert!(!runs.excuse(one, Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct GoodRuns {
    newer: HashSet<u64>,
    older: HashSet<u64>,
    /// When a caller's request was last excused.
    excused: HashMap<u64, MonoTime>,
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
            self.excused.clear();
            self.turned_at = now;
        }
        self.newer.insert(short(&identity));
        self.newer.insert(short(&identity.digest));
    }

    /// Tells whether the request of this very caller is excused for an end at this time, as it lately ran to
    /// a good end.
    ///
    /// See [`GoodRuns`] for an example.
    pub fn excuse(&mut self, identity: RequestIdentity, at: MonoTime) -> bool {
        let caller = short(&identity);
        let is_same = |last: &MonoTime| at.abs_diff(*last) <= ONE_MOMENT;
        if self.excused.get(&caller).is_some_and(is_same) {
            return true;
        }
        // Both sets may have it.
        let has_run_well = self.newer.remove(&caller) | self.older.remove(&caller);
        if has_run_well {
            self.excused.insert(caller, at);
        }
        has_run_well
    }

    /// Tells whether the request of any caller lately ran to a good end.
    ///
    /// See [`GoodRuns`] for an example.
    pub fn has_request(&self, digest: RequestDigest) -> bool {
        let request = short(&digest);
        self.newer.contains(&request) || self.older.contains(&request)
    }
}

fn short(what: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    what.hash(&mut hasher);
    hasher.finish()
}
