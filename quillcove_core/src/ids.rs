//! Identifiers and the time type shared by all modules.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Name of an adapter without its version.
pub type AdapterName = String;
/// Version of an adapter, as stated in the bundle.
pub type AdapterVersion = u32;
/// Name of a base model.
pub type ModelName = String;
/// Name of a plain service.
pub type ServiceName = String;
/// Name of a host, unique in the fleet, taken from the settings.
pub type HostId = String;
/// Name of a hall.
pub type HallName = String;
/// Name of a workspace. Its callers share its keys, priority and quota.
pub type WorkspaceName = String;
/// Name of the caller's organisation, used for fair queueing.
pub type CallerId = String;
/// Id of a caller's request, from admission to the last byte of its response.
pub type RequestId = u128;
/// Id of one attempt of a request at one upstream.
pub type AttemptId = u128;
/// Version of the software that a replica runs, not of its weights: free text that is compared as equal or
/// not. A replica that states none is `None`, which is a version of its own.
pub type SoftwareVersion = String;
/// Version of the signed bundle; increases with each publication.
pub type BundleVersion = u64;
/// Number of times that the platform's store was restored from an older copy; 0 if the store does
/// not report it.
pub type StoreEra = u64;
/// Random number that a process draws at its start, different for each process start.
pub type Incarnation = u64;
/// Monotonic time since the process start.
pub type MonoTime = Duration;

/// Id of a part of a prompt. Equal parts have equal ids, whichever requests hold them.
pub type PartId = u64;

/// Id of a replica in the platform's listing. A replica may restart under the same id.
pub type ReplicaId = String;

/// Start time of a replica's process, in milliseconds of the wall clock. A later one under the same id is
/// a restart.
pub type StartTime = u64;

/// Identifies an adapter of a base model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterKey {
    /// Name of the base model.
    pub model: ModelName,
    /// Name of the adapter.
    pub adapter: AdapterName,
}
