//! How long a key may be taken as valid without news from the platform's store.
//!
//! A key that was taken away must stop working everywhere within the users' bound, also at a relay that
//! was cut off, paused, or is told nothing. So the right that keys give has an age: the time since a
//! moment of which it is proved that all that had been published by then is known here. The moment is
//! the beginning of a reading of the store, not its end, and for what another relay tells the moment at
//! which it was asked, less the age that it names: neither the way of a message nor a pause of a process
//! makes an age younger than it is. The steady clock counts pauses.

use std::time::Duration;

use crate::ids::MonoTime;

/// Part of the users' bound that is not used: clocks of two hosts may run a little apart, and a request
/// is looked at some time after it was sent only on the safe side. 0.1 s of 5 s is a hundred times the
/// drift of a computer's clock.
const RIGHT_MARGIN: Duration = Duration::from_millis(100);

/// Share of the bound that a watch of the store may take. A proof counts from the beginning of a watch, so
/// that it is two watches old when the next one ends: at this share it stays younger than the share at
/// which others are asked, and one watch that is never answered still leaves time for another call.
const WATCH_SHARE: f64 = 0.2;

/// Share of the bound at which a relay asks others for a younger proof. Half of it leaves time for
/// several lost questions and then for a reading of the store of its own.
const ASK_SHARE: f64 = 0.5;

/// Share of the bound at which a relay that nobody gave a younger proof reads the store for itself.
const READ_SHARE: f64 = 0.6;

/// Time between two questions for a younger proof: a lost one costs a tenth of the users' shortest bound.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a caller may come back that was refused as the knowledge is old: one question to
/// another relay, or one reading of the store.
pub const RENEWAL_TIME: Duration = Duration::from_millis(250);

/// What is to be done about the age of the right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RightStep {
    /// Nothing: it is young, or there is no bound.
    Rest,
    /// Ask other relays.
    Ask,
    /// Ask other relays, and read the store.
    AskAndRead,
}

/// The users' bound for keys that were taken away.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::access::right::RightRules;
///
/// let rules = RightRules { bound: Some(Duration::from_secs(5)) };
/// let now = Duration::from_secs(100);
/// assert!(rules.holds(Some(now - Duration::from_secs(4)), now));
/// assert!(!rules.holds(Some(now - Duration::from_secs(5)), now));
/// assert!(!rules.holds(None, now));
/// assert!(RightRules::default().holds(None, now));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RightRules {
    /// Longest time for which a key may go on working after it was taken away; `None` when the users
    /// give no bound.
    pub bound: Option<Duration>,
}

impl RightRules {
    /// Tells whether keys are still good at a moment, when all that was published before another moment
    /// is known.
    ///
    /// See [`RightRules`] for an example.
    pub fn holds(&self, proved_at: Option<MonoTime>, now: MonoTime) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        proved_at.is_some_and(|at| now.saturating_sub(at) < bound.saturating_sub(RIGHT_MARGIN))
    }

    /// Longest watch of the store that keeps proofs young enough; `None` when there is no bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::right::RightRules;
    ///
    /// let rules = RightRules { bound: Some(Duration::from_secs(5)) };
    /// assert_eq!(rules.watch_time(), Some(Duration::from_secs(1)));
    /// ```
    pub fn watch_time(&self) -> Option<Duration> {
        self.bound.map(|bound| bound.mul_f64(WATCH_SHARE))
    }

    /// What to do about the age of the right; `asked_at` is when others were asked last.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::right::{RightRules, RightStep};
    ///
    /// let rules = RightRules { bound: Some(Duration::from_secs(5)) };
    /// let now = Duration::from_secs(100);
    /// let step = |age| rules.step(Some(now - Duration::from_millis(age)), None, now);
    /// assert_eq!(step(1000), RightStep::Rest);
    /// assert_eq!(step(2600), RightStep::Ask);
    /// assert_eq!(step(3100), RightStep::AskAndRead);
    /// ```
    pub fn step(
        &self,
        proved_at: Option<MonoTime>,
        asked_at: Option<MonoTime>,
        now: MonoTime,
    ) -> RightStep {
        let Some(bound) = self.bound else {
            return RightStep::Rest;
        };
        let age = proved_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        let is_asked = asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_INTERVAL);
        if age < bound.mul_f64(ASK_SHARE) || is_asked {
            return RightStep::Rest;
        }
        match age < bound.mul_f64(READ_SHARE) {
            true => RightStep::Ask,
            false => RightStep::AskAndRead,
        }
    }
}
