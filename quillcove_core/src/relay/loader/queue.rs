//! The queue of load requests, and the orders made from it.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::LoaderMachine;
use super::eviction::DEMAND_HALF_LIFE;
use super::ordered::OrderedLoad;
use super::replies::{AskingRelay, AskingRelays};
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::beacon::LoadRequest;
use crate::relay::engine_status::LoadOutcome;
use crate::relay::order::{LoadOrder, OrderBasis, OrderKind, OrderOutcome};

/// Time for which started base-model loads are reported to relays: the window in which they count
/// against the load rate, plus a margin.
const MODEL_LOAD_RETENTION: Duration = Duration::from_millis(5500);

/// Age at which a queued load request is dropped; the relay repeats it if the adapter is still needed.
pub(super) const LOAD_REQUEST_LIFETIME: Duration = Duration::from_millis(2000);

/// Maximum number of queued load requests.
const LOAD_REQUEST_LIMIT: usize = 32;

/// Maximum number of adapters that an engine loads at once; engines reject more.
pub(super) const INCOMING_LIMIT: usize = 4;

/// Demand that a load request counts for, in requests.
const LOAD_REQUEST_WEIGHT: f64 = 1.0;

/// Amount by which the fence is raised after the engine rejected it as too low. Fences start at the
/// wall clock in milliseconds, which may have stepped back by some seconds.
const FENCE_STEP: u64 = 10_000;

/// A load request in the queue, or of the order under way.
#[derive(Clone, Debug)]
pub(super) struct QueuedLoad {
    pub request: LoadRequest,
    /// When it was last asked for, or put back in front after an order.
    pub renewed_at: MonoTime,
    /// Relays that asked for it.
    pub relays: AskingRelays,
    /// When a relay first asked for it.
    pub first_asked_at: MonoTime,
}

impl LoaderMachine {
    /// Queues a load request of a relay. It replaces a queued request for the same load, and is ignored
    /// while an order for that load is under way or the queue is full. Where adapter slots are scarce, each request
    /// gets a reply, and is queued only if a slot becomes free while it would be kept.
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
    /// machine.queue_load_request("127.0.0.1:1".parse().unwrap(), request, Duration::ZERO);
    /// assert!(machine.next_order(Duration::ZERO).is_some());
    /// ```
    pub fn queue_load_request(&mut self, relay: SocketAddr, request: LoadRequest, now: MonoTime) {
        if self.is_cut_off(now) {
            self.reply([relay], request.key(), LoadOutcome::Unreachable);
            return;
        }
        let is_same =
            |other: &LoadRequest| other.model == request.model && other.adapter == request.adapter;
        let is_contended = self.is_contended(now);
        let current = self.current_order.as_mut().map(|(_, current)| current);
        if let Some(current) = current.filter(|current| is_same(&current.request)) {
            current.relays.insert(relay, AskingRelay::new(now));
            return;
        }
        if let Some(key) = request.key() {
            self.adapter_slots = Some(request.places);
            self.demand.entry(key).or_default().add(now, LOAD_REQUEST_WEIGHT, DEMAND_HALF_LIFE);
        }
        if is_contended
            && (self.answer_satisfied(relay, &request, now)
                || self.join_ordered_load(relay, &request, now))
        {
            self.update_replies(now);
            return;
        }
        let known = self.load_requests.iter().position(|other| is_same(&other.request));
        let known = known.and_then(|index| self.load_requests.remove(index));
        let first_asked_at = known.as_ref().map_or(now, |known| known.first_asked_at);
        let mut relays = known.map_or_else(AskingRelays::new, |known| known.relays);
        relays.insert(relay, AskingRelay::new(now));
        if self.load_requests.len() < LOAD_REQUEST_LIMIT {
            let queued = QueuedLoad { request, renewed_at: now, relays, first_asked_at };
            self.load_requests.push_back(queued);
        } else if is_contended {
            self.reply_not_queued(relays, request.key(), now);
        }
        self.needs_sort = true;
        if is_contended {
            self.sort_queue();
            self.update_replies(now);
        }
    }

    /// Sorts the queue: base models first if the engine has none and else last; then the adapters of which the host
    /// has a copy; then those for which the most relays ask; of equals, the one first asked for goes first.
    fn sort_queue(&mut self) {
        if !std::mem::take(&mut self.needs_sort) {
            return;
        }
        let needs_model = self.report.models.is_empty();
        self.load_requests.make_contiguous().sort_by_key(|queued| {
            let goes_last = queued.request.adapter.is_some() == needs_model;
            let version = queued.request.version.unwrap_or(0);
            let key = queued.request.key();
            let is_from_store = key.is_some_and(|key| !self.copies.contains(&key, version));
            (goes_last, is_from_store, Reverse(queued.relays.len()), queued.first_asked_at)
        });
    }

    /// Drops the queued requests that are too old; where adapter slots are scarce, their relays are told, and so are
    /// the relays that no longer ask for a request that others ask for.
    fn expire_requests(&mut self, now: MonoTime) {
        let is_kept =
            |queued: &QueuedLoad| now.saturating_sub(queued.renewed_at) < LOAD_REQUEST_LIFETIME;
        let queue = std::mem::take(&mut self.load_requests);
        let (kept, expired): (VecDeque<_>, VecDeque<_>) = queue.into_iter().partition(is_kept);
        self.load_requests = kept;
        if self.is_contended(now) {
            for queued in expired {
                self.reply_not_queued(queued.relays, queued.request.key(), now);
            }
            self.expire_relays(now);
        }
    }

    /// Drops the relays whose last request is too old, unless no other relay asks for the same load.
    fn expire_relays(&mut self, now: MonoTime) {
        let is_asking =
            |relay: &AskingRelay| now.saturating_sub(relay.asked_at) < LOAD_REQUEST_LIFETIME;
        let mut dropped = Vec::new();
        for queued in &mut self.load_requests {
            let asking = queued.relays.values().filter(|relay| is_asking(relay)).count();
            if asking == 0 || asking == queued.relays.len() {
                continue;
            }
            let relays = std::mem::take(&mut queued.relays);
            let (asking, silent): (AskingRelays, AskingRelays) =
                relays.into_iter().partition(|(_, relay)| is_asking(relay));
            queued.relays = asking;
            dropped.push((silent, queued.request.key()));
        }
        for (relays, key) in dropped {
            self.needs_sort = true;
            self.reply_not_queued(relays, key, now);
        }
    }

    /// Empties the queue of an engine that does not respond, and tells the relays.
    pub(super) fn reject_unreachable(&mut self) {
        for queued in std::mem::take(&mut self.load_requests) {
            self.reply(queued.relays.into_keys(), queued.request.key(), LoadOutcome::Unreachable);
        }
        self.reject_ordered_loads();
    }

    /// Tells the relays that asked for loads under way that the engine does not respond or has exited.
    pub(super) fn reject_ordered_loads(&mut self) {
        let take = |load: &mut OrderedLoad| (load.key.clone(), std::mem::take(&mut load.relays));
        let rejected: Vec<_> = self.ordered_loads.pending().map(take).collect();
        for (key, relays) in rejected {
            self.reply(relays.into_keys(), Some(key), LoadOutcome::Unreachable);
        }
    }

    /// Returns the next order, or `None` while an order is under way, before the first report, while
    /// the engine is draining or has requested a pause, and while it has no slot for the next load. An engine with
    /// scarce adapter slots gets none while it is unreachable.
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
        if self.is_cut_off(now) {
            // What was queued before the rules for scarce slots applied.
            self.reject_unreachable();
            return None;
        }
        // Before its first report the engine would seem empty although it may be full: only this
        // process is new.
        let reported_at = self.reported_at?;
        self.expire_requests(now);
        if self.is_contended(now) {
            self.sort_queue();
        }
        self.ordered_loads.expire(now);
        while let Some(QueuedLoad { request, .. }) = self.load_requests.front() {
            if self.is_satisfied(request) {
                self.load_requests.pop_front();
                continue;
            }
            let evicted = match self.capacity_for(request, now) {
                LoadCapacity::Free => None,
                LoadCapacity::AfterEviction(key) => Some(key),
                LoadCapacity::Unavailable => return None,
            };
            let mut queued = self.load_requests.pop_front()?;
            let request = &queued.request;
            let basis = self.order_basis(request, now.saturating_sub(reported_at), now);
            let order = self.build_order(request, evicted, basis);
            if order.kind == OrderKind::Load {
                match request.key() {
                    Some(key) => {
                        let relays = std::mem::take(&mut queued.relays);
                        let is_contended = self.is_contended(now);
                        self.ordered_loads.add(key, request, relays, now, is_contended);
                    },
                    None if self.is_local(request) => {},
                    None => self.model_loads.push_back(now),
                }
            }
            self.current_order = Some((order.clone(), queued));
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
    pub(super) fn is_satisfied(&self, request: &LoadRequest) -> bool {
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
        if self.is_cut_off(now) {
            return Some(0);
        }
        let free = self.free_slots(now)?;
        let waiting =
            self.load_requests.iter().filter(|queued| queued.request.adapter.is_some()).count();
        let spare = (free + self.idle_adapters(now).count()).saturating_sub(waiting);
        Some(spare as u32)
    }

    /// Returns the number of slots that hold no adapter and get none. `None` until a load request has given the number
    /// of slots.
    pub(super) fn free_slots(&self, now: MonoTime) -> Option<usize> {
        let slots = self.adapter_slots? as usize;
        Some(slots.saturating_sub(self.report.adapters.len() + self.incoming_count(now)))
    }

    /// Returns the number of adapters being loaded, including those ordered but not reported yet.
    pub(super) fn incoming_count(&self, now: MonoTime) -> usize {
        let incoming = &self.report.incoming;
        let confirmed_by = self.reported_at.filter(|_| self.is_contended(now));
        incoming.len() + self.ordered_loads.unreported_count(incoming, confirmed_by)
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
        let coming = self.incoming_count(now);
        if coming >= INCOMING_LIMIT || self.report.is_busy {
            return LoadCapacity::Unavailable;
        }
        if self.report.adapters.len() + coming < request.places as usize {
            return LoadCapacity::Free;
        }
        self.eviction_candidate(now).map_or(LoadCapacity::Unavailable, LoadCapacity::AfterEviction)
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
    fn order_basis(
        &self,
        request: &LoadRequest,
        report_age: Duration,
        now: MonoTime,
    ) -> OrderBasis {
        OrderBasis {
            report_age,
            held: self.report.adapters.len(),
            coming: self.incoming_count(now),
            places: request.places,
        }
    }

    /// Records the outcome of the order under way. The load request is queued again, in front, after
    /// its eviction and when the engine rejected the order as busy or for its fence; where adapter slots are scarce,
    /// also when the engine did not carry out the eviction. The contact that gave the outcome is recorded before, so that
    /// relays are told if the engine is unreachable.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    /// use quillcove_core::relay::order::OrderOutcome;
    ///
    /// LoaderMachine::new("e1".into(), 1).complete_order(OrderOutcome::Begun, Duration::ZERO);
    /// ```
    pub fn complete_order(&mut self, outcome: OrderOutcome, now: MonoTime) {
        let Some((order, queued)) = self.current_order.take() else {
            return;
        };
        let queued_at = queued.renewed_at;
        let mut renewed = QueuedLoad { renewed_at: now, ..queued };
        let request = &renewed.request;
        self.needs_sort = true;
        let may_have_started = matches!(outcome, OrderOutcome::Begun | OrderOutcome::Unanswered);
        if order.kind == OrderKind::Load && !may_have_started {
            match request.key() {
                Some(key) => renewed.relays.extend(self.ordered_loads.cancel(&key)),
                None if self.is_local(request) => {},
                None => drop(self.model_loads.pop_back()),
            }
        }
        let is_unload_rejected = order.kind == OrderKind::Unload
            && self.is_contended(now)
            && self.note_rejected_unload(&order, outcome, now);
        match (outcome, order.kind) {
            // The next idle adapter is tried. The request keeps its age, so that it is not tried forever.
            _ if is_unload_rejected => {
                self.load_requests.push_front(QueuedLoad { renewed_at: queued_at, ..renewed });
            },
            (OrderOutcome::Begun | OrderOutcome::Holds, OrderKind::Unload)
            | (OrderOutcome::Busy, _) => self.load_requests.push_front(renewed),
            (OrderOutcome::FenceTooLow, _) => {
                self.fence += FENCE_STEP;
                self.load_requests.push_front(renewed);
            },
            (OrderOutcome::Rejected, OrderKind::Load) if self.is_contended(now) => {
                let key = renewed.request.key();
                self.reply_not_queued(renewed.relays, key, now);
            },
            _ => {},
        }
        if self.is_cut_off(now) {
            self.reject_unreachable();
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
