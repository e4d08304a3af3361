//! Identifiers and the time type that all modules share.

use std::time::Duration;

/// Name of an adapter without its version.
pub type AdapterName = String;
/// Version of an adapter, as the bundle states it.
pub type AdapterVersion = u32;
/// Name of a base model.
pub type ModelName = String;
/// Name of a plain service.
pub type ServiceName = String;
/// Name of a host, unique in the fleet, taken from the settings.
pub type HostId = String;
/// Name of a hall.
pub type HallName = String;
/// Name of a workspace, whose callers share keys, a rank and a limit.
pub type WorkspaceName = String;
/// Name of the caller's organisation, used for fair shares.
pub type CallerId = String;
/// Identifies one caller's request from admission to its last byte.
pub type RequestId = u128;
/// Identifies one try of a request at one upstream.
pub type AttemptId = u128;
/// Version of the signed bundle; grows with each publication.
pub type BundleVersion = u64;
/// Counts the times at which the platform's store came back from an older copy of itself; zero where it
/// does not say.
pub type StoreEra = u64;
/// Random number that a process draws at its start; differs after every restart.
pub type Incarnation = u64;
/// Time since the start of the process, read from the monotonic clock.
pub type MonoTime = Duration;
