//! What goes into the entry's machine and what comes out.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::adapter::AdapterRef;
use crate::agent::event::{HostState, UpstreamKind};
use crate::bundle::FleetBundle;
use crate::class::WorkClass;
use crate::crash::digest::RequestIdentity;
use crate::crash::telling::CrashBeacon;
use crate::ids::{
    AttemptId, BundleVersion, CallerId, HallName, HostId, Incarnation, ModelName, MonoTime,
    RequestId, ServiceName,
};
use crate::verdict::WorkRefusal;

/// Where a request wants to go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// To an engine of the adapter's base model.
    Adapter {
        /// Adapter with version.
        adapter: AdapterRef,
        /// Its base model.
        model: ModelName,
    },
    /// To any replica of a plain service.
    Service(ServiceName),
    /// To this one host and no other, because it owns the request's ticket or key.
    Owner(HostId),
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatRule {
    /// It may run more than once.
    Repeatable,
    /// It must run at most once.
    Once,
}

/// One caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteQuery {
    /// Names the request.
    pub request: RequestId,
    /// Where it wants to go.
    pub target: RouteTarget,
    /// Urgency.
    pub class: WorkClass,
    /// Whether it may be repeated.
    pub repeat: RepeatRule,
    /// Time on the entry's clock after which the answer is of no use.
    pub deadline: MonoTime,
    /// Whose request it is.
    pub caller: CallerId,
    /// Hash of the prompt's beginning, for engines that cache prefixes.
    pub prefix: Option<u64>,
    /// Most upstreams that it may be sent to, where its route names fewer than the rules.
    pub attempt_limit: Option<u32>,
    /// What it is, whatever its id; `None` where that is not known.
    pub identity: Option<RequestIdentity>,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name.
    pub host: HostId,
    /// Address of the agent for attempts, as IP and port.
    pub address: String,
    /// Address of the agent for short calls of other quillcove processes, as IP and port.
    pub control: String,
    /// Hall.
    pub hall: HallName,
    /// Live or leaving.
    pub state: HostState,
    /// Kind of its upstream.
    pub kind: UpstreamKind,
    /// Base model of an engine, or name of a plain service.
    pub serves: String,
}

impl HostRecord {
    /// Tells whether the host's agent is for requests to this target.
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

/// What an agent says of itself with each answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentNews {
    /// Run of the agent.
    pub incarnation: Incarnation,
    /// Whether it refuses new work because it leaves.
    pub leaving: bool,
    /// Attempts at its upstream.
    pub running: usize,
    /// Attempts that wait.
    pub waiting: usize,
    /// Places at its upstream.
    pub capacity: usize,
    /// Bundle in force there.
    pub bundle: BundleVersion,
    /// Requests that were at its upstream when that ended.
    #[serde(default, skip_serializing_if = "CrashBeacon::is_empty")]
    pub crashes: CrashBeacon,
    /// How long its upstream still wants no work, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rest_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// How one attempt ended, as far as the entry can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream's answer begins; it goes to the caller and nothing is repeated after it.
    Answered,
    /// The agent refused it.
    Refused(WorkRefusal),
    /// No connection could be made, so it never left.
    Unreachable,
    /// It was sent, and then the connection broke or time ran out.
    Lost,
}

/// Events of the entry's machine.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request was admitted.
    Admitted(RouteQuery),
    /// An attempt ended.
    AttemptEnded(AttemptId, AttemptEnd),
    /// The answer to a request was passed on to its last byte, or the caller went.
    Done(RequestId),
    /// An agent spoke of itself.
    Heard(HostId, AgentNews),
    /// The host list was read, or could not be read (`None`).
    HostsSeen(Option<Vec<HostRecord>>),
    /// A bundle is in force.
    BundleTaken(Arc<FleetBundle>),
    /// The process is asked to stop.
    StopAsked,
    /// Time passed.
    Ticked,
}

/// One attempt to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// Request it belongs to.
    pub request: RequestId,
    /// Names the attempt.
    pub attempt: AttemptId,
    /// Host whose agent gets it.
    pub host: HostId,
    /// Address of that agent.
    pub address: String,
    /// Run of that agent; 0 when it is not known yet, which the agent refuses while it says its
    /// own.
    pub incarnation: Incarnation,
}

/// Actions of the entry's machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryAction {
    /// Send the request to an agent.
    Send(AttemptOrder),
    /// Answer the caller with a refusal.
    Finish(RequestId, WorkRefusal),
    /// Read the host list now, because this process was paused.
    ReadHosts,
    /// Ask agents for a newer bundle, because one of them has it.
    SeekBundle,
    /// Nothing is in flight and the process may end.
    Stopped,
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteRule {
    /// Any; a baseline.
    Random,
    /// The one with the fewest requests; a baseline.
    LeastLoaded,
    /// The first by rendezvous hashing; a baseline.
    Rendezvous,
    /// The first by rendezvous hashing that is not loaded beyond its share.
    BoundedRendezvous,
}

/// Settings of the entry's machine.
#[derive(Clone, Debug)]
pub struct EntryRules {
    /// Hall of this process.
    pub hall: HallName,
    /// Choice of the upstream.
    pub route: RouteRule,
    /// An upstream may have this many times the mean load before the next in rank is taken.
    pub load_bound: f64,
    /// Rank places that a host in another hall loses, as a share of the whole range.
    pub far_penalty: f64,
    /// Most requests in flight.
    pub request_limit: usize,
    /// Most attempts for one request.
    pub attempt_limit: u32,
    /// Repeats allowed for each first attempt, over time.
    pub retry_share: f64,
    /// Failures in a row after which an upstream is left out for a while.
    pub eject_after: u32,
    /// First time that an upstream is left out; doubles with each further time.
    pub eject_time: Duration,
    /// Share of the upstreams for one target that stay in whatever they do.
    pub eject_floor: f64,
    /// Time over which a returned upstream gets its full share again.
    pub slow_start: Duration,
    /// A gap between events that counts as a pause of the process.
    pub pause_limit: Duration,
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
            pause_limit: Duration::from_secs(2),
        }
    }
}
