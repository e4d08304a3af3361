//! The relay: a thin process that forwards callers' requests to the upstreams that the platform
//! lists.
//!
//! The calling thread serves callers, upstreams and other processes of the system, and owns the
//! state machines that decide; the thread `watch` reads the platform's store and feeds a bounded
//! channel.

mod answers;
mod attempt;
mod delay;
mod ends;
mod events;
mod follow;
mod forward;
mod input;
mod pool;
mod reader;
mod request;
mod resumption;
mod serve;
mod share;
mod shared;
mod stream;
mod waiters;
mod wake;
pub mod words;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use eyre::WrapErr;
use futures::future::BoxFuture;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use self::follow::{FollowInstructions, StoreFollower, WatchTimes};
use self::input::{InputChannels, InputTask};
use self::shared::RelayShared;
use crate::clock::MonoClock;
use crate::config::relay::RelaySettings;
use crate::duty;
use crate::operator::{self, ProcessInspector};
use crate::peers::PeerSocket;

/// Capacity of the channel for what was read from the store.
const STORE_CHANNEL_CAPACITY: usize = 64;

/// Number of ports that are tried for the control address if the settings leave the choice to the
/// operating system.
const CONTROL_BIND_TRIES: u32 = 16;

struct RelayInspector {
    shared: Arc<RelayShared>,
}

impl ProcessInspector for RelayInspector {
    fn state(&self) -> BoxFuture<'_, serde_json::Value> {
        let view = self.shared.machine().view(self.shared.clock.now());
        Box::pin(async move { serde_json::to_value(view).unwrap_or_default() })
    }

    fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::Relaxed)
    }
}

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
    let key_validity = settings.rules().right;
    let clock = signals.clock;
    let follower = StoreFollower::new(
        &settings.platform,
        &key_validity,
        sender,
        hurried,
        orders,
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
    let result = duty::run_async(1, serve(settings, clock, log, signals.stopped, feed, on_bound));
    is_stopped.store(true, Ordering::Relaxed);
    result
}

/// Binds the addresses and serves them until the planned stop has ended.
async fn serve(
    settings: RelaySettings,
    clock: MonoClock,
    log: Logger,
    stopped: watch::Receiver<bool>,
    feed: InputChannels,
    on_bound: impl FnOnce(RelayAddresses),
) -> eyre::Result<()> {
    let listener = TcpListener::bind(settings.listen.callers).await?;
    let control_address = settings.listen.control;
    let operator_address = settings.listen.operator;
    let platform = settings.platform.address;
    let seeds = settings.peers.seeds.clone();
    let shared = Arc::new(RelayShared::new(settings, clock, log.clone())?);
    let socket = bind_control(&shared, control_address).await?;
    let control = socket.local_addr()?;
    let inspector = RelayInspector { shared: shared.clone() };
    // Dropping the operator server closes its address.
    let operator = operator::start(operator_address, inspector, shared.metrics.clone(), &log)?;
    let addresses = RelayAddresses {
        callers: listener.local_addr()?,
        control,
        operator: operator.local_addr(),
    };
    info!(log, "relay started"; "callers" => %addresses.callers,
        "control" => %addresses.control, "operator" => %addresses.operator,
        "platform" => %platform, "seeds" => ?seeds);
    on_bound(addresses);
    let input = InputTask::new(shared.clone(), socket, control, feed);
    tokio::spawn(input.run());
    tokio::spawn(delay::measure(shared.clone()));
    serve::serve_callers(listener, shared.clone(), stopped).await;
    info!(log, "relay stopped"; "in_flight" => shared.machine().in_flight());
    Ok(())
}

/// Binds one port number for both datagrams (UDP) and calls (TCP) of other processes. If the
/// operating system picks a UDP port that is in use for TCP, another one is tried.
async fn bind_control(shared: &Arc<RelayShared>, address: SocketAddr) -> eyre::Result<PeerSocket> {
    let mut tries = 1;
    loop {
        let socket = PeerSocket::bind(address).await?;
        let bound = socket.local_addr()?;
        match share::serve(shared.clone(), bound).await {
            Ok(()) => return Ok(socket),
            Err(_) if address.port() == 0 && tries < CONTROL_BIND_TRIES => tries += 1,
            Err(error) => return Err(error).wrap_err_with(|| format!("cannot bind {bound}")),
        }
    }
}
