//! The rules by which a relay decides, each of which can be switched back for measurement.

use crate::access::limit::LimitRule;

/// How the replica for a prompt is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingRule {
    /// By the time until the first event: what the engine has to read, and the prompt itself.
    #[default]
    Reading,
    /// By the share of places in use.
    Places,
}

/// When another copy of an adapter is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyRule {
    /// When a copy is there sooner than its engine is done with what it has to read.
    #[default]
    Backlog,
    /// When the places of its engine are nearly taken.
    Places,
}

/// With which rank a request goes to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorityRule {
    /// What is too late for its aim in any case goes behind what is not.
    #[default]
    Feasible,
    /// That of its route.
    Route,
}

/// Which of several engines takes an adapter in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementRule {
    /// One that has a place for it now, and of these the one that has least to read.
    #[default]
    SpareIdle,
    /// One that has a place for it now; a rendezvous hash decides between them.
    Spare,
    /// Any; a rendezvous hash decides.
    Even,
}

impl PlacementRule {
    /// Whether an engine must have a place now.
    pub(super) fn needs_spare(self) -> bool {
        match self {
            Self::SpareIdle | Self::Spare => true,
            Self::Even => false,
        }
    }
}

/// How long a request waits for its adapter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitingRule {
    /// A first try as long as it can be served within its aim; a caller that has come back as long as it
    /// can still be served.
    #[default]
    Returned,
    /// As long as its caller can still be served; it is refused as soon as it can't.
    Servable,
    /// As long as it can be served within its aim, and up to twice the aim when that was missed.
    Aim,
}

/// Which relays send to a replica that names a limit for all of them together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SharingRule {
    /// A few, each with a larger part.
    #[default]
    Few,
    /// All, each with an even part.
    All,
}

/// All of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayPolicy {
    /// How the replica for a prompt is chosen.
    pub routing: RoutingRule,
    /// When another copy of an adapter is asked for.
    pub copies: CopyRule,
    /// With which rank a request goes to an engine.
    pub priority: PriorityRule,
    /// Which engine takes an adapter in.
    pub placement: PlacementRule,
    /// How long a request waits for its adapter.
    pub waiting: WaitingRule,
    /// How the relays share limits of workspaces.
    pub limits: LimitRule,
    /// Which relays share a limit that a replica names.
    pub sharing: SharingRule,
}
