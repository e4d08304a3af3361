//! The relay: a thin process that passes callers' requests through to the upstreams that a
//! platform lists.
//!
//! Duties: `serve` talks to callers, upstreams and other processes of the system, and owns the
//! machines that decide; `watch` follows the platform's store and feeds a bounded ring.

mod attempt;
mod events;
mod follow;
mod forward;
mod input;
mod pool;
mod serve;
mod shared;
mod stream;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::future::BoxFuture;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use self::follow::StoreFollower;
use self::input::InputDuty;
use self::shared::RelayShared;
use crate::config::relay::RelaySettings;
use crate::duty;
use crate::operator::{self, ProcessInspector};
use crate::peers::PeerSocket;

/// Answers of the store that may wait for the serving duty.
const RING_PLACES: usize = 64;

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

/// Runs a relay until its planned stop is over.
///
/// # Errors
///
/// When an address can not be bound.
///
/// ```no_run
/// use quillcove::config::relay::RelaySettings;
///
/// let (_stop, stopped) = tokio::sync::watch::channel(false);
/// let log = quillcove::logging::silent();
/// quillcove::relay::run(RelaySettings::default(), log, stopped).unwrap();
/// ```
pub fn run(
    settings: RelaySettings,
    log: Logger,
    stopped: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let is_over = Arc::new(AtomicBool::new(false));
    let (ring, inputs) = mpsc::channel(RING_PLACES);
    let (hurry, hurried) = watch::channel(0);
    let follower = StoreFollower::new(&settings.platform, ring, hurried, log.clone());
    let watch_over = is_over.clone();
    let follow = duty::spawn("watch", move || {
        duty::run_async(1, follower.run(watch_over));
    });
    let result = duty::run_async(1, serve(settings, log, stopped, inputs, hurry));
    is_over.store(true, Ordering::Relaxed);
    drop(follow);
    result
}

async fn serve(
    settings: RelaySettings,
    log: Logger,
    stopped: watch::Receiver<bool>,
    inputs: mpsc::Receiver<follow::StoreNews>,
    hurry: watch::Sender<u64>,
) -> eyre::Result<()> {
    let listener = TcpListener::bind(settings.listen.callers).await?;
    let socket = PeerSocket::bind(settings.listen.control).await?;
    let operator_address = settings.listen.operator;
    info!(log, "relay started"; "callers" => %settings.listen.callers,
        "control" => %settings.listen.control, "operator" => %operator_address,
        "platform" => %settings.platform.address, "seeds" => ?settings.peers.seeds);
    let shared = Arc::new(RelayShared::new(settings, log.clone())?);
    let inspector = RelayInspector { shared: shared.clone() };
    // The operators' address closes when its server is dropped.
    let _operator = operator::start(operator_address, inspector, shared.metrics.clone(), &log)?;
    let duty = InputDuty::new(shared.clone(), socket, hurry);
    tokio::spawn(duty.run(inputs));
    serve::accept(listener, shared.clone(), stopped).await;
    info!(log, "relay stopped"; "in_flight" => shared.machine().in_flight());
    Ok(())
}
