//! What relays and loaders tell each other.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::access::spending::{SpendBeacon, SpentTotal, WorkspaceLevel};
use quillcove_core::ids::{HostId, MonoTime, ServiceName};
use quillcove_core::relay::beacon::{
    AddressedAsk, EngineBeacon, GaugeBeacon, OtherRelays, PeerMessage, RelayBeacon, ReplicaId,
    ResendAsk, UseBeacon,
};
use quillcove_core::relay::change_word::ChangeBeacon;
use quillcove_core::relay::replica::ReplicaView;
use quillcove_core::relay::report_stream::GaugeFate;
use quillcove_core::relay::store_duty::{self, StoreDuty};
use quillcove_core::relay::telling::{self, RelayDistance};
use slog::{info, warn};

use super::{InputDuty, KnownRelay};

/// Relays that a word to a relay names.
const NAMED_AT_ONCE: usize = 2;

impl InputDuty {
    pub(super) fn take_message(&mut self, message: PeerMessage, from: SocketAddr, now: MonoTime) {
        match message {
            PeerMessage::Relay(beacon) => self.take_beacon(beacon, now),
            PeerMessage::Engine(beacon) => self.take_report(*beacon, now),
            PeerMessage::Gauges(beacon) => self.take_gauges(&beacon, now),
            PeerMessage::Spend(told) => self.shared.machine().take_spent(&told, now),
            PeerMessage::ProofAsk(ask) => self.answer_proof(&ask, now),
            PeerMessage::Proof(answer) => self.take_proof(&answer),
            PeerMessage::Crash(told) => self.take_crashes(&told, from, now),
            PeerMessage::CrashAsk(ask) => self.answer_crashes(ask, now),
            PeerMessage::Limit(told) => self.shared.machine().take_limits(&told, now),
            PeerMessage::Change(told) => self.take_told(&told, now),
            PeerMessage::Use(_) | PeerMessage::Load(_) | PeerMessage::Resend(_) => {
                warn!(self.shared.log, "message is meant for a loader"; "from" => %from);
            },
        }
    }

    fn take_beacon(&mut self, beacon: RelayBeacon, now: MonoTime) {
        if beacon.host == self.shared.settings.process.host {
            return;
        }
        let known = KnownRelay {
            address: beacon.address,
            hall: beacon.hall.clone(),
            is_up: beacon.word.is_up,
            lacking: beacon.lacking,
            heard: now,
            interval: beacon.interval,
            others: beacon.heard,
            read_at: beacon.word.ages.operator.map(|age| now.saturating_sub(age)),
        };
        if self.relays.insert(beacon.host.clone(), known).is_none() {
            info!(self.shared.log, "relay heard"; "relay" => &beacon.host,
                "address" => %beacon.address);
            self.note_peers(now);
            self.tell_relay(&beacon.hall, beacon.address, now);
            self.tell_levels(beacon.address, now);
            self.miss_crashes(now);
            self.greet_with_crashes(&beacon.host, beacon.address, now);
        }
        let distance = self.distance_to(&beacon.hall);
        self.take_word(&beacon.word, distance, now);
        if distance == RelayDistance::Near || !self.hears_near_reader() {
            self.compare(&beacon, now);
        }
        for relay in beacon.relays {
            self.greet(relay);
        }
    }

    /// How far another relay is from this one.
    pub(super) fn distance_to(&self, hall: &str) -> RelayDistance {
        match hall == self.shared.settings.process.hall {
            true => RelayDistance::Near,
            false => RelayDistance::Far,
        }
    }

    /// Tells whether a relay of the own hall is heard that the store answers.
    pub(super) fn hears_near_reader(&self) -> bool {
        let is_near_reader = |known: &KnownRelay| {
            known.is_up && self.distance_to(&known.hall) == RelayDistance::Near
        };
        self.relays.values().any(is_near_reader)
    }

    fn take_report(&mut self, beacon: EngineBeacon, now: MonoTime) {
        if !self.loaders.take_whole(&beacon) {
            return;
        }
        self.keeper.take_report(&beacon, now);
        let is_changed = self.shared.machine().take_report(&beacon, now);
        // A report of another cell's engine is the answer to an ask, also when it says what was known before.
        let is_asked = {
            let machine = self.shared.machine();
            machine.table().at(beacon.engine).is_some_and(|view| !view.is_near)
        };
        if is_changed || is_asked {
            self.shared.waiters.tell_held(&beacon.report.adapters);
        }
        self.send_wanted();
        for relay in beacon.relays {
            self.greet(relay);
        }
    }

    fn take_gauges(&mut self, beacon: &GaugeBeacon, now: MonoTime) {
        match self.loaders.take_gauges(beacon, now) {
            GaugeFate::Late | GaugeFate::Lacks { asks: false } => {},
            GaugeFate::Lacks { asks: true } => self.ask_for_whole(beacon.engine),
            GaugeFate::Fits => {
                let is_taken =
                    self.shared.machine().take_gauges(beacon.engine, &beacon.gauges, now);
                if !is_taken {
                    // The engine has restarted, so that its last report is gone.
                    self.loaders.forget(beacon.engine);
                }
                self.send_wanted();
            },
        }
    }

    fn ask_for_whole(&self, engine: SocketAddr) {
        let ask = PeerMessage::Resend(ResendAsk { relay: self.control });
        self.send(&ask, [self.loader_of(engine)]);
    }

    /// The loader on the host of an engine.
    fn loader_of(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.settings.peers.loader_port)
    }

    pub(super) fn send(
        &self,
        message: &PeerMessage,
        receivers: impl IntoIterator<Item = SocketAddr>,
    ) {
        let sent = self.socket.send(message, receivers);
        self.shared.metrics.told(message.kind(), sent);
    }

    /// Tells a relay that only loaders have heard so far that this one is there.
    fn greet(&mut self, relay: SocketAddr) {
        let is_known = self.relays.values().any(|known| known.address == relay);
        if !is_known && relay != self.control {
            // Its hall is not known yet; it learns from the answer to this how far it is.
            self.tell_relay("", relay, self.shared.clock.now());
        }
    }

    pub(super) fn others(&self, now: MonoTime) -> OtherRelays {
        let lacking = self.relays.values().map(|known| known.lacking as usize).sum();
        let is_recent = |known: &&KnownRelay| {
            now.saturating_sub(known.heard) < telling::recent_time(known.interval)
        };
        let recent = self.relays.values().filter(is_recent).count();
        // Each relay that is heard has heard others; a relay that has just started knows the fleet by them.
        let told = self.relays.values().map(|known| known.others as usize).max().unwrap_or(0);
        OtherRelays { count: self.relays.len().max(told), recent, lacking }
    }

    pub(super) fn forget_relays(&mut self, now: MonoTime) {
        let shared = self.shared.clone();
        let before = self.relays.len();
        self.relays.retain(|host, known| {
            let is_recent = now.saturating_sub(known.heard) < telling::lifetime(known.interval);
            if !is_recent {
                info!(shared.log, "relay no longer heard"; "relay" => host);
                shared.machine().ledger_mut().forget(host);
            }
            is_recent
        });
        if self.relays.len() < before {
            self.note_peers(now);
        }
    }

    /// Has the machine share limits of replicas among the relays that are there.
    fn note_peers(&self, now: MonoTime) {
        let others = self.relays.keys().cloned().collect();
        self.shared.machine().set_peers(others, now);
    }

    /// Forgets loaders whose engines are no longer listed.
    pub(super) fn forget_loaders(&mut self) {
        let machine = self.shared.machine();
        self.loaders.retain(|engine| machine.table().at(engine).is_some());
    }

    /// The relay with the lowest name of a cell among those heard lately paces the loads of base models there.
    pub(super) fn choose_keeper(&mut self, now: MonoTime) {
        let shared = self.shared.clone();
        let own = &shared.settings.process.host;
        let machine = shared.machine();
        let may_keep = now >= self.keeper_from && !machine.is_stopping();
        let is_lowest = |service: &ServiceName| {
            let is_behind = |(host, known): (&HostId, &KnownRelay)| {
                own < host || !machine.shares_cell(service, &known.hall, host)
            };
            self.relays.iter().all(is_behind)
        };
        let services = machine.sheet().into_iter().flat_map(|sheet| sheet.services());
        let engines = services.filter(|service| service.engine.is_some());
        let names = engines.map(|service| service.name.clone());
        let kept: BTreeSet<ServiceName> =
            names.filter(|service| may_keep && is_lowest(service)).collect();
        drop(machine);
        if kept != self.kept {
            info!(shared.log, "keeper of base models"; "services" => ?kept,
                "relays" => self.relays.len());
            self.kept = kept;
        }
    }

    pub(super) fn plan_models(&mut self, now: MonoTime) {
        let is_keeper = |service: &str| self.kept.contains(service);
        let asks = self.keeper.plan(&self.shared.machine(), is_keeper, now);
        self.send_asks(asks);
    }

    /// Sends the asks for adapters that the machine has made.
    pub(super) fn send_wanted(&self) {
        let asks = self.shared.machine().take_asks();
        self.send_asks(asks);
    }

    fn send_asks(&self, asks: Vec<AddressedAsk>) {
        for addressed in asks {
            let ask = &addressed.ask;
            info!(self.shared.log, "load asked for"; "replica" => &ask.replica,
                "model" => &ask.model, "adapter" => ask.adapter.as_deref().unwrap_or("-"),
                "version" => ask.version);
            let loader = self.loader_of(addressed.engine);
            self.send(&PeerMessage::Load(addressed.ask), [loader]);
        }
    }

    /// The relays that are heard at this distance.
    fn relays_at(&self, distance: RelayDistance) -> Vec<SocketAddr> {
        let is_there = |known: &&KnownRelay| self.distance_to(&known.hall) == distance;
        let mut relays: Vec<SocketAddr> =
            self.relays.values().filter(is_there).map(|known| known.address).collect();
        relays.sort_unstable();
        relays
    }

    /// Seeds that are not heard; those that are heard are among the others.
    fn silent_seeds(&self) -> Vec<SocketAddr> {
        let heard: HashSet<SocketAddr> = self.relays.values().map(|known| known.address).collect();
        let seeds = self.settings.peers.seeds.iter().copied();
        seeds.filter(|seed| *seed != self.control && !heard.contains(seed)).collect()
    }

    fn beacon(&mut self, interval: Duration, now: MonoTime) -> RelayBeacon {
        let all: Vec<SocketAddr> = self.relays.values().map(|known| known.address).collect();
        let named = self.named.take(&all, NAMED_AT_ONCE);
        let is_up = self.is_store_up();
        let machine = self.shared.machine();
        RelayBeacon {
            host: self.shared.settings.process.host.clone(),
            hall: self.shared.settings.process.hall.clone(),
            address: self.control,
            sheet: machine.sheet().map_or(0, |sheet| sheet.version),
            word: machine.knowledge().word(is_up, now),
            lacking: machine.lacking() as u32,
            interval,
            heard: self.relays.len() as u32,
            relays: named,
        }
    }

    /// Tells relays that this one is there, and loaders how their engines' adapters are used.
    pub(super) fn tell_all(&mut self, now: MonoTime) {
        self.last_beacon = now;
        self.tell_near(now);
        self.tell_some_far(now);
        self.tell_spent(now, true);
        self.tell_limits(now);
        self.tell_crashes(true, now);
        self.ask_for_crashes(now);
        for (replica, loader) in self.loaders_in_use() {
            self.tell_uses(&replica, loader);
        }
    }

    /// Tells the loaders of some engines in use that this relay is there.
    pub(super) fn tell_loaders_of(&self, engines: &HashSet<ReplicaId>) {
        for (replica, loader) in self.loaders_in_use() {
            if engines.contains(&replica) {
                self.tell_uses(&replica, loader);
            }
        }
    }

    /// Tells the relays of the own hall what this one knows, and seeds that have not been heard.
    pub(super) fn tell_near(&mut self, now: MonoTime) {
        let near = self.relays_at(RelayDistance::Near);
        let interval = RelayDistance::Near.interval(near.len());
        let told = self.near_round.take(&near, RelayDistance::Near.at_once(near.len()));
        let receivers: Vec<SocketAddr> = told.into_iter().chain(self.silent_seeds()).collect();
        let beacon = PeerMessage::Relay(self.beacon(interval, now));
        self.send(&beacon, receivers);
    }

    /// Tells some of the relays of other halls, others with each call.
    fn tell_some_far(&mut self, now: MonoTime) {
        let far = self.relays_at(RelayDistance::Far);
        if far.is_empty() {
            return;
        }
        let interval = RelayDistance::Far.interval(far.len());
        let told = self.far_round.take(&far, RelayDistance::Far.at_once(far.len()));
        let beacon = PeerMessage::Relay(self.beacon(interval, now));
        self.send(&beacon, told);
    }

    /// Tells the relays of the own hall of changes that this one has read, if it is one of few that read.
    pub(super) fn tell_change(&self, change: ChangeBeacon) {
        let is_reader = self.order.borrow().duty == StoreDuty::Watches;
        if change.changes.is_empty() || !is_reader || !store_duty::is_large(self.relays.len()) {
            return;
        }
        let near = self.relays_at(RelayDistance::Near);
        for word in change.in_datagrams() {
            self.send(&PeerMessage::Change(word), near.iter().copied());
        }
    }

    /// Takes changes that another relay of the hall has read.
    fn take_told(&mut self, told: &ChangeBeacon, now: MonoTime) {
        let changes = self.shared.machine().take_told(told, now);
        if let Some(changes) = changes {
            self.take_changes(changes, now);
            self.shared.waiters.tell_all();
            self.note_ready();
        }
    }

    /// Tells one relay that this one is there.
    fn tell_relay(&mut self, hall: &str, relay: SocketAddr, now: MonoTime) {
        let distance = self.distance_to(hall);
        let interval = distance.interval(self.relays_at(distance).len());
        let beacon = PeerMessage::Relay(self.beacon(interval, now));
        self.send(&beacon, [relay]);
    }

    /// Tells relays what was spent here of workspaces' limits: with each beacon, and before the next one
    /// when that is much.
    pub(super) fn tell_spent(&self, now: MonoTime, is_beacon: bool) {
        let spent = self.shared.machine().ledger_mut().tell(is_beacon, now);
        if spent.is_empty() {
            return;
        }
        let beacon = self.spend_beacon(spent, Vec::new(), now);
        self.send(&PeerMessage::Spend(beacon), self.relays.values().map(|known| known.address));
    }

    /// Tells relays what replicas have said of their limits.
    fn tell_limits(&self, now: MonoTime) {
        let told = self.shared.machine().tell_limits(now);
        if let Some(told) = told {
            let relays = self.relays.values().map(|known| known.address);
            self.send(&PeerMessage::Limit(told), relays);
        }
    }

    /// Tells a relay that is new here what workspaces may still use, as it may have lost what it knew.
    fn tell_levels(&self, relay: SocketAddr, now: MonoTime) {
        let levels = self.shared.machine().ledger_mut().levels(now);
        if !levels.is_empty() {
            let beacon = self.spend_beacon(Vec::new(), levels, now);
            self.send(&PeerMessage::Spend(beacon), [relay]);
        }
    }

    fn spend_beacon(
        &self,
        spent: Vec<SpentTotal>,
        levels: Vec<WorkspaceLevel>,
        now: MonoTime,
    ) -> SpendBeacon {
        let host = self.shared.settings.process.host.clone();
        SpendBeacon { host, incarnation: self.incarnation, uptime: now, spent, levels }
    }

    /// Tells the loaders of full engines at once that an adapter of theirs went out of use.
    pub(super) fn tell_freed(&self) {
        let freed = self.shared.machine().take_freed();
        if freed.is_empty() {
            return;
        }
        let loaders = self.loaders_of_engines();
        for (replica, loader) in loaders.iter().filter(|(replica, _)| freed.contains(replica)) {
            self.tell_uses(replica, *loader);
        }
    }

    fn tell_uses(&self, replica: &str, loader: SocketAddr) {
        let uses = self.shared.machine().take_uses(replica);
        let beacon = PeerMessage::Use(UseBeacon { relay: self.control, uses });
        self.send(&beacon, [loader]);
    }

    /// The loaders of the engines in this relay's cell, and of others that it uses.
    fn loaders_in_use(&self) -> Vec<(ReplicaId, SocketAddr)> {
        self.loaders_where(|view| view.is_near || view.has_uses())
    }

    /// Loaders sit on the hosts of all engines that are listed.
    pub(super) fn loaders_of_engines(&self) -> Vec<(ReplicaId, SocketAddr)> {
        self.loaders_where(|_| true)
    }

    fn loaders_where(
        &self,
        is_meant: impl Fn(&ReplicaView) -> bool,
    ) -> Vec<(ReplicaId, SocketAddr)> {
        let machine = self.shared.machine();
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let has_engine =
            |service: &str| sheet.service(service).is_some_and(|service| service.engine.is_some());
        let engines =
            machine.table().all().filter(|view| has_engine(&view.record.service) && is_meant(view));
        engines.map(|view| (view.record.id.clone(), self.loader_of(view.record.address))).collect()
    }
}
