//! Whether an upstream takes new work, by what it says of itself.
//!
//! An upstream that leaves says so in its answers, often long before any list does, and one that is overrun asks
//! for rest. Both words belong to one start of the upstream. Neither is taken back by anything but a new start
//! or, for a rest, its end: no list, no report and no good answer to an earlier request says the contrary.

pub mod limit;
pub mod notice;

use std::time::Duration;

use serde::Serialize;

use self::limit::RateLimit;
use self::notice::UpstreamNotice;
use crate::ids::MonoTime;

/// After a rest, requests go out in steps of this length, each with twice as many as the one before. An upstream
/// that turns the first ones away again has asked for the next rest by the second step.
pub const RETURN_STEP: Duration = Duration::from_millis(100);

/// Steps after which an upstream that rested takes work as any other: 63 requests have been allowed by then,
/// about as many as an engine works on at once.
const RETURN_STEPS: u32 = 6;

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

/// A time in which an upstream wants nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RestTerm {
    until: MonoTime,
    /// Requests sent after its end.
    sent: u32,
}

impl RestTerm {
    /// Requests that may still go out now; `None` when it is long over.
    fn left(&self, now: MonoTime) -> Option<u32> {
        let Some(over) = now.checked_sub(self.until) else {
            return Some(0);
        };
        let step = (over.as_millis() / RETURN_STEP.as_millis()) as u32;
        let allowed = (step < RETURN_STEPS).then(|| (2 << step) - 1)?;
        Some(u32::saturating_sub(allowed, self.sent))
    }

    /// From when on a request may go out.
    fn next(&self, now: MonoTime) -> MonoTime {
        match now < self.until {
            true => self.until,
            false => now + RETURN_STEP,
        }
    }
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
    limit: Option<RateLimit>,
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
        let limits = notice.limit.and_then(|limit| self.note_limit(limit));
        match leaves {
            true => Some(StandingChange::Leaves),
            false => rests.or(limits),
        }
    }

    fn note_limit(&mut self, limit: RateLimit) -> Option<StandingChange> {
        let is_news = self.limit != Some(limit);
        self.limit = Some(limit);
        is_news.then_some(StandingChange::Limits(limit))
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
        self.leaving.is_some_and(|word| word.source == LeavingSource::Answer)
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

    /// Tells whether a request may go to it now, as far as rests go.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert!(standing.takes_work(Duration::ZERO));
    /// ```
    pub fn takes_work(&self, now: MonoTime) -> bool {
        self.left(now) != Some(0)
    }

    /// From when on a request may go to it, as far as rests go.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let standing = quillcove_core::standing::UpstreamStanding::default();
    /// assert_eq!(standing.takes_work_from(Duration::ZERO), Duration::ZERO);
    /// ```
    pub fn takes_work_from(&self, now: MonoTime) -> MonoTime {
        match self.rest.filter(|_| !self.takes_work(now)) {
            Some(rest) => rest.next(now),
            None => now,
        }
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
        self.leaving.is_none() && self.left(now).is_none()
    }
}
