//! Records the progress and outcome of attempts in the state of the replicas.

use super::RelayMachine;
use crate::ids::MonoTime;
use crate::relay::beacon::AdapterKey;
use crate::relay::reading::ReadingNumber;
use crate::relay::replica::AttemptFate;

impl RelayMachine {
    /// Records that a request is sent to a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).begin("i-1", None, Duration::ZERO);
    /// ```
    pub fn begin(&mut self, replica: &str, key: Option<&AdapterKey>, now: MonoTime) {
        self.table.begin(replica, key, now);
    }

    /// Records that bytes were received from a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).hear("i-1", Duration::ZERO);
    /// ```
    pub fn hear(&mut self, replica: &str, now: MonoTime) {
        self.table.hear(replica, now);
    }

    /// Records the time of an attempt's first event, or `None` if it ended without one.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).end_reading("i-1", 1, None);
    /// ```
    pub fn end_reading(&mut self, replica: &str, number: ReadingNumber, read_at: Option<MonoTime>) {
        self.table.end_reading(replica, number, read_at);
    }

    /// Records the outcome of an attempt; returns whether the replica is ejected from now on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::AttemptFate;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.end("i-1", None, AttemptFate::Answered, Duration::ZERO));
    /// ```
    pub fn end(
        &mut self,
        replica: &str,
        key: Option<&AdapterKey>,
        fate: AttemptFate,
        now: MonoTime,
    ) -> bool {
        self.table.end(replica, key, fate, now)
    }

    /// Removes a replica that no longer runs: another one answered at its address, or it has restarted.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).forget("i-1");
    /// ```
    pub fn forget(&mut self, replica: &str) {
        self.table.remove(replica);
        self.doubt.end_replica(replica);
        self.demand.forget_engine(replica);
    }

    /// Records that a replica does not hold an adapter that it was believed to hold.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// RelayMachine::new(RelayRules::default(), 1).lacks("i-1", &key);
    /// ```
    pub fn lacks(&mut self, replica: &str, key: &AdapterKey) {
        self.table.lacks(replica, key);
    }
}
