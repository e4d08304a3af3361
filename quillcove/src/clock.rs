//! The monotonic clock of a process.

use std::time::Instant;

use quillcove_core::ids::MonoTime;

/// Measures the time since the process started; core machines get their time from here only.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    start: Instant,
}

impl MonoClock {
    /// Starts the clock.
    ///
    /// ```
    /// let clock = quillcove::clock::MonoClock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the start.
    ///
    /// ```
    /// let clock = quillcove::clock::MonoClock::start();
    /// assert!(clock.now().as_secs() < 3600);
    /// ```
    pub fn now(&self) -> MonoTime {
        self.start.elapsed()
    }
}
