//! Decisions of one relay: which replica takes a request, when it waits, and when it is refused.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::beacon::{AdapterKey, AdapterUse, AddressedAsk, EngineBeacon, HeldAdapter, ReplicaId};
use super::demand::{AdapterDemand, EngineChoice, LackedAdapter};
use super::published::PublishedState;
use super::replica::{AttemptFate, ReplicaRecord, ReplicaTable, ReplicaView};
use super::routing::{self, HoldingNeed, SPREAD_LOAD};
use super::sheet::{RouteRecord, RouteSheet, SheetVersion};
use crate::entry::retry::RetryBudget;
use crate::ids::{AdapterVersion, HallName, ModelName, MonoTime, ServiceName};
use crate::rendezvous;
use crate::verdict::{RefusalReason, SOON, WorkRefusal};

/// Time from the arrival of a request at an engine until its first event, when a batch is not
/// full: reading a common prompt and two steps, as seen on the standard deployments.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// Share of a route's aim within which a request is either on its way or refused, so that a
/// refused caller still can be served in time when it comes back.
const DECIDE_SHARE: f64 = 0.2;

/// Multiple of a route's aim up to which a request that was promised an adapter goes on waiting
/// when the load comes later than planned.
const PATIENCE: f64 = 2.0;

/// Added to the planned time of a load in what callers are told, for the way of the news.
const NEWS_TIME: Duration = Duration::from_millis(80);

/// Time in which requests may still begin on an adapter's version after a newer one was
/// published. The users allow 5 s; the rest is for requests on their way.
const VERSION_GRACE: Duration = Duration::from_secs(3);

/// When a caller is told to come back that another relay can serve at once.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// Connections to one replica that a relay may always have, however many relays there are.
const CONNECTIONS_LEAST: usize = 4;

/// Share of its remaining time within which a caller is told to come back; callers wait for no
/// longer than a third.
const RETURN_SHARE: f64 = 0.33;

/// Time for which another copy of a held adapter is wanted after a request that showed the need.
const COPY_LIFETIME: Duration = Duration::from_secs(1);

/// Time after which a request that waits for an adapter looks whether its ask has to be repeated.
const ASK_CHECK: Duration = Duration::from_millis(80);

/// Time after the store's return in which entries that lapsed meanwhile may come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Settings of the machine.
#[derive(Clone, Debug)]
pub struct RelayRules {
    /// Hall of this process.
    pub hall: HallName,
    /// Repeats as a share of first attempts.
    pub retry_share: f64,
    /// Repeats that this process may save up.
    pub retry_saving: f64,
    /// Most requests in flight.
    pub request_limit: usize,
}

impl Default for RelayRules {
    fn default() -> Self {
        Self { hall: HallName::new(), retry_share: 0.1, retry_saving: 8.0, request_limit: 2048 }
    }
}

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
    /// When its head was read.
    pub received: MonoTime,
    /// When its caller or its route gives it up.
    pub deadline: MonoTime,
    /// How often a choice was made for it.
    pub looks: u32,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// The replica.
    pub replica: ReplicaId,
    /// Its address.
    pub address: std::net::SocketAddr,
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

/// A change that this process noticed, worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeliefChange {
    /// A sheet came into force.
    Sheet(SheetVersion),
    /// A replica is new, or its state changed.
    Listed(ReplicaId),
    /// A replica's entry is gone.
    Gone(ReplicaId),
    /// A replica's entry is gone, but may come back as the store was away.
    Doubted(ReplicaId),
}

/// A relay's state in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct RelayView {
    /// Version of the sheet in force, 0 for none.
    pub sheet: SheetVersion,
    /// Routes in it.
    pub routes: usize,
    /// Requests in flight.
    pub requests: usize,
    /// Repeats that the budget allows now.
    pub retry_budget: f64,
    /// Whether new connections are to end, as the process stops.
    pub stopping: bool,
    /// Replicas known.
    pub replicas: Vec<ReplicaSummary>,
}

/// One replica in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaSummary {
    /// As listed.
    #[serde(flatten)]
    pub record: ReplicaRecord,
    /// Requests of this process in flight there.
    pub in_flight: u32,
    /// Its load, as a share of its places.
    pub load: f64,
    /// Whether it seems to work.
    pub is_well: bool,
    /// Whether its loader's report is fresh.
    pub has_report: bool,
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
#[derive(Debug)]
pub struct RelayMachine {
    rules: RelayRules,
    sheet: Option<Arc<RouteSheet>>,
    table: ReplicaTable,
    versions: HashMap<AdapterKey, (AdapterVersion, MonoTime)>,
    demand: AdapterDemand,
    budgets: HashMap<ServiceName, RetryBudget>,
    /// Replicas whose entries lapsed while the store was away, and when they are given up.
    doubted: HashMap<ReplicaId, MonoTime>,
    store_returned: Option<MonoTime>,
    is_store_away: bool,
    /// Relays that are there, this one included.
    relays: usize,
    /// Revision of the store up to which this relay has read.
    revision: u64,
    requests: usize,
    is_stopping: bool,
    draws: u64,
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
        Self {
            rules,
            sheet: None,
            table: ReplicaTable::default(),
            versions: HashMap::new(),
            demand: AdapterDemand::default(),
            budgets: HashMap::new(),
            doubted: HashMap::new(),
            store_returned: None,
            is_store_away: false,
            relays: 1,
            revision: 0,
            requests: 0,
            is_stopping: false,
            draws: seed,
        }
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

    /// Use of an engine's adapters since the last call.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_uses("i-1").is_empty());
    /// ```
    pub fn take_uses(&mut self, replica: &str) -> Vec<AdapterUse> {
        self.table.take_uses(replica)
    }

    /// Takes the number of relays that are there, this one included.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).set_relays(4);
    /// ```
    pub fn set_relays(&mut self, relays: usize) {
        self.relays = relays;
        self.demand.set_relays(relays);
    }

    /// Asks for adapters that are to be sent to loaders now.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_asks().is_empty());
    /// ```
    pub fn take_asks(&mut self) -> Vec<AddressedAsk> {
        self.demand.take_outbox()
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

    /// The state at this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.view(Duration::ZERO).requests, 0);
    /// ```
    pub fn view(&self, now: MonoTime) -> RelayView {
        let summary = |view: &ReplicaView| ReplicaSummary {
            record: view.record.clone(),
            in_flight: view.in_flight,
            load: view.load(now),
            is_well: view.seems_well(now),
            has_report: view.report(now).is_some(),
        };
        RelayView {
            sheet: self.sheet.as_ref().map_or(0, |sheet| sheet.version),
            routes: self.sheet.as_ref().map_or(0, |sheet| sheet.route_count()),
            requests: self.requests,
            retry_budget: self.budgets.values().map(RetryBudget::left).sum(),
            stopping: self.is_stopping,
            replicas: self.table.all().map(summary).collect(),
        }
    }

    /// Takes a sheet unless one of the same or a higher version is in force.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::sheet::{CallerLimits, RouteSheet};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let sheet = |version| RouteSheet::new(version, vec![], vec![], CallerLimits::default());
    /// assert!(machine.take_sheet(sheet(2)));
    /// assert!(!machine.take_sheet(sheet(1)));
    /// ```
    pub fn take_sheet(&mut self, sheet: RouteSheet) -> bool {
        let is_newer = self.sheet.as_ref().is_none_or(|held| sheet.version > held.version);
        if is_newer {
            self.sheet = Some(Arc::new(sheet));
        }
        is_newer
    }

    /// Takes the newest version of an adapter. A version that was published before this process
    /// began to watch allows no grace.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.take_version(key.clone(), 2, true, Duration::ZERO);
    /// assert_eq!(machine.newest(&key), Some(2));
    /// ```
    pub fn take_version(
        &mut self,
        key: AdapterKey,
        version: AdapterVersion,
        is_fresh: bool,
        now: MonoTime,
    ) {
        let known = self.versions.get(&key).map_or(0, |(version, _)| *version);
        if version > known {
            let strict_from = if is_fresh { now + VERSION_GRACE } else { now };
            self.versions.insert(key, (version, strict_from));
        }
    }

    /// Takes a replica's entry from the platform's listing.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.list(example_record("i-1"), Duration::ZERO).is_some());
    /// ```
    pub fn list(&mut self, record: ReplicaRecord, now: MonoTime) -> Option<BeliefChange> {
        self.doubted.remove(&record.id);
        let id = record.id.clone();
        self.table.list(record, now).then_some(BeliefChange::Listed(id))
    }

    /// Takes the news that a replica's entry is gone. While the store is away or has just come
    /// back, the entry may have lapsed only because the replica could not renew it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.unlist("i-1", Duration::ZERO), None);
    /// ```
    pub fn unlist(&mut self, id: &str, now: MonoTime) -> Option<BeliefChange> {
        self.table.get(id)?;
        let is_recent =
            self.store_returned.is_some_and(|back| now.saturating_sub(back) < LAPSE_GRACE);
        if self.is_store_away || is_recent {
            let from = self.store_returned.unwrap_or(now);
            self.doubted.entry(id.to_string()).or_insert(from + LAPSE_GRACE);
            return Some(BeliefChange::Doubted(id.to_string()));
        }
        self.table.remove(id);
        self.demand.forget_engine(id);
        Some(BeliefChange::Gone(id.to_string()))
    }

    /// Takes the whole listing: replicas that it does not name are gone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(machine.list_all(Vec::new(), Duration::ZERO).len(), 1);
    /// ```
    pub fn list_all(&mut self, records: Vec<ReplicaRecord>, now: MonoTime) -> Vec<BeliefChange> {
        let is_listed = |id: &ReplicaId| records.iter().any(|record| record.id == *id);
        let known = self.table.all().map(|view| view.record.id.clone());
        let missing: Vec<ReplicaId> = known.filter(|id| !is_listed(id)).collect();
        let mut changes: Vec<BeliefChange> =
            missing.iter().filter_map(|id| self.unlist(id, now)).collect();
        changes.extend(records.into_iter().filter_map(|record| self.list(record, now)));
        changes
    }

    /// All that this relay has read from the store.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).published().revision, 0);
    /// ```
    pub fn published(&self) -> PublishedState {
        let version = |(key, (version, _)): (&AdapterKey, &(AdapterVersion, MonoTime))| {
            HeldAdapter { key: key.clone(), version: *version }
        };
        PublishedState {
            revision: self.revision,
            sheet: self.sheet.as_deref().cloned(),
            versions: self.versions.iter().map(version).collect(),
            replicas: self.table.all().map(|view| view.record.clone()).collect(),
        }
    }

    /// Takes what another relay has read, if that is newer than what this one has; tells what
    /// changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::published::PublishedState;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let published = PublishedState { revision: 3, ..PublishedState::default() };
    /// assert!(machine.take_published(published, Duration::ZERO).is_empty());
    /// assert_eq!(machine.revision(), 3);
    /// ```
    pub fn take_published(
        &mut self,
        published: PublishedState,
        now: MonoTime,
    ) -> Vec<BeliefChange> {
        let mut changes = Vec::new();
        if let Some(sheet) = published.sheet {
            let version = sheet.version;
            if self.take_sheet(sheet) {
                changes.push(BeliefChange::Sheet(version));
            }
        }
        for held in published.versions {
            self.take_version(held.key, held.version, true, now);
        }
        if published.revision <= self.revision {
            return changes;
        }
        self.revision = published.revision;
        let is_listed = |id: &ReplicaId| published.replicas.iter().any(|record| record.id == *id);
        let known = self.table.all().map(|view| view.record.id.clone());
        let gone: Vec<ReplicaId> = known.filter(|id| !is_listed(id)).collect();
        for id in gone {
            self.forget(&id);
            changes.push(BeliefChange::Gone(id));
        }
        changes.extend(published.replicas.into_iter().filter_map(|record| self.list(record, now)));
        changes
    }

    /// Revision of the store up to which this relay has read.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert_eq!(RelayMachine::new(RelayRules::default(), 1).revision(), 0);
    /// ```
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes the revision of the store up to which this relay has read.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.note_revision(5);
    /// assert_eq!(machine.revision(), 5);
    /// ```
    pub fn note_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Notes whether the store answers; tells whether that changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.note_store(false, Duration::ZERO));
    /// assert!(!machine.note_store(false, Duration::ZERO));
    /// ```
    pub fn note_store(&mut self, answers: bool, now: MonoTime) -> bool {
        let is_changed = self.is_store_away == answers;
        if is_changed && answers {
            self.store_returned = Some(now);
        }
        self.is_store_away = !answers;
        is_changed
    }

    /// Gives up replicas whose entries lapsed and did not come back in time, and forgets asks whose
    /// time is over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.tick(Duration::ZERO).is_empty());
    /// ```
    pub fn tick(&mut self, now: MonoTime) -> Vec<BeliefChange> {
        self.demand.tick(now);
        self.pump(now);
        if self.is_store_away {
            return Vec::new();
        }
        let due: Vec<ReplicaId> = self
            .doubted
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.doubted.remove(id);
            self.table.remove(id);
            self.demand.forget_engine(id);
        }
        due.into_iter().map(BeliefChange::Gone).collect()
    }

    /// Takes a loader's report; tells whether what the engine holds changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{EngineBeacon, EngineReport};
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let beacon = EngineBeacon {
    ///     host: "e1".into(),
    ///     engine: "127.0.0.1:1".parse().unwrap(),
    ///     number: 1,
    ///     incarnation: 1,
    ///     report: EngineReport::default(),
    ///     model_loads: Vec::new(),
    ///     arrivals: Vec::new(),
    ///     relays: Vec::new(),
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.take_report(&beacon, Duration::ZERO));
    /// ```
    pub fn take_report(&mut self, beacon: &EngineBeacon, now: MonoTime) -> bool {
        let is_changed = self.table.report(beacon.engine, beacon.report.clone(), now);
        if let Some(view) = self.table.at(beacon.engine) {
            if beacon.report.models.is_empty() {
                self.demand.forget_engine(&view.record.id);
            }
            self.demand.note_held(view, now);
        }
        self.demand.note_arrivals(&beacon.arrivals, self.incoming(now));
        if is_changed {
            self.pump(now);
        }
        is_changed
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

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (share, saving) = (self.rules.retry_share, self.rules.retry_saving);
        let fresh = || RetryBudget::with_saving(share, saving);
        self.budgets.entry(service.to_string()).or_insert_with(fresh)
    }

    /// Takes one repeat from the budget of a service; `false` when none is left.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_repeat("s"));
    /// ```
    pub fn take_repeat(&mut self, service: &str) -> bool {
        self.budget(service).take()
    }

    /// Tells whether the budget of a service allows a repeat now.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).has_repeat("s"));
    /// ```
    pub fn has_repeat(&mut self, service: &str) -> bool {
        self.budget(service).left() >= 1.0
    }

    /// Draws the service of a request by its route's weights.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::sheet::{RouteKind, RouteRecord, RouteTarget};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     targets: vec![RouteTarget { service: "s".into(), weight: 1 }],
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.draw_service(&route), Some("s".to_string()));
    /// ```
    pub fn draw_service(&mut self, route: &RouteRecord) -> Option<ServiceName> {
        let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut place = self.draw().checked_rem(total)?;
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(target.service.clone());
            }
            place -= weight;
        }
        None
    }

    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(1);
        rendezvous::weight("draw", &self.draws.to_string())
    }

    /// The least version of an adapter on which a request may begin now.
    fn least_version(&self, key: &AdapterKey, now: MonoTime) -> AdapterVersion {
        match self.versions.get(key) {
            Some((version, strict_from)) if now >= *strict_from => *version,
            _ => 0,
        }
    }

    /// Chooses the next step of a request; replicas in `tried` are left out.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
    /// use quillcove_core::relay::sheet::{RouteKind, RouteRecord};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     targets: Vec::new(),
    /// };
    /// let query = RelayQuery {
    ///     route: Arc::new(route),
    ///     service: "s".into(),
    ///     model: None,
    ///     adapter: None,
    ///     received: Duration::ZERO,
    ///     deadline: Duration::from_secs(1),
    ///     looks: 0,
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let choice = machine.choose(&query, &[], Duration::ZERO);
    /// assert!(matches!(choice, RelayChoice::Refuse(_)));
    /// ```
    pub fn choose(
        &mut self,
        query: &RelayQuery,
        tried: &[ReplicaId],
        now: MonoTime,
    ) -> RelayChoice {
        if now >= query.deadline {
            return refuse(RefusalReason::DeadlinePassed, None);
        }
        let draw = self.draw();
        let ready: Vec<&ReplicaView> = self
            .table
            .all()
            .filter(|view| view.record.service == query.service && view.is_ready())
            .collect();
        if ready.is_empty() {
            return refuse(RefusalReason::NoUpstream, Some(SOON));
        }
        let limit = self.connection_share(&query.service);
        let open: Vec<&ReplicaView> =
            ready.into_iter().filter(|view| (view.in_flight as usize) < limit).collect();
        if open.is_empty() {
            return RelayChoice::Refuse(WorkRefusal::overloaded());
        }
        let pool = well_ones(&open, now);
        let need = self.need_of(query, now);
        let holds = |view: &&&ReplicaView| need.is_met_by(view, now);
        let holders: Vec<&ReplicaView> = pool.iter().filter(holds).copied().collect();
        let is_fresh = |view: &&&ReplicaView| !tried.contains(&view.record.id);
        let fresh: Vec<&ReplicaView> = holders.iter().filter(is_fresh).copied().collect();
        let current = self.newest_of(query, &fresh, now);
        match routing::choose(&current, &self.rules.hall, now, draw) {
            Some(view) => {
                let order =
                    AttemptOrder { replica: view.record.id.clone(), address: view.record.address };
                self.refresh_copies(query, &order.replica, now);
                RelayChoice::Send(order)
            },
            None if query.adapter.is_some() && holders.is_empty() => self.await_load(query, now),
            None => refuse(RefusalReason::NoUpstream, Some(SOON)),
        }
    }

    /// Connections that this relay may have to one replica of a service: its even share of what the
    /// replica accepts, less a part for relays that have not been heard yet.
    fn connection_share(&self, service: &str) -> usize {
        let limit = self.sheet.as_ref().and_then(|sheet| sheet.service(service));
        let limit = limit.map_or(usize::MAX, |service| service.connection_limit);
        (limit / (self.relays + 1)).max(CONNECTIONS_LEAST)
    }

    /// Of several holders of an adapter, those that have its newest version if any do.
    fn newest_of<'a>(
        &self,
        query: &RelayQuery,
        holders: &[&'a ReplicaView],
        now: MonoTime,
    ) -> Vec<&'a ReplicaView> {
        let newest = query.adapter.as_ref().and_then(|key| Some((key, self.newest(key)?)));
        let Some((key, version)) = newest else {
            return holders.to_vec();
        };
        let need = HoldingNeed::Adapter(key, version);
        let current: Vec<&ReplicaView> =
            holders.iter().filter(|view| need.is_met_by(view, now)).copied().collect();
        match current.is_empty() {
            true => holders.to_vec(),
            false => current,
        }
    }

    /// Asks for another copy of an adapter when the engine that takes the request is loaded, or
    /// holds an older version than the newest.
    fn refresh_copies(&mut self, query: &RelayQuery, chosen: &str, now: MonoTime) {
        let Some(key) = &query.adapter else {
            return;
        };
        let Some(view) = self.table.get(chosen) else {
            return;
        };
        let newest = self.newest(key).unwrap_or(0);
        let is_outdated = view.version_of(key, now).is_some_and(|held| held < newest);
        if is_outdated || view.load(now) >= SPREAD_LOAD {
            self.ask_for(query, now + COPY_LIFETIME, now);
        }
    }

    /// Notes that a request lacks its adapter, and asks for what is worth most; gives the time at
    /// which the adapter will be there. `useful_until` is when the request gives it up.
    fn ask_for(
        &mut self,
        query: &RelayQuery,
        useful_until: MonoTime,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let key = query.adapter.as_ref()?;
        let version = self.newest(key);
        let lacked = LackedAdapter { key, service: &query.service, version, useful_until };
        self.demand.want(&lacked, query.looks == 0, now);
        self.pump(now);
        Some(self.demand.ready_at(key, now))
    }

    /// Sends the asks for which the weight store has room.
    fn pump(&mut self, now: MonoTime) {
        let Some(sheet) = self.sheet.clone() else {
            return;
        };
        let mut choices = Vec::new();
        for service in sheet.services() {
            let Some(engine) = &service.engine else {
                continue;
            };
            let ready = self.table.all().filter(|view| {
                view.record.service == service.name && view.is_ready() && view.seems_well(now)
            });
            choices.push(EngineChoice { service: &service.name, engine, views: ready.collect() });
        }
        self.demand.pump(&choices, now);
    }

    /// Loads on their way over the whole site, as the loaders report them.
    fn incoming(&self, now: MonoTime) -> usize {
        let reports = self.table.all().filter_map(|view| view.report(now));
        reports.map(|report| report.incoming.len()).sum()
    }

    fn need_of<'a>(&self, query: &'a RelayQuery, now: MonoTime) -> HoldingNeed<'a> {
        match (&query.adapter, &query.model) {
            (Some(key), _) => HoldingNeed::Adapter(key, self.least_version(key, now)),
            (None, Some(model)) => HoldingNeed::Model(model),
            (None, None) => HoldingNeed::Nothing,
        }
    }

    /// A request whose adapter is in no engine: waits when the adapter will be there in time, and
    /// is refused at once, with the time at which to come back, when it will not.
    fn await_load(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        let aim = query.route.aim;
        let decide_by = query.received + aim.mul_f64(DECIDE_SHARE);
        let give_up = (query.received + aim.mul_f64(PATIENCE)).min(query.deadline);
        let ready_at = self.ask_for(query, give_up, now);
        let is_in_time = ready_at.is_some_and(|at| at + FIRST_EVENT_TIME <= query.received + aim);
        if is_in_time {
            return RelayChoice::Wait((now + ASK_CHECK).min(give_up));
        }
        // Once a request has been held beyond the time for a useful refusal, a late answer is
        // worth more to its caller than none.
        if now > decide_by && now < give_up {
            return RelayChoice::Wait((now + ASK_CHECK).min(give_up));
        }
        let come_back = match self.hears_engines(&query.service, now) {
            true => ready_at.map_or(SOON, |at| at.saturating_sub(now) + NEWS_TIME),
            // This relay is cut off from the loaders; the caller's next try reaches another one.
            false => ELSEWHERE,
        };
        let come_back = come_back.min((query.deadline.saturating_sub(now)).mul_f64(RETURN_SHARE));
        self.ask_for(query, now + come_back + aim, now);
        refuse(RefusalReason::DeadlineTooShort, Some(come_back))
    }

    /// Tells whether the loader of any engine of a service is heard.
    fn hears_engines(&self, service: &str, now: MonoTime) -> bool {
        self.ready_engines(service).any(|view| view.report(now).is_some())
    }

    /// Notes that a request is sent to a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).begin("i-1", None, Duration::ZERO);
    /// ```
    pub fn begin(&mut self, replica: &str, key: Option<&AdapterKey>, now: MonoTime) {
        self.table.begin(replica, key, now);
    }

    /// Notes that bytes came from a replica.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).hear("i-1", Duration::ZERO);
    /// ```
    pub fn hear(&mut self, replica: &str, now: MonoTime) {
        self.table.hear(replica, now);
    }

    /// Notes the end of an attempt; tells whether the replica is left out from now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::AttemptFate;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(!machine.end("i-1", None, AttemptFate::Answered, Duration::ZERO));
    /// ```
    pub fn end(
        &mut self,
        replica: &str,
        key: Option<&AdapterKey>,
        fate: AttemptFate,
        now: MonoTime,
    ) -> bool {
        self.table.end(replica, key, fate, now)
    }

    /// Notes that a replica turned out not to be the one that was meant.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// RelayMachine::new(RelayRules::default(), 1).forget("i-1");
    /// ```
    pub fn forget(&mut self, replica: &str) {
        self.table.remove(replica);
        self.doubted.remove(replica);
        self.demand.forget_engine(replica);
    }

    /// Notes that a replica does not hold an adapter that it was taken to hold.
    ///
    /// ```
    /// use quillcove_core::relay::beacon::AdapterKey;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// RelayMachine::new(RelayRules::default(), 1).lacks("i-1", &key);
    /// ```
    pub fn lacks(&mut self, replica: &str, key: &AdapterKey) {
        self.table.lacks(replica, key);
    }
}

/// Replicas that seem to work; all of them when that would leave less than half, because then the
/// fault may be on this side.
fn well_ones<'a>(ready: &[&'a ReplicaView], now: MonoTime) -> Vec<&'a ReplicaView> {
    let well: Vec<&ReplicaView> =
        ready.iter().filter(|view| view.seems_well(now)).copied().collect();
    match well.len() * 2 < ready.len() {
        true => ready.to_vec(),
        false => well,
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> RelayChoice {
    RelayChoice::Refuse(WorkRefusal::not_run(reason, retry_after))
}
