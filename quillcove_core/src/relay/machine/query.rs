//! Input and output of the choice for a request: what it needs, and whether it is sent, waits, or is rejected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::access::grant::AccessGrant;
use crate::crash::digest::RequestIdentity;
use crate::crash::probe::ProbeRequest;
use crate::ids::{
    AdapterKey, ModelName, MonoTime, ReplicaId, ServiceName, SoftwareVersion, StartTime,
};
use crate::relay::origin::OriginDigest;
use crate::relay::replica::ReplicaRecord;
use crate::route::RouteRecord;
use crate::verdict::WorkRefusal;

/// The properties of a request on which decisions depend.
#[derive(Clone, Debug)]
pub struct RelayQuery {
    /// Route of the request.
    pub route: Arc<RouteRecord>,
    /// Service, drawn by the route's weights.
    pub service: ServiceName,
    /// Base model that the request names.
    pub model: Option<ModelName>,
    /// Adapter that the request names.
    pub adapter: Option<AdapterKey>,
    /// Number of prompt tokens, if the request states it.
    pub prompt_tokens: Option<u32>,
    /// When the request's head was received.
    pub received: MonoTime,
    /// Time since the caller's first attempt; zero for a first attempt or if it is unknown.
    pub since_first_attempt: Duration,
    /// When the caller's or the route's timeout ends.
    pub deadline: MonoTime,
    /// Number of choices already made for the request.
    pub choice_count: u32,
    /// Access that the request's API key grants; `None` where no key is required.
    pub grant: Option<AccessGrant>,
    /// Identity of the request's content, independent of its request id; `None` if it is unknown.
    pub identity: Option<RequestIdentity>,
    /// Identities of the parts of its prompt that other requests may hold too.
    pub parts: Vec<RequestIdentity>,
    /// Service and software version at which the stream began, and which alone may go on with it; `None` if it has not
    /// begun, or where versions do not matter.
    pub origin: Option<OriginDigest>,
}

impl RelayQuery {
    /// Returns the priority rank, 0 first: that of the workspace if set, otherwise that of the route.
    ///
    /// See [`RelayMachine::begin_prefill`](super::RelayMachine::begin_prefill) for an example of a query.
    pub fn rank(&self) -> u8 {
        let workspace = self.grant.as_ref().and_then(|grant| grant.workspace.priority);
        workspace.unwrap_or(self.route.priority)
    }

    /// Returns all that may be to blame if a replica exits under the request.
    ///
    /// See [`RelayMachine::begin_prefill`](super::RelayMachine::begin_prefill) for an example of a query.
    pub fn suspects(&self) -> impl Iterator<Item = RequestIdentity> {
        self.identity.iter().chain(&self.parts).copied()
    }

    /// Returns the request as one that may try again what is blamed; `None` if its content is unknown.
    ///
    /// See [`RelayMachine::begin_prefill`](super::RelayMachine::begin_prefill) for an example of a query.
    pub fn probe_request(&self) -> Option<ProbeRequest> {
        let received = self.received;
        self.identity.map(|identity| ProbeRequest { digest: identity.digest, received })
    }

    /// Returns the time until which a response meets the target latency, counted from the caller's first attempt.
    ///
    /// See [`RelayMachine::begin_prefill`](super::RelayMachine::begin_prefill) for an example of a query.
    pub fn due(&self) -> MonoTime {
        (self.received + self.route.aim).saturating_sub(self.since_first_attempt)
    }

    /// Returns whether the caller is known to have tried before.
    ///
    /// See [`RelayMachine::begin_prefill`](super::RelayMachine::begin_prefill) for an example of a query.
    pub fn is_retry(&self) -> bool {
        self.since_first_attempt > Duration::ZERO
    }

    /// Returns when the caller leaves if no response has begun.
    ///
    /// See [`RelayMachine::begin_prefill`](super::RelayMachine::begin_prefill) for an example of a query.
    pub fn abandon_at(&self) -> MonoTime {
        let patience = self.route.patience.map(|patience| self.received + patience);
        patience.map_or(self.deadline, |leaves| leaves.min(self.deadline))
    }
}

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// Replica to send to.
    pub replica: ReplicaId,
    /// Start time of the replica, if it states one.
    pub start_time: Option<StartTime>,
    /// Address of the replica.
    pub address: SocketAddr,
    /// Version of the replica's software.
    pub software: Option<SoftwareVersion>,
    /// Whether the replica is draining and is used only because no other replica is left.
    pub is_last_resort: bool,
    /// When the replica was chosen; no byte of the attempt was sent before.
    pub chosen_at: MonoTime,
}

impl AttemptOrder {
    /// Creates an order for a replica that accepts requests.
    ///
    /// ```
    /// use quillcove_core::relay::machine::AttemptOrder;
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// assert_eq!(AttemptOrder::to(&example_record("i-1")).replica, "i-1");
    /// ```
    pub fn to(record: &ReplicaRecord) -> Self {
        Self {
            replica: record.id.clone(),
            start_time: record.born,
            address: record.address,
            software: record.software.clone(),
            is_last_resort: false,
            chosen_at: MonoTime::ZERO,
        }
    }
}

/// The next step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayChoice {
    /// Send the request.
    Send(AttemptOrder),
    /// Choose again when the loaded adapters or the load plan change, and at this time at the latest.
    Wait(MonoTime),
    /// Reject the request.
    Refuse(WorkRefusal),
}
