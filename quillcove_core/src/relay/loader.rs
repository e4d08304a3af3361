//! Orders to the one engine beside a loader.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::beacon::{AdapterKey, EngineReport, LoadAsk, ReplicaId};
use crate::ids::{AdapterVersion, HostId, ModelName, MonoTime};

/// Time for which begun loads are told to relays; the window in which they count, and a margin.
const LOADS_KEPT: Duration = Duration::from_millis(5500);

/// Age at which an ask is dropped; its keeper asks again when the adapter still is wanted.
const ASK_LIFETIME: Duration = Duration::from_millis(1000);

/// Asks that may wait; an engine has no more than a few loads on their way.
const ASKS_WAITING: usize = 8;

/// Amount by which a fence is raised after the engine refused it as too low. Fences are
/// milliseconds of the wall clock, which may have stepped back by some seconds.
const FENCE_STEP: u64 = 10_000;

/// Time after which an ordered load that no report shows is taken as not begun.
const UNSEEN_LIFETIME: Duration = Duration::from_secs(5);

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OrderKind {
    /// Brings a base model or an adapter in.
    Load,
    /// Takes an adapter out.
    Unload,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadOrder {
    /// What it does.
    pub kind: OrderKind,
    /// Incarnation of the engine that is meant.
    pub replica: ReplicaId,
    /// Base model.
    pub model: ModelName,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<String>,
    /// Version of the adapter; `None` for the newest.
    pub version: Option<AdapterVersion>,
    /// Host that gives the order.
    pub holder: HostId,
    /// Grows over all orders of one holder.
    pub fence: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OrderOutcome {
    /// It is being carried out.
    Begun,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way.
    Busy,
    /// The engine has seen a higher fence.
    FenceTooLow,
    /// The engine is another incarnation, or does not take such an order.
    Rejected,
    /// No answer came; it may have been taken.
    Unanswered,
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
    begun: VecDeque<MonoTime>,
    /// Adapters whose load was ordered and that no report has shown yet.
    unseen: Vec<(AdapterKey, MonoTime)>,
    report: EngineReport,
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
            begun: VecDeque::new(),
            unseen: Vec::new(),
            report: EngineReport::default(),
        }
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

    /// Takes a report of the engine; tells whether what it holds changed.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(!machine.take_report(EngineReport::default()));
    /// ```
    pub fn take_report(&mut self, report: EngineReport) -> bool {
        let is_changed = report.models != self.report.models
            || report.adapters != self.report.adapters
            || report.incoming != self.report.incoming;
        let shows = |key: &AdapterKey| {
            report.adapters.iter().chain(&report.incoming).any(|held| held.key == *key)
        };
        self.unseen.retain(|(key, _)| !shows(key));
        self.report = report;
        is_changed
    }

    /// Takes an ask of the keeper. A second ask for the same thing replaces the first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::LoadAsk;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let ask = LoadAsk {
    ///     replica: "i-1".into(),
    ///     model: "m".into(),
    ///     adapter: Some("a1".into()),
    ///     version: None,
    ///     evict: None,
    ///     places: 4,
    /// };
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.take_ask(ask, Duration::ZERO);
    /// assert!(machine.next_order(Duration::ZERO).is_some());
    /// ```
    pub fn take_ask(&mut self, ask: LoadAsk, now: MonoTime) {
        let is_same = |other: &LoadAsk| other.model == ask.model && other.adapter == ask.adapter;
        if self.under_way.as_ref().is_some_and(|(_, current)| is_same(current)) {
            return;
        }
        self.asks.retain(|(other, _)| !is_same(other));
        if self.asks.len() < ASKS_WAITING {
            self.asks.push_back((ask, now));
        }
    }

    /// The next order to give, when none is under way.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).next_order(Duration::ZERO).is_none());
    /// ```
    pub fn next_order(&mut self, now: MonoTime) -> Option<LoadOrder> {
        if self.under_way.is_some() {
            return None;
        }
        self.asks.retain(|(_, taken)| now.saturating_sub(*taken) < ASK_LIFETIME);
        self.unseen.retain(|(_, ordered)| now.saturating_sub(*ordered) < UNSEEN_LIFETIME);
        loop {
            let (ask, _) = self.asks.pop_front()?;
            if self.is_done(&ask) {
                continue;
            }
            let order = self.order_for(&ask);
            if order.kind == OrderKind::Load {
                if !self.has_room(&ask) {
                    continue;
                }
                self.begun.push_back(now);
                self.unseen.extend(key_of(&ask).map(|key| (key, now)));
            }
            self.under_way = Some((order.clone(), ask));
            return Some(order);
        }
    }

    /// Tells whether the engine already holds, or awaits, what is asked for.
    fn is_done(&self, ask: &LoadAsk) -> bool {
        let Some(key) = key_of(ask) else {
            return self.report.models.contains(&ask.model);
        };
        let all = self.report.adapters.iter().chain(&self.report.incoming);
        let version = ask.version.unwrap_or(0);
        all.into_iter().any(|held| held.key == key && held.version >= version)
    }

    /// Tells whether the engine has a place for what is asked for. A new version takes the place
    /// of the old one.
    fn has_room(&self, ask: &LoadAsk) -> bool {
        let Some(key) = key_of(ask) else {
            return self.report.models.is_empty();
        };
        let replaces = self.report.adapters.iter().any(|held| held.key == key);
        let used = self.report.adapters.len() + self.report.incoming.len() + self.unseen.len();
        replaces || used < ask.places as usize
    }

    /// The order for an ask: what makes room goes first.
    fn order_for(&mut self, ask: &LoadAsk) -> LoadOrder {
        self.fence += 1;
        let holds = |key: &&AdapterKey| self.report.adapters.iter().any(|held| held.key == **key);
        let (kind, model, adapter, version) = match ask.evict.as_ref().filter(holds) {
            Some(key) => (OrderKind::Unload, key.model.clone(), Some(key.adapter.clone()), None),
            None => (OrderKind::Load, ask.model.clone(), ask.adapter.clone(), ask.version),
        };
        let (replica, holder) = (ask.replica.clone(), self.holder.clone());
        LoadOrder { kind, replica, model, adapter, version, holder, fence: self.fence }
    }

    /// Takes the end of the order under way.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::{LoaderMachine, OrderOutcome};
    ///
    /// LoaderMachine::new("e1".into(), 1).end_order(OrderOutcome::Begun, Duration::ZERO);
    /// ```
    pub fn end_order(&mut self, outcome: OrderOutcome, now: MonoTime) {
        let Some((order, mut ask)) = self.under_way.take() else {
            return;
        };
        match (outcome, order.kind) {
            (OrderOutcome::Begun | OrderOutcome::Unanswered, OrderKind::Load) => {},
            (_, OrderKind::Load) => {
                self.begun.pop_back();
                self.unseen.retain(|(key, _)| Some(key) != key_of(&ask).as_ref());
            },
            (_, OrderKind::Unload) => {},
        }
        match (outcome, order.kind) {
            (OrderOutcome::Begun | OrderOutcome::Holds, OrderKind::Unload) => {
                ask.evict = None;
                self.asks.push_front((ask, now));
            },
            (OrderOutcome::FenceTooLow, _) => {
                self.fence += FENCE_STEP;
                self.asks.push_front((ask, now));
            },
            _ => {},
        }
    }

    /// Ages of the loads begun lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).recent_loads(Duration::ZERO).is_empty());
    /// ```
    pub fn recent_loads(&mut self, now: MonoTime) -> Vec<Duration> {
        self.begun.retain(|began| now.saturating_sub(*began) < LOADS_KEPT);
        self.begun.iter().map(|began| now.saturating_sub(*began)).collect()
    }
}

fn key_of(ask: &LoadAsk) -> Option<AdapterKey> {
    let adapter = ask.adapter.clone()?;
    Some(AdapterKey { model: ask.model.clone(), adapter })
}
