//! Rejections of first attempts that can be served in time when they return, because another engine is loading the adapter.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decision::RETRY_DELAY_SHARE;
use crate::ids::{AdapterKey, MonoTime};

/// Share of the target latency within which a request may be rejected for a better return: after that, too little time
/// is left for the caller's way back.
pub const EARLY_REJECT_SHARE: f64 = 0.2;

/// Time for the caller's way back and for the report of a finished load to reach the relays.
const RETURN_TIME: Duration = Duration::from_millis(100);

/// When a rejected caller has to return in order to be served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnWindow {
    /// Shortest retry delay.
    pub earliest: Duration,
    /// Longest retry delay.
    pub latest: Duration,
}

impl ReturnWindow {
    /// Returns the window for a request if the adapter will be loaded at another engine at `ready_at` and its first event
    /// arrives there after `first_event_time`; `None` if it would be late there, or would return later than callers do.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::admission::returns::ReturnWindow;
    ///
    /// let ms = Duration::from_millis;
    /// let window = ReturnWindow::find(ms(300), ms(100), ms(1000), ms(5000), ms(0)).unwrap();
    /// assert_eq!((window.earliest, window.latest), (ms(400), ms(800)));
    /// ```
    pub fn find(
        ready_at: MonoTime,
        first_event_time: Duration,
        due: MonoTime,
        abandon_at: MonoTime,
        now: MonoTime,
    ) -> Option<Self> {
        let earliest = ready_at.saturating_sub(now) + RETURN_TIME;
        let longest = abandon_at.saturating_sub(now).mul_f64(RETRY_DELAY_SHARE);
        let in_time = due.checked_sub(now + first_event_time + RETURN_TIME)?;
        let latest = in_time.min(longest);
        (earliest <= latest).then_some(Self { earliest, latest })
    }

    /// Returns the retry delay at a position within the window, 0 for the earliest and 1 for the latest. Random positions
    /// distribute the returns.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::admission::returns::ReturnWindow;
    ///
    /// let ms = Duration::from_millis;
    /// assert_eq!(ReturnWindow { earliest: ms(100), latest: ms(300) }.at(0.5), ms(200));
    /// ```
    pub fn at(&self, position: f64) -> Duration {
        self.earliest + self.latest.saturating_sub(self.earliest).mul_f64(position)
    }

    /// Returns the number of prompts, each taking `own_time`, whose callers can be served in time in this window.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::admission::returns::ReturnWindow;
    ///
    /// let ms = Duration::from_millis;
    /// assert_eq!(ReturnWindow { earliest: ms(100), latest: ms(300) }.capacity(ms(100)), 2.0);
    /// ```
    pub fn capacity(&self, own_time: Duration) -> f64 {
        let length = self.latest.saturating_sub(self.earliest);
        length.as_secs_f64() / own_time.as_secs_f64().max(0.001)
    }
}

/// The callers that this relay has rejected because an adapter will be loaded.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::ids::AdapterKey;
/// use quillcove_core::relay::admission::returns::PlannedReturns;
///
/// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
/// let mut returns = PlannedReturns::default();
/// let until = Duration::from_secs(1);
/// assert!(returns.reserve(&key, 1.0, 0.5, until, Duration::ZERO));
/// assert!(!returns.reserve(&key, 1.0, 0.5, until, Duration::ZERO));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlannedReturns {
    by_adapter: BTreeMap<AdapterKey, AdapterReturns>,
}

/// The callers rejected because of one load.
#[derive(Clone, Copy, Debug)]
struct AdapterReturns {
    count: u32,
    /// Random number that decides on the fraction of a share. It is drawn once, because with a new one for each request
    /// every relay would reserve a return in the end.
    draw: f64,
    /// When the last of the callers returns.
    until: MonoTime,
}

impl PlannedReturns {
    /// Reserves one of the returns that fit, `capacity` being this relay's share of them. The fraction of a share beyond the
    /// whole number is reserved with that probability, `draw` being a random number from 0 to 1.
    ///
    /// See [`PlannedReturns`] for an example.
    pub fn reserve(
        &mut self,
        key: &AdapterKey,
        capacity: f64,
        draw: f64,
        until: MonoTime,
        now: MonoTime,
    ) -> bool {
        self.by_adapter.retain(|_, returns| now < returns.until);
        let first = AdapterReturns { count: 0, draw, until };
        let returns = self.by_adapter.entry(key.clone()).or_insert(first);
        if f64::from(returns.count) + returns.draw >= capacity {
            return false;
        }
        returns.count += 1;
        returns.until = returns.until.max(until);
        true
    }
}
