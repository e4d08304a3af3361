//! Moments of the platform's store.
//!
//! The store counts its changes. When it comes back from an older copy of itself, the count goes back and its
//! revisions are given out again, so that a revision says something only together with the era in which it was given.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::published::StorePart;
use crate::ids::StoreEra;

/// A moment of the store. All moments of an era come after those of the eras before it.
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
    /// The era.
    pub era: StoreEra,
    /// The count of changes within it.
    pub revision: u64,
}

impl StorePosition {
    /// A position in a store that has never come back from a copy, or does not name its era.
    ///
    /// ```
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// assert_eq!(StorePosition::in_first_era(7).era, 0);
    /// ```
    pub const fn in_first_era(revision: u64) -> Self {
        Self { era: 0, revision }
    }

    /// The first moment of an era: later than all of the era before, and no later than any of its own.
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

    /// Tells whether it belongs to an era before this one.
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

/// Positions in the store up to which a relay knows its parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPositions {
    /// For what the operator writes.
    pub operator: StorePosition,
    /// For the listing of replicas.
    pub replicas: StorePosition,
}

impl ReadPositions {
    /// The position of one part.
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

    /// Notes that a part is known up to a position; it never goes back.
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

    /// Tells whether no part is known further than by another relay.
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
