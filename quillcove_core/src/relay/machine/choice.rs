//! The next step of a request: the replica that takes it, a wait for its adapter, or a refusal.

use std::time::Duration;

use super::standing::ReplicaOffer;
use super::{AttemptOrder, RelayChoice, RelayMachine, RelayQuery, refuse};
use crate::crash::book::FORGET_TIME;
use crate::ids::{AdapterVersion, MonoTime};
use crate::relay::beacon::{AdapterKey, ReplicaId};
use crate::relay::demand::{EngineChoice, LackedAdapter};
use crate::relay::policy::{CopyRule, RoutingRule, WaitingRule};
use crate::relay::reading::ReadingPrompt;
use crate::relay::replica::ReplicaView;
use crate::relay::routing::{self, HoldingNeed, RoutingCost, SPREAD_LOAD};
use crate::verdict::{RefusalReason, SOON, WorkRefusal};

/// Time from the arrival of a request at an engine until its first event, when a batch is not
/// full: reading a common prompt and two steps.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// Share of a route's aim within which a request is either on its way or refused, so that a
/// refused caller still can be served in time when it comes back.
const DECIDE_SHARE: f64 = 0.2;

/// Multiple of a route's aim up to which a request that was promised an adapter goes on waiting
/// when the load comes later than planned.
const PATIENCE: f64 = 2.0;

/// Added to the planned time of a load in what callers are told, for the way of the news.
const NEWS_TIME: Duration = Duration::from_millis(80);

/// Time from the start of the process within which all loaders have reported: they hear of it with
/// the first reading of the list.
const FIRST_REPORTS: Duration = Duration::from_millis(500);

/// When a caller is told to come back that another relay can serve at once.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// Share of its remaining time within which a caller is told to come back; callers wait for no
/// longer than a third.
const RETURN_SHARE: f64 = 0.33;

/// Requests of all relays for an adapter that are in flight at an engine from which on a loaded engine
/// is worth another copy of it elsewhere; fewer would not relieve it.
const COPY_USES: u32 = 4;

/// Time for which another copy of a held adapter is wanted after a request that showed the need.
const COPY_LIFETIME: Duration = Duration::from_secs(1);

/// Time after which a request that waits for an adapter looks whether its ask has to be repeated.
const ASK_CHECK: Duration = Duration::from_millis(80);

/// Where an adapter that a request lacks is to be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadPlace {
    /// At the engine that holds it for the whole fleet, where engines are divided into cells; else in the one cell.
    Home,
    /// In this relay's cell, so that so many of its engines hold it.
    Cell(usize),
}

impl RelayMachine {
    /// The least version of an adapter on which a request may begin now.
    fn least_version(&self, key: &AdapterKey, now: MonoTime) -> AdapterVersion {
        match self.versions.get(key) {
            Some((version, strict_from)) if now >= *strict_from => *version,
            _ => 0,
        }
    }

    /// Chooses the next step of a request; replicas in `tried` are left out.
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
    ///     age: Duration::ZERO,
    ///     deadline: Duration::from_secs(1),
    ///     looks: 0,
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
        if self.ends_upstreams(query, now) {
            return refuse(RefusalReason::EndsUpstreams, Some(FORGET_TIME));
        }
        let draw = self.draw();
        let (offered, is_last_resort) = match self.offer(query, now) {
            ReplicaOffer::Open(open) => (open, false),
            ReplicaOffer::LastResort(leaving) => (leaving, true),
            ReplicaOffer::Resting(until) => return self.refuse_resting(until, now),
            ReplicaOffer::None => return refuse(RefusalReason::NoUpstream, Some(SOON)),
        };
        let limit = self.connection_limit(&query.service);
        let has_connection =
            |view: &&ReplicaView| (view.in_flight as usize) < self.connection_share(limit, view);
        let open: Vec<&ReplicaView> = offered.into_iter().filter(has_connection).collect();
        if open.is_empty() {
            return RelayChoice::Refuse(WorkRefusal::overloaded());
        }
        let pool = well_ones(&open, now);
        let need = self.need_of(query, now);
        let holds = |view: &&&ReplicaView| need.is_met_by(view, now);
        let mut holders: Vec<&ReplicaView> = pool.iter().filter(holds).copied().collect();
        if holders.is_empty() {
            holders = self.far_holders(query, now);
        }
        let is_fresh = |view: &&&ReplicaView| !tried.contains(&view.record.id);
        let mut fresh: Vec<&ReplicaView> = holders.iter().filter(is_fresh).copied().collect();
        if fresh.is_empty() && !holders.is_empty() {
            // A replica whose entry has only lapsed is better than a refusal.
            let doubted = open.iter().filter(|view| view.is_doubted());
            fresh = doubted.filter(holds).filter(is_fresh).copied().collect();
        }
        let current = self.newest_of(query, &fresh, now);
        let norm = self.table.norm(&query.service);
        let cost =
            RoutingCost { prompt: self.prompt_of(query), norm: &norm, hall: &self.rules.hall };
        let sampled = routing::sample(&current, self.relays, draw);
        let overdue = current.iter().find(|view| view.standing.is_limit_overdue(now)).copied();
        match overdue.or_else(|| routing::choose(&sampled, &cost, now, draw)) {
            Some(view) => {
                let order = AttemptOrder {
                    is_last_resort,
                    chosen_at: now,
                    ..AttemptOrder::to(&view.record)
                };
                self.refresh_copies(query, &order.replica, now);
                RelayChoice::Send(order)
            },
            None if holders.is_empty() && self.is_load_fatal(query, now) => {
                refuse(RefusalReason::EndsUpstreams, Some(FORGET_TIME))
            },
            None if query.adapter.is_some() && holders.is_empty() => self.await_load(query, now),
            None => refuse(RefusalReason::NoUpstream, Some(SOON)),
        }
    }

    /// Tells whether engines end when they load what a request needs.
    fn is_load_fatal(&self, query: &RelayQuery, now: MonoTime) -> bool {
        query.adapter.as_ref().is_some_and(|key| self.load_ends_engines(key, now))
    }

    /// The prompt by which a request's replica is chosen.
    fn prompt_of(&self, query: &RelayQuery) -> Option<ReadingPrompt> {
        match self.rules.policy.routing {
            RoutingRule::Reading => {
                let rank = query.rank();
                query.prompt_tokens.map(|tokens| ReadingPrompt { tokens, rank })
            },
            RoutingRule::Places => None,
        }
    }

    /// Connections that a replica of a service accepts from all relays together.
    fn connection_limit(&self, service: &str) -> usize {
        let record = self.sheet.as_ref().and_then(|sheet| sheet.service(service));
        record.map_or(usize::MAX, |service| service.connection_limit)
    }

    /// Connections that this relay may have to a replica: its even share of what the replica accepts, less a part
    /// for relays that have not been heard yet. Where there are more relays than connections, some have one each.
    fn connection_share(&self, limit: usize, view: &ReplicaView) -> usize {
        match limit / (self.relays + 1) {
            0 => usize::from(self.peers.rank(&view.record.id) < limit),
            share => share,
        }
    }

    /// Of several holders of an adapter, those that have its newest version if any do.
    fn newest_of<'a>(
        &self,
        query: &RelayQuery,
        holders: &[&'a ReplicaView],
        now: MonoTime,
    ) -> Vec<&'a ReplicaView> {
        let newest = query.adapter.as_ref().and_then(|key| Some((key, self.newest(key)?)));
        let Some((key, version)) = newest else {
            return holders.to_vec();
        };
        let need = HoldingNeed::Adapter(key, version);
        let current: Vec<&ReplicaView> =
            holders.iter().filter(|view| need.is_met_by(view, now)).copied().collect();
        match current.is_empty() {
            true => holders.to_vec(),
            false => current,
        }
    }

    /// Asks for another copy of an adapter when the engine that takes the request is loaded, or
    /// holds an older version than the newest.
    fn refresh_copies(&mut self, query: &RelayQuery, chosen: &str, now: MonoTime) {
        let Some(key) = &query.adapter else {
            return;
        };
        let Some(view) = self.table.get(chosen) else {
            return;
        };
        let newest = self.newest(key).unwrap_or(0);
        let is_outdated = view.version_of(key, now).is_some_and(|held| held < newest);
        // Another copy is there sooner than this engine is done with what it has to read.
        let backlog = view.reading.backlog(&self.table.norm(&query.service));
        let is_slow = match self.rules.policy.copies {
            // What is used so much at its home is worth a copy in this relay's cell.
            _ if !view.is_near => true,
            CopyRule::Backlog => backlog >= self.demand.load_time(),
            CopyRule::Places => view.load(now) >= SPREAD_LOAD,
        };
        let is_crowded = is_slow && view.fleet_uses_of(key, now) >= COPY_USES;
        if is_outdated || is_crowded {
            let need = self.need_of(query, now);
            let engines = self.near_engines(&query.service);
            let holders = engines.filter(|view| need.is_met_by(view, now)).count();
            let wanted = if is_outdated { 1 } else { holders + 1 };
            self.ask_for(query, now + COPY_LIFETIME, LoadPlace::Cell(wanted), now);
        }
    }

    /// Notes that a request lacks its adapter, and asks for what is worth most; gives the time at
    /// which the adapter will be there. `useful_until` is when the request gives it up.
    fn ask_for(
        &mut self,
        query: &RelayQuery,
        useful_until: MonoTime,
        place: LoadPlace,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let key = query.adapter.as_ref()?;
        if self.load_ends_engines(key, now) {
            return None;
        }
        let version = self.newest(key);
        let (holders, home) = match place {
            LoadPlace::Home => (1, self.home_of(&query.service, key, now)),
            LoadPlace::Cell(holders) => (holders, None),
        };
        let service = &query.service;
        let home = home.as_ref();
        let lacked = LackedAdapter { key, service, version, useful_until, holders, home };
        let is_new = query.looks == 0;
        self.demand.want(&lacked, is_new, now);
        // Later looks ask for nothing that reports and ticks do not.
        if is_new {
            self.pump(now);
        }
        let load_wait = self.demand.ready_at(key, now).saturating_sub(now);
        Some(self.model_ready_at(&query.service, &key.model, now) + load_wait)
    }

    /// When an engine of a service will hold a base model. Before the first reports came, the engines
    /// may have restarted as this process did, and then load it from their hosts' disks.
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
            None if now < FIRST_REPORTS => now + model.disk_load_time,
            None => now,
        }
    }

    /// Sends the asks for which the weight store has room.
    pub(super) fn pump(&mut self, now: MonoTime) {
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
                view.is_near && view.record.service == service.name && takes_loads(view)
            });
            let norm = self.table.norm(&service.name);
            let is_home = |view: &&ReplicaView| view.record.service == service.name;
            let homes = homes.iter().copied().filter(is_home).collect();
            let views = unlimited_first(ready.collect());
            choices.push(EngineChoice { service: &service.name, engine, views, homes, norm });
        }
        self.demand.pump(&choices, self.rules.policy.placement, now);
    }

    /// Loads on their way over the whole site, as the loaders report them.
    pub(super) fn incoming(&self, now: MonoTime) -> usize {
        let reports = self.table.all().filter_map(|view| view.report(now));
        reports.map(|report| report.incoming.len()).sum()
    }

    pub(super) fn need_of<'a>(&self, query: &'a RelayQuery, now: MonoTime) -> HoldingNeed<'a> {
        match (&query.adapter, &query.model) {
            (Some(key), _) => HoldingNeed::Adapter(key, self.least_version(key, now)),
            (None, Some(model)) => HoldingNeed::Model(model),
            (None, None) => HoldingNeed::Nothing,
        }
    }

    /// A request whose adapter is in no engine: waits when the adapter will be there in time, and
    /// is refused at once, with the time at which to come back, when it will not.
    fn await_load(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        match self.rules.policy.waiting {
            WaitingRule::Returned if query.is_return() => self.await_while_servable(query, now),
            WaitingRule::Servable => self.await_while_servable(query, now),
            WaitingRule::Returned | WaitingRule::Aim => self.await_within_aim(query, now),
        }
    }

    /// Waits as long as the adapter and then the first event come before the caller leaves; refuses
    /// at once what can't be served by then.
    fn await_while_servable(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        let leaves = query.leaves();
        let ready_at = self.ask_for(query, leaves, LoadPlace::Home, now);
        let reading = self.least_reading(query);
        let is_servable = ready_at.is_some_and(|at| at + reading <= leaves);
        if is_servable && (self.hears_engines(&query.service, now) || now < FIRST_REPORTS) {
            return RelayChoice::Wait((now + ASK_CHECK).min(leaves));
        }
        self.refuse_unready(query, ready_at, now)
    }

    /// Time until the first event of a request at the engine that would be soonest.
    fn least_reading(&self, query: &RelayQuery) -> Duration {
        let rank = query.rank();
        let prompt = ReadingPrompt { tokens: query.prompt_tokens.unwrap_or(0), rank };
        let norm = self.table.norm(&query.service);
        let engines = self.near_engines(&query.service);
        let times = engines.map(|view| view.reading.time_to_read(prompt, &norm));
        times.min().unwrap_or(Duration::ZERO)
    }

    /// Waits for an adapter that comes within the aim; beyond it only when it was missed on the way.
    fn await_within_aim(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        let aim = query.route.aim;
        let decide_by = query.received + aim.mul_f64(DECIDE_SHARE);
        let give_up = (query.received + aim.mul_f64(PATIENCE)).min(query.deadline);
        let ready_at = self.ask_for(query, give_up, LoadPlace::Home, now);
        let is_in_time = ready_at.is_some_and(|at| at + FIRST_EVENT_TIME <= query.received + aim);
        if is_in_time {
            return RelayChoice::Wait((now + ASK_CHECK).min(give_up));
        }
        // Once a request has been held beyond the time for a useful refusal, a late answer is
        // worth more to its caller than none.
        if now > decide_by && now < give_up {
            return RelayChoice::Wait((now + ASK_CHECK).min(give_up));
        }
        self.refuse_unready(query, ready_at, now)
    }

    /// Refuses a request whose adapter comes too late, and tells when it will be there.
    fn refuse_unready(
        &mut self,
        query: &RelayQuery,
        ready_at: Option<MonoTime>,
        now: MonoTime,
    ) -> RelayChoice {
        let aim = query.route.aim;
        let come_back = match self.hears_engines(&query.service, now) || now < FIRST_REPORTS {
            true => ready_at.map_or(SOON, |at| at.saturating_sub(now) + NEWS_TIME),
            // This relay is cut off from the loaders; the caller's next try reaches another one.
            false => ELSEWHERE,
        };
        let come_back = come_back.min((query.deadline.saturating_sub(now)).mul_f64(RETURN_SHARE));
        self.ask_for(query, now + come_back + aim, LoadPlace::Home, now);
        if let Some(key) = &query.adapter {
            self.promises.tell(key, now + come_back);
        }
        refuse(RefusalReason::DeadlineTooShort, Some(come_back))
    }

    /// Tells whether the loader of any engine of a service is heard.
    fn hears_engines(&self, service: &str, now: MonoTime) -> bool {
        self.ready_engines(service).any(|view| view.report(now).is_some())
    }
}

/// Engines that name no limit; all of them when each names one. What is loaded where few requests may go is used
/// by few.
fn unlimited_first(ready: Vec<&ReplicaView>) -> Vec<&ReplicaView> {
    let is_unlimited = |view: &&ReplicaView| view.standing.limit().is_none();
    let unlimited: Vec<&ReplicaView> =
        ready.iter().filter(|view| is_unlimited(view)).copied().collect();
    match unlimited.is_empty() {
        true => ready,
        false => unlimited,
    }
}

/// Replicas that seem to work; all of them when that would leave less than half, because then the
/// fault may be on this side.
fn well_ones<'a>(ready: &[&'a ReplicaView], now: MonoTime) -> Vec<&'a ReplicaView> {
    let well: Vec<&ReplicaView> =
        ready.iter().filter(|view| view.seems_well(now)).copied().collect();
    match well.len() * 2 < ready.len() {
        true => ready.to_vec(),
        false => well,
    }
}
