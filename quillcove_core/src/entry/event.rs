//! Events, actions and settings of the entry's state machine.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::adapter::AdapterRef;
use crate::agent::event::{HostState, UpstreamKind};
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::crash::digest::RequestIdentity;
use crate::crash::telling::CrashReport;
use crate::ids::{
    AttemptId, BundleVersion, CallerId, HallName, HostId, Incarnation, ModelName, MonoTime,
    RequestId, ServiceName,
};
use crate::verdict::WorkRefusal;

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// Any engine of the adapter's base model.
    Adapter {
        /// Adapter and its version.
        adapter: AdapterRef,
        /// Base model of the adapter.
        model: ModelName,
    },
    /// Any replica of a plain service.
    Service(ServiceName),
    /// Only this host, because it owns the request's ticket or key.
    Owner(HostId),
}

/// Whether a request may be retried after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatRule {
    /// It may run more than once.
    Repeatable,
    /// It must run at most once.
    Once,
}

/// Request of a caller, with what is needed to route it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteQuery {
    /// Id of the request.
    pub request: RequestId,
    /// Target of the request.
    pub target: RouteTarget,
    /// Work class, which orders requests by urgency.
    pub class: WorkClass,
    /// Whether it may be retried after it may have run.
    pub repeat: RepeatRule,
    /// Deadline on the entry's monotonic clock.
    pub deadline: MonoTime,
    /// Caller that sent it.
    pub caller: CallerId,
    /// Hash of the start of the prompt, for engines that cache prefixes.
    pub prefix: Option<u64>,
    /// Attempt limit of its route; the lower of this and [`EntryRules::attempt_limit`] applies.
    pub attempt_limit: Option<u32>,
    /// Digest of its content and caller, equal for repeated requests with different ids; `None` if
    /// unknown.
    pub identity: Option<RequestIdentity>,
}

/// One host of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: HostId,
    /// Address (IP and port) at which the agent accepts attempts.
    pub address: String,
    /// Address (IP and port) at which the agent accepts control calls of other quillcove processes.
    pub control: String,
    /// Hall of the host.
    pub hall: HallName,
    /// Whether the host is live or draining.
    pub state: HostState,
    /// Kind of its upstream.
    pub kind: UpstreamKind,
    /// Base model of an engine, or name of a plain service.
    pub serves: String,
}

impl HostRecord {
    /// Returns whether the host's agent accepts requests for this target.
    ///
    /// ```no_run
    /// # use quillcove_core::entry::event::{HostRecord, RouteTarget};
    /// # fn record() -> HostRecord { unimplemented!() }
    /// record().fits(&RouteTarget::Service("booking".into()));
    /// ```
    pub fn fits(&self, target: &RouteTarget) -> bool {
        match target {
            RouteTarget::Adapter { model, .. } => {
                self.kind == UpstreamKind::Engine && self.serves == *model
            },
            RouteTarget::Service(service) => {
                self.kind == UpstreamKind::Service && self.serves == *service
            },
            RouteTarget::Owner(host) => self.host == *host,
        }
    }
}

/// Status that an agent sends with each response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Whether it rejects new work because it is draining.
    pub leaving: bool,
    /// Attempts running at its upstream.
    pub running: usize,
    /// Attempts waiting in its queue.
    pub waiting: usize,
    /// Attempts that its upstream can run at the same time.
    pub capacity: usize,
    /// Version of the bundle in force at the agent.
    pub bundle: BundleVersion,
    /// Crash records of requests that were running when its upstream exited.
    #[serde(default, skip_serializing_if = "CrashReport::is_empty")]
    pub crashes: CrashReport,
    /// Remaining time of the pause requested by its upstream, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rest_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Outcome of an attempt, as seen by the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The response started. It is passed on to the caller, so the request is not retried after
    /// this.
    Answered,
    /// The agent rejected it.
    Refused(WorkRefusal),
    /// The connection could not be established, so nothing was sent.
    Unreachable,
    /// It was sent, and then the connection broke or timed out.
    Lost,
}

/// Input of the entry's state machine.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request was admitted.
    Admitted(RouteQuery),
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptEnd),
    /// The response was passed on completely, or the caller disconnected.
    RequestDone(RequestId),
    /// An agent sent its status.
    StatusReceived(HostId, AgentStatus),
    /// The host list was read, or reading it failed (`None`).
    HostsRead(Option<Vec<HostRecord>>),
    /// A verified bundle was received.
    BundleActivated(Arc<FleetBundle>),
    /// The process was asked to stop.
    StopRequested,
    /// Periodic timer tick.
    Ticked,
}

/// An attempt to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// Request that it belongs to.
    pub request: RequestId,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Host whose agent receives it.
    pub host: HostId,
    /// Address of that agent.
    pub address: String,
    /// Incarnation of that agent, 0 if not known yet. The agent rejects an attempt with any other
    /// incarnation than its own, and reports its own with the rejection.
    pub incarnation: Incarnation,
}

/// Output of the entry's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryAction {
    /// Send an attempt to an agent.
    Send(AttemptOrder),
    /// Reject the caller's request.
    Reject(RequestId, WorkRefusal),
    /// Read the host list now, because this process was suspended.
    ReadHosts,
    /// Request the newer bundle that an agent has reported.
    RequestBundle,
    /// No request is in flight and the process may exit.
    Stopped,
}

/// Algorithm that chooses the upstream of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteRule {
    /// Uniformly at random; a baseline for comparison.
    Random,
    /// Lowest load; a baseline for comparison.
    LeastLoaded,
    /// Highest rank by rendezvous hashing; a baseline for comparison.
    Rendezvous,
    /// Highest rank by rendezvous hashing among upstreams whose load is within the bound.
    BoundedRendezvous,
}

/// Settings of the entry's state machine.
#[derive(Clone, Debug)]
pub struct EntryRules {
    /// Hall of this process; upstreams there are near.
    pub hall: HallName,
    /// Algorithm that chooses the upstream of a request for an adapter.
    pub route: RouteRule,
    /// Load, as a multiple of the mean load, from which the next upstream in rank is chosen.
    pub load_bound: f64,
    /// Amount subtracted from the rank of a far host; ranks range from 0 to 1.
    pub far_penalty: f64,
    /// Maximum number of requests in flight.
    pub request_limit: usize,
    /// Maximum number of attempts per request.
    pub attempt_limit: u32,
    /// Retries allowed per first attempt, on average.
    pub retry_share: f64,
    /// Consecutive failures after which an upstream is ejected for a while.
    pub eject_after: u32,
    /// Duration of the first ejection; doubles with each consecutive ejection.
    pub eject_time: Duration,
    /// Minimum share of a target's upstreams that must not be ejected; if fewer remain, ejections are
    /// ignored.
    pub eject_floor: f64,
    /// Time after an ejection over which an upstream's share of the load increases to its full share.
    pub slow_start: Duration,
    /// Gap between events that counts as a suspension of the process.
    pub suspension_limit: Duration,
}

impl Default for EntryRules {
    fn default() -> Self {
        Self {
            hall: HallName::new(),
            route: RouteRule::BoundedRendezvous,
            load_bound: 1.5,
            far_penalty: 0.2,
            request_limit: 4096,
            attempt_limit: 4,
            retry_share: 0.2,
            eject_after: 3,
            eject_time: Duration::from_secs(1),
            eject_floor: 0.5,
            slow_start: Duration::from_secs(10),
            suspension_limit: Duration::from_secs(2),
        }
    }
}
