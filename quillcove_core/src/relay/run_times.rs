//! How long the requests of a route have lately taken, from which a process that stops tells what it can still serve.

use std::time::Duration;

use crate::ids::MonoTime;

/// Time after which a request no longer counts: from one to two of these.
const WINDOW: Duration = Duration::from_secs(60);

/// Number of requests before which nothing is concluded from their times.
const MIN_COUNT: u32 = 8;

/// Allowance for requests that take longer than any recent one.
const LONGEST_FACTOR: u32 = 2;

/// Requests that ended within one window.
#[derive(Clone, Copy, Debug, Default)]
struct RunWindow {
    began: MonoTime,
    count: u32,
    longest: Duration,
}

/// Times that the recent requests of one route have taken, from when they were read to the end of their responses.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::run_times::RunTimes;
///
/// let (mut times, now) = (RunTimes::default(), Duration::from_secs(1));
/// assert_eq!(times.upper_estimate(now), None);
/// for _ in 0..8 {
///     times.record(Duration::from_millis(300), now);
/// }
/// assert_eq!(times.upper_estimate(now), Some(Duration::from_millis(600)));
/// assert_eq!(times.upper_estimate(now + Duration::from_secs(200)), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    current: RunWindow,
    previous: RunWindow,
}

impl RunTimes {
    /// Records a request that ran and ended.
    ///
    /// See [`RunTimes`] for an example.
    pub fn record(&mut self, took: Duration, now: MonoTime) {
        if now.saturating_sub(self.current.began) >= WINDOW {
            self.previous = self.current;
            self.current = RunWindow { began: now, ..RunWindow::default() };
        }
        self.current.count = self.current.count.saturating_add(1);
        self.current.longest = self.current.longest.max(took);
    }

    /// Returns a time that the next request is not expected to exceed; `None` after too few requests.
    ///
    /// See [`RunTimes`] for an example.
    pub fn upper_estimate(&self, now: MonoTime) -> Option<Duration> {
        let is_recent =
            |window: &&RunWindow| now.saturating_sub(window.began) < WINDOW.saturating_mul(2);
        let recent = [&self.current, &self.previous].into_iter().filter(is_recent);
        let (count, longest) = recent.fold((0_u32, Duration::ZERO), |(count, longest), window| {
            (count.saturating_add(window.count), longest.max(window.longest))
        });
        (count >= MIN_COUNT).then(|| longest.saturating_mul(LONGEST_FACTOR))
    }
}
