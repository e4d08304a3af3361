//! Orders to the one engine beside a loader.

mod ordered;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::ordered::BrokenLoad;
use self::ordered::OrderedLoads;
use super::beacon::{AdapterKey, ArrivedLoad, EngineReport, HeldAdapter, LoadAsk, UseBeacon};
use super::order::{LoadOrder, OrderBasis, OrderKind, OrderOutcome};
use crate::demand::DemandMeter;
use crate::ids::{HostId, MonoTime};
use crate::standing::UpstreamStanding;
use crate::standing::notice::UpstreamNotice;

/// Time for which begun loads of base models are told to relays; the window in which they count, and a margin.
const LOADS_KEPT: Duration = Duration::from_millis(5500);

/// Age at which an ask is dropped; its relay asks again when the adapter still is wanted.
const ASK_LIFETIME: Duration = Duration::from_millis(2000);

/// Asks that may wait.
const ASKS_WAITING: usize = 32;

/// Adapters that may be on their way to an engine at once; the engines refuse more.
const INCOMING_LIMIT: usize = 4;

/// Half-life of the demand by which the adapter that makes room is chosen.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(8);

/// Demand that an ask counts for, in requests.
const ASK_WORTH: f64 = 1.0;

/// Time for which an adapter that came in is not taken out: the requests that waited for it are on
/// their way, and relays tell of them only each half second.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Time after a loader's first report in which the relays that are there tell it their use, which
/// they do twice a second; the rest is for the way and for a busy host.
const USES_TOLD_TIME: Duration = Duration::from_millis(600);

/// Time after a relay's last word for which its requests count as in flight.
const USE_LIFETIME: Duration = Duration::from_millis(1600);

/// Amount by which a fence is raised after the engine refused it as too low. Fences are
/// milliseconds of the wall clock, which may have stepped back by some seconds.
const FENCE_STEP: u64 = 10_000;

/// What a new report changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportChange {
    /// Whether the engine holds or awaits something else than before.
    pub is_changed: bool,
    /// Ordered adapters that the engine holds now.
    pub arrived: Vec<(AdapterKey, ArrivedLoad)>,
    /// Loads that were under way when the engine ended, if it has restarted.
    pub broken: Vec<BrokenLoad>,
}

/// Decides on the orders to one engine.
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
    asks: VecDeque<(LoadAsk, MonoTime)>,
    under_way: Option<(LoadOrder, LoadAsk)>,
    /// When loads of base models were begun.
    model_loads: VecDeque<MonoTime>,
    /// Adapters for which the engine has room, by the last ask.
    places: Option<u32>,
    /// Adapters whose load was ordered and that the engine does not hold yet.
    ordered: OrderedLoads,
    report: EngineReport,
    /// When the report was read; `None` before the first.
    reported_at: Option<MonoTime>,
    /// When the first report was read.
    first_report_at: Option<MonoTime>,
    demand: HashMap<AdapterKey, DemandMeter>,
    /// Adapters that the engine has held since it last was empty.
    known: HashSet<AdapterKey>,
    /// When adapters came in.
    came_in: HashMap<AdapterKey, MonoTime>,
    /// Requests in flight for each adapter, by relay, and when the relay said so.
    in_flight: HashMap<SocketAddr, (HashMap<AdapterKey, u32>, MonoTime)>,
    /// Rests that the engine asked for in its answers.
    standing: UpstreamStanding,
}

impl LoaderMachine {
    /// A machine whose first fence is this one.
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
            asks: VecDeque::new(),
            under_way: None,
            model_loads: VecDeque::new(),
            places: None,
            ordered: OrderedLoads::default(),
            report: EngineReport::default(),
            reported_at: None,
            first_report_at: None,
            demand: HashMap::new(),
            known: HashSet::new(),
            came_in: HashMap::new(),
            in_flight: HashMap::new(),
            standing: UpstreamStanding::default(),
        }
    }

    /// Takes what a relay tells of its use of the engine's adapters.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::UseBeacon;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let beacon = UseBeacon { relay: "127.0.0.1:1".parse().unwrap(), uses: Vec::new() };
    /// LoaderMachine::new("e1".into(), 1).take_uses(beacon, Duration::ZERO);
    /// ```
    pub fn take_uses(&mut self, beacon: UseBeacon, now: MonoTime) {
        for used in beacon.uses.iter().filter(|used| used.sent > 0) {
            let meter = self.demand.entry(used.key.clone()).or_default();
            meter.add(now, f64::from(used.sent), DEMAND_HALF_LIFE);
        }
        let busy = beacon.uses.into_iter().filter(|used| used.in_flight > 0);
        let busy = busy.map(|used| (used.key, used.in_flight)).collect();
        self.in_flight.insert(beacon.relay, (busy, now));
    }

    /// Requests in flight for each adapter that the engine holds, in the report's order, over all
    /// relays that told of them lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).fleet_uses(Duration::ZERO).is_empty());
    /// ```
    pub fn fleet_uses(&self, now: MonoTime) -> Vec<u32> {
        let is_recent = |told: &MonoTime| now.saturating_sub(*told) < USE_LIFETIME;
        let relays = || self.in_flight.values().filter(|(_, told)| is_recent(told));
        let uses = |held: &HeldAdapter| relays().filter_map(|(uses, _)| uses.get(&held.key)).sum();
        self.report.adapters.iter().map(uses).collect()
    }

    /// The last report of the engine.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).report().models.is_empty());
    /// ```
    pub fn report(&self) -> &EngineReport {
        &self.report
    }

    /// Takes a report of the engine; tells what changed in what it holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(!machine.take_report(EngineReport::default(), Duration::ZERO).is_changed);
    /// ```
    pub fn take_report(&mut self, mut report: EngineReport, now: MonoTime) -> ReportChange {
        // One that leaves does not come to stay; where no start is named, it may be another one by now.
        let is_same_start = report.born.is_some() && report.born == self.report.born;
        report.is_leaving |= is_same_start && self.report.is_leaving;
        let is_changed = report.models != self.report.models
            || report.adapters != self.report.adapters
            || report.incoming != self.report.incoming
            || report.is_leaving != self.report.is_leaving;
        let broken = match self.has_restarted(&report) {
            true => self.forget_engine(),
            false => Vec::new(),
        };
        self.report = report;
        self.reported_at = Some(now);
        self.first_report_at.get_or_insert(now);
        let arrived = self.ordered.arrive(&self.report.adapters);
        if self.report.models.is_empty() {
            self.known.clear();
        }
        let mut change = ReportChange { is_changed, broken, arrived: Vec::new() };
        for load in arrived {
            let was_warm = !self.known.insert(load.key.clone());
            self.came_in.insert(load.key.clone(), now);
            let took = now.saturating_sub(load.at);
            change.arrived.push((load.key, ArrivedLoad { took, was_warm }));
        }
        change
    }

    /// Whether a report is that of an engine which has started since the last one. One that does not say
    /// when it started has taken fewer orders.
    fn has_restarted(&self, report: &EngineReport) -> bool {
        match (report.born, self.report.born) {
            (Some(born), Some(before)) => born != before,
            _ => match (report.orders_taken, self.report.orders_taken) {
                (Some(taken), Some(before)) => taken < before,
                _ => false,
            },
        }
    }

    /// Takes what the engine said of itself with the answer to an order. That it leaves, its reports say as well.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let notice = UpstreamNotice { is_leaving: false, rest: Some(Duration::from_secs(1)), limit: None };
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.note_said(&notice, Duration::ZERO);
    /// assert_eq!(machine.next_order(Duration::ZERO), None);
    /// ```
    pub fn note_said(&mut self, notice: &UpstreamNotice, now: MonoTime) {
        self.standing.take(notice, Duration::ZERO, now);
    }

    /// Forgets what an engine held and was ordered before it started again. What its host has copies of
    /// it says itself.
    /// Forgets what a run of the engine held; gives the loads that were under way at its end.
    fn forget_engine(&mut self) -> Vec<BrokenLoad> {
        self.known.clear();
        self.came_in.clear();
        self.standing = UpstreamStanding::default();
        self.ordered.restart(self.report.born)
    }

    /// Takes an ask of the keeper. A second ask for the same thing replaces the first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineReport, LoadAsk};
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let ask = LoadAsk {
    ///     replica: "i-1".into(),
    ///     model: "m".into(),
    ///     adapter: Some("a1".into()),
    ///     version: None,
    ///     places: 4,
    /// };
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.take_report(EngineReport::default(), Duration::ZERO);
    /// machine.take_ask(ask, Duration::ZERO);
    /// assert!(machine.next_order(Duration::ZERO).is_some());
    /// ```
    pub fn take_ask(&mut self, ask: LoadAsk, now: MonoTime) {
        let is_same = |other: &LoadAsk| other.model == ask.model && other.adapter == ask.adapter;
        if self.under_way.as_ref().is_some_and(|(_, current)| is_same(current)) {
            return;
        }
        if let Some(key) = ask.key() {
            self.places = Some(ask.places);
            self.demand.entry(key).or_default().add(now, ASK_WORTH, DEMAND_HALF_LIFE);
        }
        self.asks.retain(|(other, _)| !is_same(other));
        if self.asks.len() < ASKS_WAITING {
            self.asks.push_back((ask, now));
        }
    }

    /// The next order to give, when none is under way and the engine has reported.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).next_order(Duration::ZERO).is_none());
    /// ```
    pub fn next_order(&mut self, now: MonoTime) -> Option<LoadOrder> {
        let takes_orders = !self.report.is_leaving && self.standing.rest_end(now).is_none();
        if self.under_way.is_some() || !takes_orders {
            return None;
        }
        // Before the first report an engine would be taken for empty, but it may have been full for
        // long: only this process is new.
        let reported_at = self.reported_at?;
        self.asks.retain(|(_, taken)| now.saturating_sub(*taken) < ASK_LIFETIME);
        self.ordered.expire(now);
        while let Some((ask, _)) = self.asks.front() {
            if self.is_done(ask) {
                self.asks.pop_front();
                continue;
            }
            let evicted = match self.room_for(ask, now) {
                LoadRoom::Free => None,
                LoadRoom::Instead(key) => Some(key),
                LoadRoom::NotYet => return None,
            };
            let (ask, _) = self.asks.pop_front()?;
            let basis = self.basis(&ask, now.saturating_sub(reported_at));
            let order = self.order_for(&ask, evicted, basis);
            if order.kind == OrderKind::Load {
                match ask.key() {
                    Some(key) => {
                        let least = ask.version.unwrap_or(0);
                        let replica = ask.replica.clone();
                        self.ordered.begin(key, least, replica, now);
                    },
                    None if self.is_local(&ask) => {},
                    None => self.model_loads.push_back(now),
                }
            }
            self.under_way = Some((order.clone(), ask));
            return Some(order);
        }
        None
    }

    /// Tells whether the engine's host has a copy of a base model, so that its load takes nothing
    /// from the weight store and does not count there.
    fn is_local(&self, ask: &LoadAsk) -> bool {
        self.report.local_models.contains(&ask.model)
    }

    /// Tells whether the engine already holds, or awaits, what is asked for.
    fn is_done(&self, ask: &LoadAsk) -> bool {
        let Some(key) = ask.key() else {
            return self.report.models.contains(&ask.model);
        };
        let all = self.report.adapters.iter().chain(&self.report.incoming);
        let version = ask.version.unwrap_or(0);
        all.into_iter().any(|held| held.key == key && held.version >= version)
    }

    /// Adapters that the engine can take in now beyond those that are asked for: in free places, and for
    /// those that nobody uses. `None` until an ask told how many places there are, and before the
    /// first report.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert_eq!(LoaderMachine::new("e1".into(), 1).spare_places(Duration::ZERO), None);
    /// ```
    pub fn spare_places(&self, now: MonoTime) -> Option<u32> {
        self.reported_at?;
        let places = self.places? as usize;
        let free = places.saturating_sub(self.report.adapters.len() + self.coming());
        let waiting = self.asks.iter().filter(|(ask, _)| ask.adapter.is_some()).count();
        let spare = (free + self.idle_adapters(now).count()).saturating_sub(waiting);
        Some(spare as u32)
    }

    /// Adapters on their way, those included that the engine does not report yet.
    fn coming(&self) -> usize {
        self.report.incoming.len() + self.ordered.unseen(&self.report.incoming)
    }

    /// Tells whether the engine has a place for what is asked for, or what makes room. A new
    /// version on its way takes a place beside the old one.
    fn room_for(&self, ask: &LoadAsk, now: MonoTime) -> LoadRoom {
        if ask.adapter.is_none() {
            return match self.report.models.is_empty() && !self.report.is_busy {
                true => LoadRoom::Free,
                false => LoadRoom::NotYet,
            };
        }
        let coming = self.coming();
        if coming >= INCOMING_LIMIT || self.report.is_busy {
            return LoadRoom::NotYet;
        }
        if self.report.adapters.len() + coming < ask.places as usize {
            return LoadRoom::Free;
        }
        self.least_wanted(now).map_or(LoadRoom::NotYet, LoadRoom::Instead)
    }

    /// The adapter with the least demand among those that no relay has requests in flight for.
    fn least_wanted(&self, now: MonoTime) -> Option<AdapterKey> {
        let demand = |key: &AdapterKey| {
            self.demand.get(key).map_or(0.0, |meter| meter.level(now, DEMAND_HALF_LIFE))
        };
        self.idle_adapters(now).min_by(|a, b| demand(a).total_cmp(&demand(b))).cloned()
    }

    /// Adapters that may be taken out: none before relays have told which are in use.
    fn idle_adapters(&self, now: MonoTime) -> impl Iterator<Item = &AdapterKey> {
        let knows_uses =
            self.first_report_at.is_some_and(|at| now.saturating_sub(at) >= USES_TOLD_TIME);
        let is_recent = move |told: &MonoTime| now.saturating_sub(*told) < USE_LIFETIME;
        let is_used = move |key: &AdapterKey| {
            self.in_flight.values().any(|(uses, told)| is_recent(told) && uses.contains_key(key))
        };
        let is_new = move |key: &AdapterKey| {
            self.came_in.get(key).is_some_and(|at| now.saturating_sub(*at) < SETTLE_TIME)
        };
        let held = self.report.adapters.iter().map(|held| &held.key);
        held.filter(move |key| knows_uses && !is_used(key) && !is_new(key))
    }

    /// The order for an ask: what makes room goes first.
    fn order_for(
        &mut self,
        ask: &LoadAsk,
        evicted: Option<AdapterKey>,
        basis: OrderBasis,
    ) -> LoadOrder {
        self.fence += 1;
        let (kind, model, adapter, version) = match evicted {
            Some(key) => (OrderKind::Unload, key.model, Some(key.adapter), None),
            None => (OrderKind::Load, ask.model.clone(), ask.adapter.clone(), ask.version),
        };
        let (replica, holder) = (ask.replica.clone(), self.holder.clone());
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

    /// What is known of the engine from a report of this age.
    fn basis(&self, ask: &LoadAsk, report_age: Duration) -> OrderBasis {
        OrderBasis {
            report_age,
            held: self.report.adapters.len(),
            coming: self.coming(),
            places: ask.places,
        }
    }

    /// Takes the end of the order under way.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    /// use quillcove_core::relay::order::OrderOutcome;
    ///
    /// LoaderMachine::new("e1".into(), 1).end_order(OrderOutcome::Begun, Duration::ZERO);
    /// ```
    pub fn end_order(&mut self, outcome: OrderOutcome, now: MonoTime) {
        let Some((order, ask)) = self.under_way.take() else {
            return;
        };
        let may_have_begun = matches!(outcome, OrderOutcome::Begun | OrderOutcome::Unanswered);
        if order.kind == OrderKind::Load && !may_have_begun {
            match ask.key() {
                Some(key) => self.ordered.cancel(&key),
                None if self.is_local(&ask) => {},
                None => drop(self.model_loads.pop_back()),
            }
        }
        match (outcome, order.kind) {
            (OrderOutcome::Begun | OrderOutcome::Holds, OrderKind::Unload)
            | (OrderOutcome::Busy, _) => self.asks.push_front((ask, now)),
            (OrderOutcome::FenceTooLow, _) => {
                self.fence += FENCE_STEP;
                self.asks.push_front((ask, now));
            },
            _ => {},
        }
    }

    /// Ages of the loads of base models begun lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).model_loads(Duration::ZERO).is_empty());
    /// ```
    pub fn model_loads(&mut self, now: MonoTime) -> Vec<Duration> {
        self.model_loads.retain(|began| now.saturating_sub(*began) < LOADS_KEPT);
        self.model_loads.iter().map(|began| now.saturating_sub(*began)).collect()
    }
}

/// Whether an engine has a place for an adapter.
enum LoadRoom {
    /// It has.
    Free,
    /// It has when this one goes.
    Instead(AdapterKey),
    /// It has none now.
    NotYet,
}
