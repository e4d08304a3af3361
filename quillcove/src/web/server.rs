//! HTTP servers: starting them, and registering handlers on wildcard paths.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder, ServerContext,
};
use eyre::WrapErr;
use http::Method;
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Logger;

/// HTTP methods that a service may be called with.
pub const ANY_METHOD: [Method; 6] =
    [Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE, Method::HEAD];

/// Path parameter of a wildcard; handlers use [`path_after`] to get that part undecoded.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct WildcardPath {
    /// Path segments, percent-decoded.
    pub path: Vec<String>,
}

/// Returns the path and query of a request as sent, without the first `segments` segments. The
/// decoded segments cannot be joined instead, because an encoded slash would become a separator.
///
/// ```
/// use quillcove::web::server::path_after;
///
/// let uri = "/svc/booking/trips/a%2Fb?day=2".parse().unwrap();
/// assert_eq!(path_after(&uri, 2), "trips/a%2Fb?day=2");
/// ```
pub fn path_after(uri: &http::Uri, segments: usize) -> &str {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    path.splitn(segments + 2, '/').nth(segments + 1).unwrap_or("")
}

/// Registers a handler for one method. This is a macro because dropshot does not export the handler trait.
macro_rules! register {
    ($api:expr, $name:expr, $method:expr, $path:expr, $handler:expr) => {{
        let mut endpoint = dropshot::ApiEndpoint::new(
            $name.to_string(),
            $handler,
            $method,
            "application/octet-stream",
            $path,
            dropshot::ApiEndpointVersions::All,
        );
        // OpenAPI cannot describe a wildcard path.
        endpoint.visible = false;
        $api.register(endpoint).map_err(|error| eyre::eyre!("cannot register {}: {error}", $path))
    }};
}
pub(crate) use register;

/// Registers a handler for every method in [`ANY_METHOD`] on a wildcard path.
macro_rules! register_any_method {
    ($api:expr, $name:expr, $path:expr, $handler:expr) => {
        for method in $crate::web::server::ANY_METHOD {
            let name = format!("{}_{method}", $name);
            $crate::web::server::register!($api, name, method, $path, $handler)?;
        }
    };
}
pub(crate) use register_any_method;

/// Starts an HTTP server.
///
/// # Errors
///
/// Fails if the address cannot be bound. An address that is in use also means that another process
/// with the same role is running on the host.
///
/// ```
/// use dropshot::ApiDescription;
///
/// quillcove::duty::run_async(1, async {
///     let log = slog::Logger::root(slog::Discard, slog::o!());
///     let address = "127.0.0.1:0".parse().unwrap();
///     let api = ApiDescription::<()>::new();
///     assert!(quillcove::web::server::start(api, (), address, 1024, &log).is_ok());
/// });
/// ```
pub fn start<C: ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
    body_limit: usize,
    log: &Logger,
) -> eyre::Result<HttpServer<C>> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: body_limit,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api, context, log.clone()).config(config).start();
    server.wrap_err_with(|| format!("cannot listen on {address}"))
}
