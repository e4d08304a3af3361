//! HTTP server for callers: accepts connections, applies their limits, and drains them in the
//! planned stop.

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
use super::reader::{CallerSocket, ConnectionLimit};
use super::shared::RelayShared;
use crate::process::update_readiness;

/// Time after the start of a planned stop during which callers are served as before, because the
/// load balancer removes a host only after two failed health checks, one second apart.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(2500);

/// Time reserved before the end of the planned stop for responses that are still being sent.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Interval at which the number of requests in flight is polled during the planned stop.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Delay before the next accept after a failed one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest buffer for a request head that hyper accepts, in bytes.
const MIN_BUFFER_SIZE: usize = 8192;

/// Serves callers until the planned stop is over.
pub async fn serve_callers(
    listener: TcpListener,
    shared: Arc<RelayShared>,
    mut stopped: watch::Receiver<bool>,
) {
    let (drain, draining) = watch::channel(false);
    tokio::select! {
        () = accept_all(&listener, &shared, draining.clone()) => {},
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {},
    }
    let now = shared.clock.now();
    let end = now + shared.settings.stop.limit.saturating_sub(STOP_MARGIN);
    shared.machine().stop();
    update_readiness(&shared.is_ready, false, &shared.log);
    info!(shared.log, "planned stop begins"; "in_flight" => shared.machine().in_flight());
    let accept_until = now + DEREGISTRATION_TIME;
    let accepted = accept_all(&listener, &shared, draining);
    let _ = shared.resume_notifier.wait_until(&shared.clock, accept_until, accepted).await;
    // A request accepted from now on might not end within the stop's time limit. The closed port
    // rejects further callers, which makes them try another host at once.
    drop(listener);
    drain.send_replace(true);
    let drained = async {
        while shared.machine().in_flight() > 0 {
            sleep(STOP_POLL).await;
        }
        // Gives the last responses time to be sent.
        sleep(STOP_POLL * 5).await;
    };
    let _ = shared.resume_notifier.wait_until(&shared.clock, end, drained).await;
}

/// Accepts connections until the future is dropped.
async fn accept_all(
    listener: &TcpListener,
    shared: &Arc<RelayShared>,
    draining: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let caller = caller_digest(peer.ip());
                tokio::spawn(serve_connection(stream, caller, shared.clone(), draining.clone()));
            },
            Err(error) => {
                warn!(shared.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            },
        }
    }
}

/// Returns the limits of the configuration in force, or the defaults if there is none yet.
fn caller_limits(shared: &RelayShared) -> CallerLimits {
    shared.machine().sheet().map(|configuration| configuration.limits).unwrap_or_default()
}

/// Serves one connection until it ends; once draining begins, it closes after the current response.
async fn serve_connection(
    stream: TcpStream,
    caller: CallerDigest,
    shared: Arc<RelayShared>,
    mut draining: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        warn!(shared.log, "connection lost on accept"; "error" => %error);
        return;
    }
    let limits = caller_limits(&shared);
    let limit = ConnectionLimit::default();
    let stream = CallerSocket::new(stream, limit.clone(), {
        let shared = shared.clone();
        move || {
            shared.metrics.record_stalled_reader();
            info!(shared.log, "caller does not read"; "caller" => format!("{caller:016x}"),
                "buffered_bytes" => shared.readers.buffered());
        }
    });
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (shared, limit) = (shared.clone(), limit.clone());
        async move {
            let response = forward::handle(shared, request, caller).await;
            limit.set(response.extensions().get().copied());
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_SIZE))
        .half_close(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // The requests on the connection handle its errors.
        _ = &mut connection => return,
        _ = draining.wait_for(|is_draining| *is_draining) => {},
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
