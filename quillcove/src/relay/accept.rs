//! Accepts callers' connections and passes them to the serving thread through a bounded ring.

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use quillcove_core::crash::digest::{CallerDigest, caller_digest};
use quillcove_core::ids::MonoTime;
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::connections::ConnectionPlace;
use super::shared::RelayShared;
use crate::process::update_readiness;

/// Time after the start of a planned stop during which callers are served as before, because the
/// load balancer removes a host only after two failed health checks, one second apart.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(2500);

/// Delay before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A connection that was accepted and not read.
pub struct AcceptedConnection {
    pub stream: TcpStream,
    pub caller: CallerDigest,
    pub accepted_at: MonoTime,
    pub place: ConnectionPlace,
}

/// Sending half of the ring of accepted connections.
pub type AcceptedSender = mpsc::Sender<AcceptedConnection>;

/// Accepts connections until the load balancer has had time to remove this host in the planned stop. The port is closed
/// then, which makes further callers try another host at once.
pub async fn accept_callers(
    listener: TcpListener,
    shared: Arc<RelayShared>,
    mut stopped: watch::Receiver<bool>,
    accepted: AcceptedSender,
) {
    tokio::select! {
        () = accept_all(&listener, &shared, &accepted) => {},
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {},
    }
    let accept_until = shared.clock.now() + DEREGISTRATION_TIME;
    shared.machine().stop();
    update_readiness(&shared.is_ready, false, &shared.log);
    info!(shared.log, "planned stop begins"; "in_flight" => shared.machine().in_flight());
    let accepting = accept_all(&listener, &shared, &accepted);
    let _ = shared.resume_notifier.wait_until(&shared.clock, accept_until, accepting).await;
}

/// Accepts connections until the future is dropped.
async fn accept_all(listener: &TcpListener, shared: &Arc<RelayShared>, accepted: &AcceptedSender) {
    loop {
        let connection = match listener.accept().await {
            Ok((stream, peer)) => stream.into_std().map(|stream| (stream, peer)),
            Err(error) => Err(error),
        };
        match connection {
            Ok((stream, peer)) => pass_on(shared, accepted, stream, caller_digest(peer.ip())),
            Err(error) => {
                warn!(shared.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            },
        }
    }
}

/// Passes a connection to the serving thread, or closes it unread if this relay has more callers than it can serve.
fn pass_on(
    shared: &RelayShared,
    accepted: &AcceptedSender,
    stream: TcpStream,
    caller: CallerDigest,
) {
    let now = shared.clock.now();
    let is_admitted = shared.intake.admits(now);
    let place = is_admitted.then(|| shared.connections.admit(now)).flatten();
    let connection =
        place.map(|place| AcceptedConnection { stream, caller, accepted_at: now, place });
    let is_passed = connection.map(|connection| accepted.try_send(connection).is_ok());
    if is_passed != Some(true) {
        shared.intake.record_closed(&shared.metrics);
    }
}
