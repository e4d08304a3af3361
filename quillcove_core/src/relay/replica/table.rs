//! The upstreams that are known, by id and by address.

mod attempts;
mod words;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use super::departed::DepartedReplicas;
use super::kept::KeptStandings;
use super::{ReplicaRecord, ReplicaState, ReplicaView};
use crate::ids::{HallName, MonoTime, ServiceName};
use crate::relay::beacon::{AdapterKey, AdapterUse, EngineGauges, EngineReport, ReplicaId};
use crate::relay::reading::{ReadingNorm, ReadingNumber, ReadingPrompt};
use crate::standing::{LeavingSource, UpstreamStanding};

/// All replicas that are known.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, ReplicaView>,
    /// The replicas that are listed at each address: mostly one, and its predecessor until that is gone.
    /// Each report of a loader and each entry of a listing looks one up, so that a search of all would
    /// grow with the square of the fleet.
    by_address: HashMap<SocketAddr, BTreeSet<ReplicaId>>,
    /// What the engines of each service have in common.
    norms: BTreeMap<ServiceName, ReadingNorm>,
    /// Full engines where an adapter went out of use.
    freed: BTreeSet<ReplicaId>,
    /// Halls that are to be emptied.
    emptied: BTreeSet<HallName>,
    /// What replicas without an entry have said of themselves.
    kept: KeptStandings,
    /// Replicas that are gone.
    departed: DepartedReplicas,
}

impl ReplicaTable {
    /// Takes a replica's listing; tells whether it was unknown or changed its state.
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
        let before = self.replicas.get(&record.id).map(|view| view.record.address);
        if let Some(address) = before.filter(|address| *address != record.address) {
            self.leave(address, &record.id);
        }
        self.by_address.entry(record.address).or_default().insert(record.id.clone());
        self.departed.forget(&record.id);
        let is_hall_emptied = self.emptied.contains(&record.hall);
        let id = record.id.clone();
        let is_leaving = record.state == ReplicaState::Draining;
        let is_changed = match self.replicas.get_mut(&id) {
            Some(view) => {
                let is_changed = view.record.state != record.state;
                view.record = record;
                view.is_hall_emptied = is_hall_emptied;
                view.is_doubted = false;
                view.listed_at = now;
                is_changed
            },
            None => {
                let standing = self.kept.take(&id, record.born);
                let view =
                    ReplicaView { standing, is_hall_emptied, ..ReplicaView::new(record, now) };
                self.replicas.insert(id.clone(), view);
                true
            },
        };
        // An older copy of the entry takes nothing of this back.
        if let Some(view) = self.replicas.get_mut(&id).filter(|_| is_leaving) {
            view.standing.note_leaving(LeavingSource::Listing, now);
        }
        is_changed
    }

    /// Notes that a replica's entry is missing, though it may come back: it gets work only where the others of its
    /// service would be too few.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.doubt("i-1");
    /// assert!(!table.get("i-1").unwrap().seems_well(Duration::ZERO));
    /// ```
    pub fn doubt(&mut self, id: &str) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.is_doubted = true;
        }
    }

    /// Tells whether a record is the entry of a replica that is gone, as an older copy of the listing has it, or a
    /// relay that knows less.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::replica::{ReplicaRecord, ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.remove_gone("i-1");
    /// let created = StorePosition { era: 1, ..example_record("i-1").created };
    /// assert!(table.has_departed(&ReplicaRecord { created, ..example_record("i-1") }));
    /// ```
    pub fn has_departed(&self, record: &ReplicaRecord) -> bool {
        self.departed.has(record)
    }

    /// Notes that a hall is to be emptied, so that its replicas get no new work, or is in use again; tells whether
    /// that is news.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.set_emptied("hall-a", true));
    /// assert!(!table.get("i-1").unwrap().is_ready());
    /// ```
    pub fn set_emptied(&mut self, hall: &str, is_emptied: bool) -> bool {
        let is_news = match is_emptied {
            true => self.emptied.insert(hall.to_string()),
            false => self.emptied.remove(hall),
        };
        for view in self.replicas.values_mut().filter(|view| view.record.hall == hall) {
            view.is_hall_emptied = is_emptied;
        }
        is_news
    }

    /// Sets which replicas are in this relay's cell; all are of the services named as lost.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.set_near(BTreeSet::new(), &[]);
    /// assert!(!table.get("i-1").unwrap().is_near);
    /// table.set_near(BTreeSet::new(), &["s".to_string()]);
    /// assert!(table.get("i-1").unwrap().is_near);
    /// ```
    pub fn set_near(&mut self, near: BTreeSet<ReplicaId>, lost: &[ServiceName]) {
        for (id, view) in &mut self.replicas {
            view.is_near = near.contains(id) || lost.contains(&view.record.service);
        }
    }

    /// The halls that are to be emptied.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().emptied().is_empty());
    /// ```
    pub fn emptied(&self) -> &BTreeSet<HallName> {
        &self.emptied
    }

    /// Notes that a replica no longer is at an address.
    fn leave(&mut self, address: SocketAddr, id: &str) {
        let Some(there) = self.by_address.get_mut(&address) else {
            return;
        };
        there.remove(id);
        if there.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// The replicas that are listed at an address.
    fn all_at(&self, address: SocketAddr) -> impl Iterator<Item = &ReplicaView> {
        let ids = self.by_address.get(&address).into_iter().flatten();
        ids.filter_map(|id| self.replicas.get(id))
    }

    /// Forgets a replica that has gone; tells whether it was known.
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
        self.leave(view.record.address, id);
        if view.standing != UpstreamStanding::default() {
            *self.kept.of(id, view.record.born) = view.standing;
        }
        true
    }

    /// Forgets a replica whose entry is gone, so that its entry is not taken from an older listing.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(!ReplicaTable::default().remove_gone("i-1"));
    /// ```
    pub fn remove_gone(&mut self, id: &str) -> bool {
        if let Some(view) = self.replicas.get(id) {
            self.departed.note(&view.record);
        }
        self.remove(id)
    }

    /// One replica.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().get("i-1").is_none());
    /// ```
    pub fn get(&self, id: &str) -> Option<&ReplicaView> {
        self.replicas.get(id)
    }

    /// All replicas, in no order.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert_eq!(ReplicaTable::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = &ReplicaView> {
        self.replicas.values()
    }

    /// The replica that listens at an address now: of several, the one that was listed last.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().at("127.0.0.1:1".parse().unwrap()).is_none());
    /// ```
    pub fn at(&self, address: SocketAddr) -> Option<&ReplicaView> {
        self.all_at(address).max_by_key(|view| view.record.created)
    }

    /// Forgets the replicas that listened at a replica's address before it; gives their ids.
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
        let is_before = |view: &&ReplicaView| {
            view.record.id != record.id && view.record.created < record.created
        };
        let there = self.all_at(record.address).filter(is_before);
        let before: Vec<ReplicaId> = there.map(|view| view.record.id.clone()).collect();
        for id in &before {
            self.remove_gone(id);
        }
        before
    }

    /// Takes a loader's report on the engine at an address; tells whether the adapters changed.
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
        view.reported_leaving = match report.is_leaving {
            true => view.reported_leaving.or(Some(now)),
            false => None,
        };
        view.report = Some((report, now));
        view.sent_since = 0;
        is_changed
    }

    /// Takes an engine's gauges into its loader's last report, which is as good as new with them;
    /// `false` when there is none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineGauges;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let engine = "127.0.0.1:1".parse().unwrap();
    /// let gauges = EngineGauges::default();
    /// assert!(!ReplicaTable::default().gauge(engine, &gauges, Duration::ZERO));
    /// ```
    pub fn gauge(&mut self, address: SocketAddr, gauges: &EngineGauges, now: MonoTime) -> bool {
        let id = self.at(address).map(|view| view.record.id.clone());
        let Some(view) = id.and_then(|id| self.replicas.get_mut(&id)) else {
            return false;
        };
        let Some((report, heard)) = &mut view.report else {
            return false;
        };
        report.running = gauges.running;
        report.waiting = gauges.waiting;
        report.is_busy = gauges.is_busy;
        *heard = now;
        view.reading.report(gauges.waiting);
        view.sent_since = 0;
        true
    }

    /// What the engines of a service have in common.
    ///
    /// ```
    /// quillcove_core::relay::replica::ReplicaTable::default().norm("s");
    /// ```
    pub fn norm(&self, service: &str) -> ReadingNorm {
        self.norms.get(service).copied().unwrap_or_default()
    }

    /// Notes that a prompt is sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::ReadingPrompt;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let prompt = ReadingPrompt { tokens: 1000, rank: 0 };
    /// ReplicaTable::default().begin_reading("i-1", 1, prompt, Duration::ZERO);
    /// ```
    pub fn begin_reading(
        &mut self,
        id: &str,
        number: ReadingNumber,
        prompt: ReadingPrompt,
        now: MonoTime,
    ) {
        if let Some(view) = self.replicas.get_mut(id) {
            let norm = self.norms.entry(view.record.service.clone()).or_default();
            norm.note_prompt(prompt.tokens);
            view.reading.begin(number, prompt, norm, now);
        }
    }

    /// Notes that an attempt has its first event at this time, or has ended without one.
    ///
    /// ```
    /// quillcove_core::relay::replica::ReplicaTable::default().end_reading("i-1", 1, None);
    /// ```
    pub fn end_reading(&mut self, id: &str, number: ReadingNumber, read_at: Option<MonoTime>) {
        if let Some(view) = self.replicas.get_mut(id) {
            let norm = self.norms.entry(view.record.service.clone()).or_default();
            view.reading.end(number, read_at, norm);
        }
    }

    /// Takes how many adapters the engine at an address can take in, and how much all relays use those
    /// that it holds; tells whether there is room now and was none before.
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
        spare: Option<u32>,
        fleet_uses: Vec<u32>,
    ) -> bool {
        let id = self.at(address).map(|view| view.record.id.clone());
        let Some(view) = id.and_then(|id| self.replicas.get_mut(&id)) else {
            return false;
        };
        let had_none = view.spare_places == Some(0);
        view.spare_places = spare;
        view.fleet_uses = fleet_uses;
        had_none && spare != Some(0)
    }

    /// Engines without a place for another adapter where this process has stopped to use one since the
    /// last call. Their loaders are to hear of it before the next regular beacon.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(ReplicaTable::default().take_freed().is_empty());
    /// ```
    pub fn take_freed(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.freed).into_iter().collect()
    }

    /// Tells whether [`Self::take_freed`] would give any.
    ///
    /// ```
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// assert!(!ReplicaTable::default().has_freed());
    /// ```
    pub fn has_freed(&self) -> bool {
        !self.freed.is_empty()
    }

    /// Use of each engine's adapters since the last call; what is not used any more is left out.
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
        for used in view.uses.values_mut() {
            used.sent = 0;
        }
        uses
    }

    /// Drops the adapter from what a replica is taken to hold, after the replica said that it
    /// does not have it.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::replica::ReplicaTable;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// ReplicaTable::default().lacks("i-1", &key);
    /// ```
    pub fn lacks(&mut self, id: &str, key: &AdapterKey) {
        if let Some(view) = self.replicas.get_mut(id) {
            view.record.adapters.retain(|held| held.key != *key);
            if let Some((report, _)) = &mut view.report {
                report.adapters.retain(|held| held.key != *key);
            }
        }
    }
}
