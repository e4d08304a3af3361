//! Duties: threads that each own their state and process events from a bounded queue (ring).

use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};

/// The event was not queued because the ring is full or its duty has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventNotQueued;

/// The sending half of a duty's event queue.
#[derive(Debug)]
pub struct DutyRing<E> {
    sender: Sender<E>,
}

impl<E> Clone for DutyRing<E> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<E> DutyRing<E> {
    /// Creates a ring with a capacity of `places` events, and its receiving half.
    ///
    /// ```
    /// let (ring, _events) = quillcove::duty::DutyRing::new(1);
    /// assert!(ring.offer(1).is_ok());
    /// assert!(ring.offer(2).is_err());
    /// ```
    pub fn new(places: usize) -> (Self, Receiver<E>) {
        let (sender, receiver) = bounded(places);
        (Self { sender }, receiver)
    }

    /// Queues an event without blocking.
    ///
    /// # Errors
    ///
    /// [`EventNotQueued`], upon which the calling code rejects the work.
    ///
    /// ```
    /// let (ring, events) = quillcove::duty::DutyRing::new(1);
    /// drop(events);
    /// assert!(ring.offer(1).is_err());
    /// ```
    pub fn offer(&self, event: E) -> Result<(), EventNotQueued> {
        match self.sender.try_send(event) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(EventNotQueued),
        }
    }

    /// Queues an event and blocks while the ring is full. For events that must not be lost, such as
    /// the end of a request. A duty never waits for the senders of its events, so this cannot
    /// deadlock. If the duty has ended, the event is dropped.
    ///
    /// ```
    /// let (ring, events) = quillcove::duty::DutyRing::new(1);
    /// ring.put(1);
    /// assert_eq!(events.recv(), Ok(1));
    /// ```
    pub fn put(&self, event: E) {
        let _ = self.sender.send(event);
    }
}

/// Starts the thread of a duty. The handler is called with each event, and with `None` on a tick:
/// when no event is queued and at least `tick` has passed since the previous tick. It returns `false`
/// to end the duty.
///
/// ```
/// use std::time::Duration;
/// use quillcove::duty::{DutyRing, start};
///
/// let (ring, events) = DutyRing::new(4);
/// ring.put(1);
/// let duty = start("count", events, Duration::from_secs(1), |event| event.is_none());
/// duty.join().unwrap();
/// ```
pub fn start<E: Send + 'static>(
    name: &str,
    events: Receiver<E>,
    tick: Duration,
    mut handle: impl FnMut(Option<E>) -> bool + Send + 'static,
) -> JoinHandle<()> {
    let run = move || {
        let mut next_tick = std::time::Instant::now() + tick;
        loop {
            let event = match events.recv_deadline(next_tick) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = std::time::Instant::now() + tick;
                    None
                },
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if !handle(event) {
                return;
            }
        }
    };
    spawn(name, run)
}

/// Starts a named thread.
///
/// ```
/// quillcove::duty::spawn("work", || ()).join().unwrap();
/// ```
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    thread::Builder::new().name(name.to_string()).spawn(run).expect("threads can be started")
}

/// Runs a future to completion on a runtime with this many worker threads; with one worker, it
/// runs on the calling thread.
///
/// ```
/// assert_eq!(quillcove::duty::run_async(1, async { 5 }), 5);
/// ```
pub fn run_async<T>(workers: usize, future: impl Future<Output = T>) -> T {
    let mut builder = match workers {
        0 | 1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = builder.worker_threads(workers.max(1)).enable_all().build();
    runtime.expect("a runtime can be built").block_on(future)
}
