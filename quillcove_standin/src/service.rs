//! Stand-in for a plain service that counts how often each booking ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, Body, HttpServer, Path, RequestContext,
    TypedBody, UntypedBody, endpoint,
};
use http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::http::{Answer, json, plain, serve};

/// Header that names a booking.
pub const BOOKING_HEADER: &str = "x-booking";

/// Header by which the service says that it leaves.
pub const LEAVING_HEADER: &str = "quillcove-leaving";

/// Header by which the service names the requests a second that it takes.
pub const LIMIT_HEADER: &str = "quillcove-limit";

/// What the service says of itself with each answer.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
pub struct ServiceWords {
    /// It leaves.
    #[serde(default)]
    pub leaving: bool,
    /// It turns calls away and wants rest for so long, as the header has it.
    pub rest: Option<String>,
    /// Requests a second that it takes, as the header has it.
    pub limit: Option<String>,
}

/// State of the service.
#[derive(Debug, Default)]
pub struct ServiceState {
    delay: Duration,
    counts: Mutex<BTreeMap<String, u64>>,
    calls: AtomicU64,
    words: Mutex<ServiceWords>,
}

type Context = Arc<ServiceState>;

impl ServiceState {
    /// A service that takes this long for each call.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_standin::service::ServiceState;
    ///
    /// assert!(ServiceState::new(Duration::ZERO).counts().is_empty());
    /// ```
    pub fn new(delay: Duration) -> Arc<Self> {
        Arc::new(Self { delay, ..Self::default() })
    }

    /// How often each booking ran.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_standin::service::ServiceState;
    ///
    /// assert!(ServiceState::new(Duration::ZERO).counts().is_empty());
    /// ```
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().unwrap().clone()
    }

    /// Calls that came, whether they ran or not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_standin::service::ServiceState;
    ///
    /// assert_eq!(ServiceState::new(Duration::ZERO).calls(), 0);
    /// ```
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Has it say this from now on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_standin::service::{ServiceState, ServiceWords};
    ///
    /// ServiceState::new(Duration::ZERO).say(ServiceWords { leaving: true, ..ServiceWords::default() });
    /// ```
    pub fn say(&self, words: ServiceWords) {
        *self.words.lock().unwrap() = words;
    }
}

#[derive(Deserialize, JsonSchema)]
struct AnyPath {
    path: Vec<String>,
}

#[derive(Serialize)]
struct Receipt {
    method: String,
    path: String,
    booking: Option<String>,
    body: String,
}

async fn take_call(
    context: RequestContext<Context>,
    path: Path<AnyPath>,
    body: UntypedBody,
) -> Answer {
    let state = context.context().clone();
    state.calls.fetch_add(1, Ordering::Relaxed);
    let words = state.words.lock().unwrap().clone();
    if let Some(rest) = &words.rest {
        let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "full")?;
        add_header(&mut answer, RETRY_AFTER, rest);
        return Ok(answer);
    }
    let booking = context.request.headers().get(BOOKING_HEADER);
    let booking = booking.and_then(|value| value.to_str().ok()).map(String::from);
    if let Some(booking) = &booking {
        *state.counts.lock().unwrap().entry(booking.clone()).or_default() += 1;
    }
    // Even a sleep of nothing takes up to a millisecond.
    if !state.delay.is_zero() {
        sleep(state.delay).await;
    }
    let receipt = Receipt {
        method: context.request.method().to_string(),
        path: path.into_inner().path.join("/"),
        booking,
        body: String::from_utf8_lossy(body.as_bytes()).into_owned(),
    };
    let mut answer = json(StatusCode::OK, &receipt)?;
    if words.leaving {
        add_header(&mut answer, HeaderName::from_static(LEAVING_HEADER), "yes");
    }
    if let Some(limit) = &words.limit {
        add_header(&mut answer, HeaderName::from_static(LIMIT_HEADER), limit);
    }
    Ok(answer)
}

fn add_header(answer: &mut Response<Body>, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        answer.headers_mut().insert(name, value);
    }
}

#[endpoint { method = PUT, path = "/admin-words" }]
async fn set_words(context: RequestContext<Context>, words: TypedBody<ServiceWords>) -> Answer {
    context.context().say(words.into_inner());
    plain(StatusCode::OK, "ok")
}

#[endpoint { method = GET, path = "/admin-calls" }]
async fn read_calls(context: RequestContext<Context>) -> Answer {
    json(StatusCode::OK, &context.context().calls())
}

#[endpoint { method = GET, path = "/admin-counts" }]
async fn read_counts(context: RequestContext<Context>) -> Answer {
    json(StatusCode::OK, &context.context().counts())
}

#[endpoint { method = GET, path = "/healthz" }]
async fn check_health(context: RequestContext<Context>) -> Answer {
    let mut answer = plain(StatusCode::OK, "ok")?;
    if context.context().words.lock().unwrap().leaving {
        add_header(&mut answer, HeaderName::from_static(LEAVING_HEADER), "yes");
    }
    Ok(answer)
}

/// Starts the service.
///
/// # Errors
///
/// A text that says why the address can not be served.
///
/// ```
/// use std::time::Duration;
/// use quillcove_standin::service::{ServiceState, start};
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// let _guard = runtime.enter();
/// assert!(start(ServiceState::new(Duration::ZERO), "127.0.0.1:0".parse().unwrap()).is_ok());
/// ```
pub fn start(
    state: Arc<ServiceState>,
    address: SocketAddr,
) -> Result<HttpServer<Arc<ServiceState>>, String> {
    let mut api = ApiDescription::new();
    let fixed = api
        .register(read_counts)
        .and_then(|()| api.register(read_calls))
        .and_then(|()| api.register(set_words))
        .and_then(|()| api.register(check_health));
    fixed.map_err(|error| error.to_string())?;
    for method in [Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE] {
        let mut any = ApiEndpoint::new(
            format!("call_{method}"),
            take_call,
            method,
            "application/octet-stream",
            "/do/{path:.*}",
            ApiEndpointVersions::All,
        );
        any.visible = false;
        api.register(any).map_err(|error| error.to_string())?;
    }
    serve(api, state, address)
}
