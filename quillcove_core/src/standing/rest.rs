//! A rest of an upstream, and the steps in which work returns after it.

use std::time::Duration;

use crate::ids::MonoTime;

/// After a rest, requests go out in steps of this length, each with twice as many as the one before. An upstream
/// that turns the first ones away again has asked for the next rest by the second step.
const RETURN_STEP: Duration = Duration::from_millis(100);

/// Steps after which an upstream that rested takes work as any other: 63 requests have been allowed by then,
/// about as many as an engine works on at once.
const RETURN_STEPS: u32 = 6;

/// A time in which an upstream wants nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RestTerm {
    pub until: MonoTime,
    /// Requests sent after its end.
    pub sent: u32,
}

impl RestTerm {
    /// Requests that may still go out now; `None` when it is long over.
    pub fn left(&self, now: MonoTime) -> Option<u32> {
        let Some(over) = now.checked_sub(self.until) else {
            return Some(0);
        };
        let step = (over.as_millis() / RETURN_STEP.as_millis()) as u32;
        let allowed = (step < RETURN_STEPS).then(|| (2 << step) - 1)?;
        Some(u32::saturating_sub(allowed, self.sent))
    }

    /// From when on a request may go out.
    pub fn next(&self, now: MonoTime) -> MonoTime {
        match now < self.until {
            true => self.until,
            false => now + RETURN_STEP,
        }
    }
}
