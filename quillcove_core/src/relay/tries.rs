//! Estimates whether a request is its caller's first attempt, and how long ago that was.
//!
//! Callers state how long they will still wait. On a route whose callers all start with the same time,
//! one that states less has tried before, and the difference is the time since its first attempt.

use std::time::Duration;

/// Share of a route's longest waiting time from which on a request counts as a first attempt.
const FIRST_ATTEMPT_SHARE: f64 = 0.98;

/// Share of a route's requests that must state the longest waiting time for shorter ones to count as
/// retries. If callers differ in their waiting times, a short one does not identify a retry.
const UNIFORM_MIN_SHARE: f64 = 0.5;

/// Weight of the latest request in the moving average of the share of requests that state the longest
/// waiting time.
const AVERAGE_WEIGHT: f64 = 0.01;

/// Waiting times that the callers of one route have stated.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::tries::CallerTries;
///
/// let mut tries = CallerTries::default();
/// assert_eq!(tries.time_since_first_attempt(Duration::from_secs(5)), Duration::ZERO);
/// assert_eq!(tries.time_since_first_attempt(Duration::from_secs(4)), Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTries {
    /// Longest waiting time stated so far.
    longest: Duration,
    /// Moving average of the share of requests that state the longest waiting time.
    uniform_share: f64,
}

impl CallerTries {
    /// Records a request whose caller will wait this long from now, and returns the time since the
    /// caller's first attempt. Zero for a first attempt and if it cannot be determined.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::tries::CallerTries;
    ///
    /// assert_eq!(CallerTries::default().time_since_first_attempt(Duration::ZERO), Duration::ZERO);
    /// ```
    pub fn time_since_first_attempt(&mut self, waiting_time: Duration) -> Duration {
        if waiting_time > self.longest {
            *self = Self { longest: waiting_time, uniform_share: 1.0 };
            return Duration::ZERO;
        }
        let is_first = waiting_time >= self.longest.mul_f64(FIRST_ATTEMPT_SHARE);
        let sample = if is_first { 1.0 } else { 0.0 };
        self.uniform_share += (sample - self.uniform_share) * AVERAGE_WEIGHT;
        match !is_first && self.uniform_share >= UNIFORM_MIN_SHARE {
            true => self.longest - waiting_time,
            false => Duration::ZERO,
        }
    }
}
