//! A time in which an upstream is cold: it has just started, or starts again, and bears few requests a second from
//! all processes together.

use super::limit::RateLimit;
use super::pace::LimitTerm;
use crate::ids::MonoTime;

/// A time in which an upstream is cold, and this process's pace meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ColdTerm {
    until: MonoTime,
    pace: LimitTerm,
}

impl ColdTerm {
    /// A term that becomes known now. Another process sends what the upstream bears until a share is set here.
    pub(super) fn new(rate: RateLimit, until: MonoTime, now: MonoTime) -> Self {
        let mut pace = LimitTerm::new(Some(rate), now, now);
        pace.set_gap(None, now);
        Self { until, pace }
    }

    /// The pace, unless the term is over.
    pub(super) fn pace(&self, now: MonoTime) -> Option<&LimitTerm> {
        (now < self.until).then_some(&self.pace)
    }

    /// The same, to be changed.
    pub(super) fn pace_mut(&mut self, now: MonoTime) -> Option<&mut LimitTerm> {
        (now < self.until).then_some(&mut self.pace)
    }

    /// Takes a later end; an earlier one says nothing of the word that is known.
    pub(super) fn extend(&mut self, until: MonoTime) {
        self.until = self.until.max(until);
    }
}
