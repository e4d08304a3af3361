//! Services whose engines have scarce adapter slots: whether their rules apply, and what loaders report about them.

use super::{RelayMachine, RelayQuery};
use crate::ids::MonoTime;
use crate::relay::engine_status::{EngineStatus, LoadReply};
use crate::relay::policy::ContentionRule;
use crate::relay::reading::PrefillAverages;
use crate::relay::routing::StreamTargets;

impl RelayMachine {
    /// Returns whether the rules for engines with scarce adapter slots apply to a service.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_contended("s"));
    /// ```
    pub fn is_contended(&self, service: &str) -> bool {
        let record = self.sheet.as_ref().and_then(|sheet| sheet.service(service));
        let Some(engine) = record.and_then(|service| service.engine.as_ref()) else {
            return false;
        };
        match self.rules.policy.contention {
            ContentionRule::Always => true,
            ContentionRule::Never => false,
            ContentionRule::Auto => {
                let request_slots = self.table.request_slots(service);
                request_slots.is_some_and(|slots| engine.has_scarce_slots(slots))
            },
        }
    }

    /// Records an engine's status from its loader. Returns whether it is newer than the known one. That of a service to which
    /// the rules for scarce adapter slots do not apply is ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::engine_status::EngineStatus;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let status = EngineStatus::unknown("127.0.0.1:1".parse().unwrap());
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).take_status(status, Duration::ZERO));
    /// ```
    pub fn take_status(&mut self, status: EngineStatus, now: MonoTime) -> bool {
        let view = self.table.at(status.engine);
        let Some(view) = view.filter(|view| self.is_contended(&view.record.service)) else {
            return false;
        };
        let engine = status.engine;
        let (replica, was_unreachable) = (view.record.id.clone(), view.is_unreachable(now));
        let is_lost = !status.is_reachable && !was_unreachable;
        let is_newer = self.table.record_status(status, now);
        if is_newer {
            self.update_fleet_prompts(engine, now);
        }
        if is_newer && is_lost {
            self.demand.drop_load_requests(&replica);
            self.send_load_requests(now);
        }
        is_newer
    }

    /// Returns the engines of a service that their loaders report as unreachable; none if that is every ready engine,
    /// as the fault may then be in this relay.
    pub(super) fn unreachable_engines<'a>(
        &'a self,
        service: &'a str,
        now: MonoTime,
    ) -> Vec<&'a str> {
        let unreachable = self.ready_engines(service).filter(|view| view.is_unreachable(now));
        let unreachable: Vec<&str> = unreachable.map(|view| view.record.id.as_str()).collect();
        match unreachable.is_empty() || unreachable.len() < self.ready_engines(service).count() {
            true => unreachable,
            false => Vec::new(),
        }
    }

    /// Records a loader's reply to a load request of this relay.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::engine_status::{LoadOutcome, LoadReply};
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let reply = LoadReply {
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     key: AdapterKey { model: "m".into(), adapter: "a1".into() },
    ///     outcome: LoadOutcome::Unreachable,
    /// };
    /// RelayMachine::new(RelayRules::default(), 1).take_load_reply(&reply, Duration::ZERO);
    /// ```
    pub fn take_load_reply(&mut self, _reply: &LoadReply, _now: MonoTime) {}

    /// Returns the prefill averages of a service for estimates at `now`. Measurements of loaders are used only where
    /// the rules for scarce adapter slots apply.
    pub(super) fn prefill_averages(&self, service: &str, now: MonoTime) -> PrefillAverages {
        let averages = self.table.norm(service);
        match self.is_contended(service) {
            true => averages.with_measurements(now),
            false => averages,
        }
    }

    /// Returns the targets by which the engine of a request is chosen; `None` where the rules for scarce adapter slots
    /// do not apply, for responses that are no streams, and without a recent measurement of the service: the expected
    /// times are then too uncertain for a probability of being late.
    pub(super) fn stream_targets(
        &self,
        query: &RelayQuery,
        now: MonoTime,
    ) -> Option<StreamTargets> {
        let is_stream = query.route.kind.is_stream();
        let is_used = is_stream && self.prefill_averages(&query.service, now).is_measured();
        is_used.then(|| StreamTargets {
            first_event_in: query.due().saturating_sub(now),
            pause: query.route.target_gap,
        })
    }
}
