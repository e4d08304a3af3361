//! What goes into the agent's machine and what comes out.

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
use crate::permit::PermitAnswer;
use crate::standing::notice::UpstreamNotice;
use crate::verdict::WorkRefusal;

/// What an attempt needs from the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkTarget {
    /// A model engine with this adapter.
    Adapter(AdapterRef),
    /// A plain service.
    Service,
}

/// One attempt that an entry sends to this agent.
#[derive(Clone, Debug, PartialEq)]
pub struct RunOrder {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// The run of the agent that the entry means.
    pub incarnation: Incarnation,
    /// Adapter or service.
    pub target: WorkTarget,
    /// Urgency.
    pub class: WorkClass,
    /// Time on the agent's clock after which the answer is of no use.
    pub deadline: MonoTime,
    /// Whose request it is.
    pub caller: CallerId,
    /// Set for a request that must not run twice.
    pub claim: Option<OnceClaim>,
    /// What it is, whatever its ids; `None` where that is not known.
    pub identity: Option<RequestIdentity>,
}

/// How a started attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The whole answer was received; the number is its HTTP status.
    Complete(u16),
    /// The upstream said that it did not run it, or it could not be reached at all.
    NotRun,
    /// The answer broke off, or the caller went and the upstream's answer was not awaited.
    Broken,
}

/// State of the engine as it reports it, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Differs after each restart of the engine.
    pub incarnation: Incarnation,
    /// Highest fence that the engine has seen in an order; zero where it does not check.
    pub highest_fence: OrderFence,
    /// Number of adapter slots.
    pub slots: usize,
    /// Number of requests that run in one batch.
    pub batch: usize,
    /// Adapters loaded.
    pub loaded: Vec<AdapterRef>,
    /// Requests running or queued in the engine, by adapter.
    pub running: Vec<(AdapterRef, usize)>,
    /// It says that it leaves.
    #[serde(default)]
    pub leaving: bool,
}

/// What an order asks of the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load this adapter into a free slot.
    Load(AdapterRef),
    /// Unload this adapter.
    Unload(AdapterRef),
    /// Change nothing; the order only raises the highest fence that the engine has seen.
    Claim,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Its position; the engine refuses lower ones than it has seen.
    pub fence: OrderFence,
    /// What to do.
    pub kind: OrderKind,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine did it, or it was so already.
    Done,
    /// The engine has seen this higher fence.
    Stale(OrderFence),
    /// The engine said that it could not.
    Failed,
    /// No answer; the order may be done, or done later.
    Unknown,
}

/// What the platform's host list says of the agent's own host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Takes work.
    Live,
    /// Takes no new work.
    Leaving,
}

/// Answer to an entry that withdraws an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WithdrawAnswer {
    /// It did not run, and a copy that arrives later will be refused.
    NotRun,
    /// It was started, or was meant for an earlier run of the agent.
    MayHaveRun,
}

/// Events of the agent's machine.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An entry sent an attempt.
    Arrived(RunOrder),
    /// An entry withdraws an attempt meant for the given run of the agent.
    Withdrawn(AttemptId, Incarnation),
    /// A started attempt ended.
    Ended(AttemptId, RunEnd),
    /// The engine reported.
    Reported(EngineReport),
    /// The upstream does not answer.
    UpstreamLost,
    /// The upstream said this of itself with an answer.
    Said(UpstreamNotice),
    /// The upstream answered an attempt well, and named no limit with it.
    NamedNoLimit(AttemptId),
    /// An order ended.
    OrderEnded(OrderFence, OrderEnd),
    /// The keeper answered; the machine's own pace applies when none could be reached.
    PermitAnswered(PermitAnswer),
    /// A bundle is in force.
    BundleTaken(Arc<FleetBundle>),
    /// The host list was read, or could not be read (`None`).
    HostSeen(Option<HostState>),
    /// The process is asked to stop.
    StopAsked,
    /// Time passed.
    Ticked,
}

/// Actions of the agent's machine.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Hand the attempt to the upstream.
    Start(AttemptId),
    /// Answer the attempt with a refusal.
    Refuse(AttemptId, WorkRefusal),
    /// Answer a withdrawal.
    AnswerWithdrawal(AttemptId, WithdrawAnswer),
    /// Send an order to the engine.
    Send(EngineOrder),
    /// Ask the keeper for a permit, with the value of the load.
    AskPermit(f64),
    /// Give the permit back.
    ReturnPermit,
    /// Read the host list now, because this process was paused.
    ReadHosts,
    /// The engine acted on this bundle version, which is newer than the one in force here.
    WitnessBundle(BundleVersion),
    /// Nothing is in flight and the process may end.
    Stopped,
}

/// Whether the upstream is a model engine or a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// Holds adapters in slots.
    Engine,
    /// Takes any request.
    Service,
}

/// Which adapter goes when a slot is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictRule {
    /// The one used longest ago; the baseline.
    Lru,
    /// The one of least value: faded demand times priority.
    Value,
}

/// Which adapter is loaded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadRule {
    /// The one whose first request waits longest; the baseline.
    Oldest,
    /// The one whose waiting requests weigh most.
    Value,
}

/// Whether loads wait for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PacingRule {
    /// Loads start at once; the baseline.
    None,
    /// Loads wait for a permit of the site's keeper.
    Keeper,
}

/// When batch-class work starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchRule {
    /// As soon as there is a place; the baseline.
    Eager,
    /// Beside other work, or once enough is gathered to fill a batch, or when half of its time
    /// is over.
    Gather,
}

/// Settings of the agent's machine.
#[derive(Clone, Debug)]
pub struct AgentRules {
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Whether the engine refuses orders with a lower fence.
    pub checks_fence: bool,
    /// Least term at an engine. It grows with each start of an agent on the host, so that an
    /// engine that has forgotten its fences is not taken over under an old term.
    pub least_term: u64,
    /// Most attempts that wait.
    pub queue_limit: usize,
    /// Most attempts handed to a plain service at the same time.
    pub service_limit: usize,
    /// Attempts handed to an engine beyond its batch, so that a place is filled at once.
    pub engine_margin: usize,
    /// Share of an engine's places that batch-class work may take.
    pub batch_share: f64,
    /// Longest that an order without an answer may still take effect.
    pub order_lifetime: Duration,
    /// After taking over an engine, how long nothing is unloaded because reports lag.
    pub settle_time: Duration,
    /// A gap between events that counts as a pause of the process.
    pub pause_limit: Duration,
    /// How long the identities of ended attempts are kept to refuse late copies.
    pub mark_lifetime: Duration,
    /// Half-life of an adapter's demand.
    pub half_life: Duration,
    /// An adapter is unloaded for another only when the other's value is this many times higher.
    pub evict_margin: f64,
    /// Choice of the adapter that goes.
    pub evict: EvictRule,
    /// Choice of the adapter that comes.
    pub load: LoadRule,
    /// Pacing of loads.
    pub pacing: PacingRule,
    /// Start of batch-class work.
    pub batch: BatchRule,
}

impl Default for AgentRules {
    fn default() -> Self {
        Self {
            kind: UpstreamKind::Engine,
            checks_fence: true,
            least_term: 0,
            queue_limit: 256,
            service_limit: 64,
            engine_margin: 2,
            batch_share: 0.75,
            order_lifetime: Duration::from_secs(10),
            settle_time: Duration::from_secs(2),
            pause_limit: Duration::from_secs(2),
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

/// What an attempt's end means for a run that must not happen twice.
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
