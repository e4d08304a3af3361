//! Stand-in for a model engine: it batches continuously, holds adapters in slots, takes fenced
//! orders and loses everything on a restart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, Body, HttpServer, RequestContext, TypedBody, UntypedBody, endpoint,
};
use http::StatusCode;
use quillcove_core::adapter::AdapterRef;
use quillcove_core::agent::event::{EngineOrder, EngineReport, OrderKind};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::json as object;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval};

use crate::http::{Answer, PlainClient, client, internal, json, plain, send, serve};

/// Tokens of a request that names no limit.
const DEFAULT_TOKENS: usize = 16;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Adapter slots.
    pub slots: usize,
    /// Requests in one batch.
    pub batch: usize,
    /// Time of one step, in which each request of the batch gets a token.
    pub step: Duration,
    /// Whether orders below the highest fence are refused.
    pub checks_fence: bool,
    /// Age of what a report shows.
    pub report_lag: Duration,
    /// Weight store, as `http://address`.
    pub store: String,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            batch: 8,
            step: Duration::from_millis(5),
            checks_fence: true,
            report_lag: Duration::from_millis(200),
            store: String::new(),
        }
    }
}

/// One request in the engine.
struct EngineRun {
    adapter: AdapterRef,
    priority: u8,
    left: usize,
    tokens: mpsc::UnboundedSender<usize>,
}

/// What an engine counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Steps with at least one request.
    pub steps: u64,
    /// Requests in those steps, summed.
    pub places_used: u64,
    /// Places in those steps, summed.
    pub places: u64,
    /// Loads done.
    pub loads: u64,
    /// Orders refused by their fence.
    pub stale_orders: u64,
    /// Requests cut because their adapter was unloaded under them.
    pub cut_by_unload: u64,
    /// Requests answered whole.
    pub completed: u64,
}

#[derive(Default)]
struct EngineInner {
    report: EngineReport,
    shown: EngineReport,
    shown_at: Option<Instant>,
    queue: Vec<EngineRun>,
    batch: Vec<EngineRun>,
    counts: EngineCounts,
    failing_loads: u32,
}

/// State of an engine.
pub struct EngineState {
    settings: EngineSettings,
    inner: Mutex<EngineInner>,
    client: PlainClient,
}

type Context = Arc<EngineState>;

impl EngineState {
    /// An engine with nothing loaded.
    ///
    /// ```
    /// use quillcove_standin::engine::{EngineSettings, EngineState};
    ///
    /// let engine = EngineState::new(EngineSettings::default());
    /// assert_eq!(engine.counts().loads, 0);
    /// ```
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        let inner = EngineInner { report: empty_report(&settings), ..EngineInner::default() };
        Arc::new(Self { settings, inner: Mutex::new(inner), client: client() })
    }

    /// Restarts the engine: all requests are cut and nothing is loaded.
    ///
    /// ```
    /// use quillcove_standin::engine::{EngineSettings, EngineState};
    ///
    /// EngineState::new(EngineSettings::default()).restart();
    /// ```
    pub fn restart(&self) {
        let mut inner = self.inner.lock().unwrap();
        let counts = inner.counts;
        *inner = EngineInner { report: empty_report(&self.settings), ..EngineInner::default() };
        inner.counts = counts;
    }

    /// Makes the next loads fail.
    ///
    /// ```
    /// use quillcove_standin::engine::{EngineSettings, EngineState};
    ///
    /// EngineState::new(EngineSettings::default()).fail_loads(1);
    /// ```
    pub fn fail_loads(&self, count: u32) {
        self.inner.lock().unwrap().failing_loads = count;
    }

    /// What was counted so far.
    ///
    /// ```
    /// use quillcove_standin::engine::{EngineSettings, EngineState};
    ///
    /// assert_eq!(EngineState::new(EngineSettings::default()).counts().completed, 0);
    /// ```
    pub fn counts(&self) -> EngineCounts {
        self.inner.lock().unwrap().counts
    }

    /// One step of the batch.
    fn step(&self) {
        let mut inner = self.inner.lock().unwrap();
        let inner = &mut *inner;
        inner.queue.retain(|run| !run.tokens.is_closed());
        inner.batch.retain(|run| !run.tokens.is_closed());
        while inner.batch.len() < self.settings.batch && !inner.queue.is_empty() {
            let next =
                inner.queue.iter().enumerate().min_by_key(|(place, run)| (run.priority, *place));
            let place = next.map_or(0, |(place, _)| place);
            inner.batch.push(inner.queue.remove(place));
        }
        if inner.batch.is_empty() {
            return;
        }
        inner.counts.steps += 1;
        inner.counts.places_used += inner.batch.len() as u64;
        inner.counts.places += self.settings.batch as u64;
        for run in &mut inner.batch {
            run.left -= 1;
            let _ = run.tokens.send(run.left);
        }
        let before = inner.batch.len();
        inner.batch.retain(|run| run.left > 0);
        inner.counts.completed += (before - inner.batch.len()) as u64;
    }

    /// The report as it was a while ago.
    fn lagging_report(&self) -> EngineReport {
        let mut inner = self.inner.lock().unwrap();
        let is_old = inner.shown_at.is_none_or(|at| at.elapsed() >= self.settings.report_lag);
        if is_old || inner.shown.incarnation != inner.report.incarnation {
            let mut running: BTreeMap<AdapterRef, usize> = BTreeMap::new();
            for run in inner.queue.iter().chain(&inner.batch) {
                *running.entry(run.adapter.clone()).or_default() += 1;
            }
            inner.shown = inner.report.clone();
            inner.shown.running = running.into_iter().collect();
            inner.shown_at = Some(Instant::now());
        }
        inner.shown.clone()
    }

    /// Checks an order's fence; `false` when it is refused.
    fn pass_fence(&self, order: &EngineOrder) -> bool {
        let mut inner = self.inner.lock().unwrap();
        if !self.settings.checks_fence {
            return true;
        }
        let passes = order.fence > inner.report.highest_fence;
        match passes {
            true => inner.report.highest_fence = order.fence,
            false => inner.counts.stale_orders += 1,
        }
        passes
    }

    fn unload(&self, adapter: &AdapterRef) {
        let mut inner = self.inner.lock().unwrap();
        let uses = |run: &EngineRun| run.adapter == *adapter;
        let cut = inner.batch.iter().chain(&inner.queue).filter(|run| uses(run)).count();
        inner.counts.cut_by_unload += cut as u64;
        inner.batch.retain(|run| !uses(run));
        inner.queue.retain(|run| !uses(run));
        inner.report.loaded.retain(|loaded| loaded != adapter);
    }

    /// Loads an adapter through the weight store; `false` when the load failed.
    async fn load(&self, order: &EngineOrder, adapter: &AdapterRef) -> bool {
        let incarnation = self.inner.lock().unwrap().report.incarnation;
        let uri = format!("{}/weights/{adapter}", self.settings.store);
        if !self.settings.store.is_empty() {
            let fetched = send(&self.client, http::Method::GET, &uri, Vec::new()).await;
            if !fetched.is_ok_and(|(status, _)| status.is_success()) {
                return false;
            }
        }
        let mut inner = self.inner.lock().unwrap();
        if inner.failing_loads > 0 {
            inner.failing_loads -= 1;
            return false;
        }
        let is_overtaken = inner.report.incarnation != incarnation
            || (self.settings.checks_fence && inner.report.highest_fence != order.fence);
        if is_overtaken {
            return false;
        }
        if inner.report.loaded.contains(adapter) {
            return true;
        }
        if inner.report.loaded.len() >= self.settings.slots {
            return false;
        }
        inner.report.loaded.push(adapter.clone());
        inner.counts.loads += 1;
        true
    }
}

fn empty_report(settings: &EngineSettings) -> EngineReport {
    EngineReport {
        incarnation: rand::random::<u32>().max(1).into(),
        slots: settings.slots,
        batch: settings.batch,
        ..EngineReport::default()
    }
}

#[endpoint { method = GET, path = "/report" }]
async fn read_report(context: RequestContext<Context>) -> Answer {
    json(StatusCode::OK, &context.context().lagging_report())
}

#[endpoint { method = GET, path = "/counts" }]
async fn read_counts(context: RequestContext<Context>) -> Answer {
    json(StatusCode::OK, &context.context().counts())
}

#[endpoint { method = POST, path = "/orders" }]
async fn take_order(context: RequestContext<Context>, body: UntypedBody) -> Answer {
    let state = context.context();
    let order: EngineOrder = serde_json::from_slice(body.as_bytes()).map_err(internal)?;
    if !state.pass_fence(&order) {
        let highest = state.inner.lock().unwrap().report.highest_fence;
        return json(StatusCode::CONFLICT, &highest);
    }
    let is_done = match &order.kind {
        OrderKind::Load(adapter) => state.load(&order, adapter).await,
        OrderKind::Unload(adapter) => {
            state.unload(adapter);
            true
        },
        OrderKind::Claim => true,
    };
    match is_done {
        true => plain(StatusCode::OK, "done"),
        false => plain(StatusCode::INTERNAL_SERVER_ERROR, "load failed"),
    }
}

#[derive(Deserialize, JsonSchema)]
struct AdminBody {
    restart: Option<bool>,
    fail_loads: Option<u32>,
}

#[endpoint { method = PUT, path = "/admin/mode" }]
async fn change_mode(context: RequestContext<Context>, body: TypedBody<AdminBody>) -> Answer {
    let body = body.into_inner();
    if body.restart == Some(true) {
        context.context().restart();
    }
    body.fail_loads.inspect(|count| context.context().fail_loads(*count));
    plain(StatusCode::OK, "")
}

/// The parts of a completion request that the stand-in reads.
#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    user: String,
    #[serde(default)]
    priority: u8,
}

#[endpoint { method = POST, path = "/v1/completions" }]
async fn complete(context: RequestContext<Context>, body: UntypedBody) -> Answer {
    answer(context.context(), body.as_bytes(), false).await
}

#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn complete_chat(context: RequestContext<Context>, body: UntypedBody) -> Answer {
    answer(context.context(), body.as_bytes(), true).await
}

async fn answer(state: &Context, body: &[u8], is_chat: bool) -> Answer {
    let body: CompletionBody = serde_json::from_slice(body)
        .map_err(|error| dropshot::HttpError::for_bad_request(None, error.to_string()))?;
    let count = body.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
    let Some(tokens) = enqueue(state, &body, count) else {
        let error = object!({ "error": { "message": "not loaded", "code": "model_not_found" } });
        return json(StatusCode::NOT_FOUND, &error);
    };
    let text = format!("{}|{} ", body.model, body.user);
    match body.stream {
        true => stream_answer(tokens, body.model, text, is_chat),
        false => whole_answer(tokens, body.model, &text, count, is_chat).await,
    }
}

fn enqueue(
    state: &EngineState,
    body: &CompletionBody,
    count: usize,
) -> Option<mpsc::UnboundedReceiver<usize>> {
    let adapter: AdapterRef = body.model.parse().ok()?;
    let mut inner = state.inner.lock().unwrap();
    if !inner.report.loaded.contains(&adapter) {
        return None;
    }
    let (tokens, receiver) = mpsc::unbounded_channel();
    inner.queue.push(EngineRun { adapter, priority: body.priority, left: count, tokens });
    Some(receiver)
}

async fn whole_answer(
    mut tokens: mpsc::UnboundedReceiver<usize>,
    model: String,
    text: &str,
    count: usize,
    is_chat: bool,
) -> Answer {
    let mut received = 0;
    while tokens.recv().await.is_some() {
        received += 1;
    }
    if received < count {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, "cut");
    }
    let text = text.repeat(count);
    let choice = match is_chat {
        true => object!({ "index": 0, "finish_reason": "stop",
            "message": { "role": "assistant", "content": text } }),
        false => object!({ "index": 0, "finish_reason": "stop", "text": text }),
    };
    let kind = if is_chat { "chat.completion" } else { "text_completion" };
    let usage = object!({ "prompt_tokens": 1, "completion_tokens": count,
        "total_tokens": count + 1 });
    json(
        StatusCode::OK,
        &object!({ "id": "cmpl-standin", "object": kind, "created": 0,
        "model": model, "choices": [choice], "usage": usage }),
    )
}

fn stream_answer(
    tokens: mpsc::UnboundedReceiver<usize>,
    model: String,
    text: String,
    is_chat: bool,
) -> Answer {
    let kind = if is_chat { "chat.completion.chunk" } else { "text_completion" };
    let event = move |left: usize| {
        let finish = if left == 0 { object!("stop") } else { object!(null) };
        let choice = match is_chat {
            true => object!({ "index": 0, "finish_reason": finish, "delta": { "content": text } }),
            false => object!({ "index": 0, "finish_reason": finish, "text": text }),
        };
        let chunk = object!({ "id": "cmpl-standin", "object": kind, "created": 0,
            "model": model, "choices": [choice] });
        let end = if left == 0 { "data: [DONE]\n\n" } else { "" };
        format!("data: {chunk}\n\n{end}")
    };
    // A sender that goes before its last token cuts the body off with an error.
    let events = futures::stream::unfold((tokens, false), move |(mut tokens, is_over)| {
        let event = event.clone();
        async move {
            if is_over {
                return None;
            }
            match tokens.recv().await {
                Some(left) => {
                    let frame = http_body::Frame::data(Bytes::from(event(left)));
                    Some((Ok(frame), (tokens, left == 0)))
                },
                None => Some((Err(std::io::Error::other("cut")), (tokens, true))),
            }
        }
    });
    let body = Body::wrap(http_body_util::StreamBody::new(Box::pin(events)));
    let response = http::Response::builder();
    let response = response.header(http::header::CONTENT_TYPE, "text/event-stream");
    response.body(body).map_err(internal)
}

/// Starts an engine, with its steps in a task of their own.
///
/// # Errors
///
/// A text that says why the address can not be served.
///
/// ```
/// use quillcove_standin::engine::{EngineSettings, EngineState, start};
///
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// let _guard = runtime.enter();
/// let engine = EngineState::new(EngineSettings::default());
/// assert!(start(engine, "127.0.0.1:0".parse().unwrap()).is_ok());
/// ```
pub fn start(
    state: Arc<EngineState>,
    address: SocketAddr,
) -> Result<HttpServer<Arc<EngineState>>, String> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(read_report)
        .and_then(|()| api.register(read_counts))
        .and_then(|()| api.register(take_order))
        .and_then(|()| api.register(change_mode))
        .and_then(|()| api.register(complete))
        .and_then(|()| api.register(complete_chat));
    registered.map_err(|error| error.to_string())?;
    let stepper = Arc::downgrade(&state);
    let mut steps = interval(state.settings.step);
    tokio::spawn(async move {
        loop {
            steps.tick().await;
            match stepper.upgrade() {
                Some(state) => state.step(),
                None => return,
            }
        }
    });
    serve(api, state, address)
}
