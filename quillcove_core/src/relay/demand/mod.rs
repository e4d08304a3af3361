//! Chooses which missing adapters a relay requests, in which order and from which engine, and
//! estimates when they will be loaded.
//!
//! Each relay decides alone. All relays rank the engines for an adapter in the same way, so that two
//! of them send their load requests to the same loader, which gives one order. Each relay counts the
//! loads that all loaders report as incoming, so that together they load no more at once than the
//! weight store serves at full speed. A recently evicted adapter goes back to its former engine, whose
//! host still has a copy.

mod coming;
mod directed;
mod warm;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use self::coming::IncomingLoads;
use self::directed::DirectedRequests;
use self::warm::HostCopies;
use super::beacon::{AddressedLoadRequest, ArrivedLoad, HeldAdapter, LoadRequest, OtherRelays};
use super::limiter::LoadLimiter;
use super::policy::PlacementRule;
use super::reading::PrefillAverages;
use super::replica::ReplicaView;
use super::sheet::EngineRecord;
use crate::ids::{AdapterKey, AdapterVersion, MonoTime, ReplicaId, ServiceName};
use crate::rendezvous;

/// Number of incoming adapters from which an engine ranks behind others.
const INCOMING_LIMIT: usize = 4;

/// Engine load, as of [`ReplicaView::load`], from which other engines are preferred for an adapter.
pub(super) const BUSY_LOAD: f64 = 0.8;

/// Step to which prompt backlogs are rounded down when an adapter is placed. Smaller differences are
/// gone before the adapter is loaded, and relays do not see them alike.
const BACKLOG_STEP: Duration = Duration::from_millis(250);

/// Time after which a load request that no report shows as incoming is repeated, as it may be lost.
const LOAD_REQUEST_RETRY_DELAY: Duration = Duration::from_millis(160);

/// Number of times a load request is sent to one engine before another engine is chosen.
const LOAD_REQUEST_ATTEMPTS: u32 = 3;

/// Age at which an open load request is dropped, whatever its outcome.
const LOAD_REQUEST_LIFETIME: Duration = Duration::from_secs(4);

/// Number of open load requests allowed beyond a relay's share, as shares are known with a lag.
const SHARE_MARGIN: usize = 1;

/// Estimated time of a load from the memory of the engine's host.
const HOST_COPY_LOAD_TIME: Duration = Duration::from_millis(50);

/// An adapter that a request needs and that too few engines have loaded.
#[derive(Clone, Debug)]
pub struct AdapterNeed<'a> {
    /// The adapter.
    pub key: &'a AdapterKey,
    /// Service whose engines should load it.
    pub service: &'a ServiceName,
    /// Minimum version; `None` accepts any version and loads the newest.
    pub version: Option<AdapterVersion>,
    /// Time up to which the request, or its retry by the caller, can use the adapter.
    pub useful_until: MonoTime,
    /// Number of engines that should hold it.
    pub holders: usize,
    /// Its home, the engine that serves it for the whole fleet; `None` to load it in the relay's own cell.
    pub home: Option<&'a ReplicaId>,
}

/// An adapter that requests need, with the demand for it.
#[derive(Clone, Debug)]
struct NeededAdapter {
    service: ServiceName,
    /// The engine, in whichever cell, that is to serve it for the whole fleet.
    home: Option<ReplicaId>,
    version: Option<AdapterVersion>,
    /// Requests that needed it since the entry was created.
    requests: u32,
    first_needed_at: MonoTime,
    useful_until: MonoTime,
    /// Number of engines that should hold it, including those that already do.
    holders: usize,
    /// Whether that many engines had loaded it or were loading it at the last call of
    /// [`AdapterDemand::pump`].
    is_met: bool,
}

impl NeededAdapter {
    /// Returns the sort key of the load order: adapters that most requests need go first; of equals, the
    /// one first needed most recently, as it can still be loaded in time.
    fn rank(&self) -> (Reverse<u32>, Reverse<MonoTime>) {
        (Reverse(self.requests), Reverse(self.first_needed_at))
    }
}

/// A load request that was sent and has not been met yet.
#[derive(Clone, Debug)]
struct OpenLoadRequest {
    addressed: AddressedLoadRequest,
    first_sent: MonoTime,
    last_sent: MonoTime,
    attempts: u32,
    ready_at: MonoTime,
}

/// The engines of a service that [`AdapterDemand::pump`] may choose from.
pub struct EngineChoice<'a> {
    /// Name of the service.
    pub service: &'a ServiceName,
    /// Engine settings of the service, which give the number of adapter slots.
    pub engine: &'a EngineRecord,
    /// Engines that accept new requests and seem healthy.
    pub views: Vec<&'a ReplicaView>,
    /// Engines that are the home of a needed adapter, in whichever cell.
    pub homes: Vec<&'a ReplicaView>,
    /// Mean prompt-reading speed and prompt length over the engines of the service.
    pub norm: PrefillAverages,
}

impl<'a> EngineChoice<'a> {
    fn all(&self) -> impl Iterator<Item = &&'a ReplicaView> {
        self.views.iter().chain(&self.homes)
    }

    /// Returns the home of an adapter, if it has one among these engines.
    fn home_of(&self, needed: &NeededAdapter) -> Option<&'a ReplicaView> {
        let home = needed.home.as_ref()?;
        self.homes.iter().find(|view| view.record.id == *home).copied()
    }
}

/// The adapters that the requests of one relay need, and the load requests sent for them.
///
/// ```
/// use quillcove_core::relay::demand::AdapterDemand;
///
/// assert!(AdapterDemand::default().take_outbox().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdapterDemand {
    needed: BTreeMap<AdapterKey, NeededAdapter>,
    open_requests: BTreeMap<AdapterKey, OpenLoadRequest>,
    host_copies: HostCopies,
    incoming_loads: IncomingLoads,
    outbox: Vec<AddressedLoadRequest>,
    limiter: LoadLimiter,
    other_relays: OtherRelays,
    /// Load requests for streams that only some engines may go on with.
    directed: DirectedRequests,
}

impl AdapterDemand {
    /// Sets the state of the other relays, from which this relay's share of the loads follows.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::OtherRelays;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().set_others(OtherRelays { count: 3, recent: 3, lacking: 20 });
    /// ```
    pub fn set_others(&mut self, others: OtherRelays) {
        self.other_relays = others;
    }

    /// Returns the homes of the needed adapters.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert_eq!(AdapterDemand::default().homes().count(), 0);
    /// ```
    pub fn homes(&self) -> impl Iterator<Item = &ReplicaId> {
        self.needed.values().filter_map(|needed| needed.home.as_ref())
    }

    /// Returns whether any adapter is needed.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(!AdapterDemand::default().has_wanted());
    /// ```
    pub fn has_wanted(&self) -> bool {
        !self.needed.is_empty()
    }

    /// Returns the number of adapters that requests of this relay are missing, including those with an
    /// open load request.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert_eq!(AdapterDemand::default().lacking(), 0);
    /// ```
    pub fn lacking(&self) -> usize {
        let is_waiting = |(key, needed): &(&AdapterKey, &NeededAdapter)| {
            !needed.is_met && !self.open_requests.contains_key(*key)
        };
        self.open_requests.len() + self.needed.iter().filter(is_waiting).count()
    }

    /// Returns this relay's share of the concurrent loads, in loads. It is proportional to the relay's
    /// part of all missing adapters, as traffic is uneven between relays.
    fn share(&self) -> f64 {
        let limit = self.limiter.limit() as f64;
        let own = self.lacking() as f64;
        let all = own + self.other_relays.lacking as f64;
        let even = 1.0 / (self.other_relays.count + 1) as f64;
        let part = if all > 0.0 { own / all } else { even };
        (limit * part).max(1.0)
    }

    /// Removes and returns the load requests to send now.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().take_outbox().is_empty());
    /// ```
    pub fn take_outbox(&mut self) -> Vec<AddressedLoadRequest> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns whether there are load requests to send.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(!AdapterDemand::default().has_load_requests());
    /// ```
    pub fn has_load_requests(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns the number of concurrent loads allowed over the whole site, as learnt from load times.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().load_limit() > 0);
    /// ```
    pub fn load_limit(&self) -> usize {
        self.limiter.limit()
    }

    /// Returns the time of a load from the weight store, as learnt from load times.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// assert!(AdapterDemand::default().load_time() > std::time::Duration::ZERO);
    /// ```
    pub fn load_time(&self) -> Duration {
        self.limiter.load_time()
    }

    /// Records the adapters of an engine and removes the load requests and needs that they meet.
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
        self.host_copies.record(view, now);
        self.incoming_loads.record(view, self.limiter.load_time(), now);
        for held in view.adapters(now) {
            let is_request_met = self.open_requests.get(&held.key).is_some_and(|request| {
                let ask = &request.addressed.ask;
                ask.replica == view.record.id && held.version >= ask.version.unwrap_or(0)
            });
            let is_need_met = self.needed.get(&held.key).is_some_and(|needed| {
                needed.holders <= 1 && held.version >= needed.version.unwrap_or(0)
            });
            if is_request_met {
                self.open_requests.remove(&held.key);
            }
            if is_request_met || is_need_met {
                self.needed.remove(&held.key);
            }
        }
    }

    /// Records the times of completed loads; `concurrent_loads` were under way over the whole site.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().note_arrivals(&[], 0);
    /// ```
    pub fn note_arrivals(&mut self, arrivals: &[ArrivedLoad], concurrent_loads: usize) {
        for load in arrivals.iter().filter(|load| !load.was_warm) {
            self.limiter.note_load(load.took, concurrent_loads + arrivals.len());
        }
    }

    /// Drops the known host copies of an engine that is gone or has lost its memory.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().forget_engine("i-1");
    /// ```
    pub fn forget_engine(&mut self, replica: &str) {
        self.host_copies.remove(replica);
    }

    /// Drops the state and the open load requests of an engine that is draining, so that its loads are
    /// requested from other engines at once.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().leave_engine("i-1");
    /// ```
    pub fn leave_engine(&mut self, replica: &str) {
        self.forget_engine(replica);
        self.drop_load_requests(replica);
    }

    /// Drops the open load requests to an engine, so that its loads are requested from other engines at once.
    ///
    /// ```
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().drop_load_requests("i-1");
    /// ```
    pub fn drop_load_requests(&mut self, replica: &str) {
        self.open_requests.retain(|_, request| request.addressed.ask.replica != replica);
    }

    /// Drops load requests, needs and reported loads that have expired.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// AdapterDemand::default().tick(Duration::ZERO);
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        self.open_requests
            .retain(|_, request| now.saturating_sub(request.first_sent) < LOAD_REQUEST_LIFETIME);
        self.needed.retain(|_, needed| now < needed.useful_until);
        self.incoming_loads.expire(now);
        self.directed.expire(now);
    }

    /// Records that a request needs an adapter. `is_new` is set on the request's first call only, so that
    /// it counts once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::demand::{AdapterDemand, AdapterNeed};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let service = "s".to_string();
    /// let need = AdapterNeed {
    ///     key: &key,
    ///     service: &service,
    ///     version: None,
    ///     useful_until: Duration::from_secs(1),
    ///     holders: 1,
    ///     home: None,
    /// };
    /// AdapterDemand::default().record_need(&need, true, Duration::ZERO);
    /// ```
    pub fn record_need(&mut self, need: &AdapterNeed<'_>, is_new: bool, now: MonoTime) {
        let new_need = || NeededAdapter {
            service: need.service.clone(),
            home: need.home.cloned(),
            version: need.version,
            requests: 0,
            first_needed_at: now,
            useful_until: need.useful_until,
            holders: need.holders,
            is_met: false,
        };
        let needed = self.needed.entry(need.key.clone()).or_insert_with(new_need);
        if need.home.is_none() {
            needed.home = None;
        }
        needed.version = needed.version.max(need.version);
        needed.useful_until = needed.useful_until.max(need.useful_until);
        needed.holders = needed.holders.max(need.holders);
        if is_new {
            needed.requests += 1;
        }
    }

    /// Returns the estimated time at which an adapter will be loaded.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert!(AdapterDemand::default().ready_at(&key, Duration::ZERO) > Duration::ZERO);
    /// ```
    pub fn ready_at(&self, key: &AdapterKey, now: MonoTime) -> MonoTime {
        if let Some(request) = self.open_requests.get(key) {
            return request.ready_at.max(now);
        }
        if let Some(expected) = self.incoming_loads.ready_at(key, now) {
            return expected;
        }
        let own = self.needed.get(key).map(NeededAdapter::rank);
        let is_ahead = |(other, needed): &(&AdapterKey, &NeededAdapter)| {
            let goes_first = own.is_none_or(|own| (needed.rank(), *other) < (own, key));
            let is_incoming = self.open_requests.contains_key(*other)
                || self.incoming_loads.ready_at(other, now).is_some();
            goes_first && !is_incoming && !needed.is_met && now < needed.useful_until
        };
        let ahead = self.needed.iter().filter(is_ahead).count() + 1;
        let load_time = self.limiter.load_time();
        now + load_time + load_time.mul_f64(ahead as f64 / self.share())
    }

    /// Returns when the load of an adapter that is requested or in progress is expected to end; `None` without one, and if
    /// it is overdue.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::demand::AdapterDemand;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(AdapterDemand::default().next_copy_at(&key, Duration::ZERO), None);
    /// ```
    pub fn next_copy_at(&self, key: &AdapterKey, now: MonoTime) -> Option<MonoTime> {
        let requested = self.open_requests.get(key).map(|request| request.ready_at);
        requested.or_else(|| self.incoming_loads.ready_at(key, now)).filter(|at| *at > now)
    }

    /// Queues load requests for the adapters that most requests need, as long as the weight store serves
    /// more loads at full speed. Loads from a host's copy do not depend on that.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::demand::AdapterDemand;
    /// use quillcove_core::relay::policy::PlacementRule;
    ///
    /// AdapterDemand::default().pump(&[], PlacementRule::Even, Duration::ZERO);
    /// ```
    pub fn pump(&mut self, choices: &[EngineChoice<'_>], placement: PlacementRule, now: MonoTime) {
        if !self.has_wanted() {
            return;
        }
        self.retry_requests(choices, now);
        let views = || choices.iter().flat_map(|choice| &choice.views);
        let mut incoming_count: usize = views().map(|view| self.incoming_count(view, now)).sum();
        let share = self.share().ceil() as usize + SHARE_MARGIN;
        for key in self.ranked_needs(now) {
            let is_met = self.has_enough_copies(&key, choices, now);
            if let Some(needed) = self.needed.get_mut(&key) {
                needed.is_met = is_met;
            }
            if is_met {
                continue;
            }
            let Some((view, slots, has_copy)) = self.choose_engine(&key, choices, placement, now)
            else {
                continue;
            };
            let has_room =
                incoming_count < self.limiter.limit() && self.pending_request_count(now) < share;
            if !has_copy && !has_room {
                continue;
            }
            self.queue_request(&key, view, slots, has_copy, now);
            incoming_count += 1;
        }
    }

    /// Returns whether enough engines hold an adapter or are loading it. Another relay may have requested
    /// it since it was first needed here.
    fn has_enough_copies(
        &self,
        key: &AdapterKey,
        choices: &[EngineChoice<'_>],
        now: MonoTime,
    ) -> bool {
        let Some(needed) = self.needed.get(key) else {
            return true;
        };
        let min_version = needed.version.unwrap_or(0);
        let meets = |held: &HeldAdapter| held.key == *key && held.version >= min_version;
        let has = |view: &&ReplicaView| {
            let incoming = view.report(now).map_or(&[][..], |report| &report.incoming);
            view.adapters(now).iter().chain(incoming).any(meets)
        };
        let of_service = choices.iter().find(|choice| *choice.service == needed.service);
        let is_at_home = of_service
            .and_then(|choice| choice.home_of(needed))
            .is_some_and(|home| home.report(now).is_some() && has(&home));
        let views = of_service.into_iter().flat_map(|choice| choice.views.iter().copied());
        is_at_home || views.filter(has).count() >= needed.holders
    }

    /// Returns the number of open load requests that are not overdue; overdue ones may have been lost.
    fn pending_request_count(&self, now: MonoTime) -> usize {
        let is_recent =
            |request: &&OpenLoadRequest| now < request.ready_at + LOAD_REQUEST_RETRY_DELAY;
        self.open_requests.values().filter(is_recent).count()
    }

    /// Returns the needed adapters without an open load request, in load order.
    fn ranked_needs(&self, now: MonoTime) -> Vec<AdapterKey> {
        let is_due = |(key, needed): &(&AdapterKey, &NeededAdapter)| {
            now < needed.useful_until && !self.open_requests.contains_key(*key)
        };
        let mut ranked: Vec<_> = self.needed.iter().filter(is_due).collect();
        ranked.sort_by_key(|(key, needed)| (needed.rank(), *key));
        ranked.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Repeats load requests that no report shows as incoming, and drops those whose engine does not
    /// react, so that another engine can be chosen.
    fn retry_requests(&mut self, choices: &[EngineChoice<'_>], now: MonoTime) {
        let views: Vec<&ReplicaView> =
            choices.iter().flat_map(EngineChoice::all).copied().collect();
        let mut abandoned = Vec::new();
        for (key, request) in &mut self.open_requests {
            let replica = &request.addressed.ask.replica;
            let target = views.iter().find(|view| view.record.id == *replica);
            let is_reported = target.is_some_and(|view| is_incoming(view, key, now));
            if is_reported || now.saturating_sub(request.last_sent) < LOAD_REQUEST_RETRY_DELAY {
                continue;
            }
            let needed = self.needed.get_mut(key).filter(|needed| needed.home.is_some());
            if let Some(needed) = needed {
                // The home does not react. A request waits for the adapter, so an engine of the relay's
                // own cell is chosen instead.
                needed.home = None;
                abandoned.push(key.clone());
                continue;
            }
            if target.is_none() || request.attempts >= LOAD_REQUEST_ATTEMPTS {
                abandoned.push(key.clone());
                continue;
            }
            request.attempts += 1;
            request.last_sent = now;
            self.outbox.push(request.addressed.clone());
        }
        for key in abandoned {
            self.open_requests.remove(&key);
        }
    }

    fn queue_request(
        &mut self,
        key: &AdapterKey,
        view: &ReplicaView,
        slots: usize,
        has_copy: bool,
        now: MonoTime,
    ) {
        let ask = LoadRequest {
            replica: view.record.id.clone(),
            model: key.model.clone(),
            adapter: Some(key.adapter.clone()),
            version: self.needed.get(key).and_then(|needed| needed.version),
            places: slots as u32,
        };
        let addressed = AddressedLoadRequest { engine: view.record.address, ask };
        let load_time = if has_copy { HOST_COPY_LOAD_TIME } else { self.limiter.load_time() };
        let request = OpenLoadRequest {
            addressed: addressed.clone(),
            first_sent: now,
            last_sent: now,
            attempts: 1,
            ready_at: now + load_time,
        };
        self.open_requests.insert(key.clone(), request);
        self.outbox.push(addressed);
    }

    /// Chooses the engine for an adapter; returns it with its number of adapter slots and whether its
    /// host has a copy. A home is chosen outright. Other engines are ranked by, in this order: no older
    /// version loaded, not overloaded, a copy on the host, a short backlog (under
    /// [`PlacementRule::SpareIdle`]), a free slot, and a rendezvous hash.
    fn choose_engine<'a>(
        &self,
        key: &AdapterKey,
        choices: &'a [EngineChoice<'a>],
        placement: PlacementRule,
        now: MonoTime,
    ) -> Option<(&'a ReplicaView, usize, bool)> {
        let needed = self.needed.get(key)?;
        let choice = choices.iter().find(|choice| *choice.service == needed.service)?;
        let slots = choice.engine.places_beside(&key.model);
        if let Some(home) = choice.home_of(needed) {
            return Some((home, slots, self.host_copies.contains(&home.record.id, key)));
        }
        let can_take = |view: &&&ReplicaView| {
            let report = view.report(now);
            let held = view.version_of(key, now);
            let has_slot = !placement.needs_free_slot() || self.has_spare_slot(view, now);
            has_slot
                && report
                    .is_some_and(|report| report.models.contains(&key.model) && !report.is_busy)
                && held.is_none_or(|held| held < needed.version.unwrap_or(0))
        };
        let rank = |view: &ReplicaView| {
            let incoming = self.incoming_count(view, now);
            let backlog = view.reading.backlog(&choice.norm);
            let is_overloaded = incoming >= INCOMING_LIMIT || view.load(now) >= BUSY_LOAD;
            let backlog_steps = match placement {
                PlacementRule::SpareIdle => backlog.as_millis() / BACKLOG_STEP.as_millis(),
                PlacementRule::Spare | PlacementRule::Even => 0,
            };
            let is_full = view.adapters(now).len() + incoming >= slots;
            let weight = rendezvous::weight(&key.adapter, &view.record.address.to_string());
            // An engine replaces a version only when its running requests have ended, and accepts no new
            // ones until then.
            let holds_older = view.version_of(key, now).is_some();
            let lacks_copy = !self.host_copies.contains(&view.record.id, key);
            (holds_older, is_overloaded, lacks_copy, backlog_steps, is_full, Reverse(weight))
        };
        let view = choice.views.iter().filter(can_take).min_by_key(|view| rank(view)).copied()?;
        Some((view, slots, self.host_copies.contains(&view.record.id, key)))
    }

    /// Returns whether an engine can load one more adapter now, according to its loader's last report.
    fn has_spare_slot(&self, view: &ReplicaView, now: MonoTime) -> bool {
        let requested = self.unreported_count(view, now);
        view.spare_places(now).is_none_or(|spare| (spare as usize) > requested)
    }

    /// Returns the number of open load requests to an engine that its reports do not show yet.
    fn unreported_count(&self, view: &ReplicaView, now: MonoTime) -> usize {
        let is_unreported = |(key, request): &(&AdapterKey, &OpenLoadRequest)| {
            request.addressed.ask.replica == view.record.id && !is_incoming(view, key, now)
        };
        self.open_requests.iter().filter(is_unreported).count()
    }

    /// Returns the number of loads under way on an engine: those that it reports as incoming, and those
    /// requested since.
    fn incoming_count(&self, view: &ReplicaView, now: MonoTime) -> usize {
        let reported = view.report(now).map_or(0, |report| report.incoming.len());
        reported + self.unreported_count(view, now)
    }
}

fn is_incoming(view: &ReplicaView, key: &AdapterKey, now: MonoTime) -> bool {
    view.report(now).is_some_and(|report| report.incoming.iter().any(|held| held.key == *key))
}
