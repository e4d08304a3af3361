//! Requests loads of missing adapters, and further copies of adapters in demand.

use std::time::Duration;

use super::waiting::FIRST_REPORTS_TIME;
use super::{RelayMachine, RelayQuery};
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::demand::{AdapterNeed, EngineChoice};
use crate::relay::policy::CopyRule;
use crate::relay::replica::ReplicaView;
use crate::relay::routing::COPY_MIN_LOAD;
use crate::relay::sheet::ModelRecord;

/// Requests for one adapter in flight at an engine, from all relays, at which a busy engine justifies
/// another copy of the adapter. With fewer, a copy would not relieve the engine.
const COPY_MIN_REQUESTS: u32 = 4;

/// Time for which another copy of a loaded adapter stays wanted after the request that showed the
/// need.
const COPY_REQUEST_LIFETIME: Duration = Duration::from_secs(1);

/// Where a missing adapter is to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadTarget {
    /// At the engine that holds the adapter for all relays if engines are divided into cells; otherwise in the only
    /// cell.
    Home,
    /// In this relay's cell, until this many of its engines hold the adapter.
    Cell(usize),
}

impl RelayMachine {
    /// Returns whether loading the request's adapter makes engines exit.
    pub(super) fn is_load_fatal(&self, query: &RelayQuery, now: MonoTime) -> bool {
        query.adapter.as_ref().is_some_and(|key| self.is_fatal_load(key, now))
    }

    /// Requests another copy of the adapter if the chosen engine is busy or holds an older version
    /// than the newest.
    pub(super) fn request_copy(&mut self, query: &RelayQuery, chosen: &str, now: MonoTime) {
        let Some(key) = query.adapter.as_ref().filter(|_| query.origin.is_none()) else {
            return;
        };
        let Some(view) = self.table.get(chosen) else {
            return;
        };
        let newest = self.newest(key).unwrap_or(0);
        let is_outdated = view.version_of(key, now).is_some_and(|held| held < newest);
        // Another copy would be loaded before this engine has worked off its prefill backlog.
        let backlog = view.reading.backlog(&self.prefill_averages(&query.service, now));
        let is_busy = match self.rules.policy.copies {
            // An adapter in such demand at its home engine justifies a copy in this relay's cell.
            _ if !view.is_in_cell => true,
            CopyRule::Backlog => backlog >= self.demand.load_time(),
            CopyRule::Places => view.load(now) >= COPY_MIN_LOAD,
        };
        let is_crowded = is_busy && view.fleet_uses_of(key, now) >= COPY_MIN_REQUESTS;
        if is_outdated || is_crowded {
            let need = self.need_of(query, now);
            let engines = self.loading_engines(query);
            let holders = engines.filter(|view| need.is_met_by(view, now)).count();
            let wanted = if is_outdated { 1 } else { holders + 1 };
            self.request_load(query, now + COPY_REQUEST_LIFETIME, LoadTarget::Cell(wanted), now);
        }
    }

    /// Records that a request's adapter is missing, sends the most valuable load requests, and returns
    /// the time at which the adapter is expected to be loaded. The load is of no use to the request
    /// after `useful_until`. Returns `None` if the request names no adapter or its load makes engines exit.
    pub(super) fn request_load(
        &mut self,
        query: &RelayQuery,
        useful_until: MonoTime,
        target: LoadTarget,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let key = query.adapter.as_ref()?;
        if self.is_fatal_load(key, now) {
            return None;
        }
        if query.origin.is_some() {
            return self.request_load_at_origin(query, key, now);
        }
        let version = self.newest(key);
        let (holders, home) = match target {
            LoadTarget::Home => (1, self.home_of(&query.service, key, now)),
            LoadTarget::Cell(holders) => (holders, None),
        };
        let service = &query.service;
        let home = home.as_ref();
        let missing = AdapterNeed { key, service, version, useful_until, holders, home };
        let is_new = query.choice_count == 0;
        self.demand.record_need(&missing, is_new, now);
        // On later attempts to choose, reports and ticks have already sent the load requests.
        if is_new {
            self.send_load_requests(now);
        }
        let load_wait = self.demand.ready_at(key, now).saturating_sub(now);
        Some(self.model_ready_at(query, key, now) + load_wait)
    }

    /// Requests the adapter of a stream that has begun from an engine of its origin; an adapter that an engine of
    /// another software version loads is of no use to it. Returns when the adapter is expected to be loaded, or `None`
    /// if no engine of the origin can load it.
    fn request_load_at_origin(
        &mut self,
        query: &RelayQuery,
        key: &AdapterKey,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let sheet = self.sheet.clone()?;
        let engine = sheet.service(&query.service)?.engine.as_ref()?;
        let can_load = |view: &&ReplicaView| {
            let is_usable = view.takes_work(now) && view.seems_well(now);
            let holds_model = || view.models(now).contains(&key.model);
            query.admits(&view.record) && is_usable && !view.is_unreachable(now) && holds_model()
        };
        let engines: Vec<&ReplicaView> = self.table.all().filter(can_load).collect();
        if engines.is_empty() {
            let model = engine.models.iter().find(|model| model.name == key.model)?;
            let ready_at = self.first_model_ready(query, model, now)?;
            return Some(ready_at + self.demand.load_time());
        }
        let places = engine.places_beside(&key.model);
        let version = self.newest(key);
        self.demand.request_at(key, &engines, places, version, now)
    }

    /// Returns when an engine that may load the adapter of a request will have its base model loaded. Before the first
    /// reports arrive, the engines may have restarted together with this process and then load the model from the
    /// disks of their hosts.
    fn model_ready_at(&self, query: &RelayQuery, key: &AdapterKey, now: MonoTime) -> MonoTime {
        let record = self.sheet.as_ref().and_then(|sheet| sheet.service(&query.service));
        let models = record.and_then(|service| service.engine.as_ref()).map(|it| &it.models);
        let Some(model) = models.and_then(|models| models.iter().find(|it| it.name == key.model))
        else {
            return now;
        };
        match self.first_model_ready(query, model, now) {
            Some(ready_at) => ready_at,
            None if now < FIRST_REPORTS_TIME => now + model.disk_load_time,
            None => now,
        }
    }

    /// Returns when the first of these engines will have a base model loaded, as far as reports tell.
    fn first_model_ready(
        &self,
        query: &RelayQuery,
        model: &ModelRecord,
        now: MonoTime,
    ) -> Option<MonoTime> {
        self.loading_engines(query).filter_map(|view| view.model_ready_at(model, now)).min()
    }

    /// Sends as many load requests as the weight store has capacity for.
    pub(super) fn send_load_requests(&mut self, now: MonoTime) {
        if !self.demand.has_wanted() {
            return;
        }
        let Some(sheet) = self.sheet.clone() else {
            return;
        };
        let takes_loads = |view: &&ReplicaView| view.takes_work(now) && view.seems_well(now);
        let homes = self.demand.homes().filter_map(|home| self.table.get(home));
        let homes: Vec<&ReplicaView> = homes.filter(takes_loads).collect();
        let mut choices = Vec::new();
        for service in sheet.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let unreachable = self.unreachable_engines(&service.name, now);
            let is_reachable =
                |view: &&ReplicaView| !unreachable.contains(&view.record.id.as_str());
            let ready = self.table.all().filter(|view| {
                view.is_in_cell && view.record.service == service.name && takes_loads(view)
            });
            let ready = ready.filter(is_reachable);
            let norm = self.prefill_averages(&service.name, now);
            let is_home = |view: &&ReplicaView| view.record.service == service.name;
            let homes = homes.iter().copied().filter(is_home).filter(is_reachable).collect();
            let views = prefer_unlimited(ready.collect());
            choices.push(EngineChoice { service: &service.name, engine, views, homes, norm });
        }
        self.demand.pump(&choices, self.rules.policy.placement, now);
    }

    /// Returns the number of loads in progress on the whole site, as reported by the loaders.
    pub(super) fn incoming(&self, now: MonoTime) -> usize {
        let reports = self.table.all().filter_map(|view| view.report(now));
        reports.map(|report| report.incoming.len()).sum()
    }
}

/// Returns the engines that have announced no rate limit, or all of them if each has. An adapter on an engine with
/// a rate limit can serve only few requests.
fn prefer_unlimited(ready: Vec<&ReplicaView>) -> Vec<&ReplicaView> {
    let is_unlimited = |view: &&ReplicaView| view.standing.limit().is_none();
    let unlimited: Vec<&ReplicaView> =
        ready.iter().filter(|view| is_unlimited(view)).copied().collect();
    match unlimited.is_empty() {
        true => ready,
        false => unlimited,
    }
}
