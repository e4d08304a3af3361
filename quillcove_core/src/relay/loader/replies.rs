//! Estimates of when requested adapters are loaded, and the replies to relays that result from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::queue::{INCOMING_LIMIT, LOAD_REQUEST_LIFETIME, QueuedLoad};
use super::{LoaderMachine, LoaderReply};
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::beacon::LoadRequest;
use crate::relay::engine_status::LoadOutcome;

/// Growth of an estimate that is announced. A tenth to a fifth of the target for the first event is spent in vain at
/// most, and a relay gets at most five messages per second for a request that waits.
const ANNOUNCED_GROWTH: Duration = Duration::from_millis(200);

/// Factor by which the time of a load that takes longer than the mean is expected to exceed what it took until now.
const OVERDUE_FACTOR: f64 = 1.25;

/// The relays that asked for a load, each with the time at which the adapter is loaded according to the last reply;
/// `None` while a reply is due.
pub(super) type AskingRelays = BTreeMap<SocketAddr, Option<MonoTime>>;

impl LoaderMachine {
    /// Returns the estimated time until the engine can start another load after those that are queued: zero if a
    /// slot is free or that of an idle adapter. `None` while nothing supports an estimate: no slot is free and the
    /// engine has not released two of them recently, or it takes no orders.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert_eq!(LoaderMachine::new("e1".into(), 1).slot_free_in(Duration::ZERO), None);
    /// ```
    pub fn slot_free_in(&self, now: MonoTime) -> Option<Duration> {
        let is_adapter = |queued: &&QueuedLoad| queued.request.adapter.is_some();
        self.slot_wait(self.load_requests.iter().filter(is_adapter).count(), now)
    }

    /// Returns the estimated time until the engine can start a load after `ahead` others.
    fn slot_wait(&self, ahead: usize, now: MonoTime) -> Option<Duration> {
        let report = &self.report;
        let takes_loads = !report.is_leaving && !report.is_busy && !report.models.is_empty();
        if !takes_loads || self.is_cut_off(now) {
            return None;
        }
        let incoming = self.incoming_count();
        let free = self.free_slots()?;
        let available = free + self.idle_adapters(now).count();
        let release_wait = match ahead < available {
            true => Duration::ZERO,
            false => self.releases.interval(now)? * (ahead - available + 1) as u32,
        };
        let rounds = ((incoming + ahead) / INCOMING_LIMIT) as u32;
        let load_wait = self.copies.store_time() * rounds;
        let pause_end = self.upstream_status.pause_end(now).unwrap_or(now);
        Some(release_wait.max(load_wait).max(pause_end.saturating_sub(now)))
    }

    /// Returns the estimated time until a load is completed that was ordered this long ago and takes `load_time` on
    /// average.
    fn remaining_load_time(load_time: Duration, elapsed: Duration) -> Duration {
        let total = load_time.max(elapsed.mul_f64(OVERDUE_FACTOR));
        total.saturating_sub(elapsed)
    }

    /// Answers a request for an adapter that the engine holds or loads already; returns whether it does. The reply about
    /// a load that this loader ordered follows with [`Self::update_replies`].
    pub(super) fn answer_satisfied(
        &mut self,
        relay: SocketAddr,
        request: &LoadRequest,
        now: MonoTime,
    ) -> bool {
        if !self.is_satisfied(request) {
            return false;
        }
        let Some(key) = request.key() else {
            return true;
        };
        let version = request.version.unwrap_or(0);
        let is_held =
            self.report.adapters.iter().any(|held| held.key == key && held.version >= version);
        if !is_held && self.join_ordered_load(relay, request, now) {
            return true;
        }
        let ready_in = match is_held {
            true => {
                self.note_asked_again(relay, &key, now);
                Duration::ZERO
            },
            false => self.copies.load_time(&key, version),
        };
        self.reply([relay], Some(key), LoadOutcome::Queued { ready_in });
        true
    }

    /// Adds a relay to those that asked for a load that is under way; returns whether there is one.
    pub(super) fn join_ordered_load(
        &mut self,
        relay: SocketAddr,
        request: &LoadRequest,
        now: MonoTime,
    ) -> bool {
        let version = request.version.unwrap_or(0);
        let load = request.key().and_then(|key| self.ordered_loads.pending_mut(&key, version));
        let load = load.filter(|load| !load.is_unconfirmed(&self.report.incoming, now));
        load.is_some_and(|load| {
            load.relays.insert(relay, None);
            true
        })
    }

    /// Replies to the relays whose reply is due or whose adapter is expected later than announced, and drops the
    /// queued requests that get no slot while they are kept.
    pub(super) fn update_replies(&mut self, now: MonoTime) {
        if self.reported_at.is_none() {
            return;
        }
        let mut announced = Vec::new();
        let mut ordered_loads = std::mem::take(&mut self.ordered_loads);
        let mut failed = Vec::new();
        for load in ordered_loads.pending() {
            if load.is_unconfirmed(&self.report.incoming, now) {
                failed.push((std::mem::take(&mut load.relays), load.key.clone()));
                continue;
            }
            let load_time = self.copies.load_time(&load.key, load.min_version);
            let elapsed = now.saturating_sub(load.ordered_at);
            let ready_in = Self::remaining_load_time(load_time, elapsed);
            announce(&load.key, &mut load.relays, ready_in, now, &mut announced);
        }
        self.ordered_loads = ordered_loads;
        for (relays, key) in failed {
            self.reply_not_queued(relays, Some(key), now);
        }
        let mut ahead = 0;
        for mut queued in std::mem::take(&mut self.load_requests) {
            let Some(key) = queued.request.key() else {
                self.load_requests.push_back(queued);
                continue;
            };
            let kept_for =
                LOAD_REQUEST_LIFETIME.saturating_sub(now.saturating_sub(queued.renewed_at));
            match self.slot_wait(ahead, now) {
                Some(wait) if wait < kept_for => {
                    let version = queued.request.version.unwrap_or(0);
                    let ready_in = wait + self.copies.load_time(&key, version);
                    announce(&key, &mut queued.relays, ready_in, now, &mut announced);
                    ahead += 1;
                    self.load_requests.push_back(queued);
                },
                wait => {
                    // Without an estimate, the time for which the request would have been kept is a lower bound.
                    let free_in = wait.unwrap_or(LOAD_REQUEST_LIFETIME);
                    let relays = queued.relays.into_keys();
                    self.reply(relays, Some(key), LoadOutcome::Full { free_in });
                },
            }
        }
        self.replies.extend(announced);
    }

    /// Tells relays that their request is no longer queued.
    pub(super) fn reply_not_queued(
        &mut self,
        relays: AskingRelays,
        key: Option<AdapterKey>,
        now: MonoTime,
    ) {
        let free_in = self.slot_free_in(now).unwrap_or(LOAD_REQUEST_LIFETIME);
        self.reply(relays.into_keys(), key, LoadOutcome::Full { free_in });
    }

    /// Queues a reply to each of the relays; base models have none.
    pub(super) fn reply(
        &mut self,
        relays: impl IntoIterator<Item = SocketAddr>,
        key: Option<AdapterKey>,
        outcome: LoadOutcome,
    ) {
        if let Some(key) = key {
            let reply = |relay| LoaderReply { relay, key: key.clone(), outcome };
            self.replies.extend(relays.into_iter().map(reply));
        }
    }
}

/// Adds the replies that an estimate makes due.
fn announce(
    key: &AdapterKey,
    relays: &mut AskingRelays,
    ready_in: Duration,
    now: MonoTime,
    replies: &mut Vec<LoaderReply>,
) {
    for (relay, announced) in relays {
        if announced.is_none_or(|announced| now + ready_in > announced + ANNOUNCED_GROWTH) {
            *announced = Some(now + ready_in);
            let outcome = LoadOutcome::Queued { ready_in };
            replies.push(LoaderReply { relay: *relay, key: key.clone(), outcome });
        }
    }
}
