//! Base models for engines that have none, within the weight store's rate.
//!
//! The keeper is the relay with the lowest name among those heard lately. What the weight store
//! still permits is counted from the loads that the loaders report, so that another relay can take
//! over at any moment with nothing handed on.
//!
//! A model that an engine's host has a copy of takes nothing from the weight store. Every relay asks
//! for it at once, without a permit: the loader gives one order, whoever asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::beacon::{AddressedAsk, EngineBeacon, EngineReport, LoadAsk, ReplicaId};
use super::machine::RelayMachine;
use super::replica::ReplicaView;
use super::sheet::{EngineRecord, ModelRecord, ServiceRecord};
use crate::ids::{ModelName, MonoTime};

/// Window over which the weight store's permits are counted.
const PERMIT_WINDOW: Duration = Duration::from_secs(5);

/// Time within which a base model is not asked for again at the same engine, unless its loader
/// reports that the load has begun before.
const ASK_INTERVAL: Duration = Duration::from_millis(1500);

/// Paces the loads of base models.
///
/// ```
/// use quillcove_core::relay::keeper::ModelKeeper;
///
/// assert_eq!(ModelKeeper::default().window_count(std::time::Duration::ZERO), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ModelKeeper {
    /// Engines that were asked to load from the weight store; these asks count in the window.
    asked: BTreeMap<ReplicaId, MonoTime>,
    /// Engines that were asked to load from their host's copy.
    asked_locally: BTreeMap<ReplicaId, MonoTime>,
    /// Loads that each loader began lately, by the time at which they began.
    begun: BTreeMap<SocketAddr, Vec<MonoTime>>,
    next_permit: MonoTime,
}

impl ModelKeeper {
    /// Takes from a loader's report which loads it began.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineBeacon, EngineReport};
    /// use quillcove_core::relay::keeper::ModelKeeper;
    ///
    /// let mut keeper = ModelKeeper::default();
    /// let beacon = EngineBeacon {
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
    pub fn take_report(&mut self, beacon: &EngineBeacon, now: MonoTime) {
        let began = beacon.model_loads.iter().map(|age| now.saturating_sub(*age)).collect();
        self.begun.insert(beacon.engine, began);
    }

    /// Loads that count in the window which ends now, asked ones included.
    ///
    /// ```
    /// use quillcove_core::relay::keeper::ModelKeeper;
    ///
    /// assert_eq!(ModelKeeper::default().window_count(std::time::Duration::ZERO), 0);
    /// ```
    pub fn window_count(&self, now: MonoTime) -> usize {
        let is_recent = |began: &&MonoTime| now.saturating_sub(**began) < PERMIT_WINDOW;
        let begun = self.begun.values().flatten().filter(is_recent).count();
        begun + self.asked.len()
    }

    /// The asks to send now for the engines of this relay's cells. Only the keeper of a service's cell may ask for loads
    /// from the weight store, for an even part of what the store permits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::keeper::ModelKeeper;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(ModelKeeper::default().plan(&machine, |_| true, Duration::ZERO).is_empty());
    /// ```
    pub fn plan(
        &mut self,
        machine: &RelayMachine,
        is_keeper: impl Fn(&str) -> bool,
        now: MonoTime,
    ) -> Vec<AddressedAsk> {
        self.asked.retain(|_, asked| now.saturating_sub(*asked) < ASK_INTERVAL);
        self.asked_locally.retain(|_, asked| now.saturating_sub(*asked) < ASK_INTERVAL);
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let mut asks = Vec::new();
        for service in sheet.services() {
            if let Some(engine) = &service.engine {
                let is_keeper = is_keeper(&service.name);
                asks.extend(self.ask_models(machine, service, engine, is_keeper, now));
            }
        }
        asks
    }

    /// Engines that hold no base model get the one that the fewest others hold.
    fn ask_models(
        &mut self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        engine: &EngineRecord,
        is_keeper: bool,
        now: MonoTime,
    ) -> Vec<AddressedAsk> {
        let mut holders = holder_counts(machine, service, engine, now);
        let mut asks = Vec::new();
        let cells = machine.cell_count(&service.name);
        for view in machine.near_engines(&service.name) {
            let Some(report) = view.report(now).filter(|report| lacks_model(report)) else {
                continue;
            };
            let id = &view.record.id;
            if self.asked.contains_key(id) || self.asked_locally.contains_key(id) {
                continue;
            }
            let local = scarcest(engine, &holders, |name| report.local_models.contains(name));
            let model = if let Some(model) = local {
                self.asked_locally.insert(id.clone(), now);
                model
            } else if let Some(model) = scarcest(engine, &holders, |_| is_keeper) {
                if !self.take_permit(engine, cells, now) {
                    continue;
                }
                self.asked.insert(id.clone(), now);
                model
            } else {
                continue;
            };
            *holders.entry(model.name.clone()).or_default() += 1;
            asks.push(model_ask(view, engine, model));
        }
        asks
    }

    /// Each of several cells has its part of what the store permits, rounded down, and one load at least.
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

/// How many engines hold each base model, or are loading it.
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

/// The model that the fewest engines hold, among those that pass; of equals the one that the sheet
/// names first, as it is the busiest.
fn scarcest<'a>(
    engine: &'a EngineRecord,
    holders: &BTreeMap<ModelName, usize>,
    passes: impl Fn(&ModelName) -> bool,
) -> Option<&'a ModelRecord> {
    let passing = engine.models.iter().filter(|model| passes(&model.name));
    passing.min_by_key(|model| holders.get(&model.name).copied().unwrap_or(0))
}

fn model_ask(view: &ReplicaView, engine: &EngineRecord, model: &ModelRecord) -> AddressedAsk {
    let ask = LoadAsk {
        replica: view.record.id.clone(),
        model: model.name.clone(),
        adapter: None,
        version: None,
        places: engine.places_beside(&model.name) as u32,
    };
    AddressedAsk { engine: view.record.address, ask }
}

fn lacks_model(report: &EngineReport) -> bool {
    report.models.is_empty() && !report.is_busy
}
