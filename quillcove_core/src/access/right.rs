//! Key validity: how long keys stay valid without an update from the platform's store.
//!
//! A revoked key must stop working everywhere within the configured bound, also at a relay that was
//! cut off or suspended or receives no updates. A relay therefore tracks the age of its freshness
//! proof: the time since the latest moment for which it is proved that everything published by then
//! is known here.
//!
//! For a read of the store, that moment is the start of the read, not its end. For an answer of
//! another relay, it is the time at which that relay was asked, less the age that the answer
//! states. So neither network delay nor a suspension of the process makes a proof look fresher than
//! it is. The steady clock counts suspensions.

use std::time::Duration;

use crate::ids::MonoTime;

/// Part of the bound that is left unused, because the clocks of two hosts may drift apart. 0.1 s of
/// 5 s is a hundred times the drift of a computer's clock. The time between the sending of a
/// request and its check needs no margin: it errs on the safe side.
const VALIDITY_MARGIN: Duration = Duration::from_millis(100);

/// Share of the bound that one watch call to the store may take. A proof counts from the start of a
/// watch call, so it is two calls old when the next call ends. With this share it is still fresher
/// than [`ASK_SHARE`] then, and a call that is never answered leaves time for another.
const WATCH_SHARE: f64 = 0.2;

/// Share of the bound at which a relay asks others for a fresher proof. The other half leaves time
/// for several lost requests and then for a read of the store.
const ASK_SHARE: f64 = 0.5;

/// Share of the bound at which a relay that has received no fresher proof reads the store itself.
const READ_SHARE: f64 = 0.6;

/// Interval between two requests for a fresher proof: a lost one costs a tenth of the shortest
/// bound in use.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Retry delay given to a caller that was rejected because the known keys are too old: time for one
/// request to another relay, or for one read of the store.
pub const RENEWAL_TIME: Duration = Duration::from_millis(250);

/// How to renew the freshness proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofStep {
    /// Do nothing: the proof is fresh enough, was requested a moment ago, or has no bound.
    Idle,
    /// Ask other relays.
    Ask,
    /// Ask other relays, and read the store.
    AskAndRead,
}

/// The bound on the time for which revoked keys may go on working.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::access::right::KeyValidityRules;
///
/// let rules = KeyValidityRules { bound: Some(Duration::from_secs(5)) };
/// let now = Duration::from_secs(100);
/// assert!(rules.holds(Some(now - Duration::from_secs(4)), now));
/// assert!(!rules.holds(Some(now - Duration::from_secs(5)), now));
/// assert!(!rules.holds(None, now));
/// assert!(KeyValidityRules::default().holds(None, now));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyValidityRules {
    /// Longest time for which a key may go on working after it was revoked; `None` for no bound.
    pub bound: Option<Duration>,
}

impl KeyValidityRules {
    /// Returns whether keys are valid at `now`, if everything published before `proved_at` is
    /// known.
    ///
    /// See [`KeyValidityRules`] for an example.
    pub fn holds(&self, proved_at: Option<MonoTime>, now: MonoTime) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        proved_at.is_some_and(|at| now.saturating_sub(at) < bound.saturating_sub(VALIDITY_MARGIN))
    }

    /// Returns the longest watch call to the store that keeps the proof fresh enough; `None` if
    /// there is no bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::right::KeyValidityRules;
    ///
    /// let rules = KeyValidityRules { bound: Some(Duration::from_secs(5)) };
    /// assert_eq!(rules.watch_time(), Some(Duration::from_secs(1)));
    /// ```
    pub fn watch_time(&self) -> Option<Duration> {
        self.bound.map(|bound| bound.mul_f64(WATCH_SHARE))
    }

    /// Returns how to renew the freshness proof; `asked_at` is when other relays were last asked.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::right::{KeyValidityRules, ProofStep};
    ///
    /// let rules = KeyValidityRules { bound: Some(Duration::from_secs(5)) };
    /// let now = Duration::from_secs(100);
    /// let step = |age| rules.step(Some(now - Duration::from_millis(age)), None, now);
    /// assert_eq!(step(1000), ProofStep::Idle);
    /// assert_eq!(step(2600), ProofStep::Ask);
    /// assert_eq!(step(3100), ProofStep::AskAndRead);
    /// ```
    pub fn step(
        &self,
        proved_at: Option<MonoTime>,
        asked_at: Option<MonoTime>,
        now: MonoTime,
    ) -> ProofStep {
        let Some(bound) = self.bound else {
            return ProofStep::Idle;
        };
        let age = proved_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        let was_just_asked = asked_at.is_some_and(|at| now.saturating_sub(at) < ASK_INTERVAL);
        if age < bound.mul_f64(ASK_SHARE) || was_just_asked {
            return ProofStep::Idle;
        }
        match age < bound.mul_f64(READ_SHARE) {
            true => ProofStep::Ask,
            false => ProofStep::AskAndRead,
        }
    }
}
