//! Which engines are in this relay's cell.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{RelayMachine, RelayQuery};
use crate::ids::{HallName, MonoTime, ServiceName};
use crate::relay::beacon::{AdapterKey, ReplicaId};
use crate::relay::cell::{CellPlan, EngineCell};
use crate::relay::demand::BUSY_LOAD;
use crate::relay::replica::ReplicaView;
use crate::rendezvous;

/// Share of an engine's places that are taken from which on requests also go to engines of other cells, if none in the
/// own cell has less.
const SPILL_LOAD: f64 = 1.0;

/// Time between two looks whether the engines are to be divided anew.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

impl RelayMachine {
    /// Divides the engines anew when it is time for a look.
    pub(super) fn tick_cells(&mut self, now: MonoTime) {
        if now >= self.cells_due {
            self.cells_due = now + PLAN_INTERVAL;
            self.plan_cells();
        }
    }

    /// Divides the engines of each service anew, where their number has changed enough.
    pub(super) fn plan_cells(&mut self) {
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
        self.place_in_cells();
    }

    /// Notes of each replica whether it is in this relay's cell. A cell without a replica that takes work is of no use,
    /// so that all of its service are then.
    fn place_in_cells(&mut self) {
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
        let inside: Vec<(ReplicaId, ServiceName, bool)> = self
            .table
            .all()
            .filter(|view| is_in_cell(view))
            .map(|view| (view.record.id.clone(), view.record.service.clone(), view.is_ready()))
            .collect();
        let has_ready =
            |service: &str| inside.iter().any(|(_, other, is_ready)| *is_ready && other == service);
        let lost: Vec<ServiceName> =
            own.keys().filter(|service| !has_ready(service)).map(|it| it.to_string()).collect();
        let near = inside.into_iter().map(|(id, ..)| id).collect();
        self.table.set_near(near, &lost);
    }

    /// How many cells the engines of a service are divided into.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).cell_count("s"), 1);
    /// ```
    pub fn cell_count(&self, service: &str) -> usize {
        self.cells.get(service).map_or(1, CellPlan::count)
    }

    /// Tells whether another relay works with the same engines of a service.
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

    /// Engines of a service in this relay's cell that take new work.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.near_engines("s").count(), 0);
    /// ```
    pub fn near_engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaView> {
        self.ready_engines(service).filter(|view| view.is_near)
    }

    /// The engine that holds an adapter for the whole fleet, until it is used so much that cells have copies of their
    /// own. Without it each cell would bring each adapter that is rarely used. `None` where all engines are one cell,
    /// and when its home is known to be busy.
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

    /// Engines of other cells that hold the adapter of a request, by reports of their loaders to this relay.
    pub(super) fn far_holders(&self, query: &RelayQuery, now: MonoTime) -> Vec<&ReplicaView> {
        if query.adapter.is_none() || self.cell_count(&query.service) == 1 {
            return Vec::new();
        }
        let need = self.need_of(query, now);
        let holds = |view: &&ReplicaView| {
            let is_far = !view.is_near && view.record.service == query.service;
            let is_open = is_far && view.takes_work(now) && view.seems_well(now);
            is_open && view.report(now).is_some() && need.is_met_by(view, now)
        };
        self.table.all().filter(holds).collect()
    }

    /// Of replicas that take work, those of this relay's cell, unless they lack the base model or all are full.
    pub(super) fn prefer_near<'a>(
        &self,
        open: Vec<&'a ReplicaView>,
        model: Option<&str>,
        now: MonoTime,
    ) -> Vec<&'a ReplicaView> {
        let near: Vec<&ReplicaView> = open.iter().filter(|view| view.is_near).copied().collect();
        let holds = |view: &&ReplicaView| {
            model.is_none_or(|model| view.models(now).iter().any(|held| held == model))
        };
        let is_of_use = |view: &&ReplicaView| holds(view) && view.load(now) < SPILL_LOAD;
        match near.len() == open.len() || near.iter().any(is_of_use) {
            true => near,
            false => open,
        }
    }
}
