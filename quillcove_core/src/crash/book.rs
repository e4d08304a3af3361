//! Which requests were at replicas that ended, over all relays, and which of them is to blame.
//!
//! A replica ends with many requests at it, one of which may be the cause. That one is at every such end;
//! the others are there by chance. So an end counts against a request only if no other request at it was
//! at more ends, and a run to a good end clears the caller whose run it was.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::digest::{CallerDigest, LOAD_CALLER, RequestDigest, RequestIdentity};
use super::record::{EndMark, RequestRecord, SuspectWeight};
use super::telling::{CrashBeacon, EndId, EndReport, EndedRequest};
use crate::ids::MonoTime;

/// Replicas that may end under a request until it is refused: the users' figure.
pub const MOST_ENDS: usize = 3;

/// Time since a request was last met until it is forgotten. Its caller is told to stay away as long.
pub const FORGET_TIME: Duration = Duration::from_secs(900);

/// Requests that are kept. Past that, those with the fewest ends go first, and of these the ones that were
/// met longest ago. All of them take about 1 MB.
const MOST_REQUESTS: usize = 4096;

/// Part of the requests that goes when there are too many, so that not each new one looks for the next.
const CROWDED_PART: usize = MOST_REQUESTS / 8;

/// Requests of which a process that asks is told: what a fleet under attack still sends in one answer.
const MOST_TOLD: usize = 256;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCause {
    /// Replicas that ended under it.
    pub ends: usize,
    /// Callers whose requests were there.
    pub callers: usize,
    /// Whether only requests of the same caller are refused.
    pub is_callers_own: bool,
    /// Time since the last of these ends.
    pub last_end: Duration,
}

/// What is known of ends, in a dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CrashSummary {
    /// Requests that were at replicas which ended.
    pub requests: usize,
    /// Those of them that were at so many ends that they may be refused.
    pub fatal: usize,
    /// Ends at which they were.
    pub ends: usize,
}

/// Requests that were at replicas which ended.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::book::CrashBook;
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
/// use quillcove_core::crash::telling::EndedRequest;
///
/// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
/// let fatal = RequestIdentity { digest: parts.digest(), caller: 1 };
/// let now = Duration::from_secs(5);
/// let mut book = CrashBook::default();
/// for end in 1..=3 {
///     assert!(book.cause(fatal, now).is_none());
///     let ended = EndedRequest { identity: fatal, has_begun: false, runs_well: false };
///     book.note_end(end, ended, now, now);
/// }
/// assert_eq!(book.cause(fatal, now).unwrap().ends, 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    records: HashMap<RequestDigest, RequestRecord>,
    /// Whether ends under loads were ever noted.
    has_loads: bool,
}

impl CrashBook {
    /// Requests that are kept.
    ///
    /// ```
    /// assert!(quillcove_core::crash::book::CrashBook::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Tells whether ends under loads are among what is kept. Mostly there are none, so that reports of engines
    /// need not be looked through.
    ///
    /// ```
    /// assert!(!quillcove_core::crash::book::CrashBook::default().has_loads());
    /// ```
    pub fn has_loads(&self) -> bool {
        self.has_loads && !self.is_empty()
    }

    /// What is kept, in numbers.
    ///
    /// ```
    /// assert_eq!(quillcove_core::crash::book::CrashBook::default().summary().requests, 0);
    /// ```
    pub fn summary(&self) -> CrashSummary {
        let is_many = |record: &&RequestRecord| record.weight().ends >= MOST_ENDS;
        let ends: BTreeSet<EndId> =
            self.records.values().flat_map(|record| record.ends_of(None)).collect();
        CrashSummary {
            requests: self.records.len(),
            fatal: self.records.values().filter(is_many).count(),
            ends: ends.len(),
        }
    }

    /// Notes that a request was at a replica which ended; tells whether that is news.
    ///
    /// See [`CrashBook`] for an example.
    pub fn note_end(
        &mut self,
        end: EndId,
        ended: EndedRequest,
        at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let EndedRequest { identity, has_begun, runs_well } = ended;
        if self.records.len() >= MOST_REQUESTS && !self.records.contains_key(&identity.digest) {
            self.make_room();
        }
        self.has_loads |= identity.caller == LOAD_CALLER;
        let record = self.records.entry(identity.digest).or_default();
        record.seen_at = now;
        record.runs_well |= runs_well;
        record.add(EndMark { end, caller: identity.caller, has_begun, at })
    }

    /// Notes that a request ran to a good end; tells whether it had been suspected and that is news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashBook;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// assert!(!CrashBook::default().note_good(request, Duration::ZERO));
    /// ```
    pub fn note_good(&mut self, identity: RequestIdentity, at: MonoTime) -> bool {
        let record = self.records.get_mut(&identity.digest);
        record.is_some_and(|record| record.clear(identity.caller, at))
    }

    /// Takes what another process tells; gives back how much of it was news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashBook;
    /// use quillcove_core::crash::telling::CrashBeacon;
    ///
    /// let now = Duration::from_secs(1);
    /// assert_eq!(CrashBook::default().take(&CrashBeacon::default(), now), 0);
    /// ```
    pub fn take(&mut self, beacon: &CrashBeacon, now: MonoTime) -> usize {
        let mut news = 0;
        for report in &beacon.ends {
            let at = now.saturating_sub(report.age);
            for ended in &report.requests {
                let is_new = self.note_end(report.end, *ended, at, now);
                news += usize::from(is_new);
            }
        }
        for good in &beacon.good {
            let at = now.saturating_sub(good.age);
            news += usize::from(self.note_good(good.identity, at));
        }
        news
    }

    /// Why a request is to be refused; `None` when it may run.
    ///
    /// Ends of one caller's requests count against that caller. Once they are those of several callers, the
    /// request itself is to blame, or its caller's address changes: then they count against everyone, unless
    /// the request ran well for someone.
    ///
    /// See [`CrashBook`] for an example.
    pub fn cause(&self, identity: RequestIdentity, now: MonoTime) -> Option<CrashCause> {
        let record = self.records.get(&identity.digest)?;
        if record.marks.len() < MOST_ENDS {
            return None;
        }
        let blamed = self.blamed_ends(identity.digest, record);
        let of = |caller: Option<CallerDigest>| -> usize {
            record.ends_of(caller).intersection(&blamed).count()
        };
        let callers = record.callers().len();
        let own = of(Some(identity.caller));
        let all = of(None);
        let is_callers_own = own >= MOST_ENDS;
        let is_everyones = !record.runs_well && callers > 1 && all >= MOST_ENDS;
        if !is_callers_own && !is_everyones {
            return None;
        }
        let last = record.marks.iter().map(|mark| mark.at).max().unwrap_or(now);
        Some(CrashCause {
            ends: if is_everyones { all } else { own },
            callers,
            is_callers_own: !is_everyones,
            last_end: now.saturating_sub(last),
        })
    }

    /// Ends of a request at which no other request was that has more of them.
    fn blamed_ends(&self, digest: RequestDigest, record: &RequestRecord) -> BTreeSet<EndId> {
        let weight = record.weight();
        let mut blamed = record.ends_of(None);
        for (other, stronger) in &self.records {
            // Most have one end only and are passed over by the first comparison.
            if stronger.marks.len() >= weight.ends && *other != digest && stronger.weight() > weight
            {
                blamed.retain(|end| !stronger.marks.iter().any(|mark| mark.end == *end));
            }
        }
        blamed
    }

    /// Notes that a request was refused, so that it is not forgotten while it comes; gives what is to be told
    /// again, as others may not have met it for long.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashBook;
    /// use quillcove_core::crash::digest::RequestParts;
    ///
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// assert!(CrashBook::default().note_refused(parts.digest(), Duration::ZERO).is_empty());
    /// ```
    pub fn note_refused(&mut self, digest: RequestDigest, now: MonoTime) -> CrashBeacon {
        let Some(record) = self.records.get_mut(&digest) else {
            return CrashBeacon::default();
        };
        record.seen_at = now;
        if now.saturating_sub(record.told_at) < FORGET_TIME / 3 {
            return CrashBeacon::default();
        }
        record.told_at = now;
        CrashBeacon { ends: reports_of(digest, record, now), good: Vec::new() }
    }

    /// All that is known, for a process that has just started or was away: the requests with the most ends.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashBook;
    ///
    /// assert!(CrashBook::default().all(Duration::ZERO).is_empty());
    /// ```
    pub fn all(&self, now: MonoTime) -> CrashBeacon {
        let mut known: Vec<(&RequestDigest, &RequestRecord)> =
            self.records.iter().filter(|(_, record)| !record.marks.is_empty()).collect();
        known.sort_by_key(|(digest, record)| {
            (std::cmp::Reverse((record.weight(), record.seen_at)), **digest)
        });
        let reports = known.into_iter().take(MOST_TOLD);
        let reports = reports.flat_map(|(digest, record)| reports_of(*digest, record, now));
        CrashBeacon { ends: reports.collect(), good: Vec::new() }
    }

    /// Forgets what was not met for long.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashBook;
    ///
    /// CrashBook::default().forget(Duration::from_secs(1));
    /// ```
    pub fn forget(&mut self, now: MonoTime) {
        self.records.retain(|_, record| now.saturating_sub(record.seen_at) < FORGET_TIME);
    }

    fn make_room(&mut self) {
        let mut all: Vec<(SuspectWeight, MonoTime, RequestDigest)> = self
            .records
            .iter()
            .map(|(digest, record)| (record.weight(), record.seen_at, *digest))
            .collect();
        all.sort();
        for (_, _, digest) in all.into_iter().take(CROWDED_PART) {
            self.records.remove(&digest);
        }
    }
}

fn reports_of(digest: RequestDigest, record: &RequestRecord, now: MonoTime) -> Vec<EndReport> {
    let report = |mark: &EndMark| {
        let identity = RequestIdentity { digest, caller: mark.caller };
        let (has_begun, runs_well) = (mark.has_begun, record.runs_well);
        let ended = EndedRequest { identity, has_begun, runs_well };
        EndReport { end: mark.end, age: now.saturating_sub(mark.at), requests: vec![ended] }
    };
    record.marks.iter().map(report).collect()
}
