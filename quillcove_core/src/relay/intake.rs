//! Limit on the connections that a relay serves, so that it reads no more requests than it can serve in time.
//!
//! The relay measures how long its tasks wait for the thread that serves callers. From this delay a
//! proportional-integral controller (PIE, RFC 8033) derives the share of connections to close: new ones before
//! anything is read from them, so that their callers reach another relay at once, and kept ones after a response.
//! The limit therefore follows from what requests cost here and now, and needs no estimate of it.

use std::time::Duration;

use crate::ids::MonoTime;

/// Delay of tasks that the controller aims at.
pub const TARGET_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which a connection waits to be served; it is closed unread then. Callers give a request up that
/// nobody has read after 1 s, or after a third of their time.
pub const MAX_UNREAD_WAIT: Duration = Duration::from_millis(250);

/// Longest delay that the controller distinguishes, so that one long pause does not close all connections.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Shortest time between two steps of the controller.
pub const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Change of the share per second of delay beyond the target, in one step.
const INTEGRAL_GAIN: f64 = 0.17;

/// Change of the share per second by which the delay has changed since the last step.
const PROPORTIONAL_GAIN: f64 = 1.25;

/// Part of the share that is left after a step in which the delay is well below the target.
const IDLE_DECAY: f64 = 0.96;

/// Largest share of connections that are closed: a relay that is ready always serves some.
const MAX_SHARE: f64 = 0.99;

/// Share below which no connection is closed while the delay is well below the target.
const MIN_SHARE: f64 = 0.2;

/// Decides which connections a relay serves.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::intake::IntakeLimit;
///
/// let mut limit = IntakeLimit::default();
/// assert!(limit.admits());
/// for step in 1..100 {
///     limit.record_delay(Duration::from_millis(400), Duration::from_millis(20) * step);
/// }
/// let admitted = (0..100).filter(|_| limit.admits()).count();
/// assert!((1..5).contains(&admitted), "a relay that is far behind still serves some: {admitted}");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct IntakeLimit {
    /// Share of connections to close.
    closed_share: f64,
    /// Delay at the last step.
    last_delay: Duration,
    last_step_at: Option<MonoTime>,
    /// Connections that should have been closed so far and were not.
    closes_due: f64,
}

impl IntakeLimit {
    /// Records the delay of tasks, and adjusts the share if the last step was long enough ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::intake::IntakeLimit;
    ///
    /// let mut limit = IntakeLimit::default();
    /// limit.record_delay(Duration::from_millis(5), Duration::from_secs(1));
    /// assert_eq!(limit.closed_share(), 0.0);
    /// ```
    pub fn record_delay(&mut self, delay: Duration, now: MonoTime) {
        let is_too_soon =
            self.last_step_at.is_some_and(|at| now.saturating_sub(at) < STEP_INTERVAL);
        if is_too_soon {
            return;
        }
        let delay = delay.min(MAX_DELAY);
        let excess = delay.as_secs_f64() - TARGET_DELAY.as_secs_f64();
        let growth = delay.as_secs_f64() - self.last_delay.as_secs_f64();
        let mut share = self.closed_share + INTEGRAL_GAIN * excess + PROPORTIONAL_GAIN * growth;
        if delay < TARGET_DELAY / 2 {
            share *= IDLE_DECAY;
        }
        self.closed_share = share.clamp(0.0, MAX_SHARE);
        self.last_delay = delay;
        self.last_step_at = Some(now);
    }

    /// Returns whether the next connection is served. Closes are spread evenly over the connections.
    ///
    /// ```
    /// use quillcove_core::relay::intake::IntakeLimit;
    ///
    /// assert!(IntakeLimit::default().admits());
    /// ```
    pub fn admits(&mut self) -> bool {
        let is_idle = self.last_delay < TARGET_DELAY / 2 && self.closed_share < MIN_SHARE;
        if is_idle {
            return true;
        }
        self.closes_due += self.closed_share;
        let is_closed = self.closes_due >= 1.0;
        if is_closed {
            self.closes_due -= 1.0;
        }
        !is_closed
    }

    /// Returns the share of connections to close.
    ///
    /// ```
    /// use quillcove_core::relay::intake::IntakeLimit;
    ///
    /// assert_eq!(IntakeLimit::default().closed_share(), 0.0);
    /// ```
    pub fn closed_share(&self) -> f64 {
        self.closed_share
    }
}
