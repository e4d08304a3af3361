//! Sums the prompts that all relays have pending at the engine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::MonoTime;
use crate::relay::engine_status::{PendingPrompts, PromptReport};

/// Time after a relay's last report for which its pending prompts count: a little more than three heartbeats.
const REPORT_LIFETIME: Duration = Duration::from_millis(1600);

/// Time after the last report of any relay for which the rules for scarce adapter slots apply. Longer than
/// [`REPORT_LIFETIME`], so that a short loss of messages does not switch them off.
const CONTENTION_LIFETIME: Duration = Duration::from_secs(3);

/// The last report of each relay.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::engine_status::{PendingPrompts, PromptReport};
/// use quillcove_core::relay::loader::RelayPrompts;
///
/// let pending = PendingPrompts { timely_tokens: 900, deferred_tokens: 0 };
/// let relay = "127.0.0.1:1".parse().unwrap();
/// let report = PromptReport { relay, number: 1, incarnation: 7, pending };
/// let mut prompts = RelayPrompts::default();
/// prompts.record(report, Duration::ZERO);
/// assert_eq!(prompts.total(Duration::ZERO), pending);
/// assert_eq!(prompts.total(Duration::from_secs(2)), PendingPrompts::default());
/// assert!(prompts.is_contended(Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RelayPrompts {
    reports: HashMap<SocketAddr, (PromptReport, MonoTime)>,
}

impl RelayPrompts {
    /// Records a relay's report; one that was sent before the known one is ignored.
    ///
    /// See [`RelayPrompts`] for an example.
    pub fn record(&mut self, report: PromptReport, now: MonoTime) {
        let is_late = self.reports.get(&report.relay).is_some_and(|(known, _)| {
            known.incarnation == report.incarnation && known.number >= report.number
        });
        if !is_late {
            self.reports.insert(report.relay, (report, now));
        }
        self.reports.retain(|_, (_, at)| now.saturating_sub(*at) < CONTENTION_LIFETIME);
    }

    /// Returns the pending prompts of all relays that reported recently.
    ///
    /// See [`RelayPrompts`] for an example.
    pub fn total(&self, now: MonoTime) -> PendingPrompts {
        let mut total = PendingPrompts::default();
        for (report, at) in self.reports.values() {
            if now.saturating_sub(*at) < REPORT_LIFETIME {
                let PendingPrompts { timely_tokens, deferred_tokens } = report.pending;
                total.timely_tokens = total.timely_tokens.saturating_add(timely_tokens);
                total.deferred_tokens = total.deferred_tokens.saturating_add(deferred_tokens);
            }
        }
        total
    }

    /// Returns whether a relay has reported recently, which relays do only where adapter slots are scarce.
    ///
    /// See [`RelayPrompts`] for an example.
    pub fn is_contended(&self, now: MonoTime) -> bool {
        self.reports.values().any(|(_, at)| now.saturating_sub(*at) < CONTENTION_LIFETIME)
    }
}
