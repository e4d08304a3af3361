//! State published by the platform: the configuration, the adapter versions and the list of replicas, read from the
//! store or received from another relay.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::{RelayMachine, StateChange};
use crate::ids::{AdapterKey, AdapterVersion, HallName, MonoTime, ReplicaId};
use crate::relay::beacon::HeldAdapter;
use crate::relay::knowledge::StoreKnowledge;
use crate::relay::position::{ReadPositions, StorePosition};
use crate::relay::published::{LeavingReplica, PublishedState, StorePart};
use crate::relay::replica::{RecordOrder, ReplicaRecord};
use crate::relay::sheet::PublishedConfig;

/// Time within which requests may still begin on an adapter version after a newer one was published. The requirements
/// allow 5 s; the rest is for requests in transit.
const VERSION_GRACE: Duration = Duration::from_secs(3);

impl RelayMachine {
    /// Applies a configuration unless one of the same or a higher version is in force. Returns whether it was applied.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let sheet = |version| PublishedConfig::new(version, vec![], vec![], CallerLimits::default());
    /// assert!(machine.apply_configuration(sheet(2)));
    /// assert!(!machine.apply_configuration(sheet(1)));
    /// ```
    pub fn apply_configuration(&mut self, sheet: PublishedConfig) -> bool {
        let is_newer = self.sheet.as_ref().is_none_or(|held| sheet.version > held.version);
        if is_newer {
            self.history.forget_changed(sheet.routes().map(Arc::as_ref));
            self.run_times.retain(|name, _| sheet.routes().any(|route| route.name == *name));
            // The next tick notes the routes of this configuration.
            self.origins_due = MonoTime::ZERO;
            self.sheet = Some(Arc::new(sheet));
        }
        is_newer
    }

    /// Applies the newest version of an adapter. The older version stays usable for a grace period only if `is_fresh`:
    /// a version that was published before this process began to watch the store gets none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.take_version(key.clone(), 2, true, Duration::ZERO);
    /// assert_eq!(machine.newest(&key), Some(2));
    /// ```
    pub fn take_version(
        &mut self,
        key: AdapterKey,
        version: AdapterVersion,
        is_fresh: bool,
        now: MonoTime,
    ) {
        let known = self.versions.get(&key).map_or(0, |(version, _)| *version);
        if version > known {
            let strict_from = if is_fresh { now + VERSION_GRACE } else { now };
            self.versions.insert(key, (version, strict_from));
        }
    }

    /// Marks a hall as evacuated or as in use. Returns the change, if any.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{StateChange, RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let change = machine.set_evacuated("hall-a", true);
    /// assert_eq!(change, Some(StateChange::HallEvacuated("hall-a".into())));
    /// ```
    pub fn set_evacuated(&mut self, hall: &str, is_emptied: bool) -> Option<StateChange> {
        self.doubt.end_hall(hall);
        let has_changed = self.table.set_evacuated(hall, is_emptied);
        let change = match is_emptied {
            true => StateChange::HallEvacuated(hall.to_string()),
            false => StateChange::HallInUse(hall.to_string()),
        };
        has_changed.then_some(change)
    }

    /// Applies the complete list of evacuated halls. All others are in use, except for those that may be missing only
    /// because the store was restored from an older copy.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.set_evacuated("hall-a", true);
    /// assert_eq!(machine.set_all_emptied(&[], Duration::ZERO).len(), 1);
    /// ```
    pub fn set_all_emptied(&mut self, emptied: &[HallName], now: MonoTime) -> Vec<StateChange> {
        let known = self.table.emptied().iter();
        let missing: Vec<HallName> =
            known.filter(|hall| !emptied.contains(hall)).cloned().collect();
        let mut changes = Vec::new();
        for hall in missing {
            match self.doubt.end(now) {
                Some(until) => self.doubt.note_hall(hall, until),
                None => changes.extend(self.set_evacuated(&hall, false)),
            }
        }
        changes.extend(emptied.iter().filter_map(|hall| self.set_evacuated(hall, true)));
        changes
    }

    /// Applies a replica's entry in the platform's list. Replicas that were listed earlier at its address are gone,
    /// although their entries have not expired yet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.list(example_record("i-1"), Duration::ZERO).len(), 1);
    /// ```
    pub fn list(&mut self, record: ReplicaRecord, now: MonoTime) -> Vec<StateChange> {
        let current = self.table.at(record.address);
        if current.is_some_and(|view| record.is_outdated_by(&view.record)) {
            return Vec::new();
        }
        let known = self.table.get(&record.id);
        let order = known.map_or(RecordOrder::SameStart, |known| record.follows(&known.record));
        if order == RecordOrder::Late {
            return Vec::new();
        }
        let was_unconfirmed = self.doubt.end_replica(&record.id);
        let mut changes = Vec::new();
        if order == RecordOrder::Restart {
            self.remove_replica(&record.id);
            changes.push(StateChange::Replaced(record.id.clone()));
        }
        for id in self.table.remove_before(&record) {
            self.doubt.end_replica(&id);
            self.demand.forget_engine(&id);
            changes.push(StateChange::Replaced(id));
        }
        let id = record.id.clone();
        self.listings.note_listed(&record, now);
        let is_changed = self.table.list(record, now);
        // The upstream status reported before the entry expired still applies, but the relays that share its limit may
        // have changed.
        self.update_limit_share(&id, now);
        let is_warming_up = self.apply_warm_up(&id, now);
        if is_changed {
            changes.push(StateChange::Listed(id));
        } else if was_unconfirmed {
            changes.push(StateChange::Returned(id));
        } else if is_warming_up {
            changes.push(StateChange::WarmingUp(id));
        }
        changes
    }

    /// Handles the removal of a replica's entry. While the store is unavailable or has just become available again, the
    /// entry may have expired only because the replica could not renew it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.unlist("i-1", Duration::ZERO), None);
    /// ```
    pub fn unlist(&mut self, id: &str, now: MonoTime) -> Option<StateChange> {
        self.table.get(id)?;
        if let Some(until) = self.doubt.end(now) {
            self.mark_unconfirmed(id, until);
            return Some(StateChange::Unconfirmed(id.to_string()));
        }
        self.remove_gone(id);
        Some(StateChange::Gone(id.to_string()))
    }

    /// Applies the complete list of replicas: those that it lacks are gone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(machine.list_all(Vec::new(), Duration::ZERO).len(), 1);
    /// ```
    pub fn list_all(&mut self, records: Vec<ReplicaRecord>, now: MonoTime) -> Vec<StateChange> {
        let missing = self.missing_in(&records);
        let mut changes: Vec<StateChange> =
            missing.iter().filter_map(|id| self.unlist(id, now)).collect();
        changes.extend(self.list_present(records, now));
        self.update_cells();
        changes
    }

    /// Applies the entries of a complete list, except for those of replicas that are known to be gone: an older copy of
    /// the store, or another relay, may still list them.
    fn list_present(&mut self, records: Vec<ReplicaRecord>, now: MonoTime) -> Vec<StateChange> {
        let mut changes = Vec::new();
        for record in records {
            if !self.table.has_tombstone(&record) {
                changes.extend(self.list(record, now));
            }
        }
        changes
    }

    /// Removes a replica whose entry is gone.
    pub(super) fn remove_gone(&mut self, id: &str) {
        self.table.remove_with_tombstone(id);
        self.doubt.end_replica(id);
        self.demand.forget_engine(id);
    }

    /// Returns the known replicas that are not among `records`.
    fn missing_in(&self, records: &[ReplicaRecord]) -> Vec<ReplicaId> {
        let listed: HashSet<&ReplicaId> = records.iter().map(|record| &record.id).collect();
        let known = self.table.all().map(|view| &view.record.id);
        known.filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Returns everything that this relay knows from the store.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.published(Duration::ZERO).sheet, None);
    /// ```
    pub fn published(&self, now: MonoTime) -> PublishedState {
        let version = |(key, (version, _)): (&AdapterKey, &(AdapterVersion, MonoTime))| {
            HeldAdapter { key: key.clone(), version: *version }
        };
        let summary = self.knowledge.summary(true, Duration::ZERO);
        PublishedState {
            read: summary.read,
            changed: summary.changed,
            since: summary.since,
            proof: self.knowledge.proof(now),
            sheet: self.sheet.as_deref().cloned(),
            versions: self.versions.iter().map(version).collect(),
            emptied: self.table.emptied().iter().cloned().collect(),
            replicas: self.table.all().map(|view| view.record.clone()).collect(),
            lapsed: self.doubt.entries(now),
            leaving: self.draining_replicas().collect(),
        }
    }

    /// Returns the replicas that have reported their own draining, to this relay or to their loaders. Reports received
    /// from other relays are not passed on, so that an error of one relay does not spread beyond the relays that read
    /// its state.
    fn draining_replicas(&self) -> impl Iterator<Item = LeavingReplica> {
        let leaving = self.table.all().filter(|view| view.leaving_since().is_some());
        leaving
            .map(|view| LeavingReplica { replica: view.record.id.clone(), born: view.record.born })
    }

    /// Applies another relay's state of the store, part by part, where it is newer than this relay's. Returns what
    /// changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::position::{ReadPositions, StorePosition};
    /// use quillcove_core::relay::published::PublishedState;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let position = StorePosition::in_first_era(3);
    /// let read = ReadPositions { operator: position, replicas: position };
    /// let published = PublishedState { read, ..PublishedState::default() };
    /// assert!(machine.take_published(published, Duration::ZERO).is_empty());
    /// assert_eq!(machine.read(), read);
    /// ```
    pub fn take_published(
        &mut self,
        mut published: PublishedState,
        now: MonoTime,
    ) -> Vec<StateChange> {
        let mut changes = Vec::new();
        if let Some(sheet) = published.sheet.take() {
            let version = sheet.version;
            if self.apply_configuration(sheet) {
                changes.push(StateChange::Configuration(version));
            }
        }
        for held in std::mem::take(&mut published.versions) {
            self.take_version(held.key, held.version, true, now);
        }
        for leaving in std::mem::take(&mut published.leaving) {
            self.table.record_reported_draining(&leaving.replica, leaving.born, now);
        }
        let known = self.read();
        self.enter_era(published.read.operator.era.max(published.read.replicas.era), now);
        if published.read.operator > known.operator {
            changes.extend(self.set_all_emptied(&published.emptied, now));
        }
        self.record_received(StorePart::Operator, &published);
        // The other relay may be ahead on the operator's part and behind on the replicas.
        if published.read.replicas <= known.replicas {
            return changes;
        }
        self.record_received(StorePart::Replicas, &published);
        let is_later_era = known.replicas.precedes_era(published.read.replicas.era);
        for id in self.missing_in(&published.replicas) {
            // Within an era, the other relay has read the removal: it would still list a replica that is unconfirmed.
            if !is_later_era {
                self.remove_gone(&id);
                changes.push(StateChange::Gone(id));
            } else {
                changes.extend(self.unlist(&id, now));
            }
        }
        changes.extend(self.list_present(published.replicas, now));
        // Replicas that are unconfirmed there are unconfirmed here too: the removal of their entries precedes the
        // position from which this relay reads on, so it would never learn of it.
        for entry in published.lapsed {
            if self.table.get(&entry.replica).is_some() {
                self.mark_unconfirmed(&entry.replica, now + entry.left);
            }
        }
        self.update_cells();
        changes
    }

    /// Records the positions of a part in another relay's state. What changed in it has changed for this relay too, so
    /// that a third relay does not adopt this relay's revision without the change.
    fn record_received(&mut self, part: StorePart, published: &PublishedState) {
        self.knowledge.note_position(part, published.read.of(part));
        self.knowledge.note_change(part, published.changed.of(part));
        self.knowledge.note_whole(part, published.since.of(part));
    }

    /// Returns the store positions up to which this relay knows each part.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).read().operator, StorePosition::default());
    /// ```
    pub fn read(&self) -> ReadPositions {
        self.knowledge.read()
    }

    /// Returns what this relay knows of the store, and since when.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::position::StorePosition;
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.knowledge().read().operator, StorePosition::default());
    /// ```
    pub fn knowledge(&self) -> &StoreKnowledge {
        &self.knowledge
    }

    /// Returns mutable access to this knowledge, to record positions that were read or received from other relays.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.knowledge_mut().note_change(StorePart::Operator, StorePosition::in_first_era(5));
    /// ```
    pub fn knowledge_mut(&mut self) -> &mut StoreKnowledge {
        &mut self.knowledge
    }

    /// Records the store position up to which this relay has read a part.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let position = StorePosition { era: 1, revision: 5 };
    /// machine.note_read(StorePart::Operator, position);
    /// assert_eq!(machine.read().operator, position);
    /// ```
    pub fn note_read(&mut self, part: StorePart, position: StorePosition) {
        self.knowledge.note_position(part, position);
    }
}
