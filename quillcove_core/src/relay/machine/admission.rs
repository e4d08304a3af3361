//! Admission control for services whose engines have scarce adapter slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{RelayMachine, RelayQuery};
use crate::access::limit::UseUnit;
use crate::ids::{MonoTime, ReplicaId};
use crate::relay::admission::decision::{AdmissionCase, AdmissionStep};
use crate::relay::admission::reports::ReportOccasion;
use crate::relay::admission::returns::{EARLY_REJECT_SHARE, ReturnWindow};
use crate::relay::admission::shares::WorkspaceStanding;
use crate::relay::engine_status::PendingPrompts;
use crate::relay::reading::{LAST_TIMELY_RANK, PrefillPrompt};
use crate::relay::replica::ReplicaView;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Label of requests that are rejected because another engine is loading their adapter in time.
const BETTER_RETURN_LABEL: &str = "returns_in_time";

impl RelayMachine {
    /// Returns what the admission decision on a request at an engine depends on; `None` where the rules for scarce adapter
    /// slots do not apply, and without a stated prompt. `is_sent_before` is whether an attempt of it was sent or its
    /// sending is decided.
    pub(super) fn admission_case(
        &self,
        replica: &str,
        query: &RelayQuery,
        is_sent_before: bool,
        now: MonoTime,
    ) -> Option<AdmissionCase> {
        if !self.is_contended(&query.service) {
            return None;
        }
        let (view, tokens) = (self.table.get(replica)?, query.prompt_tokens?);
        let norm = self.prefill_averages(&query.service, now);
        let rank = query.rank().min(LAST_TIMELY_RANK);
        let deferred_rank = rank + LAST_TIMELY_RANK + 1;
        let timely_wait = view.reading.wait_before(rank, &norm);
        let prompt = PrefillPrompt { tokens, rank };
        let own_time = view.reading.time_to_first_event(prompt, &norm).saturating_sub(timely_wait);
        Some(AdmissionCase {
            now,
            due: query.due(),
            abandon_at: query.abandon_at(),
            rank,
            own_time,
            timely_wait,
            deferred_wait: view.reading.wait_before(deferred_rank, &norm),
            workspace: match query.is_retry() {
                true => WorkspaceStanding::Unlimited,
                false => self.shares.standing(workspace_of(query)),
            },
            relays: self.relays,
            draw: 0.0,
            // A count of waiting requests without their ranks does not show that a request cannot be served.
            is_rejectable: !is_sent_before && view.reading.knows_fleet_prompts(),
        })
    }

    /// Decides whether a request for which an engine was chosen is rejected; `None` if it is sent.
    pub(super) fn admission_step(
        &mut self,
        query: &RelayQuery,
        replica: &str,
        tried: &[ReplicaId],
        now: MonoTime,
    ) -> Option<WorkRefusal> {
        let case = self.admission_case(replica, query, !tried.is_empty(), now)?;
        let (retry_after, label) = match case.decide() {
            AdmissionStep::Timely => return None,
            AdmissionStep::Deferred(_) => (self.better_return(query, &case)?, BETTER_RETURN_LABEL),
            step @ AdmissionStep::Reject { retry_after } => {
                // Returns are distributed over the second half of the delay.
                (retry_after.mul_f64(0.5 + 0.5 * self.draw_fraction()), step.label())
            },
        };
        // Sent requests are counted when their attempt begins.
        self.record_demand(query);
        self.count_admission(label);
        Some(WorkRefusal::not_run(RefusalReason::Overloaded, Some(retry_after)))
    }

    /// Counts a decision for the metrics.
    pub(super) fn count_admission(&mut self, label: &'static str) {
        *self.admission_counts.entry(label).or_default() += 1;
    }

    /// Returns the number of admission decisions since the last call, by label.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_admission_counts().is_empty());
    /// ```
    pub fn take_admission_counts(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.admission_counts)
    }

    /// Counts a first attempt for the fair shares of workspaces.
    pub(super) fn record_demand(&mut self, query: &RelayQuery) {
        if let Some(tokens) = query.prompt_tokens.filter(|_| !query.is_retry()) {
            self.shares.record_request(workspace_of(query), tokens);
        }
    }

    /// Returns the prompt tokens per second that the usable engines of contended services process together.
    fn prefill_rate(&self, contended: &BTreeMap<String, bool>, now: MonoTime) -> f64 {
        let is_usable = |view: &&ReplicaView| {
            let is_contended = contended.get(&view.record.service).copied().unwrap_or(false);
            is_contended && view.takes_work(now) && view.seems_well(now)
        };
        let rate = |view: &ReplicaView| {
            view.reading.prefill_rate(&self.prefill_averages(&view.record.service, now))
        };
        self.table.all().filter(is_usable).map(rate).sum()
    }

    /// Counts what another relay has reported of a workspace's usage, in the unit of the workspace's limit.
    pub(super) fn record_reported_usage(&mut self, workspace: &str, unit: UseUnit, units: i64) {
        let tokens_per_unit = match unit {
            UseUnit::Requests => self.shares.mean_tokens(),
            UseUnit::Tokens { .. } => Some(1.0),
        };
        if let Some(tokens) = tokens_per_unit.filter(|_| self.has_contended_service) {
            self.shares.record_report(workspace, units as f64 * tokens);
        }
    }

    /// Returns the retry delay with which a first attempt is expected to be served in time, at another engine that is
    /// loading the adapter. `None` if there is none, and for requests that have waited or returned.
    fn better_return(&mut self, query: &RelayQuery, case: &AdmissionCase) -> Option<Duration> {
        let now = case.now;
        let is_early = now <= query.received + query.route.aim.mul_f64(EARLY_REJECT_SHARE);
        // The copy that is being loaded may be at another software version than the one that began the stream.
        let is_pinned = query.origin.is_some();
        let has_waited = query.choice_count > 0 || query.is_retry() || is_pinned;
        if !case.is_rejectable || has_waited || !is_early {
            return None;
        }
        let key = query.adapter.as_ref()?;
        let ready_at = self.demand.next_copy_at(key, now)?;
        let first_event = self.shortest_reading_time(query, now);
        let window = ReturnWindow::find(ready_at, first_event, case.due, case.abandon_at, now)?;
        let capacity = window.capacity(case.own_time) / self.relays.max(1) as f64;
        let (draw, position) = (self.draw_fraction(), self.draw_fraction());
        let is_reserved = self.returns.reserve(key, capacity, draw, now + window.latest, now);
        is_reserved.then(|| window.at(position))
    }

    /// Draws a random number from 0 to 1.
    pub(super) fn draw_fraction(&mut self) -> f64 {
        self.draw() as f64 / u64::MAX as f64
    }

    /// Applies the sum of pending prompts from the last status of an engine.
    pub(super) fn update_fleet_prompts(&mut self, engine: SocketAddr, now: MonoTime) {
        let Some(view) = self.table.at(engine) else {
            return;
        };
        let is_contended = self.is_contended(&view.record.service);
        let total = view.status(now).filter(|_| is_contended).map(|status| status.pending);
        let id = view.record.id.clone();
        if let Some(reading) = self.table.reading_mut(&id) {
            reading.record_fleet_prompts(total);
        }
    }

    /// Discards sums of pending prompts whose status is outdated, or whose service is no longer contended.
    pub(super) fn tick_admission(&mut self, now: MonoTime) {
        let contended = self.contended_services();
        self.has_contended_service = contended.values().any(|is_contended| *is_contended);
        if self.has_contended_service {
            let prefill_rate = self.prefill_rate(&contended, now);
            self.shares.update(self.relays, prefill_rate, now);
        }
        if !self.table.all().any(|view| view.reading.knows_fleet_prompts()) {
            return;
        }
        let is_outdated = |service: &str, has_status: bool| {
            !has_status || !contended.get(service).copied().unwrap_or(false)
        };
        let views = self.table.all();
        let outdated: Vec<ReplicaId> = views
            .filter(|view| view.reading.knows_fleet_prompts())
            .filter(|view| is_outdated(&view.record.service, view.status(now).is_some()))
            .map(|view| view.record.id.clone())
            .collect();
        for id in outdated {
            if let Some(reading) = self.table.reading_mut(&id) {
                reading.record_fleet_prompts(None);
            }
        }
    }

    /// Returns for each service with engines whether it is contended.
    fn contended_services(&self) -> BTreeMap<String, bool> {
        let services = self.sheet.iter().flat_map(|sheet| sheet.services());
        let names = services.filter(|service| service.engine.is_some()).map(|it| it.name.clone());
        names.map(|name| (name.clone(), self.is_contended(&name))).collect()
    }

    /// Returns the pending prompts to report now to the loaders of contended engines, by the engine's address.
    ///
    /// ```
    /// use quillcove_core::relay::admission::reports::ReportOccasion;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.take_prompt_reports(ReportOccasion::Heartbeat(1)).is_empty());
    /// ```
    pub fn take_prompt_reports(
        &mut self,
        occasion: ReportOccasion,
    ) -> Vec<(SocketAddr, PendingPrompts)> {
        let contended = self.contended_services();
        if !contended.values().any(|is_contended| *is_contended) {
            return Vec::new();
        }
        let is_contended = |service: &str| contended.get(service).copied().unwrap_or(false);
        let views = self.table.all().filter(|view| is_contended(&view.record.service));
        // Only changes are reported to engines of other cells.
        let engines: Vec<(ReplicaId, SocketAddr, ReportOccasion)> = views
            .map(|view| {
                let is_in_use = view.is_in_cell || view.has_uses();
                let occasion = if is_in_use { occasion } else { ReportOccasion::Tick };
                (view.record.id.clone(), view.record.address, occasion)
            })
            .collect();
        let mut due = Vec::new();
        for (position, (id, address, occasion)) in engines.into_iter().enumerate() {
            let reading = self.table.reading_mut(&id);
            let pending = reading.and_then(|it| it.take_report(occasion, position as u64));
            due.extend(pending.map(|pending| (address, pending)));
        }
        due
    }
}

/// Returns the workspace of a request. Requests without a key share one.
fn workspace_of(query: &RelayQuery) -> &str {
    query.grant.as_ref().map_or("", |grant| grant.workspace.name.as_str())
}
