//! Messages that relays and loaders send to each other, each small enough for one datagram.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::change_word::StoreChangeMessage;
use super::engine_status::{EngineStatus, LoadReply, PromptReport};
use super::knowledge::{FreshnessProof, StoreSummary};
use super::origin::{OriginAnswer, OriginQuestion, StreamOrigin};
use super::sheet::ConfigVersion;
use crate::access::spending::UsageReport;
use crate::crash::telling::{CrashAsk, CrashReport};
use crate::ids::{
    AdapterKey, AdapterName, AdapterVersion, HallName, HostId, ModelName, ReplicaId, StartTime,
};
use crate::standing::limit::RateLimit;

/// Number of orders that an engine has accepted since its start.
pub type OrderCount = u64;

/// An adapter that an engine holds or is loading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Its version.
    pub version: AdapterVersion,
}

/// A request that an engine processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRun {
    /// Id of the request at the engine.
    pub id: String,
    /// Its tokens in memory: those of the prompt and of the response so far.
    pub tokens: u64,
    /// Events of its response so far; 0 until its prompt has been processed.
    pub events: u64,
}

/// An engine's report of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Start time of its process; `None` if the engine does not report it.
    pub born: Option<StartTime>,
    /// Base models that are loaded.
    pub models: Vec<ModelName>,
    /// Base models of which its host has a copy, in memory or on disk, so that a load reads nothing from
    /// the weight store.
    pub local_models: Vec<ModelName>,
    /// Adapters that are loaded.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters that are being loaded.
    pub incoming: Vec<HeldAdapter>,
    /// Whether an order is under way during which the engine accepts no other.
    pub is_busy: bool,
    /// Orders accepted since its start; `None` if the engine does not count them.
    pub orders_taken: Option<OrderCount>,
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in the engine's queue.
    pub waiting: u32,
    /// The requests being processed; empty if the engine does not list them. Not sent to relays.
    pub runs: Vec<EngineRun>,
    /// Tokens of prompts and responses in memory that cannot be evicted.
    pub tokens_used: u64,
    /// Capacity of the memory, in tokens.
    pub tokens_total: u64,
    /// Whether the engine reports that it is draining.
    pub is_leaving: bool,
}

impl EngineReport {
    /// Returns the version in which an adapter is loaded; 0 if it is not loaded.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::ids::AdapterKey;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(EngineReport::default().version_of(&key), 0);
    /// ```
    pub fn version_of(&self, key: &AdapterKey) -> AdapterVersion {
        let held = self.adapters.iter().find(|held| held.key == *key);
        held.map_or(0, |held| held.version)
    }
}

/// A completed load of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivedLoad {
    /// Time from the order until the engine reported the adapter as loaded.
    pub took: Duration,
    /// Whether the engine had held it before, so that its host still had a copy.
    pub was_warm: bool,
}

/// Full heartbeat of a loader, with the report of its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHeartbeat {
    /// Host on which loader and engine run.
    pub host: HostId,
    /// Address at which the engine serves requests.
    pub engine: SocketAddr,
    /// Sequence number, increased with each heartbeat of a loader process, so that receivers drop late
    /// ones.
    pub number: u64,
    /// Random number that the loader process draws at its start.
    pub incarnation: u64,
    /// Increased with each change of the models and adapters of the engine, so that a gauge heartbeat
    /// identifies the report to which it belongs.
    pub content: u64,
    /// The engine's report, without the fields that only its loader needs.
    #[serde(with = "super::packed")]
    pub report: EngineReport,
    /// Requests in flight for each adapter of the report, in the report's order, over all relays.
    pub uses: Vec<u32>,
    /// Ages of the base-model loads that this loader has recently started.
    pub model_loads: Vec<Duration>,
    /// Adapter loads completed since the last heartbeat.
    pub arrivals: Vec<ArrivedLoad>,
    /// Number of adapters that the engine can load now, into free slots or in place of unused adapters;
    /// `None` until the loader knows the number of slots.
    pub spare_places: Option<u32>,
    /// Some of the relays from which the loader has recently received messages, others with each
    /// heartbeat.
    pub relays: Vec<SocketAddr>,
}

/// The parts of an engine's state that change with each request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineGauges {
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in the engine's queue.
    pub waiting: u32,
    /// Whether an order is under way during which the engine accepts no other.
    pub is_busy: bool,
    /// Number of adapters that the engine can load now, as in [`EngineHeartbeat::spare_places`].
    pub spare_places: Option<u32>,
    /// Requests in flight for each adapter, as in [`EngineHeartbeat::uses`].
    pub uses: Vec<u32>,
}

/// Short heartbeat of a loader whose engine has the same models and adapters as in the last full
/// heartbeat. It takes about a fifth of the bytes of a full one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GaugeHeartbeat {
    /// Address at which the engine serves requests.
    pub engine: SocketAddr,
    /// Sequence number, shared with the full heartbeats of the loader process.
    pub number: u64,
    /// Random number that the loader process draws at its start.
    pub incarnation: u64,
    /// Content to which the gauges belong, as in [`EngineHeartbeat::content`].
    pub content: u64,
    /// Current values.
    pub gauges: EngineGauges,
}

/// A relay's request for a full heartbeat, sent when it lacks the report to which gauges belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResendRequest {
    /// Address to which the heartbeat is to be sent.
    pub relay: SocketAddr,
}

/// Heartbeat of a relay to the other relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHeartbeat {
    /// Host on which the relay runs.
    pub host: HostId,
    /// Hall of that host.
    pub hall: HallName,
    /// Address at which it receives messages of other processes.
    pub address: SocketAddr,
    /// Configuration version in force at the relay.
    pub sheet: ConfigVersion,
    /// Its state summary: up to where it knows the store.
    pub word: StoreSummary,
    /// Number of adapters that its requests are missing, including those with an open load request.
    pub lacking: u32,
    /// Time until its next heartbeat to the receiver.
    pub interval: Duration,
    /// Number of relays from which it receives heartbeats.
    pub heard: u32,
    /// Some of these relays, others with each heartbeat, so that relays discover each other.
    pub relays: Vec<SocketAddr>,
}

/// Rate limit announced by a replica, as one relay knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedLimit {
    /// The replica.
    pub replica: ReplicaId,
    /// Start time of its process, if the replica reports it.
    pub born: Option<StartTime>,
    /// Rate that it accepts from all relays together; `None` once it announces no limit any more.
    pub limit: Option<RateLimit>,
    /// Age of the response that announced it.
    pub age: Duration,
}

/// Rate limits of replicas, sent from a relay to other relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// One entry per replica.
    pub words: Vec<AnnouncedLimit>,
}

/// Summary of the other relays, by which a relay's share of the weight store is computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherRelays {
    /// Number of relays whose heartbeats have recently been received.
    pub count: usize,
    /// Number of those received within the last two heartbeat intervals.
    pub recent: usize,
    /// Sum of their missing adapters.
    pub lacking: usize,
}

/// A relay's recent use of one adapter of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// The adapter.
    pub key: AdapterKey,
    /// Requests sent since the relay's last heartbeat.
    pub sent: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Heartbeat of a relay to a loader, with the relay's use of the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseHeartbeat {
    /// Address to which the loader's heartbeats are to be sent.
    pub relay: SocketAddr,
    /// Adapters of the loader's engine that the relay uses.
    pub uses: Vec<AdapterUse>,
}

/// Load request of a relay to a loader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Id of the engine in the platform's listing.
    pub replica: ReplicaId,
    /// Base model to load, or that of the adapter.
    pub model: ModelName,
    /// Adapter to load; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
    /// Version to load; `None` for the newest.
    pub version: Option<AdapterVersion>,
    /// Number of adapter slots of the engine, so that its loader never orders more loads than fit.
    pub places: u32,
}

impl LoadRequest {
    /// Returns the requested adapter; `None` for a base model.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::LoadRequest;
    ///
    /// let request = LoadRequest {
    ///     replica: "i-1".into(),
    ///     model: "m".into(),
    ///     adapter: None,
    ///     version: None,
    ///     places: 4,
    /// };
    /// assert_eq!(request.key(), None);
    /// ```
    pub fn key(&self) -> Option<AdapterKey> {
        let adapter = self.adapter.clone()?;
        Some(AdapterKey { model: self.model.clone(), adapter })
    }
}

/// A load request with the address of the engine whose loader receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedLoadRequest {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The load request.
    pub ask: LoadRequest,
}

/// A message between two processes of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From a relay to relays.
    Relay(RelayHeartbeat),
    /// From a relay to a loader.
    Use(UseHeartbeat),
    /// From a loader to relays.
    Engine(Box<EngineHeartbeat>),
    /// From a relay to a loader.
    Load(LoadRequest),
    /// From a loader to relays.
    Gauges(GaugeHeartbeat),
    /// From a relay to a loader.
    Resend(ResendRequest),
    /// From a relay to relays.
    Spend(UsageReport),
    /// From a relay to a relay.
    ProofAsk(FreshnessRequest),
    /// From a relay to the relay that sent the [`FreshnessRequest`].
    Proof(FreshnessResponse),
    /// From a relay to relays and loaders, and from a loader to relays.
    Crash(CrashReport),
    /// From a relay to a relay or a loader.
    CrashAsk(CrashAsk),
    /// From a relay to relays.
    Limit(LimitUpdate),
    /// From a direct reader of the store to the other relays of its hall.
    Change(StoreChangeMessage),
    /// From a loader to relays.
    Status(EngineStatus),
    /// From a relay to a loader.
    Prompts(PromptReport),
    /// From a loader to the relay that sent a load request.
    Reply(LoadReply),
    /// From a relay to the holders of a stream.
    Origin(StreamOrigin),
    /// From a relay to the holders of a stream.
    OriginAsk(OriginQuestion),
    /// From a holder to the relay that sent the [`OriginQuestion`].
    OriginReply(OriginAnswer),
}

/// A relay's request to another relay for the age of its freshness proof: the proof that it knows all
/// that the operator has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessRequest {
    /// Address to which the response is to be sent.
    pub relay: SocketAddr,
    /// Identifies the request, so that the age in the response counts from when the request was sent.
    pub number: u64,
}

/// The response to a [`FreshnessRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessResponse {
    /// Number of the request.
    pub number: u64,
    /// Age of the proof, and the store positions to which it applies.
    pub word: FreshnessProof,
}

/// The kinds of [`PeerMessage`] by which messages and bytes are counted in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PeerMessageKind {
    /// [`PeerMessage::Relay`].
    Relay,
    /// [`PeerMessage::Use`].
    Use,
    /// [`PeerMessage::Engine`].
    Engine,
    /// [`PeerMessage::Load`].
    Load,
    /// [`PeerMessage::Gauges`].
    Gauges,
    /// [`PeerMessage::Resend`].
    Resend,
    /// [`PeerMessage::Spend`].
    Spend,
    /// [`PeerMessage::ProofAsk`] and [`PeerMessage::Proof`].
    Proof,
    /// [`PeerMessage::Crash`] and [`PeerMessage::CrashAsk`].
    Crash,
    /// [`PeerMessage::Limit`].
    Limit,
    /// [`PeerMessage::Change`].
    Change,
    /// [`PeerMessage::Status`].
    Status,
    /// [`PeerMessage::Prompts`].
    Prompts,
    /// [`PeerMessage::Reply`].
    Reply,
    /// [`PeerMessage::Origin`], [`PeerMessage::OriginAsk`] and [`PeerMessage::OriginReply`].
    Origin,
}

impl PeerMessageKind {
    /// Returns the kind's label in metrics.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::PeerMessageKind;
    ///
    /// assert_eq!(PeerMessageKind::Use.label(), "use");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Relay => "relay",
            Self::Use => "use",
            Self::Engine => "engine",
            Self::Load => "load",
            Self::Gauges => "gauges",
            Self::Resend => "resend",
            Self::Spend => "spend",
            Self::Proof => "proof",
            Self::Crash => "crash",
            Self::Limit => "limit",
            Self::Change => "change",
            Self::Status => "status",
            Self::Prompts => "prompts",
            Self::Reply => "reply",
            Self::Origin => "origin",
        }
    }
}

impl PeerMessage {
    /// Returns the kind under which the message is counted.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::{PeerMessage, PeerMessageKind, ResendRequest};
    ///
    /// let request = ResendRequest { relay: "127.0.0.1:1".parse().unwrap() };
    /// assert_eq!(PeerMessage::Resend(request).kind(), PeerMessageKind::Resend);
    /// ```
    pub fn kind(&self) -> PeerMessageKind {
        match self {
            Self::Relay(_) => PeerMessageKind::Relay,
            Self::Use(_) => PeerMessageKind::Use,
            Self::Engine(_) => PeerMessageKind::Engine,
            Self::Load(_) => PeerMessageKind::Load,
            Self::Gauges(_) => PeerMessageKind::Gauges,
            Self::Resend(_) => PeerMessageKind::Resend,
            Self::Spend(_) => PeerMessageKind::Spend,
            Self::ProofAsk(_) | Self::Proof(_) => PeerMessageKind::Proof,
            Self::Crash(_) | Self::CrashAsk(_) => PeerMessageKind::Crash,
            Self::Limit(_) => PeerMessageKind::Limit,
            Self::Change(_) => PeerMessageKind::Change,
            Self::Status(_) => PeerMessageKind::Status,
            Self::Prompts(_) => PeerMessageKind::Prompts,
            Self::Reply(_) => PeerMessageKind::Reply,
            Self::Origin(_) | Self::OriginAsk(_) | Self::OriginReply(_) => PeerMessageKind::Origin,
        }
    }
}
