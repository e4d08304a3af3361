//! The rate at which an upstream accepts requests from all processes together.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum time between two requests. Only an upstream's answers show that it has capacity again,
/// so even one that accepts no requests, or almost none, is probed at this interval.
const MAX_GAP: Duration = Duration::from_secs(10);

/// Minimum time between two requests; rates above a million requests a second are not limited
/// further.
const MIN_GAP: Duration = Duration::from_micros(1);

/// A request rate, stored as the time between two requests.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::standing::limit::RateLimit;
///
/// let limit = RateLimit::per_second(2.5).unwrap();
/// assert_eq!(limit.gap(), Duration::from_millis(400));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    gap: Duration,
}

impl RateLimit {
    /// Creates a limit from requests a second; `None` if `rate` is negative or not finite.
    ///
    /// ```
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// assert!(RateLimit::per_second(0.0).is_some());
    /// assert!(RateLimit::per_second(-1.0).is_none());
    /// assert!(RateLimit::per_second(f64::NAN).is_none());
    /// ```
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        let gap = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_GAP);
        is_rate.then(|| Self { gap: gap.clamp(MIN_GAP, MAX_GAP) })
    }

    /// Returns the rate in requests a second.
    ///
    /// ```
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// assert_eq!(RateLimit::per_second(4.0).unwrap().rate(), 4.0);
    /// ```
    pub fn rate(self) -> f64 {
        1.0 / self.gap.as_secs_f64()
    }

    /// Returns the lower of two rates, or this one if `other` is `None`.
    ///
    /// ```
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let [low, high] = [1.0, 3.0].map(|rate| RateLimit::per_second(rate).unwrap());
    /// assert_eq!(high.min_with(Some(low)), low);
    /// assert_eq!(high.min_with(None), high);
    /// ```
    pub fn min_with(self, other: Option<Self>) -> Self {
        let gap = other.map_or(self.gap, |other| other.gap.max(self.gap));
        Self { gap }
    }

    /// Returns the time between two requests.
    ///
    /// ```
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// assert_eq!(RateLimit::per_second(4.0).unwrap().gap().as_millis(), 250);
    /// ```
    pub fn gap(self) -> Duration {
        self.gap
    }
}

/// Parses the rate in a header: requests a second, fractions allowed.
///
/// ```
/// use quillcove_core::standing::limit::{RateLimit, read_limit};
///
/// assert_eq!(read_limit(" 1.6 "), RateLimit::per_second(1.6));
/// assert_eq!(read_limit("few"), None);
/// ```
pub fn read_limit(text: &str) -> Option<RateLimit> {
    RateLimit::per_second(text.trim().parse().ok()?)
}
