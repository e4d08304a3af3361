//! Records the progress and outcome of attempts in the state of the replicas.

use super::RelayMachine;
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::reading::ReadingNumber;
use crate::relay::replica::AttemptOutcome;

impl RelayMachine {
    /// Records that a request is sent to a replica. Where adapter slots are scarce, the first use of an adapter is
    /// reported to the loader at once or with the next [`RelayMachine::tick`], see [`RelayMachine::has_pending_messages`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).begin_attempt("i-1", None, Duration::ZERO);
    /// ```
    pub fn begin_attempt(&mut self, replica: &str, key: Option<&AdapterKey>, now: MonoTime) {
        self.table.begin(replica, key, now);
        let Some(key) = key else {
            return;
        };
        let service = self.table.get(replica).map(|view| &view.record.service);
        if service.is_some_and(|service| self.is_contended(service)) {
            self.table.notify_use(replica, key, now);
        }
    }

    /// Records that bytes were received from a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).record_bytes_received("i-1", Duration::ZERO);
    /// ```
    pub fn record_bytes_received(&mut self, replica: &str, now: MonoTime) {
        self.table.record_bytes_received(replica, now);
    }

    /// Records the time of an attempt's first event, or `None` if it ended without one.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).end_prefill("i-1", 1, None);
    /// ```
    pub fn end_prefill(&mut self, replica: &str, number: ReadingNumber, read_at: Option<MonoTime>) {
        self.table.end_reading(replica, number, read_at);
    }

    /// Records the outcome of an attempt; returns whether the replica is ejected from now on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::AttemptOutcome;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.end_attempt("i-1", None, AttemptOutcome::Answered, Duration::ZERO));
    /// ```
    pub fn end_attempt(
        &mut self,
        replica: &str,
        key: Option<&AdapterKey>,
        fate: AttemptOutcome,
        now: MonoTime,
    ) -> bool {
        self.table.end(replica, key, fate, now)
    }

    /// Removes a replica that no longer runs: another one answered at its address, or it has restarted.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).remove_replica("i-1");
    /// ```
    pub fn remove_replica(&mut self, replica: &str) {
        self.table.remove(replica);
        self.doubt.end_replica(replica);
        self.demand.forget_engine(replica);
    }

    /// Records that a replica does not hold an adapter that it was believed to hold.
    ///
    /// ```
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// RelayMachine::new(RelayRules::default(), 1).record_missing_adapter("i-1", &key);
    /// ```
    pub fn record_missing_adapter(&mut self, replica: &str, key: &AdapterKey) {
        self.table.remove_adapter(replica, key);
    }
}
