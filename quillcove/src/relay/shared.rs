//! What the parts of a relay share.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quillcove_core::relay::machine::RelayMachine;
use slog::Logger;
use tokio::sync::Notify;

use super::pool::ReplicaPool;
use super::waiters::AdapterWaiters;
use super::wake::WakeBell;
use super::words::UnreadWords;
use crate::clock::MonoClock;
use crate::config::relay::RelaySettings;
use crate::metrics::ProcessMetrics;

/// State of one relay.
pub struct RelayShared {
    pub settings: RelaySettings,
    pub log: Logger,
    pub clock: MonoClock,
    pub metrics: Arc<ProcessMetrics>,
    pub pool: ReplicaPool,
    /// Rings when the process was suspended.
    pub wakes: WakeBell,
    pub is_ready: AtomicBool,
    pub waiters: AdapterWaiters,
    /// Words of replicas that nothing here reads.
    pub unread: UnreadWords,
    /// Wakes the duty that sends asks for adapters to loaders.
    pub wanted: Notify,
    machine: Mutex<RelayMachine>,
}

impl RelayShared {
    pub fn new(settings: RelaySettings, clock: MonoClock, log: Logger) -> eyre::Result<Self> {
        let machine = RelayMachine::new(settings.rules(), rand::random());
        Ok(Self {
            pool: ReplicaPool::new(settings.requests.connect_timeout, clock),
            clock,
            wakes: WakeBell::new(),
            metrics: Arc::new(ProcessMetrics::new("relay")?),
            is_ready: AtomicBool::new(false),
            waiters: AdapterWaiters::default(),
            unread: UnreadWords::default(),
            wanted: Notify::new(),
            machine: Mutex::new(machine),
            settings,
            log,
        })
    }

    /// The machine that decides. Nobody holds it across a wait, so it is never contended for
    /// long; a panic while it was held leaves it in a usable state, as each call is whole.
    pub fn machine(&self) -> MutexGuard<'_, RelayMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
