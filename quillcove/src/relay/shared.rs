//! State shared by the tasks of a relay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::memory::{CallerBudget, MemoryAccount};
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::relay::machine::RelayMachine;
use slog::Logger;
use tokio::sync::{Notify, watch};

use super::connections::CallerConnections;
use super::intake::CallerIntake;
use super::pool::ReplicaPool;
use super::reader::ReaderState;
use super::waiters::AdapterWaiters;
use super::wake::ResumeNotifier;
use super::words::UnknownHeaders;
use crate::clock::MonoClock;
use crate::config::relay::RelaySettings;
use crate::metrics::ProcessMetrics;
use crate::peers::PeerSender;
use crate::web::client::{REPORT_SIZE_LIMIT, WebClient};

/// Phase of a planned stop, for requests that no replica works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop has begun, or the load balancer may not know of it yet: all requests are passed on.
    Serving,
    /// Only requests that are expected to end by this time are passed on.
    Draining(MonoTime),
    /// No request is passed on.
    Ending,
}

impl StopPhase {
    fn allows(self, may_end_by: impl Fn(MonoTime) -> bool) -> bool {
        match self {
            Self::Serving => true,
            Self::Draining(end) => may_end_by(end),
            Self::Ending => false,
        }
    }
}

/// Shared state of one relay.
pub struct RelayShared {
    pub settings: RelaySettings,
    pub log: Logger,
    pub clock: MonoClock,
    pub metrics: Arc<ProcessMetrics>,
    /// What is held for callers.
    pub memory: Arc<MemoryAccount>,
    pub connections: Arc<CallerConnections>,
    pub pool: ReplicaPool,
    /// Client for status reports of replicas; each has a connection of its own.
    pub status_client: WebClient,
    /// What callers have not read yet.
    pub readers: Arc<ReaderState>,
    /// Notifies waits after a suspension of the process.
    pub resume_notifier: ResumeNotifier,
    pub is_ready: AtomicBool,
    /// Phase of the planned stop.
    pub stop_phase: watch::Sender<StopPhase>,
    /// Requests whose bodies are being read.
    pub reading: AtomicUsize,
    /// Connections of callers that are served.
    pub intake: CallerIntake,
    pub waiters: AdapterWaiters,
    /// Response headers of replicas that no code reads.
    pub unknown_status_headers: UnknownHeaders,
    /// Notifies the requests that wait for the origin of a stream.
    pub origin_answered: Notify,
    /// Moment since which reads of the store have to begin, for requests that depend on what was published before it.
    confirm_since: watch::Sender<MonoTime>,
    /// Notifies these requests when a read has been applied.
    pub store_read: Notify,
    /// Notifies the requests whose response ended without framing when it may be known whether the replica exited.
    pub exit_checked: Notify,
    /// Notifies the input task that messages are to be sent, such as load requests.
    pub messages_pending: Notify,
    /// Sends messages to other processes, once the control address is bound.
    pub peer_sender: OnceLock<PeerSender>,
    loader_port: AtomicU16,
    machine: Mutex<RelayMachine>,
}

impl RelayShared {
    pub fn new(
        settings: RelaySettings,
        confirm_since: watch::Sender<MonoTime>,
        clock: MonoClock,
        log: Logger,
    ) -> eyre::Result<Self> {
        let machine = RelayMachine::new(settings.rules(), rand::random());
        let metrics = Arc::new(ProcessMetrics::new("relay")?);
        let timeout = settings.requests.stalled_reader_timeout;
        let memory = MemoryAccount::new(CallerBudget::of(settings.machine.limits()));
        metrics.observe_memory(memory.clone());
        Ok(Self {
            readers: Arc::new(ReaderState::new(timeout, metrics.clone())),
            metrics,
            connections: CallerConnections::new(memory.clone()),
            memory,
            pool: ReplicaPool::new(settings.requests.connect_timeout, clock),
            status_client: WebClient::new(settings.requests.connect_timeout, Duration::ZERO)
                .with_body_limit(REPORT_SIZE_LIMIT),
            clock,
            resume_notifier: ResumeNotifier::new(),
            is_ready: AtomicBool::new(false),
            stop_phase: watch::Sender::new(StopPhase::Serving),
            reading: AtomicUsize::new(0),
            intake: CallerIntake::default(),
            waiters: AdapterWaiters::default(),
            unknown_status_headers: UnknownHeaders::default(),
            origin_answered: Notify::new(),
            confirm_since,
            store_read: Notify::new(),
            exit_checked: Notify::new(),
            messages_pending: Notify::new(),
            peer_sender: OnceLock::new(),
            loader_port: AtomicU16::new(settings.peers.loader_port),
            machine: Mutex::new(machine),
            settings,
            log,
        })
    }

    /// Locks the state machine that makes the relay's decisions. No task holds the guard across an `await`, so the
    /// lock is never contended for long. A panic under the lock leaves the machine usable, as each call is complete
    /// in itself.
    pub fn machine(&self) -> MutexGuard<'_, RelayMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the planned stop, if there is one, leaves time to pass a request on. `may_end_by` says whether the
    /// request is expected to end by a time.
    pub fn stop_allows(&self, may_end_by: impl Fn(MonoTime) -> bool) -> bool {
        self.stop_phase.borrow().allows(may_end_by)
    }

    /// Waits until the planned stop leaves no time to pass a request on.
    pub async fn stop_rejects(&self, may_end_by: impl Fn(MonoTime) -> bool) {
        let mut phase = self.stop_phase.subscribe();
        let _ = phase.wait_for(|phase| !phase.allows(&may_end_by)).await;
    }

    /// Waits until this relay knows, by its own reads, all that was published before a moment; returns `false` if that takes
    /// longer than `limit`. One read serves all requests that came before it.
    pub async fn confirm_store(&self, moment: MonoTime, limit: Duration) -> bool {
        let until = self.clock.now() + limit;
        loop {
            // Registered before the check, so that a read in between is not missed.
            let read = self.store_read.notified();
            if self.machine().knowledge().is_confirmed(moment) {
                return true;
            }
            self.confirm_since.send_if_modified(|since| {
                let is_later = moment > *since;
                *since = moment.max(*since);
                is_later
            });
            if self.resume_notifier.wait_until(&self.clock, until, read).await.is_none() {
                return false;
            }
        }
    }

    /// Returns the address of the loader on an engine's host.
    pub fn loader_of(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.loader_port.load(Ordering::Relaxed))
    }

    pub fn set_loader_port(&self, port: u16) {
        self.loader_port.store(port, Ordering::Relaxed);
    }

    /// Sends a message to each receiver.
    pub fn send(&self, message: &PeerMessage, receivers: impl IntoIterator<Item = SocketAddr>) {
        if let Some(sender) = self.peer_sender.get() {
            let sent = sender.send(message, receivers);
            self.metrics.told(message.kind(), sent);
        }
    }
}
