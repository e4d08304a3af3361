//! Load requests for streams that have begun, which only some engines of their service may go on with.

use std::collections::BTreeMap;

use super::{AdapterDemand, LOAD_REQUEST_LIFETIME, LOAD_REQUEST_RETRY_DELAY, is_incoming};
use crate::ids::{AdapterKey, AdapterVersion, MonoTime, ReplicaId};
use crate::relay::beacon::{AddressedLoadRequest, LoadRequest};
use crate::relay::replica::ReplicaView;
use crate::rendezvous;

/// Number of requests to an engine that does not load the adapter, after which others go first.
const MAX_UNANSWERED: u32 = 2;

/// Load requests for an adapter to one engine.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    last_sent: MonoTime,
    attempts: u32,
}

/// Load requests to given engines that have been sent lately.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectedRequests {
    sent: BTreeMap<(AdapterKey, ReplicaId), SentRequest>,
}

impl DirectedRequests {
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.sent.retain(|_, sent| now.saturating_sub(sent.last_sent) < LOAD_REQUEST_LIFETIME);
    }

    /// Returns whether an engine has not reacted to requests for an adapter.
    fn is_unanswered(&self, key: &AdapterKey, replica: &ReplicaId) -> bool {
        let sent = self.sent.get(&(key.clone(), replica.clone()));
        sent.is_some_and(|sent| sent.attempts >= MAX_UNANSWERED)
    }

    /// Returns whether a request is due, and if so records it as sent.
    fn try_send(&mut self, key: &AdapterKey, replica: &ReplicaId, now: MonoTime) -> bool {
        let sent = self.sent.entry((key.clone(), replica.clone()));
        let sent = sent.or_insert(SentRequest { last_sent: MonoTime::ZERO, attempts: 0 });
        let is_recent = now.saturating_sub(sent.last_sent) < LOAD_REQUEST_RETRY_DELAY;
        if sent.attempts > 0 && is_recent {
            return false;
        }
        *sent = SentRequest { last_sent: now, attempts: sent.attempts + 1 };
        true
    }
}

impl AdapterDemand {
    /// Requests an adapter from one of the given engines: one that loads it already, or else one that reacts, has a free
    /// slot and ranks first for the adapter. Returns when it is expected to be loaded; `None` without engines.
    pub(crate) fn request_at(
        &mut self,
        key: &AdapterKey,
        engines: &[&ReplicaView],
        places: usize,
        version: Option<AdapterVersion>,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let rank = |view: &&&ReplicaView| {
            let is_loading = is_incoming(view, key, now);
            let reacts = !self.directed.is_unanswered(key, &view.record.id);
            let has_slot = self.has_spare_slot(view, now);
            let weight = rendezvous::weight(&key.adapter, &view.record.address.to_string());
            (is_loading, reacts, has_slot, weight)
        };
        let view = engines.iter().max_by_key(rank)?;
        if !is_incoming(view, key, now) && self.directed.try_send(key, &view.record.id, now) {
            let ask = LoadRequest {
                replica: view.record.id.clone(),
                model: key.model.clone(),
                adapter: Some(key.adapter.clone()),
                version,
                places: places as u32,
            };
            self.outbox.push(AddressedLoadRequest { engine: view.record.address, ask });
        }
        Some(now + self.load_time())
    }
}
