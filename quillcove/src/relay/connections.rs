//! Callers' connections: at most as many as the budget allows. Beyond that, and where no memory is left for bodies, those
//! that have sent nothing for longest give way.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::memory::{CONNECTION_BYTES, MemoryAccount, MemoryClass, MemoryPermit};
use tokio::sync::Notify;

/// Connections beyond the limit while others that were told to close still do; above it, new ones are closed unread.
const CLOSING_LIMIT: usize = 32;

/// Time without a byte after which a body that is being read gives way to others. Callers that send keep well below it.
const STALL_TIME: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionStage {
    /// No request has been read: it is idle, or a head arrives.
    Resting,
    /// A body is being read.
    Reading,
    /// A request was read, and its response has not ended.
    Busy,
    /// It was told to close.
    Closing,
}

impl ConnectionStage {
    const ALL: [Self; 4] = [Self::Resting, Self::Reading, Self::Busy, Self::Closing];

    fn of(number: u8) -> Self {
        Self::ALL[usize::from(number)]
    }
}

/// State of one connection.
#[derive(Debug)]
pub struct ConnectionState {
    stage: AtomicU8,
    /// When the connection was opened or its last response ended, or when bytes of a body were last received, in
    /// microseconds on the process's clock.
    active_us: AtomicU64,
    close: Notify,
}

impl ConnectionState {
    fn stage(&self) -> ConnectionStage {
        ConnectionStage::of(self.stage.load(Ordering::Acquire))
    }

    /// Enters a stage, unless the connection was told to close; returns whether it was entered.
    fn enter(&self, stage: ConnectionStage) -> bool {
        let next =
            |held| (ConnectionStage::of(held) != ConnectionStage::Closing).then_some(stage as u8);
        self.stage.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).is_ok()
    }

    /// Tells the connection to close if it still is in this stage.
    fn close_in(&self, stage: ConnectionStage) -> bool {
        let (from, to) = (stage as u8, ConnectionStage::Closing as u8);
        let is_told =
            self.stage.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok();
        if is_told {
            self.close.notify_one();
        }
        is_told
    }

    fn note_active(&self, now: MonoTime) {
        self.active_us.store(now.as_micros() as u64, Ordering::Relaxed);
    }

    /// Records that a body is being read, and that bytes of it were received.
    pub fn record_read(&self, now: MonoTime) {
        self.note_active(now);
        self.enter(ConnectionStage::Reading);
    }

    /// Records that a request was read; returns `false` if the connection was told to close before.
    #[must_use]
    pub fn record_request(&self) -> bool {
        self.enter(ConnectionStage::Busy)
    }

    /// Records that a response has ended.
    pub fn record_response_end(&self, now: MonoTime) {
        self.note_active(now);
        self.enter(ConnectionStage::Resting);
    }

    /// Waits until the connection is told to close.
    pub async fn told_to_close(&self) {
        self.close.notified().await;
    }
}

/// A connection's place among those that may be open; given back on drop.
#[derive(Debug)]
pub struct ConnectionPlace {
    connections: Arc<CallerConnections>,
    number: u64,
    state: Arc<ConnectionState>,
    _permit: MemoryPermit,
}

impl ConnectionPlace {
    /// Returns the connection's state.
    pub fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.connections.open().remove(&self.number);
    }
}

/// All connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    memory: Arc<MemoryAccount>,
    open: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_number: AtomicU64,
    /// Connections that were told to close so far.
    told: AtomicUsize,
}

impl CallerConnections {
    pub fn new(memory: Arc<MemoryAccount>) -> Arc<Self> {
        Arc::new(Self {
            memory,
            open: Mutex::default(),
            next_number: AtomicU64::new(0),
            told: AtomicUsize::new(0),
        })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of connections that were told to close so far.
    pub fn told(&self) -> usize {
        self.told.load(Ordering::Relaxed)
    }

    /// Returns a place for a new connection. If there are as many as may be open, the one that rests longest is told to
    /// close. `None` if none rests, if those told before have not closed yet, or if no memory is left.
    pub fn admit(self: &Arc<Self>, now: MonoTime) -> Option<ConnectionPlace> {
        let limit = self.memory.budget().connections;
        let count = self.open().len();
        if count >= limit + CLOSING_LIMIT {
            return None;
        }
        if count >= limit && !self.close_oldest(now, Duration::ZERO, |_| true) {
            return None;
        }
        let permit = self.memory.reserve(MemoryClass::Connections, CONNECTION_BYTES);
        let Ok(permit) = permit else {
            self.close_stalled_body(now);
            return None;
        };
        let state = Arc::new(ConnectionState {
            stage: AtomicU8::new(ConnectionStage::Resting as u8),
            active_us: AtomicU64::new(now.as_micros() as u64),
            close: Notify::new(),
        });
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.open().insert(number, state.clone());
        Some(ConnectionPlace { connections: self.clone(), number, state, _permit: permit })
    }

    /// Tells the connection to close on whose body nothing was received for longest; returns `false` if bytes were
    /// received of each a short time ago.
    pub fn close_stalled_body(&self, now: MonoTime) -> bool {
        self.close_oldest(now, STALL_TIME, |stage| stage == ConnectionStage::Reading)
    }

    /// Tells the connection to close that is inactive for longest, of those without a request for at least this time.
    fn close_oldest(
        &self,
        now: MonoTime,
        min_time: Duration,
        is_meant: impl Fn(ConnectionStage) -> bool,
    ) -> bool {
        let latest = now.saturating_sub(min_time).as_micros() as u64;
        let open = self.open();
        let candidate = |state: &Arc<ConnectionState>| {
            let stage = state.stage();
            let is_open = matches!(stage, ConnectionStage::Resting | ConnectionStage::Reading);
            let active = state.active_us.load(Ordering::Relaxed);
            (is_open && is_meant(stage) && active <= latest).then(|| (active, stage, state.clone()))
        };
        let oldest = open.values().filter_map(candidate).min_by_key(|(active, ..)| *active);
        drop(open);
        let is_told = oldest.is_some_and(|(_, stage, state)| state.close_in(stage));
        if is_told {
            self.told.fetch_add(1, Ordering::Relaxed);
        }
        is_told
    }
}
