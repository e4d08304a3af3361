//! Paces the loads of base models onto engines that have none, within the load rate of the weight store.
//!
//! The load rate coordinator is the relay with the lowest name among those whose heartbeats arrived recently. The loads
//! still permitted by the weight store are counted from the loads that loaders report, so that another relay can take
//! over at any moment without a handover.
//!
//! Where loads of a weight store share its bandwidth, many at once all end late. While few engines of a cell hold a model,
//! only as many loads are under way at once, and one more, so that the first engines serve soon after a loss of all.
//!
//! A model of which an engine's host has a copy is loaded without the weight store. Every relay requests its load at
//! once, without a permit: the loader gives one order however many relays request it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::beacon::{AddressedLoadRequest, EngineHeartbeat, EngineReport, LoadRequest};
use super::machine::RelayMachine;
use super::replica::ReplicaView;
use super::sheet::{EngineRecord, ModelRecord, ServiceRecord};
use crate::ids::{ModelName, MonoTime, ReplicaId};

/// Window over which loads from the weight store are counted.
const PERMIT_WINDOW: Duration = Duration::from_secs(5);

/// Interval after which the load of a base model is requested again at the same engine, unless its loader has reported
/// that the load began.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1500);

/// Time after which a load that is still under way no longer keeps others from beginning, as a multiple of the time of a
/// load while nothing else loads.
const STUCK_LOAD_FACTOR: u32 = 2;

/// Plans and paces the load requests for base models.
///
/// ```
/// use quillcove_core::relay::keeper::LoadRateCoordinator;
///
/// assert_eq!(LoadRateCoordinator::default().window_count(std::time::Duration::ZERO), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadRateCoordinator {
    /// Engines with a recent request to load from the weight store; these requests count in the window.
    requested: BTreeMap<ReplicaId, MonoTime>,
    /// Engines with a recent request to load from their host's copy.
    requested_locally: BTreeMap<ReplicaId, MonoTime>,
    /// When each engine that loads from the weight store was first seen to be loading.
    loading: BTreeMap<ReplicaId, MonoTime>,
    /// Start times of the recent loads of each loader.
    load_starts: BTreeMap<SocketAddr, Vec<MonoTime>>,
    next_permit: MonoTime,
}

impl LoadRateCoordinator {
    /// Applies the start times of loads from a loader's report.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport};
    /// use quillcove_core::relay::keeper::LoadRateCoordinator;
    ///
    /// let mut keeper = LoadRateCoordinator::default();
    /// let beacon = EngineHeartbeat {
    ///     host: "e1".into(),
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     number: 1,
    ///     incarnation: 1,
    ///     report: EngineReport::default(),
    ///     content: 1,
    ///     uses: Vec::new(),
    ///     model_loads: vec![Duration::from_secs(1)],
    ///     spare_places: None,
    ///     arrivals: Vec::new(),
    ///     relays: Vec::new(),
    /// };
    /// keeper.take_report(&beacon, Duration::from_secs(2));
    /// assert_eq!(keeper.window_count(Duration::from_secs(2)), 1);
    /// ```
    pub fn take_report(&mut self, beacon: &EngineHeartbeat, now: MonoTime) {
        let starts = beacon.model_loads.iter().map(|age| now.saturating_sub(*age)).collect();
        self.load_starts.insert(beacon.engine, starts);
    }

    /// Returns the number of loads in the window that ends now, requested loads included.
    ///
    /// ```
    /// use quillcove_core::relay::keeper::LoadRateCoordinator;
    ///
    /// assert_eq!(LoadRateCoordinator::default().window_count(std::time::Duration::ZERO), 0);
    /// ```
    pub fn window_count(&self, now: MonoTime) -> usize {
        let is_recent = |start: &&MonoTime| now.saturating_sub(**start) < PERMIT_WINDOW;
        let begun = self.load_starts.values().flatten().filter(is_recent).count();
        begun + self.requested.len()
    }

    /// Returns the load requests to send now to the engines of this relay's cells. Only the coordinator of a service's
    /// cell may request loads from the weight store, up to an equal share of the store's rate.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::keeper::LoadRateCoordinator;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(LoadRateCoordinator::default().plan_requests(&machine, |_| true, Duration::ZERO).is_empty());
    /// ```
    pub fn plan_requests(
        &mut self,
        machine: &RelayMachine,
        is_coordinator: impl Fn(&str) -> bool,
        now: MonoTime,
    ) -> Vec<AddressedLoadRequest> {
        self.requested.retain(|_, requested| now.saturating_sub(*requested) < REQUEST_INTERVAL);
        self.requested_locally
            .retain(|_, requested| now.saturating_sub(*requested) < REQUEST_INTERVAL);
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        for service in sheet.services() {
            if let Some(engine) = &service.engine {
                let is_coordinator = is_coordinator(&service.name);
                requests.extend(self.request_models(machine, service, engine, is_coordinator, now));
            }
        }
        requests
    }

    /// Requests, for each engine without a base model, the model that the fewest other engines hold.
    fn request_models(
        &mut self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        engine: &EngineRecord,
        is_coordinator: bool,
        now: MonoTime,
    ) -> Vec<AddressedLoadRequest> {
        let mut holders = holder_counts(machine, service, engine, now);
        self.track_loading(machine, service, now);
        let mut free_loads = self.free_loads(machine, service, engine, now);
        let mut requests = Vec::new();
        let cells = machine.cell_count(&service.name);
        for view in machine.near_engines(&service.name) {
            let Some(report) = view.report(now).filter(|report| lacks_model(report)) else {
                continue;
            };
            let id = &view.record.id;
            if self.requested.contains_key(id) || self.requested_locally.contains_key(id) {
                continue;
            }
            let local =
                least_held_model(engine, &holders, |name| report.local_models.contains(name));
            let model = if let Some(model) = local {
                self.requested_locally.insert(id.clone(), now);
                model
            } else if let Some(model) = least_held_model(engine, &holders, |_| is_coordinator) {
                if free_loads == 0 || !self.take_permit(engine, cells, now) {
                    continue;
                }
                free_loads -= 1;
                self.requested.insert(id.clone(), now);
                model
            } else {
                continue;
            };
            *holders.entry(model.name.clone()).or_default() += 1;
            requests.push(model_request(view, engine, model));
        }
        requests
    }

    /// Notes the engines that load a model from the weight store, and forgets those of the service that no longer do.
    fn track_loading(&mut self, machine: &RelayMachine, service: &ServiceRecord, now: MonoTime) {
        for view in machine.near_engines(&service.name) {
            let id = &view.record.id;
            match view.report(now).is_some_and(loads_from_store) {
                true => drop(self.loading.entry(id.clone()).or_insert(now)),
                false => drop(self.loading.remove(id)),
            }
        }
        self.loading.retain(|id, _| machine.table().get(id).is_some());
    }

    /// Returns how many more loads from the weight store may be under way now: as many in all as engines hold a model, and
    /// one more.
    fn free_loads(
        &self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        engine: &EngineRecord,
        now: MonoTime,
    ) -> usize {
        let longest = engine.models.iter().map(|model| model.load_time).max().unwrap_or_default();
        let is_recent = |since: &MonoTime| now.saturating_sub(*since) < longest * STUCK_LOAD_FACTOR;
        let is_under_way = |view: &&ReplicaView| {
            let id = &view.record.id;
            self.requested.contains_key(id) || self.loading.get(id).is_some_and(is_recent)
        };
        let holds = |view: &&ReplicaView| !view.models(now).is_empty();
        let under_way = machine.near_engines(&service.name).filter(is_under_way).count();
        let holders = machine.near_engines(&service.name).filter(holds).count();
        (holders + 1).saturating_sub(under_way)
    }

    /// Takes a permit for one load from the weight store, if the rate allows one. Each of several cells has an equal
    /// share of the permitted loads in the window, rounded down, but at least one load.
    fn take_permit(&mut self, engine: &EngineRecord, cells: usize, now: MonoTime) -> bool {
        let permitted = engine.loads_per_second * PERMIT_WINDOW.as_secs_f64();
        let permitted = match cells {
            0 | 1 => permitted,
            _ => (permitted / cells as f64).floor().max(1.0),
        };
        if now < self.next_permit || self.window_count(now) as f64 >= permitted {
            return false;
        }
        self.next_permit = now + engine.load_pace() * cells.max(1) as u32;
        true
    }
}

/// Returns the number of engines that hold or are loading each base model.
fn holder_counts(
    machine: &RelayMachine,
    service: &ServiceRecord,
    engine: &EngineRecord,
    now: MonoTime,
) -> BTreeMap<ModelName, usize> {
    let count = |name: &ModelName| {
        let engines = machine.near_engines(&service.name);
        engines.filter(|view| view.models(now).contains(name)).count()
    };
    engine.models.iter().map(|model| (model.name.clone(), count(&model.name))).collect()
}

/// Returns the model that the fewest engines hold, among those that pass. Of equal ones it is the first in the
/// configuration, which is the busiest.
fn least_held_model<'a>(
    engine: &'a EngineRecord,
    holders: &BTreeMap<ModelName, usize>,
    passes: impl Fn(&ModelName) -> bool,
) -> Option<&'a ModelRecord> {
    let passing = engine.models.iter().filter(|model| passes(&model.name));
    passing.min_by_key(|model| holders.get(&model.name).copied().unwrap_or(0))
}

fn model_request(
    view: &ReplicaView,
    engine: &EngineRecord,
    model: &ModelRecord,
) -> AddressedLoadRequest {
    let ask = LoadRequest {
        replica: view.record.id.clone(),
        model: model.name.clone(),
        adapter: None,
        version: None,
        places: engine.places_beside(&model.name) as u32,
    };
    AddressedLoadRequest { engine: view.record.address, ask }
}

/// Returns whether an engine is loading its model from the weight store.
fn loads_from_store(report: &EngineReport) -> bool {
    report.models.is_empty() && report.is_busy && report.local_models.is_empty()
}

fn lacks_model(report: &EngineReport) -> bool {
    report.models.is_empty() && !report.is_busy
}
