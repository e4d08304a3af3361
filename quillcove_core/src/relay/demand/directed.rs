//! Load requests for streams that have begun, which only some engines of their service may go on with.

use std::collections::BTreeMap;

use super::{AdapterDemand, LOAD_REQUEST_LIFETIME, LOAD_REQUEST_RETRY_DELAY, is_incoming};
use crate::ids::{AdapterKey, AdapterVersion, MonoTime, ReplicaId};
use crate::relay::beacon::{AddressedLoadRequest, LoadRequest};
use crate::relay::replica::ReplicaView;
use crate::rendezvous;

/// Load requests to a given engine that have been sent lately.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectedRequests {
    sent: BTreeMap<(AdapterKey, ReplicaId), MonoTime>,
}

impl DirectedRequests {
    pub(super) fn expire(&mut self, now: MonoTime) {
        self.sent.retain(|_, sent| now.saturating_sub(*sent) < LOAD_REQUEST_LIFETIME);
    }

    /// Returns whether a request is due, and if so records it as sent.
    fn try_send(&mut self, key: &AdapterKey, replica: &ReplicaId, now: MonoTime) -> bool {
        let id = (key.clone(), replica.clone());
        let is_recent = |sent: &MonoTime| now.saturating_sub(*sent) < LOAD_REQUEST_RETRY_DELAY;
        if self.sent.get(&id).is_some_and(is_recent) {
            return false;
        }
        self.sent.insert(id, now);
        true
    }
}

impl AdapterDemand {
    /// Requests an adapter from one of the given engines: one that loads it already, or else one that has a free slot
    /// and ranks first for the adapter. Returns when it is expected to be loaded; `None` without engines.
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
            let has_slot = self.has_spare_slot(view, now);
            let weight = rendezvous::weight(&key.adapter, &view.record.address.to_string());
            (is_loading, has_slot, weight)
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
