//! Updates of the platform's store that a direct reader sends to the other relays of its hall.
//!
//! An update carries the changes themselves: if it only announced them, each relay would read them from
//! the store, and the calls of the store would grow with the number of relays. It names the revisions
//! between which it is complete, so that a receiver that does not know the store up to the first of them
//! ignores it and reads the store itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::position::StorePosition;
use super::published::{ExpiredEntry, StoreEvent, StorePart};
use super::sheet_change::ConfigChange;
use crate::ids::StoreEra;

/// Number of changes from which an update is split. They take some 200 bytes each, so that a datagram
/// has room for a larger one among them.
const CHANGES_PER_DATAGRAM: usize = 16;

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreChangeEvent {
    /// A change as the store publishes it.
    Published(StoreEvent),
    /// A new configuration, as the difference to the one before.
    Sheet(ConfigChange),
    /// An entry that expired while the store was unavailable. It is dropped unless it is renewed.
    Lapsed(ExpiredEntry),
}

/// A change with the store revision at which it was made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreChange {
    /// Revision of the change.
    pub revision: u64,
    /// The change.
    pub event: StoreChangeEvent,
}

/// All changes of one part of the store between two revisions that matter to relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreChangeMessage {
    /// Part of the store.
    pub part: StorePart,
    /// Era of all the changes.
    pub era: StoreEra,
    /// Revision after which the changes begin.
    pub after: u64,
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// Time since the changes were known to be complete.
    pub age: Duration,
    /// Changes in the order of their revisions.
    pub changes: Vec<StoreChange>,
}

impl StoreChangeMessage {
    /// Returns the position after which the changes begin.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::change_word::StoreChangeMessage;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let (part, age) = (StorePart::Operator, Duration::ZERO);
    /// let update = StoreChangeMessage { part, era: 2, after: 3, revision: 5, age, changes: Vec::new() };
    /// assert_eq!(update.begin(), StorePosition { era: 2, revision: 3 });
    /// ```
    pub fn begin(&self) -> StorePosition {
        self.position(self.after)
    }

    /// Returns the position up to which the changes are complete.
    ///
    /// See [`StoreChangeMessage::begin`] for an example.
    pub fn end(&self) -> StorePosition {
        self.position(self.revision)
    }

    /// Returns the position of a revision in the update's era.
    pub(super) fn position(&self, revision: u64) -> StorePosition {
        StorePosition { era: self.era, revision }
    }

    /// Splits the update into ones that fit into datagrams, each beginning where the one before ends.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::change_word::{StoreChangeMessage, StoreChange, StoreChangeEvent};
    /// use quillcove_core::relay::published::{StoreEvent, StorePart};
    ///
    /// let gone = |revision| StoreChange {
    ///     revision,
    ///     event: StoreChangeEvent::Published(StoreEvent::ReplicaGone("i".repeat(100))),
    /// };
    /// let update = StoreChangeMessage {
    ///     part: StorePart::Replicas,
    ///     era: 0,
    ///     after: 3,
    ///     revision: 300,
    ///     age: Duration::ZERO,
    ///     changes: (4..104).map(gone).collect(),
    /// };
    /// let updates = update.in_datagrams();
    /// assert!(updates.len() > 1);
    /// assert_eq!(updates[0].revision, updates[1].after);
    /// assert_eq!(updates.last().unwrap().revision, 300);
    /// ```
    pub fn in_datagrams(mut self) -> Vec<Self> {
        // Changes read from the store are in the order of their revisions; this does not rely on it.
        self.changes.sort_by_key(|change| change.revision);
        let changes = std::mem::take(&mut self.changes);
        let end = self.revision;
        let mut updates = Vec::new();
        let mut update = self;
        for change in changes {
            let last = update.changes.last().map_or(update.after, |last| last.revision);
            if last < change.revision && update.changes.len() >= CHANGES_PER_DATAGRAM {
                let changes = std::mem::take(&mut update.changes);
                updates.push(Self { revision: last, changes, ..update });
                update.after = last;
            }
            update.changes.push(change);
        }
        update.revision = end;
        updates.push(update);
        updates
    }
}
