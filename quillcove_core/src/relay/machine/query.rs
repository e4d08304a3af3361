//! What is asked for a request, and what is answered: where it goes, a wait, or a refusal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::access::grant::AccessGrant;
use crate::crash::digest::RequestIdentity;
use crate::ids::{ModelName, MonoTime, ServiceName};
use crate::relay::beacon::{AdapterKey, ReplicaId, StartTime};
use crate::relay::replica::ReplicaRecord;
use crate::route::RouteRecord;
use crate::verdict::WorkRefusal;

/// What a request needs, as far as decisions go.
#[derive(Clone, Debug)]
pub struct RelayQuery {
    /// Its route.
    pub route: Arc<RouteRecord>,
    /// Its service, drawn by the route's weights.
    pub service: ServiceName,
    /// Base model that it names.
    pub model: Option<ModelName>,
    /// Adapter that it names.
    pub adapter: Option<AdapterKey>,
    /// Tokens of its prompt, when it says so.
    pub prompt_tokens: Option<u32>,
    /// When its head was read.
    pub received: MonoTime,
    /// Time since its caller's first try, as far as that can be told.
    pub age: Duration,
    /// When its caller or its route gives it up.
    pub deadline: MonoTime,
    /// How often a choice was made for it.
    pub looks: u32,
    /// By which right it came in; `None` where no key is needed.
    pub grant: Option<AccessGrant>,
    /// What it is, whatever its id; `None` where that is not known.
    pub identity: Option<RequestIdentity>,
}

impl RelayQuery {
    /// Its rank, 0 first: that of its workspace, else that of its route.
    ///
    /// See [`RelayMachine::begin_reading`](super::RelayMachine::begin_reading) for an example of a query.
    pub fn rank(&self) -> u8 {
        let workspace = self.grant.as_ref().and_then(|grant| grant.workspace.priority);
        workspace.unwrap_or(self.route.priority)
    }

    /// Until when its answer is in time.
    ///
    /// See [`RelayMachine::begin_reading`](super::RelayMachine::begin_reading) for an example of a query.
    pub fn due(&self) -> MonoTime {
        (self.received + self.route.aim).saturating_sub(self.age)
    }

    /// Tells whether its caller has tried before.
    ///
    /// See [`RelayMachine::begin_reading`](super::RelayMachine::begin_reading) for an example of a query.
    pub fn is_return(&self) -> bool {
        self.age > Duration::ZERO
    }

    /// When its caller leaves if no answer has begun.
    ///
    /// See [`RelayMachine::begin_reading`](super::RelayMachine::begin_reading) for an example of a query.
    pub fn leaves(&self) -> MonoTime {
        let patience = self.route.patience.map(|patience| self.received + patience);
        patience.map_or(self.deadline, |leaves| leaves.min(self.deadline))
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// The replica.
    pub replica: ReplicaId,
    /// When it started, where it says so.
    pub born: Option<StartTime>,
    /// Its address.
    pub address: SocketAddr,
    /// It leaves, and takes this as no other replica is left.
    pub is_last_resort: bool,
    /// When it was chosen; nothing was sent before.
    pub chosen_at: MonoTime,
}

impl AttemptOrder {
    /// An order to send to a replica that takes work.
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
            born: record.born,
            address: record.address,
            is_last_resort: false,
            chosen_at: MonoTime::ZERO,
        }
    }
}

/// The next step for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayChoice {
    /// Send it.
    Send(AttemptOrder),
    /// Ask again when the adapters in engines or the plan change, at this time at the latest.
    Wait(MonoTime),
    /// Refuse it.
    Refuse(WorkRefusal),
}
