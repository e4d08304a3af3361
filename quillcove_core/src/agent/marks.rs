//! State of recent attempts, kept to reject copies that arrive late.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{AttemptId, MonoTime};

/// Maximum number of marks. Beyond it, new attempts are rejected rather than old marks dropped.
pub const MAX_MARKS: usize = 200_000;

/// State of an attempt that is in progress or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptMark {
    /// Queued in the agent.
    Waiting,
    /// Sent to the upstream.
    Started,
    /// Rejected or withdrawn before it started.
    Refused,
}

/// Marks of attempts, with the expiry of those that have ended.
#[derive(Clone, Debug, Default)]
pub struct MarkTable {
    marks: BTreeMap<AttemptId, AttemptMark>,
    expiry_queue: VecDeque<(MonoTime, AttemptId)>,
}

impl MarkTable {
    /// Returns the mark of an attempt.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert_eq!(MarkTable::default().get(1), None);
    /// ```
    pub fn get(&self, attempt: AttemptId) -> Option<AttemptMark> {
        self.marks.get(&attempt).copied()
    }

    /// Returns whether no further attempt can be marked.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert!(!MarkTable::default().is_full());
    /// ```
    pub fn is_full(&self) -> bool {
        self.marks.len() >= MAX_MARKS
    }

    /// Sets a mark that does not expire until it is replaced.
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

    /// Sets the final mark of an attempt, which expires after `lifetime`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::marks::{AttemptMark, MarkTable};
    ///
    /// let mut marks = MarkTable::default();
    /// marks.set_expiring(1, AttemptMark::Refused, Duration::ZERO, Duration::from_secs(1));
    /// marks.expire(Duration::from_secs(2));
    /// assert_eq!(marks.get(1), None);
    /// ```
    pub fn set_expiring(
        &mut self,
        attempt: AttemptId,
        mark: AttemptMark,
        now: MonoTime,
        lifetime: Duration,
    ) {
        self.marks.insert(attempt, mark);
        self.expiry_queue.push_back((now + lifetime, attempt));
    }

    /// Removes expired marks.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// MarkTable::default().expire(Duration::ZERO);
    /// ```
    pub fn expire(&mut self, now: MonoTime) {
        while let Some((expires, attempt)) = self.expiry_queue.front().copied() {
            if expires > now {
                return;
            }
            self.expiry_queue.pop_front();
            self.marks.remove(&attempt);
        }
    }

    /// Returns the number of marks.
    ///
    /// ```
    /// use quillcove_core::agent::marks::MarkTable;
    ///
    /// assert_eq!(MarkTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether there are no marks.
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
