//! Duties: threads that each own one state and take events from a bounded ring.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};

/// Says that a ring is full or its duty has ended; the event was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingFull;

/// The sending end of a duty's ring.
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
    /// A ring of this many places and its receiving end.
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

    /// Puts an event into the ring unless it is full.
    ///
    /// # Errors
    ///
    /// [`RingFull`]; the caller refuses the work.
    ///
    /// ```
    /// let (ring, events) = quillcove::duty::DutyRing::new(1);
    /// drop(events);
    /// assert!(ring.offer(1).is_err());
    /// ```
    pub fn offer(&self, event: E) -> Result<(), RingFull> {
        match self.sender.try_send(event) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(RingFull),
        }
    }

    /// Puts an event into the ring, waiting for a place. For events that must not be lost, such
    /// as the end of a request; the duty never waits for their senders, so this can not lock up.
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

/// Starts the thread of a duty. The handler gets each event, and `None` when none came for the
/// given time or that time has passed since the last such call; it returns `false` to end.
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

/// Runs a future to its end on a runtime with this many worker threads; one worker means that
/// the calling thread does the work.
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
