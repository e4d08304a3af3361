//! HTTP client for requests to agents, upstreams and the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::ext::on_informational;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::Notify;

use super::body::collect;
use super::framing::check_head;

/// Largest response body, in bytes. The largest known one is the listing of the store: 790 replicas with up to 400 adapters
/// each and a configuration of some thousand routes take less than half of it.
const RESPONSE_SIZE_LIMIT: usize = 32 << 20;

/// Largest report of an engine, in bytes: 400 adapters and some hundred runs take less than a quarter of it.
pub const REPORT_SIZE_LIMIT: usize = 512 << 10;

/// Number of interim responses before a final one from which on the connection is closed. A sound server sends a few.
const MAX_INTERIM_RESPONSES: usize = 16;

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct WebClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    /// Largest body that is read in full, in bytes.
    max_body_bytes: usize,
}

/// Why a request has no usable response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WebError {
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("no answer: {0}")]
    Lost(String),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(StatusCode),
}

impl WebClient {
    /// Creates a client with a timeout for connecting and one after which idle connections are
    /// closed; an idle timeout of zero turns connection reuse off.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// quillcove::web::client::WebClient::new(Duration::from_millis(300), Duration::from_secs(5));
    /// ```
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        match idle_timeout.is_zero() {
            true => builder.pool_max_idle_per_host(0),
            false => builder.pool_idle_timeout(idle_timeout),
        };
        Self { inner: builder.build(connector), max_body_bytes: RESPONSE_SIZE_LIMIT }
    }

    /// Sets the size up to which [`WebClient::fetch`] reads a body, in bytes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::web::client::{REPORT_SIZE_LIMIT, WebClient};
    ///
    /// let second = Duration::from_secs(1);
    /// WebClient::new(second, second).with_body_limit(REPORT_SIZE_LIMIT);
    /// ```
    pub fn with_body_limit(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sends a request and returns the response as soon as its headers have arrived.
    ///
    /// # Errors
    ///
    /// [`WebError::NotSent`] only if no byte can have been sent, else [`WebError::Lost`], also for a response whose head
    /// does not tell where its body ends.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::web::client::{WebClient, WebError};
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let client = WebClient::new(Duration::from_millis(300), Duration::from_secs(5));
    ///     let request = http::Request::get("http://127.0.0.1:1/").body(Default::default());
    ///     let answer = client.send(request.unwrap()).await;
    ///     assert!(matches!(answer, Err(WebError::NotSent(_))));
    /// });
    /// ```
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, WebError> {
        let excess = count_interim(&mut request);
        let response = tokio::select! {
            response = self.inner.request(request) => response,
            () = excess.notified() => {
                return Err(WebError::Lost("too many interim responses".to_string()));
            },
        };
        let response = response.map_err(|error| match error.is_connect() {
            true => WebError::NotSent(describe(&error)),
            false => WebError::Lost(describe(&error)),
        })?;
        match check_head(response.status(), response.headers()) {
            Ok(_) => Ok(response),
            Err(fault) => Err(WebError::Lost(fault.to_string())),
        }
    }

    /// Sends a request and reads the complete response within a time limit, of at most 32 MiB unless another limit was set.
    ///
    /// # Errors
    ///
    /// The errors of [`WebClient::send`]; [`WebError::Lost`] also after a timeout or if the body is
    /// incomplete or too large. The status is not checked.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::web::client::WebClient;
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let client = WebClient::new(Duration::from_millis(300), Duration::from_secs(5));
    ///     let limit = Duration::from_secs(1);
    ///     let answer = client.fetch(http::Method::GET, "http://127.0.0.1:1/", "", limit).await;
    ///     assert!(answer.is_err());
    /// });
    /// ```
    pub async fn fetch(
        &self,
        method: Method,
        uri: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, WebError> {
        let request = Request::builder().method(method).uri(uri).body(Full::new(body.into()));
        let request = request.map_err(|error| WebError::NotSent(error.to_string()))?;
        let exchange = async {
            let response = self.send(request).await?;
            let (parts, body) = response.into_parts();
            let body = collect(body, self.max_body_bytes).await;
            let body = body.map_err(|error| WebError::Lost(error.to_string()))?;
            Ok(Response::from_parts(parts, body))
        };
        let outcome = tokio::time::timeout(limit, exchange).await;
        outcome.unwrap_or_else(|_| Err(WebError::Lost("time is up".to_string())))
    }
}

/// Counts the interim responses to a request, and notifies once there are too many.
fn count_interim(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (notify, count) = (excess.clone(), AtomicUsize::new(0));
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            notify.notify_one();
        }
    });
    excess
}

/// Formats an error with the chain of its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
