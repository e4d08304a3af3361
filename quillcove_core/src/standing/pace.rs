//! Paces the requests of this process under a rate limit that an upstream announces for all
//! processes together.

use std::time::Duration;

use super::limit::RateLimit;
use crate::ids::MonoTime;

/// Maximum unused sending time that a process may accumulate, so that a request sent late does not
/// delay the next one by a whole gap.
const MAX_SAVED_TIME: Duration = Duration::from_millis(250);

/// Time from a request's send slot until it has to be written. A request written later would reach
/// the upstream together with requests of later send slots.
const SLOT_LIFETIME: Duration = Duration::from_secs(1);

/// Time after an unused send slot of this process at which the next request goes to the upstream
/// even if another replica is the better choice: only answers show that a limit has ended.
const LIMIT_PROBE_TIME: Duration = Duration::from_secs(3);

/// How much newer a limit reported by another process has to be than the one known here. The delay
/// of the message makes a report look newer than it is.
const REPORT_DELAY_MARGIN: Duration = Duration::from_millis(500);

/// The limit in the latest answer known to this process, and the pace of this process under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPacer {
    /// The limit; `None` if the answer named none.
    limit: Option<RateLimit>,
    /// When that answer was received, here or by the process that reported it.
    answered_at: MonoTime,
    /// Since when this process has observed a limit, or has known that it ended.
    since: MonoTime,
    /// Time between two requests of this process; `None` if it may send none.
    gap: Option<Duration>,
    /// The end of the last send slot used.
    used_until: MonoTime,
}

impl RequestPacer {
    /// Creates a pacer for a limit that is known from `now` on, without accumulated sending time.
    pub(super) fn new(limit: Option<RateLimit>, answered_at: MonoTime, now: MonoTime) -> Self {
        let gap = limit.map(RateLimit::gap);
        Self { limit, answered_at, since: now, gap, used_until: now + MAX_SAVED_TIME }
    }

    /// Returns the limit, if one is in force.
    pub(super) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns when this process learned of the limit or of its end.
    pub(super) fn since(&self) -> MonoTime {
        self.since
    }

    /// Returns when the latest known answer was received.
    pub(super) fn answered_at(&self) -> MonoTime {
        self.answered_at
    }

    /// Records the limit in an answer to this process; returns whether it differs from the known
    /// one.
    pub(super) fn record_limit(&mut self, limit: RateLimit, now: MonoTime) -> bool {
        self.update_limit(Some(limit), now, now)
    }

    /// Records a limit reported by another process; returns whether it differs from the known one.
    pub(super) fn record_reported_limit(
        &mut self,
        limit: Option<RateLimit>,
        answered_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        answered_at > self.answered_at + REPORT_DELAY_MARGIN
            && self.update_limit(limit, answered_at, now)
    }

    /// Records a successful answer without a limit to a request sent at `sent`; returns whether
    /// this ends a limit. The answer to a request sent before the limit was announced does not end
    /// it.
    pub(super) fn record_no_limit(&mut self, sent: MonoTime, now: MonoTime) -> bool {
        sent > self.answered_at && self.update_limit(None, now, now)
    }

    fn update_limit(
        &mut self,
        limit: Option<RateLimit>,
        answered_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let before = self.limit;
        match (before, limit) {
            (None, Some(_)) | (Some(_), None) => *self = Self::new(limit, answered_at, now),
            (Some(before), Some(limit)) if before != limit && self.gap.is_some() => {
                self.gap = Some(limit.gap());
            },
            _ => {},
        }
        self.limit = limit;
        self.answered_at = answered_at;
        before != limit
    }

    /// Sets the time between two requests of this process. A process that could not send until now
    /// has no accumulated sending time.
    pub(super) fn set_gap(&mut self, gap: Option<Duration>, now: MonoTime) {
        if self.gap.is_none() {
            self.used_until = self.used_until.max(now + MAX_SAVED_TIME);
        }
        self.gap = gap;
    }

    /// Returns the next time at which this process may send a request; `None` if it may send none.
    pub(super) fn next_slot(&self) -> Option<MonoTime> {
        match self.limit {
            Some(_) => Some((self.used_until + self.gap?).saturating_sub(MAX_SAVED_TIME)),
            None => Some(MonoTime::ZERO),
        }
    }

    /// Tells whether the last send slot has been unused for so long that the limit may have ended
    /// without any process noticing.
    pub(super) fn is_overdue(&self, now: MonoTime) -> bool {
        let slot = self.next_slot().filter(|_| self.limit.is_some());
        slot.is_some_and(|slot| slot + LIMIT_PROBE_TIME <= now)
    }

    /// Records that a request uses the current send slot.
    pub(super) fn record_send(&mut self, now: MonoTime) {
        if let (Some(_), Some(gap)) = (self.limit, self.gap) {
            self.used_until = (self.used_until + gap).max(now);
        }
    }

    /// Tells whether a request whose send slot was at `begun` may be written now.
    pub(super) fn may_write(&self, begun: MonoTime, now: MonoTime) -> bool {
        self.limit.is_none() || (self.since <= begun && now < begun + SLOT_LIFETIME)
    }
}
