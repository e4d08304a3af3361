//! Positions in the history of the platform's store.
//!
//! The store numbers its changes with revisions. When it is restored from an older copy, the count
//! goes back and revision numbers are assigned again, so a revision is meaningful only together
//! with the era in which it was assigned.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::published::StorePart;
use crate::ids::StoreEra;

/// A position in the store's history. Every position of an era is later than all positions of the
/// eras before it.
///
/// ```
/// use quillcove_core::relay::position::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 90 };
/// let after = StorePosition { era: 2, revision: 70 };
/// assert!(before < after && before.precedes_era(2) && !after.precedes_era(2));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era; incremented each time the store is restored from an older copy.
    pub era: StoreEra,
    /// Revision, which counts the changes of the store; unique only within its era.
    pub revision: u64,
}

impl StorePosition {
    /// Returns a position in a store that has never been restored from a copy, or that does not
    /// report its era.
    ///
    /// ```
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// assert_eq!(StorePosition::in_first_era(7).era, 0);
    /// ```
    pub const fn in_first_era(revision: u64) -> Self {
        Self { era: 0, revision }
    }

    /// Returns the first position of an era: later than all of the era before, and no later than
    /// any of its own.
    ///
    /// ```
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let start = StorePosition::start_of(2);
    /// assert!(start > StorePosition { era: 1, revision: u64::MAX });
    /// ```
    pub const fn start_of(era: StoreEra) -> Self {
        Self { era, revision: 0 }
    }

    /// Returns whether the position belongs to an era before `era`.
    ///
    /// See [`StorePosition`] for an example.
    pub const fn precedes_era(self, era: StoreEra) -> bool {
        self.era < era
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.era, self.revision)
    }
}

/// Positions up to which a relay knows the parts of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPositions {
    /// Position in the operator's part.
    pub operator: StorePosition,
    /// Position in the replica list.
    pub replicas: StorePosition,
}

impl ReadPositions {
    /// Returns the position of one part.
    ///
    /// ```
    /// use quillcove_core::relay::position::{ReadPositions, StorePosition};
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// assert_eq!(ReadPositions::default().of(StorePart::Replicas), StorePosition::default());
    /// ```
    pub fn of(&self, part: StorePart) -> StorePosition {
        match part {
            StorePart::Operator => self.operator,
            StorePart::Replicas => self.replicas,
        }
    }

    /// Advances the position of a part; an earlier position has no effect.
    ///
    /// ```
    /// use quillcove_core::relay::position::{ReadPositions, StorePosition};
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let mut read = ReadPositions::default();
    /// read.note(StorePart::Operator, StorePosition { era: 1, revision: 90 });
    /// read.note(StorePart::Operator, StorePosition { era: 2, revision: 70 });
    /// assert_eq!(read.operator.revision, 70);
    /// ```
    pub fn note(&mut self, part: StorePart, position: StorePosition) {
        let known = match part {
            StorePart::Operator => &mut self.operator,
            StorePart::Replicas => &mut self.replicas,
        };
        *known = position.max(*known);
    }

    /// Returns whether `other` is at least as far in every part.
    ///
    /// ```
    /// use quillcove_core::relay::position::{ReadPositions, StorePosition};
    ///
    /// let operator = StorePosition::in_first_era(3);
    /// let (ours, theirs) = (ReadPositions::default(), ReadPositions { operator, ..ReadPositions::default() });
    /// assert!(ours.is_covered_by(&theirs) && !theirs.is_covered_by(&ours));
    /// ```
    pub fn is_covered_by(&self, other: &Self) -> bool {
        self.operator <= other.operator && self.replicas <= other.replicas
    }
}
