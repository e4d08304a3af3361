//! Questions of a relay for the origins of streams that other relays began.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::{KnownOrigin, OriginAnswer, OriginBook, OwnStreams, StreamKey, StreamOrigin};
use crate::ids::MonoTime;

/// Time after which a stream counts as unknown if a process that was asked has not answered: a quarter of a target latency
/// of 800 ms, within which a rejection leaves its caller time for another attempt. A process that does not know the stream
/// says so, which ends the lookup earlier.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a question is sent once more, as a datagram may be lost.
const RESEND_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of lookups at a time. Callers that return after the loss of a third of 790 engines with 64 requests
/// each make 40 lookups a relay at 420 relays, and some thousand at 4.
const MAX_LOOKUPS: usize = 8_192;

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginLookup {
    /// The origin is known.
    Known(KnownOrigin),
    /// Look up again when an answer has been received, and at this time at the latest.
    Pending(MonoTime),
    /// No process that could be asked knows the origin.
    Unknown,
}

#[derive(Clone, Debug)]
struct OpenLookup {
    until: MonoTime,
    /// When the question is sent once more; `None` after that.
    resend_at: Option<MonoTime>,
    /// Processes that were asked; `None` until the question is sent.
    asked: Option<BTreeSet<SocketAddr>>,
    /// Processes that do not know the stream.
    denied: BTreeSet<SocketAddr>,
}

impl OpenLookup {
    fn new(now: MonoTime) -> Self {
        Self {
            until: now + LOOKUP_TIMEOUT,
            resend_at: Some(now + RESEND_DELAY),
            asked: None,
            denied: BTreeSet::new(),
        }
    }

    fn is_over(&self, now: MonoTime) -> bool {
        let all_denied = self.asked.as_ref().is_some_and(|asked| asked.is_subset(&self.denied));
        now >= self.until || all_denied
    }
}

/// What a relay knows of the origins of streams, and its open lookups.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::origin::{OriginLookup, OriginTracker, StreamKey};
///
/// let (mut tracker, stream) = (OriginTracker::default(), StreamKey::of("r1"));
/// assert!(matches!(tracker.look_up(stream, Duration::ZERO), OriginLookup::Pending(_)));
/// assert_eq!(tracker.take_questions(), [stream]);
/// tracker.note_asked(stream, &[]);
/// assert_eq!(tracker.look_up(stream, Duration::ZERO), OriginLookup::Unknown);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginTracker {
    book: OriginBook,
    own: OwnStreams,
    lookups: HashMap<StreamKey, OpenLookup>,
    /// Reports that have not been sent to holders yet.
    reports: Vec<StreamOrigin>,
    /// Questions that have not been sent to holders yet.
    questions: Vec<StreamKey>,
}

impl OriginTracker {
    /// Returns the record of origins.
    ///
    /// ```
    /// assert!(quillcove_core::relay::origin::OriginTracker::default().book().is_empty());
    /// ```
    pub fn book(&self) -> &OriginBook {
        &self.book
    }

    /// Records the origin of a stream whose first event this relay forwards, to be reported to its holders.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::{OriginDigest, OriginTracker, StreamKey, StreamOrigin};
    ///
    /// let (stream, origin) = (StreamKey::of("r1"), OriginDigest::of("s", Some("v1")));
    /// let mut tracker = OriginTracker::default();
    /// tracker.begin(StreamOrigin { stream, origin, lifetime: Duration::from_secs(9) }, Duration::ZERO);
    /// assert_eq!(tracker.take_reports().len(), 1);
    /// ```
    pub fn begin(&mut self, report: StreamOrigin, now: MonoTime) {
        self.book.record(&report, now);
        self.own.add(report, now);
        self.reports.push(report);
    }

    /// Records the engines whose loaders may be holders. Streams of this relay that have other holders by that are
    /// reported to them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::{OriginDigest, OriginTracker, StreamKey, StreamOrigin};
    ///
    /// let (stream, origin) = (StreamKey::of("r1"), OriginDigest::of("s", Some("v1")));
    /// let mut tracker = OriginTracker::default();
    /// tracker.begin(StreamOrigin { stream, origin, lifetime: Duration::from_secs(9) }, Duration::ZERO);
    /// assert_eq!(tracker.take_reports().len(), 1);
    /// tracker.set_engines(["127.0.0.1:1".parse().unwrap()].into(), Duration::ZERO);
    /// assert_eq!(tracker.take_reports().len(), 1);
    /// ```
    pub fn set_engines(&mut self, engines: BTreeSet<SocketAddr>, now: MonoTime) {
        self.reports.extend(self.own.set_engines(engines, now));
    }

    /// Records the report of another relay that selected this one as a holder.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::{OriginDigest, OriginTracker, StreamKey, StreamOrigin};
    ///
    /// let (stream, origin) = (StreamKey::of("r1"), OriginDigest::of("s", Some("v1")));
    /// let mut tracker = OriginTracker::default();
    /// tracker.hold(&StreamOrigin { stream, origin, lifetime: Duration::from_secs(9) }, Duration::ZERO);
    /// assert!(tracker.take_reports().is_empty());
    /// ```
    pub fn hold(&mut self, report: &StreamOrigin, now: MonoTime) {
        self.book.record(report, now);
    }

    /// Looks a stream up; asks its holders if this relay does not know it.
    ///
    /// See [`OriginTracker`] for an example.
    pub fn look_up(&mut self, stream: StreamKey, now: MonoTime) -> OriginLookup {
        if let Some(known) = self.book.find(stream, now) {
            self.lookups.remove(&stream);
            return OriginLookup::Known(known);
        }
        let Some(lookup) = self.lookups.get_mut(&stream) else {
            if self.lookups.len() >= MAX_LOOKUPS {
                return OriginLookup::Unknown;
            }
            let lookup = OpenLookup::new(now);
            let next = lookup.resend_at.unwrap_or(lookup.until);
            self.lookups.insert(stream, lookup);
            self.questions.push(stream);
            return OriginLookup::Pending(next);
        };
        if lookup.is_over(now) {
            self.lookups.remove(&stream);
            return OriginLookup::Unknown;
        }
        if lookup.resend_at.is_some_and(|at| now >= at) {
            lookup.resend_at = None;
            self.questions.push(stream);
        }
        OriginLookup::Pending(lookup.resend_at.unwrap_or(lookup.until))
    }

    /// Records to which processes the question for a stream was sent.
    ///
    /// See [`OriginTracker`] for an example.
    pub fn note_asked(&mut self, stream: StreamKey, holders: &[SocketAddr]) {
        if let Some(lookup) = self.lookups.get_mut(&stream) {
            lookup.asked.get_or_insert_default().extend(holders);
        }
    }

    /// Records an answer. Returns whether it may end a lookup.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::{OriginAnswer, OriginTracker, StreamKey};
    ///
    /// let answer = OriginAnswer { stream: StreamKey::of("r1"), known: None };
    /// let from = "127.0.0.1:1".parse().unwrap();
    /// assert!(!OriginTracker::default().take_answer(&answer, from, Duration::ZERO), "nobody asked");
    /// ```
    pub fn take_answer(&mut self, answer: &OriginAnswer, from: SocketAddr, now: MonoTime) -> bool {
        let Some(lookup) = self.lookups.get_mut(&answer.stream) else {
            return false;
        };
        if answer.known.is_none() {
            lookup.denied.insert(from);
            return lookup.is_over(now);
        }
        self.book.record_answer(answer, now)
    }

    /// Takes the reports that are to be sent to holders.
    ///
    /// See [`OriginTracker::begin`] for an example.
    pub fn take_reports(&mut self) -> Vec<StreamOrigin> {
        std::mem::take(&mut self.reports)
    }

    /// Takes the questions that are to be sent to holders.
    ///
    /// See [`OriginTracker`] for an example.
    pub fn take_questions(&mut self) -> Vec<StreamKey> {
        std::mem::take(&mut self.questions)
    }

    /// Returns whether reports or questions are to be sent.
    ///
    /// ```
    /// assert!(!quillcove_core::relay::origin::OriginTracker::default().has_messages());
    /// ```
    pub fn has_messages(&self) -> bool {
        !self.reports.is_empty() || !self.questions.is_empty()
    }

    /// Returns the number of open lookups.
    ///
    /// ```
    /// assert_eq!(quillcove_core::relay::origin::OriginTracker::default().lookup_count(), 0);
    /// ```
    pub fn lookup_count(&self) -> usize {
        self.lookups.len()
    }

    /// Removes lookups whose requests have ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::OriginTracker;
    ///
    /// OriginTracker::default().tick(Duration::ZERO);
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        self.lookups.retain(|_, lookup| now < lookup.until + LOOKUP_TIMEOUT);
    }
}
