//! What relays and loaders tell each other, each message small enough for one datagram.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::sheet::SheetVersion;
use crate::ids::{AdapterName, AdapterVersion, HostId, ModelName, ServiceName};

/// Identifies one start of a replica.
pub type ReplicaId = String;

/// Names an adapter of a base model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterKey {
    /// Base model.
    pub model: ModelName,
    /// Adapter.
    pub adapter: AdapterName,
}

/// One adapter in an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// Which adapter.
    pub key: AdapterKey,
    /// Its version.
    pub version: AdapterVersion,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Base models that it holds.
    pub models: Vec<ModelName>,
    /// Adapters that it holds.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters on their way.
    pub incoming: Vec<HeldAdapter>,
    /// Whether an order is under way that excludes others.
    pub is_busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of prompts and answers in memory that can not give way.
    pub tokens_used: u64,
    /// Tokens that the memory holds.
    pub tokens_total: u64,
}

/// A loader's report on its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineBeacon {
    /// Host of loader and engine.
    pub host: HostId,
    /// Where callers reach the engine.
    pub engine: SocketAddr,
    /// Grows with each beacon of one loader process, so that late ones are dropped.
    pub number: u64,
    /// Random number of the loader process.
    pub incarnation: u64,
    /// The engine's own words.
    pub report: EngineReport,
    /// Ages of the loads from the weight store that this loader began lately.
    pub recent_loads: Vec<Duration>,
    /// Relays that the loader has heard lately.
    pub relays: Vec<SocketAddr>,
}

/// An adapter that is asked for and that no engine has to spare.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdapterWant {
    /// Service whose engines should hold it.
    pub service: ServiceName,
    /// Which adapter.
    pub key: AdapterKey,
    /// Faded worth of the requests that asked for it.
    pub worth: f32,
}

/// When a wanted adapter will be there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedLoad {
    /// Which adapter.
    pub key: AdapterKey,
    /// Time from the beacon until it can serve.
    pub ready_in: Duration,
}

/// What a relay tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayBeacon {
    /// Host of the relay.
    pub host: HostId,
    /// Its address for other processes of the system.
    pub address: SocketAddr,
    /// Version of the sheet in force there.
    pub sheet: SheetVersion,
    /// Revision of the store up to which it has read.
    pub revision: u64,
    /// What it lacks, the worthiest first.
    pub wants: Vec<AdapterWant>,
    /// Given by the keeper: what will be loaded, in order.
    pub plan: Vec<PlannedLoad>,
    /// Whether this relay plans loads now.
    pub is_keeper: bool,
}

/// What the keeper asks of a loader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadAsk {
    /// Incarnation of the engine that is meant, as the platform lists it.
    pub replica: ReplicaId,
    /// Base model.
    pub model: ModelName,
    /// Adapter to load; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
    /// Version to load; `None` for the newest.
    pub version: Option<AdapterVersion>,
    /// Adapter that makes room first.
    pub evict: Option<AdapterKey>,
    /// Adapters for which the engine has room, so that its loader never orders more.
    pub places: u32,
}

/// Every message between processes of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From a relay to relays.
    Relay(RelayBeacon),
    /// From a relay to loaders: where reports are wanted.
    Listening(SocketAddr),
    /// From a loader to relays.
    Engine(EngineBeacon),
    /// From the keeper to a loader.
    Load(LoadAsk),
}
