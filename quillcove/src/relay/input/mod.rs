//! Takes what the store and the other processes tell, and tells them what this relay knows.

mod crashes;
mod peers;
mod readers;
mod right;
mod store;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::ids::{HallName, HostId, Incarnation, MonoTime, ServiceName};
use quillcove_core::relay::keeper::ModelKeeper;
use quillcove_core::relay::promise::PromiseFate;
use quillcove_core::relay::published::{PublishedState, StorePart};
use quillcove_core::relay::report_stream::ReportLedger;
use quillcove_core::relay::telling::{ListRound, SHORTEST_INTERVAL};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use self::crashes::ASK_TIMES;
use self::readers::UnknownChange;
use self::right::ProofQuestions;
use super::follow::{FollowOrder, StoreNews};
use super::shared::RelayShared;
use crate::config::relay::RelaySettings;
use crate::peers::{PeerArrival, PeerSocket};

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Time after the start, or after a pause of the process, before this relay may plan loads: two
/// beacons of any other relay that does so already.
const KEEPER_DELAY: Duration = Duration::from_millis(1100);

/// A gap between ticks that counts as a pause of the process.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);

/// Answers of other relays that may wait.
const PUBLISHED_PLACES: usize = 4;

/// What feeds the duty from other threads.
pub struct InputFeed {
    /// News of the store.
    pub store: mpsc::Receiver<StoreNews>,
    /// The settings as they are now.
    pub settings: watch::Receiver<RelaySettings>,
    /// Makes the store be read anew.
    pub hurry: watch::Sender<u64>,
    /// Says what is to be read of the store.
    pub order: watch::Sender<FollowOrder>,
}

/// Everything that reaches the duty.
enum RelayInput {
    Store(StoreNews),
    Peer(PeerArrival),
    Published(Result<Box<FetchedState>, String>),
    SettingsChanged,
    Wanted,
    Ticked,
}

/// What another relay has read, and when it was asked for it.
struct FetchedState {
    state: PublishedState,
    asked_at: MonoTime,
}

/// Another relay, as last heard.
struct KnownRelay {
    address: SocketAddr,
    hall: HallName,
    /// Whether the store answered its last call.
    is_up: bool,
    /// Adapters that its requests lack.
    lacking: u32,
    heard: MonoTime,
    /// Time until its next word, by its last one.
    interval: Duration,
    /// Relays that it hears itself.
    others: u32,
    /// When its own last reading of the operator's part began, by what it says.
    read_at: Option<MonoTime>,
}

/// The duty's own state.
pub struct InputDuty {
    shared: Arc<RelayShared>,
    socket: PeerSocket,
    /// Address of the socket, by which other processes know this relay.
    control: SocketAddr,
    /// Settings in force; of changed ones only some sections are taken over.
    settings: RelaySettings,
    changed: watch::Receiver<RelaySettings>,
    hurry: watch::Sender<u64>,
    order: watch::Sender<FollowOrder>,
    /// Changes that other relays know and this one does not, by part.
    unknown: HashMap<StorePart, UnknownChange>,
    /// When readings were asked for that have not come, by part.
    wanted: HashMap<StorePart, MonoTime>,
    store: mpsc::Receiver<StoreNews>,
    published: mpsc::Receiver<Result<Box<FetchedState>, String>>,
    publish: mpsc::Sender<Result<Box<FetchedState>, String>>,
    last_fetch: MonoTime,
    keeper: ModelKeeper,
    relays: HashMap<HostId, KnownRelay>,
    /// What was heard of each loader.
    loaders: ReportLedger,
    /// Whether the store answers, by part.
    store_up: HashMap<StorePart, bool>,
    /// Since when another relay has been ahead in the store.
    behind_since: Option<MonoTime>,
    /// Whether a sheet was published that could not be read.
    is_sheet_lost: bool,
    /// Random number of this process, by which others tell its totals from those of an earlier one.
    incarnation: Incarnation,
    /// Questions for proofs.
    proofs: ProofQuestions,
    /// Times that this relay will still ask for ends of replicas that it may have missed.
    crash_asks: u32,
    /// When it last asked.
    crash_asked_at: MonoTime,
    /// Services for whose engines in this relay's cell it paces the loads of base models.
    kept: BTreeSet<ServiceName>,
    keeper_from: MonoTime,
    /// Whose turn it is among the relays of the own hall and of others, and to be named to them.
    near_round: ListRound,
    far_round: ListRound,
    named: ListRound,
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
        let settings = feed.settings.borrow().clone();
        Self {
            shared,
            socket,
            control,
            settings,
            changed: feed.settings,
            hurry: feed.hurry,
            order: feed.order,
            unknown: HashMap::new(),
            wanted: HashMap::new(),
            store: feed.store,
            published,
            publish,
            last_fetch: MonoTime::ZERO,
            keeper: ModelKeeper::default(),
            relays: HashMap::new(),
            loaders: ReportLedger::default(),
            store_up: HashMap::new(),
            behind_since: None,
            is_sheet_lost: false,
            incarnation: rand::random(),
            proofs: ProofQuestions::default(),
            crash_asks: ASK_TIMES,
            crash_asked_at: MonoTime::ZERO,
            kept: BTreeSet::new(),
            near_round: ListRound::default(),
            far_round: ListRound::default(),
            named: ListRound::default(),
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
                Ok(()) = self.changed.changed() => RelayInput::SettingsChanged,
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
            RelayInput::SettingsChanged => self.take_settings(),
            RelayInput::Wanted => {
                self.send_wanted();
                self.tell_freed();
                self.tell_crashes(false, now);
            },
            RelayInput::Ticked => self.tick(now),
        }
    }

    fn tick(&mut self, now: MonoTime) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_LIMIT && now > PAUSE_LIMIT {
            self.shared.wakes.ring();
            warn!(self.shared.log, "process was paused"; "gap_ms" => gap.as_millis() as u64);
            self.keeper_from = now + KEEPER_DELAY;
            self.miss_crashes(now);
            self.hurry.send_modify(|count| *count += 1);
        }
        self.shared.machine().set_others(self.others(now), now);
        let changes = self.shared.machine().tick(now);
        self.log_changes(changes);
        self.send_wanted();
        self.end_promises();
        self.note_ready();
        self.forget_relays(now);
        self.forget_loaders();
        self.choose_duty(now);
        self.read_what_is_unknown(now);
        self.read_what_is_old(now);
        self.renew_right(now);
        self.tell_spent(now, false);
        self.tell_crashes(false, now);
        self.choose_keeper(now);
        self.plan_models(now);
        if now.saturating_sub(self.last_beacon) >= SHORTEST_INTERVAL {
            self.tell_all(now);
        }
    }

    /// Records how true the times were that refused callers were told.
    fn end_promises(&self) {
        let ended = self.shared.machine().take_promises();
        for promise in ended {
            let error_ms = match promise.fate {
                PromiseFate::Early(early) => Some(-(early.as_millis() as i64)),
                PromiseFate::Late(late) => Some(late.as_millis() as i64),
                PromiseFate::Missed => None,
            };
            self.shared.metrics.promise_ended(promise.fate);
            info!(self.shared.log, "told time is over"; "adapter" => promise.key.adapter,
                "came" => error_ms.is_some(), "after_told_ms" => error_ms);
        }
    }

    /// Takes over the changed sections that a running process can, and names the others.
    fn take_settings(&mut self) {
        let newer = self.changed.borrow_and_update().clone();
        let change = self.settings.change_to(&newer);
        info!(self.shared.log, "settings changed"; "taken" => change.taken.join(","),
            "waiting_for_start" => change.waiting.join(","), "seeds" => ?newer.peers.seeds);
        self.settings.peers = newer.peers;
        self.settings.requests = newer.requests;
        self.settings.routing = newer.routing;
        self.settings.access = newer.access;
        self.settings.policy = newer.policy;
        self.shared.pool.set_connect_timeout(self.settings.requests.connect_timeout);
        self.shared.machine().set_rules(self.settings.rules());
    }
}
