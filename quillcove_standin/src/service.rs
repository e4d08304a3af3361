//! Stand-in for a plain service that counts how often each booking ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dropshot::{
    ApiDescription, ApiEndpoint, ApiEndpointVersions, HttpServer, Path, RequestContext,
    UntypedBody, endpoint,
};
use http::{Method, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::http::{Answer, json, plain, serve};

/// Header that names a booking.
pub const BOOKING_HEADER: &str = "x-booking";

/// State of the service.
#[derive(Debug, Default)]
pub struct ServiceState {
    delay: Duration,
    counts: Mutex<BTreeMap<String, u64>>,
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
    json(StatusCode::OK, &receipt)
}

#[endpoint { method = GET, path = "/admin-counts" }]
async fn read_counts(context: RequestContext<Context>) -> Answer {
    json(StatusCode::OK, &context.context().counts())
}

#[endpoint { method = GET, path = "/healthz" }]
async fn check_health(_context: RequestContext<Context>) -> Answer {
    plain(StatusCode::OK, "ok")
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
    let fixed = api.register(read_counts).and_then(|()| api.register(check_health));
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
