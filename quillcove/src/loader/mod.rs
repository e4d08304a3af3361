//! The loader: a small process beside one engine. It reads the engine's report, forwards it to the
//! relays in heartbeats, and sends the engine the orders for which the load rate coordinator among
//! the relays asks.
//!
//! A single task, `serve`, interleaves reports, orders and datagrams, so that all three share one
//! state machine, [`LoaderMachine`], without locks.

mod crashes;
mod status;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dropshot::HttpServer;
use http::{HeaderMap, Method, StatusCode};
use quillcove_core::crash::watch::CrashTracker;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{
    ArrivedLoad, EngineGauges, EngineHeartbeat, EngineReport, GaugeHeartbeat, PeerMessage,
};
use quillcove_core::relay::engine_status::EngineStatus;
use quillcove_core::relay::loader::LoaderMachine;
use quillcove_core::relay::order::{LoadOrder, OrderKind, OrderOutcome};
use quillcove_core::relay::origin::{OriginBook, OriginQuestion};
use quillcove_core::relay::report_stream::ReportSender;
use quillcove_core::relay::roll::RelayMembership;
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_platform::{engine, heads};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::clock::MonoClock;
use crate::config::relay::LoaderSettings;
use crate::duty;
use crate::metrics::ProcessMetrics;
use crate::operator::{self, OperatorContext, ProcessInspector};
use crate::peers::{PeerSocket, ReceivedDatagram};
use crate::web::client::{REPORT_SIZE_LIMIT, WebClient, WebError};

/// Longest time between two heartbeats to the relays.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time between two heartbeats while requests wait for their first event: relays route new
/// requests by the number of waiting ones.
const WAITING_INTERVAL: Duration = Duration::from_millis(100);

/// Time between reads of the engine's report while loads are in progress.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout for reading the report, from the same host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for connecting to the engine, on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which an idle connection to the engine is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a loader as written to a dump.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoaderView {
    /// Last report of the engine.
    pub report: EngineReport,
    /// Relays from which a message arrived recently.
    pub relays: Vec<SocketAddr>,
    /// Whether the last read of the engine's report got a response.
    pub is_engine_up: bool,
    /// Number of streams of which the loader holds where they began.
    pub origins: usize,
    /// Last status sent to relays; `None` unless adapter slots are scarce.
    pub status: Option<EngineStatus>,
}

struct LoaderInspector {
    view: Arc<Mutex<LoaderView>>,
}

impl ProcessInspector for LoaderInspector {
    fn state(&self) -> futures::future::BoxFuture<'_, serde_json::Value> {
        let view = self.view.lock().map(|view| view.clone()).unwrap_or_default();
        Box::pin(async move { serde_json::to_value(view).unwrap_or_default() })
    }

    fn is_ready(&self) -> bool {
        self.view.lock().is_ok_and(|view| view.is_engine_up)
    }
}

/// Addresses to which a loader is bound.
#[derive(Clone, Copy, Debug)]
pub struct LoaderAddresses {
    /// Address for datagrams from relays.
    pub control: SocketAddr,
    /// Address of the HTTP server for operators.
    pub operator: SocketAddr,
}

/// Runs a loader until `stopped` becomes true; passes the bound addresses to `bound`.
///
/// # Errors
///
/// Returns an error when an address can not be bound.
///
/// ```no_run
/// use quillcove::config::relay::LoaderSettings;
///
/// let (_stop, stopped) = tokio::sync::watch::channel(false);
/// let log = quillcove::logging::silent();
/// quillcove::loader::run(LoaderSettings::default(), log, stopped, |_addresses| ()).unwrap();
/// ```
pub fn run(
    settings: LoaderSettings,
    log: Logger,
    stopped: watch::Receiver<bool>,
    bound: impl FnOnce(LoaderAddresses),
) -> eyre::Result<()> {
    duty::run_async(1, async move {
        let loader = LoaderTask::start(settings, log).await?;
        let control = loader.socket.local_addr()?;
        bound(LoaderAddresses { control, operator: loader.operator.local_addr() });
        loader.serve(stopped).await;
        Ok(())
    })
}

struct LoaderTask {
    settings: LoaderSettings,
    log: Logger,
    clock: MonoClock,
    socket: PeerSocket,
    client: WebClient,
    machine: LoaderMachine,
    metrics: Arc<ProcessMetrics>,
    view: Arc<Mutex<LoaderView>>,
    relays: RelayMembership,
    /// Crash records of requests and loads, received from relays or recorded here.
    crashes: CrashTracker,
    /// Origins of streams, held for the relays.
    origins: OriginBook,
    incarnation: u64,
    /// Number of heartbeats sent, from which each takes its sequence number.
    heartbeats: u64,
    sender: ReportSender,
    /// Loads completed since the last heartbeat.
    arrivals: Vec<ArrivedLoad>,
    last_heartbeat: MonoTime,
    is_engine_up: bool,
    /// When the engine's status was last sent.
    last_status: MonoTime,
    /// Whether the last heartbeat reported that the engine has no free adapter slot.
    was_reported_full: bool,
    /// Stops serving when dropped.
    operator: HttpServer<Arc<OperatorContext>>,
}

impl LoaderTask {
    async fn start(settings: LoaderSettings, log: Logger) -> eyre::Result<Self> {
        let socket = PeerSocket::bind(settings.listen.control).await?;
        let metrics = Arc::new(ProcessMetrics::new("loader")?);
        let view = Arc::new(Mutex::new(LoaderView::default()));
        let inspector = LoaderInspector { view: view.clone() };
        let address = settings.listen.operator;
        let operator = operator::start(address, inspector, metrics.clone(), &log)?;
        let fence = initial_fence();
        info!(log, "loader started"; "control" => %settings.listen.control,
            "engine" => %settings.engine.address, "fence" => fence);
        let incarnation = rand::random();
        Ok(Self {
            machine: LoaderMachine::new(settings.process.host.clone(), fence),
            client: WebClient::new(CONNECT_TIMEOUT, IDLE_TIMEOUT)
                .with_body_limit(REPORT_SIZE_LIMIT),
            clock: MonoClock::start(),
            socket,
            metrics,
            view,
            relays: RelayMembership::new(incarnation),
            crashes: CrashTracker::default(),
            origins: OriginBook::default(),
            incarnation,
            heartbeats: 0,
            sender: ReportSender::default(),
            arrivals: Vec::new(),
            last_heartbeat: MonoTime::ZERO,
            is_engine_up: false,
            last_status: MonoTime::ZERO,
            was_reported_full: false,
            operator,
            settings,
            log,
        })
    }

    async fn serve(mut self, mut stopped: watch::Receiver<bool>) {
        let mut next_report = Instant::now();
        loop {
            tokio::select! {
                _ = stopped.wait_for(|is_stopped| *is_stopped) => break,
                arrival = self.socket.receive() => match arrival {
                    Ok(arrival) => self.handle_datagram(arrival),
                    Err(error) => warn!(self.log, "cannot receive datagrams"; "error" => %error),
                },
                () = sleep_until(next_report) => {
                    // The delay applies after a failed read too.
                    self.read_report().await;
                    next_report = Instant::now() + self.report_delay();
                },
            }
            self.send_replies();
            while let Some(order) = self.machine.next_order(self.clock.now()) {
                let outcome = self.execute_order(&order).await;
                let is_read = self.read_report().await;
                self.send_replies();
                // The order changed the engine's state: without a report read after it, the next
                // order would be decided on outdated state.
                if outcome == OrderOutcome::Busy || !is_read {
                    break;
                }
                next_report = Instant::now() + self.report_delay();
            }
        }
        info!(self.log, "loader stopped");
    }

    /// Returns the time until the engine's report is read again.
    fn report_delay(&self) -> Duration {
        let report = self.machine.report();
        match report.incoming.is_empty() && !report.is_busy {
            true if report.waiting > 0 => WAITING_INTERVAL,
            true => self.settings.engine.report_interval,
            false => BUSY_INTERVAL,
        }
    }

    fn handle_datagram(&mut self, arrival: ReceivedDatagram) {
        let now = self.clock.now();
        let (message, from) = match arrival {
            ReceivedDatagram::Message(message, from) => (*message, from),
            ReceivedDatagram::Undecodable(from, error) => {
                warn!(self.log, "cannot decode datagram"; "from" => %from, "error" => %error);
                return;
            },
        };
        match message {
            PeerMessage::Use(heartbeat) => {
                let relay = heartbeat.relay;
                self.machine.record_uses(heartbeat, now);
                self.report_regained_room(now);
                self.record_relay(relay, now);
            },
            PeerMessage::Resend(ask) => self.send_full_report(ask.relay, now),
            // Stored so that a relay that restarts can ask for them.
            PeerMessage::Crash(records) => drop(self.crashes.apply_report(&records, now)),
            PeerMessage::CrashAsk(ask) => self.send_all_crashes(ask.relay, now),
            PeerMessage::Load(ask) => {
                info!(self.log, "load asked for"; "relay" => %from, "replica" => &ask.replica,
                    "model" => &ask.model, "adapter" => ask.adapter.as_deref().unwrap_or("-"),
                    "version" => ask.version);
                self.machine.queue_load_request(from, ask, now);
                // The relay waits for the adapter, which may be loaded already. A new relay gets a
                // full report, which then lists it.
                self.record_relay(from, now);
            },
            PeerMessage::Prompts(report) => self.machine.record_prompts(report, now),
            // Held for relays that did not begin the stream, and in place of those that are gone.
            PeerMessage::Origin(report) => drop(self.origins.record(&report, now)),
            PeerMessage::OriginAsk(question) => self.answer_origin_question(question, now),
            PeerMessage::Relay(_)
            | PeerMessage::Engine(_)
            | PeerMessage::Gauges(_)
            | PeerMessage::Spend(_)
            | PeerMessage::Limit(_)
            | PeerMessage::Change(_)
            | PeerMessage::Status(_)
            | PeerMessage::Reply(_)
            | PeerMessage::ProofAsk(_)
            | PeerMessage::Proof(_)
            | PeerMessage::OriginReply(_) => {
                warn!(self.log, "received a message that only relays handle"; "from" => %from);
            },
        }
    }

    /// Answers a relay's question for the origin of a stream.
    fn answer_origin_question(&self, question: OriginQuestion, now: MonoTime) {
        let answer = self.origins.answer(question.stream, now);
        self.send(&PeerMessage::OriginReply(answer), [question.relay]);
    }

    /// Records that a relay is alive, and sends it a full report if it is new.
    fn record_relay(&mut self, relay: SocketAddr, now: MonoTime) {
        if self.relays.record_heartbeat(relay, now) {
            info!(self.log, "relay heard"; "relay" => %relay);
            self.send_full_report(relay, now);
        }
    }

    /// Reads the engine's report, and sends a heartbeat when one is due or the engine's loaded
    /// adapters changed. Returns whether the report could be read.
    async fn read_report(&mut self) -> bool {
        let was_reachable = self.machine.is_reachable();
        let report = self.fetch_report().await;
        let is_up = report.is_some();
        if is_up != self.is_engine_up {
            self.is_engine_up = is_up;
            info!(self.log, "engine reachable"; "is_up" => is_up);
        }
        let now = self.clock.now();
        let Some(report) = report else {
            self.send_overdue_status(now);
            return false;
        };
        if report.is_leaving && !self.machine.report().is_leaving {
            info!(self.log, "engine says that it leaves"; "born" => report.born);
        }
        let change = self.machine.record_report(report, now);
        self.record_broken_loads(&change.broken, now);
        for (held, load) in change.arrived {
            info!(self.log, "adapter held"; "model" => &held.model, "adapter" => &held.adapter,
                "took_ms" => load.took.as_millis() as u64, "was_warm" => load.was_warm,
                "incoming" => self.machine.report().incoming.len());
            self.record_good_load(&held, now);
            self.arrivals.push(load);
        }
        self.expire_relays(now);
        let interval = match self.machine.report().waiting {
            0 => HEARTBEAT_INTERVAL,
            _ => WAITING_INTERVAL,
        };
        let is_due = now.saturating_sub(self.last_heartbeat) >= interval;
        let is_back = !was_reachable && self.machine.is_contended(now);
        if change.is_changed || is_due || is_back {
            self.send_heartbeat(now);
        }
        self.send_due_crashes(is_due, now);
        self.report_regained_room(now);
        true
    }

    async fn fetch_report(&mut self) -> Option<EngineReport> {
        let call = engine::report_request();
        let uri = format!("http://{}{}", self.settings.engine.address, call.path);
        let answer = self.client.fetch(Method::GET, &uri, call.body, REPORT_TIMEOUT).await;
        self.record_contact(answer.as_ref().err()).await;
        let answer = answer.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let notice = self.read_notice(answer.status(), answer.headers());
        match engine::read_report(answer.body()) {
            Ok(report) => {
                self.record_reachable();
                Some(EngineReport { is_leaving: notice.is_leaving, ..report })
            },
            Err(fault) => {
                warn!(self.log, "failed to parse the engine's report"; "fault" => %fault);
                None
            },
        }
    }

    /// Reads the status headers that the engine sends about itself with a response.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice {
        let (notice, fault) = heads::read_upstream_notice(status, headers, SystemTime::now());
        if let Some(fault) = fault {
            warn!(self.log, "word of the engine not understood"; "fault" => %fault);
        }
        notice
    }

    fn expire_relays(&mut self, now: MonoTime) {
        self.crashes.tick(now);
        for relay in self.relays.forget(now) {
            info!(self.log, "relay no longer heard"; "relay" => %relay);
        }
    }

    /// Sends a full report to one relay: to a new one, which then need not wait for the next
    /// heartbeat, or to one that missed some.
    fn send_full_report(&mut self, relay: SocketAddr, now: MonoTime) {
        if self.is_engine_up {
            let heartbeat = self.engine_heartbeat(Vec::new(), now);
            self.send(&PeerMessage::Engine(Box::new(heartbeat)), [relay]);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.heartbeats += 1;
        self.heartbeats
    }

    /// Builds a heartbeat with the full report.
    fn engine_heartbeat(&mut self, arrivals: Vec<ArrivedLoad>, now: MonoTime) -> EngineHeartbeat {
        EngineHeartbeat {
            host: self.settings.process.host.clone(),
            engine: self.settings.engine.address,
            number: self.next_number(),
            incarnation: self.incarnation,
            content: self.sender.content(),
            report: self.machine.report().clone(),
            uses: self.machine.fleet_uses(now),
            model_loads: self.machine.model_loads(now),
            spare_places: self.machine.spare_places(now),
            arrivals,
            relays: self.relays.next_named(),
        }
    }

    /// Builds a heartbeat with the gauges alone, for relays that hold the rest of the report.
    fn gauge_heartbeat(&mut self, now: MonoTime) -> GaugeHeartbeat {
        let report = self.machine.report();
        let (running, waiting, is_busy) = (report.running, report.waiting, report.is_busy);
        let spare_places = self.machine.spare_places(now);
        let uses = self.machine.fleet_uses(now);
        GaugeHeartbeat {
            engine: self.settings.engine.address,
            number: self.next_number(),
            incarnation: self.incarnation,
            content: self.sender.content(),
            gauges: EngineGauges { running, waiting, is_busy, spare_places, uses },
        }
    }

    /// Sends a heartbeat at once when an engine that was reported full has a free adapter slot
    /// again.
    fn report_regained_room(&mut self, now: MonoTime) {
        if self.was_reported_full && self.machine.spare_places(now) != Some(0) {
            self.send_heartbeat(now);
        }
    }

    /// Sends a heartbeat to all relays: a full report when one is due or loads have completed,
    /// gauges alone otherwise.
    fn send_heartbeat(&mut self, now: MonoTime) {
        self.last_heartbeat = now;
        let arrivals = std::mem::take(&mut self.arrivals);
        let is_full = self.sender.decide_full(self.machine.report(), now);
        self.was_reported_full = self.machine.spare_places(now) == Some(0);
        let message = match is_full || !arrivals.is_empty() {
            true => PeerMessage::Engine(Box::new(self.engine_heartbeat(arrivals, now))),
            false => PeerMessage::Gauges(self.gauge_heartbeat(now)),
        };
        let relays: Vec<SocketAddr> = self.relays.all().collect();
        if let Ok(mut view) = self.view.lock() {
            view.report = self.machine.report().clone();
            view.relays.clone_from(&relays);
            view.is_engine_up = self.is_engine_up;
            view.origins = self.origins.len();
        }
        self.send(&message, relays);
        self.send_status(now);
    }

    fn send(&self, message: &PeerMessage, relays: impl IntoIterator<Item = SocketAddr>) {
        let sent = self.socket.send(message, relays);
        self.metrics.told(message.kind(), sent);
    }

    /// Sends one order to the engine, and records and returns its outcome.
    async fn execute_order(&mut self, order: &LoadOrder) -> OrderOutcome {
        let answer = self.send_order(order).await;
        let outcome = match &answer {
            Ok(outcome) => *outcome,
            Err(WebError::NotSent(_)) => OrderOutcome::Rejected,
            Err(WebError::Lost(_) | WebError::Status(_)) => OrderOutcome::Unanswered,
        };
        let is_load = order.kind == OrderKind::Load;
        self.metrics.record_order(is_load, outcome_label(outcome));
        let basis = &order.basis;
        info!(self.log, "order given"; "kind" => ?order.kind, "replica" => &order.replica,
            "model" => &order.model, "adapter" => order.adapter.as_deref().unwrap_or("-"),
            "version" => order.version, "fence" => order.fence, "outcome" => ?outcome,
            "held" => basis.held, "coming" => basis.coming, "places" => basis.places,
            "report_age_ms" => basis.report_age.as_millis() as u64);
        // Relays are told of a failed order whether the engine is reachable.
        self.record_contact(answer.as_ref().err()).await;
        self.machine.complete_order(outcome, self.clock.now());
        outcome
    }

    async fn send_order(&mut self, order: &LoadOrder) -> Result<OrderOutcome, WebError> {
        let call =
            engine::order_request(order).map_err(|fault| WebError::NotSent(fault.to_string()))?;
        let uri = format!("http://{}{}", self.settings.engine.address, call.path);
        let mut request = http::Request::builder().method(Method::POST).uri(uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(http_body_util::Full::new(call.body.into()));
        let request = request.map_err(|error| WebError::NotSent(error.to_string()))?;
        let answer =
            tokio::time::timeout(self.settings.engine.order_timeout, self.client.send(request));
        let answer = answer
            .await
            .map_err(|_| WebError::Lost("engine did not answer the order in time".to_string()))??;
        let notice = self.read_notice(answer.status(), answer.headers());
        if !notice.is_blank() {
            self.metrics.record_notice(&notice);
            self.machine.record_notice(&notice, self.clock.now());
        }
        Ok(engine::order_outcome(answer.status()))
    }
}

/// Returns the first fencing token: the wall clock in milliseconds, so that tokens grow across
/// restarts.
fn initial_fence() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |elapsed| elapsed.as_millis() as u64)
}

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Busy => "busy",
        OrderOutcome::FenceTooLow => "fence_too_low",
        OrderOutcome::Rejected => "rejected",
        OrderOutcome::Unanswered => "unanswered",
    }
}
