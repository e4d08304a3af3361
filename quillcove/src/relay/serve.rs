//! The callers' address: connections, their limits, and the planned stop.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use quillcove_core::crash::digest::{CallerDigest, caller_digest};
use quillcove_core::relay::sheet::CallerLimits;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use super::forward;
use super::shared::RelayShared;
use crate::process::note_ready;

/// Time after the start of a planned stop in which callers still are served as ever, since the
/// balancer takes a host out only after two questions, a second apart.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Time before the end of the planned stop that is kept for answers on their way.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time between looks at whether the last request has ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer that hyper allows for a head.
const BUFFER_LEAST: usize = 8192;

/// Serves callers until the planned stop is over.
pub async fn accept(
    listener: TcpListener,
    shared: Arc<RelayShared>,
    mut stopped: watch::Receiver<bool>,
) {
    let (leave, leaving) = watch::channel(false);
    tokio::select! {
        () = accept_all(&listener, &shared, leaving.clone()) => {},
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {},
    }
    let now = shared.clock.now();
    let end = now + shared.settings.stop.limit.saturating_sub(STOP_MARGIN);
    shared.machine().stop();
    note_ready(&shared.is_ready, false, &shared.log);
    info!(shared.log, "planned stop begins"; "in_flight" => shared.machine().in_flight());
    let leave_at = now + LEAVE_TIME;
    let accepted = accept_all(&listener, &shared, leaving);
    let _ = shared.wakes.wait_until(&shared.clock, leave_at, accepted).await;
    // What is taken from now on might not end within the stop's limit: callers that still come
    // are turned away by the closed port, which tells them to try another host at once.
    drop(listener);
    leave.send_replace(true);
    let drained = async {
        while shared.machine().in_flight() > 0 {
            sleep(STOP_POLL).await;
        }
        // The last answers leave.
        sleep(STOP_POLL * 5).await;
    };
    let _ = shared.wakes.wait_until(&shared.clock, end, drained).await;
}

async fn accept_all(
    listener: &TcpListener,
    shared: &Arc<RelayShared>,
    leaving: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let caller = caller_digest(peer.ip());
                tokio::spawn(serve_connection(stream, caller, shared.clone(), leaving.clone()));
            },
            Err(error) => {
                warn!(shared.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            },
        }
    }
}

fn limits_of(shared: &RelayShared) -> CallerLimits {
    shared.machine().sheet().map(|sheet| sheet.limits).unwrap_or_default()
}

async fn serve_connection(
    stream: TcpStream,
    caller: CallerDigest,
    shared: Arc<RelayShared>,
    mut leaving: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        warn!(shared.log, "connection lost at once"; "error" => %error);
        return;
    }
    let limits = limits_of(&shared);
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(forward::handle(shared, request, caller).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(BUFFER_LEAST))
        .half_close(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // How a connection ends is seen by the requests on it.
        _ = &mut connection => return,
        _ = leaving.wait_for(|is_leaving| *is_leaving) => {},
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
