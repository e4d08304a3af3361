//! HTTP helpers that the stand-ins share.

use std::net::SocketAddr;

use bytes::Bytes;
use dropshot::{ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// Largest request body a stand-in takes, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Client for requests to other stand-ins.
pub type PlainClient = Client<HttpConnector, Full<Bytes>>;

/// Makes a client.
///
/// ```
/// let _client = quillcove_standin::http::client();
/// ```
pub fn client() -> PlainClient {
    Client::builder(TokioExecutor::new()).build(HttpConnector::new())
}

/// Sends a request with a body and returns status and body.
///
/// # Errors
///
/// A text that says what went wrong.
///
/// ```
/// use quillcove_standin::http::{client, send};
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// let nobody = "http://127.0.0.1:1/";
/// let answer = runtime.block_on(send(&client(), http::Method::GET, nobody, Vec::new()));
/// assert!(answer.is_err());
/// ```
pub async fn send(
    client: &PlainClient,
    method: http::Method,
    uri: &str,
    body: Vec<u8>,
) -> Result<(http::StatusCode, Bytes), String> {
    let request = http::Request::builder().method(method).uri(uri);
    let request = request.body(Full::from(body)).map_err(|error| error.to_string())?;
    let response = client.request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
    Ok((status, body.to_bytes()))
}

/// Starts a server without logs.
pub(crate) fn serve<C: dropshot::ServerContext>(
    api: ApiDescription<C>,
    context: C,
    address: SocketAddr,
) -> Result<HttpServer<C>, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: BODY_LIMIT,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(api, context, log).config(config).start();
    server.map_err(|error| error.to_string())
}

/// Answer of a handler.
pub(crate) type Answer = Result<http::Response<Body>, dropshot::HttpError>;

/// A JSON answer.
pub(crate) fn json(status: http::StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let response = http::Response::builder().status(status);
    let response = response.header(http::header::CONTENT_TYPE, "application/json");
    response.body(Body::from(body)).map_err(internal)
}

/// A plain answer.
pub(crate) fn plain(status: http::StatusCode, body: impl Into<Bytes>) -> Answer {
    let response = http::Response::builder().status(status);
    response.body(Body::from(body.into())).map_err(internal)
}

/// An unexpected fault of a stand-in.
pub(crate) fn internal(error: impl std::fmt::Display) -> dropshot::HttpError {
    dropshot::HttpError::for_internal_error(error.to_string())
}
