//! Rejection of fatal requests, under which replicas exit, and of adapter loads under which engines exit.

use super::{AttemptOrder, RelayMachine, RelayQuery};
use crate::crash::digest::{RequestIdentity, load_identity};
use crate::crash::probe::{PROBE_DELAY, ProbeRequest, RANK_DELAY};
use crate::crash::watch::{AbortKind, CrashTracker, ExitCheck, ReplicaRun, ResponseAbort};
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::beacon::EngineReport;

/// The follow-up to a response that was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakStep {
    /// Check whether the replica has exited.
    Check,
    /// Nothing: the exit is already known, a check is running, or the replica was draining.
    Rest,
}

fn run_of(order: &AttemptOrder) -> ReplicaRun {
    ReplicaRun { replica: order.replica.clone(), born: order.start_time }
}

impl RelayMachine {
    /// Returns the crash records.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).crashes().book().is_empty());
    /// ```
    pub fn crashes(&self) -> &CrashTracker {
        &self.crashes
    }

    /// Returns mutable access to the crash records, for their exchange with other relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.crashes_mut().tell(true, Duration::ZERO).is_empty());
    /// ```
    pub fn crashes_mut(&mut self) -> &mut CrashTracker {
        &mut self.crashes
    }

    /// Returns whether a request is rejected as fatal, and records the rejection. A request that was not sent yet may be
    /// let through to try again what is blamed.
    pub(super) fn is_rejected_as_fatal(
        &mut self,
        query: &RelayQuery,
        is_first_attempt: bool,
        now: MonoTime,
    ) -> bool {
        let blamed: Vec<RequestIdentity> =
            query.suspects().filter(|it| self.crashes.cause(*it, now).is_some()).collect();
        let request = query.probe_request().filter(|_| is_first_attempt);
        let may_run = request.is_some_and(|request| self.may_probe_all(&blamed, request, now));
        if !may_run {
            blamed.iter().for_each(|suspect| self.crashes.note_refused(*suspect, now));
        }
        !may_run && !blamed.is_empty()
    }

    /// Returns whether a request may try again all that it is blamed for, and records that it does.
    fn may_probe_all(
        &mut self,
        blamed: &[RequestIdentity],
        request: ProbeRequest,
        now: MonoTime,
    ) -> bool {
        // A relay that has just started or is cut off does not know which relay ranks first.
        let knows_peers = now >= PROBE_DELAY && !self.is_maybe_partitioned();
        let is_new = |suspect: &&RequestIdentity| !self.crashes.is_probe(**suspect, request);
        let new: Vec<RequestIdentity> = blamed.iter().filter(is_new).copied().collect();
        let is_due = |suspect: &RequestIdentity| {
            self.probe_due_at(*suspect).is_some_and(|due_at| now >= due_at)
        };
        let may_run = new.is_empty() || (knows_peers && new.iter().all(is_due));
        if may_run {
            new.iter().for_each(|suspect| {
                self.crashes.begin_probe(*suspect, request, now);
            });
        }
        may_run
    }

    /// Returns from when on this relay may let one request try a suspect; `None` if it may not. Of all relays, the one
    /// that ranks first for the suspect is the first to do so.
    fn probe_due_at(&self, suspect: RequestIdentity) -> Option<MonoTime> {
        let due_at = self.crashes.probe_due_at(suspect)?;
        let rank = u32::try_from(self.peers.rank(&suspect.digest.to_string())).unwrap_or(u32::MAX);
        Some(due_at.saturating_add(RANK_DELAY.saturating_mul(rank)))
    }

    /// Returns whether replicas exit under a request, as is known by now. It may have become known after the choice, while
    /// a connection was opened.
    ///
    /// See [`RelayMachine::begin_prefill`] for an example of a query.
    pub fn is_fatal(&self, query: &RelayQuery, now: MonoTime) -> bool {
        let request = query.probe_request();
        let is_probe = |suspect| request.is_some_and(|it| self.crashes.is_probe(suspect, it));
        query.suspects().any(|it| self.crashes.cause(it, now).is_some() && !is_probe(it))
    }

    /// Returns what is blamed of a request that was let through to try it again.
    ///
    /// See [`RelayMachine::begin_prefill`] for an example of a query.
    pub fn probed_suspects(&self, query: &RelayQuery, now: MonoTime) -> Vec<RequestIdentity> {
        let is_blamed = |suspect: &RequestIdentity| self.crashes.cause(*suspect, now).is_some();
        query.suspects().filter(is_blamed).collect()
    }

    /// Returns whether engines exit when they load an adapter, in the version that would be loaded.
    pub(super) fn is_fatal_load(&self, key: &AdapterKey, now: MonoTime) -> bool {
        if !self.crashes.book().has_loads() {
            return false;
        }
        let version = self.newest(key).unwrap_or(0);
        self.crashes.cause(load_identity(key, version), now).is_some()
    }

    /// Records that the loads of the adapters held by an engine succeeded.
    pub(super) fn note_held_loads(&mut self, report: &EngineReport, now: MonoTime) {
        if !self.crashes.book().has_loads() {
            return;
        }
        for held in &report.adapters {
            self.crashes.note_seen_good(load_identity(&held.key, held.version), now);
            // Loads of the newest version carry no version number and are recorded as version 0.
            self.crashes.note_seen_good(load_identity(&held.key, 0), now);
        }
    }

    /// Records that a replica's response was cut off. A replica that is gone or draining is not checked: its exit is
    /// expected.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::ResponseAbort;
    /// use quillcove_core::relay::machine::{AttemptOrder, BreakStep, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// // The replica is not listed any more.
    /// let now = Duration::ZERO;
    /// let broke = ResponseAbort { identity, has_other_cause: false, sent_at: now };
    /// assert_eq!(machine.record_abort(&order, broke, now), BreakStep::Rest);
    /// ```
    pub fn record_abort(
        &mut self,
        order: &AttemptOrder,
        broke: ResponseAbort,
        now: MonoTime,
    ) -> BreakStep {
        self.record_response_abort(AbortKind::CutOff, order, broke, now)
    }

    /// Records that an attempt was abandoned: its caller left, or its deadline passed. The replica may still work on it
    /// and exit under it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::watch::ResponseAbort;
    /// use quillcove_core::relay::machine::{AttemptOrder, BreakStep, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let now = Duration::ZERO;
    /// machine.list(example_record("i-1"), now);
    /// let abort = ResponseAbort { identity, has_other_cause: false, sent_at: now };
    /// assert_eq!(machine.record_abandoned(&order, abort, now), BreakStep::Check);
    /// ```
    pub fn record_abandoned(
        &mut self,
        order: &AttemptOrder,
        abort: ResponseAbort,
        now: MonoTime,
    ) -> BreakStep {
        self.record_response_abort(AbortKind::Abandoned, order, abort, now)
    }

    fn record_response_abort(
        &mut self,
        kind: AbortKind,
        order: &AttemptOrder,
        abort: ResponseAbort,
        now: MonoTime,
    ) -> BreakStep {
        let Some(view) = self.table.get(&order.replica).filter(|view| view.is_ready()) else {
            return BreakStep::Rest;
        };
        let has_restarted = view.record.born != order.start_time;
        let run = run_of(order);
        let is_first = match kind {
            AbortKind::CutOff => self.crashes.record_abort(&run, abort, now),
            AbortKind::Abandoned => self.crashes.record_abandoned(&run, abort, now),
        };
        if has_restarted {
            self.crashes.confirm_exit(&run, now);
        }
        match is_first && !has_restarted {
            true => BreakStep::Check,
            false => BreakStep::Rest,
        }
    }

    /// Returns whether an exit of a replica is expected, and so not watched: it is gone or draining.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// assert!(RelayMachine::new(RelayRules::default(), 1).expects_exit(&order));
    /// ```
    pub fn expects_exit(&self, order: &AttemptOrder) -> bool {
        !self.table.get(&order.replica).is_some_and(|view| view.is_ready())
    }

    /// Returns whether another replica is listed at the address of the one that an attempt was sent to.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.is_replaced(&order));
    /// machine.list(example_record("i-2"), Duration::ZERO);
    /// assert!(machine.is_replaced(&order));
    /// ```
    pub fn is_replaced(&self, order: &AttemptOrder) -> bool {
        let listed = self.table.at(order.address).map(|view| &view.record);
        listed.is_some_and(|it| it.id != order.replica || it.born != order.start_time)
    }

    /// Returns whether a replica has sent any bytes after `at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).has_received_since("i-1", Duration::ZERO));
    /// ```
    pub fn has_received_since(&self, replica: &str, at: MonoTime) -> bool {
        self.table.get(replica).is_some_and(|view| view.has_received_since(at))
    }

    /// Returns what is known of a replica after a response, recorded as aborted at `ended_at`, whose end alone does not
    /// tell whether the replica exited.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::watch::ExitCheck;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let (sent_at, ended_at) = (Duration::from_secs(1), Duration::from_secs(2));
    /// assert_eq!(machine.exit_check(&order, sent_at, ended_at), ExitCheck::Unknown);
    /// machine.confirm_exit(&order, ended_at);
    /// assert_eq!(machine.exit_check(&order, sent_at, ended_at), ExitCheck::Exited);
    /// ```
    pub fn exit_check(
        &self,
        order: &AttemptOrder,
        sent_at: MonoTime,
        ended_at: MonoTime,
    ) -> ExitCheck {
        self.crashes.exit_check(&run_of(order), sent_at, ended_at)
    }

    /// Records that a replica has exited. Returns the number of responses that were cut off by the exit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.confirm_exit(&order, Duration::ZERO), 0);
    /// ```
    pub fn confirm_exit(&mut self, order: &AttemptOrder, now: MonoTime) -> usize {
        self.crashes.confirm_exit(&run_of(order), now)
    }

    /// Records that a replica had not exited at `alive_at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// RelayMachine::new(RelayRules::default(), 1).rule_out_exit(&order, Duration::ZERO);
    /// ```
    pub fn rule_out_exit(&mut self, order: &AttemptOrder, alive_at: MonoTime) {
        self.crashes.rule_out_exit(&run_of(order), alive_at);
    }

    /// Gives up finding out whether a replica exited under responses that were aborted before `until`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// RelayMachine::new(RelayRules::default(), 1).end_exit_checks(&order, Duration::ZERO);
    /// ```
    pub fn end_exit_checks(&mut self, order: &AttemptOrder, until: MonoTime) {
        self.crashes.end_exit_checks(&run_of(order), until);
    }

    /// Returns from when on the replica's state tells whether it exited under a response of this kind; `None` if no
    /// such response is pending.
    ///
    /// ```
    /// use quillcove_core::crash::watch::AbortKind;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.exit_check_due(&order, AbortKind::Abandoned).is_none());
    /// ```
    pub fn exit_check_due(&self, order: &AttemptOrder, kind: AbortKind) -> Option<MonoTime> {
        self.crashes.check_due(&run_of(order), kind)
    }
}
