//! The order thread of an agent: reads the upstream's reports, sends orders to the engine, and requests load permits.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::{Method, StatusCode};
use quillcove_core::agent::event::{
    AgentEvent, EngineOrder, EngineReport, HostState, OrderEnd, OrderKind, UpstreamKind,
};
use quillcove_core::permit::{PERMIT_COORDINATOR_KEY, PermitRequest, PermitResponse};
use quillcove_core::rendezvous;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::input::AgentInput;
use crate::bundle::shelf::SharedFleetState;
use crate::config::agent::AgentSettings;
use crate::control::{AgentControlClient, ControlPool};
use crate::duty::DutyRing;
use crate::metrics::ProcessMetrics;
use crate::web::client::{REPORT_SIZE_LIMIT, WebClient};
use crate::web::headers;

/// Timeout of a report or a health check.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of consecutive missed reports after which the upstream counts as lost.
const MISSED_REPORT_LIMIT: u32 = 2;

/// Timeout of a call to the permit coordinator, which holds a request open for up to 400 ms.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(800);

/// A task of the order thread.
#[derive(Clone, Debug)]
pub enum OrderTask {
    /// Send an order to the engine.
    Send(EngineOrder),
    /// Request a permit for a load of this value.
    AskPermit(f64),
    /// Return the permit.
    ReturnPermit,
}

/// State of the order thread.
#[derive(Clone)]
pub struct OrderDuty {
    settings: Arc<AgentSettings>,
    ring: DutyRing<AgentInput>,
    shelf: SharedFleetState,
    metrics: Arc<ProcessMetrics>,
    client: WebClient,
    pool: ControlPool,
}

impl OrderDuty {
    pub fn new(
        settings: Arc<AgentSettings>,
        ring: DutyRing<AgentInput>,
        shelf: SharedFleetState,
        metrics: Arc<ProcessMetrics>,
    ) -> Self {
        let client = WebClient::new(REPORT_TIMEOUT, Duration::from_secs(30))
            .with_body_limit(REPORT_SIZE_LIMIT);
        Self { settings, ring, shelf, metrics, client, pool: ControlPool::default() }
    }

    /// Runs tasks and reads reports until the decision thread has ended.
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
                        tokio::spawn(async move { duty.run_task(task).await });
                    },
                },
                _ = reports.tick() => {
                    let is_answered = self.read_report().await;
                    misses = if is_answered { 0 } else { misses + 1 };
                    if misses == MISSED_REPORT_LIMIT {
                        self.send_event(AgentEvent::UpstreamUnreachable);
                    }
                },
            }
        }
    }

    fn send_event(&self, event: AgentEvent) {
        self.ring.put(AgentInput::Event(event));
    }

    async fn run_task(&self, task: OrderTask) {
        match task {
            OrderTask::Send(order) => self.send_order(order).await,
            OrderTask::AskPermit(value) => {
                let answer = self.ask_permit(value).await;
                self.send_event(AgentEvent::PermitAnswered(answer));
            },
            OrderTask::ReturnPermit => self.return_permit().await,
        }
    }

    /// Reads the engine's report, or checks the health of a plain service. Returns `false` if the response is missing,
    /// not 200 or not a valid report.
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
        // A requested pause is read only from a 503, so that a report, which has status 200, has none that could be
        // invalid.
        let (notice, _) =
            headers::parse_upstream_notice(answer.status(), answer.headers(), SystemTime::now());
        let report = match upstream.kind {
            UpstreamKind::Service => Some(EngineReport::default()),
            UpstreamKind::Engine => serde_json::from_slice::<EngineReport>(answer.body()).ok(),
        };
        match report {
            Some(report) => {
                let leaving = report.leaving || notice.is_leaving;
                self.send_event(AgentEvent::ReportReceived(EngineReport { leaving, ..report }));
                true
            },
            None => false,
        }
    }

    async fn send_order(&self, order: EngineOrder) {
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
        self.metrics.record_order(matches!(order.kind, OrderKind::Load(_)), outcome_label(end));
        self.send_event(AgentEvent::OrderEnded(order.fence, end));
    }

    /// Requests a permit from the coordinator. If there is none, or it does not answer, the load is delayed so that the
    /// agent keeps to an equal share of the load rate, which needs no coordination.
    async fn ask_permit(&self, value: f64) -> PermitResponse {
        let host = self.settings.process.host.clone();
        let ask = PermitRequest { host, value };
        if let Some(coordinator) = self.coordinator_address() {
            let request = |client: AgentControlClient, context| async move {
                client.ask_permit(context, ask).await
            };
            if let Ok(answer) = self.pool.call(&coordinator, COORDINATOR_TIMEOUT, request).await {
                return answer;
            }
        }
        sleep(self.equal_share_interval()).await;
        PermitResponse::Granted
    }

    fn equal_share_interval(&self) -> Duration {
        let limits = self.shelf.bundle().map(|bundle| bundle.content.loads).unwrap_or_default();
        let agents = self.engine_hosts().len().max(1);
        Duration::from_secs_f64(agents as f64 / limits.per_second)
    }

    async fn return_permit(&self) {
        let Some(coordinator) = self.coordinator_address() else { return };
        let host = self.settings.process.host.clone();
        let request = |client: AgentControlClient, context| async move {
            client.return_permit(context, host).await
        };
        // A permit that is not returned expires.
        let _ = self.pool.call(&coordinator, COORDINATOR_TIMEOUT, request).await;
    }

    fn engine_hosts(&self) -> Vec<(String, String)> {
        let hosts = self.shelf.hosts();
        let engines = hosts.iter().filter(|record| {
            record.kind == UpstreamKind::Engine && record.state == HostState::Live
        });
        engines.map(|record| (record.host.clone(), record.control.clone())).collect()
    }

    /// Returns the control address of the agent that acts as the permit coordinator.
    fn coordinator_address(&self) -> Option<String> {
        let hosts = self.engine_hosts();
        let names = hosts.iter().map(|(host, _)| host.as_str());
        let coordinator = rendezvous::first(PERMIT_COORDINATOR_KEY, names)?;
        hosts.iter().find(|(host, _)| host == coordinator).map(|(_, control)| control.clone())
    }
}

fn outcome_label(end: OrderEnd) -> &'static str {
    match end {
        OrderEnd::Done => "done",
        OrderEnd::Stale(_) => "stale",
        OrderEnd::Failed => "failed",
        OrderEnd::Unknown => "unknown",
    }
}
