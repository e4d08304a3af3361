//! A pause requested by an upstream, and the gradual increase of requests after it.

use std::time::Duration;

use crate::ids::MonoTime;

/// Length of one step of the increase after a pause; each step allows twice as many requests as the
/// one before. An upstream that rejects the first requests has asked for its next pause by the
/// second step.
const RAMP_STEP: Duration = Duration::from_millis(100);

/// Steps after which the number of requests is no longer restricted: 63 requests have been allowed
/// by then, about as many as an engine processes concurrently.
const RAMP_STEP_COUNT: u32 = 6;

/// A time in which an upstream accepts no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestedPause {
    pub until: MonoTime,
    /// Requests sent since the pause ended.
    pub sent: u32,
}

impl RequestedPause {
    /// Returns how many more requests may be sent now; `None` once the increase after the pause is
    /// complete.
    pub fn remaining_requests(&self, now: MonoTime) -> Option<u32> {
        let Some(over) = now.checked_sub(self.until) else {
            return Some(0);
        };
        let step = (over.as_millis() / RAMP_STEP.as_millis()) as u32;
        let allowed = (step < RAMP_STEP_COUNT).then(|| (2 << step) - 1)?;
        Some(u32::saturating_sub(allowed, self.sent))
    }

    /// Returns the earliest time at which more requests may be sent.
    pub fn next_slot(&self, now: MonoTime) -> MonoTime {
        match now < self.until {
            true => self.until,
            false => now + RAMP_STEP,
        }
    }
}
