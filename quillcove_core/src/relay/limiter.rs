//! How many adapters may be on their way from the weight store at once.
//!
//! The store serves a few loads at full speed and shares its bandwidth beyond that. How many is
//! not published, so it is learnt from the time that loads take, in the manner of TCP Vegas
//! (Brakmo and Peterson, 1995): as long as they take their least time there is room for more, and
//! what they take beyond it tells how many too many there were.

use std::time::Duration;

/// Loads at once before any has been seen.
const FIRST_LIMIT: f64 = 4.0;

/// Least number of loads at once, so that the limit can recover.
const LEAST_LIMIT: f64 = 2.0;

/// Most loads at once; no store of the users' serves as many at full speed.
const MOST_LIMIT: f64 = 64.0;

/// Times the least load time up to which loads count as served at full speed.
const FULL_SPEED: f64 = 1.4;

/// Growth of the limit with each load at full speed, before the first slow one.
const FIRST_GROWTH: f64 = 1.0;

/// Growth of the limit with each load at full speed, after a slow one has been seen.
const GROWTH: f64 = 0.3;

/// Weight of a slow load in the limit.
const SLOW_WEIGHT: f64 = 0.1;

/// Loads at once beyond those that the store seems to serve at full speed, so that it is never
/// idle while adapters are wanted.
const HEADROOM: f64 = 1.0;

/// The same as a share of what the store serves at full speed: reports lag, so that with no more on
/// their way than it serves it stood idle for a fifth of a busy day.
const HEADROOM_SHARE: f64 = 0.25;

/// Weight of a slow load in the least load time, for loads that were nearly alone: then the store
/// itself has become slower.
const LEAST_WEIGHT: f64 = 0.1;

/// Weight of a newly seen load in the mean time of loads.
const MEAN_WEIGHT: f64 = 0.15;

/// Time of a load until one has been seen.
const FIRST_LOAD_TIME: Duration = Duration::from_millis(300);

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
    /// Least time of a load, in seconds; `None` until one has been seen.
    least: Option<f64>,
    /// Mean time of a load, in seconds.
    mean: f64,
    has_seen_slow: bool,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            least: None,
            mean: FIRST_LOAD_TIME.as_secs_f64(),
            has_seen_slow: false,
        }
    }
}

impl LoadLimiter {
    /// Loads that may be on their way at once.
    ///
    /// ```
    /// use quillcove_core::relay::limiter::LoadLimiter;
    ///
    /// assert!(LoadLimiter::default().limit() > 0);
    /// ```
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Mean time of a load from the weight store.
    ///
    /// ```
    /// use quillcove_core::relay::limiter::LoadLimiter;
    ///
    /// assert!(LoadLimiter::default().load_time() > std::time::Duration::ZERO);
    /// ```
    pub fn load_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Takes the time of a load from the weight store, and how many were on their way when it
    /// ended.
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
    pub fn note_load(&mut self, took: Duration, at_once: usize) {
        let took = took.as_secs_f64();
        self.mean += (took - self.mean) * MEAN_WEIGHT;
        let at_once = at_once as f64;
        let mut least = self.least.unwrap_or(took).min(took);
        if at_once <= LEAST_LIMIT {
            least += (took - least) * LEAST_WEIGHT;
        }
        self.least = Some(least);
        if took > least * FULL_SPEED {
            self.has_seen_slow = true;
            let served = at_once * least / took * (1.0 + HEADROOM_SHARE) + HEADROOM;
            self.limit += (served.min(self.limit) - self.limit) * SLOW_WEIGHT;
        } else if at_once + 1.0 >= self.limit {
            self.limit += if self.has_seen_slow { GROWTH } else { FIRST_GROWTH };
        }
        self.limit = self.limit.clamp(LEAST_LIMIT, MOST_LIMIT);
    }
}
