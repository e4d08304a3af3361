//! The clock of a process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use quillcove_core::ids::MonoTime;

/// Measures the time since the process started; core machines get their time from here only.
///
/// It goes on while the host is suspended, as the world does: what was known before a suspension is as old as
/// it is for everyone else. The system's steady clock, by which the runtime's timers go, stands still meanwhile.
/// It may only pace work; no age, right, limit or budget is measured by it.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    start: Duration,
    /// Milliseconds by which a test has put the clock ahead.
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

    /// Starts a clock that can be put ahead by so many milliseconds, as a suspension does.
    ///
    /// ```
    /// use std::sync::atomic::{AtomicU64, Ordering};
    ///
    /// let ahead: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(0)));
    /// let clock = quillcove::clock::MonoClock::start_shifted(ahead);
    /// ahead.store(5000, Ordering::Relaxed);
    /// assert!(clock.now().as_secs() >= 5);
    /// ```
    pub fn start_shifted(ahead: &'static AtomicU64) -> Self {
        Self { start: since_boot(), ahead: Some(ahead) }
    }

    /// Time since the start.
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

/// Time since the host started, suspensions included.
fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel lacks, and this one is older than any kernel
    // that the runtime works on.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).expect("the kernel counts time")
}
