//! Chooses the next step of a request: send it to a replica, wait for its adapter to load, or reject it.

use std::time::Duration;

use super::standing::EligibleReplicas;
use super::{AttemptOrder, RelayChoice, RelayMachine, RelayQuery, refuse};
use crate::crash::book::FORGET_TIME;
use crate::ids::{AdapterVersion, MonoTime};
use crate::relay::beacon::{AdapterKey, ReplicaId};
use crate::relay::demand::{AdapterNeed, EngineChoice};
use crate::relay::policy::{CopyRule, RoutingRule, WaitingRule};
use crate::relay::reading::PrefillPrompt;
use crate::relay::replica::ReplicaView;
use crate::relay::routing::{self, COPY_MIN_LOAD, LoadedRequirement, RoutingCost};
use crate::verdict::{RefusalReason, SHORT_RETRY_DELAY, WorkRefusal};

/// Time from the arrival of a request at an engine to its first event while the batch is not full:
/// the prefill of a typical prompt and two decoding steps.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// Share of a route's target latency within which a request is either sent or rejected, so that a
/// rejected caller can still be served in time when it retries.
const EARLY_REJECT_SHARE: f64 = 0.2;

/// Multiple of a route's target latency for which a request keeps waiting when the load of its
/// adapter takes longer than estimated.
const LATE_LOAD_FACTOR: f64 = 2.0;

/// Added to the estimated load time in the retry delay sent to callers: the time until the report of
/// the finished load reaches this relay.
const REPORT_DELAY: Duration = Duration::from_millis(80);

/// Time from the start of the process within which all loaders have reported to it: they learn of
/// the process with the first read of the membership list.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(500);

/// Retry delay for a caller that another relay can serve at once.
const OTHER_RELAY_DELAY: Duration = Duration::from_millis(20);

/// Upper bound of the retry delay, as a share of the caller's remaining time: callers do not wait
/// longer than a third of it before they retry.
const RETRY_DELAY_SHARE: f64 = 0.33;

/// Requests for one adapter in flight at an engine, from all relays, at which a busy engine justifies
/// another copy of the adapter. With fewer, a copy would not relieve the engine.
const COPY_MIN_REQUESTS: u32 = 4;

/// Time for which another copy of a loaded adapter stays wanted after the request that showed the
/// need.
const COPY_REQUEST_LIFETIME: Duration = Duration::from_secs(1);

/// Interval at which a request that waits for an adapter checks whether its load request has to be
/// sent again.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Where a missing adapter is to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadTarget {
    /// At the engine that holds the adapter for all relays if engines are divided into cells; otherwise in the only
    /// cell.
    Home,
    /// In this relay's cell, until this many of its engines hold the adapter.
    Cell(usize),
}

impl RelayMachine {
    /// Returns the lowest version of an adapter on which a request may start now.
    fn min_version(&self, key: &AdapterKey, now: MonoTime) -> AdapterVersion {
        match self.versions.get(key) {
            Some((version, strict_from)) if now >= *strict_from => *version,
            _ => 0,
        }
    }

    /// Chooses the next step of a request, excluding the replicas in `tried`.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
    /// use quillcove_core::route::{RouteKind, RouteRecord};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     is_public: true,
    ///     targets: Vec::new(),
    /// };
    /// let query = RelayQuery {
    ///     route: Arc::new(route),
    ///     service: "s".into(),
    ///     model: None,
    ///     adapter: None,
    ///     prompt_tokens: None,
    ///     received: Duration::ZERO,
    ///     since_first_attempt: Duration::ZERO,
    ///     deadline: Duration::from_secs(1),
    ///     choice_count: 0,
    ///     grant: None,
    ///     identity: None,
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let choice = machine.choose(&query, &[], Duration::ZERO);
    /// assert!(matches!(choice, RelayChoice::Refuse(_)));
    /// ```
    pub fn choose(
        &mut self,
        query: &RelayQuery,
        tried: &[ReplicaId],
        now: MonoTime,
    ) -> RelayChoice {
        if now >= query.deadline {
            return refuse(RefusalReason::DeadlinePassed, None);
        }
        if self.is_revoked(query) {
            return refuse(RefusalReason::KeyUnknown, None);
        }
        if self.is_rejected_as_fatal(query, now) {
            return refuse(RefusalReason::EndsUpstreams, Some(FORGET_TIME));
        }
        let draw = self.draw();
        let (eligible, is_last_resort) = match self.eligible_replicas(query, now) {
            EligibleReplicas::Open(open) => (open, false),
            EligibleReplicas::LastResort(leaving) => (leaving, true),
            EligibleReplicas::AvailableAt(until) => return self.refuse_until(until, now),
            EligibleReplicas::None => {
                return refuse(RefusalReason::NoUpstream, Some(SHORT_RETRY_DELAY));
            },
        };
        let limit = self.connection_limit(&query.service);
        let has_connection =
            |view: &&ReplicaView| (view.in_flight as usize) < self.connection_share(limit, view);
        let open: Vec<&ReplicaView> = eligible.into_iter().filter(has_connection).collect();
        if open.is_empty() {
            return RelayChoice::Refuse(WorkRefusal::overloaded());
        }
        let candidates = prefer_healthy(&open, now);
        let need = self.need_of(query, now);
        let holds = |view: &&&ReplicaView| need.is_met_by(view, now);
        let mut holders: Vec<&ReplicaView> = candidates.iter().filter(holds).copied().collect();
        if holders.is_empty() {
            holders = self.far_holders(query, now);
        }
        let is_untried = |view: &&&ReplicaView| !tried.contains(&view.record.id);
        let mut untried: Vec<&ReplicaView> = holders.iter().filter(is_untried).copied().collect();
        if untried.is_empty() && !holders.is_empty() {
            // A replica whose entry is merely unconfirmed is better than a rejection.
            let unconfirmed = open.iter().filter(|view| view.is_unconfirmed());
            untried = unconfirmed.filter(holds).filter(is_untried).copied().collect();
        }
        let current = self.prefer_newest(query, &untried, now);
        let norm = self.table.norm(&query.service);
        let cost =
            RoutingCost { prompt: self.routing_prompt(query), norm: &norm, hall: &self.rules.hall };
        let sampled = routing::sample(&current, self.relays, draw);
        let overdue = current.iter().find(|view| view.standing.is_limit_overdue(now)).copied();
        match overdue.or_else(|| routing::choose(&sampled, &cost, now, draw)) {
            Some(view) => {
                let order = AttemptOrder {
                    is_last_resort,
                    chosen_at: now,
                    ..AttemptOrder::to(&view.record)
                };
                self.request_copy(query, &order.replica, now);
                RelayChoice::Send(order)
            },
            None if holders.is_empty() && self.is_load_fatal(query, now) => {
                refuse(RefusalReason::EndsUpstreams, Some(FORGET_TIME))
            },
            None if query.adapter.is_some() && holders.is_empty() => {
                self.wait_or_refuse(query, now)
            },
            None => refuse(RefusalReason::NoUpstream, Some(SHORT_RETRY_DELAY)),
        }
    }

    /// Returns whether loading the request's adapter makes engines exit.
    fn is_load_fatal(&self, query: &RelayQuery, now: MonoTime) -> bool {
        query.adapter.as_ref().is_some_and(|key| self.is_fatal_load(key, now))
    }

    /// Returns the prompt that the cost of replicas depends on; `None` under a rule that ignores prompts.
    fn routing_prompt(&self, query: &RelayQuery) -> Option<PrefillPrompt> {
        match self.rules.policy.routing {
            RoutingRule::Reading => {
                let rank = query.rank();
                query.prompt_tokens.map(|tokens| PrefillPrompt { tokens, rank })
            },
            RoutingRule::Places => None,
        }
    }

    /// Returns the number of connections that a replica of a service accepts from all relays together.
    fn connection_limit(&self, service: &str) -> usize {
        let record = self.sheet.as_ref().and_then(|sheet| sheet.service(service));
        record.map_or(usize::MAX, |service| service.connection_limit)
    }

    /// Returns the number of connections that this relay may have to a replica: an even share of what the replica
    /// accepts, with one share left for relays that are not known yet. With more relays than connections, only the
    /// relays that rank first for the replica have one each.
    fn connection_share(&self, limit: usize, view: &ReplicaView) -> usize {
        match limit / (self.relays + 1) {
            0 => usize::from(self.peers.rank(&view.record.id) < limit),
            share => share,
        }
    }

    /// Narrows the holders of an adapter to those with its newest version, if there are any.
    fn prefer_newest<'a>(
        &self,
        query: &RelayQuery,
        holders: &[&'a ReplicaView],
        now: MonoTime,
    ) -> Vec<&'a ReplicaView> {
        let newest = query.adapter.as_ref().and_then(|key| Some((key, self.newest(key)?)));
        let Some((key, version)) = newest else {
            return holders.to_vec();
        };
        let need = LoadedRequirement::Adapter(key, version);
        let current: Vec<&ReplicaView> =
            holders.iter().filter(|view| need.is_met_by(view, now)).copied().collect();
        match current.is_empty() {
            true => holders.to_vec(),
            false => current,
        }
    }

    /// Requests another copy of the adapter if the chosen engine is busy or holds an older version
    /// than the newest.
    fn request_copy(&mut self, query: &RelayQuery, chosen: &str, now: MonoTime) {
        let Some(key) = &query.adapter else {
            return;
        };
        let Some(view) = self.table.get(chosen) else {
            return;
        };
        let newest = self.newest(key).unwrap_or(0);
        let is_outdated = view.version_of(key, now).is_some_and(|held| held < newest);
        // Another copy would be loaded before this engine has worked off its prefill backlog.
        let backlog = view.reading.backlog(&self.table.norm(&query.service));
        let is_busy = match self.rules.policy.copies {
            // An adapter in such demand at its home engine justifies a copy in this relay's cell.
            _ if !view.is_in_cell => true,
            CopyRule::Backlog => backlog >= self.demand.load_time(),
            CopyRule::Places => view.load(now) >= COPY_MIN_LOAD,
        };
        let is_crowded = is_busy && view.fleet_uses_of(key, now) >= COPY_MIN_REQUESTS;
        if is_outdated || is_crowded {
            let need = self.need_of(query, now);
            let engines = self.near_engines(&query.service);
            let holders = engines.filter(|view| need.is_met_by(view, now)).count();
            let wanted = if is_outdated { 1 } else { holders + 1 };
            self.request_load(query, now + COPY_REQUEST_LIFETIME, LoadTarget::Cell(wanted), now);
        }
    }

    /// Records that a request's adapter is missing, sends the most valuable load requests, and returns
    /// the time at which the adapter is expected to be loaded. The load is of no use to the request
    /// after `useful_until`. Returns `None` if the request names no adapter or its load makes engines exit.
    fn request_load(
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
        Some(self.model_ready_at(&query.service, &key.model, now) + load_wait)
    }

    /// Returns when an engine of a service will have a base model loaded. Before the first reports
    /// arrive, the engines may have restarted together with this process and then load the model from
    /// the disks of their hosts.
    fn model_ready_at(&self, service: &str, model: &str, now: MonoTime) -> MonoTime {
        let record = self.sheet.as_ref().and_then(|sheet| sheet.service(service));
        let models = record.and_then(|service| service.engine.as_ref()).map(|it| &it.models);
        let Some(model) = models.and_then(|models| models.iter().find(|it| it.name == model))
        else {
            return now;
        };
        let engines = self.near_engines(service);
        let ready = engines.filter_map(|view| view.model_ready_at(model, now)).min();
        match ready {
            Some(ready) => ready,
            None if now < FIRST_REPORTS_TIME => now + model.disk_load_time,
            None => now,
        }
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
            let ready = self.table.all().filter(|view| {
                view.is_in_cell && view.record.service == service.name && takes_loads(view)
            });
            let norm = self.table.norm(&service.name);
            let is_home = |view: &&ReplicaView| view.record.service == service.name;
            let homes = homes.iter().copied().filter(is_home).collect();
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

    /// Returns what a replica must have loaded to take a request.
    pub(super) fn need_of<'a>(
        &self,
        query: &'a RelayQuery,
        now: MonoTime,
    ) -> LoadedRequirement<'a> {
        match (&query.adapter, &query.model) {
            (Some(key), _) => LoadedRequirement::Adapter(key, self.min_version(key, now)),
            (None, Some(model)) => LoadedRequirement::Model(model),
            (None, None) => LoadedRequirement::Nothing,
        }
    }

    /// Decides on a request whose adapter no engine holds: waits if the adapter will be loaded in time,
    /// otherwise rejects the request at once with a retry delay.
    fn wait_or_refuse(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        match self.rules.policy.waiting {
            WaitingRule::Returned if query.is_retry() => self.await_while_servable(query, now),
            WaitingRule::Servable => self.await_while_servable(query, now),
            WaitingRule::Returned | WaitingRule::Aim => self.await_within_target(query, now),
        }
    }

    /// Waits as long as the adapter can be loaded and the first event sent before the caller leaves;
    /// otherwise rejects the request at once.
    fn await_while_servable(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        let abandon_at = query.abandon_at();
        let ready_at = self.request_load(query, abandon_at, LoadTarget::Home, now);
        let reading = self.shortest_reading_time(query);
        let is_servable = ready_at.is_some_and(|at| at + reading <= abandon_at);
        if is_servable && (self.has_engine_reports(&query.service, now) || now < FIRST_REPORTS_TIME)
        {
            return RelayChoice::Wait((now + LOAD_CHECK_INTERVAL).min(abandon_at));
        }
        self.refuse_unready(query, ready_at, now)
    }

    /// Returns the shortest time to a request's first event over the engines of this relay's cell.
    fn shortest_reading_time(&self, query: &RelayQuery) -> Duration {
        let rank = query.rank();
        let prompt = PrefillPrompt { tokens: query.prompt_tokens.unwrap_or(0), rank };
        let norm = self.table.norm(&query.service);
        let engines = self.near_engines(&query.service);
        let times = engines.map(|view| view.reading.time_to_first_event(prompt, &norm));
        times.min().unwrap_or(Duration::ZERO)
    }

    /// Waits for an adapter that will be loaded within the target latency. Waits longer only if the load
    /// became late after the time for an early rejection had passed.
    fn await_within_target(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        let target_latency = query.route.aim;
        let decide_by = query.received + target_latency.mul_f64(EARLY_REJECT_SHARE);
        let give_up =
            (query.received + target_latency.mul_f64(LATE_LOAD_FACTOR)).min(query.deadline);
        let ready_at = self.request_load(query, give_up, LoadTarget::Home, now);
        let is_in_time =
            ready_at.is_some_and(|at| at + FIRST_EVENT_TIME <= query.received + target_latency);
        if is_in_time {
            return RelayChoice::Wait((now + LOAD_CHECK_INTERVAL).min(give_up));
        }
        // Once a request has been held beyond the time for a useful rejection, a late answer is
        // worth more to its caller than none.
        if now > decide_by && now < give_up {
            return RelayChoice::Wait((now + LOAD_CHECK_INTERVAL).min(give_up));
        }
        self.refuse_unready(query, ready_at, now)
    }

    /// Rejects a request whose adapter will be loaded too late; the retry delay lasts until it is loaded.
    fn refuse_unready(
        &mut self,
        query: &RelayQuery,
        ready_at: Option<MonoTime>,
        now: MonoTime,
    ) -> RelayChoice {
        let target_latency = query.route.aim;
        let retry_after = match self.has_engine_reports(&query.service, now)
            || now < FIRST_REPORTS_TIME
        {
            true => ready_at.map_or(SHORT_RETRY_DELAY, |at| at.saturating_sub(now) + REPORT_DELAY),
            // This relay has no contact with the loaders; the caller's retry reaches another relay.
            false => OTHER_RELAY_DELAY,
        };
        let retry_after =
            retry_after.min((query.deadline.saturating_sub(now)).mul_f64(RETRY_DELAY_SHARE));
        self.request_load(query, now + retry_after + target_latency, LoadTarget::Home, now);
        if let Some(key) = &query.adapter {
            self.promises.record_estimate(key, now + retry_after);
        }
        refuse(RefusalReason::DeadlineTooShort, Some(retry_after))
    }

    /// Returns whether the loader of any engine of a service has reported recently.
    fn has_engine_reports(&self, service: &str, now: MonoTime) -> bool {
        self.ready_engines(service).any(|view| view.report(now).is_some())
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

/// Returns the replicas that seem healthy, or all of them if these are less than half, because then the
/// fault may be in this relay.
fn prefer_healthy<'a>(ready: &[&'a ReplicaView], now: MonoTime) -> Vec<&'a ReplicaView> {
    let healthy: Vec<&ReplicaView> =
        ready.iter().filter(|view| view.seems_well(now)).copied().collect();
    match healthy.len() * 2 < ready.len() {
        true => ready.to_vec(),
        false => healthy,
    }
}
