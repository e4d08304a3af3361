//! The known replicas, by id and by address.

mod attempts;
mod words;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use super::departed::ReplicaTombstones;
use super::kept::UnlistedStatuses;
use super::{AddressOrder, ReplicaRecord, ReplicaState, ReplicaView};
use crate::ids::{AdapterKey, HallName, MonoTime, ReplicaId, ServiceName};
use crate::relay::beacon::{AdapterUse, EngineGauges, EngineReport};
use crate::relay::engine_status::EngineStatus;
use crate::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue, ReadingNumber};
use crate::standing::{LeavingSource, UpstreamStatus};

/// All known replicas.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, ReplicaView>,
    /// The replicas listed at each address: usually one, and its predecessor until that is removed.
    /// Each loader report and each listing entry looks up an address, so that a linear search would
    /// grow with the square of the fleet.
    by_address: HashMap<SocketAddr, BTreeSet<ReplicaId>>,
    /// Reading speed and prompt sizes common to the engines of each service.
    reading_norms: BTreeMap<ServiceName, PrefillAverages>,
    /// Highest number of request slots that a replica of each service was listed with.
    request_slots: BTreeMap<ServiceName, u32>,
    /// Engines whose loaders are to be notified of a changed use of adapters before the next regular heartbeat.
    notified_engines: BTreeSet<ReplicaId>,
    /// Engines whose loaders are to be notified once the interval between two such reports is over.
    deferred_notifications: BTreeSet<ReplicaId>,
    /// Evacuated halls.
    evacuated_halls: BTreeSet<HallName>,
    /// The status that replicas without an entry have reported about themselves.
    unlisted: UnlistedStatuses,
    /// Tombstones of removed replicas.
    tombstones: ReplicaTombstones,
}

impl ReplicaTable {
    /// Records a replica's listing; returns whether the replica was unknown or its state changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// assert!(table.list(example_record("i-1"), Duration::ZERO));
    /// assert!(!table.list(example_record("i-1"), Duration::ZERO));
    /// ```
    pub fn list(&mut self, record: ReplicaRecord, now: MonoTime) -> bool {
        let request_slots = self.request_slots.entry(record.service.clone()).or_default();
        *request_slots = (*request_slots).max(record.places);
        let previous_address = self.replicas.get(&record.id).map(|view| view.record.address);
        if let Some(address) = previous_address.filter(|address| *address != record.address) {
            self.remove_address(address, &record.id);
        }
        self.by_address.entry(record.address).or_default().insert(record.id.clone());
        self.tombstones.remove(&record.id);
        let is_hall_evacuated = self.evacuated_halls.contains(&record.hall);
        let id = record.id.clone();
        let is_leaving = record.state == ReplicaState::Draining;
        let is_changed = match self.replicas.get_mut(&id) {
            Some(view) => {
                let is_changed = view.record.state != record.state;
                view.record = record;
                view.is_hall_evacuated = is_hall_evacuated;
                view.is_unconfirmed = false;
                view.listed_at = now;
                is_changed
            },
            None => {
                let standing = self.unlisted.take(&id, record.born);
                let view =
                    ReplicaView { standing, is_hall_evacuated, ..ReplicaView::new(record, now) };
                self.replicas.insert(id.clone(), view);
                true
            },
        };
        // A later, older copy of the entry does not undo this.
        if let Some(view) = self.replicas.get_mut(&id).filter(|_| is_leaving) {
            view.standing.note_leaving(LeavingSource::Listing, now);
        }
        is_changed
    }

    /// Records that a replica's entry is missing but may come back. Such a replica gets requests
    /// only if the others of its service are too few.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.mark_unconfirmed("i-1");
    /// assert!(!table.get("i-1").unwrap().seems_well(Duration::ZERO));
    /// ```
    pub fn mark_unconfirmed(&mut self, id: &str) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.is_unconfirmed = true;
        }
    }

    /// Tells whether a record is the old entry of a removed replica, from an older copy of the
    /// listing or from a relay that is behind.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.remove_with_tombstone("i-1");
    /// let created = StorePosition { era: 1, ..example_record("i-1").created };
    /// assert!(table.has_tombstone(&ReplicaRecord { created, ..example_record("i-1") }));
    /// ```
    pub fn has_tombstone(&self, record: &ReplicaRecord) -> bool {
        self.tombstones.covers(record)
    }

    /// Records whether a hall is evacuated, so that its replicas get no new requests; returns
    /// whether that changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.set_evacuated("hall-a", true));
    /// assert!(!table.get("i-1").unwrap().is_ready());
    /// ```
    pub fn set_evacuated(&mut self, hall: &str, is_evacuated: bool) -> bool {
        let is_change = match is_evacuated {
            true => self.evacuated_halls.insert(hall.to_string()),
            false => self.evacuated_halls.remove(hall),
        };
        for view in self.replicas.values_mut().filter(|view| view.record.hall == hall) {
            view.is_hall_evacuated = is_evacuated;
        }
        is_change
    }

    /// Sets which replicas belong to this relay's cell. For the services in `lost`, whose cell has
    /// no ready replica, all replicas count as in the cell.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.set_near(BTreeSet::new(), &[]);
    /// assert!(!table.get("i-1").unwrap().is_in_cell);
    /// table.set_near(BTreeSet::new(), &["s".to_string()]);
    /// assert!(table.get("i-1").unwrap().is_in_cell);
    /// ```
    pub fn set_near(&mut self, near: BTreeSet<ReplicaId>, lost: &[ServiceName]) {
        for (id, view) in &mut self.replicas {
            view.is_in_cell = near.contains(id) || lost.contains(&view.record.service);
        }
    }

    /// Returns the evacuated halls.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().emptied().is_empty());
    /// ```
    pub fn emptied(&self) -> &BTreeSet<HallName> {
        &self.evacuated_halls
    }

    /// Removes a replica from the index of an address.
    fn remove_address(&mut self, address: SocketAddr, id: &str) {
        let Some(ids) = self.by_address.get_mut(&address) else {
            return;
        };
        ids.remove(id);
        if ids.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Returns the replicas listed at an address.
    fn replicas_at(&self, address: SocketAddr) -> impl Iterator<Item = &ReplicaView> {
        let ids = self.by_address.get(&address).into_iter().flatten();
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Removes a replica; returns whether it was known.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(!ReplicaTable::default().remove("i-1"));
    /// ```
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(view) = self.replicas.remove(id) else {
            return false;
        };
        self.remove_address(view.record.address, id);
        if view.standing != UpstreamStatus::default() {
            *self.unlisted.status_mut(id, view.record.born) = view.standing;
        }
        true
    }

    /// Removes a replica that is gone for good, and records a tombstone so that an older listing
    /// does not bring its entry back; returns whether the replica was known.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(!ReplicaTable::default().remove_with_tombstone("i-1"));
    /// ```
    pub fn remove_with_tombstone(&mut self, id: &str) -> bool {
        if let Some(view) = self.replicas.get(id) {
            self.tombstones.add(&view.record);
        }
        self.remove(id)
    }

    /// Returns a replica by id.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().get("i-1").is_none());
    /// ```
    pub fn get(&self, id: &str) -> Option<&ReplicaView> {
        self.replicas.get(id)
    }

    /// Returns all replicas, in no particular order.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert_eq!(ReplicaTable::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = &ReplicaView> {
        self.replicas.values()
    }

    /// Returns the replica that listens at an address now: of several, the one that started last.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().at("127.0.0.1:1".parse().unwrap()).is_none());
    /// ```
    pub fn at(&self, address: SocketAddr) -> Option<&ReplicaView> {
        let last = |one, other| match ReplicaRecord::order_at_address(one, other) {
            AddressOrder::Predecessor | AddressOrder::PerhapsPredecessor => other,
            AddressOrder::Successor => one,
        };
        let records = self.replicas_at(address).map(|view| &view.record);
        records.reduce(last).and_then(|record| self.replicas.get(&record.id))
    }

    /// Removes the predecessors of a replica at its address; returns their ids. One that may be running is removed without
    /// a tombstone: it writes its entry again, at any revision.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let created = StorePosition::in_first_era(2);
    /// let next = ReplicaRecord { created, ..example_record("i-2") };
    /// assert_eq!(table.remove_before(&next), ["i-1"]);
    /// ```
    pub fn remove_before(&mut self, record: &ReplicaRecord) -> Vec<ReplicaId> {
        let others = self.replicas_at(record.address).filter(|view| view.record.id != record.id);
        let ordered =
            others.map(|view| (view.record.id.clone(), view.record.order_at_address(record)));
        let ordered: Vec<(ReplicaId, AddressOrder)> = ordered.collect();
        let mut removed = Vec::new();
        for (id, order) in ordered {
            match order {
                AddressOrder::Predecessor => self.remove_with_tombstone(&id),
                AddressOrder::PerhapsPredecessor => self.remove(&id),
                AddressOrder::Successor => continue,
            };
            removed.push(id);
        }
        removed
    }

    /// Records a loader's report on the engine at an address; returns whether the adapters or base
    /// models changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let mut table = ReplicaTable::default();
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// assert!(!table.report(address, EngineReport::default(), Duration::ZERO));
    /// ```
    pub fn report(&mut self, address: SocketAddr, report: EngineReport, now: MonoTime) -> bool {
        let Some(id) = self.at(address).map(|view| view.record.id.clone()) else {
            return false;
        };
        let Some(view) = self.replicas.get_mut(&id) else {
            return false;
        };
        let is_changed = view.adapters(now) != report.adapters || view.models(now) != report.models;
        view.empty_since = match report.models.is_empty() {
            true => view.empty_since.or(Some(now)),
            false => None,
        };
        view.reading.report(report.waiting);
        view.reported_draining_since = match report.is_leaving {
            true => view.reported_draining_since.or(Some(now)),
            false => None,
        };
        view.report = Some((report, now));
        view.sent_since_report = 0;
        is_changed
    }

    /// Updates the loader's last report with an engine's gauges and renews its age; returns `false`
    /// if there is no report.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineGauges;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let engine = "127.0.0.1:1".parse().unwrap();
    /// let gauges = EngineGauges::default();
    /// assert!(!ReplicaTable::default().record_gauges(engine, &gauges, Duration::ZERO));
    /// ```
    pub fn record_gauges(
        &mut self,
        address: SocketAddr,
        gauges: &EngineGauges,
        now: MonoTime,
    ) -> bool {
        let id = self.at(address).map(|view| view.record.id.clone());
        let Some(view) = id.and_then(|id| self.replicas.get_mut(&id)) else {
            return false;
        };
        let Some((report, received_at)) = &mut view.report else {
            return false;
        };
        report.running = gauges.running;
        report.waiting = gauges.waiting;
        report.is_busy = gauges.is_busy;
        *received_at = now;
        view.reading.report(gauges.waiting);
        view.sent_since_report = 0;
        true
    }

    /// Returns the reading speed and prompt sizes common to the engines of a service.
    ///
    /// ```
    /// quillcove_core::relay::replica::ReplicaTable::default().norm("s");
    /// ```
    pub fn norm(&self, service: &str) -> PrefillAverages {
        self.reading_norms.get(service).copied().unwrap_or_default()
    }

    /// Records that a prompt is sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::PrefillPrompt;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let prompt = PrefillPrompt { tokens: 1000, rank: 0 };
    /// ReplicaTable::default().begin_reading("i-1", 1, prompt, Duration::ZERO);
    /// ```
    pub fn begin_reading(
        &mut self,
        id: &str,
        number: ReadingNumber,
        prompt: PrefillPrompt,
        now: MonoTime,
    ) {
        if let Some(view) = self.replicas.get_mut(id) {
            let norm = self.reading_norms.entry(view.record.service.clone()).or_default();
            norm.note_prompt(prompt.tokens);
            view.reading.begin(number, prompt, norm, now);
        }
    }

    /// Records the time of an attempt's first event, or `None` if it ended without one.
    ///
    /// ```
    /// quillcove_core::relay::replica::ReplicaTable::default().end_reading("i-1", 1, None);
    /// ```
    pub fn end_reading(&mut self, id: &str, number: ReadingNumber, read_at: Option<MonoTime>) {
        if let Some(view) = self.replicas.get_mut(id) {
            let norm = self.reading_norms.entry(view.record.service.clone()).or_default();
            view.reading.end(number, read_at, norm);
        }
    }

    /// Records the number of free adapter slots of the engine at an address, and all relays'
    /// requests in flight for each adapter that it holds; returns whether slots are free now and
    /// were not before.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// assert!(!ReplicaTable::default().note_spare(address, Some(2), Vec::new()));
    /// ```
    pub fn note_spare(
        &mut self,
        address: SocketAddr,
        free_slots: Option<u32>,
        fleet_uses: Vec<u32>,
    ) -> bool {
        let id = self.at(address).map(|view| view.record.id.clone());
        let Some(view) = id.and_then(|id| self.replicas.get_mut(&id)) else {
            return false;
        };
        let had_no_slot = view.free_slots == Some(0);
        view.free_slots = free_slots;
        view.fleet_uses = fleet_uses;
        had_no_slot && free_slots != Some(0)
    }

    /// Returns the engines whose loaders are to be notified before the next regular heartbeat: those
    /// without a free adapter slot on which this process has stopped using an adapter since the last
    /// call, and those of [`Self::notify_use`].
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().take_freed().is_empty());
    /// ```
    pub fn take_freed(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.notified_engines).into_iter().collect()
    }

    /// Tells whether [`Self::take_freed`] would return any engine.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(!ReplicaTable::default().has_freed());
    /// ```
    pub fn has_freed(&self) -> bool {
        !self.notified_engines.is_empty()
    }

    /// Drops an engine's adapters that this process no longer uses, and returns its use of the
    /// others since the last call.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().take_uses("i-1").is_empty());
    /// ```
    pub fn take_uses(&mut self, id: &str) -> Vec<AdapterUse> {
        let Some(view) = self.replicas.get_mut(id) else {
            return Vec::new();
        };
        view.uses.retain(|_, used| used.sent > 0 || used.in_flight > 0);
        let uses = view.uses.values().cloned().collect();
        let in_use = view.uses.values().filter(|used| used.in_flight > 0);
        self.deferred_notifications.remove(id);
        view.reported_uses = in_use.map(|used| used.key.clone()).collect();
        for used in view.uses.values_mut() {
            used.sent = 0;
        }
        uses
    }

    /// Removes an adapter from what a replica is known to hold, after the replica answered that it
    /// does not have it.
    ///
    /// ```
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// ReplicaTable::default().remove_adapter("i-1", &key);
    /// ```
    pub fn remove_adapter(&mut self, id: &str, key: &AdapterKey) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.record.adapters.retain(|held| held.key != *key);
            if let Some((report, _)) = &mut view.report {
                report.adapters.retain(|held| held.key != *key);
            }
        }
    }

    /// Returns the prefill queue of a replica.
    pub(in crate::relay) fn reading_mut(&mut self, id: &str) -> Option<&mut PrefillQueue> {
        self.replicas.get_mut(id).map(|view| &mut view.reading)
    }

    /// Records the status of an engine; one that was sent before the known one is ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::engine_status::{EngineStatus, PendingPrompts};
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let engine = table.get("i-1").unwrap().record.address;
    /// let status = EngineStatus { number: 2, ..EngineStatus::unknown(engine) };
    /// assert!(table.record_status(status.clone(), Duration::ZERO));
    /// assert!(!table.record_status(EngineStatus { number: 1, ..status }, Duration::ZERO));
    /// ```
    pub fn record_status(&mut self, status: EngineStatus, now: MonoTime) -> bool {
        let id = self.at(status.engine).map(|view| view.record.id.clone());
        let Some(view) = id.and_then(|id| self.replicas.get_mut(&id)) else {
            return false;
        };
        let is_late = view.status.as_ref().is_some_and(|(known, _)| {
            known.incarnation == status.incarnation && known.number >= status.number
        });
        if !is_late {
            let norm = self.reading_norms.entry(view.record.service.clone()).or_default();
            view.reading.record_status(&status, norm, now);
            view.status = Some((status, now));
        }
        !is_late
    }

    /// Returns the highest number of request slots that a replica of a service was listed with.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// assert_eq!(table.request_slots("s"), None);
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(table.request_slots("s"), Some(8));
    /// ```
    pub fn request_slots(&self, service: &str) -> Option<u32> {
        self.request_slots.get(service).copied()
    }
}
