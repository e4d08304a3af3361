//! When a part of the platform's store is read again, and how long an answer is waited for.
//!
//! A call that begins while the store answers nobody, or whose connection has gone silent, is never
//! answered, and only its own time limit shows it. What was published meanwhile stays unknown until
//! then. So two rules hold: a watch, from its start to its limit, is shorter than the time after
//! which this process counts as in touch again; and a call that follows a failed one asks for an
//! answer at once, since nothing says yet that the store answers at all.

use std::cmp::Ordering;
use std::time::Duration;

use super::position::StorePosition;
use crate::ids::StoreEra;

/// First pause after a call that failed; doubles up to [`PAUSE_LIMIT`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between calls to a store that fails. Replicas' entries may be back within two
/// seconds of its return, and a caller is served again soon after.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);

/// Shortest time of a watch, so that a small contact time does not turn watches into a busy loop.
const LEAST_WATCH: Duration = Duration::from_millis(200);

/// How one part of the store is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowRules {
    /// Longest time that a watch waits for a change.
    pub watch_time: Duration,
    /// Longest time for an answer, and for that of a watch beyond its own time.
    pub timeout: Duration,
    /// Time after the end of any trouble by which what was published has to be known.
    pub contact_time: Duration,
    /// Pause after an answer, in which changes gather.
    pub gather_time: Duration,
}

impl Default for FollowRules {
    /// The times of the users' first deployments.
    fn default() -> Self {
        Self {
            watch_time: Duration::from_secs(3),
            timeout: Duration::from_millis(800),
            contact_time: Duration::from_secs(3),
            gather_time: Duration::from_millis(600),
        }
    }
}

impl FollowRules {
    /// Time that a watch waits for a change. When it is never answered, its limit, a pause and one
    /// more call that fails still fit into the contact time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::follower::FollowRules;
    ///
    /// assert_eq!(FollowRules::default().watch_time(), Duration::from_millis(1300));
    /// ```
    pub fn watch_time(&self) -> Duration {
        let used = self.timeout * 2 + FIRST_PAUSE;
        let longest = self.contact_time.saturating_sub(used).max(LEAST_WATCH);
        self.watch_time.min(longest)
    }
}

/// The next call of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads all of it.
    Whole,
    /// Asks for the changes after a revision, to be answered after so long at the latest.
    Changes {
        /// Position up to which the part is known.
        after: StorePosition,
        /// Time to wait for a change; zero for an answer at once.
        wait: Duration,
    },
}

/// How the era of an answer stands to what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEra {
    /// It is from before it; the answer says nothing.
    Earlier,
    /// It is the same.
    Known,
    /// The store has come back from a copy since; the part has to be read whole.
    Later,
}

impl AnswerEra {
    /// Judges an answer by the era that it is from. The changes after a position are worth nothing in a later era,
    /// in which revisions are given out again; an answer of an earlier era was late, or comes from a copy.
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

/// Where one part of the store stands.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::follower::{FollowRules, PartFollower, StoreCall};
/// use quillcove_core::relay::position::StorePosition;
///
/// let rules = FollowRules::default();
/// let mut part = PartFollower::new(rules);
/// assert_eq!(part.next_call(), StoreCall::Whole);
/// part.take_answer(StorePosition::in_first_era(7));
/// assert_eq!(part.next_call(), StoreCall::Changes { after: StorePosition::in_first_era(7), wait: rules.watch_time() });
/// part.take_failure();
/// assert_eq!(part.next_call(), StoreCall::Changes { after: StorePosition::in_first_era(7), wait: Duration::ZERO });
/// ```
#[derive(Clone, Debug)]
pub struct PartFollower {
    rules: FollowRules,
    /// Position up to which the part is known; `None` when all of it has to be read.
    position: Option<StorePosition>,
    /// Latest era of which anything is known.
    era: StoreEra,
    /// Calls that failed since the last answer.
    failures: u32,
}

impl PartFollower {
    /// A follower of a part of which nothing is known.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    ///
    /// assert_eq!(PartFollower::new(FollowRules::default()).position(), None);
    /// ```
    pub fn new(rules: FollowRules) -> Self {
        Self { rules, position: None, era: StoreEra::default(), failures: 0 }
    }

    /// The next call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower, StoreCall};
    ///
    /// assert_eq!(PartFollower::new(FollowRules::default()).next_call(), StoreCall::Whole);
    /// ```
    pub fn next_call(&self) -> StoreCall {
        self.next_call_within(Duration::MAX)
    }

    /// The next call, waiting for a change for no longer than this.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower, StoreCall};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartFollower::new(FollowRules::default());
    /// part.take_answer(StorePosition::in_first_era(7));
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

    /// Longest time for the answer of a call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower, StoreCall};
    ///
    /// let rules = FollowRules::default();
    /// assert_eq!(PartFollower::new(rules).limit(StoreCall::Whole), rules.timeout);
    /// ```
    pub fn limit(&self, call: StoreCall) -> Duration {
        match call {
            StoreCall::Whole => self.rules.timeout,
            StoreCall::Changes { wait, .. } => wait + self.rules.timeout,
        }
    }

    /// Position up to which the part is known.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartFollower::new(FollowRules::default());
    /// part.take_answer(StorePosition::in_first_era(7));
    /// assert_eq!(part.position(), Some(StorePosition::in_first_era(7)));
    /// ```
    pub fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Latest era of which anything is known.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartFollower::new(FollowRules::default());
    /// part.know(StorePosition { era: 2, revision: 70 });
    /// assert_eq!((part.era(), part.position()), (2, None));
    /// ```
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Tells whether the part is known and the last call was answered.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    ///
    /// assert!(!PartFollower::new(FollowRules::default()).is_settled());
    /// ```
    pub fn is_settled(&self) -> bool {
        self.position.is_some() && self.failures == 0
    }

    /// Takes a position up to which the part is known from elsewhere, so that older changes are not
    /// asked for; the store may have forgotten them. Where nothing is known yet, all is read.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartFollower::new(FollowRules::default());
    /// part.take_answer(StorePosition::in_first_era(7));
    /// part.know(StorePosition::in_first_era(9));
    /// assert_eq!(part.position(), Some(StorePosition::in_first_era(9)));
    /// ```
    pub fn know(&mut self, position: StorePosition) {
        self.era = self.era.max(position.era);
        if let Some(known) = &mut self.position {
            *known = position.max(*known);
        }
    }

    /// Takes an answer that goes up to a position; tells the pause until the next call.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let rules = FollowRules::default();
    /// assert_eq!(PartFollower::new(rules).take_answer(StorePosition::in_first_era(7)), rules.gather_time);
    /// ```
    pub fn take_answer(&mut self, position: StorePosition) -> Duration {
        self.era = self.era.max(position.era);
        self.position = Some(self.position.map_or(position, |known| known.max(position)));
        self.failures = 0;
        self.rules.gather_time
    }

    /// Takes the failure of a call; tells the pause until the next one.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower};
    ///
    /// let mut part = PartFollower::new(FollowRules::default());
    /// assert!(part.take_failure() < part.take_failure(), "pauses grow");
    /// ```
    pub fn take_failure(&mut self) -> Duration {
        let doubled = FIRST_PAUSE.saturating_mul(2u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        doubled.min(PAUSE_LIMIT)
    }

    /// Takes the news that the changes after the known position can't be had.
    ///
    /// ```
    /// use quillcove_core::relay::follower::{FollowRules, PartFollower, StoreCall};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let mut part = PartFollower::new(FollowRules::default());
    /// part.take_answer(StorePosition::in_first_era(7));
    /// part.forget();
    /// assert_eq!(part.next_call(), StoreCall::Whole);
    /// ```
    pub fn forget(&mut self) {
        self.position = None;
    }
}
