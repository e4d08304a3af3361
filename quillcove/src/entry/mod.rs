//! The entry: a thin process that forwards callers' requests to agents.
//!
//! It runs three threads: `decide` owns the state machine; `serve` handles the connections to
//! callers, agents and operators; `watch` reads hosts and bundles from the platform.

mod admit;
mod attempt;
mod context;
mod decide;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::WrapErr;
use quillcove_core::entry::event::EntryEvent;
use quillcove_core::entry::{EntryMachine, EntryView};
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};

use self::context::ServeContext;
use self::decide::{DecideDuty, EntryInput};
use crate::bundle::shelf::SharedFleetState;
use crate::bundle::watch::{FleetWatch, WatchEvent};
use crate::clock::MonoClock;
use crate::config::entry::EntrySettings;
use crate::duty::{self, DutyRing};
use crate::metrics::ProcessMetrics;
use crate::operator;
use crate::platform::HttpPlatform;
use crate::process::{DumpInspector, ProcessHandle, ProcessPhase, close_on_stop};

/// Capacity of the event queue of the `decide` thread.
const EVENT_QUEUE_CAPACITY: usize = 8192;

/// Capacity of the request queue of the `watch` thread.
const WATCH_QUEUE_CAPACITY: usize = 64;

/// Interval between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A running entry.
pub struct EntryProcess {
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Address on which operators are served.
    pub operator: SocketAddr,
    handle: ProcessHandle<EntryInput>,
}

impl EntryProcess {
    /// Starts all threads and waits until the servers are bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can not be created or an address can not be bound.
    ///
    /// ```
    /// use quillcove::config::entry::EntrySettings;
    /// use quillcove::entry::EntryProcess;
    ///
    /// let entry =
    ///     EntryProcess::start(EntrySettings::default(), quillcove::logging::silent()).unwrap();
    /// entry.stop();
    /// entry.join();
    /// ```
    pub fn start(settings: EntrySettings, log: Logger) -> eyre::Result<Self> {
        let clock = MonoClock::start();
        let settings = Arc::new(settings);
        let metrics = Arc::new(ProcessMetrics::new("entry")?);
        let shelf = SharedFleetState::default();
        let (ring, inputs) = DutyRing::new(EVENT_QUEUE_CAPACITY);
        let (watch_requests, watch_receiver) = mpsc::channel(WATCH_QUEUE_CAPACITY);
        let (phase, phases) = watch::channel(ProcessPhase::Running);
        let is_ready = Arc::new(AtomicBool::new(false));

        let decide = DecideDuty {
            machine: EntryMachine::new(settings.rules(), rand::random(), clock.now()),
            clock,
            watch_requests,
            phase: phase.clone(),
            is_ready: is_ready.clone(),
            step_senders: Default::default(),
            log: log.clone(),
        };
        let serve = ServeContext::new(
            settings.clone(),
            ring.clone(),
            shelf.clone(),
            clock,
            metrics.clone(),
        );
        let inspector = DumpInspector {
            ring: ring.clone(),
            is_ready: is_ready.clone(),
            input: EntryInput::Dump,
        };

        let (bound_sender, bound) = std::sync::mpsc::channel();
        let mut threads = vec![decide.spawn(inputs, TICK_INTERVAL)];
        let workers = settings.listen.threads;
        let serve_phases = phases.clone();
        let stop_limit = settings.stop.limit;
        let serve_log = log.clone();
        threads.push(duty::spawn("serve", move || {
            let stop = (serve_phases, stop_limit);
            let run = run_servers(serve, inspector, bound_sender, stop, serve_log);
            duty::run_async(workers, run);
        }));
        let (callers, operator) =
            bound.recv().wrap_err("the serve thread ended before its servers were bound")??;
        let watch_ring = ring.clone();
        let notify = move |update| forward_update(&watch_ring, update);
        let platform = HttpPlatform::new(settings.platform.address, settings.platform.timeout);
        let sections = (settings.platform.clone(), settings.bundle.clone());
        let watch = FleetWatch::new(platform, sections, None, shelf, log.clone(), notify);
        threads.push(duty::spawn("watch", move || {
            duty::run_async(1, watch.run(watch_receiver));
        }));
        info!(log, "entry started"; "callers" => %callers, "operator" => %operator);
        let handle = ProcessHandle { ring, threads, phase, is_ready };
        Ok(Self { callers, operator, handle })
    }

    /// Begins a graceful shutdown: new requests are rejected and those in flight run to completion.
    ///
    /// ```no_run
    /// # fn run(entry: quillcove::entry::EntryProcess) {
    /// entry.stop();
    /// # }
    /// ```
    pub fn stop(&self) {
        self.handle.ring.put(EntryInput::Event(EntryEvent::StopRequested));
    }

    /// Stops at once and aborts the requests in flight.
    ///
    /// ```no_run
    /// # fn run(entry: quillcove::entry::EntryProcess) {
    /// entry.abort();
    /// # }
    /// ```
    pub fn abort(&self) {
        self.handle.abort(EntryInput::Halt);
    }

    /// Returns whether the graceful shutdown has completed.
    ///
    /// ```no_run
    /// # fn run(entry: quillcove::entry::EntryProcess) {
    /// assert!(!entry.has_stopped());
    /// # }
    /// ```
    pub fn has_stopped(&self) -> bool {
        self.handle.has_stopped()
    }

    /// Returns whether new requests are accepted.
    ///
    /// ```no_run
    /// # fn run(entry: quillcove::entry::EntryProcess) {
    /// assert!(entry.is_ready());
    /// # }
    /// ```
    pub fn is_ready(&self) -> bool {
        self.handle.is_ready()
    }

    /// Returns the number of requests in flight.
    ///
    /// ```no_run
    /// # fn run(entry: quillcove::entry::EntryProcess) {
    /// println!("{}", entry.in_flight());
    /// # }
    /// ```
    pub fn in_flight(&self) -> usize {
        self.handle.dump(EntryInput::Dump).map_or(0, |view| view.requests)
    }

    /// Waits until all threads have ended.
    ///
    /// ```no_run
    /// # fn run(entry: quillcove::entry::EntryProcess) {
    /// entry.stop();
    /// entry.join();
    /// # }
    /// ```
    pub fn join(self) {
        self.handle.join();
    }
}

/// Passes an update of the platform to the state machine.
fn forward_update(ring: &DutyRing<EntryInput>, update: WatchEvent) {
    let event = match update {
        WatchEvent::Bundle(bundle) => EntryEvent::BundleActivated(bundle),
        WatchEvent::Hosts(hosts) => EntryEvent::HostsRead(hosts),
    };
    ring.put(EntryInput::Event(event));
}

/// Bound addresses for callers and for operators, in this order.
type BoundAddresses = (SocketAddr, SocketAddr);

/// Starts the servers, reports their addresses or the error on `bound`, and runs them until the
/// process halts.
async fn run_servers(
    serve: ServeContext,
    inspector: DumpInspector<EntryInput, EntryView>,
    bound: std::sync::mpsc::Sender<eyre::Result<BoundAddresses>>,
    (phases, stop_limit): (watch::Receiver<ProcessPhase>, Duration),
    log: Logger,
) {
    let operator_address = serve.settings.listen.operator;
    let ring = serve.ring.clone();
    let metrics = serve.metrics.clone();
    let started = serve::start(serve, &log).and_then(|callers| {
        let operator = operator::start(operator_address, inspector, metrics, &log)?;
        Ok((callers, operator))
    });
    let (callers, operator) = match started {
        Ok(servers) => servers,
        Err(error) => {
            let _ = bound.send(Err(error));
            return;
        },
    };
    let _ = bound.send(Ok((callers.local_addr(), operator.local_addr())));
    close_on_stop(callers, phases, stop_limit).await;
    ring.put(EntryInput::Halt);
}
