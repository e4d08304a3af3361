//! Which adapter is asked of which engine, and when it will be there.
//!
//! Each relay decides alone. All relays rank the engines alike for an adapter, so that two of them
//! ask the same loader, which gives one order; and an adapter that was evicted comes back to the
//! engine that still has a copy of it in its host's memory.

use std::collections::HashMap;
use std::time::Duration;

use super::beacon::{AdapterKey, AddressedAsk, LoadAsk, ReplicaId};
use super::replica::ReplicaView;
use super::sheet::EngineRecord;
use crate::ids::{AdapterVersion, MonoTime};
use crate::rendezvous;

/// Adapters that an engine takes in at once; more of them wait at their loader.
const INCOMING_LIMIT: usize = 4;

/// Load at which an engine takes in no further adapters while others do, in shares of its places.
const BUSY_LOAD: f64 = 0.8;

/// Time after which an ask that no report shows is sent again; it may have been lost.
const ASK_AGAIN: Duration = Duration::from_millis(160);

/// Asks sent to one engine before another one is asked.
const ASK_LIMIT: u32 = 3;

/// Time after which an ask is forgotten whatever became of it.
const ASK_LIFETIME: Duration = Duration::from_secs(5);

/// Time of a load until the first one has been seen; what the engines of the standard deployments
/// take.
const FIRST_LOAD_TIME: Duration = Duration::from_millis(300);

/// Weight of a newly seen load in the mean time of loads.
const LOAD_TIME_WEIGHT: f64 = 0.1;

/// An adapter that was asked for and is not there yet.
#[derive(Clone, Debug)]
struct OpenAsk {
    addressed: AddressedAsk,
    first_sent: MonoTime,
    last_sent: MonoTime,
    times: u32,
    ready_at: MonoTime,
}

/// The adapters that one relay has asked for.
#[derive(Debug, Default)]
pub struct AdapterDemand {
    open: HashMap<AdapterKey, OpenAsk>,
    /// Asks to be sent.
    outbox: Vec<AddressedAsk>,
    load_time: Option<Duration>,
}

impl AdapterDemand {
    /// Mean time from an ask until the adapter is reported.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().load_time() > std::time::Duration::ZERO);
    /// ```
    pub fn load_time(&self) -> Duration {
        self.load_time.unwrap_or(FIRST_LOAD_TIME)
    }

    /// The asks to send now.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().take_outbox().is_empty());
    /// ```
    pub fn take_outbox(&mut self) -> Vec<AddressedAsk> {
        std::mem::take(&mut self.outbox)
    }

    /// Tells whether an adapter has been asked for and is not there yet.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert!(!AdapterDemand::default().is_open(&key));
    /// ```
    pub fn is_open(&self, key: &AdapterKey) -> bool {
        self.open.contains_key(key)
    }

    /// Takes what an engine holds now: asks that it meets are done.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// AdapterDemand::default().note_held(table.get("i-1").unwrap(), Duration::ZERO);
    /// ```
    pub fn note_held(&mut self, view: &ReplicaView, now: MonoTime) {
        for held in view.adapters(now) {
            let is_met = self.open.get(&held.key).is_some_and(|ask| {
                let ask = &ask.addressed.ask;
                ask.replica == view.record.id && held.version >= ask.version.unwrap_or(0)
            });
            if !is_met {
                continue;
            }
            if let Some(ask) = self.open.remove(&held.key) {
                self.note_load_time(now.saturating_sub(ask.first_sent));
            }
        }
    }

    fn note_load_time(&mut self, took: Duration) {
        let mean = self.load_time();
        let next = mean.mul_f64(1.0 - LOAD_TIME_WEIGHT) + took.mul_f64(LOAD_TIME_WEIGHT);
        self.load_time = Some(next);
    }

    /// Forgets asks whose time is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().tick(Duration::ZERO);
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        self.open.retain(|_, ask| now.saturating_sub(ask.first_sent) < ASK_LIFETIME);
    }

    /// Asks for an adapter at the best of some engines, unless it is on its way already; gives the
    /// time at which it will be there. `None` when no engine can take it in.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::demand::AdapterDemand;
    /// use quillcove_core::relay::sheet::EngineRecord;
    ///
    /// let engine = EngineRecord {
    ///     models: Vec::new(),
    ///     weights_mb: 0.0,
    ///     adapter_places: 4,
    ///     loads_per_second: 3.0,
    /// };
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let mut demand = AdapterDemand::default();
    /// assert_eq!(demand.ask(&key, None, &[], &engine, Duration::ZERO), None);
    /// ```
    pub fn ask(
        &mut self,
        key: &AdapterKey,
        version: Option<AdapterVersion>,
        engines: &[&ReplicaView],
        engine: &EngineRecord,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let mut passed_over = None;
        if let Some(open) = self.open.get_mut(key) {
            let target = engines.iter().find(|view| view.record.id == open.addressed.ask.replica);
            let is_seen = target.is_some_and(|view| is_incoming(view, key, now));
            let is_due = now.saturating_sub(open.last_sent) >= ASK_AGAIN;
            match target {
                Some(_) if is_seen || !is_due => return Some(open.ready_at.max(now)),
                Some(_) if open.times < ASK_LIMIT => {
                    open.times += 1;
                    open.last_sent = now;
                    self.outbox.push(open.addressed.clone());
                    return Some(open.ready_at.max(now));
                },
                _ => passed_over = Some(open.addressed.ask.replica.clone()),
            }
        }
        let places = engine.places_beside(&key.model);
        let view = self.best_engine(key, engines, places, passed_over.as_ref(), now)?;
        let ask = LoadAsk {
            replica: view.record.id.clone(),
            model: key.model.clone(),
            adapter: Some(key.adapter.clone()),
            version,
            places: places as u32,
        };
        let addressed = AddressedAsk { engine: view.record.address, ask };
        let ahead = self.on_the_way(view, now);
        let turns = 1 + (ahead / INCOMING_LIMIT) as u32;
        let ready_at = now + self.load_time() * turns;
        let first_sent = self.open.get(key).map_or(now, |open| open.first_sent);
        let open = OpenAsk {
            addressed: addressed.clone(),
            first_sent,
            last_sent: now,
            times: 1,
            ready_at,
        };
        self.open.insert(key.clone(), open);
        self.outbox.push(addressed);
        Some(ready_at)
    }

    /// The engine that ranks first for an adapter: those with a free place go before full ones,
    /// and those that are busy taking others in come last.
    fn best_engine<'a>(
        &self,
        key: &AdapterKey,
        engines: &[&'a ReplicaView],
        places: usize,
        passed_over: Option<&ReplicaId>,
        now: MonoTime,
    ) -> Option<&'a ReplicaView> {
        let can_take = |view: &&&ReplicaView| {
            let is_passed = passed_over == Some(&view.record.id);
            let report = view.report(now);
            report.is_some_and(|report| report.models.contains(&key.model) && !report.is_busy)
                && view.version_of(key, now).is_none()
                && !is_passed
        };
        let rank = |view: &ReplicaView| {
            let coming = self.on_the_way(view, now);
            let is_overrun = coming >= INCOMING_LIMIT || view.load(now) >= BUSY_LOAD;
            let is_full = view.adapters(now).len() + coming >= places;
            let weight = rendezvous::weight(&key.adapter, &view.record.address.to_string());
            (is_overrun, is_full, std::cmp::Reverse(weight))
        };
        engines.iter().filter(can_take).min_by_key(|view| rank(view)).copied()
    }

    /// Adapters on their way to an engine: those that it reports, and those asked for since.
    fn on_the_way(&self, view: &ReplicaView, now: MonoTime) -> usize {
        let reported = view.report(now).map_or(0, |report| report.incoming.len());
        let is_unseen = |(key, open): &(&AdapterKey, &OpenAsk)| {
            open.addressed.ask.replica == view.record.id && !is_incoming(view, key, now)
        };
        reported + self.open.iter().filter(is_unseen).count()
    }
}

fn is_incoming(view: &ReplicaView, key: &AdapterKey, now: MonoTime) -> bool {
    view.report(now).is_some_and(|report| report.incoming.iter().any(|held| held.key == *key))
}
