//! Reports of workspace usage between relays.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation, WorkspaceName};

/// What a relay has spent of one workspace's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentTotal {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units since the start of the process; decreases when a charge is refunded.
    pub total: i64,
}

/// Report of a relay's spending to the other relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Host of the sending relay.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Time since the start of its process.
    pub uptime: Duration,
    /// Totals of workspaces whose spending has changed.
    pub spent: Vec<SpentTotal>,
    /// Levels of all workspaces, for a relay that the sender has just discovered. Otherwise empty,
    /// and also empty if the sender has only just started.
    pub levels: Vec<WorkspaceLevel>,
}

/// What a workspace may still use, as far as the sending relay knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceLevel {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units; negative after an overshoot.
    pub units: i64,
}
