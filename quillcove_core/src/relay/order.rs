//! Orders that a loader gives to its engine, and their outcomes.

use std::time::Duration;

use serde::Serialize;

use super::beacon::OrderCount;
use crate::ids::{AdapterVersion, HostId, ModelName, ReplicaId};

/// The operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OrderKind {
    /// Loads a base model or an adapter.
    Load,
    /// Unloads an adapter.
    Unload,
}

/// An order to load or unload a base model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadOrder {
    /// Operation to carry out.
    pub kind: OrderKind,
    /// Id of the engine in the platform's listing; an engine with another id rejects the order.
    pub replica: ReplicaId,
    /// Base model to load, or that of the adapter.
    pub model: ModelName,
    /// Adapter; `None` for the base model itself.
    pub adapter: Option<String>,
    /// Version of the adapter to load; `None` for the newest.
    pub version: Option<AdapterVersion>,
    /// Host whose loader gives the order.
    pub holder: HostId,
    /// Fencing token, increased with each order of one holder.
    pub fence: u64,
    /// Number of orders that the engine had accepted when this one was decided on. The engine rejects it
    /// if it has accepted others since, so that two orders that each fit alone are not both carried out.
    pub orders_seen: Option<OrderCount>,
    /// State of the engine on which the decision was based.
    pub basis: OrderBasis,
}

/// State of the engine as its loader knew it when it decided on an order; for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderBasis {
    /// Age of the engine's last report.
    pub report_age: Duration,
    /// Number of adapters that were loaded.
    pub held: usize,
    /// Number of adapters that were being loaded.
    pub coming: usize,
    /// Number of adapter slots, from the load request.
    pub places: u32,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OrderOutcome {
    /// The engine has accepted it and is carrying it out.
    Begun,
    /// The requested state already holds.
    Holds,
    /// Another order is under way, or the engine has accepted orders not counted in
    /// [`LoadOrder::orders_seen`].
    Busy,
    /// The engine has received a higher fence.
    FenceTooLow,
    /// The order is for another replica id, or the engine does not accept such an order.
    Rejected,
    /// The engine did not respond; it may have accepted the order.
    Unanswered,
}
