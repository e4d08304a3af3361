//! Marks that keep a late copy of an attempt from running.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{AttemptId, MonoTime};

/// Most marks kept; beyond them new attempts are refused rather than old marks forgotten.
pub const MARK_LIMIT: usize = 200_000;

/// What is known of an attempt that is over or underway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptMark {
    /// Waits in the agent.
    Waiting,
    /// Was handed to the upstream.
    Started,
    /// Was refused or withdrawn before it started.
    Refused,
}

/// Marks of attempts with their expiry.
#[derive(Clone, Debug, Default)]
pub struct MarkTable {
    marks: BTreeMap<AttemptId, AttemptMark>,
    expiries: VecDeque<(MonoTime, AttemptId)>,
}

impl MarkTable {
    /// The mark of an attempt.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert_eq!(MarkTable::default().get(1), None);
    /// ```
    pub fn get(&self, attempt: AttemptId) -> Option<AttemptMark> {
        self.marks.get(&attempt).copied()
    }

    /// Tells whether no further attempt can be marked.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert!(!MarkTable::default().is_full());
    /// ```
    pub fn is_full(&self) -> bool {
        self.marks.len() >= MARK_LIMIT
    }

    /// Sets a mark that stays until it is replaced.
    ///
    /// ```
    /// use quillcove_core::agent::marks::{AttemptMark, MarkTable};
    ///
    /// let mut marks = MarkTable::default();
    /// marks.set(1, AttemptMark::Waiting);
    /// assert_eq!(marks.get(1), Some(AttemptMark::Waiting));
    /// ```
    pub fn set(&mut self, attempt: AttemptId, mark: AttemptMark) {
        self.marks.insert(attempt, mark);
    }

    /// Sets a last mark, which goes after its lifetime.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::marks::{AttemptMark, MarkTable};
    ///
    /// let mut marks = MarkTable::default();
    /// marks.close(1, AttemptMark::Refused, Duration::ZERO, Duration::from_secs(1));
    /// marks.expire(Duration::from_secs(2));
    /// assert_eq!(marks.get(1), None);
    /// ```
    pub fn close(
        &mut self,
        attempt: AttemptId,
        mark: AttemptMark,
        now: MonoTime,
        lifetime: Duration,
    ) {
        self.marks.insert(attempt, mark);
        self.expiries.push_back((now + lifetime, attempt));
    }

    /// Drops marks whose lifetime is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// MarkTable::default().expire(Duration::ZERO);
    /// ```
    pub fn expire(&mut self, now: MonoTime) {
        while let Some((expires, attempt)) = self.expiries.front().copied() {
            if expires > now {
                return;
            }
            self.expiries.pop_front();
            self.marks.remove(&attempt);
        }
    }

    /// Number of marks.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert_eq!(MarkTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Tells whether there is no mark.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert!(MarkTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
