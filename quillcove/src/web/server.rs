//! Starting HTTP servers.

use std::net::SocketAddr;

use dropshot::{
    ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder, ServerContext,
};
use eyre::WrapErr;
use http::Method;
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Logger;

/// Methods that plain services may be called with.
pub const ANY_METHOD: [Method; 6] =
    [Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE, Method::HEAD];

/// The rest of a path, which handlers read with [`rest_of`].
#[derive(Debug, Deserialize, JsonSchema)]
pub struct RestPath {
    /// Segments, decoded.
    pub path: Vec<String>,
}

/// The path and query of a request as they were sent, without the first segments. Decoded
/// segments can not be put together again, because an encoded slash would become a real one.
///
/// ```
/// use quillcove::web::server::rest_of;
///
/// let uri = "/svc/booking/trips/a%2Fb?day=2".parse().unwrap();
/// assert_eq!(rest_of(&uri, 2), "trips/a%2Fb?day=2");
/// ```
pub fn rest_of(uri: &http::Uri, segments: usize) -> &str {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    path.splitn(segments + 2, '/').nth(segments + 1).unwrap_or("")
}

/// Registers one handler. A macro, because dropshot does not name the handlers' trait.
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
        // A wildcard path can not be described to clients.
        endpoint.visible = false;
        $api.register(endpoint).map_err(|error| eyre::eyre!("can not register {}: {error}", $path))
    }};
}
pub(crate) use register;

/// Registers one handler for any method on a path with a wildcard.
macro_rules! register_any_method {
    ($api:expr, $name:expr, $path:expr, $handler:expr) => {
        for method in $crate::web::server::ANY_METHOD {
            let name = format!("{}_{method}", $name);
            $crate::web::server::register!($api, name, method, $path, $handler)?;
        }
    };
}
pub(crate) use register_any_method;

/// Starts a server.
///
/// # Errors
///
/// When the address can not be bound; an address in use also tells that another process with the
/// same duty runs on the host.
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
    server.wrap_err_with(|| format!("can not listen on {address}"))
}
