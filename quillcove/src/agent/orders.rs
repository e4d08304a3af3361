//! The duty that talks to the upstream about itself, and to the keeper of permits.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::{Method, StatusCode};
use quillcove_core::agent::event::{
    AgentEvent, EngineOrder, EngineReport, HostState, OrderEnd, OrderKind, UpstreamKind,
};
use quillcove_core::permit::{KEEPER_KEY, PermitAnswer, PermitAsk};
use quillcove_core::rendezvous;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::input::AgentInput;
use crate::bundle::shelf::FleetShelf;
use crate::config::agent::AgentSettings;
use crate::control::{AgentControlClient, ControlPool};
use crate::duty::DutyRing;
use crate::metrics::ProcessMetrics;
use crate::web::client::WebClient;
use crate::web::headers;

/// Longest time for a report or a health check.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports missed in a row after which the upstream counts as lost.
const MISSES_ALLOWED: u32 = 2;

/// Longest time for a call to the keeper, which holds an ask for up to 400 ms.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(800);

/// What this duty is asked to do.
#[derive(Clone, Debug)]
pub enum OrderTask {
    /// Send an order to the engine.
    Send(EngineOrder),
    /// Ask for a permit.
    AskPermit(f64),
    /// Give the permit back.
    ReturnPermit,
}

/// State of the duty.
#[derive(Clone)]
pub struct OrderDuty {
    settings: Arc<AgentSettings>,
    ring: DutyRing<AgentInput>,
    shelf: FleetShelf,
    metrics: Arc<ProcessMetrics>,
    client: WebClient,
    pool: ControlPool,
}

impl OrderDuty {
    pub fn new(
        settings: Arc<AgentSettings>,
        ring: DutyRing<AgentInput>,
        shelf: FleetShelf,
        metrics: Arc<ProcessMetrics>,
    ) -> Self {
        let client = WebClient::new(REPORT_TIMEOUT, Duration::from_secs(30));
        Self { settings, ring, shelf, metrics, client, pool: ControlPool::default() }
    }

    /// Works until the deciding duty is gone.
    pub async fn run(self, mut tasks: mpsc::Receiver<OrderTask>) {
        let mut reports = interval(self.settings.upstream.report_interval);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut misses = 0;
        loop {
            tokio::select! {
                task = tasks.recv() => match task {
                    None => return,
                    Some(task) => {
                        let duty = self.clone();
                        tokio::spawn(async move { duty.work(task).await });
                    },
                },
                _ = reports.tick() => {
                    let is_answered = self.read_report().await;
                    misses = if is_answered { 0 } else { misses + 1 };
                    if misses == MISSES_ALLOWED {
                        self.tell(AgentEvent::UpstreamLost);
                    }
                },
            }
        }
    }

    fn tell(&self, event: AgentEvent) {
        self.ring.put(AgentInput::Event(event));
    }

    async fn work(&self, task: OrderTask) {
        match task {
            OrderTask::Send(order) => self.send(order).await,
            OrderTask::AskPermit(value) => {
                let answer = self.ask_permit(value).await;
                self.tell(AgentEvent::PermitAnswered(answer));
            },
            OrderTask::ReturnPermit => self.return_permit().await,
        }
    }

    /// Reads the engine's report, or checks a plain service; `false` without an answer.
    async fn read_report(&self) -> bool {
        let upstream = &self.settings.upstream;
        let path = match upstream.kind {
            UpstreamKind::Engine => "/report",
            UpstreamKind::Service => upstream.health_path.as_str(),
        };
        let uri = format!("http://{}{path}", upstream.address);
        let answer = self.client.fetch(Method::GET, &uri, Bytes::new(), REPORT_TIMEOUT).await;
        let Ok(answer) = answer else { return false };
        if answer.status() != StatusCode::OK {
            return false;
        }
        // A report is answered with 200, with which no rest is asked for, so that nothing of it can be odd.
        let (notice, _) = headers::notice(answer.status(), answer.headers(), SystemTime::now());
        let report = match upstream.kind {
            UpstreamKind::Service => Some(EngineReport::default()),
            UpstreamKind::Engine => serde_json::from_slice::<EngineReport>(answer.body()).ok(),
        };
        match report {
            Some(report) => {
                let leaving = report.leaving || notice.is_leaving;
                self.tell(AgentEvent::Reported(EngineReport { leaving, ..report }));
                true
            },
            None => false,
        }
    }

    async fn send(&self, order: EngineOrder) {
        let upstream = &self.settings.upstream;
        let uri = format!("http://{}/orders", upstream.address);
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let answer = self.client.fetch(Method::POST, &uri, body, upstream.order_timeout).await;
        let end = match answer {
            Ok(answer) if answer.status() == StatusCode::OK => OrderEnd::Done,
            Ok(answer) if answer.status() == StatusCode::CONFLICT => {
                let highest = serde_json::from_slice(answer.body());
                highest.map_or(OrderEnd::Unknown, OrderEnd::Stale)
            },
            Ok(_) => OrderEnd::Failed,
            Err(_) => OrderEnd::Unknown,
        };
        self.metrics.ordered(matches!(order.kind, OrderKind::Load(_)), end_label(end));
        self.tell(AgentEvent::OrderEnded(order.fence, end));
    }

    /// Asks the keeper. Without one, the agents' equal share of the rate applies, which needs
    /// nobody.
    async fn ask_permit(&self, value: f64) -> PermitAnswer {
        let host = self.settings.process.host.clone();
        let ask = PermitAsk { host, value };
        if let Some(keeper) = self.keeper() {
            let asked = |client: AgentControlClient, context| async move {
                client.ask_permit(context, ask).await
            };
            if let Ok(answer) = self.pool.call(&keeper, KEEPER_TIMEOUT, asked).await {
                return answer;
            }
        }
        sleep(self.own_share()).await;
        PermitAnswer::Granted
    }

    fn own_share(&self) -> Duration {
        let limits = self.shelf.bundle().map(|held| held.content.loads).unwrap_or_default();
        let agents = self.engine_hosts().len().max(1);
        Duration::from_secs_f64(agents as f64 / limits.per_second)
    }

    async fn return_permit(&self) {
        let Some(keeper) = self.keeper() else { return };
        let host = self.settings.process.host.clone();
        let returned = |client: AgentControlClient, context| async move {
            client.return_permit(context, host).await
        };
        // A permit that is not given back ends by itself.
        let _ = self.pool.call(&keeper, KEEPER_TIMEOUT, returned).await;
    }

    fn engine_hosts(&self) -> Vec<(String, String)> {
        let hosts = self.shelf.hosts();
        let engines = hosts.iter().filter(|record| {
            record.kind == UpstreamKind::Engine && record.state == HostState::Live
        });
        engines.map(|record| (record.host.clone(), record.control.clone())).collect()
    }

    /// Control address of the agent that keeps the permits.
    fn keeper(&self) -> Option<String> {
        let hosts = self.engine_hosts();
        let names = hosts.iter().map(|(host, _)| host.as_str());
        let keeper = rendezvous::first(KEEPER_KEY, names)?;
        hosts.iter().find(|(host, _)| host == keeper).map(|(_, control)| control.clone())
    }
}

fn end_label(end: OrderEnd) -> &'static str {
    match end {
        OrderEnd::Done => "done",
        OrderEnd::Stale(_) => "stale",
        OrderEnd::Failed => "failed",
        OrderEnd::Unknown => "unknown",
    }
}
