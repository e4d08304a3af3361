//! Crash records: which requests were in flight at replicas that exited, over all relays, and which
//! of them are fatal.
//!
//! A replica exits with many requests in flight, one of which may be the cause. The fatal request
//! is in flight at each of its exits; the others are there by chance. So an exit counts against a
//! request only if no other request in flight there has more exits, and a successful run clears the
//! caller whose run it was.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::digest::{CallerDigest, LOAD_CALLER, RequestDigest, RequestIdentity, SuspectKind};
use super::part::{BlamedPart, PartHistory, blamed_parts, may_be_blamed};
use super::probe::ProbeRecord;
use super::record::{CrashRecord, ExitMark, SuspectWeight};
use super::telling::{CrashReport, ExitId, ExitReport, InFlightRequest};
use crate::ids::MonoTime;

/// Replica exits after which a request counts as fatal and is rejected; a requirement of the
/// deployments.
pub const MOST_ENDS: usize = 3;

/// Time after which a request that is no longer seen is forgotten. Callers of a rejected request
/// are asked to wait as long before they retry.
pub const FORGET_TIME: Duration = Duration::from_secs(900);

/// Maximum number of crash records. Beyond it, those with the fewest exits are evicted, and among
/// these the ones that were seen least recently. A full table takes about 1 MB.
const MAX_RECORDS: usize = 4096;

/// Added to the times in crash records, so that exits and successes from before the start of this process keep their
/// order.
const RECORD_OFFSET: Duration = FORGET_TIME;

/// Records that are evicted together, so that not every new request has to sort the table.
const EVICTION_BATCH: usize = MAX_RECORDS / 8;

/// Maximum number of requests in the answer to a process that asks for everything, so that the
/// answer stays small while the fleet is under attack.
const MAX_REPORTED: usize = 256;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCause {
    /// Replica exits that count against the request.
    pub ends: usize,
    /// Number of callers whose requests were in flight at its exits.
    pub callers: usize,
    /// Whether only requests of the same caller are rejected.
    pub is_callers_own: bool,
    /// Time since the last of its exits.
    pub last_end: Duration,
}

/// Counts of crash records, for a dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CrashSummary {
    /// Requests, loads and prompt parts that were in flight at a replica exit.
    pub requests: usize,
    /// Those of them that have enough exits to be rejected.
    pub fatal: usize,
    /// Prompt parts that are blamed for exits.
    pub blamed_parts: usize,
    /// Prompt parts whose runs are remembered.
    pub seen_parts: usize,
    /// Distinct exits at which they were in flight.
    pub ends: usize,
}

/// Crash records of all requests that were in flight at a replica exit.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::book::CrashTable;
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
/// use quillcove_core::crash::telling::InFlightRequest;
///
/// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
/// let fatal = RequestIdentity { digest: parts.digest(), caller: 1 };
/// let now = Duration::from_secs(5);
/// let mut book = CrashTable::default();
/// for end in 1..=3 {
///     assert!(book.cause(fatal, now).is_none());
///     let ended = InFlightRequest { identity: fatal, has_other_cause: false, runs_well: false };
///     book.note_end(end, ended, now, now);
/// }
/// assert_eq!(book.cause(fatal, now).unwrap().ends, 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<RequestDigest, CrashRecord>,
    /// Whether an exit during a load was ever recorded.
    has_loads: bool,
    /// Runs by prompt part that this process has seen.
    history: PartHistory,
}

impl CrashTable {
    /// Returns whether there are no crash records.
    ///
    /// ```
    /// assert!(quillcove_core::crash::book::CrashTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether there may be records of exits during loads. Usually there are none, and
    /// reports of engines need not be searched for successful loads.
    ///
    /// ```
    /// assert!(!quillcove_core::crash::book::CrashTable::default().has_loads());
    /// ```
    pub fn has_loads(&self) -> bool {
        self.has_loads && !self.is_empty()
    }

    /// Returns the counts of the crash records.
    ///
    /// ```
    /// assert_eq!(quillcove_core::crash::book::CrashTable::default().summary().requests, 0);
    /// ```
    pub fn summary(&self) -> CrashSummary {
        let is_fatal = |record: &&CrashRecord| {
            record.kind() != SuspectKind::Part && record.weight().exits >= MOST_ENDS
        };
        let ends: BTreeSet<ExitId> =
            self.records.values().flat_map(|record| record.exits_of(None)).collect();
        CrashSummary {
            requests: self.records.len(),
            fatal: self.records.values().filter(is_fatal).count(),
            blamed_parts: self.blamed_parts().len(),
            seen_parts: self.history.len(),
            ends: ends.len(),
        }
    }

    /// Records that a request was in flight at a replica exit; returns whether this was new.
    ///
    /// See [`CrashTable`] for an example.
    pub fn note_end(
        &mut self,
        exit: ExitId,
        ended: InFlightRequest,
        at: MonoTime,
        now: MonoTime,
    ) -> bool {
        self.add_exit(exit, ended, at + RECORD_OFFSET, now)
    }

    /// Adds an exit; `at` contains [`RECORD_OFFSET`].
    fn add_exit(
        &mut self,
        exit: ExitId,
        ended: InFlightRequest,
        at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let InFlightRequest { identity, has_other_cause, runs_well } = ended;
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&identity.digest) {
            self.evict_weakest();
        }
        self.has_loads |= identity.caller == LOAD_CALLER;
        let record = self.records.entry(identity.digest).or_default();
        if let Some(begun_at) = self.history.survived(&identity.digest) {
            record.clear_caller(identity.caller, begun_at);
        }
        record.seen_at = now;
        record.runs_well |= runs_well;
        let mark =
            ExitMark { exit, caller: identity.caller, has_other_cause, ran_well: runs_well, at };
        record.add(mark)
    }

    /// Returns whether a request with a crash record is known to have run well for some caller.
    pub(super) fn runs_well(&self, digest: &RequestDigest) -> bool {
        self.records.get(digest).is_some_and(|record| record.runs_well)
    }

    /// Returns whether a run with a prompt part that began after `since` is known to have survived.
    pub(super) fn has_survived_since(&self, part: &RequestDigest, since: MonoTime) -> bool {
        self.history.survived(part).is_some_and(|begun_at| begun_at > since + RECORD_OFFSET)
    }

    /// Records that a replica began to answer a prompt with these parts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashTable;
    /// use quillcove_core::crash::digest::part_identity;
    ///
    /// CrashTable::default().record_start(&[part_identity("m", 5)], Duration::ZERO);
    /// ```
    pub fn record_start(&mut self, parts: &[RequestIdentity], now: MonoTime) {
        if parts.is_empty() {
            return;
        }
        self.history.record_start(parts.iter().map(|part| part.digest), now);
    }

    /// Records that a request succeeded; returns whether this changes a crash record. `at` is the end
    /// of the run, or for a prompt part the time at which the replica began to write the answer: a run
    /// that began before an exit says nothing about it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashTable;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// assert!(!CrashTable::default().record_success(request, Duration::ZERO));
    /// ```
    pub fn record_success(&mut self, identity: RequestIdentity, at: MonoTime) -> bool {
        self.add_success(identity, at + RECORD_OFFSET)
    }

    /// Adds a success; `at` contains [`RECORD_OFFSET`].
    fn add_success(&mut self, identity: RequestIdentity, at: MonoTime) -> bool {
        if SuspectKind::of(identity.caller) == SuspectKind::Part {
            self.history.record_survival(identity.digest, at);
        }
        let record = self.records.get_mut(&identity.digest);
        record.is_some_and(|record| record.clear_caller(identity.caller, at))
    }

    /// Applies a report of another process; returns how many of its items were new.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashTable;
    /// use quillcove_core::crash::telling::CrashReport;
    ///
    /// let now = Duration::from_secs(1);
    /// assert_eq!(CrashTable::default().take(&CrashReport::default(), now), 0);
    /// ```
    pub fn take(&mut self, crash_report: &CrashReport, now: MonoTime) -> usize {
        let mut new_count = 0;
        for report in &crash_report.ends {
            let at = (now + RECORD_OFFSET).saturating_sub(report.age);
            for ended in &report.requests {
                let is_new = self.add_exit(report.end, *ended, at, now);
                new_count += usize::from(is_new);
            }
        }
        for good in &crash_report.good {
            let at = (now + RECORD_OFFSET).saturating_sub(good.age);
            new_count += usize::from(self.add_success(good.identity, at));
        }
        new_count
    }

    /// Returns why a request is to be rejected; `None` if it may run.
    ///
    /// Exits under one caller's requests count against that caller. Once requests of several
    /// callers are affected, either the request itself is fatal or its caller's address changes:
    /// then the exits count against all callers, unless the request has succeeded for one of them.
    ///
    /// See [`CrashTable`] for an example.
    pub fn cause(&self, identity: RequestIdentity, now: MonoTime) -> Option<CrashCause> {
        let record = self.records.get(&identity.digest)?;
        if SuspectKind::of(identity.caller) == SuspectKind::Part {
            return self.part_cause(identity.digest, record, now);
        }
        if record.marks.len() < MOST_ENDS {
            return None;
        }
        let blamed = self.blamed_exits(identity.digest, record);
        let of = |caller: Option<CallerDigest>| record.evidence(caller, &blamed);
        let callers = record.callers().len();
        let own = of(Some(identity.caller));
        let all = of(None);
        let is_callers_own = own >= MOST_ENDS;
        let is_everyones = !record.runs_well && callers > 1 && all >= MOST_ENDS;
        if !is_callers_own && !is_everyones {
            return None;
        }
        Some(CrashCause {
            ends: if is_everyones { all } else { own },
            callers,
            is_callers_own: !is_everyones,
            last_end: record.since_last_exit(now + RECORD_OFFSET),
        })
    }

    /// Returns the exits for which a part of a prompt is blamed, if it is.
    fn part_cause(
        &self,
        digest: RequestDigest,
        record: &CrashRecord,
        now: MonoTime,
    ) -> Option<CrashCause> {
        if !may_be_blamed(record) {
            return None;
        }
        let blamed = self.blamed_parts().into_iter().find(|part| part.digest == digest)?;
        Some(CrashCause {
            ends: blamed.exits.len(),
            callers: 1,
            is_callers_own: false,
            last_end: record.since_last_exit(now + RECORD_OFFSET),
        })
    }

    /// Returns the prompt parts that are blamed now, with the number of exits for which each is.
    ///
    /// ```
    /// assert!(quillcove_core::crash::book::CrashTable::default().blame().is_empty());
    /// ```
    pub fn blame(&self) -> BTreeMap<RequestDigest, usize> {
        self.blamed_parts().into_iter().map(|part| (part.digest, part.exits.len())).collect()
    }

    /// Returns what is known of a suspect's exits for a probe; `None` if there are none.
    pub(super) fn probe_record(&self, suspect: RequestIdentity) -> Option<ProbeRecord> {
        let record = ProbeRecord::of(self.records.get(&suspect.digest)?)?;
        let last_exit_at = record.last_exit_at.saturating_sub(RECORD_OFFSET);
        Some(ProbeRecord { last_exit_at, ..record })
    }

    fn blamed_parts(&self) -> Vec<BlamedPart> {
        let parts = self.records.iter().filter(|(_, record)| record.kind() == SuspectKind::Part);
        blamed_parts(parts, &self.history)
    }

    /// Returns the exits of a request at which neither a blamed prompt part nor a request with more exits was in
    /// flight.
    fn blamed_exits(&self, digest: RequestDigest, record: &CrashRecord) -> BTreeSet<ExitId> {
        let weight = record.weight();
        let mut blamed = record.exits_of(None);
        for part in self.blamed_parts() {
            blamed.retain(|exit| !part.exits.contains(exit));
        }
        for (other, stronger) in &self.records {
            // Most requests have one exit only and are skipped by the first comparison.
            if stronger.marks.len() >= weight.exits
                && *other != digest
                && stronger.kind() != SuspectKind::Part
                && stronger.weight() > weight
            {
                blamed.retain(|exit| !stronger.marks.iter().any(|mark| mark.exit == *exit));
            }
        }
        blamed
    }

    /// Records that a request was rejected, so that it is not forgotten while it keeps arriving.
    /// Returns its exits if they are due to be reported again, because other processes may not have
    /// seen the request for a long time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashTable;
    /// use quillcove_core::crash::digest::RequestParts;
    ///
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// assert!(CrashTable::default().note_refused(parts.digest(), Duration::ZERO).is_empty());
    /// ```
    pub fn note_refused(&mut self, digest: RequestDigest, now: MonoTime) -> CrashReport {
        let Some(record) = self.records.get_mut(&digest) else {
            return CrashReport::default();
        };
        record.seen_at = now;
        if now.saturating_sub(record.reported_at) < FORGET_TIME / 3 {
            return CrashReport::default();
        }
        record.reported_at = now;
        CrashReport { ends: exit_reports(digest, record, now), good: Vec::new() }
    }

    /// Returns the requests with the most exits, as a report for a process that has just started or
    /// was away.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashTable;
    ///
    /// assert!(CrashTable::default().all(Duration::ZERO).is_empty());
    /// ```
    pub fn all(&self, now: MonoTime) -> CrashReport {
        let mut known: Vec<(&RequestDigest, &CrashRecord)> =
            self.records.iter().filter(|(_, record)| !record.marks.is_empty()).collect();
        known.sort_by_key(|(digest, record)| {
            (std::cmp::Reverse((record.weight(), record.seen_at)), **digest)
        });
        let reports = known.into_iter().take(MAX_REPORTED);
        let reports = reports.flat_map(|(digest, record)| exit_reports(*digest, record, now));
        CrashReport { ends: reports.collect(), good: Vec::new() }
    }

    /// Removes the records of requests that have not been seen for [`FORGET_TIME`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::book::CrashTable;
    ///
    /// CrashTable::default().forget(Duration::from_secs(1));
    /// ```
    pub fn forget(&mut self, now: MonoTime) {
        self.records.retain(|_, record| now.saturating_sub(record.seen_at) < FORGET_TIME);
    }

    fn evict_weakest(&mut self) {
        let mut all: Vec<(SuspectWeight, MonoTime, RequestDigest)> = self
            .records
            .iter()
            .map(|(digest, record)| (record.weight(), record.seen_at, *digest))
            .collect();
        all.sort();
        for (_, _, digest) in all.into_iter().take(EVICTION_BATCH) {
            self.records.remove(&digest);
        }
    }
}

fn exit_reports(digest: RequestDigest, record: &CrashRecord, now: MonoTime) -> Vec<ExitReport> {
    let report = |mark: &ExitMark| {
        let identity = RequestIdentity { digest, caller: mark.caller };
        let (has_other_cause, runs_well) = (mark.has_other_cause, record.runs_well);
        let ended = InFlightRequest { identity, has_other_cause, runs_well };
        let age = (now + RECORD_OFFSET).saturating_sub(mark.at);
        ExitReport { end: mark.exit, age, requests: vec![ended] }
    };
    record.marks.iter().map(report).collect()
}
