//! When a relay reports its pending prompts at one engine to the engine's loader.

use crate::relay::engine_status::PendingPrompts;

/// Number of heartbeats between two reports of an engine where nothing is pending. At 500 ms between heartbeats this is
/// 2 s, within the 3 s for which a report keeps the loader's rules for scarce adapter slots in force. A report with every
/// heartbeat would take 2.5 KB/s of a relay with 45 engines at rest.
const IDLE_HEARTBEATS: u64 = 4;

/// What a report is sent with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOccasion {
    /// The periodic work of the relay, which sends changes only.
    Tick,
    /// The heartbeat with this number.
    Heartbeat(u64),
}

impl ReportOccasion {
    /// Returns whether engines at rest are due, `position` being that of the engine in the list. The positions
    /// distribute the reports evenly over the heartbeats.
    fn renews(self, position: u64) -> bool {
        match self {
            Self::Tick => false,
            Self::Heartbeat(number) => (number + position).is_multiple_of(IDLE_HEARTBEATS),
        }
    }
}

/// The pending prompts that this relay last reported for one engine.
///
/// ```
/// use quillcove_core::relay::admission::reports::{ReportOccasion, ReportedPrompts};
/// use quillcove_core::relay::engine_status::PendingPrompts;
///
/// let mut reported = ReportedPrompts::default();
/// let pending = PendingPrompts { timely_tokens: 900, deferred_tokens: 0 };
/// assert!(reported.take_due(pending, ReportOccasion::Tick, 0));
/// assert!(!reported.take_due(pending, ReportOccasion::Tick, 0));
/// assert!(reported.take_due(pending, ReportOccasion::Heartbeat(1), 0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedPrompts {
    pending: PendingPrompts,
    /// Whether the next heartbeat repeats the last report, because a lost one would leave the loader with an outdated sum.
    is_repeated_next: bool,
}

impl ReportedPrompts {
    /// Returns whether the pending prompts have to be reported now, and records them as reported if so: when they have
    /// changed, with the heartbeat after a change, and with each heartbeat while something is pending.
    ///
    /// See [`ReportedPrompts`] for an example.
    pub fn take_due(
        &mut self,
        pending: PendingPrompts,
        occasion: ReportOccasion,
        position: u64,
    ) -> bool {
        let is_changed = pending != self.pending;
        let is_pending = pending != PendingPrompts::default();
        let is_due = match occasion {
            ReportOccasion::Tick => is_changed,
            ReportOccasion::Heartbeat(_) => {
                is_changed || is_pending || self.is_repeated_next || occasion.renews(position)
            },
        };
        if is_due {
            self.is_repeated_next = is_changed;
            self.pending = pending;
        }
        is_due
    }

    /// Returns the other relays' part of the sum that a loader reports.
    ///
    /// ```
    /// use quillcove_core::relay::admission::reports::ReportedPrompts;
    /// use quillcove_core::relay::engine_status::PendingPrompts;
    ///
    /// let total = PendingPrompts { timely_tokens: 900, deferred_tokens: 0 };
    /// assert_eq!(ReportedPrompts::default().others_of(total), total);
    /// ```
    pub fn others_of(&self, total: PendingPrompts) -> PendingPrompts {
        PendingPrompts {
            timely_tokens: total.timely_tokens.saturating_sub(self.pending.timely_tokens),
            deferred_tokens: total.deferred_tokens.saturating_sub(self.pending.deferred_tokens),
        }
    }
}
