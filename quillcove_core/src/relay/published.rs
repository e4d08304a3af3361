//! What the platform has published, as one relay passes it on to another that can not read the
//! store.

use serde::{Deserialize, Serialize};

use super::beacon::HeldAdapter;
use super::replica::ReplicaRecord;
use super::sheet::RouteSheet;

/// All that a relay has read from the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedState {
    /// Revision of the store up to which it was read.
    pub revision: u64,
    /// The sheet in force; `None` before the first.
    pub sheet: Option<RouteSheet>,
    /// Newest versions of adapters.
    pub versions: Vec<HeldAdapter>,
    /// Replicas that are listed.
    pub replicas: Vec<ReplicaRecord>,
}
