//! The relay: a thin process that passes callers' requests through to the upstreams that a
//! platform lists.
//!
//! Duties: `serve` talks to callers, upstreams and other processes of the system, and owns the
//! machines that decide; `watch` follows the platform's store and feeds a bounded ring.

mod answers;
mod attempt;
mod ends;
mod events;
mod follow;
mod forward;
mod input;
mod pool;
mod request;
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

use self::follow::{FollowOrder, StoreFollower, WatchTimes};
use self::input::{InputDuty, InputFeed};
use self::shared::RelayShared;
use crate::clock::MonoClock;
use crate::config::relay::RelaySettings;
use crate::duty;
use crate::operator::{self, ProcessInspector};
use crate::peers::PeerSocket;

/// Answers of the store that may wait for the serving duty.
const RING_PLACES: usize = 64;

/// Ports that are tried for other processes when the settings leave the choice to the system.
const CONTROL_TRIES: u32 = 16;

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

/// Addresses that a relay has bound.
#[derive(Clone, Copy, Debug)]
pub struct RelayAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other processes of the system.
    pub control: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// What reaches a relay from outside of its duties.
pub struct RelaySignals {
    /// `true` once the planned stop is to begin.
    pub stopped: watch::Receiver<bool>,
    /// The settings as they are now.
    pub settings: watch::Receiver<RelaySettings>,
    /// The process's clock.
    pub clock: MonoClock,
}

/// Runs a relay until its planned stop is over; `bound` gets its addresses.
///
/// # Errors
///
/// When an address can not be bound.
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
    bound: impl FnOnce(RelayAddresses),
) -> eyre::Result<()> {
    let is_over = Arc::new(AtomicBool::new(false));
    let (ring, inputs) = mpsc::channel(RING_PLACES);
    let (hurry, hurried) = watch::channel(0);
    let watch_times = WatchTimes::of(&settings.platform.duty_rules());
    let (order, orders) = watch::channel(FollowOrder { watch_times, ..FollowOrder::default() });
    let right = settings.rules().right;
    let clock = signals.clock;
    let follower =
        StoreFollower::new(&settings.platform, &right, ring, hurried, orders, clock, log.clone());
    let watch_over = is_over.clone();
    let _follow = duty::spawn("watch", move || {
        duty::run_async(1, follower.run(watch_over));
    });
    let feed = InputFeed { store: inputs, settings: signals.settings, hurry, order };
    let result = duty::run_async(1, serve(settings, clock, log, signals.stopped, feed, bound));
    is_over.store(true, Ordering::Relaxed);
    result
}

async fn serve(
    settings: RelaySettings,
    clock: MonoClock,
    log: Logger,
    stopped: watch::Receiver<bool>,
    feed: InputFeed,
    bound: impl FnOnce(RelayAddresses),
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
    // The operators' address closes when its server is dropped.
    let operator = operator::start(operator_address, inspector, shared.metrics.clone(), &log)?;
    let addresses = RelayAddresses {
        callers: listener.local_addr()?,
        control,
        operator: operator.local_addr(),
    };
    info!(log, "relay started"; "callers" => %addresses.callers,
        "control" => %addresses.control, "operator" => %addresses.operator,
        "platform" => %platform, "seeds" => ?seeds);
    bound(addresses);
    let duty = InputDuty::new(shared.clone(), socket, control, feed);
    tokio::spawn(duty.run());
    serve::accept(listener, shared.clone(), stopped).await;
    info!(log, "relay stopped"; "in_flight" => shared.machine().in_flight());
    Ok(())
}

/// Binds one port for datagrams and calls of other processes. A port that the system picks for
/// datagrams may be taken for calls, so that another one is tried.
async fn bind_control(shared: &Arc<RelayShared>, address: SocketAddr) -> eyre::Result<PeerSocket> {
    let mut tries = 1;
    loop {
        let socket = PeerSocket::bind(address).await?;
        let bound = socket.local_addr()?;
        match share::serve(shared.clone(), bound).await {
            Ok(()) => return Ok(socket),
            Err(_) if address.port() == 0 && tries < CONTROL_TRIES => tries += 1,
            Err(error) => return Err(error).wrap_err_with(|| format!("can not bind {bound}")),
        }
    }
}
