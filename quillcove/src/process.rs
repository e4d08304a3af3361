//! What the processes of all roles share: their end, and what operators may see.

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
use tokio::time::timeout;

use crate::duty::DutyRing;
use crate::operator::ProcessInspector;

/// Makes the input that asks a deciding duty for its state.
pub type DumpInput<I, V> = fn(oneshot::Sender<V>) -> I;

/// The duties of a running process.
pub struct ProcessHandle<I> {
    /// Ring of the deciding duty.
    pub ring: DutyRing<I>,
    /// Threads of all duties.
    pub threads: Vec<JoinHandle<()>>,
    /// `true` once the process is to end.
    pub halt: watch::Sender<bool>,
    /// Whether new work is taken.
    pub is_ready: Arc<AtomicBool>,
}

impl<I> ProcessHandle<I> {
    /// Ends at once; the input makes the deciding duty look.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// handle.abort(0);
    /// # }
    /// ```
    pub fn abort(&self, input: I) {
        self.halt.send_replace(true);
        self.ring.put(input);
    }

    /// Tells whether the process is to end or has ended.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// assert!(!handle.has_stopped());
    /// # }
    /// ```
    pub fn has_stopped(&self) -> bool {
        *self.halt.borrow()
    }

    /// Tells whether new work is taken.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<u8>) {
    /// assert!(handle.is_ready());
    /// # }
    /// ```
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Asks the deciding duty for its state, outside of any runtime.
    ///
    /// ```no_run
    /// # fn run(handle: quillcove::process::ProcessHandle<tokio::sync::oneshot::Sender<u8>>) {
    /// let state: Option<u8> = handle.dump(|sender| sender);
    /// # }
    /// ```
    pub fn dump<V>(&self, input: DumpInput<I, V>) -> Option<V> {
        let (sender, receiver) = oneshot::channel();
        self.ring.put(input(sender));
        futures::executor::block_on(receiver).ok()
    }

    /// Waits for the end of all duties.
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

/// Time in which the last answers leave a process that ends.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// Waits until a process is to end, and then until the answers of a server that ended whole have
/// left.
///
/// ```no_run
/// # async fn run(server: dropshot::HttpServer<()>, halted: tokio::sync::watch::Receiver<bool>) {
/// quillcove::process::close_when_halted(server, halted).await;
/// # }
/// ```
pub async fn close_when_halted<C: ServerContext>(
    server: HttpServer<C>,
    mut halted: watch::Receiver<bool>,
) {
    let _ = halted.wait_for(|is_halted| *is_halted).await;
    let _ = timeout(CLOSE_TIME, server.close()).await;
}

/// Keeps the flag of readiness, and logs its changes.
///
/// ```
/// use std::sync::atomic::AtomicBool;
///
/// let log = quillcove::logging::silent();
/// quillcove::process::note_ready(&AtomicBool::new(false), true, &log);
/// ```
pub fn note_ready(flag: &AtomicBool, is_ready: bool, log: &Logger) {
    if flag.swap(is_ready, Ordering::Relaxed) != is_ready {
        info!(log, "readiness changed"; "ready" => is_ready);
    }
}

/// What operators may see of a process: the state of its deciding duty.
pub struct DumpInspector<I, V> {
    /// Ring of the deciding duty.
    pub ring: DutyRing<I>,
    /// Whether new work is taken.
    pub is_ready: Arc<AtomicBool>,
    /// Makes the input that asks for the state.
    pub input: DumpInput<I, V>,
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
