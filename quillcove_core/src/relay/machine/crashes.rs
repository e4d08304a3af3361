//! Rejection of fatal requests, under which replicas exit, and of adapter loads under which engines exit.

use super::{AttemptOrder, RelayMachine, RelayQuery};
use crate::crash::digest::load_identity;
use crate::crash::watch::{AnswerBreak, CrashWatch, ReplicaRun};
use crate::ids::MonoTime;
use crate::relay::beacon::{AdapterKey, EngineReport};

/// The follow-up to a response that was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakStep {
    /// Check whether the replica has exited.
    Ask,
    /// Nothing: the exit is already known, a check is running, or the replica was draining.
    Rest,
}

fn run_of(order: &AttemptOrder) -> ReplicaRun {
    ReplicaRun { replica: order.replica.clone(), born: order.born }
}

impl RelayMachine {
    /// Returns the crash records.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).crashes().book().is_empty());
    /// ```
    pub fn crashes(&self) -> &CrashWatch {
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
    pub fn crashes_mut(&mut self) -> &mut CrashWatch {
        &mut self.crashes
    }

    /// Returns whether a request is rejected as fatal, and records the rejection.
    pub(super) fn ends_upstreams(&mut self, query: &RelayQuery, now: MonoTime) -> bool {
        let Some(identity) = query.identity else {
            return false;
        };
        let is_refused = self.crashes.cause(identity, now).is_some();
        if is_refused {
            self.crashes.note_refused(identity, now);
        }
        is_refused
    }

    /// Returns whether engines exit when they load an adapter, in the version that would be loaded.
    pub(super) fn load_ends_engines(&self, key: &AdapterKey, now: MonoTime) -> bool {
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
    /// use quillcove_core::crash::watch::AnswerBreak;
    /// use quillcove_core::relay::machine::{AttemptOrder, BreakStep, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// // The replica is not listed any more.
    /// let now = Duration::ZERO;
    /// let broke = AnswerBreak { identity, has_begun: false, sent_at: now };
    /// assert_eq!(machine.note_broken(&order, broke, now), BreakStep::Rest);
    /// ```
    pub fn note_broken(
        &mut self,
        order: &AttemptOrder,
        broke: AnswerBreak,
        now: MonoTime,
    ) -> BreakStep {
        let Some(view) = self.table.get(&order.replica) else {
            return BreakStep::Rest;
        };
        if !view.is_ready() {
            return BreakStep::Rest;
        }
        let has_restarted = view.record.born != order.born;
        let run = run_of(order);
        let is_first = self.crashes.note_broken(&run, broke, now);
        if has_restarted {
            self.crashes.confirm_end(&run, now);
        }
        match is_first && !has_restarted {
            true => BreakStep::Ask,
            false => BreakStep::Rest,
        }
    }

    /// Returns whether a replica has sent any bytes after `at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_heard_since("i-1", Duration::ZERO));
    /// ```
    pub fn is_heard_since(&self, replica: &str, at: MonoTime) -> bool {
        self.table.get(replica).is_some_and(|view| view.is_heard_since(at))
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
    /// assert_eq!(machine.confirm_end(&order, Duration::ZERO), 0);
    /// ```
    pub fn confirm_end(&mut self, order: &AttemptOrder, now: MonoTime) -> usize {
        self.crashes.confirm_end(&run_of(order), now)
    }

    /// Records that a replica has not exited, or that this can't be determined.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let order = AttemptOrder::to(&example_record("i-1"));
    /// RelayMachine::new(RelayRules::default(), 1).deny_end(&order);
    /// ```
    pub fn deny_end(&mut self, order: &AttemptOrder) {
        self.crashes.deny_end(&run_of(order));
    }
}
