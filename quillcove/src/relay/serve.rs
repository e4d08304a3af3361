//! HTTP server for callers: serves accepted connections, applies their limits, and drains them in the
//! planned stop.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use quillcove_core::relay::sheet::CallerLimits;
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;

use super::accept::AcceptedConnection;
use super::answers::ServedBody;
use super::forward;
use super::reader::{CallerSocket, ConnectionLimit};
use super::shared::{RelayShared, StopPhase};

/// Time before the end of the planned stop from which on requests that no replica works on are rejected, so that their
/// callers try elsewhere.
const REJECTION_MARGIN: Duration = Duration::from_millis(400);

/// Time reserved before the end of the planned stop for the end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// Smallest buffer for a request head that hyper accepts, in bytes.
const MIN_BUFFER_SIZE: usize = 8192;

/// Serves callers until the planned stop is over. The ring of connections ends during the stop.
pub async fn serve_callers(
    mut connections: mpsc::Receiver<AcceptedConnection>,
    shared: Arc<RelayShared>,
    mut stopped: watch::Receiver<bool>,
) {
    let (drain, draining) = watch::channel(false);
    tokio::select! {
        () = serve_all(&mut connections, &shared, &draining) => {},
        _ = stopped.wait_for(|is_stopped| *is_stopped) => {},
    }
    let end = shared.clock.now() + shared.settings.stop.limit;
    serve_all(&mut connections, &shared, &draining).await;
    let reject_at = end.saturating_sub(REJECTION_MARGIN);
    shared.stop_phase.send_replace(StopPhase::Draining(reject_at));
    // A request that began later might not end within the stop's time limit.
    drain.send_replace(true);
    drop(draining);
    // Each connection holds a receiver until its request is read and its response written.
    let drained = shared.resume_notifier.wait_until(&shared.clock, reject_at, drain.closed()).await;
    if drained.is_none() {
        shared.stop_phase.send_replace(StopPhase::Ending);
        let exit_at = end.saturating_sub(EXIT_MARGIN);
        let _ = shared.resume_notifier.wait_until(&shared.clock, exit_at, drain.closed()).await;
    }
    let (reading, running) = (shared.reading.load(Ordering::Relaxed), shared.machine().in_flight());
    info!(shared.log, "callers served"; "cut_off" => drain.receiver_count(),
        "cut_off_reading" => reading, "cut_off_running" => running);
}

/// Serves connections until no more are accepted.
async fn serve_all(
    connections: &mut mpsc::Receiver<AcceptedConnection>,
    shared: &Arc<RelayShared>,
    draining: &watch::Receiver<bool>,
) {
    while let Some(connection) = connections.recv().await {
        let wait = shared.clock.now().saturating_sub(connection.accepted_at);
        if !shared.intake.record_wait(wait) {
            shared.intake.record_closed(&shared.metrics);
            continue;
        }
        tokio::spawn(serve_connection(connection, shared.clone(), draining.clone()));
        // What is being served goes on before the next connection is read.
        yield_now().await;
    }
}

/// Returns the limits of the configuration in force, or the defaults if there is none yet.
fn caller_limits(shared: &RelayShared) -> CallerLimits {
    shared.machine().sheet().map(|configuration| configuration.limits).unwrap_or_default()
}

/// Serves one connection until it ends; once draining begins, it closes after the current response.
async fn serve_connection(
    connection: AcceptedConnection,
    shared: Arc<RelayShared>,
    mut draining: watch::Receiver<bool>,
) {
    let AcceptedConnection { stream, caller, place, .. } = connection;
    let stream = match stream.set_nodelay(true).and_then(|()| TcpStream::from_std(stream)) {
        Ok(stream) => stream,
        Err(error) => {
            warn!(shared.log, "connection lost on accept"; "error" => %error);
            return;
        },
    };
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
    let state = place.state().clone();
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let (shared, limit, state) = (shared.clone(), limit.clone(), state.clone());
        // hyper reserves the size of the future with the connection, also while it is idle.
        Box::pin(async move {
            let response = forward::handle(&shared, request, caller, &state).await;
            limit.set(response.extensions().get().copied());
            Ok::<_, Infallible>(ServedBody::wrap(response, shared, state))
        })
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
        () = place.state().told_to_close() => return,
        _ = draining.wait_for(|is_draining| *is_draining) => {},
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {},
        () = place.state().told_to_close() => {},
    }
}
