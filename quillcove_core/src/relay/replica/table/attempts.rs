//! Load and health of replicas as shown by the attempts of this process.

use std::time::Duration;

use super::ReplicaTable;
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::beacon::AdapterUse;
use crate::relay::replica::{AttemptOutcome, ReplicaView};

/// Consecutive failures after which a replica is ejected for a while.
const EJECT_FAILURES: u32 = 3;

/// Duration of the first ejection; doubles with each further one.
const EJECT_TIME: Duration = Duration::from_millis(1000);

/// Minimum time between two reports of first uses to one loader, besides the regular ones. As for pending prompts, it
/// bounds the messages when adapters are often loaded.
const FIRST_USE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of doublings of [`EJECT_TIME`].
const MAX_EJECT_DOUBLINGS: u32 = 3;

impl ReplicaView {
    /// Returns whether the loader may be notified of a first use now.
    fn may_report_first_use(&self, now: MonoTime) -> bool {
        self.first_use_at.is_none_or(|at| now.saturating_sub(at) >= FIRST_USE_INTERVAL)
    }
}

impl ReplicaTable {
    /// Records that a request is sent.
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
                view.last_received = now;
            }
            view.in_flight += 1;
            view.standing.begin(now);
            view.sent_since_report += 1;
            if let Some(key) = key {
                let fresh = || AdapterUse { key: key.clone(), sent: 0, in_flight: 0 };
                let adapter_use = view.uses.entry(key.clone()).or_insert_with(fresh);
                adapter_use.sent += 1;
                adapter_use.in_flight += 1;
            }
        }
    }

    /// Has the loader of an engine notified that this process uses an adapter, unless its last report already named the
    /// adapter as in use: at once, or with [`Self::notify_deferred_uses`] if it was so notified less than 50 ms ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.begin("i-1", Some(&key), Duration::ZERO);
    /// table.notify_use("i-1", &key, Duration::ZERO);
    /// assert_eq!(table.take_freed(), ["i-1"]);
    /// table.take_uses("i-1");
    /// table.notify_use("i-1", &key, Duration::from_millis(60));
    /// assert!(!table.has_freed());
    /// ```
    pub fn notify_use(&mut self, id: &str, key: &AdapterKey, now: MonoTime) {
        let view = self.replicas.get_mut(id);
        let Some(view) = view.filter(|view| !view.reported_uses.contains(key)) else {
            return;
        };
        match view.may_report_first_use(now) {
            true => {
                view.first_use_at = Some(now);
                self.notified_engines.insert(id.to_string());
            },
            false => drop(self.deferred_notifications.insert(id.to_string())),
        }
    }

    /// Has the loaders notified of first uses whose report was deferred and is due.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.notify_deferred_uses(Duration::ZERO);
    /// assert!(!table.has_freed());
    /// ```
    pub fn notify_deferred_uses(&mut self, now: MonoTime) {
        for id in std::mem::take(&mut self.deferred_notifications) {
            match self.replicas.get_mut(&id) {
                Some(view) if view.may_report_first_use(now) => {
                    view.first_use_at = Some(now);
                    self.notified_engines.insert(id);
                },
                Some(_) => drop(self.deferred_notifications.insert(id)),
                None => {},
            }
        }
    }

    /// Records that bytes have been received from a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// ReplicaTable::default().record_bytes_received("i-1", Duration::ZERO);
    /// ```
    pub fn record_bytes_received(&mut self, id: &str, now: MonoTime) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.last_received = now;
        }
    }

    /// Records the outcome of an attempt; returns whether the replica is ejected from now on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{AttemptOutcome, ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let mut fail = || table.end("i-1", None, AttemptOutcome::Failed, Duration::ZERO);
    /// assert_eq!([fail(), fail(), fail()], [false, false, true]);
    /// ```
    pub fn end(
        &mut self,
        id: &str,
        key: Option<&AdapterKey>,
        fate: AttemptOutcome,
        now: MonoTime,
    ) -> bool {
        let Some(view) = self.replicas.get_mut(id) else {
            return false;
        };
        view.in_flight = view.in_flight.saturating_sub(1);
        if let Some(adapter_use) = key.and_then(|key| view.uses.get_mut(key)) {
            adapter_use.in_flight = adapter_use.in_flight.saturating_sub(1);
            if adapter_use.in_flight == 0 && view.free_slots == Some(0) {
                self.notified_engines.insert(id.to_string());
            }
        }
        match fate {
            AttemptOutcome::Answered => {
                view.failures = 0;
                view.ejections = 0;
                view.last_received = now;
                false
            },
            AttemptOutcome::Refused => {
                view.last_received = now;
                false
            },
            AttemptOutcome::Abandoned => false,
            AttemptOutcome::Failed => {
                view.failures += 1;
                let is_ejected = view.failures >= EJECT_FAILURES;
                if is_ejected {
                    view.failures = 0;
                    let doublings = view.ejections.min(MAX_EJECT_DOUBLINGS);
                    view.ejected_until = now + EJECT_TIME * 2u32.pow(doublings);
                    view.ejections += 1;
                }
                is_ejected
            },
        }
    }
}
