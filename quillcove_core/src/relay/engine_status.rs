//! Messages about engines with scarce adapter slots: their status as their loaders measure it, the prompts that relays
//! have pending at them, and responses to load requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::AdapterKey;

/// Prompt tokens that were sent to an engine and whose first event has not been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingPrompts {
    /// Tokens of requests that are expected to meet their target latency.
    pub timely_tokens: u32,
    /// Tokens of requests that rank behind all timely ones.
    pub deferred_tokens: u32,
}

/// Performance of an engine, measured by its loader.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EnginePerformance {
    /// Prompt tokens processed per second of prefill, without the decode steps in between.
    pub prefill_rate: f32,
    /// Interval between two events of a running stream while no prompt is processed.
    pub event_interval: Duration,
    /// Longest time between two events of a running stream within the last second.
    pub longest_pause: Duration,
    /// Age of the measurement.
    pub age: Duration,
}

/// Status of an engine, sent by its loader to the relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Address at which the engine serves requests.
    pub engine: SocketAddr,
    /// Sequence number, shared with the heartbeats of the loader process, so that receivers drop late ones.
    pub number: u64,
    /// Random number that the loader process draws at its start.
    pub incarnation: u64,
    /// Whether the engine responds to its loader.
    pub is_reachable: bool,
    /// Pending prompts, summed over the relays that reported recently.
    pub pending: PendingPrompts,
    /// Estimated time until the engine can start another load; zero if it can now, `None` if it is unknown.
    pub slot_free_in: Option<Duration>,
    /// Number of most recently used adapters of which the host keeps a copy; `None` until loads have shown it.
    pub host_copies: Option<u32>,
    /// Measured performance; `None` until prompts were processed.
    pub performance: Option<EnginePerformance>,
}

impl EngineStatus {
    /// Returns the status of a reachable engine of which nothing has been measured.
    ///
    /// ```
    /// use quillcove_core::relay::engine_status::EngineStatus;
    ///
    /// assert!(EngineStatus::unknown("127.0.0.1:1".parse().unwrap()).is_reachable);
    /// ```
    pub fn unknown(engine: SocketAddr) -> Self {
        Self {
            engine,
            number: 0,
            incarnation: 0,
            is_reachable: true,
            pending: PendingPrompts::default(),
            slot_free_in: None,
            host_copies: None,
            performance: None,
        }
    }
}

/// A relay's report to a loader of the prompts that it has pending at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReport {
    /// Address at which the relay receives messages of other processes.
    pub relay: SocketAddr,
    /// Sequence number, increased with each report of a relay process to this loader.
    pub number: u64,
    /// Random number that the relay process draws at its start.
    pub incarnation: u64,
    /// The relay's pending prompts.
    pub pending: PendingPrompts,
}

/// A loader's response to a load request for an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReply {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The requested adapter.
    pub key: AdapterKey,
    /// What the loader does about the request.
    pub outcome: LoadOutcome,
}

/// What a loader does about a load request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadOutcome {
    /// The load has been ordered or is queued.
    Queued {
        /// Estimated time until the adapter is loaded.
        ready_in: Duration,
    },
    /// The request is not queued: no slot becomes free within the time for which requests are kept.
    Full {
        /// Estimated time until a slot becomes free.
        free_in: Duration,
    },
    /// The request is not queued: the engine does not respond.
    Unreachable,
}
