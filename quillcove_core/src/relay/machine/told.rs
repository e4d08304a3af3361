//! Changes of what the platform publishes: one by one, as the store names them or as another relay tells them.

use super::{BeliefChange, RelayMachine};
use crate::ids::MonoTime;
use crate::relay::beacon::HeldAdapter;
use crate::relay::change_word::{ChangeBeacon, ToldChange, ToldEvent};
use crate::relay::published::{StoreEvent, StorePart};
use crate::relay::replica::ReplicaRecord;
use crate::relay::sheet_change::SheetChange;

/// What a change of the store has led to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventEffect {
    /// What this relay believes now.
    pub changes: Vec<BeliefChange>,
    /// Whether it matters to relays.
    pub matters: bool,
    /// How to tell it to others; `None` when it doesn't matter or can only be read.
    pub told: Option<ToldEvent>,
}

impl RelayMachine {
    /// Takes one change of the store. `is_whole` says that it was read among all that is there, so that it may be old.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::published::StoreEvent;
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let event = StoreEvent::Replica(example_record("i-1"));
    /// assert!(machine.take_event(event.clone(), false, Duration::ZERO).matters);
    /// assert!(!machine.take_event(event, false, Duration::ZERO).matters);
    /// ```
    pub fn take_event(&mut self, event: StoreEvent, is_whole: bool, now: MonoTime) -> EventEffect {
        let told = told_as(&event);
        // What the operator writes again after the store came back older may be known here already, and not to relays
        // that have read the copy.
        let mut matters = !is_whole && event.part() == StorePart::Operator;
        let mut sheet_change = None;
        let changes: Vec<BeliefChange> = match event {
            StoreEvent::Sheet(sheet) => {
                let version = sheet.version;
                let before = self.sheet.clone();
                let is_taken = self.take_sheet(*sheet);
                let after = self.sheet.as_ref();
                sheet_change = before
                    .zip(after)
                    .filter(|_| is_taken)
                    .and_then(|(old, new)| SheetChange::between(&old, new));
                is_taken.then_some(BeliefChange::Sheet(version)).into_iter().collect()
            },
            StoreEvent::Version(key, version) => {
                let is_news = self.newest(&key) != Some(version);
                self.take_version(key.clone(), version, !is_whole, now);
                let change = BeliefChange::Version(HeldAdapter { key, version });
                is_news.then_some(change).into_iter().collect()
            },
            StoreEvent::HallEmptied(hall) => self.set_emptied(&hall, true).into_iter().collect(),
            StoreEvent::HallInUse(hall) => self.set_emptied(&hall, false).into_iter().collect(),
            StoreEvent::Replica(record) => self.list(record, now),
            StoreEvent::ReplicaGone(id) => {
                // It may be gone here already for another reason, and still be listed elsewhere.
                matters = true;
                self.unlist(&id, now).into_iter().collect()
            },
        };
        matters |= !changes.is_empty();
        let told = match sheet_change {
            Some(change) => Some(ToldEvent::Sheet(change)),
            None => self.as_lapsed(&changes, now).or(told),
        };
        EventEffect { told: told.filter(|_| matters), changes, matters }
    }

    /// An entry whose replica is only in doubt is told as such: others may not know that the store was away.
    fn as_lapsed(&self, changes: &[BeliefChange], now: MonoTime) -> Option<ToldEvent> {
        let [BeliefChange::Doubted(id)] = changes else {
            return None;
        };
        self.doubt.entry(id, now).map(ToldEvent::Lapsed)
    }

    /// Takes what another relay of the hall tells of changes that it has read; `None` when this relay lacks what was
    /// before them, knows them, or can't make them out, so that it has to read for itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::change_word::ChangeBeacon;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let (part, age) = (StorePart::Replicas, Duration::ZERO);
    /// let word = ChangeBeacon { part, era: 0, after: 3, revision: 5, age, changes: Vec::new() };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.take_told(&word, Duration::ZERO).is_none());
    /// ```
    pub fn take_told(&mut self, word: &ChangeBeacon, now: MonoTime) -> Option<Vec<BeliefChange>> {
        let known = self.read().of(word.part);
        let follows = word.begin() <= known && known < word.end();
        if !follows || !self.knowledge.has_read(word.part) {
            return None;
        }
        let mut changes = Vec::new();
        for change in word.changes.iter().filter(|change| change.revision > known.revision) {
            changes.extend(self.take_told_event(change, now)?);
        }
        let changed = word.changes.iter().map(|change| change.revision).max();
        let changed = changed.map(|revision| word.position(revision));
        self.knowledge.note_told(word.part, word.end(), changed, now.saturating_sub(word.age));
        Some(changes)
    }

    fn take_told_event(&mut self, change: &ToldChange, now: MonoTime) -> Option<Vec<BeliefChange>> {
        match &change.event {
            ToldEvent::Published(event) => Some(self.take_event(event.clone(), false, now).changes),
            ToldEvent::Sheet(change) => {
                let sheet = change.apply(self.sheet.as_ref()?)?;
                let event = StoreEvent::Sheet(Box::new(sheet));
                Some(self.take_event(event, false, now).changes)
            },
            ToldEvent::Lapsed(entry) => {
                self.table.get(&entry.replica)?;
                self.doubt_replica(&entry.replica, now + entry.left);
                Some(vec![BeliefChange::Doubted(entry.replica.clone())])
            },
        }
    }
}

/// A change as it is told to others; `None` for a whole sheet, which is too large. What an engine holds is told by its
/// loader.
fn told_as(event: &StoreEvent) -> Option<ToldEvent> {
    match event {
        StoreEvent::Sheet(_) => None,
        StoreEvent::Replica(record) => {
            let record = ReplicaRecord { adapters: Vec::new(), ..record.clone() };
            Some(ToldEvent::Published(StoreEvent::Replica(record)))
        },
        other => Some(ToldEvent::Published(other.clone())),
    }
}
