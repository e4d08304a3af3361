//! Admission control for services whose engines have scarce adapter slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::RelayMachine;
use crate::ids::{MonoTime, ReplicaId};
use crate::relay::admission::reports::ReportOccasion;
use crate::relay::engine_status::PendingPrompts;

impl RelayMachine {
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
