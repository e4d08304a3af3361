//! Exchange with loaders: their reports on engines, and the load requests and usage reports that they receive.

use std::net::SocketAddr;

use super::RelayMachine;
use crate::ids::{MonoTime, ReplicaId};
use crate::relay::beacon::{AdapterUse, AddressedLoadRequest, EngineGauges, EngineHeartbeat};
use crate::relay::promise::ResolvedEstimate;

impl RelayMachine {
    /// Applies a loader's report. Returns whether the adapters held by the engine changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineHeartbeat, EngineReport};
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let beacon = EngineHeartbeat {
    ///     host: "e1".into(),
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     number: 1,
    ///     incarnation: 1,
    ///     report: EngineReport::default(),
    ///     content: 1,
    ///     uses: Vec::new(),
    ///     model_loads: Vec::new(),
    ///     spare_places: None,
    ///     arrivals: Vec::new(),
    ///     relays: Vec::new(),
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.take_report(&beacon, Duration::ZERO));
    /// ```
    pub fn take_report(&mut self, beacon: &EngineHeartbeat, now: MonoTime) -> bool {
        let is_changed = self.table.report(beacon.engine, beacon.report.clone(), now);
        if is_changed {
            self.note_held_loads(&beacon.report, now);
        }
        let uses = beacon.uses.clone();
        let has_room = self.table.note_spare(beacon.engine, beacon.spare_places, uses);
        let engine = self.table.at(beacon.engine);
        // Adapters held by an engine that accepts no requests remain wanted on other engines.
        if let Some(view) = engine.filter(|view| view.takes_work(now)) {
            if beacon.report.models.is_empty() {
                self.demand.forget_engine(&view.record.id);
            }
            self.demand.note_held(view, now);
            self.promises.note_held(|key| view.version_of(key, now).is_some(), now);
        }
        self.demand.note_arrivals(&beacon.arrivals, self.incoming(now));
        if is_changed || has_room {
            self.send_load_requests(now);
        }
        is_changed
    }

    /// Applies gauges that update the last report of a loader. Returns `false` when there is no such report, so that
    /// nothing was applied.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineGauges;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let engine = "127.0.0.1:1".parse().unwrap();
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.take_gauges(engine, &EngineGauges::default(), Duration::ZERO));
    /// ```
    pub fn take_gauges(
        &mut self,
        engine: SocketAddr,
        gauges: &EngineGauges,
        now: MonoTime,
    ) -> bool {
        if !self.table.record_gauges(engine, gauges, now) {
            return false;
        }
        if self.table.note_spare(engine, gauges.spare_places, gauges.uses.clone()) {
            self.send_load_requests(now);
        }
        true
    }

    /// Takes the use of an engine's adapters since the last call.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_uses("i-1").is_empty());
    /// ```
    pub fn take_uses(&mut self, replica: &str) -> Vec<AdapterUse> {
        self.table.take_uses(replica)
    }

    /// Takes the engines whose loaders have to be notified at once that an adapter is or is no longer in use.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_freed().is_empty());
    /// ```
    pub fn take_freed(&mut self) -> Vec<ReplicaId> {
        self.table.take_freed()
    }

    /// Takes the load requests for adapters to send to loaders now.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_load_requests().is_empty());
    /// ```
    pub fn take_load_requests(&mut self) -> Vec<AddressedLoadRequest> {
        self.demand.take_outbox()
    }

    /// Returns whether [`RelayMachine::take_load_requests`] or [`RelayMachine::take_freed`] has anything to send.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).has_pending_messages());
    /// ```
    pub fn has_pending_messages(&self) -> bool {
        self.demand.has_load_requests() || self.table.has_freed() || self.origins.has_messages()
    }

    /// Takes the load estimates given to rejected callers that were settled since the last call: the adapter was
    /// loaded, or did not load in time.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_settled_estimates().is_empty());
    /// ```
    pub fn take_settled_estimates(&mut self) -> Vec<ResolvedEstimate> {
        self.promises.take_ended()
    }
}
