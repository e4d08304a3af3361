//! Estimates of when requested adapters are loaded, and the replies to relays that result from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::queue::{INCOMING_LIMIT, LOAD_REQUEST_LIFETIME, QueuedLoad};
use super::{LoaderMachine, LoaderReply};
use crate::ids::{AdapterKey, MonoTime};
use crate::relay::beacon::LoadRequest;
use crate::relay::engine_status::LoadOutcome;

/// Growth of an estimate that is announced: a tenth to a fifth of the target for the first event, which is 1 or 2 s.
const ANNOUNCED_GROWTH: Duration = Duration::from_millis(200);

/// Minimum time between two announcements to a relay about the same request: at most five per second, besides the
/// replies to its own repetitions.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Factor by which the time of a load that takes longer than the mean is expected to exceed what it took until now.
const OVERDUE_FACTOR: f64 = 1.25;

/// A relay that asked for a load.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskingRelay {
    /// When it last asked.
    pub asked_at: MonoTime,
    /// The last reply; `None` while one is due.
    announced: Option<Announcement>,
}

impl AskingRelay {
    /// Creates the entry of a relay that asks now, so that a reply is due.
    pub fn new(now: MonoTime) -> Self {
        Self { asked_at: now, announced: None }
    }
}

/// An estimate that was sent to a relay.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    sent_at: MonoTime,
    /// When the adapter is loaded according to it.
    ready_at: MonoTime,
}

/// The relays that asked for a load.
pub(super) type AskingRelays = BTreeMap<SocketAddr, AskingRelay>;

/// What the time until a load can start depends on, apart from the loads ahead of it.
struct SlotForecast {
    /// Number of free slots and idle adapters.
    available: usize,
    /// Number of loads under way.
    incoming: usize,
    /// Mean interval between slot releases, if known.
    release_interval: Option<Duration>,
    store_time: Duration,
    /// Remaining time of a pause that the engine requested.
    pause: Duration,
}

impl SlotForecast {
    /// Returns the estimated time until the engine can start a load after `ahead` others.
    fn wait(&self, ahead: usize) -> Option<Duration> {
        let release_wait = match ahead < self.available {
            true => Duration::ZERO,
            false => self.release_interval? * (ahead - self.available + 1) as u32,
        };
        let rounds = ((self.incoming + ahead) / INCOMING_LIMIT) as u32;
        Some(release_wait.max(self.store_time * rounds).max(self.pause))
    }
}

impl LoaderMachine {
    /// Returns the estimated time until the engine can start another load after those that are queued: zero if a
    /// slot is free or that of an idle adapter. `None` while nothing supports an estimate: no slot is free and the
    /// engine has not released two of them recently, or it is draining or unreachable.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert_eq!(LoaderMachine::new("e1".into(), 1).slot_free_in(Duration::ZERO), None);
    /// ```
    pub fn slot_free_in(&self, now: MonoTime) -> Option<Duration> {
        let is_adapter = |queued: &&QueuedLoad| queued.request.adapter.is_some();
        let ahead = self.load_requests.iter().filter(is_adapter).count();
        self.slot_forecast(now)?.wait(ahead)
    }

    /// Returns what the start of a load depends on; `None` if the engine takes no loads. One that is busy for a moment
    /// gets no order meanwhile, which is no reason to drop the queue.
    fn slot_forecast(&self, now: MonoTime) -> Option<SlotForecast> {
        let takes_loads = !self.report.is_leaving && !self.report.models.is_empty();
        if !takes_loads || self.is_cut_off(now) {
            return None;
        }
        let pause_end = self.upstream_status.pause_end(now).unwrap_or(now);
        Some(SlotForecast {
            available: self.free_slots(now)? + self.idle_adapters(now).count(),
            incoming: self.incoming_count(now),
            release_interval: self.releases.interval(now),
            store_time: self.copies.store_time(),
            pause: pause_end.saturating_sub(now),
        })
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
        let reported_at = self.reported_at.unwrap_or_default();
        let load = load.filter(|load| !load.is_unconfirmed(&self.report.incoming, reported_at));
        load.is_some_and(|load| {
            load.relays.insert(relay, AskingRelay::new(now));
            true
        })
    }

    /// Replies to the relays whose reply is due or whose adapter is expected later than announced, and drops the
    /// queued requests that get no slot while they are kept.
    pub(super) fn update_replies(&mut self, now: MonoTime) {
        let Some(reported_at) = self.reported_at else {
            return;
        };
        if self.is_cut_off(now) {
            return;
        }
        let mut announced = Vec::new();
        let mut ordered_loads = std::mem::take(&mut self.ordered_loads);
        let mut failed = Vec::new();
        for load in ordered_loads.pending() {
            if load.is_unconfirmed(&self.report.incoming, reported_at) {
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
        let forecast = self.slot_forecast(now);
        let mut ahead = 0;
        for mut queued in std::mem::take(&mut self.load_requests) {
            let Some(key) = queued.request.key() else {
                self.load_requests.push_back(queued);
                continue;
            };
            let kept_for =
                LOAD_REQUEST_LIFETIME.saturating_sub(now.saturating_sub(queued.renewed_at));
            match forecast.as_ref().and_then(|forecast| forecast.wait(ahead)) {
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

    /// Tells relays that their request is not queued. The engine has no slot for it while it would be kept, or did not
    /// load it when it had one, so that a free slot at present promises nothing.
    pub(super) fn reply_not_queued(
        &mut self,
        relays: AskingRelays,
        key: Option<AdapterKey>,
        now: MonoTime,
    ) {
        let outcome = match self.is_cut_off(now) {
            true => LoadOutcome::Unreachable,
            false => {
                let free_in = self.slot_free_in(now).unwrap_or_default();
                LoadOutcome::Full { free_in: free_in.max(LOAD_REQUEST_LIFETIME) }
            },
        };
        self.reply(relays.into_keys(), key, outcome);
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

/// Adds the replies that are due, and those about an estimate that has grown since an earlier one.
fn announce(
    key: &AdapterKey,
    relays: &mut AskingRelays,
    ready_in: Duration,
    now: MonoTime,
    replies: &mut Vec<LoaderReply>,
) {
    let ready_at = now + ready_in;
    for (address, relay) in relays {
        let is_due = relay.announced.is_none_or(|announced| {
            ready_at > announced.ready_at + ANNOUNCED_GROWTH
                && now >= announced.sent_at + ANNOUNCEMENT_INTERVAL
        });
        if is_due {
            relay.announced = Some(Announcement { sent_at: now, ready_at });
            let outcome = LoadOutcome::Queued { ready_in };
            replies.push(LoaderReply { relay: *address, key: key.clone(), outcome });
        }
    }
}
