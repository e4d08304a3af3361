//! The decision on one request for which an engine has been chosen: in time, behind the timely ones, or not at all.

use std::time::Duration;

use super::shares::WorkspaceStanding;
use crate::ids::MonoTime;
use crate::relay::reading::LAST_TIMELY_RANK;

/// Share of the time for waiting that each rank after the first leaves to more urgent ones, so that where room is short, the
/// less urgent routes are deferred first. The same as the reserve in the limits of workspaces.
const RANK_RESERVE: f64 = 0.1;

/// Share of the time for waiting that a workspace above its fair share may use. The other half is enough for the others:
/// each of them sends less than a fair share.
const ABOVE_SHARE_ROOM: f64 = 0.5;

/// Time within which other relays may have sent prompts that this relay does not know of: the interval between two
/// statuses of an engine that has no queue yet, and the 50 ms of the reports that it sums. In that time relays with an
/// equal view of a queue would fill it beyond the target latency, or let it run empty.
const UNKNOWN_TIME: Duration = Duration::from_millis(450);

/// Largest part of the time for waiting that is left for prompts not known of.
const MAX_UNKNOWN_SHARE: f64 = 0.6;

/// Share of the remaining time of a caller up to which callers obey a retry delay.
pub const RETRY_DELAY_SHARE: f64 = 0.33;

/// What the decision on a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCase {
    /// The time of the decision.
    pub now: MonoTime,
    /// Until when the first event is in time.
    pub due: MonoTime,
    /// When the caller leaves without a first event.
    pub abandon_at: MonoTime,
    /// Rank of the request's route or workspace, 0 first.
    pub rank: u8,
    /// Prefill time of the request's own prompt.
    pub own_time: Duration,
    /// Prefill time of the prompts that go first if the request is timely.
    pub timely_wait: Duration,
    /// Prefill time of the prompts that go first if the request is deferred.
    pub deferred_wait: Duration,
    /// How the workspace's use relates to its fair share; [`WorkspaceStanding::Unlimited`] for a request that has
    /// returned.
    pub workspace: WorkspaceStanding,
    /// Number of known relays, this one included.
    pub relays: usize,
    /// Random number from 0 to 1 by which room is left for prompts that other relays have sent and that are not known yet.
    /// As it differs between requests, the share of timely ones falls gradually while a queue grows, instead of all
    /// relays stopping and starting together. 0 leaves no room.
    pub draw: f64,
    /// Whether the request may be rejected at all: no attempt of it has been sent.
    pub is_rejectable: bool,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Send it with the rank of its route.
    Timely,
    /// Send it with a rank behind all timely requests.
    Deferred(DeferralReason),
    /// Reject it: because of the queue, it cannot be served before its caller leaves.
    Reject {
        /// Longest retry delay: until the engine has processed the prompts that it has now, as far as callers obey it.
        retry_after: Duration,
    },
}

/// Why a request is deferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeferralReason {
    /// Its first event would be late in any case.
    Late,
    /// It may be in time, but the room is left for more urgent routes, for workspaces below their fair shares, or for
    /// prompts that other relays have just sent.
    Room,
}

impl AdmissionStep {
    /// Returns the label of the decision in logs and metrics.
    ///
    /// ```
    /// use quillcove_core::relay::admission::decision::AdmissionStep;
    ///
    /// assert_eq!(AdmissionStep::Timely.label(), "timely");
    /// ```
    pub fn label(&self) -> &'static str {
        match self {
            Self::Timely => "timely",
            Self::Deferred(DeferralReason::Late) => "deferred_late",
            Self::Deferred(DeferralReason::Room) => "deferred_room",
            Self::Reject { .. } => "rejected",
        }
    }
}

impl AdmissionCase {
    /// Decides on the request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::admission::decision::{AdmissionCase, AdmissionStep};
    /// use quillcove_core::relay::admission::shares::WorkspaceStanding;
    ///
    /// let case = AdmissionCase {
    ///     now: Duration::ZERO,
    ///     due: Duration::from_secs(1),
    ///     abandon_at: Duration::from_secs(5),
    ///     rank: 0,
    ///     own_time: Duration::from_millis(100),
    ///     timely_wait: Duration::from_millis(800),
    ///     deferred_wait: Duration::from_millis(2000),
    ///     workspace: WorkspaceStanding::Unlimited,
    ///     relays: 1,
    ///     draw: 0.0,
    ///     is_rejectable: true,
    /// };
    /// assert_eq!(case.decide(), AdmissionStep::Timely);
    /// ```
    pub fn decide(&self) -> AdmissionStep {
        let first_event = |wait: Duration| self.now + wait + self.own_time;
        if first_event(self.timely_wait) <= self.due {
            // A request that would wait behind the others until its caller leaves is not deferred.
            let is_deferrable = first_event(self.deferred_wait) <= self.abandon_at;
            return match self.timely_wait <= self.allowed_wait() || !is_deferrable {
                true => AdmissionStep::Timely,
                false => AdmissionStep::Deferred(DeferralReason::Room),
            };
        }
        // A prompt that is too large for the time left without any queue is not rejected: the estimate may be wrong, and no
        // return would find a shorter queue.
        let fits_alone = first_event(Duration::ZERO) <= self.abandon_at;
        let fits = first_event(self.deferred_wait) <= self.abandon_at;
        if self.is_rejectable && fits_alone && !fits {
            let retry_after = self.deferred_wait.min(self.longest_retry_delay());
            return AdmissionStep::Reject { retry_after };
        }
        AdmissionStep::Deferred(DeferralReason::Late)
    }

    /// Returns the longest retry delay that the caller obeys.
    ///
    /// See [`AdmissionCase::decide`] for an example of a case.
    pub fn longest_retry_delay(&self) -> Duration {
        self.abandon_at.saturating_sub(self.now).mul_f64(RETRY_DELAY_SHARE)
    }

    /// Returns the longest wait with which the request is sent in time, so that room is left for others.
    fn allowed_wait(&self) -> Duration {
        let longest = self.due.saturating_sub(self.now).saturating_sub(self.own_time);
        let rank_share = 1.0 - RANK_RESERVE * f64::from(self.rank.min(LAST_TIMELY_RANK));
        let (workspace_share, unknown_share) = match self.workspace {
            WorkspaceStanding::Unlimited => (1.0, 1.0),
            // The room that the workspaces above their shares leave is theirs.
            WorkspaceStanding::Within => (1.0, 0.0),
            WorkspaceStanding::Above => (ABOVE_SHARE_ROOM, 1.0),
        };
        let allowed = longest.mul_f64(rank_share * workspace_share);
        // A single relay knows all prompts.
        let others_share = 1.0 - 1.0 / self.relays.max(1) as f64;
        let unknown = UNKNOWN_TIME.min(allowed.mul_f64(MAX_UNKNOWN_SHARE)).mul_f64(others_share);
        let unknown = unknown.mul_f64(unknown_share);
        allowed.saturating_sub(unknown.mul_f64(self.draw))
    }
}
