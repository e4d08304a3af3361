//! Orders to an engine, and how they end.

use std::time::Duration;

use serde::Serialize;

use super::beacon::{OrderCount, ReplicaId};
use crate::ids::{AdapterVersion, HostId, ModelName};

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OrderKind {
    /// Brings a base model or an adapter in.
    Load,
    /// Takes an adapter out.
    Unload,
}

/// An order to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadOrder {
    /// What it does.
    pub kind: OrderKind,
    /// Incarnation of the engine that is meant.
    pub replica: ReplicaId,
    /// Base model.
    pub model: ModelName,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<String>,
    /// Version of the adapter; `None` for the newest.
    pub version: Option<AdapterVersion>,
    /// Host that gives the order.
    pub holder: HostId,
    /// Grows over all orders of one holder.
    pub fence: u64,
    /// Orders that the engine had taken when this one was decided on. The engine refuses it when it
    /// has taken others since, so that two orders which fit one by one are not carried out together.
    pub orders_seen: Option<OrderCount>,
    /// What it was decided on.
    pub basis: OrderBasis,
}

/// What a loader knew of its engine when it decided on an order; for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderBasis {
    /// Age of the engine's last report.
    pub report_age: Duration,
    /// Adapters that the engine held.
    pub held: usize,
    /// Adapters on their way.
    pub coming: usize,
    /// Adapters for which the engine has room, by the ask.
    pub places: u32,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OrderOutcome {
    /// It is being carried out.
    Begun,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the engine has taken orders that this one did not know of.
    Busy,
    /// The engine has seen a higher fence.
    FenceTooLow,
    /// The engine is another incarnation, or does not take such an order.
    Rejected,
    /// No answer came; it may have been taken.
    Unanswered,
}
