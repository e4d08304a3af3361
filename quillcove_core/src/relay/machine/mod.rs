//! Decisions of one relay: which replica takes a request, when it waits, and when it is refused.

mod access;
mod attempts;
mod cells;
mod choice;
mod crashes;
mod doubt;
mod engines;
mod limits;
mod priority;
mod published;
mod query;
mod repeats;
mod standing;
mod told;
mod view;

pub use self::crashes::BreakStep;
use self::doubt::UnconfirmedState;
use self::limits::LimitTeller;
pub use self::priority::ReadingStart;
pub use self::query::{AttemptOrder, RelayChoice, RelayQuery};
pub use self::told::EventEffect;
pub use self::view::{RelayView, ReplicaSummary};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::beacon::{AdapterKey, HeldAdapter, OtherRelays, ReplicaId};
use super::cell::CellPlan;
use super::demand::AdapterDemand;
use super::knowledge::StoreKnowledge;
use super::policy::RelayPolicy;
use super::promise::PromiseBook;
use super::reading::ReadingNumber;
use super::replica::{ReplicaTable, ReplicaView};
use super::sharing::RelayPeers;
use super::sheet::{RouteSheet, SheetVersion};
use super::tries::CallerTries;
use crate::access::ledger::{FleetSize, LimitLedger};
use crate::access::limit::LimitRules;
use crate::access::right::RightRules;
use crate::crash::watch::CrashWatch;
use crate::entry::retry::RetryBudget;
use crate::ids::{AdapterVersion, HallName, HostId, MonoTime, ServiceName};
use crate::rendezvous;
use crate::route::RouteRecord;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Settings of the machine.
#[derive(Clone, Debug)]
pub struct RelayRules {
    /// Host of this process.
    pub host: HostId,
    /// Hall of this process.
    pub hall: HallName,
    /// Repeats as a share of first attempts.
    pub retry_share: f64,
    /// Repeats that all relays together may save up; each takes its part of it.
    pub retry_extra: f64,
    /// Most requests in flight.
    pub request_limit: usize,
    /// Time within which replicas that leave get no more work, by the users' rule.
    pub drain_time: Duration,
    /// How it decides.
    pub policy: RelayPolicy,
    /// How long keys work after they were taken away.
    pub right: RightRules,
    /// How limits of workspaces are judged and shared.
    pub limits: LimitRules,
}

impl Default for RelayRules {
    fn default() -> Self {
        Self {
            host: HostId::new(),
            hall: HallName::new(),
            retry_share: 0.1,
            retry_extra: 50.0,
            request_limit: 2048,
            drain_time: Duration::from_secs(2),
            policy: RelayPolicy::default(),
            right: RightRules::default(),
            limits: LimitRules::default(),
        }
    }
}

/// A change that this process noticed, worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeliefChange {
    /// A sheet came into force.
    Sheet(SheetVersion),
    /// An adapter has a new version.
    Version(HeldAdapter),
    /// A replica is new, or its state changed.
    Listed(ReplicaId),
    /// A replica's entry is gone.
    Gone(ReplicaId),
    /// Another replica was listed at a replica's address, so that the older one is gone, or it has itself
    /// started again.
    Replaced(ReplicaId),
    /// A replica's entry is gone, but may come back as the store was away.
    Doubted(ReplicaId),
    /// The entry of a replica that was doubted is back.
    Returned(ReplicaId),
    /// A replica is cold.
    Cold(ReplicaId),
    /// A hall is to be emptied.
    HallEmptied(HallName),
    /// A hall is in use again.
    HallInUse(HallName),
}

/// A relay's decisions.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
///
/// let machine = RelayMachine::new(RelayRules::default(), 1);
/// assert!(!machine.is_ready());
/// ```
#[derive(Clone, Debug)]
pub struct RelayMachine {
    rules: RelayRules,
    sheet: Option<Arc<RouteSheet>>,
    table: ReplicaTable,
    /// How the engines of each service are divided.
    cells: BTreeMap<ServiceName, CellPlan>,
    /// When they are to be looked at again.
    cells_due: MonoTime,
    versions: BTreeMap<AdapterKey, (AdapterVersion, MonoTime)>,
    demand: AdapterDemand,
    promises: PromiseBook,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    /// What callers say of their time, by route.
    tries: BTreeMap<String, CallerTries>,
    /// What is missing in the store and may come back.
    doubt: UnconfirmedState,
    /// Relays that are there, this one included.
    relays: usize,
    /// Most relays that were there at once. It does not fall: a relay that hears fewer may be cut off
    /// from the others, which go on with their parts of what is shared.
    most_relays: usize,
    /// The relays that are there, among which limits of replicas are shared.
    peers: RelayPeers,
    /// Most of them at once, as for [`Self::most_relays`].
    most_peers: usize,
    /// Whether the process has run for long enough to know the other relays.
    are_peers_known: bool,
    /// What was told of limits of replicas.
    limits: LimitTeller,
    /// What this relay knows of the store.
    knowledge: StoreKnowledge,
    /// What workspaces have used.
    ledger: LimitLedger,
    /// Under which requests replicas end.
    crashes: CrashWatch,
    requests: usize,
    is_stopping: bool,
    draws: u64,
    /// Prompts that were sent.
    readings: ReadingNumber,
}

impl RelayMachine {
    /// A machine that knows nothing yet. The seed feeds its draws.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).sheet().is_none());
    /// ```
    pub fn new(rules: RelayRules, seed: u64) -> Self {
        let ledger = LimitLedger::new(rules.limits);
        let peers = RelayPeers::new(rules.host.clone(), Vec::new());
        Self {
            rules,
            ledger,
            sheet: None,
            table: ReplicaTable::default(),
            cells: BTreeMap::new(),
            cells_due: MonoTime::ZERO,
            versions: BTreeMap::new(),
            demand: AdapterDemand::default(),
            promises: PromiseBook::default(),
            budgets: BTreeMap::new(),
            tries: BTreeMap::new(),
            doubt: UnconfirmedState::default(),
            relays: 1,
            most_relays: 1,
            peers,
            most_peers: 1,
            are_peers_known: false,
            limits: LimitTeller::default(),
            knowledge: StoreKnowledge::default(),
            crashes: CrashWatch::default(),
            requests: 0,
            is_stopping: false,
            draws: seed,
            readings: 0,
        }
    }

    /// Takes over changed settings.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.set_rules(RelayRules { request_limit: 7, ..RelayRules::default() });
    /// ```
    pub fn set_rules(&mut self, rules: RelayRules) {
        self.ledger.set_rules(rules.limits);
        self.rules = rules;
        self.resize_budgets();
    }

    /// The sheet in force.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).sheet().is_none());
    /// ```
    pub fn sheet(&self) -> Option<&Arc<RouteSheet>> {
        self.sheet.as_ref()
    }

    /// The replicas that are known.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.table().all().count(), 0);
    /// ```
    pub fn table(&self) -> &ReplicaTable {
        &self.table
    }

    /// Newest versions of adapters that the operator named.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).newest(&key), None);
    /// ```
    pub fn newest(&self, key: &AdapterKey) -> Option<AdapterVersion> {
        self.versions.get(key).map(|(version, _)| *version)
    }

    /// Engines of a service that take new work.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.ready_engines("s").count(), 0);
    /// ```
    pub fn ready_engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaView> {
        self.table.all().filter(move |view| view.record.service == service && view.is_ready())
    }

    /// Takes what is known of the other relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::OtherRelays;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let others = OtherRelays { count: 3, recent: 3, lacking: 20 };
    /// RelayMachine::new(RelayRules::default(), 1).set_others(others, Duration::ZERO);
    /// ```
    pub fn set_others(&mut self, others: OtherRelays, now: MonoTime) {
        self.relays = others.count + 1;
        if self.relays > self.most_relays {
            self.most_relays = self.relays;
            self.resize_budgets();
        }
        let fleet = FleetSize { heard: others.recent + 1, most: self.most_relays };
        self.ledger.set_fleet(fleet, now);
        self.demand.set_others(others);
    }

    /// Tells whether less than half of the relays are there that were there at once: this one may be cut off
    /// from the others.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).hears_few_relays());
    /// ```
    pub fn hears_few_relays(&self) -> bool {
        self.relays * 2 < self.most_relays
    }

    /// Adapters that requests of this relay lack.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).lacking(), 0);
    /// ```
    pub fn lacking(&self) -> usize {
        self.demand.lacking()
    }

    /// Tells whether callers can be served: a sheet is in force, replicas are known, and the
    /// process does not stop.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.sheet.is_some() && self.table.all().next().is_some() && !self.is_stopping
    }

    /// Begins the planned stop.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.stop();
    /// assert!(machine.is_stopping());
    /// ```
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Tells whether the planned stop has begun.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_stopping());
    /// ```
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Requests in flight.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> usize {
        self.requests
    }

    /// Admits a request, or refuses it.
    ///
    /// # Errors
    ///
    /// A refusal when too many requests are in flight or its time is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.admit("s", Duration::from_secs(1), Duration::ZERO).is_ok());
    /// assert_eq!(machine.in_flight(), 1);
    /// ```
    pub fn admit(
        &mut self,
        service: &str,
        deadline: MonoTime,
        now: MonoTime,
    ) -> Result<(), WorkRefusal> {
        if deadline <= now {
            return Err(WorkRefusal::not_run(RefusalReason::DeadlinePassed, None));
        }
        if self.requests >= self.rules.request_limit {
            return Err(WorkRefusal::overloaded());
        }
        self.requests += 1;
        self.budget(service).note_first();
        Ok(())
    }

    /// Time since the first try of a caller that will wait this long for its answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.age_of("r", Duration::from_secs(1)), Duration::ZERO);
    /// ```
    pub fn age_of(&mut self, route: &str, patience: Duration) -> Duration {
        self.tries.entry(route.to_string()).or_default().age_of(patience)
    }

    /// Notes that an admitted request has its answer or has gone.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.finish();
    /// assert_eq!(machine.in_flight(), 0);
    /// ```
    pub fn finish(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Draws the service of a request by its route's weights.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     is_public: true,
    ///     targets: vec![RouteShare { service: "s".into(), weight: 1 }],
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.draw_service(&route), Some("s".to_string()));
    /// ```
    pub fn draw_service(&mut self, route: &RouteRecord) -> Option<ServiceName> {
        let draw = self.draw();
        route.draw_service(draw).cloned()
    }

    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(1);
        rendezvous::weight("draw", &self.draws.to_string())
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> RelayChoice {
    RelayChoice::Refuse(WorkRefusal::not_run(reason, retry_after))
}
