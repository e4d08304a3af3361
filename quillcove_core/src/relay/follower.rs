//! Scheduling of calls that read one part of the platform's store: what to call next, how long to
//! wait for the response, and how long to back off after a failure.
//!
//! A call that begins while the store answers nobody, or whose connection has gone silent, is never
//! answered; only the call's own timeout reveals that, and changes published in the meantime stay
//! unknown until then. Therefore two rules hold. A watch, from its start to its timeout, is shorter
//! than the time within which this process has to be in contact again. A call that follows a failed
//! one requests an immediate response, since nothing shows yet that the store answers at all.

use std::cmp::Ordering;
use std::time::Duration;

use super::position::StorePosition;
use crate::ids::StoreEra;

/// Backoff after the first failed call; doubles with each further failure up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff between calls to a store that fails. Entries of replicas may be back within two
/// seconds of the store's return, and callers should be served again soon after that.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Shortest watch, so that a small contact time does not turn watches into a busy loop.
const MIN_WATCH: Duration = Duration::from_millis(200);

/// Timing of the calls that follow one part of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRules {
    /// Longest time that a watch waits for a change.
    pub watch_time: Duration,
    /// Timeout of a call; for a watch, the time allowed beyond its own wait.
    pub timeout: Duration,
    /// Time after the end of any outage within which published changes have to be known.
    pub contact_time: Duration,
    /// Pause after a response, in which further changes accumulate so that one call returns them.
    pub gather_time: Duration,
}

impl Default for WatchRules {
    /// Returns the times of the users' first deployments.
    fn default() -> Self {
        Self {
            watch_time: Duration::from_secs(3),
            timeout: Duration::from_millis(800),
            contact_time: Duration::from_secs(3),
            gather_time: Duration::from_millis(600),
        }
    }
}

impl WatchRules {
    /// Returns the time that a watch waits for a change. It is short enough that, when a watch is
    /// never answered, its timeout, one backoff and one more failing call still fit into the
    /// contact time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::follower::WatchRules;
    ///
    /// assert_eq!(WatchRules::default().watch_time(), Duration::from_millis(1300));
    /// ```
    pub fn watch_time(&self) -> Duration {
        let used = self.timeout * 2 + FIRST_BACKOFF;
        let longest = self.contact_time.saturating_sub(used).max(MIN_WATCH);
        self.watch_time.min(longest)
    }
}

/// The next call for a part of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the whole part.
    Whole,
    /// Requests the changes after a position; answered after `wait` at the latest.
    Changes {
        /// Position up to which the part is known.
        after: StorePosition,
        /// Time to wait for a change; zero requests an immediate response.
        wait: Duration,
    },
}

/// The era of a response compared with the latest era known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEra {
    /// The response is from an earlier era and has to be ignored.
    Earlier,
    /// Both are of the same era.
    Known,
    /// The store has been restored from a copy since; the part has to be read whole.
    Later,
}

impl AnswerEra {
    /// Compares the era of a response with the latest known one. Changes after a position can't be
    /// used in a later era, in which revision numbers are assigned again; a response from an
    /// earlier era was delayed or comes from a copy of the store.
    ///
    /// ```
    /// use quillcove_core::relay::follower::AnswerEra;
    ///
    /// assert_eq!(AnswerEra::judge(0, 1), AnswerEra::Earlier);
    /// assert_eq!(AnswerEra::judge(1, 1), AnswerEra::Known);
    /// assert_eq!(AnswerEra::judge(2, 1), AnswerEra::Later);
    /// ```
    pub fn judge(found: StoreEra, known: StoreEra) -> Self {
        match found.cmp(&known) {
            Ordering::Less => Self::Earlier,
            Ordering::Equal => Self::Known,
            Ordering::Greater => Self::Later,
        }
    }
}

/// Progress of reading one part of the store.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::follower::{WatchRules, PartWatcher, StoreCall};
/// use quillcove_core::relay::position::StorePosition;
///
/// let rules = WatchRules::default();
/// let mut part = PartWatcher::new(rules);
/// assert_eq!(part.next_call(), StoreCall::Whole);
/// part.record_response(StorePosition::in_first_era(7));
/// assert_eq!(part.next_call(), StoreCall::Changes { after: StorePosition::in_first_era(7), wait: rules.watch_time() });
/// part.record_failure();
/// assert_eq!(part.next_call(), StoreCall::Changes { after: StorePosition::in_first_era(7), wait: Duration::ZERO });
/// ```
#[derive(Clone, Debug)]
pub struct PartWatcher {
    rules: WatchRules,
    /// Position up to which the part is known; `None` when it has to be read whole.
    position: Option<StorePosition>,
    /// Latest era seen, in a response or from another relay.
    era: StoreEra,
    /// Consecutive failed calls since the last response.
    failures: u32,
}

impl PartWatcher {
    /// Creates the state for a part that has not been read yet.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    ///
    /// assert_eq!(PartWatcher::new(WatchRules::default()).position(), None);
    /// ```
    pub fn new(rules: WatchRules) -> Self {
        Self { rules, position: None, era: StoreEra::default(), failures: 0 }
    }

    /// Returns the next call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher, StoreCall};
    ///
    /// assert_eq!(PartWatcher::new(WatchRules::default()).next_call(), StoreCall::Whole);
    /// ```
    pub fn next_call(&self) -> StoreCall {
        self.next_call_within(Duration::MAX)
    }

    /// Returns the next call, with the wait for a change capped at `longest`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher, StoreCall};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartWatcher::new(WatchRules::default());
    /// part.record_response(StorePosition::in_first_era(7));
    /// let call = part.next_call_within(Duration::ZERO);
    /// assert_eq!(call, StoreCall::Changes { after: StorePosition::in_first_era(7), wait: Duration::ZERO });
    /// ```
    pub fn next_call_within(&self, longest: Duration) -> StoreCall {
        let Some(after) = self.position else {
            return StoreCall::Whole;
        };
        let wait = match self.failures {
            0 => self.rules.watch_time().min(longest),
            _ => Duration::ZERO,
        };
        StoreCall::Changes { after, wait }
    }

    /// Returns the timeout of a call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher, StoreCall};
    ///
    /// let rules = WatchRules::default();
    /// assert_eq!(PartWatcher::new(rules).limit(StoreCall::Whole), rules.timeout);
    /// ```
    pub fn limit(&self, call: StoreCall) -> Duration {
        match call {
            StoreCall::Whole => self.rules.timeout,
            StoreCall::Changes { wait, .. } => wait + self.rules.timeout,
        }
    }

    /// Returns the position up to which the part is known; `None` when it has to be read whole.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartWatcher::new(WatchRules::default());
    /// part.record_response(StorePosition::in_first_era(7));
    /// assert_eq!(part.position(), Some(StorePosition::in_first_era(7)));
    /// ```
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Returns the latest era seen.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartWatcher::new(WatchRules::default());
    /// part.advance_to(StorePosition { era: 2, revision: 70 });
    /// assert_eq!((part.era(), part.position()), (2, None));
    /// ```
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns whether the part has been read and the last call succeeded.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    ///
    /// assert!(!PartWatcher::new(WatchRules::default()).is_settled());
    /// ```
    pub fn is_settled(&self) -> bool {
        self.position.is_some() && self.failures == 0
    }

    /// Advances the known position to one that another relay reported, so that older changes are
    /// not requested; the store may no longer have them. Does not set a position for a part that
    /// has not been read yet: that part is still read whole.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartWatcher::new(WatchRules::default());
    /// part.record_response(StorePosition::in_first_era(7));
    /// part.advance_to(StorePosition::in_first_era(9));
    /// assert_eq!(part.position(), Some(StorePosition::in_first_era(9)));
    /// ```
    pub fn advance_to(&mut self, position: StorePosition) {
        self.era = self.era.max(position.era);
        if let Some(known) = &mut self.position {
            *known = position.max(*known);
        }
    }

    /// Records a response that covers the part up to `position`. Returns the pause until the next
    /// call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let rules = WatchRules::default();
    /// assert_eq!(PartWatcher::new(rules).record_response(StorePosition::in_first_era(7)), rules.gather_time);
    /// ```
    pub fn record_response(&mut self, position: StorePosition) -> Duration {
        self.era = self.era.max(position.era);
        self.position = Some(self.position.map_or(position, |known| known.max(position)));
        self.failures = 0;
        self.rules.gather_time
    }

    /// Records a failed call. Returns the backoff until the next call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher};
    ///
    /// let mut part = PartWatcher::new(WatchRules::default());
    /// assert!(part.record_failure() < part.record_failure(), "pauses grow");
    /// ```
    pub fn record_failure(&mut self) -> Duration {
        let doubled = FIRST_BACKOFF.saturating_mul(2u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        doubled.min(MAX_BACKOFF)
    }

    /// Records that the changes after the known position are not available, so that the next call
    /// reads the whole part.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{WatchRules, PartWatcher, StoreCall};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartWatcher::new(WatchRules::default());
    /// part.record_response(StorePosition::in_first_era(7));
    /// part.forget();
    /// assert_eq!(part.next_call(), StoreCall::Whole);
    /// ```
    pub fn forget(&mut self) {
        self.position = None;
    }
}
