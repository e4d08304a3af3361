//! What an upstream has reported about itself, and whether it accepts new requests accordingly.
//!
//! An upstream that is draining says so in its answers, often long before the platform lists it as
//! draining; one that is overloaded requests a pause; and one with little capacity announces the
//! rate of requests that it accepts from all processes together. The reports apply to one start of
//! the upstream. Each is withdrawn only by a new start, by the end of a pause or warm-up, or, for a
//! rate limit, by an answer without a limit to a request sent after the latest answer that
//! announced one. No listing, loader report or successful answer to an earlier request overrides
//! them.

mod cold;
pub mod limit;
pub mod notice;
mod pace;
mod rest;

use std::time::Duration;

use serde::Serialize;

use self::cold::WarmUp;
use self::limit::RateLimit;
use self::notice::UpstreamNotice;
use self::pace::RequestPacer;
use self::rest::RequestedPause;
use crate::ids::MonoTime;

/// Fraction of the time until the earliest end of a pause by which the return of rejected callers
/// is spread beyond that end.
const RETRY_SPREAD: f64 = 0.25;

/// Returns after how long a caller is to retry that was rejected because all upstreams are paused
/// for `pause`. Each random `draw` gives a different time, so that callers do not return all at
/// once.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::standing::spread_return;
///
/// let pause = Duration::from_secs(4);
/// assert_eq!(spread_return(pause, 0), pause);
/// assert_eq!(spread_return(pause, u64::MAX), Duration::from_secs(5));
/// ```
pub fn spread_return(pause: Duration, draw: u64) -> Duration {
    pause.mul_f64(1.0 + RETRY_SPREAD * share_of(draw))
}

/// Maps a random number to the range from 0 to 1.
pub(crate) fn share_of(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

/// The source of the information that an upstream is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// Another process, which received an answer of the upstream.
    Told,
    /// The upstream, in its entry in the platform's listing.
    Listing,
    /// The upstream, in an answer to this process.
    Answer,
}

/// The information that an upstream is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainingReport {
    /// The most reliable source so far.
    pub source: LeavingSource,
    /// When this process first learned of it.
    pub since: MonoTime,
}

/// What one process knows of the rate limit announced by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitKnowledge {
    /// The limit; `None` if the latest answer named none.
    pub limit: Option<RateLimit>,
    /// Age of that answer.
    pub age: Duration,
    /// How long this process has observed a limit, or has known of none.
    pub known_for: Duration,
}

/// What changed with a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamStatusChange {
    /// The upstream is draining.
    Leaves,
    /// It requested a pause until this time, and was not paused before.
    Rests(MonoTime),
    /// It announced a rate limit, or changed it.
    Limits(RateLimit),
}

/// What one start of an upstream has reported about itself.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::standing::UpstreamStatus;
/// use quillcove_core::standing::notice::UpstreamNotice;
///
/// let mut standing = UpstreamStatus::default();
/// let second = Duration::from_secs(1);
/// let notice = UpstreamNotice { is_leaving: false, rest: Some(second), limit: None };
/// standing.record_notice(&notice, Duration::ZERO, Duration::ZERO);
/// assert!(!standing.takes_work(Duration::from_millis(999)));
/// assert!(standing.takes_work(second));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    leaving: Option<DrainingReport>,
    pause: Option<RequestedPause>,
    limit: Option<RequestPacer>,
    warm_up: Option<WarmUp>,
}

impl UpstreamStatus {
    /// Records what the upstream reported in an answer. `spread` is added to a pause, so that
    /// processes asked for one at the same time do not return at the same time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::{UpstreamStatusChange, UpstreamStatus};
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let notice = UpstreamNotice { is_leaving: true, rest: None, limit: None };
    /// let change = UpstreamStatus::default().record_notice(&notice, Duration::ZERO, Duration::ZERO);
    /// assert_eq!(change, Some(UpstreamStatusChange::Leaves));
    /// ```
    pub fn record_notice(
        &mut self,
        notice: &UpstreamNotice,
        spread: Duration,
        now: MonoTime,
    ) -> Option<UpstreamStatusChange> {
        let pause = notice.rest.and_then(|pause| self.start_pause(now + pause + spread, now));
        let is_newly_draining = notice.is_leaving && self.note_leaving(LeavingSource::Answer, now);
        let limit = notice.limit.and_then(|limit| self.record_limit(limit, now));
        match is_newly_draining {
            true => Some(UpstreamStatusChange::Leaves),
            false => pause.or(limit),
        }
    }

    fn record_limit(&mut self, limit: RateLimit, now: MonoTime) -> Option<UpstreamStatusChange> {
        let is_change = match &mut self.limit {
            Some(pacer) => pacer.record_limit(limit, now),
            None => {
                self.limit = Some(RequestPacer::new(Some(limit), now, now));
                true
            },
        };
        is_change.then_some(UpstreamStatusChange::Limits(limit))
    }

    /// Records a limit, or the absence of one, that another process reports from an answer of this
    /// age; returns whether it differs from the known one. `spread` is added to the time at which
    /// requests return after a limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::UpstreamStatus;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let mut standing = UpstreamStatus::default();
    /// let second = Duration::from_secs(1);
    /// let limit = RateLimit::per_second(2.0);
    /// assert!(standing.record_reported_limit(limit, Duration::ZERO, Duration::ZERO, second));
    /// assert!(!standing.takes_work(second));
    /// ```
    pub fn record_reported_limit(
        &mut self,
        limit: Option<RateLimit>,
        age: Duration,
        spread: Duration,
        now: MonoTime,
    ) -> bool {
        let answered_at = now.saturating_sub(age);
        match &mut self.limit {
            Some(pacer) => {
                let had_limit = pacer.limit().is_some();
                let is_change = pacer.record_reported_limit(limit, answered_at, now);
                self.return_after_limit(is_change && had_limit && limit.is_none(), spread, now);
                is_change
            },
            None if limit.is_none() => false,
            None => {
                self.limit = Some(RequestPacer::new(limit, answered_at, now));
                true
            },
        }
    }

    /// Records a successful answer without a limit to a request sent at `sent`; returns whether
    /// this ends a limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::UpstreamStatus;
    /// use quillcove_core::standing::limit::RateLimit;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let [first, second, third] = [1, 2, 3].map(Duration::from_secs);
    /// let notice = UpstreamNotice { limit: RateLimit::per_second(2.0), ..UpstreamNotice::default() };
    /// let mut standing = UpstreamStatus::default();
    /// standing.record_notice(&notice, Duration::ZERO, second);
    /// let zero = Duration::ZERO;
    /// assert!(!standing.note_no_limit(first, zero, third), "sent before the limit was named");
    /// assert!(standing.note_no_limit(third, zero, third));
    /// ```
    pub fn note_no_limit(&mut self, sent: MonoTime, spread: Duration, now: MonoTime) -> bool {
        let is_end = self.limit.as_mut().is_some_and(|pacer| pacer.record_no_limit(sent, now));
        self.return_after_limit(is_end, spread, now);
        is_end
    }

    /// Increases the requests gradually after a limit, as after a pause.
    fn return_after_limit(&mut self, is_end: bool, spread: Duration, now: MonoTime) {
        if is_end {
            self.start_pause(now + spread, now);
        }
    }

    /// Returns the rate limit that it announces.
    ///
    /// ```
    /// assert!(quillcove_core::standing::UpstreamStatus::default().limit().is_none());
    /// ```
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit.and_then(|pacer| pacer.limit())
    }

    /// Records that it warms up until `until` and accepts this rate of requests from all processes
    /// together; returns whether that was unknown. This process sends none until its share is set
    /// with [`UpstreamStatus::set_warm_up_gap`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::UpstreamStatus;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let rate = RateLimit::per_second(8.0).unwrap();
    /// let second = Duration::from_secs(1);
    /// let mut standing = UpstreamStatus::default();
    /// assert!(standing.record_warm_up(rate, second, Duration::ZERO));
    /// assert!(!standing.takes_work(Duration::ZERO));
    /// assert!(standing.takes_work(second), "the warm-up is over");
    /// ```
    pub fn record_warm_up(&mut self, rate: RateLimit, until: MonoTime, now: MonoTime) -> bool {
        match &mut self.warm_up {
            Some(warm_up) if warm_up.pace(now).is_some() => {
                warm_up.extend(until);
                false
            },
            _ => {
                self.warm_up = (now < until).then(|| WarmUp::new(rate, until, now));
                self.warm_up.is_some()
            },
        }
    }

    /// Returns the rate that it accepts from all processes together while it warms up.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert!(standing.cold_rate(Duration::ZERO).is_none());
    /// ```
    pub fn cold_rate(&self, now: MonoTime) -> Option<RateLimit> {
        self.warm_up.as_ref()?.pace(now)?.limit()
    }

    /// Sets the time between two requests of this process during the warm-up; `None` if only other
    /// processes send them.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut standing = quillcove_core::standing::UpstreamStatus::default();
    /// standing.set_warm_up_gap(None, Duration::ZERO);
    /// assert!(standing.takes_work(Duration::ZERO), "it is not warming up");
    /// ```
    pub fn set_warm_up_gap(&mut self, gap: Option<Duration>, now: MonoTime) {
        if let Some(pacer) = self.warm_up.as_mut().and_then(|warm_up| warm_up.pace_mut(now)) {
            pacer.set_gap(gap, now);
        }
    }

    /// Returns the pacers in force: the one of the rate limit and the one of the warm-up.
    fn pacers(&self, now: MonoTime) -> impl Iterator<Item = &RequestPacer> {
        let warm_up = self.warm_up.as_ref().and_then(|warm_up| warm_up.pace(now));
        self.limit.iter().chain(warm_up)
    }

    /// Returns what is known of its limit, for reports to other processes.
    pub(crate) fn limit_word(&self, now: MonoTime) -> Option<LimitKnowledge> {
        let knowledge = |pacer: RequestPacer| LimitKnowledge {
            limit: pacer.limit(),
            age: now.saturating_sub(pacer.answered_at()),
            known_for: now.saturating_sub(pacer.since()),
        };
        self.limit.map(knowledge)
    }

    /// Sets the time between two requests of this process under the limit; `None` if only other
    /// processes send them.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut standing = quillcove_core::standing::UpstreamStatus::default();
    /// standing.set_limit_gap(None, Duration::ZERO);
    /// assert!(standing.takes_work(Duration::ZERO), "there is no limit");
    /// ```
    pub fn set_limit_gap(&mut self, gap: Option<Duration>, now: MonoTime) {
        if let Some(pacer) = &mut self.limit {
            pacer.set_gap(gap, now);
        }
    }

    /// Tells whether pauses and limits allow a request whose send slot was at `begun` to be written
    /// now.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert!(standing.may_write(Duration::ZERO, Duration::ZERO));
    /// ```
    pub fn may_write(&self, begun: MonoTime, now: MonoTime) -> bool {
        let is_slot_valid = self.pacers(now).all(|pacer| pacer.may_write(begun, now));
        is_slot_valid && self.pause_end(now).is_none()
    }

    /// Records that it is draining; returns whether that was unknown or the source is more reliable
    /// than before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::{LeavingSource, UpstreamStatus};
    ///
    /// let mut standing = UpstreamStatus::default();
    /// assert!(standing.note_leaving(LeavingSource::Told, Duration::ZERO));
    /// assert!(!standing.is_leaving(), "reported by another process only");
    /// assert!(standing.note_leaving(LeavingSource::Answer, Duration::ZERO));
    /// assert!(standing.is_leaving());
    /// ```
    pub fn note_leaving(&mut self, source: LeavingSource, now: MonoTime) -> bool {
        let known = self.leaving;
        let is_change = known.is_none_or(|known| known.source < source);
        if is_change {
            let since = known.map_or(now, |known| known.since);
            self.leaving = Some(DrainingReport { source, since });
        }
        is_change
    }

    /// Records a pause. Answers may overtake one another, so of several pauses the one that ends
    /// last applies.
    fn start_pause(&mut self, until: MonoTime, now: MonoTime) -> Option<UpstreamStatusChange> {
        let is_paused = self.pause_end(now).is_some();
        if self.pause.is_none_or(|pause| pause.until < until) {
            self.pause = Some(RequestedPause { until, sent: 0 });
        }
        (!is_paused).then_some(UpstreamStatusChange::Rests(until))
    }

    /// Tells whether it has reported itself that it is draining.
    ///
    /// ```
    /// assert!(!quillcove_core::standing::UpstreamStatus::default().is_leaving());
    /// ```
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|report| match report.source {
            LeavingSource::Told => false,
            LeavingSource::Listing | LeavingSource::Answer => true,
        })
    }

    /// Returns what is known of its draining, from any source.
    ///
    /// ```
    /// assert!(quillcove_core::standing::UpstreamStatus::default().leaving().is_none());
    /// ```
    pub fn leaving(&self) -> Option<DrainingReport> {
        self.leaving
    }

    /// Returns the end of a pause that is not over yet.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert_eq!(standing.pause_end(Duration::ZERO), None);
    /// ```
    pub fn pause_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.pause.map(|pause| pause.until).filter(|until| now < *until)
    }

    /// Returns how many requests may still be sent to it now, if it is paused or was until
    /// recently.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert_eq!(standing.remaining_requests(Duration::ZERO), None);
    /// ```
    pub fn remaining_requests(&self, now: MonoTime) -> Option<u32> {
        self.pause.and_then(|pause| pause.remaining_requests(now))
    }

    /// Tells whether pauses and limits allow a request to it now.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert!(standing.takes_work(Duration::ZERO));
    /// ```
    pub fn takes_work(&self, now: MonoTime) -> bool {
        self.remaining_requests(now) != Some(0)
            && self.next_slot(now).is_some_and(|slot| slot <= now)
    }

    /// Returns the earliest send slot under its limits; `None` if this process may send none.
    fn next_slot(&self, now: MonoTime) -> Option<MonoTime> {
        self.pacers(now).try_fold(now, |slot, pacer| Some(pacer.next_slot()?.max(slot)))
    }

    /// Returns the earliest time at which pauses and limits allow a request to it. If only other
    /// processes may send under its limit, this is when one of them has its next send slot at the
    /// latest.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert_eq!(standing.next_request_time(Duration::ZERO), Duration::ZERO);
    /// ```
    pub fn next_request_time(&self, now: MonoTime) -> MonoTime {
        let pause = self.pause.filter(|_| self.remaining_requests(now) == Some(0));
        let after_pause = pause.map_or(now, |pause| pause.next_slot(now));
        let gaps = self.pacers(now).filter_map(RequestPacer::limit).map(RateLimit::gap);
        let others_slot = || now + gaps.max().unwrap_or_default();
        after_pause.max(self.next_slot(now).unwrap_or_else(others_slot))
    }

    /// Tells whether this process has left its send slots under the limit unused for so long that a
    /// request has to probe whether the limit still applies.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStatus::default();
    /// assert!(!standing.is_limit_overdue(Duration::ZERO), "there is none");
    /// ```
    pub fn is_limit_overdue(&self, now: MonoTime) -> bool {
        self.limit.is_some_and(|pacer| pacer.is_overdue(now))
    }

    /// Records that a request is sent to it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut standing = quillcove_core::standing::UpstreamStatus::default();
    /// standing.begin(Duration::ZERO);
    /// ```
    pub fn begin(&mut self, now: MonoTime) {
        let warm_up = self.warm_up.as_mut().and_then(|warm_up| warm_up.pace_mut(now));
        for pacer in self.limit.iter_mut().chain(warm_up) {
            pacer.record_send(now);
        }
        match &mut self.pause {
            Some(pause) if pause.remaining_requests(now).is_none() => self.pause = None,
            Some(pause) => pause.sent += 1,
            None => {},
        }
    }

    /// Tells whether nothing is known that affects requests now.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// assert!(quillcove_core::standing::UpstreamStatus::default().is_blank(Duration::ZERO));
    /// ```
    pub fn is_blank(&self, now: MonoTime) -> bool {
        let is_held_back = self.remaining_requests(now).is_some() || self.cold_rate(now).is_some();
        self.leaving.is_none() && !is_held_back && self.limit().is_none()
    }
}
