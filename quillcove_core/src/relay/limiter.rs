//! Limits the number of concurrent adapter loads from the weight store.
//!
//! The store serves a few loads at full speed and divides its bandwidth among further ones. The number that it serves
//! at full speed is not published, so it is learnt from load times, in the manner of TCP Vegas (Brakmo and Peterson,
//! 1995): while loads take their minimum time there is room for more, and the time beyond the minimum shows by how many
//! loads the limit is too high.

use std::time::Duration;

/// Concurrent loads until the first load has been measured.
const INITIAL_LIMIT: f64 = 4.0;

/// Minimum number of concurrent loads, so that the limit can recover.
const MIN_LIMIT: f64 = 2.0;

/// Maximum number of concurrent loads; no weight store in use serves as many at full speed.
const MAX_LIMIT: f64 = 64.0;

/// Ratio of a load time to the minimum load time up to which a load counts as served at full speed.
const FULL_SPEED_RATIO: f64 = 1.4;

/// Growth of the limit per load at full speed, before the first slow load.
const INITIAL_GROWTH: f64 = 1.0;

/// Growth of the limit per load at full speed, after the first slow load.
const GROWTH: f64 = 0.3;

/// Weight of a slow load in the moving average of the limit.
const SLOW_WEIGHT: f64 = 0.1;

/// Concurrent loads beyond those that the store seems to serve at full speed, so that it is never idle while adapters
/// are wanted.
const HEADROOM: f64 = 1.0;

/// Headroom as a share of the loads that the store serves at full speed, in addition to [`HEADROOM`]. Reports lag: with
/// no more concurrent loads than the store serves, it was idle for a fifth of a busy day.
const HEADROOM_SHARE: f64 = 0.25;

/// Weight of a slow load in the minimum load time when almost no other loads ran: then the store itself has become
/// slower.
const MIN_TIME_WEIGHT: f64 = 0.1;

/// Weight of a new load in the mean load time.
const MEAN_WEIGHT: f64 = 0.15;

/// Assumed load time until the first load has been measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(300);

/// Learns the number of loads that the weight store serves at full speed.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::limiter::LoadLimiter;
///
/// let mut limiter = LoadLimiter::default();
/// let before = limiter.limit();
/// limiter.note_load(Duration::from_millis(250), before);
/// assert!(limiter.limit() >= before);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LoadLimiter {
    limit: f64,
    /// Minimum load time in seconds; `None` until the first load has been measured.
    min_time: Option<f64>,
    /// Mean load time in seconds.
    mean_time: f64,
    has_seen_slow_load: bool,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            min_time: None,
            mean_time: INITIAL_LOAD_TIME.as_secs_f64(),
            has_seen_slow_load: false,
        }
    }
}

impl LoadLimiter {
    /// Returns the number of loads that may run concurrently.
    ///
    /// ```
    /// use quillcove_core::relay::limiter::LoadLimiter;
    ///
    /// assert!(LoadLimiter::default().limit() > 0);
    /// ```
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns the mean time of a load from the weight store.
    ///
    /// ```
    /// use quillcove_core::relay::limiter::LoadLimiter;
    ///
    /// assert!(LoadLimiter::default().load_time() > std::time::Duration::ZERO);
    /// ```
    pub fn load_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_time)
    }

    /// Records the time of a load from the weight store, and the number of loads that ran when it ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::limiter::LoadLimiter;
    ///
    /// let mut limiter = LoadLimiter::default();
    /// limiter.note_load(Duration::from_millis(250), 1);
    /// for _ in 0..100 {
    ///     limiter.note_load(Duration::from_millis(2500), 6);
    /// }
    /// assert_eq!(limiter.limit(), 2);
    /// ```
    pub fn note_load(&mut self, elapsed: Duration, concurrent: usize) {
        let elapsed = elapsed.as_secs_f64();
        self.mean_time += (elapsed - self.mean_time) * MEAN_WEIGHT;
        let concurrent = concurrent as f64;
        let mut min_time = self.min_time.unwrap_or(elapsed).min(elapsed);
        if concurrent <= MIN_LIMIT {
            min_time += (elapsed - min_time) * MIN_TIME_WEIGHT;
        }
        self.min_time = Some(min_time);
        if elapsed > min_time * FULL_SPEED_RATIO {
            self.has_seen_slow_load = true;
            let served = concurrent * min_time / elapsed * (1.0 + HEADROOM_SHARE) + HEADROOM;
            self.limit += (served.min(self.limit) - self.limit) * SLOW_WEIGHT;
        } else if concurrent + 1.0 >= self.limit {
            self.limit += if self.has_seen_slow_load { GROWTH } else { INITIAL_GROWTH };
        }
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
