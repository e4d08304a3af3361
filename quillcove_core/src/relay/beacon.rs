//! What relays and loaders tell each other, each message small enough for one datagram.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::change_word::ChangeBeacon;
use super::knowledge::{ProofWord, StoreWord};
use super::sheet::SheetVersion;
use crate::access::spending::SpendBeacon;
use crate::crash::telling::{CrashAsk, CrashBeacon};
use crate::ids::{AdapterName, AdapterVersion, HallName, HostId, ModelName};
use crate::standing::limit::RateLimit;

/// Names a replica, as the platform lists it. It may start again under the same id.
pub type ReplicaId = String;

/// When a replica started, in milliseconds of the wall clock; later ones are restarts.
pub type StartTime = u64;

/// Number of orders that an engine has taken since its start.
pub type OrderCount = u64;

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
    /// When it started; `None` for an engine that does not say.
    pub born: Option<StartTime>,
    /// Base models that it holds.
    pub models: Vec<ModelName>,
    /// Base models that its host has a copy of, in memory or on disk, so that a load takes nothing
    /// from the weight store.
    pub local_models: Vec<ModelName>,
    /// Adapters that it holds.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters on their way.
    pub incoming: Vec<HeldAdapter>,
    /// Whether an order is under way that excludes others.
    pub is_busy: bool,
    /// Orders that it has taken since its start; `None` for an engine that does not count them.
    pub orders_taken: Option<OrderCount>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of prompts and answers in memory that can not give way.
    pub tokens_used: u64,
    /// Tokens that the memory holds.
    pub tokens_total: u64,
    /// The engine says that it leaves.
    pub is_leaving: bool,
}

impl EngineReport {
    /// The version in which an adapter is held; 0 where it is not.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::{AdapterKey, EngineReport};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(EngineReport::default().version_of(&key), 0);
    /// ```
    pub fn version_of(&self, key: &AdapterKey) -> AdapterVersion {
        let held = self.adapters.iter().find(|held| held.key == *key);
        held.map_or(0, |held| held.version)
    }
}

/// An adapter that came into an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivedLoad {
    /// Time from the order until the engine reported it.
    pub took: Duration,
    /// Whether the engine had held it before, so that its host still had a copy.
    pub was_warm: bool,
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
    /// Grows with each change of what the engine holds, so that gauges tell to which report they
    /// belong.
    pub content: u64,
    /// The engine's own words, less what only its loader needs.
    #[serde(with = "super::packed")]
    pub report: EngineReport,
    /// Requests in flight for each adapter of the report, in its order, over all relays.
    pub uses: Vec<u32>,
    /// Ages of the loads of base models that this loader began lately.
    pub model_loads: Vec<Duration>,
    /// Adapters that came in since the last beacon.
    pub arrivals: Vec<ArrivedLoad>,
    /// Adapters that the engine can take in now, in free places or for ones that nobody uses; `None`
    /// until the loader knows how many places there are.
    pub spare_places: Option<u32>,
    /// Some of the relays that the loader has heard lately, others with each beacon.
    pub relays: Vec<SocketAddr>,
}

/// What changes of an engine with each request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineGauges {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Whether an order is under way that excludes others.
    pub is_busy: bool,
    /// Adapters that the engine can take in now, as in [`EngineBeacon::spare_places`].
    pub spare_places: Option<u32>,
    /// Requests in flight for each adapter, as in [`EngineBeacon::uses`].
    pub uses: Vec<u32>,
}

/// A loader's report on an engine that still holds what the last whole report said. Of the bytes of
/// a whole report it takes about a fifth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GaugeBeacon {
    /// Where callers reach the engine.
    pub engine: SocketAddr,
    /// Grows with each beacon of one loader process, whole or not.
    pub number: u64,
    /// Random number of the loader process.
    pub incarnation: u64,
    /// Which content the gauges belong to, as in [`EngineBeacon::content`].
    pub content: u64,
    /// The gauges.
    pub gauges: EngineGauges,
}

/// A relay's wish for a whole report, as it has not had the one that the gauges belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResendAsk {
    /// Where the relay wants the report.
    pub relay: SocketAddr,
}

/// What a relay tells the other relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayBeacon {
    /// Host of the relay.
    pub host: HostId,
    /// Its hall.
    pub hall: HallName,
    /// Its address for other processes of the system.
    pub address: SocketAddr,
    /// Version of the sheet in force there.
    pub sheet: SheetVersion,
    /// What it knows of the store.
    pub word: StoreWord,
    /// Adapters that its requests lack, those that it has asked for included.
    pub lacking: u32,
    /// Time until its next word to the receiver.
    pub interval: Duration,
    /// Relays that it hears itself.
    pub heard: u32,
    /// Some of them, others with each word, so that relays which do not know each other yet meet.
    pub relays: Vec<SocketAddr>,
}

/// What a relay knows of one replica's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitWord {
    /// The replica.
    pub replica: ReplicaId,
    /// Which start of it, where it says so.
    pub born: Option<StartTime>,
    /// What it takes from all relays together; `None` when it names no limit any more.
    pub limit: Option<RateLimit>,
    /// Age of the answer that says so.
    pub age: Duration,
}

/// What a relay tells others of limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitBeacon {
    /// One for each replica.
    pub words: Vec<LimitWord>,
}

/// The other relays, as far as one relay's share of the weight store goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherRelays {
    /// How many were heard lately.
    pub count: usize,
    /// How many of them within the last two beacons.
    pub recent: usize,
    /// Adapters that their requests lack, in all.
    pub lacking: usize,
}

/// How much a relay used one adapter of an engine lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// Which adapter.
    pub key: AdapterKey,
    /// Requests sent since the relay's last beacon.
    pub sent: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// What a relay tells a loader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseBeacon {
    /// Where the relay wants reports.
    pub relay: SocketAddr,
    /// Adapters of the loader's engine that it uses.
    pub uses: Vec<AdapterUse>,
}

/// What a relay asks of a loader.
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
    /// Adapters for which the engine has room, so that its loader never orders more.
    pub places: u32,
}

impl LoadAsk {
    /// The adapter that is asked for; `None` for a base model.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::LoadAsk;
    ///
    /// let ask = LoadAsk {
    ///     replica: "i-1".into(),
    ///     model: "m".into(),
    ///     adapter: None,
    ///     version: None,
    ///     places: 4,
    /// };
    /// assert_eq!(ask.key(), None);
    /// ```
    pub fn key(&self) -> Option<AdapterKey> {
        let adapter = self.adapter.clone()?;
        Some(AdapterKey { model: self.model.clone(), adapter })
    }
}

/// An ask with the address of the engine whose loader gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedAsk {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The ask.
    pub ask: LoadAsk,
}

/// Every message between processes of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From a relay to relays.
    Relay(RelayBeacon),
    /// From a relay to a loader.
    Use(UseBeacon),
    /// From a loader to relays.
    Engine(Box<EngineBeacon>),
    /// From a relay to a loader.
    Load(LoadAsk),
    /// From a loader to relays.
    Gauges(GaugeBeacon),
    /// From a relay to a loader.
    Resend(ResendAsk),
    /// From a relay to relays.
    Spend(SpendBeacon),
    /// From a relay to a relay.
    ProofAsk(ProofAsk),
    /// From a relay to the relay that asked.
    Proof(ProofAnswer),
    /// From a relay to relays and loaders, and from a loader to relays.
    Crash(CrashBeacon),
    /// From a relay to a relay or a loader.
    CrashAsk(CrashAsk),
    /// From a relay to relays.
    Limit(LimitBeacon),
    /// From a relay that reads the store to the others of its hall.
    Change(ChangeBeacon),
}

/// A relay's question to another one how old its proof is that it knows all that the operator wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAsk {
    /// Where the relay wants the answer.
    pub relay: SocketAddr,
    /// Names the question, so that an answer counts from when it was asked.
    pub number: u64,
}

/// The answer to a [`ProofAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAnswer {
    /// The question.
    pub number: u64,
    /// What the relay knows.
    pub word: ProofWord,
}

/// The kinds of [`PeerMessage`], for counting their bytes.
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
}

impl PeerMessageKind {
    /// Its name in metrics.
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
        }
    }
}

impl PeerMessage {
    /// Its kind.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::{PeerMessage, PeerMessageKind, ResendAsk};
    ///
    /// let ask = ResendAsk { relay: "127.0.0.1:1".parse().unwrap() };
    /// assert_eq!(PeerMessage::Resend(ask).kind(), PeerMessageKind::Resend);
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
        }
    }
}
