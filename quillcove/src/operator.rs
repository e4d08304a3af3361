//! The operator endpoint of a process: health, readiness, metrics and a dump of its state.

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{ApiDescription, Body, HttpServer, RequestContext, endpoint};
use eyre::eyre;
use futures::future::BoxFuture;
use http::{Response, StatusCode};
use slog::Logger;

use crate::logging::quiet;
use crate::metrics::ProcessMetrics;
use crate::web::answer::{HandlerResult, internal_error, json_response};
use crate::web::server;

/// Limit for request bodies, in bytes. No handler of this endpoint reads a body.
const BODY_LIMIT_BYTES: usize = 1024;

/// Access of the operator endpoint to its process.
pub trait ProcessInspector: Send + Sync + 'static {
    /// Returns the complete state of the process.
    fn state(&self) -> BoxFuture<'_, serde_json::Value>;

    /// Returns whether the process accepts new work.
    fn is_ready(&self) -> bool;
}

/// Shared context of the endpoint's handlers.
pub struct OperatorContext {
    inspector: Box<dyn ProcessInspector>,
    metrics: Arc<ProcessMetrics>,
}

type Context = Arc<OperatorContext>;

#[endpoint { method = GET, path = "/healthz" }]
async fn check_health(_context: RequestContext<Context>) -> HandlerResult {
    plain_text(StatusCode::OK, "ok\n".to_string())
}

#[endpoint { method = GET, path = "/readyz" }]
async fn check_ready(context: RequestContext<Context>) -> HandlerResult {
    match context.context().inspector.is_ready() {
        true => plain_text(StatusCode::OK, "ready\n".to_string()),
        false => plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_string()),
    }
}

#[endpoint { method = GET, path = "/metrics" }]
async fn read_metrics(context: RequestContext<Context>) -> HandlerResult {
    plain_text(StatusCode::OK, context.context().metrics.text())
}

#[endpoint { method = GET, path = "/state" }]
async fn read_state(context: RequestContext<Context>) -> HandlerResult {
    json_response(&context.context().inspector.state().await)
}

fn plain_text(status: StatusCode, text: String) -> HandlerResult {
    let response = Response::builder().status(status);
    let response = response.header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4");
    response.body(Body::from(text)).map_err(internal_error)
}

/// Starts the HTTP server of the operator endpoint.
///
/// # Errors
///
/// Fails if the address cannot be bound.
///
/// ```no_run
/// # fn run(inspector: impl quillcove::operator::ProcessInspector) {
/// use std::sync::Arc;
/// use quillcove::metrics::ProcessMetrics;
///
/// let metrics = Arc::new(ProcessMetrics::new("entry").unwrap());
/// let log = quillcove::logging::silent();
/// let address = "127.0.0.1:0".parse().unwrap();
/// quillcove::operator::start(address, inspector, metrics, &log).unwrap();
/// # }
/// ```
pub fn start(
    address: SocketAddr,
    inspector: impl ProcessInspector,
    metrics: Arc<ProcessMetrics>,
    log: &Logger,
) -> eyre::Result<HttpServer<Arc<OperatorContext>>> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(check_health)
        .and_then(|()| api.register(check_ready))
        .and_then(|()| api.register(read_metrics))
        .and_then(|()| api.register(read_state));
    registered.map_err(|error| eyre!("cannot register a path: {error}"))?;
    let context = Arc::new(OperatorContext { inspector: Box::new(inspector), metrics });
    server::start(api, context, address, BODY_LIMIT_BYTES, &quiet(log))
}
