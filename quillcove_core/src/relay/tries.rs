//! Whether a request is its caller's first try, and how long ago that was.
//!
//! Callers say how long they will still wait. On a route whose callers all wait equally long at first,
//! one that waits less has tried before, and the difference is the time since.

use std::time::Duration;

/// Share of a route's longest time by which a first try may fall short of it.
const FIRST_TRY_SHARE: f64 = 0.98;

/// Share of a route's requests that must wait for the longest time before shorter ones are taken for
/// further tries: callers that differ among themselves tell nothing.
const ALIKE_SHARE: f64 = 0.5;

/// Share of what was counted that each request replaces.
const COUNT_SHARE: f64 = 0.01;

/// What the callers of one route have said.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::tries::CallerTries;
///
/// let mut tries = CallerTries::default();
/// assert_eq!(tries.age_of(Duration::from_secs(5)), Duration::ZERO);
/// assert_eq!(tries.age_of(Duration::from_secs(4)), Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTries {
    longest: Duration,
    /// Share of requests that wait for the longest time.
    alike: f64,
}

impl CallerTries {
    /// Time since the first try of a caller that will wait this long from now; zero when it is the
    /// first, or when that can't be told.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::tries::CallerTries;
    ///
    /// assert_eq!(CallerTries::default().age_of(Duration::ZERO), Duration::ZERO);
    /// ```
    pub fn age_of(&mut self, patience: Duration) -> Duration {
        if patience > self.longest {
            *self = Self { longest: patience, alike: 1.0 };
            return Duration::ZERO;
        }
        let is_first = patience >= self.longest.mul_f64(FIRST_TRY_SHARE);
        let seen = if is_first { 1.0 } else { 0.0 };
        self.alike += (seen - self.alike) * COUNT_SHARE;
        match !is_first && self.alike >= ALIKE_SHARE {
            true => self.longest - patience,
            false => Duration::ZERO,
        }
    }
}
