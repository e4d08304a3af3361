//! The rules by which a relay decides. Each can be replaced by a simpler alternative to measure its effect.

use crate::access::limit::LimitRule;

/// How the replica for a prompt is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingRule {
    /// By the estimated time to the first event: the prefill of the engine's backlog and of the prompt itself.
    #[default]
    Reading,
    /// By the share of request slots in use.
    Places,
}

/// When another copy of an adapter is requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyRule {
    /// When a copy would be loaded before the adapter's engine has worked off its prefill backlog.
    #[default]
    Backlog,
    /// When most request slots of the adapter's engine are in use.
    Places,
}

/// Which priority rank a request has at its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorityRule {
    /// Rank of the route, but requests that can no longer meet their target latency rank after those that can.
    #[default]
    Feasible,
    /// Rank of the route.
    Route,
}

/// Which of several engines loads an adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// An engine with a free adapter slot, and of these the one with the smallest prefill backlog.
    #[default]
    SpareIdle,
    /// An engine with a free adapter slot, chosen by rendezvous hash.
    Spare,
    /// Any engine, chosen by rendezvous hash.
    Even,
}

impl PlacementRule {
    /// Returns whether an engine must have a free adapter slot.
    pub(super) fn needs_free_slot(self) -> bool {
        match self {
            Self::SpareIdle | Self::Spare => true,
            Self::Even => false,
        }
    }
}

/// How long a request waits for its adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitingRule {
    /// A first attempt as long as it can be served within its target latency; a retry as long as it can
    /// be served before its caller leaves.
    #[default]
    Returned,
    /// As long as it can be served before its caller leaves; after that it is rejected at once.
    Servable,
    /// As long as it can be served within its target latency, and up to twice that time if the load
    /// became late.
    Aim,
}

/// Which relays send requests to a replica that has announced a rate limit for all relays together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharingRule {
    /// A few relays, each with a larger share of the limit.
    #[default]
    Few,
    /// All relays, each with an even share.
    All,
}

/// Whether the rules for engines with scarce adapter slots apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ContentionRule {
    /// To services whose engines have scarce adapter slots, see
    /// [`EngineRecord::has_scarce_slots`](super::sheet::EngineRecord::has_scarce_slots).
    #[default]
    Auto,
    /// To all services with engines.
    Always,
    /// To none.
    Never,
}

/// All rules of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayPolicy {
    /// How the replica for a prompt is chosen.
    pub routing: RoutingRule,
    /// When another copy of an adapter is requested.
    pub copies: CopyRule,
    /// Which priority rank a request has at its engine.
    pub priority: PriorityRule,
    /// Which engine loads an adapter.
    pub placement: PlacementRule,
    /// How long a request waits for its adapter.
    pub waiting: WaitingRule,
    /// How the relays share the limits of workspaces.
    pub limits: LimitRule,
    /// Which relays share a rate limit announced by a replica.
    pub sharing: SharingRule,
    /// Whether the rules for engines with scarce adapter slots apply.
    pub contention: ContentionRule,
}
