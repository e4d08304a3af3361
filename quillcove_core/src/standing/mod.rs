//! Whether an upstream takes new work, by what it says of itself.
//!
//! An upstream that leaves says so in its answers, often long before any list does, one that is overrun asks
//! for rest, and one that has little room names the rate of requests that it takes from all processes together. The
//! words belong to one start of the upstream. None is taken back by anything but a new start, the end of a rest, or an
//! answer without a limit to a request that was sent after the last one which named it: no list, no report and no good
//! answer to an earlier request says the contrary.

mod cold;
pub mod limit;
pub mod notice;
mod pace;
mod rest;

use std::time::Duration;

use serde::Serialize;

use self::cold::ColdTerm;
use self::limit::RateLimit;
use self::notice::UpstreamNotice;
use self::pace::LimitTerm;
use self::rest::RestTerm;
use crate::ids::MonoTime;

/// Part of the time until the soonest end of a rest over which refused callers are spread beyond it.
const CALLER_SPREAD: f64 = 0.25;

/// When a caller is to come back that is refused as all upstreams rest for so long. Each draw has a moment of its own.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::standing::spread_return;
///
/// let rest = Duration::from_secs(4);
/// assert_eq!(spread_return(rest, 0), rest);
/// assert_eq!(spread_return(rest, u64::MAX), Duration::from_secs(5));
/// ```
pub fn spread_return(rest: Duration, draw: u64) -> Duration {
    rest.mul_f64(1.0 + CALLER_SPREAD * share_of(draw))
}

/// A draw as a share from 0 to 1.
pub(crate) fn share_of(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

/// Who said that an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// Another process, which had an answer of it.
    Told,
    /// The upstream, in its entry of the platform's listing.
    Listing,
    /// The upstream, in an answer to this process.
    Answer,
}

/// That an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingWord {
    /// Who said so; of several the strongest.
    pub source: LeavingSource,
    /// When this process first knew.
    pub since: MonoTime,
}

/// What one process knows of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitKnowledge {
    /// The limit; `None` when the last answer named none.
    pub limit: Option<RateLimit>,
    /// Age of the answer that says so.
    pub age: Duration,
    /// For how long this process has kept to a limit, or known of none.
    pub known_for: Duration,
}

/// What became known by a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandingChange {
    /// The upstream leaves.
    Leaves,
    /// It rests until then, and did not before.
    Rests(MonoTime),
    /// It names a limit, or another one than before.
    Limits(RateLimit),
}

/// What one start of an upstream has said of itself.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::standing::UpstreamStanding;
/// use quillcove_core::standing::notice::UpstreamNotice;
///
/// let mut standing = UpstreamStanding::default();
/// let second = Duration::from_secs(1);
/// let notice = UpstreamNotice { is_leaving: false, rest: Some(second), limit: None };
/// standing.take(&notice, Duration::ZERO, Duration::ZERO);
/// assert!(!standing.takes_work(Duration::from_millis(999)));
/// assert!(standing.takes_work(second));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStanding {
    leaving: Option<LeavingWord>,
    rest: Option<RestTerm>,
    limit: Option<LimitTerm>,
    cold: Option<ColdTerm>,
}

impl UpstreamStanding {
    /// Takes what the upstream said with an answer. `spread` is added to a rest, so that the processes of
    /// which it was asked at one moment do not return at one moment.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::{StandingChange, UpstreamStanding};
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let notice = UpstreamNotice { is_leaving: true, rest: None, limit: None };
    /// let change = UpstreamStanding::default().take(&notice, Duration::ZERO, Duration::ZERO);
    /// assert_eq!(change, Some(StandingChange::Leaves));
    /// ```
    pub fn take(
        &mut self,
        notice: &UpstreamNotice,
        spread: Duration,
        now: MonoTime,
    ) -> Option<StandingChange> {
        let rests = notice.rest.and_then(|rest| self.rest_until(now + rest + spread, now));
        let leaves = notice.is_leaving && self.note_leaving(LeavingSource::Answer, now);
        let limits = notice.limit.and_then(|limit| self.note_limit(limit, now));
        match leaves {
            true => Some(StandingChange::Leaves),
            false => rests.or(limits),
        }
    }

    fn note_limit(&mut self, limit: RateLimit, now: MonoTime) -> Option<StandingChange> {
        let is_news = match &mut self.limit {
            Some(term) => term.name(limit, now),
            None => {
                self.limit = Some(LimitTerm::new(Some(limit), now, now));
                true
            },
        };
        is_news.then_some(StandingChange::Limits(limit))
    }

    /// Takes another process's word of a limit, or that there is none any more, by an answer of this age; tells
    /// whether it is news. `spread` is added to the time of the return.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::UpstreamStanding;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let mut standing = UpstreamStanding::default();
    /// let second = Duration::from_secs(1);
    /// let limit = RateLimit::per_second(2.0);
    /// assert!(standing.note_told_limit(limit, Duration::ZERO, Duration::ZERO, second));
    /// assert!(!standing.takes_work(second));
    /// ```
    pub fn note_told_limit(
        &mut self,
        limit: Option<RateLimit>,
        age: Duration,
        spread: Duration,
        now: MonoTime,
    ) -> bool {
        let said_at = now.saturating_sub(age);
        match &mut self.limit {
            Some(term) => {
                let had_limit = term.limit().is_some();
                let is_news = term.take_told(limit, said_at, now);
                self.return_after_limit(is_news && had_limit && limit.is_none(), spread, now);
                is_news
            },
            None if limit.is_none() => false,
            None => {
                self.limit = Some(LimitTerm::new(limit, said_at, now));
                true
            },
        }
    }

    /// Takes a good answer that names no limit, to a request that was sent then; tells whether a limit ends by it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::UpstreamStanding;
    /// use quillcove_core::standing::limit::RateLimit;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let [first, second, third] = [1, 2, 3].map(Duration::from_secs);
    /// let notice = UpstreamNotice { limit: RateLimit::per_second(2.0), ..UpstreamNotice::default() };
    /// let mut standing = UpstreamStanding::default();
    /// standing.take(&notice, Duration::ZERO, second);
    /// let zero = Duration::ZERO;
    /// assert!(!standing.note_no_limit(first, zero, third), "sent before the limit was named");
    /// assert!(standing.note_no_limit(third, zero, third));
    /// ```
    pub fn note_no_limit(&mut self, sent: MonoTime, spread: Duration, now: MonoTime) -> bool {
        let is_end = self.limit.as_mut().is_some_and(|term| term.note_none(sent, now));
        self.return_after_limit(is_end, spread, now);
        is_end
    }

    /// An upstream that took few requests gets more of them in steps, as after a rest.
    fn return_after_limit(&mut self, is_end: bool, spread: Duration, now: MonoTime) {
        if is_end {
            self.rest_until(now + spread, now);
        }
    }

    /// The limit that it names.
    ///
    /// ```
    /// assert!(quillcove_core::standing::UpstreamStanding::default().limit().is_none());
    /// ```
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit.and_then(|term| term.limit())
    }

    /// Notes that it is cold until then and bears so many requests a second from all processes together; tells whether
    /// that was not known. This process sends none until it has a share: [`UpstreamStanding::set_cold_gap`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::UpstreamStanding;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let rate = RateLimit::per_second(8.0).unwrap();
    /// let second = Duration::from_secs(1);
    /// let mut standing = UpstreamStanding::default();
    /// assert!(standing.note_cold(rate, second, Duration::ZERO));
    /// assert!(!standing.takes_work(Duration::ZERO));
    /// assert!(standing.takes_work(second), "it is warm");
    /// ```
    pub fn note_cold(&mut self, rate: RateLimit, until: MonoTime, now: MonoTime) -> bool {
        match &mut self.cold {
            Some(term) if term.pace(now).is_some() => {
                term.extend(until);
                false
            },
            _ => {
                self.cold = (now < until).then(|| ColdTerm::new(rate, until, now));
                self.cold.is_some()
            },
        }
    }

    /// Requests that it bears from all processes together, while it is cold.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert!(standing.cold_rate(Duration::ZERO).is_none());
    /// ```
    pub fn cold_rate(&self, now: MonoTime) -> Option<RateLimit> {
        self.cold.as_ref()?.pace(now)?.limit()
    }

    /// Sets the time between two requests of this process while it is cold; `None` when others send them.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut standing = quillcove_core::standing::UpstreamStanding::default();
    /// standing.set_cold_gap(None, Duration::ZERO);
    /// assert!(standing.takes_work(Duration::ZERO), "it is not cold");
    /// ```
    pub fn set_cold_gap(&mut self, gap: Option<Duration>, now: MonoTime) {
        if let Some(pace) = self.cold.as_mut().and_then(|term| term.pace_mut(now)) {
            pace.set_gap(gap, now);
        }
    }

    /// The paces that hold now: under its limit, and while it is cold.
    fn paces(&self, now: MonoTime) -> impl Iterator<Item = &LimitTerm> {
        let cold = self.cold.as_ref().and_then(|term| term.pace(now));
        self.limit.iter().chain(cold)
    }

    /// What is known of its limit, to be told to other processes: the limit, the age of the answer that says so, and for
    /// how long that has been known.
    pub(crate) fn limit_word(&self, now: MonoTime) -> Option<LimitKnowledge> {
        let known = |term: LimitTerm| LimitKnowledge {
            limit: term.limit(),
            age: now.saturating_sub(term.said_at()),
            known_for: now.saturating_sub(term.since()),
        };
        self.limit.map(known)
    }

    /// Sets the time between two requests of this process under the limit; `None` when others send them.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut standing = quillcove_core::standing::UpstreamStanding::default();
    /// standing.set_limit_gap(None, Duration::ZERO);
    /// assert!(standing.takes_work(Duration::ZERO), "there is no limit");
    /// ```
    pub fn set_limit_gap(&mut self, gap: Option<Duration>, now: MonoTime) {
        if let Some(term) = &mut self.limit {
            term.set_gap(gap, now);
        }
    }

    /// Tells whether a request may be written to it now, as far as rests and limits go, that had its turn then.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert!(standing.may_write(Duration::ZERO, Duration::ZERO));
    /// ```
    pub fn may_write(&self, begun: MonoTime, now: MonoTime) -> bool {
        let is_in_turn = self.paces(now).all(|pace| pace.may_write(begun, now));
        is_in_turn && self.rest_end(now).is_none()
    }

    /// Notes that it leaves; tells whether this is the first time or the first by its own word.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::standing::{LeavingSource, UpstreamStanding};
    ///
    /// let mut standing = UpstreamStanding::default();
    /// assert!(standing.note_leaving(LeavingSource::Told, Duration::ZERO));
    /// assert!(!standing.is_leaving(), "only by what another process told");
    /// assert!(standing.note_leaving(LeavingSource::Answer, Duration::ZERO));
    /// assert!(standing.is_leaving());
    /// ```
    pub fn note_leaving(&mut self, source: LeavingSource, now: MonoTime) -> bool {
        let known = self.leaving;
        let is_news = known.is_none_or(|known| known.source < source);
        if is_news {
            let since = known.map_or(now, |known| known.since);
            self.leaving = Some(LeavingWord { source, since });
        }
        is_news
    }

    /// Several rests may be asked for, by answers that overtake one another: the one that ends last holds.
    fn rest_until(&mut self, until: MonoTime, now: MonoTime) -> Option<StandingChange> {
        let is_resting = self.rest_end(now).is_some();
        if self.rest.is_none_or(|rest| rest.until < until) {
            self.rest = Some(RestTerm { until, sent: 0 });
        }
        (!is_resting).then_some(StandingChange::Rests(until))
    }

    /// Tells whether it has said itself that it leaves.
    ///
    /// ```
    /// assert!(!quillcove_core::standing::UpstreamStanding::default().is_leaving());
    /// ```
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|word| match word.source {
            LeavingSource::Told => false,
            LeavingSource::Listing | LeavingSource::Answer => true,
        })
    }

    /// That it leaves, by anybody's word.
    ///
    /// ```
    /// assert!(quillcove_core::standing::UpstreamStanding::default().leaving().is_none());
    /// ```
    pub fn leaving(&self) -> Option<LeavingWord> {
        self.leaving
    }

    /// When its rest ends, if it has not ended.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert_eq!(standing.rest_end(Duration::ZERO), None);
    /// ```
    pub fn rest_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.rest.map(|rest| rest.until).filter(|until| now < *until)
    }

    /// Requests that may go to it now, when it rests or has just rested.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert_eq!(standing.left(Duration::ZERO), None);
    /// ```
    pub fn left(&self, now: MonoTime) -> Option<u32> {
        self.rest.and_then(|rest| rest.left(now))
    }

    /// Tells whether a request may go to it now, as far as rests and limits go.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert!(standing.takes_work(Duration::ZERO));
    /// ```
    pub fn takes_work(&self, now: MonoTime) -> bool {
        self.left(now) != Some(0) && self.turn(now).is_some_and(|turn| turn <= now)
    }

    /// From when on a request may go to it under its limits; `None` when this process is to send none.
    fn turn(&self, now: MonoTime) -> Option<MonoTime> {
        self.paces(now).try_fold(now, |turn, pace| Some(pace.next()?.max(turn)))
    }

    /// From when on a request may go to it, as far as rests and limits go. Where other processes send what its limit
    /// allows, one of them is to have a turn by then.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert_eq!(standing.takes_work_from(Duration::ZERO), Duration::ZERO);
    /// ```
    pub fn takes_work_from(&self, now: MonoTime) -> MonoTime {
        let rest = self.rest.filter(|_| self.left(now) == Some(0));
        let after_rest = rest.map_or(now, |rest| rest.next(now));
        let gaps = self.paces(now).filter_map(LimitTerm::limit).map(RateLimit::gap);
        let others_turn = || now + gaps.max().unwrap_or_default();
        after_rest.max(self.turn(now).unwrap_or_else(others_turn))
    }

    /// Tells whether its limit has not been made use of for long by this process, which might have, so that it is to
    /// be asked whether the limit still holds.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert!(!standing.is_limit_overdue(Duration::ZERO), "there is none");
    /// ```
    pub fn is_limit_overdue(&self, now: MonoTime) -> bool {
        self.limit.is_some_and(|term| term.is_overdue(now))
    }

    /// Notes that a request goes to it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut standing = quillcove_core::standing::UpstreamStanding::default();
    /// standing.begin(Duration::ZERO);
    /// ```
    pub fn begin(&mut self, now: MonoTime) {
        let cold = self.cold.as_mut().and_then(|term| term.pace_mut(now));
        for pace in self.limit.iter_mut().chain(cold) {
            pace.begin(now);
        }
        match &mut self.rest {
            Some(rest) if rest.left(now).is_none() => self.rest = None,
            Some(rest) => rest.sent += 1,
            None => {},
        }
    }

    /// Tells whether nothing is known that matters now.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// assert!(quillcove_core::standing::UpstreamStanding::default().is_blank(Duration::ZERO));
    /// ```
    pub fn is_blank(&self, now: MonoTime) -> bool {
        let is_held_back = self.left(now).is_some() || self.cold_rate(now).is_some();
        self.leaving.is_none() && !is_held_back && self.limit().is_none()
    }
}
