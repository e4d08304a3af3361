//! Tracker of fatal requests in one process that sends requests to replicas.
//!
//! An aborted response may also be due to a lost connection. The request counts as in flight at an
//! exit only once the replica is confirmed to have exited.
//!
//! A replica may still work on an attempt after its caller left or its deadline passed, and exit under
//! it. Such an abandoned attempt counts as in flight at an exit within [`ABANDONED_WINDOW`].

use std::collections::BTreeMap;
use std::time::Duration;

use super::book::{CrashCause, CrashTable};
use super::digest::{RequestIdentity, SuspectKind};
use super::good::RecentSuccesses;
use super::probe::{ProbeRequest, SuspectProbes};
use super::teller::CrashReportQueue;
use super::telling::{CrashReport, ExitId, InFlightRequest, exit_id, next_exit_id};
use crate::ids::{MonoTime, ReplicaId, StartTime};

/// Time between an aborted response and a replica exit reported by another process within which the
/// one is attributed to the other. Processes notice an exit within a few milliseconds of each
/// other.
const MATCH_WINDOW: Duration = Duration::from_millis(1500);

/// Time after an attempt was abandoned in which its replica may still work on it. An engine notices a closed
/// connection between two steps; a step with a full chunk of prefill takes 0.54 s at the slowest (speed 0.7,
/// slowed by 3.5), and a fatal request that has begun to run makes its replica exit within a second.
pub const ABANDONED_WINDOW: Duration = Duration::from_millis(1600);

/// Time for which exits are remembered, so that aborted responses can still be matched with them,
/// and exits of the replica's next run can be distinguished from them.
const EXIT_LIFETIME: Duration = Duration::from_secs(60);

/// Time for which a part that a run has survived is not suspected on weak evidence. The runs of a popular part survive
/// many times a second, and it is in flight at most exits.
const SOUND_TIME: Duration = Duration::from_secs(2);

/// Maximum number of aborted responses that wait until it is known whether their replica exited;
/// beyond it the oldest is dropped.
const MAX_PENDING_ABORTS: usize = 1024;

/// One run of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRun {
    /// The replica.
    pub replica: ReplicaId,
    /// When the run started, if the replica reports it.
    pub born: Option<StartTime>,
}

impl ReplicaRun {
    fn exit_id(&self) -> ExitId {
        exit_id(&self.replica, self.born)
    }
}

/// An aborted response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseAbort {
    /// The request.
    pub identity: RequestIdentity,
    /// Whether another cause is likely if the replica exited, see
    /// [`InFlightRequest`](super::telling::InFlightRequest::has_other_cause).
    pub has_other_cause: bool,
    /// When the request was sent. A replica that has exited and restarted may still be known by its
    /// earlier run.
    pub sent_at: MonoTime,
}

/// Why a response was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortKind {
    /// The replica's connection broke: if the replica exited, it has done so already.
    CutOff,
    /// The caller left or the deadline passed: the replica may exit within [`ABANDONED_WINDOW`].
    Abandoned,
}

impl AbortKind {
    /// Returns the time after the abort within which an exit is attributed to it.
    fn exit_window(self) -> Duration {
        match self {
            Self::CutOff => Duration::ZERO,
            Self::Abandoned => ABANDONED_WINDOW,
        }
    }
}

/// What is known of a replica after a response that looks complete whether or not the replica exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCheck {
    /// It is not known yet whether the replica exited.
    Pending,
    /// The replica exited, which may have cut the response off.
    Exited,
    /// The replica was alive after the response ended.
    Alive,
    /// No exit was found, but no sign of life either: the host is silent, or the replica was leaving.
    Unknown,
}

/// An aborted response for which it is not yet known whether its replica exited.
#[derive(Clone, Copy, Debug)]
struct PendingAbort {
    kind: AbortKind,
    /// The run of the replica, as this process knows it.
    run: ExitId,
    /// The exit to which the abort would be attributed: that of the run, or of a later run under
    /// the same name.
    exit: ExitId,
    identity: RequestIdentity,
    has_other_cause: bool,
    at: MonoTime,
}

/// Fatal requests as known to one process.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
/// use quillcove_core::crash::watch::{ResponseAbort, CrashTracker, ReplicaRun};
///
/// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
/// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
/// let now = Duration::from_secs(5);
/// let mut watch = CrashTracker::default();
/// for replica in ["i-1", "i-2", "i-3"] {
///     let run = ReplicaRun { replica: replica.into(), born: None };
///     let abort = ResponseAbort { identity: request, has_other_cause: false, sent_at: now };
///     watch.record_abort(&run, abort, now);
///     assert!(watch.cause(request, now).is_none());
///     assert_eq!(watch.confirm_exit(&run, now), 1);
/// }
/// assert!(watch.cause(request, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    book: CrashTable,
    successes: RecentSuccesses,
    teller: CrashReportQueue,
    pending: Vec<PendingAbort>,
    /// Known exits, and when they were noticed.
    known_exits: BTreeMap<ExitId, MonoTime>,
    /// When a run was last found alive.
    last_alive: BTreeMap<ExitId, MonoTime>,
    probes: SuspectProbes,
}

impl CrashTracker {
    /// Returns the crash records.
    ///
    /// ```
    /// assert!(quillcove_core::crash::watch::CrashTracker::default().book().is_empty());
    /// ```
    pub fn book(&self) -> &CrashTable {
        &self.book
    }

    /// Records that a response was cut off. Returns whether it is the first one pending for that
    /// exit, in which case somebody has to find out whether the replica exited.
    ///
    /// See [`CrashTracker`] for an example.
    pub fn record_abort(&mut self, run: &ReplicaRun, abort: ResponseAbort, now: MonoTime) -> bool {
        let exit = self.exit_after(run.exit_id(), abort.sent_at, MATCH_WINDOW);
        self.add_pending(AbortKind::CutOff, run, exit, abort, now)
    }

    /// Records that an attempt was abandoned before its response was complete. Returns whether it is the
    /// first abandoned one pending for that exit, in which case somebody has to find out whether the
    /// replica exits within [`ABANDONED_WINDOW`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::{CrashTracker, ReplicaRun, ResponseAbort};
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let (sent_at, left_at) = (Duration::from_secs(5), Duration::from_secs(6));
    /// let run = ReplicaRun { replica: "i-1".into(), born: None };
    /// let mut watch = CrashTracker::default();
    /// let abort = ResponseAbort { identity, has_other_cause: false, sent_at };
    /// assert!(watch.record_abandoned(&run, abort, left_at));
    /// assert_eq!(watch.confirm_exit(&run, Duration::from_secs(7)), 1);
    /// ```
    pub fn record_abandoned(
        &mut self,
        run: &ReplicaRun,
        abort: ResponseAbort,
        now: MonoTime,
    ) -> bool {
        // Unlike a connection that breaks, an abandoned attempt is no sign of an exit. So one that was sent
        // after a known exit can only be in flight at the next one.
        let exit = self.exit_after(run.exit_id(), abort.sent_at, Duration::ZERO);
        self.add_pending(AbortKind::Abandoned, run, exit, abort, now)
    }

    fn add_pending(
        &mut self,
        kind: AbortKind,
        run: &ReplicaRun,
        exit: ExitId,
        abort: ResponseAbort,
        now: MonoTime,
    ) -> bool {
        let ResponseAbort { identity, has_other_cause, .. } = abort;
        let pending =
            PendingAbort { kind, run: run.exit_id(), exit, identity, has_other_cause, at: now };
        if let Some(exit_at) = self.known_exits.get(&pending.exit).copied() {
            self.count_abort(pending, Some(exit_at), now);
            return false;
        }
        let is_same = |other: &PendingAbort| other.exit == exit && other.kind == kind;
        let is_first = !self.pending.iter().any(is_same);
        if self.pending.len() >= MAX_PENDING_ABORTS {
            self.pending.remove(0);
        }
        self.pending.push(pending);
        is_first
    }

    /// Records that a replica exit is confirmed; returns the number of responses it aborted.
    ///
    /// See [`CrashTracker`] for an example.
    pub fn confirm_exit(&mut self, run: &ReplicaRun, now: MonoTime) -> usize {
        let exit = run.exit_id();
        let abort = self.pending.iter().find(|abort| abort.run == exit);
        let exit = abort.map_or(exit, |abort| abort.exit);
        self.known_exits.entry(exit).or_insert(now);
        // The first connection that broke tells the time of the exit.
        let is_cut_off =
            |abort: &&PendingAbort| abort.exit == exit && abort.kind == AbortKind::CutOff;
        let exit_at = self.pending.iter().filter(is_cut_off).map(|abort| abort.at).min();
        let is_match = |abort: &PendingAbort| {
            exit_at.is_none_or(|exit_at| {
                abort.kind == AbortKind::CutOff || exit_at <= abort.at + ABANDONED_WINDOW
            })
        };
        let count = self.count_matching(exit, is_match, exit_at, now);
        // What is left was abandoned too long before.
        self.pending.retain(|abort| abort.exit != exit);
        count
    }

    /// Returns the first exit, of the run or of later runs under its name, that was not known when
    /// the request was sent. Exits are known up to `delay` late.
    fn exit_after(&self, run: ExitId, sent_at: MonoTime, delay: Duration) -> ExitId {
        let mut exit = run;
        while self.known_exits.get(&exit).is_some_and(|at| sent_at > *at + delay) {
            exit = next_exit_id(exit);
        }
        exit
    }

    /// Records that the replica was alive at `alive_at`: responses that were aborted before then, or abandoned
    /// longer than [`ABANDONED_WINDOW`] before, have another reason.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::{CrashTracker, ReplicaRun};
    ///
    /// let run = ReplicaRun { replica: "i-1".into(), born: None };
    /// CrashTracker::default().rule_out_exit(&run, Duration::from_secs(1));
    /// ```
    pub fn rule_out_exit(&mut self, run: &ReplicaRun, alive_at: MonoTime) {
        self.last_alive.insert(run.exit_id(), alive_at);
        self.end_exit_checks(run, alive_at);
    }

    /// Gives up finding out whether the replica exited under responses that were aborted before `until`, or abandoned
    /// longer than [`ABANDONED_WINDOW`] before: its host does not answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::{CrashTracker, ReplicaRun};
    ///
    /// let run = ReplicaRun { replica: "i-1".into(), born: None };
    /// CrashTracker::default().end_exit_checks(&run, Duration::from_secs(1));
    /// ```
    pub fn end_exit_checks(&mut self, run: &ReplicaRun, until: MonoTime) {
        let exit = run.exit_id();
        self.pending
            .retain(|abort| abort.run != exit || abort.at + abort.kind.exit_window() > until);
    }

    /// Returns from when on the replica's state tells whether a response of this kind was aborted by its exit,
    /// for the earliest one that is pending; `None` if none is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::{AbortKind, CrashTracker, ReplicaRun};
    ///
    /// let run = ReplicaRun { replica: "i-1".into(), born: None };
    /// assert!(CrashTracker::default().check_due(&run, AbortKind::CutOff).is_none());
    /// ```
    pub fn check_due(&self, run: &ReplicaRun, kind: AbortKind) -> Option<MonoTime> {
        let exit = run.exit_id();
        let is_due = |abort: &&PendingAbort| abort.run == exit && abort.kind == kind;
        let due = self.pending.iter().filter(is_due).map(|abort| abort.at).min();
        due.map(|at| at + kind.exit_window())
    }

    /// Returns what is known of a replica after a response, recorded as aborted at `ended_at`, whose end alone does not
    /// tell whether the replica exited.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::{CrashTracker, ExitCheck, ReplicaRun, ResponseAbort};
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let now = Duration::from_secs(5);
    /// let run = ReplicaRun { replica: "i-1".into(), born: None };
    /// let abort = ResponseAbort { identity, has_other_cause: false, sent_at: now };
    /// let mut watch = CrashTracker::default();
    /// watch.record_abort(&run, abort, now);
    /// assert_eq!(watch.exit_check(&run, now, now), ExitCheck::Pending);
    /// watch.confirm_exit(&run, now);
    /// assert_eq!(watch.exit_check(&run, now, now), ExitCheck::Exited);
    /// ```
    pub fn exit_check(&self, run: &ReplicaRun, sent_at: MonoTime, ended_at: MonoTime) -> ExitCheck {
        // An exit that was known when the request was sent is that of an earlier run.
        let exit = self.exit_after(run.exit_id(), sent_at, Duration::ZERO);
        if self.known_exits.contains_key(&exit) {
            return ExitCheck::Exited;
        }
        let is_open = |abort: &PendingAbort| {
            abort.run == run.exit_id() && abort.kind == AbortKind::CutOff && abort.at <= ended_at
        };
        let is_alive = self.last_alive.get(&run.exit_id()).is_some_and(|at| *at >= ended_at);
        match is_alive {
            true => ExitCheck::Alive,
            false if self.pending.iter().any(is_open) => ExitCheck::Pending,
            false => ExitCheck::Unknown,
        }
    }

    /// Counts the pending responses that were aborted by an exit at `exit_at`, if that is known, and returns their
    /// number.
    fn count_matching(
        &mut self,
        exit: ExitId,
        is_match: impl Fn(&PendingAbort) -> bool,
        exit_at: Option<MonoTime>,
        now: MonoTime,
    ) -> usize {
        let is_due = |abort: &PendingAbort| abort.exit == exit && is_match(abort);
        let due: Vec<PendingAbort> = self.pending.iter().copied().filter(is_due).collect();
        self.pending.retain(|abort| !is_due(abort));
        for abort in &due {
            self.count_abort(*abort, exit_at, now);
        }
        due.len()
    }

    /// Counts one request as in flight at an exit, unless it is excused because it has just
    /// succeeded for the same caller.
    fn count_abort(&mut self, abort: PendingAbort, exit_at: Option<MonoTime>, now: MonoTime) {
        let is_part = SuspectKind::of(abort.identity.caller) == SuspectKind::Part;
        let digest = abort.identity.digest;
        let runs_well =
            !is_part && (self.successes.has_succeeded(digest) || self.book.runs_well(&digest));
        // A response that was abandoned some time before the exit is weak evidence. Several replicas that are killed at
        // once would otherwise make a request fatal that runs well.
        if abort.kind == AbortKind::Abandoned && runs_well {
            return;
        }
        let at = match abort.kind {
            AbortKind::CutOff => abort.at,
            AbortKind::Abandoned => exit_at.unwrap_or(abort.at),
        };
        if is_part
            && abort.has_other_cause
            && self.book.has_survived_since(&digest, at.saturating_sub(SOUND_TIME))
        {
            return;
        }
        // For a part, runs that began after the exit count instead.
        if !is_part && self.successes.excuse(abort.identity, at) {
            return;
        }
        let PendingAbort { exit, identity, has_other_cause, .. } = abort;
        let ended = InFlightRequest { identity, has_other_cause, runs_well };
        if self.book.note_end(exit, ended, at, now) {
            self.teller.note_end(exit, ended, at);
        }
    }

    /// Records that a request succeeded.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// CrashTracker::default().record_success(request, Duration::ZERO);
    /// ```
    pub fn record_success(&mut self, identity: RequestIdentity, now: MonoTime) {
        self.successes.record(identity, now);
        self.clear(identity, now);
    }

    /// Records that a run of a request, whose answer began at `begun_at`, still went on
    /// [`RUN_SURVIVAL_TIME`](super::phase::RUN_SURVIVAL_TIME) later: a success, as a fatal request makes its replica exit
    /// sooner. Returns whether other processes are to be told.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::phase::RUN_SURVIVAL_TIME;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let begun_at = Duration::from_secs(1);
    /// let is_told = CrashTracker::default()
    ///     .record_run_survival(request, begun_at, begun_at + RUN_SURVIVAL_TIME);
    /// assert!(!is_told, "there is no crash record of it");
    /// ```
    pub fn record_run_survival(
        &mut self,
        identity: RequestIdentity,
        begun_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        self.successes.record(identity, now);
        self.clear(identity, begun_at)
    }

    /// Records that a replica began to answer a prompt with these parts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::part_identity;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// CrashTracker::default().record_start(&[part_identity("m", 5)], Duration::ZERO);
    /// ```
    pub fn record_start(&mut self, parts: &[RequestIdentity], now: MonoTime) {
        self.book.record_start(parts, now);
    }

    /// Records that a run with these prompt parts, which began to write its answer at `begun_at`,
    /// survived that. Returns whether other processes are to be told.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::part_identity;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// let is_told = CrashTracker::default().record_survival(&[part_identity("m", 5)], Duration::ZERO);
    /// assert!(!is_told, "there is no crash record of it");
    /// ```
    pub fn record_survival(&mut self, parts: &[RequestIdentity], begun_at: MonoTime) -> bool {
        let mut is_told = false;
        for part in parts {
            is_told |= self.clear(*part, begun_at);
        }
        is_told
    }

    /// Clears a crash record and queues a report if that changes it; returns whether it does.
    fn clear(&mut self, identity: RequestIdentity, at: MonoTime) -> bool {
        let is_changed = self.book.record_success(identity, at);
        if is_changed {
            self.teller.record_success(identity, at);
        }
        is_changed
    }

    /// Records a success that every process observes itself, so that it is not reported.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::load_identity;
    /// use quillcove_core::crash::watch::CrashTracker;
    /// use quillcove_core::ids::AdapterKey;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// CrashTracker::default().note_seen_good(load_identity(&key, 1), Duration::ZERO);
    /// ```
    pub fn note_seen_good(&mut self, identity: RequestIdentity, now: MonoTime) {
        self.book.record_success(identity, now);
    }

    /// Returns why a request is to be rejected; `None` if it may run.
    ///
    /// See [`CrashTracker`] for an example.
    pub fn cause(&self, identity: RequestIdentity, now: MonoTime) -> Option<CrashCause> {
        self.book.cause(identity, now)
    }

    /// Lets one request try whether what is blamed, itself or a part of its prompt, still makes replicas exit, if it is
    /// time to; returns whether it may run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestParts, part_identity};
    /// use quillcove_core::crash::probe::ProbeRequest;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let now = Duration::from_secs(40);
    /// let request = ProbeRequest { digest: parts.digest(), received: now };
    /// let mut tracker = CrashTracker::default();
    /// let part = part_identity("m", 5);
    /// assert!(tracker.probe_due_at(part).is_none(), "it has no record");
    /// assert!(!tracker.begin_probe(part, request, now));
    /// assert!(!tracker.is_probe(part, request));
    /// ```
    pub fn begin_probe(
        &mut self,
        suspect: RequestIdentity,
        request: ProbeRequest,
        now: MonoTime,
    ) -> bool {
        let is_due = self.probe_due_at(suspect).is_some_and(|due_at| now >= due_at);
        if is_due {
            self.probes.begin(suspect, request, now);
        }
        is_due
    }

    /// Returns from when on one request may try a suspect; `None` if none may.
    ///
    /// See [`CrashTracker::begin_probe`] for an example.
    pub fn probe_due_at(&self, suspect: RequestIdentity) -> Option<MonoTime> {
        self.probes.due_at(&self.book, suspect)
    }

    /// Returns whether a request is the one that tries a suspect, and no replica has exited under the suspect since it
    /// was let through.
    ///
    /// See [`CrashTracker::begin_probe`] for an example.
    pub fn is_probe(&self, suspect: RequestIdentity, request: ProbeRequest) -> bool {
        self.probes.contains(&self.book, suspect, request)
    }

    /// Records that a request was rejected for its crash record.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/", key: None, body: b"text" };
    /// let request = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// CrashTracker::default().note_refused(request, Duration::ZERO);
    /// ```
    pub fn note_refused(&mut self, identity: RequestIdentity, now: MonoTime) {
        for report in self.book.note_refused(identity.digest, now).ends {
            let at = now.saturating_sub(report.age);
            for ended in report.requests {
                self.teller.note_end(report.end, ended, at);
            }
        }
    }

    /// Applies a report of another process; returns how many of its items were new.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::telling::CrashReport;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// let now = Duration::from_secs(1);
    /// assert_eq!(CrashTracker::default().apply_report(&CrashReport::default(), now), 0);
    /// ```
    pub fn apply_report(&mut self, crash_report: &CrashReport, now: MonoTime) -> usize {
        for report in &crash_report.ends {
            let at = now.saturating_sub(report.age);
            if report.age < EXIT_LIFETIME {
                self.known_exits.entry(report.end).or_insert(at);
                let is_recent = |abort: &PendingAbort| {
                    abort.at <= at + MATCH_WINDOW
                        && at <= abort.at + MATCH_WINDOW.max(abort.kind.exit_window())
                };
                self.count_matching(report.end, is_recent, Some(at), now);
            }
        }
        self.book.take(crash_report, now)
    }

    /// Returns the reports to be sent now, in messages that fit into a datagram: new updates, and
    /// with a heartbeat also recent ones.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// assert!(CrashTracker::default().tell(true, Duration::ZERO).is_empty());
    /// ```
    pub fn tell(&mut self, is_heartbeat: bool, now: MonoTime) -> Vec<CrashReport> {
        self.teller.tell(is_heartbeat, now)
    }

    /// Removes expired state.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::CrashTracker;
    ///
    /// CrashTracker::default().tick(Duration::from_secs(1));
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        let is_fresh = |at: MonoTime| now.saturating_sub(at) < EXIT_LIFETIME;
        self.pending.retain(|abort| is_fresh(abort.at));
        self.known_exits.retain(|_, at| is_fresh(*at));
        self.last_alive.retain(|_, at| is_fresh(*at));
        self.probes.forget(now);
        self.book.forget(now);
    }
}
