//! Measures how long tasks that serve callers wait for their thread, and limits the connections that are served by it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::intake::{IntakeLimit, MAX_UNREAD_WAIT, STEP_INTERVAL};
use slog::info;
use tokio::time::sleep;

use super::shared::RelayShared;
use crate::metrics::ProcessMetrics;

/// Interval at which what happened to callers' connections is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest delay that is logged.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(100);

/// Intake of one relay, shared by the thread that accepts connections and the one that serves them.
#[derive(Debug, Default)]
pub struct CallerIntake {
    limit: Mutex<IntakeLimit>,
    /// When the next measurement of the delay is due, in microseconds on the process's clock.
    due_us: AtomicU64,
    /// Longest time that a connection waited to be served since the last measurement, in microseconds.
    longest_wait_us: AtomicU64,
    /// New connections that were closed unread.
    closed: AtomicU64,
}

impl CallerIntake {
    fn limit(&self) -> MutexGuard<'_, IntakeLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the next connection, new or kept after a response, is served. An overdue measurement counts as a
    /// delay, as the serving thread may be too busy to measure one.
    pub fn admits(&self, now: MonoTime) -> bool {
        let due = Duration::from_micros(self.due_us.load(Ordering::Relaxed));
        let overdue = now.saturating_sub(due);
        let mut limit = self.limit();
        if !due.is_zero() && overdue >= STEP_INTERVAL {
            limit.record_delay(overdue, now);
        }
        limit.admits()
    }

    /// Records how long a connection has waited to be served; returns whether its caller still waits for it.
    pub fn record_wait(&self, wait: Duration) -> bool {
        self.longest_wait_us.fetch_max(wait.as_micros() as u64, Ordering::Relaxed);
        wait <= MAX_UNREAD_WAIT
    }

    /// Records that a new connection is closed unread.
    pub fn record_closed(&self, metrics: &ProcessMetrics) {
        self.closed.fetch_add(1, Ordering::Relaxed);
        metrics.record_closed_unread();
    }

    fn take_longest_wait(&self) -> Duration {
        Duration::from_micros(self.longest_wait_us.swap(0, Ordering::Relaxed))
    }

    fn set_due(&self, due: MonoTime) {
        self.due_us.store(due.as_micros() as u64, Ordering::Relaxed);
    }
}

/// Measures the delay of the current thread's tasks until the future is dropped.
pub async fn measure(shared: Arc<RelayShared>) {
    let intake = &shared.intake;
    let mut longest = Duration::ZERO;
    let mut logged_at = shared.clock.now();
    let mut closed_before = 0;
    loop {
        let due = shared.clock.now() + STEP_INTERVAL;
        intake.set_due(due);
        sleep(STEP_INTERVAL).await;
        let now = shared.clock.now();
        let delay = now.saturating_sub(due).max(intake.take_longest_wait());
        intake.limit().record_delay(delay, now);
        shared.metrics.record_task_delay(delay);
        longest = longest.max(delay);
        if now.saturating_sub(logged_at) < LOG_INTERVAL {
            continue;
        }
        let closed = intake.closed.load(Ordering::Relaxed);
        if longest >= MIN_LOGGED_DELAY || closed > closed_before {
            info!(shared.log, "tasks for callers are delayed";
                "longest_ms" => longest.as_millis() as u64,
                "closed_unread" => closed - closed_before,
                "closed_share" => intake.limit().closed_share());
        }
        longest = Duration::ZERO;
        logged_at = now;
        closed_before = closed;
    }
}
