//! Measurement of demand with exponential decay.

use std::time::Duration;

use crate::ids::MonoTime;

/// Event counter that decays exponentially with a half-life, so that recent demand counts more.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::demand::DemandMeter;
///
/// let half_life = Duration::from_secs(10);
/// let mut meter = DemandMeter::default();
/// meter.add(Duration::ZERO, 8.0, half_life);
/// assert_eq!(meter.level(Duration::from_secs(10), half_life), 4.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandMeter {
    level: f64,
    updated: MonoTime,
}

impl DemandMeter {
    /// Adds `amount` events at the time `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::demand::DemandMeter;
    ///
    /// let mut meter = DemandMeter::default();
    /// meter.add(Duration::ZERO, 1.0, Duration::from_secs(1));
    /// assert_eq!(meter.level(Duration::ZERO, Duration::from_secs(1)), 1.0);
    /// ```
    pub fn add(&mut self, now: MonoTime, amount: f64, half_life: Duration) {
        self.level = self.level(now, half_life) + amount;
        self.updated = now;
    }

    /// Returns the decayed count, in events.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::demand::DemandMeter;
    ///
    /// assert_eq!(DemandMeter::default().level(Duration::ZERO, Duration::from_secs(1)), 0.0);
    /// ```
    pub fn level(&self, now: MonoTime, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.level * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Returns the rate, in events per second, at which the level would stay constant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::demand::DemandMeter;
    ///
    /// let mut meter = DemandMeter::default();
    /// meter.add(Duration::ZERO, 10.0, Duration::from_secs(10));
    /// let rate = meter.rate(Duration::ZERO, Duration::from_secs(10));
    /// assert!((rate - 0.693).abs() < 0.001);
    /// ```
    pub fn rate(&self, now: MonoTime, half_life: Duration) -> f64 {
        self.level(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}
