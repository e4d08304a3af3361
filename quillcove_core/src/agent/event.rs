//! Events, actions and settings of the agent's state machine.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::adapter::AdapterRef;
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::crash::digest::RequestIdentity;
use crate::fence::OrderFence;
use crate::ids::{AttemptId, BundleVersion, CallerId, Incarnation, MonoTime};
use crate::once::book::{OnceClaim, OnceState};
use crate::permit::PermitResponse;
use crate::standing::notice::UpstreamNotice;
use crate::verdict::WorkRefusal;

/// Target of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkTarget {
    /// A model engine with this adapter.
    Adapter(AdapterRef),
    /// A plain service.
    Service,
}

/// A request of an entry to run one attempt at this agent's upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOrder {
    /// Unique id of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the agent that the entry addresses.
    pub incarnation: Incarnation,
    /// The adapter or service that the attempt needs.
    pub target: WorkTarget,
    /// Urgency class.
    pub class: WorkClass,
    /// Time on the agent's clock after which the response is useless.
    pub deadline: MonoTime,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// The run-once claim of a request that must not run twice.
    pub claim: Option<OnceClaim>,
    /// Identity of the request's content, independent of its ids; `None` when unknown.
    pub identity: Option<RequestIdentity>,
}

/// Outcome of a started attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The complete response was received; holds its HTTP status.
    Complete(u16),
    /// The upstream stated that it did not run the attempt, or could not be reached at all.
    NotRun,
    /// The response was cut off, or the caller disconnected and the upstream's response was not
    /// awaited.
    Broken,
}

/// State of the engine at the time of its report, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Changes with each restart of the engine.
    pub incarnation: Incarnation,
    /// Highest fence that the engine has seen in an order; zero if it does not check fences.
    pub highest_fence: OrderFence,
    /// Number of adapter slots.
    pub slots: usize,
    /// Number of requests in one batch.
    pub batch: usize,
    /// Loaded adapters.
    pub loaded: Vec<AdapterRef>,
    /// Requests running or queued in the engine, by adapter.
    pub running: Vec<(AdapterRef, usize)>,
    /// Whether the engine announces that it is draining.
    #[serde(default)]
    pub leaving: bool,
}

/// The operation that an order requests from the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load this adapter into a free slot.
    Load(AdapterRef),
    /// Unload this adapter.
    Unload(AdapterRef),
    /// Changes nothing except to raise the highest fence that the engine has seen.
    Claim,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Position of the order; the engine rejects orders with a lower fence than the highest it has
    /// seen.
    pub fence: OrderFence,
    /// Requested operation.
    pub kind: OrderKind,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine executed it, or its effect was already in place.
    Done,
    /// Rejected, because the engine has already seen this higher fence.
    Stale(OrderFence),
    /// The engine reported a failure.
    Failed,
    /// No response; the engine may have executed the order or may still do so.
    Unknown,
}

/// State of the agent's own host in the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Accepts new work.
    Live,
    /// Draining: accepts no new work.
    Leaving,
}

/// Response to an entry that withdraws an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WithdrawAnswer {
    /// The attempt did not run, and a copy that arrives later will be rejected.
    NotRun,
    /// The attempt was started, or was addressed to another incarnation of the agent.
    MayHaveRun,
}

/// Events that the agent's state machine handles.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry sent an attempt.
    AttemptReceived(RunOrder),
    /// An entry withdraws an attempt that it sent to the given incarnation of the agent.
    Withdrawn(AttemptId, Incarnation),
    /// A started attempt ended.
    RunEnded(AttemptId, RunEnd),
    /// The upstream sent a report.
    ReportReceived(EngineReport),
    /// The upstream does not respond.
    UpstreamUnreachable,
    /// The upstream reported its status with a response.
    NoticeReceived(UpstreamNotice),
    /// The upstream responded successfully to an attempt and announced no rate limit with the
    /// response.
    NoLimitAnnounced(AttemptId),
    /// An order ended.
    OrderEnded(OrderFence, OrderEnd),
    /// The load rate coordinator answered, or none could be reached and the agent paces its loads
    /// at its equal share of the rate.
    PermitAnswered(PermitResponse),
    /// A bundle came into force.
    BundleActivated(Arc<FleetBundle>),
    /// The host list was read, or could not be read (`None`).
    HostStateRead(Option<HostState>),
    /// The process was asked to stop.
    StopRequested,
    /// Periodic timer.
    Ticked,
}

/// Actions that the agent's state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Hand the attempt to the upstream.
    StartAttempt(AttemptId),
    /// Reject the attempt.
    Refuse(AttemptId, WorkRefusal),
    /// Respond to a withdrawal.
    AnswerWithdrawal(AttemptId, WithdrawAnswer),
    /// Send an order to the engine.
    SendOrder(EngineOrder),
    /// Request a permit from the load rate coordinator, with the value of the load.
    RequestPermit(f64),
    /// Return the permit.
    ReturnPermit,
    /// Read the host list now, because this process was suspended.
    ReadHosts,
    /// The engine acted on this bundle version, which is newer than the one in force here.
    ReportNewerBundle(BundleVersion),
    /// No attempt is in flight and the process may exit.
    Stopped,
}

/// Whether the upstream is a model engine or a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// Holds adapters in slots.
    Engine,
    /// Accepts any request.
    Service,
}

/// Which adapter is evicted when a slot is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictRule {
    /// The least recently used one; the baseline.
    Lru,
    /// The one with the lowest value: decayed demand times the weight of its priority.
    Value,
}

/// Which adapter is loaded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadRule {
    /// The one whose oldest request has waited longest; the baseline.
    Oldest,
    /// The one whose waiting requests have the highest total weight.
    Value,
}

/// Whether loads wait for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PacingRule {
    /// Loads start at once; the baseline.
    None,
    /// Loads wait for a permit from the site's load rate coordinator.
    Keeper,
}

/// When batch-class work starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchRule {
    /// As soon as the upstream has capacity; the baseline.
    Eager,
    /// Beside other work, once enough has accumulated to fill a batch, or when half of the time
    /// until an attempt's deadline has passed.
    Gather,
}

/// Settings of the agent's machine.
#[derive(Clone, Debug)]
pub struct AgentRules {
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Whether the engine rejects orders with a lower fence.
    pub checks_fence: bool,
    /// Lowest term to use at an engine. It grows with each start of an agent on the host, so that
    /// an engine that has lost its fences is not taken over under an old term.
    pub min_term: u64,
    /// Maximum number of waiting attempts.
    pub queue_limit: usize,
    /// Maximum number of concurrent attempts at a plain service.
    pub service_limit: usize,
    /// Number of attempts sent to an engine beyond its batch size, so that a free place in the
    /// batch is filled immediately.
    pub engine_margin: usize,
    /// Share of the engine's capacity that batch-class work may use, from 0 to 1.
    pub batch_share: f64,
    /// Maximum time during which an unanswered order may still take effect.
    pub order_lifetime: Duration,
    /// Time after the takeover of an engine during which nothing is unloaded, because reports may
    /// be outdated.
    pub settle_time: Duration,
    /// Time between events above which the process counts as suspended.
    pub suspension_limit: Duration,
    /// How long marks of ended attempts are kept to reject late copies.
    pub mark_lifetime: Duration,
    /// Half-life of an adapter's demand.
    pub half_life: Duration,
    /// Factor by which the value of a load must exceed the value of the adapter that it evicts.
    pub evict_margin: f64,
    /// Selection of the adapter to evict.
    pub evict: EvictRule,
    /// Selection of the adapter to load.
    pub load: LoadRule,
    /// Whether loads wait for a permit.
    pub pacing: PacingRule,
    /// When batch-class work starts.
    pub batch: BatchRule,
}

impl Default for AgentRules {
    fn default() -> Self {
        Self {
            kind: UpstreamKind::Engine,
            checks_fence: true,
            min_term: 0,
            queue_limit: 256,
            service_limit: 64,
            engine_margin: 2,
            batch_share: 0.75,
            order_lifetime: Duration::from_secs(10),
            settle_time: Duration::from_secs(2),
            suspension_limit: Duration::from_secs(2),
            mark_lifetime: Duration::from_secs(600),
            half_life: Duration::from_secs(30),
            evict_margin: 1.0,
            evict: EvictRule::Value,
            load: LoadRule::Value,
            pacing: PacingRule::Keeper,
            batch: BatchRule::Gather,
        }
    }
}

/// Returns the state to record for a run-once attempt that ended, or `None` if it did not run.
///
/// ```
/// use quillcove_core::agent::event::{RunEnd, once_state};
/// use quillcove_core::once::book::OnceState;
///
/// assert_eq!(once_state(RunEnd::NotRun), None);
/// assert_eq!(once_state(RunEnd::Broken), Some(OnceState::Uncertain));
/// ```
pub fn once_state(end: RunEnd) -> Option<OnceState> {
    match end {
        RunEnd::Complete(status) => Some(OnceState::Ran(status)),
        RunEnd::NotRun => None,
        RunEnd::Broken => Some(OnceState::Uncertain),
    }
}
