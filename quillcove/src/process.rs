//! Shutdown and inspection, shared by the processes of all roles.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use dropshot::{HttpServer, ServerContext};
use futures::FutureExt;
use futures::future::BoxFuture;
use serde::Serialize;
use slog::{Logger, info};
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

use crate::duty::DutyRing;
use crate::operator::ProcessInspector;

/// Builds the event that requests the state of a deciding duty.
pub type DumpEventBuilder<I, V> = fn(oneshot::Sender<V>) -> I;

/// Phase of a process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// It accepts work, or completes what it has admitted.
    Running,
    /// All admitted work is done; what its connections still carry is read and answered.
    Closing,
    /// It stops at once.
    Aborted,
}

/// Handle to the duties of a running process.
pub struct ProcessHandle<I> {
    /// Event queue of the deciding duty.
    pub ring: DutyRing<I>,
    /// Threads of all duties.
    pub threads: Vec<JoinHandle<()>>,
    /// Phase of the process.
    pub phase: watch::Sender<ProcessPhase>,
    /// Whether the process accepts new work.
    pub is_ready: Arc<AtomicBool>,
}

impl<I> ProcessHandle<I> {
    /// Stops the process immediately. The event makes the deciding duty check for the stop.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// handle.abort(0);
    /// # }
    /// ```
    pub fn abort(&self, input: I) {
        self.phase.send_replace(ProcessPhase::Aborted);
        self.ring.put(input);
    }

    /// Returns whether all duties have ended.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// assert!(!handle.has_stopped());
    /// # }
    /// ```
    pub fn has_stopped(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Returns whether the process accepts new work.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// assert!(handle.is_ready());
    /// # }
    /// ```
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Requests the state of the deciding duty and blocks until it responds; must not be called from
    /// an async runtime.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<tokio::sync::oneshot::Sender<u8>>) {
    /// let state: Option<u8> = handle.dump(|sender| sender);
    /// # }
    /// ```
    pub fn dump<V>(&self, input: DumpEventBuilder<I, V>) -> Option<V> {
        let (sender, receiver) = oneshot::channel();
        self.ring.put(input(sender));
        futures::executor::block_on(receiver).ok()
    }

    /// Waits until all duties have ended.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// handle.join();
    /// # }
    /// ```
    pub fn join(self) {
        drop(self.ring);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Time for which an aborted process lets its last responses be sent.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits until all admitted work is done, then closes the server: connections end after the request that they carry, within
/// `limit`.
///
/// ```no_run
/// # use std::time::Duration;
/// # use quillcove::process::ProcessPhase;
/// # use tokio::sync::watch;
/// # async fn run(server: dropshot::HttpServer<()>, phase: watch::Receiver<ProcessPhase>) {
/// quillcove::process::close_on_stop(server, phase, Duration::from_secs(8)).await;
/// # }
/// ```
pub async fn close_on_stop<C: ServerContext>(
    server: HttpServer<C>,
    mut phase: watch::Receiver<ProcessPhase>,
    limit: Duration,
) {
    let _ = phase.wait_for(|phase| *phase != ProcessPhase::Running).await;
    let aborted = async {
        match phase.wait_for(|phase| *phase == ProcessPhase::Aborted).await {
            Ok(_) => sleep(ABORT_TIMEOUT).await,
            Err(_) => pending().await,
        }
    };
    tokio::select! {
        _ = server.close() => {},
        () = aborted => {},
        () = sleep(limit) => {},
    }
}

/// Updates the readiness flag and logs a change.
///
/// ```
/// use std::sync::atomic::AtomicBool;
///
/// let log = quillcove::logging::silent();
/// quillcove::process::update_readiness(&AtomicBool::new(false), true, &log);
/// ```
pub fn update_readiness(flag: &AtomicBool, is_ready: bool, log: &Logger) {
    if flag.swap(is_ready, Ordering::Relaxed) != is_ready {
        info!(log, "readiness changed"; "ready" => is_ready);
    }
}

/// Inspector for the operator endpoint, which reads the state of the deciding duty.
pub struct DumpInspector<I, V> {
    /// Event queue of the deciding duty.
    pub ring: DutyRing<I>,
    /// Whether the process accepts new work.
    pub is_ready: Arc<AtomicBool>,
    /// Builds the event that requests the state.
    pub input: DumpEventBuilder<I, V>,
}

impl<I: Send + 'static, V: Serialize + Send + 'static> ProcessInspector for DumpInspector<I, V> {
    fn state(&self) -> BoxFuture<'_, serde_json::Value> {
        async move {
            let (sender, receiver) = oneshot::channel();
            self.ring.put((self.input)(sender));
            serde_json::to_value(receiver.await.ok()).unwrap_or_default()
        }
        .boxed()
    }

    fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}
