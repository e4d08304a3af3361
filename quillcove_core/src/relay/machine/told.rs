//! Applies single changes of the store, as this relay reads them or as another relay sends them.

use super::{RelayMachine, StateChange};
use crate::ids::MonoTime;
use crate::relay::beacon::HeldAdapter;
use crate::relay::change_word::{StoreChange, StoreChangeEvent, StoreChangeMessage};
use crate::relay::published::{StoreEvent, StorePart};
use crate::relay::replica::ReplicaRecord;
use crate::relay::sheet_change::ConfigChange;

/// The result of a store change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventEffect {
    /// Changes of this relay's state.
    pub changes: Vec<StateChange>,
    /// Whether the change is relevant to relays.
    pub matters: bool,
    /// The change in the form to send to other relays; `None` when it is not relevant or has to be read from the store.
    pub update: Option<StoreChangeEvent>,
}

impl RelayMachine {
    /// Applies one change of the store. `is_whole` says that it comes from a read of the whole store, so that it may be
    /// an old change.
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
        let told = event_to_send(&event);
        // After the store was restored from an older copy, a change that the operator writes again may be known here
        // already, but not to relays that have read the older copy.
        let mut matters = !is_whole && event.part() == StorePart::Operator;
        let mut sheet_change = None;
        let changes: Vec<StateChange> = match event {
            StoreEvent::Sheet(sheet) => {
                let version = sheet.version;
                let before = self.sheet.clone();
                let is_applied = self.apply_configuration(*sheet);
                let after = self.sheet.as_ref();
                sheet_change = before
                    .zip(after)
                    .filter(|_| is_applied)
                    .and_then(|(old, new)| ConfigChange::between(&old, new));
                is_applied.then_some(StateChange::Configuration(version)).into_iter().collect()
            },
            StoreEvent::Version(key, version) => {
                let has_changed = self.newest(&key) != Some(version);
                self.take_version(key.clone(), version, !is_whole, now);
                let change = StateChange::Version(HeldAdapter { key, version });
                has_changed.then_some(change).into_iter().collect()
            },
            StoreEvent::HallEmptied(hall) => self.set_evacuated(&hall, true).into_iter().collect(),
            StoreEvent::HallInUse(hall) => self.set_evacuated(&hall, false).into_iter().collect(),
            StoreEvent::Replica(record) => self.list(record, now),
            StoreEvent::ReplicaGone(id) => {
                // The replica may have been removed here for another reason and still be listed by other relays.
                matters = true;
                self.unlist(&id, now).into_iter().collect()
            },
        };
        matters |= !changes.is_empty();
        let told = match sheet_change {
            Some(change) => Some(StoreChangeEvent::Sheet(change)),
            None => self.unconfirmed_entry(&changes, now).or(told),
        };
        EventEffect { update: told.filter(|_| matters), changes, matters }
    }

    /// Returns the entry of an unconfirmed replica in the form to send. Other relays may not know that the store was
    /// unavailable, so the entry is sent as unconfirmed rather than removed.
    fn unconfirmed_entry(
        &self,
        changes: &[StateChange],
        now: MonoTime,
    ) -> Option<StoreChangeEvent> {
        let [StateChange::Unconfirmed(id)] = changes else {
            return None;
        };
        self.doubt.entry(id, now).map(StoreChangeEvent::Lapsed)
    }

    /// Applies store changes that another relay of the hall has read. Returns `None` when this relay lacks the changes
    /// before them, knows them already, or can't decode them, so that it has to read the store itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::change_word::StoreChangeMessage;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let (part, age) = (StorePart::Replicas, Duration::ZERO);
    /// let update = StoreChangeMessage { part, era: 0, after: 3, revision: 5, age, changes: Vec::new() };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.apply_update(&update, Duration::ZERO).is_none());
    /// ```
    pub fn apply_update(
        &mut self,
        update: &StoreChangeMessage,
        now: MonoTime,
    ) -> Option<Vec<StateChange>> {
        let known = self.read().of(update.part);
        let follows = update.begin() <= known && known < update.end();
        if !follows || !self.knowledge.has_read(update.part) {
            return None;
        }
        let mut changes = Vec::new();
        for change in update.changes.iter().filter(|change| change.revision > known.revision) {
            changes.extend(self.apply_received_event(change, now)?);
        }
        let changed = update.changes.iter().map(|change| change.revision).max();
        let changed = changed.map(|revision| update.position(revision));
        self.knowledge.note_told(
            update.part,
            update.end(),
            changed,
            now.saturating_sub(update.age),
        );
        Some(changes)
    }

    fn apply_received_event(
        &mut self,
        change: &StoreChange,
        now: MonoTime,
    ) -> Option<Vec<StateChange>> {
        match &change.event {
            StoreChangeEvent::Published(event) => {
                Some(self.take_event(event.clone(), false, now).changes)
            },
            StoreChangeEvent::Sheet(change) => {
                let sheet = change.apply(self.sheet.as_ref()?)?;
                let event = StoreEvent::Sheet(Box::new(sheet));
                Some(self.take_event(event, false, now).changes)
            },
            StoreChangeEvent::Lapsed(entry) => {
                self.table.get(&entry.replica)?;
                self.mark_unconfirmed(&entry.replica, now + entry.left);
                Some(vec![StateChange::Unconfirmed(entry.replica.clone())])
            },
        }
    }
}

/// Returns a store change in the form to send to other relays; `None` for a whole configuration, which is too large.
/// The adapters of an engine are left out, since its loader reports them.
fn event_to_send(event: &StoreEvent) -> Option<StoreChangeEvent> {
    match event {
        StoreEvent::Sheet(_) => None,
        StoreEvent::Replica(record) => {
            let record = ReplicaRecord { adapters: Vec::new(), ..record.clone() };
            Some(StoreChangeEvent::Published(StoreEvent::Replica(record)))
        },
        other => Some(StoreChangeEvent::Published(other.clone())),
    }
}
