//! The loader: a small process beside one engine. It reads the engine's report, tells the relays,
//! and gives the engine the orders that the keeper among the relays asks for.
//!
//! One duty, `serve`, does all of it: the report, orders and datagrams take turns and share the
//! machine that decides.

mod crashes;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dropshot::HttpServer;
use http::{HeaderMap, Method, StatusCode};
use quillcove_core::crash::watch::CrashWatch;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{
    ArrivedLoad, EngineBeacon, EngineGauges, EngineReport, GaugeBeacon, PeerMessage,
};
use quillcove_core::relay::loader::LoaderMachine;
use quillcove_core::relay::order::{LoadOrder, OrderKind, OrderOutcome};
use quillcove_core::relay::report_stream::ReportSender;
use quillcove_core::relay::roll::RelayRoll;
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
use crate::peers::{PeerArrival, PeerSocket};
use crate::web::client::{WebClient, WebError};

/// Longest time between two reports to the relays.
const BEACON_INTERVAL: Duration = Duration::from_millis(400);

/// Longest time between two reports while requests wait for their first event: new requests go by
/// how many do.
const WAITING_INTERVAL: Duration = Duration::from_millis(100);

/// Time between reads of the engine's report while loads are on their way.
const BUSY_INTERVAL: Duration = Duration::from_millis(40);

/// Longest time for a read of the report, on the same host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a connection to the engine, on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time that the unused connection to the engine is kept.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// A loader's state in a dump.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoaderView {
    /// What the engine said last.
    pub report: EngineReport,
    /// Relays heard lately.
    pub relays: Vec<SocketAddr>,
    /// Whether the engine answers.
    pub is_engine_up: bool,
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

/// Addresses that a loader has bound.
#[derive(Clone, Copy, Debug)]
pub struct LoaderAddresses {
    /// For relays.
    pub control: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Runs a loader until the process is told to stop; `bound` gets its addresses.
///
/// # Errors
///
/// When an address can not be bound.
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
        let loader = LoaderDuty::start(settings, log).await?;
        let control = loader.socket.local_addr()?;
        bound(LoaderAddresses { control, operator: loader.operator.local_addr() });
        loader.serve(stopped).await;
        Ok(())
    })
}

struct LoaderDuty {
    settings: LoaderSettings,
    log: Logger,
    clock: MonoClock,
    socket: PeerSocket,
    client: WebClient,
    machine: LoaderMachine,
    metrics: Arc<ProcessMetrics>,
    view: Arc<Mutex<LoaderView>>,
    relays: RelayRoll,
    /// What relays have told of requests under which replicas end.
    crashes: CrashWatch,
    incarnation: u64,
    beacons: u64,
    sender: ReportSender,
    /// Loads that ended since the last beacon.
    arrivals: Vec<ArrivedLoad>,
    last_beacon: MonoTime,
    is_engine_up: bool,
    /// Whether the last beacon said that the engine can take in no adapter.
    told_full: bool,
    /// Closes when it is dropped.
    operator: HttpServer<Arc<OperatorContext>>,
}

impl LoaderDuty {
    async fn start(settings: LoaderSettings, log: Logger) -> eyre::Result<Self> {
        let socket = PeerSocket::bind(settings.listen.control).await?;
        let metrics = Arc::new(ProcessMetrics::new("loader")?);
        let view = Arc::new(Mutex::new(LoaderView::default()));
        let inspector = LoaderInspector { view: view.clone() };
        let address = settings.listen.operator;
        let operator = operator::start(address, inspector, metrics.clone(), &log)?;
        let fence = first_fence();
        info!(log, "loader started"; "control" => %settings.listen.control,
            "engine" => %settings.engine.address, "fence" => fence);
        let incarnation = rand::random();
        Ok(Self {
            machine: LoaderMachine::new(settings.process.host.clone(), fence),
            client: WebClient::new(CONNECT_TIMEOUT, IDLE_TIME),
            clock: MonoClock::start(),
            socket,
            metrics,
            view,
            relays: RelayRoll::new(incarnation),
            crashes: CrashWatch::default(),
            incarnation,
            beacons: 0,
            sender: ReportSender::default(),
            arrivals: Vec::new(),
            last_beacon: MonoTime::ZERO,
            is_engine_up: false,
            told_full: false,
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
                    Ok(arrival) => self.take(arrival),
                    Err(error) => warn!(self.log, "datagrams can not be read"; "error" => %error),
                },
                () = sleep_until(next_report) => {
                    // When it can not be read, the next one is due after a pause all the same.
                    self.read_report().await;
                    next_report = Instant::now() + self.pause();
                },
            }
            while let Some(order) = self.machine.next_order(self.clock.now()) {
                let outcome = self.give(&order).await;
                let is_read = self.read_report().await;
                // Without a newer report the next order would be decided on what this one changed.
                if outcome == OrderOutcome::Busy || !is_read {
                    break;
                }
                next_report = Instant::now() + self.pause();
            }
        }
        info!(self.log, "loader stopped");
    }

    fn pause(&self) -> Duration {
        let report = self.machine.report();
        match report.incoming.is_empty() && !report.is_busy {
            true if report.waiting > 0 => WAITING_INTERVAL,
            true => self.settings.engine.report_interval,
            false => BUSY_INTERVAL,
        }
    }

    fn take(&mut self, arrival: PeerArrival) {
        let now = self.clock.now();
        let (message, from) = match arrival {
            PeerArrival::Message(message, from) => (*message, from),
            PeerArrival::Garbage(from, error) => {
                warn!(self.log, "datagram is no message"; "from" => %from, "error" => %error);
                return;
            },
        };
        match message {
            PeerMessage::Use(beacon) => {
                let relay = beacon.relay;
                self.machine.take_uses(beacon, now);
                self.tell_room(now);
                self.hear(relay, now);
            },
            PeerMessage::Resend(ask) => self.greet(ask.relay, now),
            // Kept for relays that start again.
            PeerMessage::Crash(told) => drop(self.crashes.take(&told, now)),
            PeerMessage::CrashAsk(ask) => self.tell_crashes(ask.relay, now),
            PeerMessage::Load(ask) => {
                info!(self.log, "load asked for"; "relay" => %from, "replica" => &ask.replica,
                    "model" => &ask.model, "adapter" => ask.adapter.as_deref().unwrap_or("-"),
                    "version" => ask.version);
                self.machine.take_ask(ask, now);
                // It waits for the adapter, which may be here already.
                self.hear(from, now);
            },
            PeerMessage::Relay(_)
            | PeerMessage::Engine(_)
            | PeerMessage::Gauges(_)
            | PeerMessage::Spend(_)
            | PeerMessage::Limit(_)
            | PeerMessage::Change(_)
            | PeerMessage::ProofAsk(_)
            | PeerMessage::Proof(_) => {
                warn!(self.log, "message is meant for a relay"; "from" => %from);
            },
        }
    }

    /// Notes that a relay is there, and sends it a whole report if it is new.
    fn hear(&mut self, relay: SocketAddr, now: MonoTime) {
        if self.relays.hear(relay, now) {
            info!(self.log, "relay heard"; "relay" => %relay);
            self.greet(relay, now);
        }
    }

    /// Reads the engine's report, and passes it on when it is due or what the engine holds
    /// changed; tells whether it could be read.
    async fn read_report(&mut self) -> bool {
        let report = self.fetch_report().await;
        let is_up = report.is_some();
        if is_up != self.is_engine_up {
            self.is_engine_up = is_up;
            info!(self.log, "engine reachable"; "is_up" => is_up);
        }
        let Some(report) = report else {
            return false;
        };
        let now = self.clock.now();
        if report.is_leaving && !self.machine.report().is_leaving {
            info!(self.log, "engine says that it leaves"; "born" => report.born);
        }
        let change = self.machine.take_report(report, now);
        self.note_broken_loads(&change.broken, now);
        for (held, load) in change.arrived {
            info!(self.log, "adapter held"; "model" => &held.model, "adapter" => &held.adapter,
                "took_ms" => load.took.as_millis() as u64, "was_warm" => load.was_warm,
                "incoming" => self.machine.report().incoming.len());
            self.note_good_load(&held, now);
            self.arrivals.push(load);
        }
        self.forget_relays(now);
        let interval = match self.machine.report().waiting {
            0 => BEACON_INTERVAL,
            _ => WAITING_INTERVAL,
        };
        let is_due = now.saturating_sub(self.last_beacon) >= interval;
        if change.is_changed || is_due {
            self.tell(now);
        }
        self.tell_ends(is_due, now);
        self.tell_room(now);
        true
    }

    async fn fetch_report(&self) -> Option<EngineReport> {
        let call = engine::report_call();
        let uri = format!("http://{}{}", self.settings.engine.address, call.path);
        let answer = self.client.fetch(Method::GET, &uri, call.body, REPORT_TIMEOUT).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let notice = self.read_notice(answer.status(), answer.headers());
        match engine::read_report(answer.body()) {
            Ok(report) => Some(EngineReport { is_leaving: notice.is_leaving, ..report }),
            Err(fault) => {
                warn!(self.log, "the engine's report is not understood"; "fault" => %fault);
                None
            },
        }
    }

    /// What the engine says of itself with an answer.
    fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice {
        let (notice, fault) = heads::read_notice(status, headers, SystemTime::now());
        if let Some(fault) = fault {
            warn!(self.log, "word of the engine not understood"; "fault" => %fault);
        }
        notice
    }

    fn forget_relays(&mut self, now: MonoTime) {
        self.crashes.tick(now);
        for relay in self.relays.forget(now) {
            info!(self.log, "relay no longer heard"; "relay" => %relay);
        }
    }

    /// Sends a whole report to one relay: one that is new here, so that it need not wait for the next
    /// report, or one that has missed some.
    fn greet(&mut self, relay: SocketAddr, now: MonoTime) {
        if self.is_engine_up {
            let beacon = self.beacon(Vec::new(), now);
            self.send(&PeerMessage::Engine(Box::new(beacon)), [relay]);
        }
    }

    fn next_number(&mut self) -> u64 {
        self.beacons += 1;
        self.beacons
    }

    fn beacon(&mut self, arrivals: Vec<ArrivedLoad>, now: MonoTime) -> EngineBeacon {
        EngineBeacon {
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
            relays: self.relays.name_some(),
        }
    }

    fn gauges(&mut self, now: MonoTime) -> GaugeBeacon {
        let report = self.machine.report();
        let (running, waiting, is_busy) = (report.running, report.waiting, report.is_busy);
        let spare_places = self.machine.spare_places(now);
        let uses = self.machine.fleet_uses(now);
        GaugeBeacon {
            engine: self.settings.engine.address,
            number: self.next_number(),
            incarnation: self.incarnation,
            content: self.sender.content(),
            gauges: EngineGauges { running, waiting, is_busy, spare_places, uses },
        }
    }

    /// Tells relays at once when the engine can take in adapters again.
    fn tell_room(&mut self, now: MonoTime) {
        if self.told_full && self.machine.spare_places(now) != Some(0) {
            self.tell(now);
        }
    }

    fn tell(&mut self, now: MonoTime) {
        self.last_beacon = now;
        let arrivals = std::mem::take(&mut self.arrivals);
        let is_whole = self.sender.takes_whole(self.machine.report(), now);
        self.told_full = self.machine.spare_places(now) == Some(0);
        let message = match is_whole || !arrivals.is_empty() {
            true => PeerMessage::Engine(Box::new(self.beacon(arrivals, now))),
            false => PeerMessage::Gauges(self.gauges(now)),
        };
        let relays: Vec<SocketAddr> = self.relays.all().collect();
        if let Ok(mut view) = self.view.lock() {
            view.report = self.machine.report().clone();
            view.relays.clone_from(&relays);
            view.is_engine_up = self.is_engine_up;
        }
        self.send(&message, relays);
    }

    fn send(&self, message: &PeerMessage, relays: impl IntoIterator<Item = SocketAddr>) {
        let sent = self.socket.send(message, relays);
        self.metrics.told(message.kind(), sent);
    }

    /// Gives one order and takes its outcome.
    async fn give(&mut self, order: &LoadOrder) -> OrderOutcome {
        let outcome = match self.send_order(order).await {
            Ok(outcome) => outcome,
            Err(WebError::NotSent(_)) => OrderOutcome::Rejected,
            Err(WebError::Lost(_) | WebError::Status(_)) => OrderOutcome::Unanswered,
        };
        let is_load = order.kind == OrderKind::Load;
        self.metrics.ordered(is_load, outcome_label(outcome));
        let basis = &order.basis;
        info!(self.log, "order given"; "kind" => ?order.kind, "replica" => &order.replica,
            "model" => &order.model, "adapter" => order.adapter.as_deref().unwrap_or("-"),
            "version" => order.version, "fence" => order.fence, "outcome" => ?outcome,
            "held" => basis.held, "coming" => basis.coming, "places" => basis.places,
            "report_age_ms" => basis.report_age.as_millis() as u64);
        self.machine.end_order(outcome, self.clock.now());
        outcome
    }

    async fn send_order(&mut self, order: &LoadOrder) -> Result<OrderOutcome, WebError> {
        let call =
            engine::order_call(order).map_err(|fault| WebError::NotSent(fault.to_string()))?;
        let uri = format!("http://{}{}", self.settings.engine.address, call.path);
        let mut request = http::Request::builder().method(Method::POST).uri(uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(http_body_util::Full::new(call.body.into()));
        let request = request.map_err(|error| WebError::NotSent(error.to_string()))?;
        let answer =
            tokio::time::timeout(self.settings.engine.order_timeout, self.client.send(request));
        let answer = answer.await.map_err(|_| WebError::Lost("time is up".to_string()))??;
        let notice = self.read_notice(answer.status(), answer.headers());
        if !notice.is_blank() {
            self.metrics.replica_said(&notice);
            self.machine.note_said(&notice, self.clock.now());
        }
        Ok(engine::order_outcome(answer.status()))
    }
}

/// Fences begin at the wall clock's milliseconds, so that they grow over restarts.
fn first_fence() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
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
