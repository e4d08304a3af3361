//! The input task of a relay: applies updates from the store, from other relays and from loaders to the relay's state
//! machine, and sends this relay's heartbeats, reports and load requests.

mod crashes;
mod origins;
mod peers;
mod prompts;
mod readers;
mod right;
mod store;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::crash::digest::RequestDigest;
use quillcove_core::ids::{HallName, HostId, Incarnation, MonoTime, ServiceName};
use quillcove_core::relay::admission::reports::ReportOccasion;
use quillcove_core::relay::keeper::LoadRateCoordinator;
use quillcove_core::relay::promise::EstimateOutcome;
use quillcove_core::relay::published::{PublishedState, StorePart};
use quillcove_core::relay::report_stream::ReportLedger;
use quillcove_core::relay::telling::{ListRound, SHORTEST_INTERVAL};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use self::crashes::CRASH_REQUESTS;
use self::readers::UnreadChange;
use self::right::ProofRequests;
use super::follow::{FollowInstructions, StoreUpdate};
use super::shared::RelayShared;
use crate::clock::processor_time;
use crate::config::relay::RelaySettings;
use crate::peers::{PeerSocket, ReceivedDatagram};

/// Interval of the input task's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the start, or after a suspension of the process, before this relay may coordinate model loads: long
/// enough to receive two heartbeats of another relay that does so already.
const COORDINATION_DELAY: Duration = Duration::from_millis(1100);

/// Gap between two ticks from which the process is taken to have been suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(600);

/// Capacity of the queue of snapshots fetched from other relays.
const SNAPSHOT_QUEUE_LENGTH: usize = 4;

/// Channels that connect the input task with other threads.
pub struct InputChannels {
    /// Updates read from the store.
    pub store_updates: mpsc::Receiver<StoreUpdate>,
    /// The current settings.
    pub settings_changes: watch::Receiver<RelaySettings>,
    /// Incremented to have both parts of the store read again in full.
    pub reread: watch::Sender<u64>,
    /// Instructions to the task that reads the store.
    pub follow_instructions: watch::Sender<FollowInstructions>,
}

/// Events that the input task handles.
enum InputEvent {
    Store(StoreUpdate),
    Peer(ReceivedDatagram),
    Snapshot(Result<Box<FetchedState>, String>),
    SettingsChanged,
    MessagesPending,
    Ticked,
}

/// Snapshot of another relay's store state, and the time at which it was requested.
struct FetchedState {
    state: PublishedState,
    requested_at: MonoTime,
}

/// Another relay, according to its last heartbeat.
struct KnownRelay {
    address: SocketAddr,
    hall: HallName,
    /// Whether the store answered that relay's last calls.
    is_store_up: bool,
    /// Number of adapters that its requests need and no engine holds.
    missing_adapters: u32,
    last_heartbeat_at: MonoTime,
    /// Time until its next heartbeat, as announced by the last one.
    heartbeat_interval: Duration,
    /// Number of relays from which it receives heartbeats.
    known_relays: u32,
    /// When its last own read of the operator's part began, computed from the age that it reports.
    operator_read_at: Option<MonoTime>,
}

/// State of the input task.
pub struct InputTask {
    shared: Arc<RelayShared>,
    socket: PeerSocket,
    /// Address of the socket, which other processes use to reach this relay.
    control_address: SocketAddr,
    /// Settings in force; only some sections of changed settings are applied to a running process.
    settings: RelaySettings,
    settings_changes: watch::Receiver<RelaySettings>,
    /// Incremented to have both parts of the store read again in full.
    reread: watch::Sender<u64>,
    follow_instructions: watch::Sender<FollowInstructions>,
    /// Changes that other relays have announced and this one has not read, by part.
    unread_changes: HashMap<StorePart, UnreadChange>,
    /// Time of each read that was requested and has not completed, by part.
    requested_reads: HashMap<StorePart, MonoTime>,
    store_updates: mpsc::Receiver<StoreUpdate>,
    snapshots: mpsc::Receiver<Result<Box<FetchedState>, String>>,
    snapshot_sender: mpsc::Sender<Result<Box<FetchedState>, String>>,
    last_fetch_at: MonoTime,
    load_coordinator: LoadRateCoordinator,
    relays: HashMap<HostId, KnownRelay>,
    /// Last report received from each loader.
    loader_reports: ReportLedger,
    /// Whether the store answered the last call, by part.
    store_answers: HashMap<StorePart, bool>,
    /// Time since which another relay has known later store changes.
    behind_since: Option<MonoTime>,
    /// Whether a configuration was published that could not be parsed.
    is_configuration_unknown: bool,
    /// Random number of this process; lets others tell its usage totals from those of an earlier process.
    incarnation: Incarnation,
    /// Requests to other relays for a more recent freshness proof.
    proof_requests: ProofRequests,
    /// Number of requests still to be sent for crash records that this relay may have missed.
    crash_requests_left: u32,
    /// When crash records were last requested.
    crash_requested_at: MonoTime,
    /// Prompt parts that were blamed at the last look, with the number of exits for which each was.
    blame: BTreeMap<RequestDigest, usize>,
    /// Services whose base-model loads this relay coordinates, each for the engines of its own cell.
    coordinated_services: BTreeSet<ServiceName>,
    /// Time from which this relay may coordinate base-model loads.
    coordinates_from: MonoTime,
    /// Round-robin positions: relays of the own hall, relays of other halls, and relays named in heartbeats.
    near_round: ListRound,
    far_round: ListRound,
    named_round: ListRound,
    last_tick_at: MonoTime,
    /// Processor time that the process had used at the last tick.
    last_processor_time: Duration,
    last_heartbeat_at: MonoTime,
    /// Number of heartbeats and of reports of pending prompts sent so far.
    heartbeat_count: u64,
    prompt_report_count: u64,
}

impl InputTask {
    pub fn new(
        shared: Arc<RelayShared>,
        socket: PeerSocket,
        control: SocketAddr,
        feed: InputChannels,
    ) -> Self {
        let (snapshot_sender, snapshots) = mpsc::channel(SNAPSHOT_QUEUE_LENGTH);
        let settings = feed.settings_changes.borrow().clone();
        Self {
            shared,
            socket,
            control_address: control,
            settings,
            settings_changes: feed.settings_changes,
            reread: feed.reread,
            follow_instructions: feed.follow_instructions,
            unread_changes: HashMap::new(),
            requested_reads: HashMap::new(),
            store_updates: feed.store_updates,
            snapshots,
            snapshot_sender,
            last_fetch_at: MonoTime::ZERO,
            load_coordinator: LoadRateCoordinator::default(),
            relays: HashMap::new(),
            loader_reports: ReportLedger::default(),
            store_answers: HashMap::new(),
            behind_since: None,
            is_configuration_unknown: false,
            incarnation: rand::random(),
            proof_requests: ProofRequests::default(),
            crash_requests_left: CRASH_REQUESTS,
            crash_requested_at: MonoTime::ZERO,
            blame: BTreeMap::new(),
            coordinated_services: BTreeSet::new(),
            near_round: ListRound::default(),
            far_round: ListRound::default(),
            named_round: ListRound::default(),
            coordinates_from: COORDINATION_DELAY,
            last_tick_at: MonoTime::ZERO,
            last_processor_time: Duration::ZERO,
            last_heartbeat_at: MonoTime::ZERO,
            heartbeat_count: 0,
            prompt_report_count: 0,
        }
    }

    /// Handles events until the process exits.
    pub async fn run(mut self) {
        let mut next_tick = Instant::now();
        let shared = self.shared.clone();
        loop {
            let event = tokio::select! {
                Some(update) = self.store_updates.recv() => InputEvent::Store(update),
                Some(snapshot) = self.snapshots.recv() => InputEvent::Snapshot(snapshot),
                Ok(()) = self.settings_changes.changed() => InputEvent::SettingsChanged,
                arrival = self.socket.receive() => match arrival {
                    Ok(arrival) => InputEvent::Peer(arrival),
                    Err(error) => {
                        warn!(shared.log, "cannot receive datagrams"; "error" => %error);
                        continue;
                    },
                },
                () = shared.messages_pending.notified() => InputEvent::MessagesPending,
                () = sleep_until(next_tick) => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    InputEvent::Ticked
                },
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: InputEvent) {
        let now = self.shared.clock.now();
        match event {
            InputEvent::Store(update) => self.handle_store_update(update, now),
            InputEvent::Peer(ReceivedDatagram::Message(message, from)) => {
                self.handle_message(*message, from, now);
            },
            InputEvent::Peer(ReceivedDatagram::Undecodable(from, error)) => {
                warn!(self.shared.log, "cannot decode datagram"; "from" => %from,
                    "error" => %error);
            },
            InputEvent::Snapshot(snapshot) => self.handle_snapshot(snapshot, now),
            InputEvent::SettingsChanged => self.apply_settings(),
            InputEvent::MessagesPending => {
                self.send_origins();
                self.send_pending_loads();
                self.report_freed_adapters();
                self.send_crash_records(false, now);
            },
            InputEvent::Ticked => self.tick(now),
        }
    }

    fn tick(&mut self, now: MonoTime) {
        let gap = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        let processor_time = processor_time();
        let used = processor_time.saturating_sub(self.last_processor_time);
        self.last_processor_time = processor_time;
        if gap > SUSPENSION_THRESHOLD && now > SUSPENSION_THRESHOLD {
            self.shared.resume_notifier.notify_resumed();
            warn!(self.shared.log, "process was paused"; "gap_ms" => gap.as_millis() as u64,
                "processor_ms" => used.as_millis() as u64);
            self.coordinates_from = now + COORDINATION_DELAY;
            self.start_crash_requests(now);
            self.reread.send_modify(|count| *count += 1);
        }
        self.shared.machine().set_others(self.other_relays(now), now);
        let changes = self.shared.machine().tick(now);
        self.log_changes(changes);
        self.send_origins();
        self.send_pending_loads();
        self.report_freed_adapters();
        self.record_load_estimates();
        self.record_admissions();
        self.update_readiness();
        self.remove_expired_relays(now);
        self.remove_unlisted_loaders();
        self.choose_store_duty(now);
        self.request_unread_changes(now);
        self.request_stale_parts(now);
        self.renew_key_validity(now);
        self.send_usage(now, false);
        self.send_crash_records(false, now);
        self.choose_coordinated_services(now);
        self.plan_model_loads(now);
        match now.saturating_sub(self.last_heartbeat_at) >= SHORTEST_INTERVAL {
            true => self.send_heartbeats(now),
            false => self.send_prompt_reports(ReportOccasion::Tick),
        }
    }

    /// Records the error of each load estimate that was given to a rejected request, once the adapter has been loaded or
    /// was not loaded in a useful time.
    fn record_load_estimates(&self) {
        let resolved = self.shared.machine().take_settled_estimates();
        for estimate in resolved {
            let error_ms = match estimate.fate {
                EstimateOutcome::Early(early) => Some(-(early.as_millis() as i64)),
                EstimateOutcome::Late(late) => Some(late.as_millis() as i64),
                EstimateOutcome::Missed => None,
            };
            self.shared.metrics.promise_ended(estimate.fate);
            info!(self.shared.log, "load estimate resolved"; "adapter" => estimate.key.adapter,
                "came" => error_ms.is_some(), "after_told_ms" => error_ms);
        }
    }

    /// Applies the changed sections that a running process can, and logs the sections that wait for a restart.
    fn apply_settings(&mut self) {
        let newer = self.settings_changes.borrow_and_update().clone();
        let change = self.settings.change_to(&newer);
        info!(self.shared.log, "settings changed"; "taken" => change.taken.join(","),
            "waiting_for_start" => change.waiting.join(","), "seeds" => ?newer.peers.seeds);
        self.settings.peers = newer.peers;
        self.shared.set_loader_port(self.settings.peers.loader_port);
        self.settings.requests = newer.requests;
        self.settings.routing = newer.routing;
        self.settings.access = newer.access;
        self.settings.policy = newer.policy;
        self.shared.pool.set_connect_timeout(self.settings.requests.connect_timeout);
        self.shared.readers.set_timeout(self.settings.requests.stalled_reader_timeout);
        self.shared.machine().set_rules(self.settings.rules());
    }
}
