//! What attempts at replicas tell of their load and health.

use std::time::Duration;

use super::ReplicaTable;
use crate::ids::MonoTime;
use crate::relay::beacon::{AdapterKey, AdapterUse};
use crate::relay::replica::AttemptFate;

/// Failures in a row after which a replica is left out for a while.
const EJECT_AFTER: u32 = 3;

/// First time that a replica is left out; doubles with each further time.
const EJECT_TIME: Duration = Duration::from_millis(1000);

/// Most doublings of [`EJECT_TIME`].
const EJECT_DOUBLINGS: u32 = 3;

impl ReplicaTable {
    /// Notes that a request is sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// ReplicaTable::default().begin("i-1", None, Duration::ZERO);
    /// ```
    pub fn begin(&mut self, id: &str, key: Option<&AdapterKey>, now: MonoTime) {
        if let Some(view) = self.replicas.get_mut(id) {
            if view.in_flight == 0 {
                view.last_heard = now;
            }
            view.in_flight += 1;
            view.standing.begin(now);
            view.sent_since += 1;
            if let Some(key) = key {
                let fresh = || AdapterUse { key: key.clone(), sent: 0, in_flight: 0 };
                let used = view.uses.entry(key.clone()).or_insert_with(fresh);
                used.sent += 1;
                used.in_flight += 1;
            }
        }
    }

    /// Notes that bytes came from a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// ReplicaTable::default().hear("i-1", Duration::ZERO);
    /// ```
    pub fn hear(&mut self, id: &str, now: MonoTime) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.last_heard = now;
        }
    }

    /// Notes the end of an attempt; tells whether the replica is left out from now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{AttemptFate, ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let mut fail = || table.end("i-1", None, AttemptFate::Failed, Duration::ZERO);
    /// assert_eq!([fail(), fail(), fail()], [false, false, true]);
    /// ```
    pub fn end(
        &mut self,
        id: &str,
        key: Option<&AdapterKey>,
        fate: AttemptFate,
        now: MonoTime,
    ) -> bool {
        let Some(view) = self.replicas.get_mut(id) else {
            return false;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        if let Some(used) = key.and_then(|key| view.uses.get_mut(key)) {
            used.in_flight = used.in_flight.saturating_sub(1);
            if used.in_flight == 0 && view.spare_places == Some(0) {
                self.freed.insert(id.to_string());
            }
        }
        match fate {
            AttemptFate::Answered => {
                view.failures = 0;
                view.ejections = 0;
                view.last_heard = now;
                false
            },
            AttemptFate::Refused => {
                view.last_heard = now;
                false
            },
            AttemptFate::Abandoned => false,
            AttemptFate::Failed => {
                view.failures += 1;
                let is_ejected = view.failures >= EJECT_AFTER;
                if is_ejected {
                    view.failures = 0;
                    let doublings = view.ejections.min(EJECT_DOUBLINGS);
                    view.ejected_until = now + EJECT_TIME * 2u32.pow(doublings);
                    view.ejections += 1;
                }
                is_ejected
            },
        }
    }
}
