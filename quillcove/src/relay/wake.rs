//! Waits that keep their deadline across a suspension of the process.

use std::pin::pin;

use quillcove_core::ids::MonoTime;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::clock::MonoClock;

/// Makes waits read the clock again after a suspension of the process. The runtime's timers do not advance during a
/// suspension, so that a request's deadline would pass too late by its length.
pub struct ResumeNotifier {
    resumed: Notify,
}

impl ResumeNotifier {
    pub fn new() -> Self {
        Self { resumed: Notify::new() }
    }

    /// Makes all waits read the clock again.
    pub fn notify_resumed(&self) {
        self.resumed.notify_waiters();
    }

    /// Awaits a future until a deadline; returns `None` if the deadline passes first.
    pub async fn wait_until<F: Future>(
        &self,
        clock: &MonoClock,
        until: MonoTime,
        awaited: F,
    ) -> Option<F::Output> {
        let mut awaited = pin!(awaited);
        loop {
            let resumed = self.resumed.notified();
            let left = until.saturating_sub(clock.now());
            tokio::select! {
                biased;
                output = &mut awaited => return Some(output),
                () = sleep(left) => return None,
                () = resumed => {},
            }
        }
    }
}
