//! What relays and loaders tell each other.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::access::ledger::HEARD_LIFETIME;
use quillcove_core::access::spending::{SpendBeacon, SpentTotal, WorkspaceLevel};
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{
    AddressedAsk, EngineBeacon, GaugeBeacon, OtherRelays, PeerMessage, RelayBeacon, ReplicaId,
    ResendAsk, UseBeacon,
};
use quillcove_core::relay::report_stream::GaugeFate;
use slog::{info, warn};

use super::{InputDuty, KnownRelay};

/// Time for which a relay that was heard counts as there: three beacons.
const RELAY_LIFETIME: Duration = Duration::from_millis(1600);

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
            read_at: beacon.word.ages.operator.map(|age| now.saturating_sub(age)),
        };
        if self.relays.insert(beacon.host.clone(), known).is_none() {
            info!(self.shared.log, "relay heard"; "relay" => &beacon.host,
                "address" => %beacon.address);
            self.note_peers(now);
            self.tell_levels(beacon.address, now);
            self.miss_crashes(now);
            self.greet_with_crashes(&beacon.host, beacon.address, now);
        }
        self.take_word(&beacon.word, now);
        self.compare(&beacon, now);
    }

    fn take_report(&mut self, beacon: EngineBeacon, now: MonoTime) {
        if !self.loaders.take_whole(&beacon) {
            return;
        }
        self.keeper.take_report(&beacon, now);
        let is_changed = self.shared.machine().take_report(&beacon, now);
        if is_changed {
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
    fn greet(&self, relay: SocketAddr) {
        let is_known = self.relays.values().any(|known| known.address == relay);
        if !is_known && relay != self.control {
            let beacon = self.beacon(self.shared.clock.now());
            self.send(&PeerMessage::Relay(beacon), [relay]);
        }
    }

    pub(super) fn others(&self, now: MonoTime) -> OtherRelays {
        let lacking = self.relays.values().map(|known| known.lacking as usize).sum();
        let is_recent = |known: &&KnownRelay| now.saturating_sub(known.heard) < HEARD_LIFETIME;
        let recent = self.relays.values().filter(is_recent).count();
        OtherRelays { count: self.relays.len(), recent, lacking }
    }

    pub(super) fn forget_relays(&mut self, now: MonoTime) {
        let shared = self.shared.clone();
        let before = self.relays.len();
        self.relays.retain(|host, known| {
            let is_recent = now.saturating_sub(known.heard) < RELAY_LIFETIME;
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

    /// The relay with the lowest name among those heard lately paces the loads of base models.
    pub(super) fn choose_keeper(&mut self, now: MonoTime) {
        let own = &self.shared.settings.process.host;
        let is_lowest = self.relays.keys().all(|host| own < host);
        let is_stopping = self.shared.machine().is_stopping();
        let is_keeper = is_lowest && now >= self.keeper_from && !is_stopping;
        if is_keeper != self.is_keeper {
            info!(self.shared.log, "keeper of base models"; "is_keeper" => is_keeper,
                "relays" => self.relays.len());
            self.is_keeper = is_keeper;
        }
    }

    pub(super) fn plan_models(&mut self, now: MonoTime) {
        let asks = self.keeper.plan(&self.shared.machine(), self.is_keeper, now);
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

    fn relay_addresses(&self) -> HashSet<SocketAddr> {
        let seeds = self.settings.peers.seeds.iter().copied();
        let heard = self.relays.values().map(|known| known.address);
        seeds.chain(heard).filter(|address| *address != self.control).collect()
    }

    fn beacon(&self, now: MonoTime) -> RelayBeacon {
        let is_up = self.is_store_up();
        let machine = self.shared.machine();
        RelayBeacon {
            host: self.shared.settings.process.host.clone(),
            hall: self.shared.settings.process.hall.clone(),
            address: self.control,
            sheet: machine.sheet().map_or(0, |sheet| sheet.version),
            word: machine.knowledge().word(is_up, now),
            lacking: machine.lacking() as u32,
        }
    }

    /// Tells relays that this one is there, and loaders how their engines' adapters are used.
    pub(super) fn tell_all(&mut self, now: MonoTime) {
        self.last_beacon = now;
        self.tell_relays(now);
        self.tell_spent(now, true);
        self.tell_limits(now);
        self.tell_crashes(true, now);
        self.ask_for_crashes(now);
        for (replica, loader) in self.loaders_of_engines() {
            self.tell_uses(&replica, loader);
        }
    }

    /// Tells relays what this one knows.
    pub(super) fn tell_relays(&self, now: MonoTime) {
        let beacon = PeerMessage::Relay(self.beacon(now));
        self.send(&beacon, self.relay_addresses());
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

    /// Loaders sit on the hosts of all engines that are listed.
    pub(super) fn loaders_of_engines(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let machine = self.shared.machine();
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let has_engine =
            |service: &str| sheet.service(service).is_some_and(|service| service.engine.is_some());
        let engines = machine.table().all().filter(|view| has_engine(&view.record.service));
        engines.map(|view| (view.record.id.clone(), self.loader_of(view.record.address))).collect()
    }
}
