//! Estimates whether a request is its caller's first attempt, and how long ago that was.
//!
//! Callers state how long they will still wait. The first attempts of a route state times in a band below
//! the longest stated time; a retry states less than its first attempt did. A request that states less than
//! the band's lower edge is a retry. The edge is learnt from the recent requests of the route: at the edge, the
//! density of the stated times drops.

use std::collections::VecDeque;
use std::time::Duration;

/// Share of a route's longest waiting time from which on a request is a first attempt if callers start with
/// equal times. The remainder covers the time that a request takes from its caller to the relay.
const UNIFORM_EDGE_SHARE: f64 = 0.98;

/// Minimum share of a route's requests that lie in the band. Retries are at most half of the requests;
/// if fewer lie in a band, callers differ too much for a short time to identify a retry.
const BAND_MIN_SHARE: f64 = 0.5;

/// Number of recent requests from which the band is learnt. A burst of some seconds in which half of the
/// requests are retries is a minor part of them at 10 requests/s.
const SAMPLE_COUNT: usize = 256;

/// Number of requests before which the band is unknown. With 30 % retries, the lowest of the
/// remaining first attempts is then within a twentieth of the band's width of the edge.
const MIN_SAMPLE_COUNT: usize = 32;

/// Number of requests after which the band is learnt anew, which takes microseconds.
const LEARN_INTERVAL: usize = 8;

/// Bins of the histogram of stated times, from zero to the longest.
const BIN_COUNT: usize = 100;

/// Width of the narrowest band, in bins: that of callers with equal times.
const MIN_BAND_BINS: usize = 2;

/// Minimum ratio of the densities of requests within the band and below it. Random unevenness of times
/// that are spread evenly stays below it.
const MIN_DENSITY_RATIO: f64 = 2.0;

/// Minimum gain of log likelihood, in nats, of an edge over the assumption that all requests
/// are first attempts. One of the 100 possible edges reaches it by chance in less than 1 of 20 cases.
const MIN_LIKELIHOOD_GAIN: f64 = 8.0;

/// Distance of the learnt edge from the lowest bin of the band, in mean distances between neighbouring first
/// attempts. The true edge is lower than that with a probability of e^-4.
const EDGE_MARGIN_GAPS: f64 = 4.0;

/// Minimum distance of the learnt edge from the lowest bin of the band, in bins.
const MIN_EDGE_MARGIN: f64 = 1.0;

/// Waiting times that the callers of one route have stated.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::tries::CallerTries;
///
/// let mut tries = CallerTries::default();
/// for _ in 0..32 {
///     assert_eq!(tries.time_since_first_attempt(Duration::from_secs(5)), Duration::ZERO);
/// }
/// assert_eq!(tries.time_since_first_attempt(Duration::from_secs(4)), Duration::from_secs(1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerTries {
    /// Latest stated times, oldest first.
    recent: VecDeque<Duration>,
    /// Requests since the band was learnt.
    since_learnt: usize,
    /// Band of the first attempts; `None` while it is unknown.
    band: Option<AttemptBand>,
    longest: Duration,
}

/// Band of the times that first attempts state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptBand {
    /// Lower edge: requests that state less are retries.
    pub lower_edge: Duration,
    /// Time that the first attempt of a retry stated at least. It is the longest time if callers
    /// start with equal times, and the lower edge if they differ: a retry then counts as no older than it is,
    /// because one that is thought to be late is ranked behind requests that are late indeed.
    pub first_stated: Duration,
}

impl CallerTries {
    /// Records a request whose caller will wait this long from now, and returns the least time that has passed since
    /// the caller's first attempt. Zero for a first attempt, and while the times of first attempts are unknown.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::tries::CallerTries;
    ///
    /// assert_eq!(CallerTries::default().time_since_first_attempt(Duration::ZERO), Duration::ZERO);
    /// ```
    pub fn time_since_first_attempt(&mut self, waiting_time: Duration) -> Duration {
        self.longest = self.longest.max(waiting_time);
        let age = match self.band {
            Some(band) if waiting_time < band.lower_edge => band.first_stated - waiting_time,
            Some(_) | None => Duration::ZERO,
        };
        if self.recent.len() >= SAMPLE_COUNT {
            self.recent.pop_front();
        }
        self.recent.push_back(waiting_time);
        self.since_learnt += 1;
        if self.recent.len() >= MIN_SAMPLE_COUNT && self.since_learnt >= LEARN_INTERVAL {
            self.since_learnt = 0;
            self.band = learn_band(&self.recent);
        }
        age
    }

    /// Returns the longest time that a caller has stated.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// assert_eq!(quillcove_core::relay::tries::CallerTries::default().longest(), Duration::ZERO);
    /// ```
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the band of the times that first attempts state; `None` while it is unknown.
    ///
    /// ```
    /// assert!(quillcove_core::relay::tries::CallerTries::default().band().is_none());
    /// ```
    pub fn band(&self) -> Option<AttemptBand> {
        self.band
    }
}

/// Learns the band of first attempts from stated times; `None` if all are zero.
fn learn_band(stated: &VecDeque<Duration>) -> Option<AttemptBand> {
    let longest = stated.iter().copied().max().filter(|longest| !longest.is_zero())?;
    let uniform_edge = longest.mul_f64(UNIFORM_EDGE_SHARE);
    let uniform_count = stated.iter().filter(|time| **time >= uniform_edge).count();
    let sample_count = stated.len() as f64;
    // By chance, fewer than their share of the recent requests may be first attempts: the
    // standard deviation of their number is at most half of this root.
    if uniform_count as f64 + sample_count.sqrt() / 2.0 >= BAND_MIN_SHARE * sample_count {
        return Some(AttemptBand { lower_edge: uniform_edge, first_stated: longest });
    }
    let mut bins = [0; BIN_COUNT];
    for time in stated {
        let bin = (time.div_duration_f64(longest) * BIN_COUNT as f64) as usize;
        bins[bin.min(BIN_COUNT - 1)] += 1;
    }
    let lower_edge = longest.mul_f64(lower_edge(&bins) / BIN_COUNT as f64);
    Some(AttemptBand { lower_edge, first_stated: lower_edge })
}

/// Returns the lower edge of the band of first attempts, in bins.
///
/// Times are assumed to be spread evenly in the band, and evenly but more thinly below it. The most likely edge is
/// taken; if it is not much more likely than no edge at all, it is the lowest stated time.
fn lower_edge(bins: &[usize; BIN_COUNT]) -> f64 {
    let total: usize = bins.iter().sum();
    let lowest = bins.iter().position(|count| *count > 0).unwrap_or(0);
    let mut best = (lowest, total, log_likelihood(total, BIN_COUNT - lowest) + MIN_LIKELIHOOD_GAIN);
    let mut below = 0;
    for edge in lowest + 1..=BIN_COUNT - MIN_BAND_BINS {
        below += bins[edge - 1];
        let above = total - below;
        let (width, width_below) = (BIN_COUNT - edge, edge - lowest);
        let is_dense =
            above as f64 / width as f64 >= MIN_DENSITY_RATIO * below as f64 / width_below as f64;
        let likelihood = log_likelihood(above, width) + log_likelihood(below, width_below);
        let is_band = above as f64 >= BAND_MIN_SHARE * total as f64 && is_dense;
        if is_band && likelihood > best.2 {
            best = (edge, above, likelihood);
        }
    }
    let (edge, count, _) = best;
    let mean_gap = (BIN_COUNT - edge) as f64 / count.max(1) as f64;
    let margin = (EDGE_MARGIN_GAPS * mean_gap).max(MIN_EDGE_MARGIN);
    (edge as f64 - margin).max(0.0)
}

/// Log likelihood of so many times that are spread evenly over a width, up to a constant.
fn log_likelihood(count: usize, width: usize) -> f64 {
    match count {
        0 => 0.0,
        _ => count as f64 * (count as f64 / width.max(1) as f64).ln(),
    }
}
