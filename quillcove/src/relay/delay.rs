//! Delay of the tasks that serve callers: the time for which a task that could run waits for the thread.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::sleep;

use super::shared::RelayShared;

/// Interval at which the delay is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the longest delay is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest delay that is logged.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(100);

/// Measures the delay of the tasks of the current thread until the future is dropped.
pub async fn measure(shared: Arc<RelayShared>) {
    let mut longest = Duration::ZERO;
    let mut logged_at = shared.clock.now();
    loop {
        let due = shared.clock.now() + MEASURE_INTERVAL;
        sleep(MEASURE_INTERVAL).await;
        let now = shared.clock.now();
        let delay = now.saturating_sub(due);
        shared.metrics.record_task_delay(delay);
        longest = longest.max(delay);
        if now.saturating_sub(logged_at) < LOG_INTERVAL {
            continue;
        }
        if longest >= MIN_LOGGED_DELAY {
            info!(shared.log, "tasks for callers are delayed";
                "longest_ms" => longest.as_millis() as u64);
        }
        longest = Duration::ZERO;
        logged_at = now;
    }
}
