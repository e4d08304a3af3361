//! Decides which load and unload orders a loader gives to the one engine that it serves.
//!
//! Load requests from relays are queued. One order is under way at a time, and an adapter is evicted
//! first where the engine has no free slot.

mod ordered;
mod performance;
mod prompts;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::ordered::BrokenLoad;
use self::ordered::OrderedLoads;
pub use self::performance::PerformanceMeter;
pub use self::prompts::RelayPrompts;
use super::beacon::{ArrivedLoad, EngineReport, HeldAdapter, LoadRequest, UseHeartbeat};
use super::engine_status::{EngineStatus, PromptReport};
use super::order::{LoadOrder, OrderBasis, OrderKind, OrderOutcome};
use crate::demand::DemandMeter;
use crate::ids::{AdapterKey, HostId, MonoTime};
use crate::standing::UpstreamStatus;
use crate::standing::notice::UpstreamNotice;

/// Time for which started base-model loads are reported to relays: the window in which they count
/// against the load rate, plus a margin.
const MODEL_LOAD_RETENTION: Duration = Duration::from_millis(5500);

/// Age at which a queued load request is dropped; the relay repeats it if the adapter is still needed.
const LOAD_REQUEST_LIFETIME: Duration = Duration::from_millis(2000);

/// Maximum number of queued load requests.
const LOAD_REQUEST_LIMIT: usize = 32;

/// Maximum number of adapters that an engine loads at once; engines reject more.
const INCOMING_LIMIT: usize = 4;

/// Half-life of the demand by which the adapter to evict is chosen.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(8);

/// Demand that a load request counts for, in requests.
const LOAD_REQUEST_WEIGHT: f64 = 1.0;

/// Time for which a newly loaded adapter is not evicted: the requests that waited for it are in
/// transit, and relays report their use only every 500 ms.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Time after the engine's first report by which the running relays have reported their use. They do
/// so twice a second; the rest covers transit and a busy host.
const USE_REPORT_WAIT: Duration = Duration::from_millis(600);

/// Time after a relay's last use report for which its requests count as in flight.
const USE_LIFETIME: Duration = Duration::from_millis(1600);

/// Amount by which the fence is raised after the engine rejected it as too low. Fences start at the
/// wall clock in milliseconds, which may have stepped back by some seconds.
const FENCE_STEP: u64 = 10_000;

/// Difference between an engine's report and the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportChange {
    /// Whether the models, the adapters (loaded or incoming) or the draining flag differ.
    pub is_changed: bool,
    /// Ordered adapters that have been loaded since.
    pub arrived: Vec<(AdapterKey, ArrivedLoad)>,
    /// Loads that were under way when the engine exited, if it has restarted.
    pub broken: Vec<BrokenLoad>,
}

/// Queues load requests for one engine and decides on its orders.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::loader::LoaderMachine;
///
/// let mut machine = LoaderMachine::new("e1".into(), 1_000);
/// assert!(machine.next_order(Duration::ZERO).is_none());
/// ```
#[derive(Debug)]
pub struct LoaderMachine {
    holder: HostId,
    fence: u64,
    load_requests: VecDeque<(LoadRequest, MonoTime)>,
    current_order: Option<(LoadOrder, LoadRequest)>,
    /// Start times of recent base-model loads that read from the weight store.
    model_loads: VecDeque<MonoTime>,
    /// Number of adapter slots of the engine, from the last load request.
    adapter_slots: Option<u32>,
    /// Ordered adapter loads that the engine has not completed yet.
    ordered_loads: OrderedLoads,
    report: EngineReport,
    /// When the last report was read; `None` before the first.
    reported_at: Option<MonoTime>,
    /// When the first report was read.
    first_report_at: Option<MonoTime>,
    demand: HashMap<AdapterKey, DemandMeter>,
    /// Adapters that the engine has loaded since it last had no base model; its host has copies of them.
    loaded_before: HashSet<AdapterKey>,
    /// When each ordered adapter was loaded.
    loaded_at: HashMap<AdapterKey, MonoTime>,
    /// Requests in flight for each adapter, by relay, with the time of the relay's report.
    in_flight: HashMap<SocketAddr, (HashMap<AdapterKey, u32>, MonoTime)>,
    /// Prompts that relays have pending at the engine.
    prompts: RelayPrompts,
    /// Performance of the engine, measured while the rules for scarce adapter slots apply.
    performance: PerformanceMeter,
    /// Status that the engine reports with its responses to orders; only requested pauses count here.
    upstream_status: UpstreamStatus,
}

impl LoaderMachine {
    /// Creates a machine whose orders carry fences above `fence`.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// LoaderMachine::new("e1".into(), 1_000);
    /// ```
    pub fn new(holder: HostId, fence: u64) -> Self {
        Self {
            holder,
            fence,
            load_requests: VecDeque::new(),
            current_order: None,
            model_loads: VecDeque::new(),
            adapter_slots: None,
            ordered_loads: OrderedLoads::default(),
            report: EngineReport::default(),
            reported_at: None,
            first_report_at: None,
            demand: HashMap::new(),
            loaded_before: HashSet::new(),
            loaded_at: HashMap::new(),
            in_flight: HashMap::new(),
            prompts: RelayPrompts::default(),
            performance: PerformanceMeter::default(),
            upstream_status: UpstreamStatus::default(),
        }
    }

    /// Records a relay's report of its use of the engine's adapters.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::UseHeartbeat;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let heartbeat = UseHeartbeat { relay: "127.0.0.1:1".parse().unwrap(), uses: Vec::new() };
    /// LoaderMachine::new("e1".into(), 1).record_uses(heartbeat, Duration::ZERO);
    /// ```
    pub fn record_uses(&mut self, heartbeat: UseHeartbeat, now: MonoTime) {
        for used in heartbeat.uses.iter().filter(|used| used.sent > 0) {
            let meter = self.demand.entry(used.key.clone()).or_default();
            meter.add(now, f64::from(used.sent), DEMAND_HALF_LIFE);
        }
        let in_flight = heartbeat.uses.into_iter().filter(|used| used.in_flight > 0);
        let in_flight = in_flight.map(|used| (used.key, used.in_flight)).collect();
        self.in_flight.insert(heartbeat.relay, (in_flight, now));
    }

    /// Returns the requests in flight for each adapter of the engine, in the order of the report,
    /// summed over all relays that reported recently.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).fleet_uses(Duration::ZERO).is_empty());
    /// ```
    pub fn fleet_uses(&self, now: MonoTime) -> Vec<u32> {
        let is_recent = |reported_at: &MonoTime| now.saturating_sub(*reported_at) < USE_LIFETIME;
        let relays = || self.in_flight.values().filter(|(_, reported_at)| is_recent(reported_at));
        let uses = |held: &HeldAdapter| relays().filter_map(|(uses, _)| uses.get(&held.key)).sum();
        self.report.adapters.iter().map(uses).collect()
    }

    /// Records a relay's report of the prompts that it has pending at the engine.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::engine_status::{PendingPrompts, PromptReport};
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let relay = "127.0.0.1:1".parse().unwrap();
    /// let pending = PendingPrompts::default();
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.record_prompts(PromptReport { relay, number: 1, incarnation: 1, pending }, Duration::ZERO);
    /// assert!(machine.is_contended(Duration::ZERO));
    /// ```
    pub fn record_prompts(&mut self, report: PromptReport, now: MonoTime) {
        self.prompts.record(report, now);
    }

    /// Returns whether the rules for engines with scarce adapter slots apply.
    ///
    /// See [`LoaderMachine::record_prompts`] for an example.
    pub fn is_contended(&self, now: MonoTime) -> bool {
        self.prompts.is_contended(now)
    }

    /// Returns the status of the engine at `engine` for the relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(machine.status("127.0.0.1:1".parse().unwrap(), Duration::ZERO).is_reachable);
    /// ```
    pub fn status(&self, engine: SocketAddr, now: MonoTime) -> EngineStatus {
        EngineStatus {
            pending: self.prompts.total(now),
            performance: self.performance.performance(now),
            ..EngineStatus::unknown(engine)
        }
    }

    /// Returns the last report of the engine.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).report().models.is_empty());
    /// ```
    pub fn report(&self) -> &EngineReport {
        &self.report
    }

    /// Records a report of the engine and returns what changed since the one before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(!machine.record_report(EngineReport::default(), Duration::ZERO).is_changed);
    /// ```
    pub fn record_report(&mut self, mut report: EngineReport, now: MonoTime) -> ReportChange {
        // Draining is final for one process start. Without a start time the report may be that of a
        // new process, so its own flag counts.
        let is_same_start = report.born.is_some() && report.born == self.report.born;
        report.is_leaving |= is_same_start && self.report.is_leaving;
        let is_changed = report.models != self.report.models
            || report.adapters != self.report.adapters
            || report.incoming != self.report.incoming
            || report.is_leaving != self.report.is_leaving;
        let broken = match self.has_restarted(&report) {
            true => self.reset_engine_state(),
            false => Vec::new(),
        };
        match self.is_contended(now) {
            true => self.performance.record(&report, now),
            false => self.performance = PerformanceMeter::default(),
        }
        self.report = report;
        self.reported_at = Some(now);
        self.first_report_at.get_or_insert(now);
        let arrived = self.ordered_loads.take_completed(&self.report.adapters);
        if self.report.models.is_empty() {
            self.loaded_before.clear();
        }
        let mut change = ReportChange { is_changed, broken, arrived: Vec::new() };
        for load in arrived {
            let was_warm = !self.loaded_before.insert(load.key.clone());
            self.loaded_at.insert(load.key.clone(), now);
            let took = now.saturating_sub(load.ordered_at);
            change.arrived.push((load.key, ArrivedLoad { took, was_warm }));
        }
        change
    }

    /// Returns whether the engine has restarted since its last report. Where a start time is missing, a
    /// lower count of orders shows a restart.
    fn has_restarted(&self, report: &EngineReport) -> bool {
        match (report.born, self.report.born) {
            (Some(born), Some(before)) => born != before,
            _ => match (report.orders_taken, self.report.orders_taken) {
                (Some(taken), Some(before)) => taken < before,
                _ => false,
            },
        }
    }

    /// Records the status that the engine sent with its response to an order. Only a requested pause
    /// matters here: that the engine is draining is taken from its reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let notice = UpstreamNotice { is_leaving: false, rest: Some(Duration::from_secs(1)), limit: None };
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.record_notice(&notice, Duration::ZERO);
    /// assert_eq!(machine.next_order(Duration::ZERO), None);
    /// ```
    pub fn record_notice(&mut self, notice: &UpstreamNotice, now: MonoTime) {
        self.upstream_status.record_notice(notice, Duration::ZERO, now);
    }

    /// Clears the state of an engine that has restarted and returns the loads that were under way when
    /// it exited. Its reports tell of which base models the host has copies.
    fn reset_engine_state(&mut self) -> Vec<BrokenLoad> {
        self.loaded_before.clear();
        self.loaded_at.clear();
        self.upstream_status = UpstreamStatus::default();
        self.performance = PerformanceMeter::default();
        self.ordered_loads.take_broken(self.report.born)
    }

    /// Queues a load request of a relay. It replaces a queued request for the same load, and is ignored
    /// while an order for that load is under way or the queue is full.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineReport, LoadRequest};
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let request = LoadRequest {
    ///     replica: "i-1".into(),
    ///     model: "m".into(),
    ///     adapter: Some("a1".into()),
    ///     version: None,
    ///     places: 4,
    /// };
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.record_report(EngineReport::default(), Duration::ZERO);
    /// machine.queue_load_request(request, Duration::ZERO);
    /// assert!(machine.next_order(Duration::ZERO).is_some());
    /// ```
    pub fn queue_load_request(&mut self, request: LoadRequest, now: MonoTime) {
        let is_same =
            |other: &LoadRequest| other.model == request.model && other.adapter == request.adapter;
        if self.current_order.as_ref().is_some_and(|(_, current)| is_same(current)) {
            return;
        }
        if let Some(key) = request.key() {
            self.adapter_slots = Some(request.places);
            self.demand.entry(key).or_default().add(now, LOAD_REQUEST_WEIGHT, DEMAND_HALF_LIFE);
        }
        self.load_requests.retain(|(other, _)| !is_same(other));
        if self.load_requests.len() < LOAD_REQUEST_LIMIT {
            self.load_requests.push_back((request, now));
        }
    }

    /// Returns the next order, or `None` while an order is under way, before the first report, while
    /// the engine is draining or has requested a pause, and while it has no slot for the next load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).next_order(Duration::ZERO).is_none());
    /// ```
    pub fn next_order(&mut self, now: MonoTime) -> Option<LoadOrder> {
        let takes_orders = !self.report.is_leaving && self.upstream_status.pause_end(now).is_none();
        if self.current_order.is_some() || !takes_orders {
            return None;
        }
        // Before its first report the engine would seem empty although it may be full: only this
        // process is new.
        let reported_at = self.reported_at?;
        self.load_requests
            .retain(|(_, queued_at)| now.saturating_sub(*queued_at) < LOAD_REQUEST_LIFETIME);
        self.ordered_loads.expire(now);
        while let Some((request, _)) = self.load_requests.front() {
            if self.is_satisfied(request) {
                self.load_requests.pop_front();
                continue;
            }
            let evicted = match self.capacity_for(request, now) {
                LoadCapacity::Free => None,
                LoadCapacity::AfterEviction(key) => Some(key),
                LoadCapacity::Unavailable => return None,
            };
            let (request, _) = self.load_requests.pop_front()?;
            let basis = self.order_basis(&request, now.saturating_sub(reported_at));
            let order = self.build_order(&request, evicted, basis);
            if order.kind == OrderKind::Load {
                match request.key() {
                    Some(key) => {
                        let min_version = request.version.unwrap_or(0);
                        let replica = request.replica.clone();
                        self.ordered_loads.add(key, min_version, replica, now);
                    },
                    None if self.is_local(&request) => {},
                    None => self.model_loads.push_back(now),
                }
            }
            self.current_order = Some((order.clone(), request));
            return Some(order);
        }
        None
    }

    /// Returns whether the engine's host has a copy of the base model, so that its load reads nothing
    /// from the weight store and does not count against the load rate.
    fn is_local(&self, request: &LoadRequest) -> bool {
        self.report.local_models.contains(&request.model)
    }

    /// Returns whether the engine has already loaded, or is loading, what is requested.
    fn is_satisfied(&self, request: &LoadRequest) -> bool {
        let Some(key) = request.key() else {
            return self.report.models.contains(&request.model);
        };
        let all = self.report.adapters.iter().chain(&self.report.incoming);
        let version = request.version.unwrap_or(0);
        all.into_iter().any(|held| held.key == key && held.version >= version)
    }

    /// Returns how many adapters the engine can load beyond the queued load requests, counting free
    /// slots and those of idle adapters. `None` before the first report, and until a load request has
    /// given the number of slots.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert_eq!(LoaderMachine::new("e1".into(), 1).spare_places(Duration::ZERO), None);
    /// ```
    pub fn spare_places(&self, now: MonoTime) -> Option<u32> {
        self.reported_at?;
        let slots = self.adapter_slots? as usize;
        let free = slots.saturating_sub(self.report.adapters.len() + self.incoming_count());
        let waiting =
            self.load_requests.iter().filter(|(request, _)| request.adapter.is_some()).count();
        let spare = (free + self.idle_adapters(now).count()).saturating_sub(waiting);
        Some(spare as u32)
    }

    /// Returns the number of adapters being loaded, including those ordered but not reported yet.
    fn incoming_count(&self) -> usize {
        self.report.incoming.len() + self.ordered_loads.unreported_count(&self.report.incoming)
    }

    /// Returns whether the engine can start the requested load, and what has to be evicted for it. A new
    /// version being loaded takes a slot of its own beside the old one.
    fn capacity_for(&self, request: &LoadRequest, now: MonoTime) -> LoadCapacity {
        if request.adapter.is_none() {
            return match self.report.models.is_empty() && !self.report.is_busy {
                true => LoadCapacity::Free,
                false => LoadCapacity::Unavailable,
            };
        }
        let coming = self.incoming_count();
        if coming >= INCOMING_LIMIT || self.report.is_busy {
            return LoadCapacity::Unavailable;
        }
        if self.report.adapters.len() + coming < request.places as usize {
            return LoadCapacity::Free;
        }
        self.eviction_candidate(now).map_or(LoadCapacity::Unavailable, LoadCapacity::AfterEviction)
    }

    /// Returns the idle adapter with the least demand.
    fn eviction_candidate(&self, now: MonoTime) -> Option<AdapterKey> {
        let demand = |key: &AdapterKey| {
            self.demand.get(key).map_or(0.0, |meter| meter.level(now, DEMAND_HALF_LIFE))
        };
        self.idle_adapters(now).min_by(|a, b| demand(a).total_cmp(&demand(b))).cloned()
    }

    /// Returns the adapters that may be evicted: those with no requests in flight that have not been
    /// loaded just now. There are none until relays had time to report which adapters are in use.
    fn idle_adapters(&self, now: MonoTime) -> impl Iterator<Item = &AdapterKey> {
        let has_use_reports =
            self.first_report_at.is_some_and(|at| now.saturating_sub(at) >= USE_REPORT_WAIT);
        let is_recent =
            move |reported_at: &MonoTime| now.saturating_sub(*reported_at) < USE_LIFETIME;
        let is_used = move |key: &AdapterKey| {
            self.in_flight
                .values()
                .any(|(uses, reported_at)| is_recent(reported_at) && uses.contains_key(key))
        };
        let is_new = move |key: &AdapterKey| {
            self.loaded_at.get(key).is_some_and(|at| now.saturating_sub(*at) < SETTLE_TIME)
        };
        let held = self.report.adapters.iter().map(|held| &held.key);
        held.filter(move |key| has_use_reports && !is_used(key) && !is_new(key))
    }

    /// Builds the order for a load request: the unload of `evicted` if one is given, else the load.
    fn build_order(
        &mut self,
        request: &LoadRequest,
        evicted: Option<AdapterKey>,
        basis: OrderBasis,
    ) -> LoadOrder {
        self.fence += 1;
        let (kind, model, adapter, version) = match evicted {
            Some(key) => (OrderKind::Unload, key.model, Some(key.adapter), None),
            None => {
                (OrderKind::Load, request.model.clone(), request.adapter.clone(), request.version)
            },
        };
        let (replica, holder) = (request.replica.clone(), self.holder.clone());
        LoadOrder {
            kind,
            replica,
            model,
            adapter,
            version,
            holder,
            fence: self.fence,
            orders_seen: self.report.orders_taken,
            basis,
        }
    }

    /// Returns the state of the engine on which an order is based, for logs.
    fn order_basis(&self, request: &LoadRequest, report_age: Duration) -> OrderBasis {
        OrderBasis {
            report_age,
            held: self.report.adapters.len(),
            coming: self.incoming_count(),
            places: request.places,
        }
    }

    /// Records the outcome of the order under way. The load request is queued again, in front, after
    /// its eviction and when the engine rejected the order as busy or for its fence.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    /// use quillcove_core::relay::order::OrderOutcome;
    ///
    /// LoaderMachine::new("e1".into(), 1).complete_order(OrderOutcome::Begun, Duration::ZERO);
    /// ```
    pub fn complete_order(&mut self, outcome: OrderOutcome, now: MonoTime) {
        let Some((order, request)) = self.current_order.take() else {
            return;
        };
        let may_have_started = matches!(outcome, OrderOutcome::Begun | OrderOutcome::Unanswered);
        if order.kind == OrderKind::Load && !may_have_started {
            match request.key() {
                Some(key) => self.ordered_loads.cancel(&key),
                None if self.is_local(&request) => {},
                None => drop(self.model_loads.pop_back()),
            }
        }
        match (outcome, order.kind) {
            (OrderOutcome::Begun | OrderOutcome::Holds, OrderKind::Unload)
            | (OrderOutcome::Busy, _) => self.load_requests.push_front((request, now)),
            (OrderOutcome::FenceTooLow, _) => {
                self.fence += FENCE_STEP;
                self.load_requests.push_front((request, now));
            },
            _ => {},
        }
    }

    /// Returns the ages of the recently started base-model loads that read from the weight store.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).model_loads(Duration::ZERO).is_empty());
    /// ```
    pub fn model_loads(&mut self, now: MonoTime) -> Vec<Duration> {
        self.model_loads
            .retain(|started_at| now.saturating_sub(*started_at) < MODEL_LOAD_RETENTION);
        self.model_loads.iter().map(|started_at| now.saturating_sub(*started_at)).collect()
    }
}

/// Whether an engine can start a load.
enum LoadCapacity {
    /// It can now.
    Free,
    /// It can once this adapter has been evicted.
    AfterEviction(AdapterKey),
    /// It cannot now.
    Unavailable,
}
