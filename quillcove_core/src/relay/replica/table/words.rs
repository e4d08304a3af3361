//! What replicas say of themselves with their answers.

use std::time::Duration;

use super::super::kept::is_same_start;
use super::ReplicaTable;
use crate::ids::MonoTime;
use crate::relay::beacon::StartTime;
use crate::standing::limit::RateLimit;
use crate::standing::notice::UpstreamNotice;
use crate::standing::{LeavingSource, StandingChange, UpstreamStanding};

impl ReplicaTable {
    /// Takes what one start of a replica said of itself with an answer, and gives what became known by it. The
    /// late answer of an earlier start says nothing of the one that is there now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let notice = UpstreamNotice { is_leaving: true, rest: None, limit: None };
    /// table.note_said("i-1", None, &notice, Duration::ZERO, Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().is_ready());
    /// ```
    pub fn note_said(
        &mut self,
        id: &str,
        born: Option<StartTime>,
        notice: &UpstreamNotice,
        spread: Duration,
        now: MonoTime,
    ) -> Option<StandingChange> {
        self.standing_of(id, born)?.take(notice, spread, now)
    }

    /// Takes another process's word that one start of a replica leaves.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.note_told_leaving("i-1", None, Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().seems_well(Duration::ZERO));
    /// ```
    pub fn note_told_leaving(&mut self, id: &str, born: Option<StartTime>, now: MonoTime) {
        if let Some(standing) = self.standing_of(id, born) {
            standing.note_leaving(LeavingSource::Told, now);
        }
    }

    /// Takes another process's word of the limit of one start of a replica; tells whether it is news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let (limit, zero) = (RateLimit::per_second(2.0), Duration::ZERO);
    /// assert!(table.note_told_limit("i-1", None, limit, zero, zero, zero));
    /// ```
    pub fn note_told_limit(
        &mut self,
        id: &str,
        born: Option<StartTime>,
        limit: Option<RateLimit>,
        age: Duration,
        spread: Duration,
        now: MonoTime,
    ) -> bool {
        let standing = self.standing_of(id, born);
        standing.is_some_and(|standing| standing.note_told_limit(limit, age, spread, now))
    }

    /// Takes a good answer of one start of a replica that names no limit, to a request that was sent then; tells
    /// whether a limit ends by it.
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
        let standing = self.standing_of(id, born);
        standing.is_some_and(|standing| standing.note_no_limit(sent, spread, now))
    }

    /// Sets the time between two requests of this process to a replica that names a limit; `None` when others send
    /// what it takes.
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

    /// Notes that a replica is cold until then and bears so many requests a second; tells whether that is news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let (rate, second) = (RateLimit::per_second(8.0).unwrap(), Duration::from_secs(1));
    /// assert!(!ReplicaTable::default().note_cold("i-1", rate, second, Duration::ZERO));
    /// ```
    pub fn note_cold(&mut self, id: &str, rate: RateLimit, until: MonoTime, now: MonoTime) -> bool {
        let view = self.replicas.get_mut(id);
        view.is_some_and(|view| view.standing.note_cold(rate, until, now))
    }

    /// Sets the time between two requests of this process to a cold replica; `None` when others send what it bears.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// ReplicaTable::default().set_cold_gap("i-1", None, Duration::ZERO);
    /// ```
    pub fn set_cold_gap(&mut self, id: &str, gap: Option<Duration>, now: MonoTime) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.standing.set_cold_gap(gap, now);
        }
    }

    /// The standing of one start of a replica; `None` when another start is there now.
    fn standing_of(&mut self, id: &str, born: Option<StartTime>) -> Option<&mut UpstreamStanding> {
        match self.replicas.get_mut(id) {
            Some(view) => is_same_start(view.record.born, born).then_some(&mut view.standing),
            None => Some(self.kept.of(id, born)),
        }
    }
}
