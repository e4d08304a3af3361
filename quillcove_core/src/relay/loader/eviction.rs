//! The use of the engine's adapters by all relays, and the choice of the adapter to evict.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::LoaderMachine;
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::beacon::{HeldAdapter, OrderCount, UseHeartbeat};
use crate::relay::order::{LoadOrder, OrderOutcome};

/// Half-life of the demand by which the adapter to evict is chosen.
pub(super) const DEMAND_HALF_LIFE: Duration = Duration::from_secs(8);

/// Time for which a newly loaded adapter is not evicted: the requests that waited for it are in
/// transit, and relays report their use only every 500 ms.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// The same where adapter slots are scarce and each relay that asked for the adapter has reported its use since: relays
/// then report a first use at once, so that the time has to cover transit only.
const SCARCE_SETTLE_TIME: Duration = Duration::from_millis(400);

/// Time in which a relay learns of a loaded adapter, sends the requests that waited for it and reports their use. A
/// report that arrives earlier may not include them.
const FIRST_USE_TIME: Duration = Duration::from_millis(100);

/// Time after the engine's first report by which the running relays have reported their use. They do
/// so twice a second; the rest covers transit and a busy host.
const USE_REPORT_WAIT: Duration = Duration::from_millis(600);

/// Time after a relay's last use report for which its requests count as in flight.
const USE_LIFETIME: Duration = Duration::from_millis(1600);

/// Time for which an adapter counts as in use after the engine did not carry out its unload. Relays report their use
/// twice a second, so that by its end the missing report has arrived.
const REJECTED_UNLOAD_TIME: Duration = Duration::from_millis(500);

/// An ordered adapter that has been loaded.
#[derive(Clone, Debug)]
pub(super) struct LoadedAdapter {
    pub at: MonoTime,
    /// Relays that asked for it, whose requests probably use it.
    pub relays: BTreeSet<SocketAddr>,
}

/// An unload order that the engine did not carry out, as far as is known.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectedUnload {
    at: MonoTime,
    /// The number of orders on which the order was based, if the engine responded that it was busy and has not been
    /// read since. Unless it had accepted other orders, it was busy with requests for the adapter.
    busy_after: Option<OrderCount>,
}

impl LoaderMachine {
    /// Records an unload order that the engine did not carry out; returns whether it is one.
    pub(super) fn note_rejected_unload(
        &mut self,
        order: &LoadOrder,
        outcome: OrderOutcome,
        now: MonoTime,
    ) -> bool {
        let busy_after = match outcome {
            OrderOutcome::Rejected | OrderOutcome::Unanswered => None,
            OrderOutcome::Busy if order.orders_seen.is_some() => order.orders_seen,
            OrderOutcome::Busy
            | OrderOutcome::Begun
            | OrderOutcome::Holds
            | OrderOutcome::FenceTooLow => return false,
        };
        self.rejected_unloads
            .retain(|_, rejected| now.saturating_sub(rejected.at) < REJECTED_UNLOAD_TIME);
        if let Some(adapter) = order.adapter.clone() {
            let key = AdapterKey { model: order.model.clone(), adapter };
            self.rejected_unloads.insert(key, RejectedUnload { at: now, busy_after });
        }
        true
    }

    /// Drops the rejected unloads that the first report after them explains otherwise: the engine had accepted orders
    /// on which the unload was not based. Later reports count the orders of this loader too and decide nothing.
    pub(super) fn confirm_rejected_unloads(&mut self) {
        let taken = self.report.orders_taken;
        self.rejected_unloads.retain(|_, rejected| {
            let busy_after = rejected.busy_after.take();
            busy_after.is_none() || busy_after == taken
        });
    }

    /// Records that a relay asks for an adapter that is loaded, so that it is not evicted before that relay's requests
    /// arrive.
    pub(super) fn note_asked_again(&mut self, relay: SocketAddr, key: &AdapterKey, now: MonoTime) {
        let fresh = || LoadedAdapter { at: now, relays: BTreeSet::new() };
        let loaded = self.loaded.entry(key.clone()).or_insert_with(fresh);
        loaded.at = now;
        loaded.relays.insert(relay);
    }

    /// Returns whether the engine has recently not carried out an unload of the adapter, so that a request may use it
    /// that no relay has reported.
    fn is_unload_rejected(&self, key: &AdapterKey, now: MonoTime) -> bool {
        let rejected = self.rejected_unloads.get(key);
        rejected.is_some_and(|rejected| now.saturating_sub(rejected.at) < REJECTED_UNLOAD_TIME)
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
        self.record_releases(now);
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

    /// Returns the idle adapter with the least demand.
    pub(super) fn eviction_candidate(&self, now: MonoTime) -> Option<AdapterKey> {
        let demand = |key: &AdapterKey| {
            self.demand.get(key).map_or(0.0, |meter| meter.level(now, DEMAND_HALF_LIFE))
        };
        self.idle_adapters(now).min_by(|a, b| demand(a).total_cmp(&demand(b))).cloned()
    }

    /// Returns whether relays had time to report which adapters are in use.
    pub(super) fn has_use_reports(&self, now: MonoTime) -> bool {
        self.first_report_at.is_some_and(|at| now.saturating_sub(at) >= USE_REPORT_WAIT)
    }

    /// Returns the time for which a newly loaded adapter is not evicted. Where a relay that asked for it has not reported
    /// since, the report of its first use may be lost: then it is the longer one, in which the next regular one comes.
    /// No asking relay is known if all were told meanwhile that the load had failed.
    fn settle_time(&self, loaded: &LoadedAdapter, now: MonoTime) -> Duration {
        let has_reported = |relay: &SocketAddr| {
            let reported_at = self.in_flight.get(relay).map(|(_, reported_at)| *reported_at);
            reported_at.is_some_and(|at| at >= loaded.at + FIRST_USE_TIME)
        };
        let have_reported = !loaded.relays.is_empty() && loaded.relays.iter().all(has_reported);
        match self.is_contended(now) && have_reported {
            true => SCARCE_SETTLE_TIME,
            false => SETTLE_TIME,
        }
    }

    /// Returns the adapters that may be evicted: those with no requests in flight that have not been
    /// loaded just now and whose unload has not just been rejected. There are none until relays had time to report which adapters are in use.
    pub(super) fn idle_adapters(&self, now: MonoTime) -> impl Iterator<Item = &AdapterKey> {
        let has_use_reports = self.has_use_reports(now);
        let is_recent =
            move |reported_at: &MonoTime| now.saturating_sub(*reported_at) < USE_LIFETIME;
        let is_used = move |key: &AdapterKey| {
            self.in_flight
                .values()
                .any(|(uses, reported_at)| is_recent(reported_at) && uses.contains_key(key))
        };
        let is_new = move |key: &AdapterKey| {
            self.loaded
                .get(key)
                .is_some_and(|loaded| now.saturating_sub(loaded.at) < self.settle_time(loaded, now))
        };
        let held = self.report.adapters.iter().map(|held| &held.key);
        held.filter(move |key| {
            has_use_reports && !is_used(key) && !is_new(key) && !self.is_unload_rejected(key, now)
        })
    }
}
