//! Takes what the store and the other processes tell, and tells them what this relay knows.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::ids::{HostId, MonoTime};
use quillcove_core::relay::beacon::{
    AddressedAsk, EngineBeacon, PeerMessage, RelayBeacon, ReplicaId, UseBeacon,
};
use quillcove_core::relay::keeper::ModelKeeper;
use quillcove_core::relay::machine::BeliefChange;
use quillcove_core::relay::published::PublishedState;
use quillcove_platform::store::{StoreEvent, StoreScope};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::follow::{StoreNews, replicas_of};
use super::share;
use super::shared::RelayShared;
use crate::config::relay::PeerSection;
use crate::peers::{PeerArrival, PeerSocket};
use crate::process::note_ready;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Time between beacons while nothing changes.
const BEACON_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a relay that was heard counts as there: three beacons.
const RELAY_LIFETIME: Duration = Duration::from_millis(1600);

/// Time after the start, or after a pause of the process, before this relay may plan loads: two
/// beacons of any other relay that does so already.
const KEEPER_DELAY: Duration = Duration::from_millis(1100);

/// A gap between ticks that counts as a pause of the process.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);

/// Time by which another relay may be ahead in the store before this one reads it anew.
const BEHIND_LIMIT: Duration = Duration::from_millis(1500);

/// Shortest time between two questions to other relays for what they have read.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Answers of other relays that may wait.
const PUBLISHED_PLACES: usize = 4;

/// What feeds the duty from other threads.
pub struct InputFeed {
    /// News of the store.
    pub store: mpsc::Receiver<StoreNews>,
    /// The section `[peers]` as the settings have it now.
    pub peers: watch::Receiver<PeerSection>,
    /// Makes the store be read anew.
    pub hurry: watch::Sender<u64>,
}

/// Everything that reaches the duty.
enum RelayInput {
    Store(StoreNews),
    Peer(PeerArrival),
    Published(Result<PublishedState, String>),
    PeersChanged,
    Wanted,
    Ticked,
}

/// Another relay, as last heard.
struct KnownRelay {
    address: SocketAddr,
    heard: MonoTime,
}

/// The duty's own state.
pub struct InputDuty {
    shared: Arc<RelayShared>,
    socket: PeerSocket,
    /// Address of the socket, by which other processes know this relay.
    control: SocketAddr,
    peers: watch::Receiver<PeerSection>,
    hurry: watch::Sender<u64>,
    store: mpsc::Receiver<StoreNews>,
    published: mpsc::Receiver<Result<PublishedState, String>>,
    publish: mpsc::Sender<Result<PublishedState, String>>,
    last_fetch: MonoTime,
    keeper: ModelKeeper,
    relays: HashMap<HostId, KnownRelay>,
    /// The last beacon of each loader: its process and number.
    loaders: HashMap<SocketAddr, (u64, u64)>,
    /// Whether the store answers, by part.
    store_up: HashMap<StoreScope, bool>,
    /// Since when another relay has been ahead in the store.
    behind_since: Option<MonoTime>,
    is_keeper: bool,
    keeper_from: MonoTime,
    last_tick: MonoTime,
    last_beacon: MonoTime,
}

impl InputDuty {
    pub fn new(
        shared: Arc<RelayShared>,
        socket: PeerSocket,
        control: SocketAddr,
        feed: InputFeed,
    ) -> Self {
        let (publish, published) = mpsc::channel(PUBLISHED_PLACES);
        Self {
            shared,
            socket,
            control,
            peers: feed.peers,
            hurry: feed.hurry,
            store: feed.store,
            published,
            publish,
            last_fetch: MonoTime::ZERO,
            keeper: ModelKeeper::default(),
            relays: HashMap::new(),
            loaders: HashMap::new(),
            store_up: HashMap::new(),
            behind_since: None,
            is_keeper: false,
            keeper_from: KEEPER_DELAY,
            last_tick: MonoTime::ZERO,
            last_beacon: MonoTime::ZERO,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut next_tick = Instant::now();
        let shared = self.shared.clone();
        loop {
            let input = tokio::select! {
                Some(news) = self.store.recv() => RelayInput::Store(news),
                Some(published) = self.published.recv() => RelayInput::Published(published),
                Ok(()) = self.peers.changed() => RelayInput::PeersChanged,
                arrival = self.socket.receive() => match arrival {
                    Ok(arrival) => RelayInput::Peer(arrival),
                    Err(error) => {
                        warn!(shared.log, "datagrams can not be read"; "error" => %error);
                        continue;
                    },
                },
                () = shared.wanted.notified() => RelayInput::Wanted,
                () = sleep_until(next_tick) => {
                    next_tick = Instant::now() + TICK;
                    RelayInput::Ticked
                },
            };
            self.handle(input);
        }
    }

    fn handle(&mut self, input: RelayInput) {
        let now = self.shared.clock.now();
        match input {
            RelayInput::Store(news) => self.take_store(news, now),
            RelayInput::Peer(PeerArrival::Message(message, from)) => {
                self.take_message(*message, from, now);
            },
            RelayInput::Peer(PeerArrival::Garbage(from, error)) => {
                warn!(self.shared.log, "datagram is no message"; "from" => %from,
                    "error" => %error);
            },
            RelayInput::Published(published) => self.take_published(published, now),
            RelayInput::PeersChanged => {
                let seeds = self.peers.borrow_and_update().seeds.clone();
                info!(self.shared.log, "seeds changed"; "seeds" => ?seeds);
            },
            RelayInput::Wanted => self.send_wanted(),
            RelayInput::Ticked => self.tick(now),
        }
    }

    fn take_store(&mut self, news: StoreNews, now: MonoTime) {
        let scope = match &news {
            StoreNews::Read { scope, .. } | StoreNews::Failed { scope, .. } => *scope,
        };
        match news {
            StoreNews::Failed { reason, .. } => {
                if self.store_up.insert(scope, false) != Some(false) {
                    warn!(self.shared.log, "store lost"; "part" => ?scope, "reason" => reason);
                }
            },
            StoreNews::Read { is_whole, events, revision, .. } => {
                if self.store_up.insert(scope, true) != Some(true) {
                    info!(self.shared.log, "store reached"; "part" => ?scope,
                        "revision" => revision);
                }
                self.note_store(now);
                self.shared.machine().note_revision(revision);
                self.take_events(scope, is_whole, events, now);
            },
        }
        self.note_store(now);
        self.note_ready();
    }

    fn note_store(&self, now: MonoTime) {
        let answers = self.store_up.get(&StoreScope::Replicas).copied().unwrap_or(true);
        self.shared.machine().note_store(answers, now);
    }

    fn take_events(
        &mut self,
        scope: StoreScope,
        is_whole: bool,
        events: Vec<StoreEvent>,
        now: MonoTime,
    ) {
        if is_whole && scope == StoreScope::Replicas {
            let changes = self.shared.machine().list_all(replicas_of(events), now);
            self.log_changes(changes);
            self.shared.tell_news();
            return;
        }
        for event in events {
            let change = match event {
                StoreEvent::Sheet(sheet) => {
                    let version = sheet.version;
                    let is_taken = self.shared.machine().take_sheet(*sheet);
                    is_taken.then_some(BeliefChange::Sheet(version))
                },
                StoreEvent::Version(key, version) => {
                    info!(self.shared.log, "adapter has a new version"; "model" => &key.model,
                        "adapter" => &key.adapter, "version" => version);
                    self.shared.machine().take_version(key, version, !is_whole, now);
                    None
                },
                StoreEvent::Replica(record) => self.shared.machine().list(record, now),
                StoreEvent::ReplicaGone(id) => self.shared.machine().unlist(&id, now),
            };
            self.log_changes(change);
        }
        self.shared.tell_news();
    }

    fn log_changes(&self, changes: impl IntoIterator<Item = BeliefChange>) {
        let log = &self.shared.log;
        let revision = self.shared.machine().revision();
        for change in changes {
            match change {
                BeliefChange::Sheet(version) => {
                    info!(log, "sheet in force"; "sheet" => version, "revision" => revision);
                },
                BeliefChange::Listed(id) => self.log_listed(&id),
                BeliefChange::Gone(id) => {
                    self.shared.pool.forget(&id);
                    info!(log, "replica gone"; "replica" => id, "revision" => revision);
                },
                BeliefChange::Doubted(id) => {
                    info!(log, "replica's entry lapsed"; "replica" => id, "revision" => revision);
                },
            }
        }
    }

    fn log_listed(&self, id: &str) {
        let machine = self.shared.machine();
        let Some(view) = machine.table().get(id) else {
            return;
        };
        let record = &view.record;
        info!(self.shared.log, "replica listed"; "replica" => id, "service" => &record.service,
            "address" => %record.address, "hall" => &record.hall, "state" => ?record.state,
            "revision" => machine.revision());
    }

    fn note_ready(&self) {
        let is_ready = self.shared.machine().is_ready();
        note_ready(&self.shared.is_ready, is_ready, &self.shared.log);
    }

    fn take_message(&mut self, message: PeerMessage, from: SocketAddr, now: MonoTime) {
        match message {
            PeerMessage::Relay(beacon) => self.take_beacon(beacon, now),
            PeerMessage::Engine(beacon) => self.take_report(beacon, now),
            PeerMessage::Use(_) | PeerMessage::Load(_) => {
                warn!(self.shared.log, "message is meant for a loader"; "from" => %from);
            },
        }
    }

    fn take_beacon(&mut self, beacon: RelayBeacon, now: MonoTime) {
        if beacon.host == self.shared.settings.process.host {
            return;
        }
        let known = KnownRelay { address: beacon.address, heard: now };
        if self.relays.insert(beacon.host.clone(), known).is_none() {
            info!(self.shared.log, "relay heard"; "relay" => &beacon.host,
                "address" => %beacon.address);
        }
        self.compare(&beacon, now);
    }

    /// A relay that stays behind another one asks it for what it has read. One whose own store
    /// seems well reads that anew besides, as its watch may hang on a dead connection.
    fn compare(&mut self, beacon: &RelayBeacon, now: MonoTime) {
        let (own_sheet, own_revision) = {
            let machine = self.shared.machine();
            (machine.sheet().map_or(0, |sheet| sheet.version), machine.revision())
        };
        let is_store_up = self.store_up.len() == 2 && self.store_up.values().all(|up| *up);
        let is_behind =
            beacon.sheet > own_sheet || (!is_store_up && beacon.revision > own_revision);
        if !is_behind {
            if beacon.revision <= own_revision {
                self.behind_since = None;
            }
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let behind = now.saturating_sub(since);
        if is_store_up && behind > BEHIND_LIMIT {
            self.hurry.send_modify(|count| *count += 1);
        }
        let is_due = !is_store_up || behind > FETCH_INTERVAL;
        if is_due && now.saturating_sub(self.last_fetch) >= FETCH_INTERVAL {
            self.last_fetch = now;
            info!(self.shared.log, "behind another relay"; "relay" => &beacon.host,
                "own_sheet" => own_sheet, "sheet" => beacon.sheet,
                "own_revision" => own_revision, "revision" => beacon.revision);
            self.fetch(beacon.address);
        }
    }

    fn fetch(&self, address: SocketAddr) {
        let publish = self.publish.clone();
        tokio::spawn(async move {
            let published = share::fetch(address).await;
            // The receiver is gone only when the process ends.
            let _ = publish.send(published).await;
        });
    }

    fn take_published(&mut self, published: Result<PublishedState, String>, now: MonoTime) {
        match published {
            Ok(published) => {
                let changes = self.shared.machine().take_published(published, now);
                self.log_changes(changes);
                self.shared.tell_news();
                self.note_ready();
            },
            Err(reason) => {
                warn!(self.shared.log, "another relay does not answer"; "reason" => reason);
            },
        }
    }

    fn take_report(&mut self, beacon: EngineBeacon, now: MonoTime) {
        let last = self.loaders.get(&beacon.engine);
        let is_late = last.is_some_and(|(incarnation, number)| {
            *incarnation == beacon.incarnation && *number >= beacon.number
        });
        if is_late {
            return;
        }
        self.loaders.insert(beacon.engine, (beacon.incarnation, beacon.number));
        self.keeper.take_report(&beacon, now);
        let is_changed = self.shared.machine().take_report(&beacon, now);
        if is_changed {
            self.shared.tell_news();
        }
        self.send_wanted();
        for relay in beacon.relays {
            self.greet(relay);
        }
    }

    /// Tells a relay that only loaders have heard so far that this one is there.
    fn greet(&self, relay: SocketAddr) {
        let is_known = self.relays.values().any(|known| known.address == relay);
        if !is_known && relay != self.control {
            let beacon = self.beacon();
            self.socket.send(&PeerMessage::Relay(beacon), [relay]);
        }
    }

    fn tick(&mut self, now: MonoTime) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_LIMIT && now > PAUSE_LIMIT {
            warn!(self.shared.log, "process was paused"; "gap_ms" => gap.as_millis() as u64);
            self.keeper_from = now + KEEPER_DELAY;
            self.hurry.send_modify(|count| *count += 1);
        }
        self.shared.machine().set_relays(self.relays.len() + 1);
        let changes = self.shared.machine().tick(now);
        self.log_changes(changes);
        self.send_wanted();
        self.note_ready();
        self.forget_relays(now);
        self.choose_keeper(now);
        self.plan_models(now);
        if now.saturating_sub(self.last_beacon) >= BEACON_INTERVAL {
            self.tell_all(now);
        }
    }

    fn forget_relays(&mut self, now: MonoTime) {
        let log = self.shared.log.clone();
        self.relays.retain(|host, known| {
            let is_recent = now.saturating_sub(known.heard) < RELAY_LIFETIME;
            if !is_recent {
                info!(log, "relay no longer heard"; "relay" => host);
            }
            is_recent
        });
    }

    /// The relay with the lowest name among those heard lately paces the loads of base models.
    fn choose_keeper(&mut self, now: MonoTime) {
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

    fn plan_models(&mut self, now: MonoTime) {
        if self.is_keeper {
            let asks = self.keeper.plan(&self.shared.machine(), now);
            self.send_asks(asks);
        }
    }

    /// Sends the asks for adapters that the machine has made.
    fn send_wanted(&self) {
        let asks = self.shared.machine().take_asks();
        self.send_asks(asks);
    }

    fn send_asks(&self, asks: Vec<AddressedAsk>) {
        let port = self.shared.settings.peers.loader_port;
        for addressed in asks {
            let ask = &addressed.ask;
            info!(self.shared.log, "load asked for"; "replica" => &ask.replica,
                "model" => &ask.model, "adapter" => ask.adapter.as_deref().unwrap_or("-"),
                "version" => ask.version);
            let loader = SocketAddr::new(addressed.engine.ip(), port);
            self.socket.send(&PeerMessage::Load(addressed.ask), [loader]);
        }
    }

    fn relay_addresses(&self) -> HashSet<SocketAddr> {
        let seeds = self.peers.borrow().seeds.clone().into_iter();
        let heard = self.relays.values().map(|known| known.address);
        seeds.chain(heard).filter(|address| *address != self.control).collect()
    }

    fn beacon(&self) -> RelayBeacon {
        let machine = self.shared.machine();
        RelayBeacon {
            host: self.shared.settings.process.host.clone(),
            address: self.control,
            sheet: machine.sheet().map_or(0, |sheet| sheet.version),
            revision: machine.revision(),
        }
    }

    /// Tells relays that this one is there, and loaders how their engines' adapters are used.
    fn tell_all(&mut self, now: MonoTime) {
        self.last_beacon = now;
        let beacon = PeerMessage::Relay(self.beacon());
        self.socket.send(&beacon, self.relay_addresses());
        let relay = self.control;
        for (replica, loader) in self.loaders_of_engines() {
            let uses = self.shared.machine().take_uses(&replica);
            let beacon = PeerMessage::Use(UseBeacon { relay, uses });
            self.socket.send(&beacon, [loader]);
        }
    }

    /// Loaders sit on the hosts of all engines that are listed.
    fn loaders_of_engines(&self) -> Vec<(ReplicaId, SocketAddr)> {
        let port = self.shared.settings.peers.loader_port;
        let machine = self.shared.machine();
        let Some(sheet) = machine.sheet() else {
            return Vec::new();
        };
        let has_engine =
            |service: &str| sheet.service(service).is_some_and(|service| service.engine.is_some());
        let engines = machine.table().all().filter(|view| has_engine(&view.record.service));
        let loader = |address: SocketAddr| SocketAddr::new(address.ip(), port);
        engines.map(|view| (view.record.id.clone(), loader(view.record.address))).collect()
    }
}
