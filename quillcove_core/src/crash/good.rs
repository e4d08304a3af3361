//! Requests that succeeded recently.
//!
//! A popular request (sent by many callers, or again and again by one) is in flight at every
//! replica at any time, so also at several replicas that are killed at once. A request that has
//! just succeeded did not cause those exits. A success excuses the request for exits at one point
//! in time. After that it takes another success, since a request that used to succeed may become
//! fatal.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::digest::{RequestDigest, RequestIdentity};
use crate::ids::MonoTime;
use crate::rendezvous::stable_hash;

/// Minimum time for which a success is remembered, unless there are too many. A fatal request makes
/// its replica exit within a second, so a success of the last minute still counts for the same
/// request.
const SUCCESS_LIFETIME: Duration = Duration::from_secs(60);

/// Minimum number of successes that are remembered; two sets of this size take 128 kB.
const MAX_SUCCESSES: usize = 4096;

/// Time within which several exits count as one point in time. Exits of replicas that are killed at
/// once are noticed within a few milliseconds, and a caller retries later than that.
const EXCUSE_WINDOW: Duration = Duration::from_millis(300);

/// Successes by request and by caller, in two sets that are rotated: the older one is dropped.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
/// use quillcove_core::crash::good::RecentSuccesses;
///
/// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
/// let one = RequestIdentity { digest: parts.digest(), caller: 1 };
/// let mut successes = RecentSuccesses::default();
/// successes.record(one, Duration::ZERO);
/// assert!(successes.has_succeeded(one.digest));
/// assert!(!successes.excuse(RequestIdentity { caller: 2, ..one }, Duration::from_secs(1)));
/// assert!(successes.excuse(one, Duration::from_secs(1)));
/// assert!(!successes.excuse(one, Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentSuccesses {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// When a caller's request was last excused.
    excused: HashMap<u64, MonoTime>,
    rotated_at: MonoTime,
}

impl RecentSuccesses {
    /// Records that a request succeeded.
    ///
    /// See [`RecentSuccesses`] for an example.
    pub fn record(&mut self, identity: RequestIdentity, now: MonoTime) {
        let is_old = now.saturating_sub(self.rotated_at) >= SUCCESS_LIFETIME;
        if is_old || self.current.len() >= MAX_SUCCESSES {
            self.previous = std::mem::take(&mut self.current);
            self.excused.clear();
            self.rotated_at = now;
        }
        self.current.insert(stable_hash(&identity));
        self.current.insert(stable_hash(&identity.digest));
    }

    /// Returns whether this caller's request is excused for an exit at `at`, because it succeeded
    /// recently. Uses up the success.
    ///
    /// See [`RecentSuccesses`] for an example.
    pub fn excuse(&mut self, identity: RequestIdentity, at: MonoTime) -> bool {
        let caller = stable_hash(&identity);
        let is_same = |last: &MonoTime| at.abs_diff(*last) <= EXCUSE_WINDOW;
        if self.excused.get(&caller).is_some_and(is_same) {
            return true;
        }
        // Both sets may contain it.
        let has_succeeded_for_caller = self.current.remove(&caller) | self.previous.remove(&caller);
        if has_succeeded_for_caller {
            self.excused.insert(caller, at);
        }
        has_succeeded_for_caller
    }

    /// Returns whether the request succeeded recently for any caller.
    ///
    /// See [`RecentSuccesses`] for an example.
    pub fn has_succeeded(&self, digest: RequestDigest) -> bool {
        let request = stable_hash(&digest);
        self.current.contains(&request) || self.previous.contains(&request)
    }
}
