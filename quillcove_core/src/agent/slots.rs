//! The agent's view of the engine's adapter slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::adapter::AdapterRef;
use crate::agent::event::{EngineReport, EvictRule};
use crate::bundle::FleetBundle;
use crate::demand::DemandMeter;
use crate::ids::MonoTime;

/// State of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load order was sent.
    Loading,
    /// The adapter serves requests.
    Ready,
    /// An unload order was sent; its outcome is pending or unknown.
    Unloading,
}

/// A slot that holds an adapter.
#[derive(Clone, Debug)]
pub struct AdapterSlot {
    /// State of the slot.
    pub state: SlotState,
    /// Number of requests of an earlier agent that may still run. Only falls, except during the
    /// settle time after a takeover.
    pub inherited_requests: usize,
    /// Time of the last use.
    pub last_used: MonoTime,
}

/// All slots of one process start of the engine.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    /// Total number of slots.
    pub total: usize,
    slots: BTreeMap<AdapterRef, AdapterSlot>,
}

impl SlotTable {
    /// Creates the table from a report, for an agent that takes over an engine.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::event::EngineReport;
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// let report = EngineReport { slots: 4, ..EngineReport::default() };
    /// assert!(SlotTable::from_report(&report, Duration::ZERO).has_free_slot());
    /// ```
    pub fn from_report(report: &EngineReport, now: MonoTime) -> Self {
        let mut table = Self { total: report.slots, slots: BTreeMap::new() };
        for adapter in &report.loaded {
            table.add(adapter, SlotState::Ready, now);
        }
        for (adapter, running) in &report.running {
            if let Some(slot) = table.slots.get_mut(adapter) {
                slot.inherited_requests = *running;
            }
        }
        table
    }

    /// Adds an adapter in the given state.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::slots::{SlotState, SlotTable};
    ///
    /// let mut table = SlotTable::default();
    /// table.add(&AdapterRef::new("shuttle", 1), SlotState::Ready, Duration::ZERO);
    /// assert!(table.is_ready(&AdapterRef::new("shuttle", 1)));
    /// ```
    pub fn add(&mut self, adapter: &AdapterRef, state: SlotState, now: MonoTime) {
        let slot = AdapterSlot { state, inherited_requests: 0, last_used: now };
        self.slots.insert(adapter.clone(), slot);
    }

    /// Removes an adapter.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// SlotTable::default().remove(&AdapterRef::new("shuttle", 1));
    /// ```
    pub fn remove(&mut self, adapter: &AdapterRef) {
        self.slots.remove(adapter);
    }

    /// Returns the slot of an adapter.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// assert!(SlotTable::default().get(&AdapterRef::new("shuttle", 1)).is_none());
    /// ```
    pub fn get(&self, adapter: &AdapterRef) -> Option<&AdapterSlot> {
        self.slots.get(adapter)
    }

    /// Returns the slot of an adapter for modification.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// assert!(SlotTable::default().get_mut(&AdapterRef::new("shuttle", 1)).is_none());
    /// ```
    pub fn get_mut(&mut self, adapter: &AdapterRef) -> Option<&mut AdapterSlot> {
        self.slots.get_mut(adapter)
    }

    /// Iterates over all occupied slots, ordered by adapter.
    ///
    /// ```
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// assert_eq!(SlotTable::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterRef, &AdapterSlot)> {
        self.slots.iter()
    }

    /// Returns whether requests for the adapter can start.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// assert!(!SlotTable::default().is_ready(&AdapterRef::new("shuttle", 1)));
    /// ```
    pub fn is_ready(&self, adapter: &AdapterRef) -> bool {
        self.slots.get(adapter).is_some_and(|slot| slot.state == SlotState::Ready)
    }

    /// Returns whether a slot is free.
    ///
    /// ```
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// assert!(!SlotTable::default().has_free_slot());
    /// ```
    pub fn has_free_slot(&self) -> bool {
        self.slots.len() < self.total
    }

    /// Applies a later report of the same process start of the engine; `pins` returns the agent's
    /// own pins of an adapter. Reports may be outdated, so a slot is dropped only when its adapter
    /// is not pinned and no order is pending. The number of an earlier agent's requests only falls,
    /// except while the agent has just taken over and a report may predate the takeover.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::event::EngineReport;
    /// use quillcove_core::agent::slots::SlotTable;
    ///
    /// let mut table = SlotTable::default();
    /// table.update(&EngineReport::default(), |_| 0, false, true, Duration::ZERO);
    /// ```
    pub fn update(
        &mut self,
        report: &EngineReport,
        pins: impl Fn(&AdapterRef) -> usize,
        is_settling: bool,
        reflects_orders: bool,
        now: MonoTime,
    ) {
        for (adapter, slot) in &mut self.slots {
            let running = report.running.iter().find(|(other, _)| other == adapter);
            let running = running.map_or(0, |(_, count)| *count);
            slot.inherited_requests = match is_settling {
                true => slot.inherited_requests.max(running.saturating_sub(pins(adapter))),
                false => slot.inherited_requests.min(running),
            };
        }
        if !reflects_orders {
            return;
        }
        let is_lost = |adapter: &AdapterRef, slot: &AdapterSlot| {
            slot.state == SlotState::Ready && pins(adapter) == 0 && !report.loaded.contains(adapter)
        };
        self.slots.retain(|adapter, slot| !is_lost(adapter, slot));
        for adapter in &report.loaded {
            if !self.slots.contains_key(adapter) {
                self.add(adapter, SlotState::Ready, now);
            }
        }
    }
}

/// Ranks loaded adapters for eviction.
pub struct EvictionRanking<'a> {
    /// Rule that selects the adapter.
    pub rule: EvictRule,
    /// Demand by adapter.
    pub demand: &'a BTreeMap<AdapterRef, DemandMeter>,
    /// Half-life of the demand meters.
    pub half_life: Duration,
    /// Bundle in force.
    pub bundle: &'a FleetBundle,
}

impl EvictionRanking<'_> {
    /// Returns the value of keeping an adapter loaded: its expected requests per second, weighted
    /// by priority, or zero if the bundle no longer serves it.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::event::EvictRule;
    /// use quillcove_core::agent::slots::EvictionRanking;
    /// use quillcove_core::bundle::FleetBundle;
    ///
    /// let ranking = EvictionRanking {
    ///     rule: EvictRule::Value,
    ///     demand: &BTreeMap::new(),
    ///     half_life: Duration::from_secs(30),
    ///     bundle: &FleetBundle::default(),
    /// };
    /// assert_eq!(ranking.value(&AdapterRef::new("shuttle", 1), Duration::ZERO), 0.0);
    /// ```
    pub fn value(&self, adapter: &AdapterRef, now: MonoTime) -> f64 {
        if !self.bundle.serves(adapter) {
            return 0.0;
        }
        let meter = self.demand.get(adapter);
        let rate = meter.map_or(0.0, |meter| meter.rate(now, self.half_life));
        rate * priority_weight(self.bundle.priority_of(adapter))
    }

    /// Returns the adapter to evict: one that is loaded and has no running or waiting requests, and
    /// that ranks lowest under the rule.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use quillcove_core::agent::event::EvictRule;
    /// use quillcove_core::agent::slots::{EvictionRanking, SlotTable};
    /// use quillcove_core::bundle::FleetBundle;
    ///
    /// let ranking = EvictionRanking {
    ///     rule: EvictRule::Lru,
    ///     demand: &BTreeMap::new(),
    ///     half_life: Duration::from_secs(30),
    ///     bundle: &FleetBundle::default(),
    /// };
    /// assert!(ranking.victim(&SlotTable::default(), |_| false, Duration::ZERO).is_none());
    /// ```
    pub fn victim(
        &self,
        table: &SlotTable,
        is_in_use: impl Fn(&AdapterRef) -> bool,
        now: MonoTime,
    ) -> Option<AdapterRef> {
        let idle = table.iter().filter(|(adapter, slot)| {
            slot.state == SlotState::Ready && slot.inherited_requests == 0 && !is_in_use(adapter)
        });
        let last_used_at = |slot: &AdapterSlot| slot.last_used;
        let chosen = match self.rule {
            EvictRule::Lru => idle.min_by_key(|(_, slot)| last_used_at(slot)),
            EvictRule::Value => idle.min_by(|(a, slot_a), (b, slot_b)| {
                let order = self.value(a, now).total_cmp(&self.value(b, now));
                order.then(last_used_at(slot_a).cmp(&last_used_at(slot_b)))
            }),
        };
        chosen.map(|(adapter, _)| adapter.clone())
    }
}

/// Returns the weight of a bundle's priority: each step adds a quarter.
///
/// ```
/// use quillcove_core::agent::slots::priority_weight;
///
/// assert_eq!(priority_weight(0), 1.0);
/// assert_eq!(priority_weight(4), 2.0);
/// ```
pub fn priority_weight(priority: u8) -> f64 {
    1.0 + f64::from(priority) / 4.0
}
