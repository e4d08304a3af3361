//! Stand-in for the platform: configuration values that can be read and watched, a host list
//! that lags, and a weight store with a rate and a concurrency limit.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, HttpServer, Path, Query, RequestContext, TypedBody, UntypedBody, endpoint,
};
use http::StatusCode;
use quillcove_core::entry::event::HostRecord;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{Answer, internal, json, plain, serve};

/// Header with the revision of a value.
pub const REVISION_HEADER: &str = "x-revision";

/// What the platform does with reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum PlatformMode {
    /// Answers.
    #[default]
    Up,
    /// Answers no read.
    Down,
    /// Answers with what it held when it became stale.
    Stale,
}

/// Settings of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Loads a second that the weight store allows.
    pub loads_per_second: f64,
    /// Loads at the same time at full speed.
    pub loads_at_once: usize,
    /// Time of one load at full speed.
    pub load_time: Duration,
    /// How much later than a change the host list shows it.
    pub host_lag: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            loads_per_second: 3.0,
            loads_at_once: 2,
            load_time: Duration::from_millis(500),
            host_lag: Duration::ZERO,
        }
    }
}

#[derive(Clone, Default)]
struct PublishedValues {
    revision: u64,
    values: BTreeMap<String, (u64, Bytes)>,
}

/// Name under which the host list is kept.
const HOSTS_VALUE: &str = "hosts";

/// State of the platform.
pub struct PlatformState {
    settings: PlatformSettings,
    mode: Mutex<PlatformMode>,
    latest: Mutex<PublishedValues>,
    stale: Mutex<PublishedValues>,
    changed: watch::Sender<u64>,
    next_load: AsyncMutex<Option<Instant>>,
    loading: AtomicUsize,
    loads: AtomicU64,
    calls: AtomicU64,
    bytes: AtomicU64,
    slowness: Mutex<f64>,
    failing_loads: AtomicU64,
}

type Context = Arc<PlatformState>;

impl PlatformState {
    /// A platform that holds nothing.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// assert_eq!(PlatformState::new(PlatformSettings::default()).loads(), 0);
    /// ```
    pub fn new(settings: PlatformSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            mode: Mutex::default(),
            latest: Mutex::default(),
            stale: Mutex::default(),
            changed: watch::channel(0).0,
            next_load: AsyncMutex::default(),
            loading: AtomicUsize::new(0),
            loads: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            slowness: Mutex::new(1.0),
            failing_loads: AtomicU64::new(0),
        })
    }

    /// Publishes a value, as operators do.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// PlatformState::new(PlatformSettings::default()).publish("key", "value");
    /// ```
    pub fn publish(&self, key: &str, value: impl Into<Bytes>) {
        let mut latest = self.latest.lock().unwrap();
        latest.revision += 1;
        let revision = latest.revision;
        latest.values.insert(key.to_string(), (revision, value.into()));
        drop(latest);
        self.changed.send_replace(revision);
    }

    /// Sets the host list, which readers see after the lag.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// PlatformState::new(PlatformSettings::default()).set_hosts(&[]);
    /// ```
    pub fn set_hosts(&self, hosts: &[HostRecord]) {
        let list = serde_json::to_vec(hosts).unwrap_or_default();
        self.publish(HOSTS_VALUE, list);
    }

    /// Sets what the platform does with reads.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformMode, PlatformSettings, PlatformState};
    ///
    /// PlatformState::new(PlatformSettings::default()).set_mode(PlatformMode::Down);
    /// ```
    pub fn set_mode(&self, mode: PlatformMode) {
        if mode == PlatformMode::Stale {
            *self.stale.lock().unwrap() = self.latest.lock().unwrap().clone();
        }
        *self.mode.lock().unwrap() = mode;
    }

    /// Makes loads slower by a factor.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// PlatformState::new(PlatformSettings::default()).set_slowness(3.0);
    /// ```
    pub fn set_slowness(&self, factor: f64) {
        *self.slowness.lock().unwrap() = factor;
    }

    /// Makes the next loads fail.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// PlatformState::new(PlatformSettings::default()).fail_loads(2);
    /// ```
    pub fn fail_loads(&self, count: u64) {
        self.failing_loads.store(count, Ordering::Relaxed);
    }

    /// Loads served so far.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// assert_eq!(PlatformState::new(PlatformSettings::default()).loads(), 0);
    /// ```
    pub fn loads(&self) -> u64 {
        self.loads.load(Ordering::Relaxed)
    }

    /// Calls counted so far; a waiting watch counts as one.
    ///
    /// ```
    /// use quillcove_standin::platform::{PlatformSettings, PlatformState};
    ///
    /// assert_eq!(PlatformState::new(PlatformSettings::default()).calls(), 0);
    /// ```
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// What a read of a value sees now; the outer `None` while the platform is down.
    fn visible(&self, name: &str) -> Option<Option<(u64, Bytes)>> {
        let source = match *self.mode.lock().unwrap() {
            PlatformMode::Up => &self.latest,
            PlatformMode::Stale => &self.stale,
            PlatformMode::Down => return None,
        };
        Some(source.lock().unwrap().values.get(name).cloned())
    }

    /// Waits for the store's rate, then for the transfer, which slows when too many share it.
    async fn transfer(&self) -> bool {
        let slowness = *self.slowness.lock().unwrap();
        let interval = Duration::from_secs_f64(slowness / self.settings.loads_per_second);
        let mut next_load = self.next_load.lock().await;
        let start = next_load.map_or_else(Instant::now, |next| next.max(Instant::now()));
        *next_load = Some(start + interval);
        drop(next_load);
        sleep_until(start).await;
        let count = self.loading.fetch_add(1, Ordering::Relaxed) + 1;
        let share = (count as f64 / self.settings.loads_at_once as f64).max(1.0);
        sleep(self.settings.load_time.mul_f64(share * slowness)).await;
        self.loading.fetch_sub(1, Ordering::Relaxed);
        self.loads.fetch_add(1, Ordering::Relaxed);
        let failing =
            self.failing_loads
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        failing.is_err()
    }
}

#[derive(Deserialize, JsonSchema)]
struct NamePath {
    name: String,
}

#[derive(Deserialize, JsonSchema)]
struct WatchQuery {
    /// Revision that the reader has.
    after: Option<u64>,
    /// How long to wait for a newer one, in milliseconds.
    wait_ms: Option<u64>,
}

fn unavailable() -> Answer {
    plain(StatusCode::SERVICE_UNAVAILABLE, "platform is down")
}

#[endpoint { method = GET, path = "/values/{name}" }]
async fn read_value(
    context: RequestContext<Context>,
    path: Path<NamePath>,
    query: Query<WatchQuery>,
) -> Answer {
    watch_value(context.context(), &path.into_inner().name, query.into_inner()).await
}

#[endpoint { method = GET, path = "/hosts" }]
async fn read_hosts(context: RequestContext<Context>, query: Query<WatchQuery>) -> Answer {
    let state = context.context();
    let answer = watch_value(state, HOSTS_VALUE, query.into_inner()).await;
    sleep(state.settings.host_lag).await;
    answer
}

/// Answers with a value whose revision is not the reader's, or waits for one.
async fn watch_value(state: &Context, name: &str, query: WatchQuery) -> Answer {
    let mut changes = state.changed.subscribe();
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms.unwrap_or(0));
    state.calls.fetch_add(1, Ordering::Relaxed);
    loop {
        let Some(found) = state.visible(name) else { return unavailable() };
        if let Some((revision, value)) = found.filter(|found| query.after != Some(found.0)) {
            state.bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
            let response = http::Response::builder().header(REVISION_HEADER, revision);
            return response.body(value.into()).map_err(internal);
        }
        tokio::select! {
            _ = changes.changed() => {},
            () = sleep_until(deadline) => return plain(StatusCode::NOT_MODIFIED, ""),
        }
    }
}

#[endpoint { method = GET, path = "/weights/{name}" }]
async fn read_weights(context: RequestContext<Context>, _path: Path<NamePath>) -> Answer {
    match context.context().transfer().await {
        true => plain(StatusCode::OK, "weights"),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, "load failed"),
    }
}

#[endpoint { method = PUT, path = "/admin/values/{name}" }]
async fn publish_value(
    context: RequestContext<Context>,
    path: Path<NamePath>,
    body: UntypedBody,
) -> Answer {
    let value = Bytes::copy_from_slice(body.as_bytes());
    context.context().publish(&path.into_inner().name, value);
    plain(StatusCode::OK, "")
}

#[endpoint { method = PUT, path = "/admin/hosts" }]
async fn publish_hosts(context: RequestContext<Context>, body: UntypedBody) -> Answer {
    let hosts: Vec<HostRecord> = serde_json::from_slice(body.as_bytes()).map_err(internal)?;
    context.context().set_hosts(&hosts);
    plain(StatusCode::OK, "")
}

/// What the platform counted.
#[derive(Clone, Copy, Debug, Serialize)]
struct PlatformCounts {
    calls: u64,
    bytes: u64,
    loads: u64,
}

#[endpoint { method = GET, path = "/admin/counts" }]
async fn read_counts(context: RequestContext<Context>) -> Answer {
    let state = context.context();
    let bytes = state.bytes.load(Ordering::Relaxed);
    json(StatusCode::OK, &PlatformCounts { calls: state.calls(), bytes, loads: state.loads() })
}

#[derive(Deserialize, JsonSchema)]
struct ModeBody {
    mode: Option<PlatformMode>,
    slowness: Option<f64>,
    fail_loads: Option<u64>,
}

#[endpoint { method = PUT, path = "/admin/mode" }]
async fn change_mode(context: RequestContext<Context>, body: TypedBody<ModeBody>) -> Answer {
    let (state, body) = (context.context(), body.into_inner());
    body.mode.inspect(|mode| state.set_mode(*mode));
    body.slowness.inspect(|factor| state.set_slowness(*factor));
    body.fail_loads.inspect(|count| state.fail_loads(*count));
    plain(StatusCode::OK, "")
}

/// Starts the platform.
///
/// # Errors
///
/// A text that says why the address can not be served.
///
/// ```
/// use quillcove_standin::platform::{PlatformSettings, PlatformState, start};
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// let _guard = runtime.enter();
/// let state = PlatformState::new(PlatformSettings::default());
/// assert!(start(state, "127.0.0.1:0".parse().unwrap()).is_ok());
/// ```
pub fn start(
    state: Arc<PlatformState>,
    address: SocketAddr,
) -> Result<HttpServer<Arc<PlatformState>>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(read_value)
        .and_then(|()| api.register(read_hosts))
        .and_then(|()| api.register(read_weights))
        .and_then(|()| api.register(publish_value))
        .and_then(|()| api.register(publish_hosts))
        .and_then(|()| api.register(read_counts))
        .and_then(|()| api.register(change_mode));
    registered.map_err(|error| error.to_string())?;
    serve(api, state, address)
}
