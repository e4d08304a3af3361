//! Reports of replica exits between processes. They contain no body, key or address.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::digest::RequestIdentity;
use crate::ids::StartTime;
use crate::rendezvous::stable_hash;

/// Identifies the exit of one run of a replica; equal in all processes that know the replica.
pub type ExitId = u64;

/// Returns the ID of the exit of the run that started at `born`. A replica that restarts under its
/// ID may exit again.
///
/// ```
/// use quillcove_core::crash::telling::exit_id;
///
/// assert_eq!(exit_id("i-1", Some(5)), exit_id("i-1", Some(5)));
/// assert_ne!(exit_id("i-1", Some(5)), exit_id("i-1", Some(6)));
/// ```
pub fn exit_id(replica: &str, born: Option<StartTime>) -> ExitId {
    stable_hash(&(replica, born))
}

/// Returns the ID of the exit that follows this one, of a later run under the same name: a replica
/// that has restarted may be known by its earlier run for a while.
///
/// ```
/// use quillcove_core::crash::telling::{exit_id, next_exit_id};
///
/// let exit = exit_id("i-1", None);
/// assert_ne!(next_exit_id(exit), exit);
/// ```
pub fn next_exit_id(exit: ExitId) -> ExitId {
    stable_hash(&exit)
}

/// A request that was in flight at a replica exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// The request.
    pub identity: RequestIdentity,
    /// Whether another cause of the exit is likely: bytes of the response had arrived, or for a part of a prompt, the
    /// replica is not known to have been beginning to write.
    pub has_other_cause: bool,
    /// Whether the same request recently succeeded for another caller.
    pub runs_well: bool,
}

/// A replica exit, with requests that were in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitReport {
    /// The exit.
    pub end: ExitId,
    /// Time since the exit was noticed.
    pub age: Duration,
    /// Requests that were sent to the replica and had no complete response.
    pub requests: Vec<InFlightRequest>,
}

/// A request that succeeded after it had been in flight at a replica exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuccessReport {
    /// The request.
    pub identity: RequestIdentity,
    /// Time since it succeeded.
    pub age: Duration,
}

/// Report of one process to another about replica exits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Exits.
    pub ends: Vec<ExitReport>,
    /// Requests cleared by a success.
    pub good: Vec<SuccessReport>,
}

impl CrashReport {
    /// Returns whether the report is empty.
    ///
    /// ```
    /// use quillcove_core::crash::telling::CrashReport;
    ///
    /// assert!(CrashReport::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.good.is_empty()
    }
}

/// Request of a relay for everything that another process knows of replica exits, since the relay
/// may have missed reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashAsk {
    /// Address to which the answer is sent.
    pub relay: SocketAddr,
}
