//! Messages between relays, and between relays and loaders.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::access::spending::{SpentTotal, UsageReport, WorkspaceLevel};
use quillcove_core::ids::{HostId, MonoTime, ReplicaId, ServiceName};
use quillcove_core::relay::admission::reports::ReportOccasion;
use quillcove_core::relay::beacon::{
    AddressedLoadRequest, EngineHeartbeat, GaugeHeartbeat, OtherRelays, PeerMessage,
    RelayHeartbeat, ResendRequest, UseHeartbeat,
};
use quillcove_core::relay::change_word::StoreChangeMessage;
use quillcove_core::relay::engine_status::{EngineStatus, LoadReply};
use quillcove_core::relay::replica::ReplicaView;
use quillcove_core::relay::report_stream::GaugeOutcome;
use quillcove_core::relay::store_duty::{self, StoreRole};
use quillcove_core::relay::telling::{self, RelayDistance};
use slog::{info, warn};

use super::{InputTask, KnownRelay};

/// Number of other relays that a heartbeat to a relay names.
const NAMED_RELAYS: usize = 2;

impl InputTask {
    pub(super) fn handle_message(&mut self, message: PeerMessage, from: SocketAddr, now: MonoTime) {
        match message {
            PeerMessage::Relay(heartbeat) => self.handle_heartbeat(heartbeat, now),
            PeerMessage::Engine(report) => self.handle_report(*report, now),
            PeerMessage::Gauges(gauges) => self.handle_gauges(&gauges, now),
            PeerMessage::Spend(usage) => self.shared.machine().apply_usage_report(&usage, now),
            PeerMessage::ProofAsk(request) => self.answer_proof_request(&request, now),
            PeerMessage::Proof(response) => self.handle_proof(&response),
            PeerMessage::Crash(records) => self.apply_crash_records(&records, from, now),
            PeerMessage::CrashAsk(request) => self.answer_crash_request(request, now),
            PeerMessage::Limit(limits) => self.shared.machine().apply_limit_reports(&limits, now),
            PeerMessage::Change(change) => self.handle_change(&change, now),
            PeerMessage::Status(status) => self.handle_status(status, now),
            PeerMessage::Reply(reply) => self.handle_load_reply(&reply, now),
            PeerMessage::Origin(report) => self.shared.machine().origins_mut().hold(&report, now),
            PeerMessage::OriginAsk(question) => self.answer_origin_question(question, now),
            PeerMessage::OriginReply(answer) => self.take_origin_answer(&answer, from, now),
            PeerMessage::Use(_)
            | PeerMessage::Load(_)
            | PeerMessage::Resend(_)
            | PeerMessage::Prompts(_) => {
                warn!(self.shared.log, "received a message meant for loaders"; "from" => %from);
            },
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: RelayHeartbeat, now: MonoTime) {
        if heartbeat.host == self.shared.settings.process.host {
            return;
        }
        let known = KnownRelay {
            address: heartbeat.address,
            hall: heartbeat.hall.clone(),
            is_store_up: heartbeat.word.is_up,
            missing_adapters: heartbeat.lacking,
            last_heartbeat_at: now,
            heartbeat_interval: heartbeat.interval,
            known_relays: heartbeat.heard,
            operator_read_at: heartbeat.word.ages.operator.map(|age| now.saturating_sub(age)),
        };
        if self.relays.insert(heartbeat.host.clone(), known).is_none() {
            info!(self.shared.log, "relay heard"; "relay" => &heartbeat.host,
                "address" => %heartbeat.address);
            self.shared.machine().ledger_mut().record_contact(&heartbeat.host, now);
            self.update_peers(now);
            self.send_heartbeat_to(&heartbeat.hall, heartbeat.address, now);
            self.send_levels(heartbeat.address, now);
            self.start_crash_requests(now);
            self.offer_crash_records(&heartbeat.host, heartbeat.address, now);
        }
        let distance = self.distance_to(&heartbeat.hall);
        self.apply_summary(&heartbeat.word, distance, now);
        if distance == RelayDistance::Near || !self.has_near_reader() {
            self.compare_positions(&heartbeat, now);
        }
        for relay in heartbeat.relays {
            self.contact_relay(relay);
        }
    }

    /// Returns whether a relay's hall is this relay's own.
    pub(super) fn distance_to(&self, hall: &str) -> RelayDistance {
        match hall == self.shared.settings.process.hall {
            true => RelayDistance::Near,
            false => RelayDistance::Far,
        }
    }

    /// Returns whether a relay of the own hall that the store answers is known.
    pub(super) fn has_near_reader(&self) -> bool {
        let is_near_reader = |known: &KnownRelay| {
            known.is_store_up && self.distance_to(&known.hall) == RelayDistance::Near
        };
        self.relays.values().any(is_near_reader)
    }

    fn handle_report(&mut self, message: EngineHeartbeat, now: MonoTime) {
        if !self.loader_reports.take_whole(&message) {
            return;
        }
        self.load_coordinator.take_report(&message, now);
        let is_changed = self.shared.machine().take_report(&message, now);
        // A report of another cell's engine is the response to a load request, even if it contains nothing new.
        let is_response = {
            let machine = self.shared.machine();
            machine.table().at(message.engine).is_some_and(|view| !view.is_in_cell)
        };
        if is_changed || is_response {
            self.shared.waiters.notify_loaded(&message.report.adapters);
        }
        self.send_pending_loads();
        for relay in message.relays {
            self.contact_relay(relay);
        }
    }

    fn handle_gauges(&mut self, message: &GaugeHeartbeat, now: MonoTime) {
        match self.loader_reports.take_gauges(message, now) {
            GaugeOutcome::Late | GaugeOutcome::Lacks { asks: false } => {},
            GaugeOutcome::Lacks { asks: true } => self.request_full_report(message.engine),
            GaugeOutcome::Fits => {
                let is_taken =
                    self.shared.machine().take_gauges(message.engine, &message.gauges, now);
                if !is_taken {
                    // The engine has restarted, so its last full report no longer applies.
                    self.loader_reports.forget(message.engine);
                }
                self.send_pending_loads();
            },
        }
    }

    fn handle_status(&mut self, status: EngineStatus, now: MonoTime) {
        self.shared.machine().take_status(status, now);
        // Loads that an unreachable engine was asked for are requested from others.
        self.send_pending_loads();
    }

    fn handle_load_reply(&mut self, reply: &LoadReply, now: MonoTime) {
        self.shared.machine().take_load_reply(reply, now);
        self.send_pending_loads();
    }

    fn request_full_report(&self, engine: SocketAddr) {
        let request = PeerMessage::Resend(ResendRequest { relay: self.control_address });
        self.send(&request, [self.loader_of(engine)]);
    }

    /// Returns the address of the loader on an engine's host.
    pub(super) fn loader_of(&self, engine: SocketAddr) -> SocketAddr {
        self.shared.loader_of(engine)
    }

    pub(super) fn send(
        &self,
        message: &PeerMessage,
        receivers: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.shared.send(message, receivers);
    }

    /// Sends a heartbeat to a relay that another process has named and that this relay does not know yet.
    fn contact_relay(&mut self, relay: SocketAddr) {
        let is_known = self.relays.values().any(|known| known.address == relay);
        if !is_known && relay != self.control_address {
            // Its hall is not known yet; that relay's own heartbeat will tell whether it is near or far.
            self.send_heartbeat_to("", relay, self.shared.clock.now());
        }
    }

    pub(super) fn other_relays(&self, now: MonoTime) -> OtherRelays {
        let lacking = self.relays.values().map(|known| known.missing_adapters as usize).sum();
        let is_recent = |known: &&KnownRelay| {
            now.saturating_sub(known.last_heartbeat_at)
                < telling::recent_time(known.heartbeat_interval)
        };
        let recent = self.relays.values().filter(is_recent).count();
        // Every known relay reports how many relays it knows, from which a relay that has just started learns the
        // size of the fleet.
        let reported =
            self.relays.values().map(|known| known.known_relays as usize).max().unwrap_or(0);
        OtherRelays { count: self.relays.len().max(reported), recent, lacking }
    }

    pub(super) fn remove_expired_relays(&mut self, now: MonoTime) {
        let shared = self.shared.clone();
        let before = self.relays.len();
        self.relays.retain(|host, known| {
            let is_recent = now.saturating_sub(known.last_heartbeat_at)
                < telling::lifetime(known.heartbeat_interval);
            if !is_recent {
                info!(shared.log, "relay no longer heard"; "relay" => host);
                shared.machine().ledger_mut().forget(host);
            }
            is_recent
        });
        if self.relays.len() < before {
            self.update_peers(now);
        }
    }

    /// Passes the known relays to the machine, which divides the rate limits of replicas among them.
    fn update_peers(&self, now: MonoTime) {
        let others = self.relays.keys().cloned().collect();
        self.shared.machine().set_peers(others, now);
    }

    /// Removes loaders whose engines are no longer listed.
    pub(super) fn remove_unlisted_loaders(&mut self) {
        let machine = self.shared.machine();
        self.loader_reports.retain(|engine| machine.table().at(engine).is_some());
    }

    /// Chooses the services whose base-model loads this relay coordinates. The coordinator of a cell is the relay
    /// with the lowest host name among those whose heartbeats have not expired.
    pub(super) fn choose_coordinated_services(&mut self, now: MonoTime) {
        let shared = self.shared.clone();
        let own = &shared.settings.process.host;
        let machine = shared.machine();
        let may_coordinate = now >= self.coordinates_from && !machine.is_stopping();
        let is_lowest = |service: &ServiceName| {
            let has_precedence = |(host, known): (&HostId, &KnownRelay)| {
                own < host || !machine.shares_cell(service, &known.hall, host)
            };
            self.relays.iter().all(has_precedence)
        };
        let services = machine.sheet().into_iter().flat_map(|sheet| sheet.services());
        let engines = services.filter(|service| service.engine.is_some());
        let names = engines.map(|service| service.name.clone());
        let coordinated: BTreeSet<ServiceName> =
            names.filter(|service| may_coordinate && is_lowest(service)).collect();
        drop(machine);
        if coordinated != self.coordinated_services {
            info!(shared.log, "keeper of base models"; "services" => ?coordinated,
                "relays" => self.relays.len());
            self.coordinated_services = coordinated;
        }
    }

    pub(super) fn plan_model_loads(&mut self, now: MonoTime) {
        let is_coordinated = |service: &str| self.coordinated_services.contains(service);
        let requests =
            self.load_coordinator.plan_requests(&self.shared.machine(), is_coordinated, now);
        self.send_load_requests(requests);
    }

    /// Sends the load requests that are pending in the machine.
    pub(super) fn send_pending_loads(&self) {
        let requests = self.shared.machine().take_load_requests();
        self.send_load_requests(requests);
    }

    fn send_load_requests(&self, requests: Vec<AddressedLoadRequest>) {
        for addressed in requests {
            let request = &addressed.ask;
            info!(self.shared.log, "load asked for"; "replica" => &request.replica,
                "model" => &request.model, "adapter" => request.adapter.as_deref().unwrap_or("-"),
                "version" => request.version);
            let loader = self.loader_of(addressed.engine);
            self.send(&PeerMessage::Load(addressed.ask), [loader]);
        }
    }

    /// Returns the addresses of the known relays at a distance.
    fn relays_at(&self, distance: RelayDistance) -> Vec<SocketAddr> {
        let is_at_distance = |known: &&KnownRelay| self.distance_to(&known.hall) == distance;
        let mut relays: Vec<SocketAddr> =
            self.relays.values().filter(is_at_distance).map(|known| known.address).collect();
        relays.sort_unstable();
        relays
    }

    /// Returns the seeds from which no heartbeat arrives.
    fn unheard_seeds(&self) -> Vec<SocketAddr> {
        let heard: HashSet<SocketAddr> = self.relays.values().map(|known| known.address).collect();
        let seeds = self.settings.peers.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.control_address && !heard.contains(seed)).collect()
    }

    fn next_heartbeat(&mut self, interval: Duration, now: MonoTime) -> RelayHeartbeat {
        let all: Vec<SocketAddr> = self.relays.values().map(|known| known.address).collect();
        let named = self.named_round.take(&all, NAMED_RELAYS);
        let is_up = self.is_store_up();
        let machine = self.shared.machine();
        RelayHeartbeat {
            host: self.shared.settings.process.host.clone(),
            hall: self.shared.settings.process.hall.clone(),
            address: self.control_address,
            sheet: machine.sheet().map_or(0, |sheet| sheet.version),
            word: machine.knowledge().summary(is_up, now),
            lacking: machine.missing_adapter_count() as u32,
            interval,
            heard: self.relays.len() as u32,
            relays: named,
        }
    }

    /// Sends heartbeats to relays, and to loaders the use of their engines' adapters.
    pub(super) fn send_heartbeats(&mut self, now: MonoTime) {
        self.last_heartbeat_at = now;
        self.send_near_heartbeats(now);
        self.send_far_heartbeats(now);
        self.send_usage(now, true);
        self.send_limits(now);
        self.send_crash_records(true, now);
        self.request_crash_records(now);
        for (replica, loader) in self.loaders_in_use() {
            self.send_uses(&replica, loader);
        }
        self.heartbeat_count += 1;
        self.send_prompt_reports(ReportOccasion::Heartbeat(self.heartbeat_count));
    }

    /// Sends adapter use to the loaders of the given engines, as far as this relay uses them.
    pub(super) fn report_uses_of(&self, engines: &HashSet<ReplicaId>) {
        for (replica, loader) in self.loaders_in_use() {
            if engines.contains(&replica) {
                self.send_uses(&replica, loader);
            }
        }
    }

    /// Sends a heartbeat to relays of the own hall, and to seeds from which none arrives.
    pub(super) fn send_near_heartbeats(&mut self, now: MonoTime) {
        let near = self.relays_at(RelayDistance::Near);
        let interval = RelayDistance::Near.interval(near.len());
        let selected = self.near_round.take(&near, RelayDistance::Near.at_once(near.len()));
        let receivers: Vec<SocketAddr> = selected.into_iter().chain(self.unheard_seeds()).collect();
        let heartbeat = PeerMessage::Relay(self.next_heartbeat(interval, now));
        self.send(&heartbeat, receivers);
    }

    /// Sends a heartbeat to some of the relays of other halls, in round-robin order.
    fn send_far_heartbeats(&mut self, now: MonoTime) {
        let far = self.relays_at(RelayDistance::Far);
        if far.is_empty() {
            return;
        }
        let interval = RelayDistance::Far.interval(far.len());
        let selected = self.far_round.take(&far, RelayDistance::Far.at_once(far.len()));
        let heartbeat = PeerMessage::Relay(self.next_heartbeat(interval, now));
        self.send(&heartbeat, selected);
    }

    /// Sends changes that this relay has read to the relays of its hall, if it is one of the few direct readers of a
    /// large fleet.
    pub(super) fn send_change(&self, change: StoreChangeMessage) {
        let is_reader = self.follow_instructions.borrow().duty == StoreRole::Watches;
        if change.changes.is_empty() || !is_reader || !store_duty::is_large(self.relays.len()) {
            return;
        }
        let near = self.relays_at(RelayDistance::Near);
        for message in change.in_datagrams() {
            self.send(&PeerMessage::Change(message), near.iter().copied());
        }
    }

    /// Applies changes that another relay of the hall has read.
    fn handle_change(&mut self, change: &StoreChangeMessage, now: MonoTime) {
        let changes = self.shared.machine().apply_update(change, now);
        if let Some(changes) = changes {
            self.announce_changes(changes, now);
            self.shared.waiters.notify_all();
            self.update_readiness();
        }
    }

    /// Sends a heartbeat to one relay.
    fn send_heartbeat_to(&mut self, hall: &str, relay: SocketAddr, now: MonoTime) {
        let distance = self.distance_to(hall);
        let interval = distance.interval(self.relays_at(distance).len());
        let heartbeat = PeerMessage::Relay(self.next_heartbeat(interval, now));
        self.send(&heartbeat, [relay]);
    }

    /// Sends the use of workspaces' rate limits at this relay: with each heartbeat, and earlier when a large part of
    /// a limit was used.
    pub(super) fn send_usage(&self, now: MonoTime, with_heartbeat: bool) {
        let spent = self.shared.machine().ledger_mut().tell(with_heartbeat, now);
        if spent.is_empty() {
            return;
        }
        let message = self.usage_message(spent, Vec::new(), now);
        self.send(&PeerMessage::Spend(message), self.relays.values().map(|known| known.address));
    }

    /// Sends the rate limits that replicas have announced to this relay.
    fn send_limits(&self, now: MonoTime) {
        let limits = self.shared.machine().take_due_limit_reports(now);
        if let Some(limits) = limits {
            let relays = self.relays.values().map(|known| known.address);
            self.send(&PeerMessage::Limit(limits), relays);
        }
    }

    /// Sends the remaining quota of workspaces to a newly discovered relay, which may have lost its state in a restart.
    fn send_levels(&self, relay: SocketAddr, now: MonoTime) {
        let levels = self.shared.machine().ledger_mut().levels(now);
        if !levels.is_empty() {
            let message = self.usage_message(Vec::new(), levels, now);
            self.send(&PeerMessage::Spend(message), [relay]);
        }
    }

    fn usage_message(
        &self,
        spent: Vec<SpentTotal>,
        levels: Vec<WorkspaceLevel>,
        now: MonoTime,
    ) -> UsageReport {
        let host = self.shared.settings.process.host.clone();
        UsageReport { host, incarnation: self.incarnation, uptime: now, spent, levels }
    }

    /// Reports at once to the loaders of full engines that one of their adapters is no longer in use, and where adapter
    /// slots are scarce, that one is in use.
    pub(super) fn report_freed_adapters(&self) {
        let freed = self.shared.machine().take_freed();
        if freed.is_empty() {
            return;
        }
        let loaders = self.loaders_of_engines();
        for (replica, loader) in loaders.iter().filter(|(replica, _)| freed.contains(replica)) {
            self.send_uses(replica, *loader);
        }
    }

    fn send_uses(&self, replica: &str, loader: SocketAddr) {
        let uses = self.shared.machine().take_uses(replica);
        let message = PeerMessage::Use(UseHeartbeat { relay: self.control_address, uses });
        self.send(&message, [loader]);
    }

    /// Returns the loaders of the engines in this relay's cell, and of other engines that it uses.
    fn loaders_in_use(&self) -> Vec<(ReplicaId, SocketAddr)> {
        self.loaders_where(|view| view.is_in_cell || view.has_uses())
    }

    /// Returns the loaders of all listed engines.
    pub(super) fn loaders_of_engines(&self) -> Vec<(ReplicaId, SocketAddr)> {
        self.loaders_where(|_| true)
    }

    fn loaders_where(
        &self,
        is_selected: impl Fn(&ReplicaView) -> bool,
    ) -> Vec<(ReplicaId, SocketAddr)> {
        let machine = self.shared.machine();
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let has_engine =
            |service: &str| sheet.service(service).is_some_and(|service| service.engine.is_some());
        let engines = machine
            .table()
            .all()
            .filter(|view| has_engine(&view.record.service) && is_selected(view));
        engines.map(|view| (view.record.id.clone(), self.loader_of(view.record.address))).collect()
    }
}
