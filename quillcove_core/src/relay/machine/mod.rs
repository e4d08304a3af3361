//! Decisions of one relay: which replica takes a request, when a request waits, and when it is rejected. The state
//! changes only by the calls of its methods, which are given the time and do no I/O.

mod access;
mod admission;
mod attempts;
mod cells;
mod choice;
mod contention;
mod crashes;
mod doubt;
mod engines;
mod limits;
mod loading;
mod origins;
mod priority;
mod published;
mod query;
mod repeats;
mod standing;
mod told;
mod view;
mod waiting;

pub use self::crashes::BreakStep;
use self::doubt::UnconfirmedState;
use self::limits::LimitReportSchedule;
pub use self::origins::SoftwareSummary;
pub use self::priority::ReadingStart;
pub use self::query::{AttemptOrder, RelayChoice, RelayQuery};
pub use self::told::EventEffect;
pub use self::view::{RelayView, ReplicaSummary};

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::admission::returns::PlannedReturns;
use super::admission::shares::WorkspaceShares;
use super::beacon::{HeldAdapter, OtherRelays};
use super::cell::CellPlan;
use super::demand::AdapterDemand;
use super::knowledge::StoreKnowledge;
use super::origin::{OriginDigest, OriginTracker, RecentListings, WatchHistory};
use super::policy::RelayPolicy;
use super::promise::LoadEstimates;
use super::reading::ReadingNumber;
use super::replica::{ReplicaTable, ReplicaView};
use super::run_times::RunTimes;
use super::sharing::RelayPeers;
use super::sheet::{ConfigVersion, PublishedConfig};
use super::tries::CallerTries;
use crate::access::ledger::{FleetSize, LimitLedger};
use crate::access::limit::LimitRules;
use crate::access::right::KeyValidityRules;
use crate::crash::watch::CrashTracker;
use crate::entry::retry::RetryBudget;
use crate::ids::{AdapterKey, AdapterVersion, HallName, HostId, MonoTime, ReplicaId, ServiceName};
use crate::rendezvous;
use crate::route::RouteRecord;
use crate::verdict::{RefusalReason, WorkRefusal};

/// Settings of a [`RelayMachine`].
#[derive(Clone, Debug)]
pub struct RelayRules {
    /// Host of this process.
    pub host: HostId,
    /// Hall of this process.
    pub hall: HallName,
    /// Retries as a share of first attempts.
    pub retry_share: f64,
    /// Retries that all relays together may accumulate; each relay accumulates an even share.
    pub retry_extra: f64,
    /// Maximum number of requests in flight.
    pub request_limit: usize,
    /// Time within which draining replicas must stop receiving new requests, as the users require.
    pub drain_time: Duration,
    /// Rules by which the relay decides.
    pub policy: RelayPolicy,
    /// How long API keys stay valid after their revocation.
    pub right: KeyValidityRules,
    /// How the limits of workspaces are enforced and divided between relays.
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
            right: KeyValidityRules::default(),
            limits: LimitRules::default(),
        }
    }
}

/// A change of the relay's state that is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A configuration came into force.
    Configuration(ConfigVersion),
    /// An adapter has a new version.
    Version(HeldAdapter),
    /// A replica is new, or its state changed.
    Listed(ReplicaId),
    /// A replica was removed because its entry is gone.
    Gone(ReplicaId),
    /// A replica was removed because another one was listed at its address, or because it has restarted.
    Replaced(ReplicaId),
    /// A replica is unconfirmed: its entry is gone, but may be renewed as the store was unreachable or restored.
    Unconfirmed(ReplicaId),
    /// The entry of an unconfirmed replica was renewed.
    Returned(ReplicaId),
    /// A replica has begun its warm-up.
    WarmingUp(ReplicaId),
    /// A hall is being evacuated.
    HallEvacuated(HallName),
    /// A hall is in use again.
    HallInUse(HallName),
}

/// The state of one relay and the decisions made on it.
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
    sheet: Option<Arc<PublishedConfig>>,
    table: ReplicaTable,
    /// Division of the engines of each service into cells.
    cells: BTreeMap<ServiceName, CellPlan>,
    /// When the division is checked next.
    cells_due: MonoTime,
    /// Newest published version of each adapter, and the time from which requests may start on no older one.
    versions: BTreeMap<AdapterKey, (AdapterVersion, MonoTime)>,
    demand: AdapterDemand,
    promises: LoadEstimates,
    /// Callers rejected because another engine is loading their adapter.
    returns: PlannedReturns,
    /// Fair shares of workspaces at contended services.
    shares: WorkspaceShares,
    /// Admission decisions not yet counted in the metrics, by label.
    admission_counts: BTreeMap<&'static str, u64>,
    /// Whether any service was contended at the last periodic check.
    has_contended_service: bool,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    /// Remaining times that callers state, by route, from which retries are recognized.
    tries: BTreeMap<String, CallerTries>,
    /// Times that recent requests took, by route.
    run_times: BTreeMap<String, RunTimes>,
    /// Replicas and halls that are missing from the store but may be written again.
    doubt: UnconfirmedState,
    /// Number of known relays, this one included.
    relays: usize,
    /// Highest number of relays known at once. It never decreases: a relay that knows fewer may be
    /// partitioned from the others, which go on using their shares.
    most_relays: usize,
    /// The known relays, among which rate limits of replicas are divided.
    peers: RelayPeers,
    /// Highest number of peers known at once; never decreases, like [`Self::most_relays`].
    most_peers: usize,
    /// Whether the process has run for long enough to know the other relays.
    are_peers_known: bool,
    /// Which rate limits of replicas have been reported to the other relays.
    limits: LimitReportSchedule,
    /// Positions in the store up to which this relay is informed.
    knowledge: StoreKnowledge,
    /// Usage of the workspaces.
    ledger: LimitLedger,
    /// Tracks the requests under which replicas exit.
    crashes: CrashTracker,
    /// Where streams began that may be taken up again.
    origins: OriginTracker,
    /// Replicas that are listed or were listed lately.
    listings: RecentListings,
    /// Since when the list has been followed, and the routes have been the same.
    history: WatchHistory,
    /// Number of streams that this relay began at each origin.
    streams_begun: BTreeMap<OriginDigest, u64>,
    /// When the recent listings are updated next.
    origins_due: MonoTime,
    /// When the holders of streams are compared with the list next.
    renewal_due: MonoTime,
    /// Number of requests in flight.
    requests: usize,
    is_stopping: bool,
    /// Seed, incremented with each draw.
    draw_state: u64,
    /// Number of the last prompt that was sent.
    last_reading: ReadingNumber,
}

impl RelayMachine {
    /// Creates a machine with no knowledge of the store or of other relays. Its random draws derive from `seed`.
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
            promises: LoadEstimates::default(),
            returns: PlannedReturns::default(),
            shares: WorkspaceShares::default(),
            admission_counts: BTreeMap::new(),
            has_contended_service: false,
            budgets: BTreeMap::new(),
            tries: BTreeMap::new(),
            run_times: BTreeMap::new(),
            doubt: UnconfirmedState::default(),
            relays: 1,
            most_relays: 1,
            peers,
            most_peers: 1,
            are_peers_known: false,
            limits: LimitReportSchedule::default(),
            knowledge: StoreKnowledge::default(),
            crashes: CrashTracker::default(),
            origins: OriginTracker::default(),
            listings: RecentListings::default(),
            history: WatchHistory::default(),
            streams_begun: BTreeMap::new(),
            origins_due: MonoTime::ZERO,
            renewal_due: MonoTime::ZERO,
            requests: 0,
            is_stopping: false,
            draw_state: seed,
            last_reading: 0,
        }
    }

    /// Applies changed settings.
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

    /// Returns the configuration in force.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).sheet().is_none());
    /// ```
    pub fn sheet(&self) -> Option<&Arc<PublishedConfig>> {
        self.sheet.as_ref()
    }

    /// Returns the known replicas.
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

    /// Returns the newest version of an adapter that the operator has published.
    ///
    /// ```
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).newest(&key), None);
    /// ```
    pub fn newest(&self, key: &AdapterKey) -> Option<AdapterVersion> {
        self.versions.get(key).map(|(version, _)| *version)
    }

    /// Returns the engines of a service that accept new requests.
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

    /// Records the numbers of the other relays and of the adapters they lack.
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
        let fleet = FleetSize { reachable: others.recent + 1, most: self.most_relays };
        self.ledger.set_fleet(fleet, now);
        self.demand.set_others(others);
    }

    /// Returns whether less than half of the highest number of relays is known now, so that this relay may be
    /// partitioned from the others.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_maybe_partitioned());
    /// ```
    pub fn is_maybe_partitioned(&self) -> bool {
        self.relays * 2 < self.most_relays
    }

    /// Returns the number of adapters that requests of this relay wait for.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).missing_adapter_count(), 0);
    /// ```
    pub fn missing_adapter_count(&self) -> usize {
        self.demand.lacking()
    }

    /// Returns whether callers can be served: a configuration is in force, replicas are known, and the
    /// process is not stopping.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.sheet.is_some() && self.table.all().next().is_some() && !self.is_stopping
    }

    /// Begins the planned shutdown.
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

    /// Returns whether the planned shutdown has begun.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(!RelayMachine::new(RelayRules::default(), 1).is_stopping());
    /// ```
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Returns the number of requests in flight, those included that are admitted once the origin of their stream is
    /// known.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> usize {
        self.requests + self.origins.lookup_count()
    }

    /// Admits a request: counts it as in flight and credits its service's retry budget.
    ///
    /// # Errors
    ///
    /// Rejects the request if too many requests are in flight or its deadline has passed.
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
        self.budget(service).record_first_attempt();
        Ok(())
    }

    /// Returns the time since the first attempt of a caller that will wait this long for its response, and learns from
    /// it how long the route's callers wait. Zero for a first attempt and when the time cannot be determined.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.time_since_first_attempt("r", Duration::from_secs(1)), Duration::ZERO);
    /// ```
    pub fn time_since_first_attempt(&mut self, route: &str, waiting_time: Duration) -> Duration {
        self.tries.entry(route.to_string()).or_default().time_since_first_attempt(waiting_time)
    }

    /// Records a request of a route that ran and ended.
    ///
    /// See [`RelayMachine::may_end_by`] for an example.
    pub fn record_run_time(&mut self, route: &str, took: Duration, now: MonoTime) {
        match self.run_times.get_mut(route) {
            Some(times) => times.record(took, now),
            None => {
                let mut times = RunTimes::default();
                times.record(took, now);
                self.run_times.insert(route.to_string(), times);
            },
        }
    }

    /// Returns whether a request that is passed on now is expected to end by `end`: if its deadline passes before, or
    /// recent requests of its route took much less time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let (now, end) = (Duration::from_secs(10), Duration::from_secs(12));
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.may_end_by("r", end, end, now));
    /// assert!(!machine.may_end_by("r", end * 2, end, now));
    /// for _ in 0..8 {
    ///     machine.record_run_time("r", Duration::from_millis(100), now);
    /// }
    /// assert!(machine.may_end_by("r", end * 2, end, now));
    /// ```
    pub fn may_end_by(
        &self,
        route: &str,
        deadline: MonoTime,
        end: MonoTime,
        now: MonoTime,
    ) -> bool {
        let estimate = self.run_times.get(route).and_then(|times| times.upper_estimate(now));
        deadline <= end || estimate.is_some_and(|time| now + time <= end)
    }

    /// Records that an admitted request was answered or abandoned.
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

    /// Draws the service of a request at random by its route's weights; `None` if they sum to zero.
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
    ///     target_gap: None,
    ///     is_public: true,
    ///     targets: vec![RouteShare { service: "s".into(), weight: 1 }],
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.draw_service(&route), Some("s".to_string()));
    /// ```
    pub fn draw_service(&mut self, route: &RouteRecord) -> Option<ServiceName> {
        let draw = self.draw();
        route.choose_service(draw).cloned()
    }

    /// Returns the next pseudo-random number.
    fn draw(&mut self) -> u64 {
        self.draw_state = self.draw_state.wrapping_add(1);
        rendezvous::weight("draw", &self.draw_state.to_string())
    }
}

/// Returns the rejection of a request that no replica has executed.
fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> RelayChoice {
    RelayChoice::Refuse(WorkRefusal::not_run(reason, retry_after))
}
