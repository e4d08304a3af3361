//! What one process that sends requests to replicas knows of those under which replicas end.
//!
//! A broken answer may be a lost connection. Only when the replica is found to have ended as well does the
//! request count as one that was there.

use std::collections::BTreeMap;
use std::time::Duration;

use super::book::{CrashBook, CrashCause};
use super::digest::RequestIdentity;
use super::good::GoodRuns;
use super::teller::CrashTeller;
use super::telling::{CrashBeacon, EndId, EndedRequest, end_id, next_end};
use crate::ids::MonoTime;
use crate::relay::beacon::{ReplicaId, StartTime};

/// Time between a broken answer and the end of its replica within which the one is due to the other, when
/// the end is heard of elsewhere. Processes notice an end within some milliseconds of each other.
const SAME_END: Duration = Duration::from_millis(1500);

/// Time for which ends are kept, to which answers may still be found to belong, and after which those of the
/// replica's next run may be told apart.
const END_LIFETIME: Duration = Duration::from_secs(60);

/// Broken answers that wait for word of their replica at most; past that the oldest goes.
const MOST_BROKEN: usize = 1024;

/// A run of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// The replica.
    pub replica: ReplicaId,
    /// When it started, where it says so.
    pub born: Option<StartTime>,
}

impl ReplicaRun {
    fn end(&self) -> EndId {
        end_id(&self.replica, self.born)
    }
}

/// An answer that broke off.
#[derive(Clone, Copy, Debug)]
pub struct AnswerBreak {
    /// The request.
    pub identity: RequestIdentity,
    /// Whether bytes of the answer had come.
    pub has_begun: bool,
    /// When the request was sent: a replica that has ended and is back may be known by its earlier run still.
    pub sent_at: MonoTime,
}

/// An answer that broke off, as long as it is not known whether its replica ended.
#[derive(Clone, Copy, Debug)]
struct BrokenAnswer {
    /// The run of the replica, as this process knows it.
    run: EndId,
    /// The end that it would be due to: that of the run, or of a later one under the same name.
    end: EndId,
    identity: RequestIdentity,
    has_begun: bool,
    at: MonoTime,
}

/// What one process knows of requests under which replicas end.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
/// use quillcove_core::crash::watch::{AnswerBreak, CrashWatch, ReplicaRun};
///
/// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
/// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
/// let now = Duration::from_secs(5);
/// let mut watch = CrashWatch::default();
/// for replica in ["i-1", "i-2", "i-3"] {
///     let run = ReplicaRun { replica: replica.into(), born: None };
///     let broke = AnswerBreak { identity: request, has_begun: false, sent_at: now };
///     watch.note_broken(&run, broke, now);
///     assert!(watch.cause(request, now).is_none());
///     assert_eq!(watch.confirm_end(&run, now), 1);
/// }
/// assert!(watch.cause(request, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashWatch {
    book: CrashBook,
    good: GoodRuns,
    teller: CrashTeller,
    broken: Vec<BrokenAnswer>,
    /// Ends that are known, and when they were noticed.
    ended: BTreeMap<EndId, MonoTime>,
}

impl CrashWatch {
    /// What is known of requests.
    ///
    /// ```
    /// assert!(quillcove_core::crash::watch::CrashWatch::default().book().is_empty());
    /// ```
    pub fn book(&self) -> &CrashBook {
        &self.book
    }

    /// Notes that an answer of a replica broke off. Tells whether it is the first one with that replica, so
    /// that somebody has to find out whether the replica ended.
    ///
    /// See [`CrashWatch`] for an example.
    pub fn note_broken(&mut self, run: &ReplicaRun, broke: AnswerBreak, now: MonoTime) -> bool {
        let AnswerBreak { identity, has_begun, sent_at } = broke;
        let end = self.end_after(run.end(), sent_at);
        let broken = BrokenAnswer { run: run.end(), end, identity, has_begun, at: now };
        if self.ended.contains_key(&broken.end) {
            self.count(broken, now);
            return false;
        }
        let is_first = !self.broken.iter().any(|other| other.end == broken.end);
        if self.broken.len() >= MOST_BROKEN {
            self.broken.remove(0);
        }
        self.broken.push(broken);
        is_first
    }

    /// Notes that a replica was found to have ended; gives the number of answers that broke off with it.
    ///
    /// See [`CrashWatch`] for an example.
    pub fn confirm_end(&mut self, run: &ReplicaRun, now: MonoTime) -> usize {
        let end = run.end();
        let broken = self.broken.iter().find(|broken| broken.run == end);
        let end = broken.map_or(end, |broken| broken.end);
        self.ended.entry(end).or_insert(now);
        self.count_broken(end, |_| true, now)
    }

    /// The first end of a run, and of later runs under its name, that was not known before this time.
    fn end_after(&self, run: EndId, sent_at: MonoTime) -> EndId {
        let mut end = run;
        while self.ended.get(&end).is_some_and(|at| sent_at > *at + SAME_END) {
            end = next_end(end);
        }
        end
    }

    /// Notes that a replica was found to live: the answers broke off for another reason.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::{CrashWatch, ReplicaRun};
    ///
    /// let run = ReplicaRun { replica: "i-1".into(), born: None };
    /// CrashWatch::default().deny_end(&run);
    /// ```
    pub fn deny_end(&mut self, run: &ReplicaRun) {
        let end = run.end();
        self.broken.retain(|broken| broken.run != end);
    }

    /// Counts the answers that broke off with an end.
    fn count_broken(
        &mut self,
        end: EndId,
        belongs: impl Fn(&BrokenAnswer) -> bool,
        now: MonoTime,
    ) -> usize {
        let is_due = |broken: &BrokenAnswer| broken.end == end && belongs(broken);
        let due: Vec<BrokenAnswer> = self.broken.iter().copied().filter(is_due).collect();
        self.broken.retain(|broken| !is_due(broken));
        for broken in &due {
            self.count(*broken, now);
        }
        due.len()
    }

    /// Counts one request at an end, unless it is excused as it has just run well for the same caller.
    fn count(&mut self, broken: BrokenAnswer, now: MonoTime) {
        if self.good.excuse(broken.identity, broken.at) {
            return;
        }
        let runs_well = self.good.has_request(broken.identity.digest);
        let BrokenAnswer { end, identity, has_begun, at, .. } = broken;
        let ended = EndedRequest { identity, has_begun, runs_well };
        if self.book.note_end(end, ended, at, now) {
            self.teller.note_end(end, ended, at);
        }
    }

    /// Notes that a request ran to a good end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::CrashWatch;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// CrashWatch::default().note_good(request, Duration::ZERO);
    /// ```
    pub fn note_good(&mut self, identity: RequestIdentity, now: MonoTime) {
        self.good.note(identity, now);
        if self.book.note_good(identity, now) {
            self.teller.note_good(identity, now);
        }
    }

    /// Notes a good end that every process sees for itself, so that nobody is told of it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::load_identity;
    /// use quillcove_core::crash::watch::CrashWatch;
    /// use quillcove_core::relay::beacon::AdapterKey;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// CrashWatch::default().note_seen_good(load_identity(&key, 1), Duration::ZERO);
    /// ```
    pub fn note_seen_good(&mut self, identity: RequestIdentity, now: MonoTime) {
        self.book.note_good(identity, now);
    }

    /// Why a request is to be refused; `None` when it may run.
    ///
    /// See [`CrashWatch`] for an example.
    pub fn cause(&self, identity: RequestIdentity, now: MonoTime) -> Option<CrashCause> {
        self.book.cause(identity, now)
    }

    /// Notes that a request was refused for what is known of it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::CrashWatch;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// CrashWatch::default().note_refused(request, Duration::ZERO);
    /// ```
    pub fn note_refused(&mut self, identity: RequestIdentity, now: MonoTime) {
        for report in self.book.note_refused(identity.digest, now).ends {
            let at = now.saturating_sub(report.age);
            for ended in report.requests {
                self.teller.note_end(report.end, ended, at);
            }
        }
    }

    /// Takes what another process tells; gives back how much of it was news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::telling::CrashBeacon;
    /// use quillcove_core::crash::watch::CrashWatch;
    ///
    /// let now = Duration::from_secs(1);
    /// assert_eq!(CrashWatch::default().take(&CrashBeacon::default(), now), 0);
    /// ```
    pub fn take(&mut self, beacon: &CrashBeacon, now: MonoTime) -> usize {
        for report in &beacon.ends {
            let at = now.saturating_sub(report.age);
            if report.age < END_LIFETIME {
                self.ended.entry(report.end).or_insert(at);
                let belongs = |broken: &BrokenAnswer| broken.at.abs_diff(at) <= SAME_END;
                self.count_broken(report.end, belongs, now);
            }
        }
        self.book.take(beacon, now)
    }

    /// What is to be told now, in messages that fit into a datagram: what is new, and with a beacon what was
    /// told lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::CrashWatch;
    ///
    /// assert!(CrashWatch::default().tell(true, Duration::ZERO).is_empty());
    /// ```
    pub fn tell(&mut self, is_beacon: bool, now: MonoTime) -> Vec<CrashBeacon> {
        self.teller.tell(is_beacon, now)
    }

    /// Forgets what is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::CrashWatch;
    ///
    /// CrashWatch::default().tick(Duration::from_secs(1));
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        let is_fresh = |at: MonoTime| now.saturating_sub(at) < END_LIFETIME;
        self.broken.retain(|broken| is_fresh(broken.at));
        self.ended.retain(|_, at| is_fresh(*at));
        self.book.forget(now);
    }
}
