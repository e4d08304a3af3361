//! Waits that end on time although the process was suspended.

use std::pin::pin;

use quillcove_core::ids::MonoTime;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::MonoClock;

/// Lets waits look at the clock again after the process was suspended: the runtime's timers stand still
/// meanwhile, so that a request's time would be over too late by as long.
pub struct WakeBell {
    woken: Notify,
}

impl WakeBell {
    pub fn new() -> Self {
        Self { woken: Notify::new() }
    }

    /// Makes all waits look at the clock.
    pub fn ring(&self) {
        self.woken.notify_waiters();
    }

    /// Waits for something until this time at the latest; `None` when the time is over first.
    pub async fn wait_until<F: Future>(
        &self,
        clock: &MonoClock,
        until: MonoTime,
        awaited: F,
    ) -> Option<F::Output> {
        let mut awaited = pin!(awaited);
        loop {
            let woken = self.woken.notified();
            let left = until.saturating_sub(clock.now());
            tokio::select! {
                biased;
                output = &mut awaited => return Some(output),
                () = sleep(left) => return None,
                () = woken => {},
            }
        }
    }
}
