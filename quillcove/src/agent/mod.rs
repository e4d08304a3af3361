//! The agent: a process that runs beside one upstream and admits, queues and passes on its requests.
//!
//! It consists of four threads: `decide` owns the state machine; `serve` passes attempts to the upstream and answers
//! other processes and operators; `orders` communicates with the engine and the permit coordinator; `watch` follows
//! the platform's configuration.

mod calls;
mod decide;
mod input;
mod orders;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::WrapErr;
use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{AgentEvent, AgentRules};
use quillcove_core::agent::view::AgentView;
use quillcove_core::ids::Incarnation;
use quillcove_core::once::book::OnceBook;
use quillcove_core::permit::PermitCoordinator;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};

use self::calls::{ControlService, PermitService};
use self::decide::DecideDuty;
use self::input::AgentInput;
use self::orders::OrderDuty;
use self::serve::ServeContext;
use crate::bundle::shelf::SharedFleetState;
use crate::bundle::watch::{FleetWatch, WatchEvent};
use crate::clock::MonoClock;
use crate::config::agent::AgentSettings;
use crate::duty::{self, DutyRing};
use crate::metrics::ProcessMetrics;
use crate::operator;
use crate::platform::HttpPlatform;
use crate::process::{DumpInspector, ProcessHandle, ProcessPhase, close_on_stop};

/// Number of inputs that may wait for the decision thread.
const INPUT_QUEUE_CAPACITY: usize = 4096;

/// Number of tasks that may wait for the order thread, and for the watch thread.
const TASK_QUEUE_CAPACITY: usize = 256;

/// Interval between ticks of the machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A running agent.
pub struct AgentProcess {
    /// Address for attempts.
    pub data: SocketAddr,
    /// Address for calls from other quillcove processes.
    pub control: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    handle: ProcessHandle<AgentInput>,
}

/// Addresses that the server thread has bound.
struct BoundAddresses {
    data: SocketAddr,
    control: SocketAddr,
    operator: SocketAddr,
}

impl AgentProcess {
    /// Starts the agent's threads and returns once all addresses are bound.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, for example because another agent already runs on this host.
    ///
    /// ```
    /// use quillcove::agent::AgentProcess;
    /// use quillcove::config::agent::AgentSettings;
    ///
    /// let agent =
    ///     AgentProcess::start(AgentSettings::default(), quillcove::logging::silent()).unwrap();
    /// agent.stop();
    /// agent.join();
    /// ```
    pub fn start(settings: AgentSettings, log: Logger) -> eyre::Result<Self> {
        let clock = MonoClock::start();
        let incarnation = rand::random::<u64>() | 1;
        let settings = Arc::new(settings);
        let metrics = Arc::new(ProcessMetrics::new("agent")?);
        let shelf = SharedFleetState::default();
        let (ring, inputs) = DutyRing::new(INPUT_QUEUE_CAPACITY);
        let (order_tasks, order_receiver) = mpsc::channel(TASK_QUEUE_CAPACITY);
        let (watch_requests, watch_receiver) = mpsc::channel(TASK_QUEUE_CAPACITY);
        let (phase, phases) = watch::channel(ProcessPhase::Running);
        let is_ready = Arc::new(AtomicBool::new(false));

        let machine = new_machine(&settings, incarnation, &clock);
        let decide = DecideDuty {
            machine,
            clock,
            order_tasks,
            watch_requests,
            phase: phase.clone(),
            is_ready: is_ready.clone(),
            pending: Default::default(),
            withdrawals: Default::default(),
            log: log.clone(),
        };
        let orders = OrderDuty::new(settings.clone(), ring.clone(), shelf.clone(), metrics.clone());
        let coordinator = PermitCoordinator::new(Default::default(), clock.now());
        let permits = Arc::new(PermitService::new(coordinator));
        let control_service =
            ControlService { ring: ring.clone(), shelf: shelf.clone(), permits, clock };
        let serve = ServeContext::new(settings.clone(), ring.clone(), clock, metrics);
        let inspector = DumpInspector {
            ring: ring.clone(),
            is_ready: is_ready.clone(),
            input: AgentInput::Dump,
        };

        let (bound_sender, bound) = std::sync::mpsc::channel();
        let mut threads = vec![decide.spawn(inputs, TICK_INTERVAL)];
        let serve_phases = phases.clone();
        let stop_limit = settings.stop.limit;
        let serve_log = log.clone();
        let workers = settings.listen.threads;
        threads.push(duty::spawn("serve", move || {
            let run = run_servers(
                serve,
                control_service,
                inspector,
                bound_sender,
                (serve_phases, stop_limit),
                serve_log,
            );
            duty::run_async(workers, run);
        }));
        let bound =
            bound.recv().wrap_err("server thread ended before its addresses were bound")??;
        threads.push(duty::spawn("orders", move || {
            duty::run_async(1, orders.run(order_receiver));
        }));
        let own_control = Some(bound.control.to_string());
        let watch_ring = ring.clone();
        let host = settings.process.host.clone();
        let notify = move |update: WatchEvent| forward_watch_update(&watch_ring, &host, update);
        let platform = HttpPlatform::new(settings.platform.address, settings.platform.timeout);
        let sections = (settings.platform.clone(), settings.bundle.clone());
        let watch = FleetWatch::new(platform, sections, own_control, shelf, log.clone(), notify);
        threads.push(duty::spawn("watch", move || {
            duty::run_async(1, watch.run(watch_receiver));
        }));
        info!(log, "agent started"; "data" => %bound.data, "control" => %bound.control,
            "operator" => %bound.operator);
        let handle = ProcessHandle { ring, threads, phase, is_ready };
        let BoundAddresses { data, control, operator } = bound;
        Ok(Self { data, control, operator, handle })
    }

    /// Begins a planned stop: new work is rejected and attempts in flight are completed.
    ///
    /// ```no_run
    /// # fn run(agent: quillcove::agent::AgentProcess) {
    /// agent.stop();
    /// # }
    /// ```
    pub fn stop(&self) {
        self.handle.ring.put(AgentInput::Event(AgentEvent::StopRequested));
    }

    /// Ends at once and aborts attempts in flight.
    ///
    /// ```no_run
    /// # fn run(agent: quillcove::agent::AgentProcess) {
    /// agent.abort();
    /// # }
    /// ```
    pub fn abort(&self) {
        self.handle.abort(AgentInput::Halt);
    }

    /// Returns whether the planned stop is complete.
    ///
    /// ```no_run
    /// # fn run(agent: quillcove::agent::AgentProcess) {
    /// assert!(!agent.has_stopped());
    /// # }
    /// ```
    pub fn has_stopped(&self) -> bool {
        self.handle.has_stopped()
    }

    /// Returns whether the agent accepts new work.
    ///
    /// ```no_run
    /// # fn run(agent: quillcove::agent::AgentProcess) {
    /// assert!(agent.is_ready());
    /// # }
    /// ```
    pub fn is_ready(&self) -> bool {
        self.handle.is_ready()
    }

    /// Returns the number of attempts passed to the upstream and not yet ended.
    ///
    /// ```no_run
    /// # fn run(agent: quillcove::agent::AgentProcess) {
    /// println!("{}", agent.in_flight());
    /// # }
    /// ```
    pub fn in_flight(&self) -> usize {
        self.handle.dump(AgentInput::Dump).map_or(0, |view| view.running)
    }

    /// Waits until all threads have ended.
    ///
    /// ```no_run
    /// # fn run(agent: quillcove::agent::AgentProcess) {
    /// agent.stop();
    /// agent.join();
    /// # }
    /// ```
    pub fn join(self) {
        self.handle.join();
    }
}

fn new_machine(
    settings: &AgentSettings,
    incarnation: Incarnation,
    clock: &MonoClock,
) -> AgentMachine {
    let host = &settings.process.host;
    let secret = rand::random();
    let now = clock.now();
    let book = OnceBook::new(host, incarnation, secret, settings.book_limits(), now);
    let rules = AgentRules { min_term: seconds_since_epoch(), ..settings.rules() };
    AgentMachine::new(host, incarnation, rules, book, now)
}

/// Returns the lowest fencing term that this run of the agent uses. A clock that was set back matters only if, at the
/// same time, the engine has lost its fences and an order of an earlier run is still in flight.
fn seconds_since_epoch() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// Passes an update from the watch thread to the machine. An agent that is missing from the host list is not treated
/// as draining: the list may be older than the host.
fn forward_watch_update(ring: &DutyRing<AgentInput>, host: &str, update: WatchEvent) {
    let event = match update {
        WatchEvent::Bundle(bundle) => AgentEvent::BundleActivated(bundle),
        WatchEvent::Hosts(hosts) => {
            let own = hosts.as_ref().and_then(|hosts| hosts.iter().find(|r| r.host == host));
            AgentEvent::HostStateRead(own.map(|record| record.state))
        },
    };
    ring.put(AgentInput::Event(event));
}

/// Starts the servers, reports their addresses or the error through `bound`, and runs until the process halts.
async fn run_servers(
    serve: ServeContext,
    control_service: ControlService,
    inspector: DumpInspector<AgentInput, AgentView>,
    bound: std::sync::mpsc::Sender<eyre::Result<BoundAddresses>>,
    (phases, stop_limit): (watch::Receiver<ProcessPhase>, Duration),
    log: Logger,
) {
    let ring = serve.ring();
    let metrics = serve.metrics();
    let listen = serve.listen();
    let started = async {
        let data = serve::start(serve, &log)?;
        let control = calls::serve(listen.control, control_service).await;
        let control = control.wrap_err_with(|| format!("can not listen on {}", listen.control))?;
        let operator = operator::start(listen.operator, inspector, metrics, &log)?;
        eyre::Ok((data, control, operator))
    };
    let (data, control, operator) = match started.await {
        Ok(servers) => servers,
        Err(error) => {
            let _ = bound.send(Err(error));
            return;
        },
    };
    let addresses =
        BoundAddresses { data: data.local_addr(), control, operator: operator.local_addr() };
    let _ = bound.send(Ok(addresses));
    close_on_stop(data, phases, stop_limit).await;
    ring.put(AgentInput::Halt);
}
