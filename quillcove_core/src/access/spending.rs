//! What relays tell each other of what workspaces have used.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation, WorkspaceName};

/// What a relay has spent of one workspace's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentTotal {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units since the start of the process; falls when something is given back.
    pub total: i64,
}

/// What a relay tells the others of what it has spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendBeacon {
    /// Host of the relay.
    pub host: HostId,
    /// Random number of its process.
    pub incarnation: Incarnation,
    /// Time since its start.
    pub uptime: Duration,
    /// Workspaces of which something is new.
    pub spent: Vec<SpentTotal>,
    /// What all workspaces may still use, for a relay that is new to the sender; empty otherwise, and from
    /// one that has just started itself.
    pub levels: Vec<WorkspaceLevel>,
}

/// What a workspace may still use, as far as a relay knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLevel {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units; below zero when more was used.
    pub units: i64,
}
