//! The status that replicas report about themselves in their answers.

use std::time::Duration;

use super::super::kept::is_same_start;
use super::ReplicaTable;
use crate::ids::{MonoTime, StartTime};
use crate::standing::limit::RateLimit;
use crate::standing::notice::UpstreamNotice;
use crate::standing::{LeavingSource, UpstreamStatus, UpstreamStatusChange};

impl ReplicaTable {
    /// Records what one start of a replica reported about itself in an answer; returns what
    /// changed. A late answer of an earlier start does not affect the present one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let notice = UpstreamNotice { is_leaving: true, rest: None, limit: None };
    /// table.record_notice("i-1", None, &notice, Duration::ZERO, Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().is_ready());
    /// ```
    pub fn record_notice(
        &mut self,
        id: &str,
        born: Option<StartTime>,
        notice: &UpstreamNotice,
        spread: Duration,
        now: MonoTime,
    ) -> Option<UpstreamStatusChange> {
        self.status_mut(id, born)?.record_notice(notice, spread, now)
    }

    /// Records another process's report that one start of a replica is draining.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.record_reported_draining("i-1", None, Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().seems_well(Duration::ZERO));
    /// ```
    pub fn record_reported_draining(&mut self, id: &str, born: Option<StartTime>, now: MonoTime) {
        if let Some(status) = self.status_mut(id, born) {
            status.note_leaving(LeavingSource::Told, now);
        }
    }

    /// Records another process's report of the limit of one start of a replica; returns whether it
    /// differs from the known one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let (limit, zero) = (RateLimit::per_second(2.0), Duration::ZERO);
    /// assert!(table.record_reported_limit("i-1", None, limit, zero, zero, zero));
    /// ```
    pub fn record_reported_limit(
        &mut self,
        id: &str,
        born: Option<StartTime>,
        limit: Option<RateLimit>,
        age: Duration,
        spread: Duration,
        now: MonoTime,
    ) -> bool {
        let status = self.status_mut(id, born);
        status.is_some_and(|status| status.record_reported_limit(limit, age, spread, now))
    }

    /// Records a successful answer without a limit from one start of a replica to a request sent at
    /// `sent`; returns whether this ends a limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let zero = Duration::ZERO;
    /// assert!(!ReplicaTable::default().note_no_limit("i-1", None, zero, zero, zero));
    /// ```
    pub fn note_no_limit(
        &mut self,
        id: &str,
        born: Option<StartTime>,
        sent: MonoTime,
        spread: Duration,
        now: MonoTime,
    ) -> bool {
        let status = self.status_mut(id, born);
        status.is_some_and(|status| status.note_no_limit(sent, spread, now))
    }

    /// Sets the time between two requests of this process to a replica that announces a limit;
    /// `None` if only other processes send them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// ReplicaTable::default().set_limit_gap("i-1", None, Duration::ZERO);
    /// ```
    pub fn set_limit_gap(&mut self, id: &str, gap: Option<Duration>, now: MonoTime) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.standing.set_limit_gap(gap, now);
        }
    }

    /// Records that a replica warms up until `until` and accepts this rate of requests; returns
    /// whether that was unknown.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let (rate, second) = (RateLimit::per_second(8.0).unwrap(), Duration::from_secs(1));
    /// assert!(!ReplicaTable::default().record_warm_up("i-1", rate, second, Duration::ZERO));
    /// ```
    pub fn record_warm_up(
        &mut self,
        id: &str,
        rate: RateLimit,
        until: MonoTime,
        now: MonoTime,
    ) -> bool {
        let view = self.replicas.get_mut(id);
        view.is_some_and(|view| view.standing.record_warm_up(rate, until, now))
    }

    /// Sets the time between two requests of this process to a replica that warms up; `None` if
    /// only other processes send them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// ReplicaTable::default().set_warm_up_gap("i-1", None, Duration::ZERO);
    /// ```
    pub fn set_warm_up_gap(&mut self, id: &str, gap: Option<Duration>, now: MonoTime) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.standing.set_warm_up_gap(gap, now);
        }
    }

    /// Returns the status of one start of a replica for changes; `None` if another start is listed
    /// now.
    fn status_mut(&mut self, id: &str, born: Option<StartTime>) -> Option<&mut UpstreamStatus> {
        match self.replicas.get_mut(id) {
            Some(view) => is_same_start(view.record.born, born).then_some(&mut view.standing),
            None => Some(self.unlisted.status_mut(id, born)),
        }
    }
}
