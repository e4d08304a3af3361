//! Monotonic clock of a process, on which the core state machines run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use quillcove_core::ids::MonoTime;

/// Measures the time since the process started. Core state machines get their time from this clock only.
///
/// It includes the time during which the host is suspended (`CLOCK_BOOTTIME`), so that the age of state received
/// before a suspension is the same as on other hosts. `CLOCK_MONOTONIC`, which drives the runtime's timers, stops
/// during a suspension. It may only pace work: ages, key validity, limits and budgets are never measured by it.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    start: Duration,
    /// Milliseconds by which a test has advanced the clock.
    ahead: Option<&'static AtomicU64>,
}

impl MonoClock {
    /// Starts the clock.
    ///
    /// ```
    /// let clock = quillcove::clock::MonoClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { start: since_boot(), ahead: None }
    }

    /// Starts a clock that runs ahead by the milliseconds in `ahead`, to simulate a suspension.
    ///
    /// ```
    /// use std::sync::atomic::{AtomicU64, Ordering};
    ///
    /// let ahead: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(0)));
    /// let clock = quillcove::clock::MonoClock::start_with_offset(ahead);
    /// ahead.store(5000, Ordering::Relaxed);
    /// assert!(clock.now().as_secs() >= 5);
    /// ```
    pub fn start_with_offset(ahead: &'static AtomicU64) -> Self {
        Self { start: since_boot(), ahead: Some(ahead) }
    }

    /// Returns the time since the clock was started.
    ///
    /// ```
    /// let clock = quillcove::clock::MonoClock::start();
    /// assert!(clock.now().as_secs() < 3600);
    /// ```
    pub fn now(&self) -> MonoTime {
        let passed = since_boot().saturating_sub(self.start);
        let ahead = self.ahead.map_or(0, |ahead| ahead.load(Ordering::Relaxed));
        passed + Duration::from_millis(ahead)
    }
}

/// Returns the processor time that this process has used. It does not advance while the process is suspended, but does
/// while the process is merely behind.
///
/// ```
/// assert!(quillcove::clock::processor_time() <= quillcove::clock::processor_time());
/// ```
pub fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// Returns the time since the host booted, including suspensions.
fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel does not support, and every kernel that the
    // runtime supports has this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map(Duration::from)
        .expect("the kernel supports CLOCK_BOOTTIME")
}
