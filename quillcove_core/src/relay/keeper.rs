//! Which adapter is loaded where, and when it will be there.
//!
//! The keeper is the relay with the lowest name among those heard lately. All that it needs comes
//! from the others' beacons, so another relay can take over at any moment: what the weight store
//! still permits is counted from the loads that the loaders report.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::beacon::{AdapterKey, AdapterWant, EngineBeacon, LoadAsk, PlannedLoad, ReplicaId};
use super::machine::RelayMachine;
use super::replica::ReplicaView;
use super::sheet::{EngineRecord, ServiceRecord};
use crate::ids::{AdapterVersion, HostId, ModelName, MonoTime};
use crate::rendezvous;

/// Window over which the weight store's permits are counted.
const PERMIT_WINDOW: Duration = Duration::from_secs(5);

/// Loads that the keeper starts, as a share of those that the weight store permits. The users
/// bear a tenth more; half of that is left for two keepers at once and for late reports.
const PACE_SHARE: f64 = 1.0;

/// Adapters that may be on their way to one engine at once; the engines' own limit is four.
const INCOMING_LIMIT: usize = 3;

/// Time after which an ask that no report shows is forgotten, and its adapter asked for again.
const ASK_LIFETIME: Duration = Duration::from_millis(1200);

/// Time of a load until the first ones have been seen.
const FIRST_LOAD_TIME: Duration = Duration::from_millis(350);

/// Weight of a newly seen load in the mean time of loads.
const LOAD_TIME_WEIGHT: f64 = 0.2;

/// Wants that are planned ahead and told to the relays.
const PLAN_LENGTH: usize = 16;

/// Age up to which another relay's wants count. Relays with wants tell them each 100 ms.
const WANT_LIFETIME: Duration = Duration::from_millis(1000);

/// A want must be worth this many times an adapter's demand to take its place.
const EVICT_MARGIN: f64 = 1.5;

/// Time within which a base model is not asked for again at the same engine.
const MODEL_ASK_INTERVAL: Duration = Duration::from_millis(1500);

/// An ask that no report has answered yet.
#[derive(Clone, Debug)]
struct PendingAsk {
    replica: ReplicaId,
    asked: MonoTime,
}

/// An ask with the address of the engine whose loader gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedAsk {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The ask.
    pub ask: LoadAsk,
}

/// Plans the loads of a site.
///
/// ```
/// use quillcove_core::relay::keeper::LoadKeeper;
///
/// assert_eq!(LoadKeeper::default().window_count(std::time::Duration::ZERO), 0);
/// ```
#[derive(Debug, Default)]
pub struct LoadKeeper {
    wants: HashMap<HostId, (Vec<AdapterWant>, MonoTime)>,
    pending: HashMap<AdapterKey, PendingAsk>,
    model_asks: HashMap<ReplicaId, MonoTime>,
    /// Loads that each loader began lately, by the time at which they began.
    begun: HashMap<SocketAddr, Vec<MonoTime>>,
    next_permit: MonoTime,
    load_time: Option<Duration>,
}

impl LoadKeeper {
    /// Takes the wants of a relay, this one's own included.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::keeper::LoadKeeper;
    ///
    /// LoadKeeper::default().take_wants("e1", Vec::new(), Duration::ZERO);
    /// ```
    pub fn take_wants(&mut self, relay: &str, wants: Vec<AdapterWant>, now: MonoTime) {
        self.wants.insert(relay.to_string(), (wants, now));
    }

    /// Takes a loader's report: which loads it began, and which of the asked ones are done.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineBeacon, EngineReport};
    /// use quillcove_core::relay::keeper::LoadKeeper;
    ///
    /// let mut keeper = LoadKeeper::default();
    /// let beacon = EngineBeacon {
    ///     host: "e1".into(),
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     number: 1,
    ///     incarnation: 1,
    ///     report: EngineReport::default(),
    ///     recent_loads: vec![Duration::from_secs(1)],
    ///     relays: Vec::new(),
    /// };
    /// keeper.take_report(&beacon, Duration::from_secs(2));
    /// assert_eq!(keeper.window_count(Duration::from_secs(2)), 1);
    /// ```
    pub fn take_report(&mut self, beacon: &EngineBeacon, now: MonoTime) {
        let began = beacon.recent_loads.iter().map(|age| now.saturating_sub(*age)).collect();
        self.begun.insert(beacon.engine, began);
        for held in &beacon.report.adapters {
            if let Some(ask) = self.pending.remove(&held.key) {
                self.note_load_time(now.saturating_sub(ask.asked));
            }
        }
    }

    fn note_load_time(&mut self, took: Duration) {
        let mean = self.load_time();
        let next = mean.mul_f64(1.0 - LOAD_TIME_WEIGHT) + took.mul_f64(LOAD_TIME_WEIGHT);
        self.load_time = Some(next);
    }

    /// Mean time from an ask until the adapter is reported.
    ///
    /// ```
    /// use quillcove_core::relay::keeper::LoadKeeper;
    ///
    /// assert!(LoadKeeper::default().load_time() > std::time::Duration::ZERO);
    /// ```
    pub fn load_time(&self) -> Duration {
        self.load_time.unwrap_or(FIRST_LOAD_TIME)
    }

    /// Loads from the weight store that count in the window which ends now.
    ///
    /// ```
    /// use quillcove_core::relay::keeper::LoadKeeper;
    ///
    /// assert_eq!(LoadKeeper::default().window_count(std::time::Duration::ZERO), 0);
    /// ```
    pub fn window_count(&self, now: MonoTime) -> usize {
        let is_recent = |began: &&MonoTime| now.saturating_sub(**began) < PERMIT_WINDOW;
        let begun = self.begun.values().flatten().filter(is_recent).count();
        let is_unseen = |ask: &&PendingAsk| now.saturating_sub(ask.asked) < ASK_LIFETIME;
        begun + self.pending.values().filter(is_unseen).count()
    }

    /// The asks to send now. Only the keeper calls this.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::keeper::LoadKeeper;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(LoadKeeper::default().plan(&machine, Duration::ZERO).is_empty());
    /// ```
    pub fn plan(&mut self, machine: &RelayMachine, now: MonoTime) -> Vec<AddressedAsk> {
        self.pending.retain(|_, ask| now.saturating_sub(ask.asked) < ASK_LIFETIME);
        self.model_asks.retain(|_, asked| now.saturating_sub(*asked) < MODEL_ASK_INTERVAL);
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let mut asks = Vec::new();
        for service in sheet.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            asks.extend(self.ask_models(machine, service, engine, now));
            while let Some(ask) = self.ask_adapter(machine, service, engine, now) {
                asks.push(ask);
            }
        }
        asks
    }

    /// Engines that hold no base model get the busiest one.
    fn ask_models(
        &mut self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        engine: &EngineRecord,
        now: MonoTime,
    ) -> Vec<AddressedAsk> {
        let Some(model) = engine.models.first() else {
            return Vec::new();
        };
        let mut asks = Vec::new();
        for view in engines_of(machine, service) {
            let is_empty = view.report(now).is_some_and(|r| r.models.is_empty() && !r.is_busy);
            if !is_empty || self.model_asks.contains_key(&view.record.id) {
                continue;
            }
            if !self.take_permit(engine, now) {
                break;
            }
            self.model_asks.insert(view.record.id.clone(), now);
            let places = places_of(engine, &model.name) as u32;
            let ask = LoadAsk {
                replica: view.record.id.clone(),
                model: model.name.clone(),
                adapter: None,
                version: None,
                evict: None,
                places,
            };
            asks.push(AddressedAsk { engine: view.record.address, ask });
        }
        asks
    }

    fn ask_adapter(
        &mut self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        engine: &EngineRecord,
        now: MonoTime,
    ) -> Option<AddressedAsk> {
        if !self.has_permit(engine, now) {
            return None;
        }
        let wants = self.ranked_wants(machine, service, now);
        for want in wants {
            let Some(ask) = self.place(machine, service, engine, &want, now) else {
                continue;
            };
            self.take_permit(engine, now);
            let pending = PendingAsk { replica: ask.ask.replica.clone(), asked: now };
            self.pending.insert(want.key, pending);
            return Some(ask);
        }
        None
    }

    fn has_permit(&self, engine: &EngineRecord, now: MonoTime) -> bool {
        let permitted = engine.loads_per_second * PERMIT_WINDOW.as_secs_f64();
        now >= self.next_permit && (self.window_count(now) as f64) < permitted
    }

    fn take_permit(&mut self, engine: &EngineRecord, now: MonoTime) -> bool {
        if !self.has_permit(engine, now) {
            return false;
        }
        let pace = pace_of(engine);
        self.next_permit = (self.next_permit + pace).max(now + pace / 2);
        true
    }

    /// Wants of all relays for adapters of one service that are not on their way, the worthiest
    /// first. Adapters held in an old version only are wanted as well.
    fn ranked_wants(
        &self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        now: MonoTime,
    ) -> Vec<AdapterWant> {
        let mut sums: HashMap<&AdapterKey, f32> = HashMap::new();
        for (wants, heard) in self.wants.values() {
            if now.saturating_sub(*heard) > WANT_LIFETIME {
                continue;
            }
            for want in wants.iter().filter(|want| want.service == service.name) {
                *sums.entry(&want.key).or_default() += want.worth;
            }
        }
        for (key, demand) in outdated(machine, service, now) {
            *sums.entry(key).or_default() += demand;
        }
        let is_open = |key: &AdapterKey| {
            !self.pending.contains_key(key) && machine.is_short_of(&service.name, key, now)
                || is_outdated(machine, service, key, now) && !self.pending.contains_key(key)
        };
        let want = |(key, worth): (&AdapterKey, f32)| AdapterWant {
            service: service.name.clone(),
            key: key.clone(),
            worth,
        };
        let mut ranked: Vec<AdapterWant> =
            sums.into_iter().filter(|(key, _)| is_open(key)).map(want).collect();
        ranked.sort_by(|a, b| b.worth.total_cmp(&a.worth).then_with(|| a.key.cmp(&b.key)));
        ranked
    }

    /// Chooses the engine for a want, and what makes room there.
    fn place(
        &self,
        machine: &RelayMachine,
        service: &ServiceRecord,
        engine: &EngineRecord,
        want: &AdapterWant,
        now: MonoTime,
    ) -> Option<AddressedAsk> {
        let version = machine.newest(&want.key);
        let takes_loads = |view: &&ReplicaView| {
            view.report(now).is_some_and(|report| {
                report.models.contains(&want.key.model)
                    && !report.is_busy
                    && report.incoming.len() + self.pending_at(&view.record.id) < INCOMING_LIMIT
                    && report.incoming.iter().all(|held| held.key != want.key)
            })
        };
        let engines: Vec<&ReplicaView> = engines_of(machine, service).filter(takes_loads).collect();
        let places = places_of(engine, &want.key.model);
        let outdated = engines.iter().find(|view| {
            let held = view.version_of(&want.key, now);
            held.is_some_and(|held| version.is_some_and(|newest| held < newest))
        });
        if let Some(view) = outdated {
            return Some(ask_for(view, want, version, None, places));
        }
        let lacks_it = |view: &&&ReplicaView| view.version_of(&want.key, now).is_none();
        let room = |view: &ReplicaView| places.saturating_sub(self.used_at(view, now));
        let cost = |view: &ReplicaView| {
            view.load(now) + self.used_at(view, now) as f64 / places.max(1) as f64
        };
        let tie = |view: &ReplicaView| rendezvous::weight(&want.key.adapter, &view.record.id);
        let roomy = engines.iter().filter(lacks_it).filter(|view| room(view) > 0);
        let best =
            roomy.min_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| tie(a).cmp(&tie(b))));
        if let Some(view) = best {
            return Some(ask_for(view, want, version, None, places));
        }
        let (view, (evicted, demand)) = engines
            .iter()
            .filter(lacks_it)
            .filter(|view| self.pending_at(&view.record.id) == 0)
            .filter_map(|view| Some((*view, least_wanted(machine, view, now)?)))
            .min_by(|a, b| a.1.1.total_cmp(&b.1.1))?;
        let is_worth_it = f64::from(want.worth) > demand * EVICT_MARGIN;
        is_worth_it.then(|| ask_for(view, want, version, Some(evicted), places))
    }

    fn pending_at(&self, replica: &str) -> usize {
        self.pending.values().filter(|ask| ask.replica == replica).count()
    }

    /// Places for adapters that are taken at an engine, those on their way included.
    fn used_at(&self, view: &ReplicaView, now: MonoTime) -> usize {
        let incoming = view.report(now).map_or(0, |report| report.incoming.len());
        view.adapters(now).len() + incoming + self.pending_at(&view.record.id)
    }

    /// When the adapters that are on their way or wanted will be there, the soonest first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::keeper::LoadKeeper;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(LoadKeeper::default().planned(&machine, Duration::ZERO).is_empty());
    /// ```
    pub fn planned(&self, machine: &RelayMachine, now: MonoTime) -> Vec<PlannedLoad> {
        let load_time = self.load_time();
        let under_way = self.pending.iter().map(|(key, ask)| PlannedLoad {
            key: key.clone(),
            ready_in: (ask.asked + load_time).saturating_sub(now),
        });
        let mut plan: Vec<PlannedLoad> = under_way.collect();
        let Some(sheet) = machine.sheet() else {
            return plan;
        };
        for service in sheet.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let pace = pace_of(engine);
            let first = self.next_permit.saturating_sub(now);
            let ranked = self.ranked_wants(machine, service, now);
            for (place, want) in ranked.into_iter().take(PLAN_LENGTH).enumerate() {
                let ready_in = first + pace * place as u32 + load_time;
                plan.push(PlannedLoad { key: want.key, ready_in });
            }
        }
        plan.sort_by_key(|load| load.ready_in);
        plan.truncate(PLAN_LENGTH);
        plan
    }
}

/// The adapter in an engine that is asked for least, with its demand.
fn least_wanted(
    machine: &RelayMachine,
    view: &ReplicaView,
    now: MonoTime,
) -> Option<(AdapterKey, f64)> {
    let demands = view.adapters(now).iter().map(|held| {
        let demand = machine.demand(&held.key, now);
        (held.key.clone(), demand)
    });
    demands.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Time between the starts of two loads.
fn pace_of(engine: &EngineRecord) -> Duration {
    Duration::from_secs_f64(1.0 / (engine.loads_per_second * PACE_SHARE).max(0.01))
}

/// Adapters for which an engine with this base model has room.
fn places_of(engine: &EngineRecord, model: &ModelName) -> usize {
    let Some(record) = engine.models.iter().find(|record| record.name == *model) else {
        return engine.adapter_places;
    };
    let room = (engine.weights_mb - record.weights_mb).max(0.0);
    let by_memory = (room / record.adapter_mb.max(0.001)) as usize;
    engine.adapter_places.min(by_memory)
}

fn engines_of<'a>(
    machine: &'a RelayMachine,
    service: &'a ServiceRecord,
) -> impl Iterator<Item = &'a ReplicaView> {
    machine.table().all().filter(|view| view.record.service == service.name && view.is_ready())
}

/// Adapters that engines of a service hold in an older version than the newest, with their
/// demand; those that nobody asks for are left as they are.
fn outdated<'a>(
    machine: &'a RelayMachine,
    service: &'a ServiceRecord,
    now: MonoTime,
) -> impl Iterator<Item = (&'a AdapterKey, f32)> {
    machine.versions().filter_map(move |(key, _)| {
        let demand = machine.demand(key, now) as f32;
        (demand > 0.0 && is_outdated(machine, service, key, now)).then_some((key, demand))
    })
}

fn is_outdated(
    machine: &RelayMachine,
    service: &ServiceRecord,
    key: &AdapterKey,
    now: MonoTime,
) -> bool {
    let Some(newest) = machine.newest(key) else {
        return false;
    };
    engines_of(machine, service)
        .any(|view| view.version_of(key, now).is_some_and(|held| held < newest))
}

/// The ask for a wanted adapter at an engine with this many places.
fn ask_for(
    view: &ReplicaView,
    want: &AdapterWant,
    version: Option<AdapterVersion>,
    evict: Option<AdapterKey>,
    places: usize,
) -> AddressedAsk {
    let ask = LoadAsk {
        replica: view.record.id.clone(),
        model: want.key.model.clone(),
        adapter: Some(want.key.adapter.clone()),
        version,
        evict,
        places: places as u32,
    };
    AddressedAsk { engine: view.record.address, ask }
}
