//! The warm-up of an upstream: for a while after a start it accepts only a few requests a second
//! from all processes together.

use super::limit::RateLimit;
use super::pace::RequestPacer;
use crate::ids::MonoTime;

/// The warm-up of an upstream and the pace of this process during it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WarmUp {
    until: MonoTime,
    pace: RequestPacer,
}

impl WarmUp {
    /// Starts a warm-up that is known from `now` on. This process sends nothing until its share of
    /// the rate is set; until then, other processes send what the upstream accepts.
    pub(super) fn new(rate: RateLimit, until: MonoTime, now: MonoTime) -> Self {
        let mut pace = RequestPacer::new(Some(rate), now, now);
        pace.set_gap(None, now);
        Self { until, pace }
    }

    /// Returns the pace, or `None` after the warm-up has ended.
    pub(super) fn pace(&self, now: MonoTime) -> Option<&RequestPacer> {
        (now < self.until).then_some(&self.pace)
    }

    /// Returns the pace for changes, or `None` after the warm-up has ended.
    pub(super) fn pace_mut(&mut self, now: MonoTime) -> Option<&mut RequestPacer> {
        (now < self.until).then_some(&mut self.pace)
    }

    /// Moves the end to `until` if that is later. An earlier end is ignored: it does not contradict
    /// the later one already reported.
    pub(super) fn extend(&mut self, until: MonoTime) {
        self.until = self.until.max(until);
    }
}
