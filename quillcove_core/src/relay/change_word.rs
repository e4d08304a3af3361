//! Changes of the platform's store, as a relay that reads it tells them to the others of its hall.
//!
//! Without the change itself, each relay that is told of one reads it for itself: calls of the store that grow with the
//! relays. A word names the revisions from which and up to which it tells all that matters, so that a receiver that
//! lacks the one before it takes nothing and reads for itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::position::StorePosition;
use super::published::{LapsedEntry, StoreEvent, StorePart};
use super::sheet_change::SheetChange;
use crate::ids::StoreEra;

/// Changes in one word: some 200 bytes each, so that a datagram has room for one larger one among them.
const MOST_CHANGES: usize = 16;

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToldEvent {
    /// As the store has it.
    Published(StoreEvent),
    /// A sheet, by what differs from the one before.
    Sheet(SheetChange),
    /// An entry lapsed while the store was away; it is given up when it does not come back.
    Lapsed(LapsedEntry),
}

/// A change, and the revision of the store at which it was made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldChange {
    /// The revision.
    pub revision: u64,
    /// The change.
    pub event: ToldEvent,
}

/// All that has changed in one part of the store between two revisions and matters to relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeBeacon {
    /// The part.
    pub part: StorePart,
    /// Era in which all of them were made.
    pub era: StoreEra,
    /// Revision after which the changes are.
    pub after: u64,
    /// Revision up to which they are all that matters.
    pub revision: u64,
    /// Age of the moment at which that was known to be complete.
    pub age: Duration,
    /// The changes.
    pub changes: Vec<ToldChange>,
}

impl ChangeBeacon {
    /// Position after which the changes are.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::change_word::ChangeBeacon;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let (part, age) = (StorePart::Operator, Duration::ZERO);
    /// let word = ChangeBeacon { part, era: 2, after: 3, revision: 5, age, changes: Vec::new() };
    /// assert_eq!(word.begin(), StorePosition { era: 2, revision: 3 });
    /// ```
    pub fn begin(&self) -> StorePosition {
        self.position(self.after)
    }

    /// Position up to which they are all that matters.
    ///
    /// See [`ChangeBeacon::begin`] for an example.
    pub fn end(&self) -> StorePosition {
        self.position(self.revision)
    }

    /// Position of a revision of its era.
    pub(super) fn position(&self, revision: u64) -> StorePosition {
        StorePosition { era: self.era, revision }
    }

    /// Divides this into words that fit into datagrams, each of which follows on the one before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::change_word::{ChangeBeacon, ToldChange, ToldEvent};
    /// use quillcove_core::relay::published::{StoreEvent, StorePart};
    ///
    /// let gone = |revision| ToldChange {
    ///     revision,
    ///     event: ToldEvent::Published(StoreEvent::ReplicaGone("i".repeat(100))),
    /// };
    /// let beacon = ChangeBeacon {
    ///     part: StorePart::Replicas,
    ///     era: 0,
    ///     after: 3,
    ///     revision: 300,
    ///     age: Duration::ZERO,
    ///     changes: (4..104).map(gone).collect(),
    /// };
    /// let words = beacon.in_datagrams();
    /// assert!(words.len() > 1);
    /// assert_eq!(words[0].revision, words[1].after);
    /// assert_eq!(words.last().unwrap().revision, 300);
    /// ```
    pub fn in_datagrams(mut self) -> Vec<Self> {
        // A reader's answer names changes in the order of their revisions; this does not lean on it.
        self.changes.sort_by_key(|change| change.revision);
        let changes = std::mem::take(&mut self.changes);
        let end = self.revision;
        let mut words = Vec::new();
        let mut word = self;
        for change in changes {
            let last = word.changes.last().map_or(word.after, |last| last.revision);
            if last < change.revision && word.changes.len() >= MOST_CHANGES {
                let changes = std::mem::take(&mut word.changes);
                words.push(Self { revision: last, changes, ..word });
                word.after = last;
            }
            word.changes.push(change);
        }
        word.revision = end;
        words.push(word);
        words
    }
}
