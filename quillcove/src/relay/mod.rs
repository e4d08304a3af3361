//! The relay: a thin process that forwards callers' requests to the upstreams that the platform
//! lists.
//!
//! Each duty has a thread, so that none waits behind the work for callers, however much there is:
//!
//! - the calling thread serves callers and upstreams;
//! - `control` accepts callers' connections, talks with other processes of the system and with operators, and applies
//!   what the store publishes;
//! - `watch` reads the platform's store.
//!
//! Bounded rings join them. All decisions are made by one state machine under a lock that no thread holds across a
//! wait.

mod accept;
mod answers;
mod attempt;
mod connections;
mod control;
mod ends;
mod events;
mod follow;
mod forward;
mod input;
mod intake;
mod large;
mod pool;
mod reader;
mod request;
mod resumption;
mod serve;
mod share;
mod shared;
mod socket;
mod stream;
mod waiters;
mod wake;
pub mod words;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::WrapErr;
use quillcove_core::ids::MonoTime;
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};

use self::control::ControlDuty;
use self::follow::{FollowInstructions, FollowSignals, StoreFollower, WatchTimes};
use self::input::InputChannels;
use self::shared::RelayShared;
use crate::clock::MonoClock;
use crate::config::relay::RelaySettings;
use crate::duty;

/// Capacity of the channel for what was read from the store.
const STORE_CHANNEL_CAPACITY: usize = 64;

/// Capacity of the ring of accepted connections that the serving thread has not taken yet. How long they wait is bounded
/// by the intake; this bounds their file descriptors.
const ACCEPTED_CAPACITY: usize = 1024;

/// Addresses that a relay is bound to.
#[derive(Clone, Copy, Debug)]
pub struct RelayAddresses {
    /// HTTP server for callers.
    pub callers: SocketAddr,
    /// Datagrams and calls of other relays and of loaders.
    pub control: SocketAddr,
    /// HTTP server for operators: health, metrics and state.
    pub operator: SocketAddr,
}

/// Signals from the process to a relay, and the clock that they share.
pub struct RelaySignals {
    /// Becomes `true` when the planned stop is to begin.
    pub stopped: watch::Receiver<bool>,
    /// The current settings.
    pub settings: watch::Receiver<RelaySettings>,
    /// The process's clock.
    pub clock: MonoClock,
}

/// Runs a relay until its planned stop has ended. Calls `on_bound` with the bound addresses.
///
/// # Errors
///
/// If an address cannot be bound.
///
/// ```no_run
/// use quillcove::config::relay::RelaySettings;
/// use quillcove::relay::RelaySignals;
/// use tokio::sync::watch;
///
/// let settings = RelaySettings::default();
/// let (_stop, stopped) = watch::channel(false);
/// let (_change, changed) = watch::channel(settings.clone());
/// let clock = quillcove::clock::MonoClock::start();
/// let signals = RelaySignals { stopped, settings: changed, clock };
/// let log = quillcove::logging::silent();
/// quillcove::relay::run(settings, log, signals, |_addresses| ()).unwrap();
/// ```
pub fn run(
    settings: RelaySettings,
    log: Logger,
    signals: RelaySignals,
    on_bound: impl FnOnce(RelayAddresses),
) -> eyre::Result<()> {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let (sender, inputs) = mpsc::channel(STORE_CHANNEL_CAPACITY);
    let (hurry, hurried) = watch::channel(0);
    let watch_times = WatchTimes::of(&settings.platform.duty_rules());
    let (order, orders) =
        watch::channel(FollowInstructions { watch_times, ..FollowInstructions::default() });
    let (confirm_since, confirms) = watch::channel(MonoTime::ZERO);
    let key_validity = settings.rules().right;
    let clock = signals.clock;
    let follower = StoreFollower::new(
        &settings.platform,
        &key_validity,
        sender,
        FollowSignals { rereads: hurried, confirms, instructions: orders },
        clock,
        log.clone(),
    );
    let follower_stopped = is_stopped.clone();
    let _follow = duty::spawn("watch", move || {
        duty::run_async(1, follower.run(follower_stopped));
    });
    let feed = InputChannels {
        store_updates: inputs,
        settings_changes: signals.settings,
        reread: hurry,
        follow_instructions: order,
    };
    let shared = RelayShared::new(settings, confirm_since, clock, log).map(Arc::new);
    let result = shared.and_then(|shared| serve(shared, feed, signals.stopped, on_bound));
    is_stopped.store(true, Ordering::Relaxed);
    result
}

/// Serves callers on this thread, and all else on the control thread, until the planned stop has ended.
fn serve(
    shared: Arc<RelayShared>,
    feed: InputChannels,
    stopped: watch::Receiver<bool>,
    on_bound: impl FnOnce(RelayAddresses),
) -> eyre::Result<()> {
    let (accepted, connections) = mpsc::channel(ACCEPTED_CAPACITY);
    let (bound, addresses) = oneshot::channel();
    let (finished, is_finished) = oneshot::channel::<()>();
    let control = ControlDuty { shared: shared.clone(), feed, stopped: stopped.clone(), accepted };
    let control = duty::spawn("control", move || {
        duty::run_async(1, control.run(bound, is_finished));
    });
    let addresses = addresses.blocking_recv().wrap_err("control thread has ended")??;
    info!(shared.log, "relay started"; "callers" => %addresses.callers,
        "control" => %addresses.control, "operator" => %addresses.operator,
        "platform" => %shared.settings.platform.address, "seeds" => ?shared.settings.peers.seeds);
    on_bound(addresses);
    duty::run_async(1, async {
        tokio::spawn(intake::measure(shared.clone()));
        serve::serve_callers(connections, shared.clone(), stopped).await;
    });
    info!(shared.log, "relay stopped"; "in_flight" => shared.machine().in_flight());
    drop(finished);
    let _ = control.join();
    Ok(())
}
