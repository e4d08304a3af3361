//! Cells of engines: divides the engines of each service among relays and prefers those of this relay's own cell.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{RelayMachine, RelayQuery};
use crate::ids::{AdapterKey, HallName, MonoTime, ReplicaId, ServiceName};
use crate::relay::cell::{CellPlan, EngineCell};
use crate::relay::demand::BUSY_LOAD;
use crate::relay::replica::ReplicaView;
use crate::rendezvous;

/// Load of an engine, as requests per request slot, from which it counts as full. Requests also go to engines of other
/// cells when every engine of the own cell is full.
const SPILL_LOAD: f64 = 1.0;

/// Interval between checks whether the division into cells has to change.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

impl RelayMachine {
    /// Updates the cells if [`PLAN_INTERVAL`] has passed since the last update.
    pub(super) fn tick_cells(&mut self, now: MonoTime) {
        if now >= self.cells_due {
            self.cells_due = now + PLAN_INTERVAL;
            self.update_cells();
        }
    }

    /// Updates the cells of each service from the number of its engines in each hall. A division changes only when
    /// these numbers have changed enough (see [`CellPlan::update`]).
    pub(super) fn update_cells(&mut self) {
        let Some(sheet) = &self.sheet else {
            return;
        };
        let mut engines: BTreeMap<ServiceName, BTreeMap<HallName, usize>> = BTreeMap::new();
        for service in sheet.services().filter(|service| service.engine.is_some()) {
            engines.insert(service.name.clone(), BTreeMap::new());
        }
        for view in self.table.all() {
            if let Some(halls) = engines.get_mut(&view.record.service) {
                *halls.entry(view.record.hall.clone()).or_default() += 1;
            }
        }
        self.cells.retain(|service, _| engines.contains_key(service));
        for (service, halls) in engines {
            self.cells.entry(service).or_default().update(&halls);
        }
        self.mark_near_replicas();
    }

    /// Marks the replicas of this relay's cell. If no replica of the cell is ready, all replicas of the service are
    /// marked, since the cell could not serve any request.
    fn mark_near_replicas(&mut self) {
        let mut own: BTreeMap<&ServiceName, EngineCell> = BTreeMap::new();
        for (service, plan) in self.cells.iter().filter(|(_, plan)| plan.count() > 1) {
            own.insert(service, plan.cell_of(&self.rules.hall, &self.rules.host));
        }
        let is_in_cell = |view: &ReplicaView| match own.get(&view.record.service) {
            Some(own) => self.cells[&view.record.service]
                .cell_of(&view.record.hall, &view.record.address.to_string())
                .eq(own),
            None => true,
        };
        let in_cell: Vec<(ReplicaId, ServiceName, bool)> = self
            .table
            .all()
            .filter(|view| is_in_cell(view))
            .map(|view| (view.record.id.clone(), view.record.service.clone(), view.is_ready()))
            .collect();
        let has_ready = |service: &str| {
            in_cell.iter().any(|(_, other, is_ready)| *is_ready && other == service)
        };
        let without_ready: Vec<ServiceName> =
            own.keys().filter(|service| !has_ready(service)).map(|it| it.to_string()).collect();
        let near = in_cell.into_iter().map(|(id, ..)| id).collect();
        self.table.set_near(near, &without_ready);
    }

    /// Returns the number of cells into which the engines of a service are divided.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).cell_count("s"), 1);
    /// ```
    pub fn cell_count(&self, service: &str) -> usize {
        self.cells.get(service).map_or(1, CellPlan::count)
    }

    /// Returns whether another relay uses the same cell of a service.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.shares_cell("s", "hall-b", "relay-2"));
    /// ```
    pub fn shares_cell(&self, service: &str, hall: &str, host: &str) -> bool {
        let is_same = |plan: &CellPlan| {
            plan.cell_of(hall, host) == plan.cell_of(&self.rules.hall, &self.rules.host)
        };
        self.cells.get(service).is_none_or(is_same)
    }

    /// Returns the ready engines of a service in this relay's cell.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.near_engines("s").count(), 0);
    /// ```
    pub fn near_engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaView> {
        self.ready_engines(service).filter(|view| view.is_in_cell)
    }

    /// Returns the ready engines that may load an adapter for a request: those of this relay's cell, or, for a stream that
    /// has begun, all of its origin.
    pub(super) fn loading_engines<'a>(
        &'a self,
        query: &'a RelayQuery,
    ) -> impl Iterator<Item = &'a ReplicaView> {
        let may_load = |view: &&ReplicaView| match query.origin {
            Some(_) => query.admits(&view.record),
            None => view.is_in_cell,
        };
        self.ready_engines(&query.service).filter(may_load)
    }

    /// Returns the home of an adapter: the one engine that holds it for all cells until it is used enough for copies in
    /// each cell. Without a home, each cell would load its own copy of every rarely used adapter. Returns `None` when
    /// all engines are in one cell, or when the home is known to be busy.
    pub(super) fn home_of(
        &self,
        service: &str,
        key: &AdapterKey,
        now: MonoTime,
    ) -> Option<ReplicaId> {
        if self.cell_count(service) == 1 {
            return None;
        }
        let may_hold = |view: &&ReplicaView| {
            view.takes_work(now) && view.seems_well(now) && view.models(now).contains(&key.model)
        };
        let weight = |view: &&ReplicaView| {
            rendezvous::weight(&key.adapter, &view.record.address.to_string())
        };
        let home = self.ready_engines(service).filter(may_hold).max_by_key(weight)?;
        let is_busy = home.load(now) >= BUSY_LOAD || home.spare_places(now) == Some(0);
        (!is_busy).then(|| home.record.id.clone())
    }

    /// Returns the engines of other cells that hold the adapter of a request, among those whose loaders report to this
    /// relay.
    pub(super) fn far_holders(&self, query: &RelayQuery, now: MonoTime) -> Vec<&ReplicaView> {
        if query.adapter.is_none() || self.cell_count(&query.service) == 1 {
            return Vec::new();
        }
        let need = self.need_of(query, now);
        let unreachable = self.unreachable_engines(&query.service, now);
        let holds = |view: &&ReplicaView| {
            let is_far = !view.is_in_cell && query.admits(&view.record);
            let is_open = is_far && view.takes_work(now) && view.seems_well(now);
            let is_reachable = !unreachable.contains(&view.record.id.as_str());
            is_open && is_reachable && view.report(now).is_some() && need.is_met_by(view, now)
        };
        self.table.all().filter(holds).collect()
    }

    /// Returns the replicas of this relay's cell among those that accept requests, or all of them if every replica of
    /// the cell lacks the base model or is full.
    pub(super) fn prefer_near<'a>(
        &self,
        open: Vec<&'a ReplicaView>,
        model: Option<&str>,
        now: MonoTime,
    ) -> Vec<&'a ReplicaView> {
        let near: Vec<&ReplicaView> = open.iter().filter(|view| view.is_in_cell).copied().collect();
        let holds = |view: &&ReplicaView| {
            model.is_none_or(|model| view.models(now).iter().any(|held| held == model))
        };
        let can_serve = |view: &&ReplicaView| holds(view) && view.load(now) < SPILL_LOAD;
        match near.len() == open.len() || near.iter().any(can_serve) {
            true => near,
            false => open,
        }
    }
}
