//! One replica of an upstream service: its entry in the platform's listing, the adapters and models
//! that it holds, and its load.

mod departed;
mod kept;
mod recent;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::table::ReplicaTable;
use super::beacon::{AdapterUse, EngineReport, HeldAdapter};
use super::engine_status::EngineStatus;
use super::position::StorePosition;
use super::reading::PrefillQueue;
use super::sheet::ModelRecord;
use crate::ids::{
    AdapterKey, AdapterVersion, HallName, ModelName, MonoTime, ReplicaId, ServiceName,
    SoftwareVersion, StartTime,
};
use crate::standing::UpstreamStatus;

/// Age up to which a loader's report takes precedence over the platform's listing. Loaders report
/// at least every 500 ms, so this tolerates two lost datagrams.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Age up to which a loader's status of its engine counts. Loaders send one with each heartbeat.
const STATUS_LIFETIME: Duration = Duration::from_millis(1500);

/// Silence of a replica with requests in flight after which it counts as stuck. A plain call or an
/// engine step takes a fraction of this time.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);

/// Load of a request that waits for its first event. Reading a common prompt takes about 60 ms, so
/// ten waiting requests delay a caller by more than it tolerates.
const WAITING_REQUEST_LOAD: f64 = 0.1;

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It accepts new requests.
    Ready,
    /// It is draining.
    Draining,
}

/// One replica as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Id of the replica; together with [`ReplicaRecord::born`] it identifies one start.
    pub id: ReplicaId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Start time, in milliseconds of the wall clock; a replica that restarts under the same id has
    /// a later one. `None` if the platform reports none.
    pub born: Option<StartTime>,
    /// Position in the store at which its entry was created. Of several replicas listed at one
    /// address, only the one created last can be running; the entries of its predecessors have not
    /// expired yet.
    pub created: StorePosition,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Hall in which it runs.
    pub hall: HallName,
    /// Number of requests that it processes concurrently.
    pub places: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Remaining warm-up time; zero once the replica is warm.
    pub cold_left: Duration,
    /// Base models that it holds in memory.
    pub models: Vec<ModelName>,
    /// Adapters that it holds in memory.
    pub adapters: Vec<HeldAdapter>,
    /// Version of its software; `None` if it states none.
    pub software: Option<SoftwareVersion>,
}

impl ReplicaRecord {
    /// Compares this record with an earlier one of the same id.
    ///
    /// ```
    /// use quillcove_core::relay::replica::{RecordOrder, ReplicaRecord, example_record};
    ///
    /// let before = ReplicaRecord { born: Some(5), ..example_record("i-1") };
    /// let after = ReplicaRecord { born: Some(6), ..example_record("i-1") };
    /// assert_eq!(after.follows(&before), RecordOrder::Restart);
    /// assert_eq!(before.follows(&after), RecordOrder::Late);
    /// assert_eq!(before.follows(&before), RecordOrder::SameStart);
    /// ```
    pub fn follows(&self, earlier: &Self) -> RecordOrder {
        match (self.born, earlier.born) {
            (Some(born), Some(earlier_born)) if born > earlier_born => RecordOrder::Restart,
            (Some(born), Some(earlier_born)) if born < earlier_born => RecordOrder::Late,
            _ => RecordOrder::SameStart,
        }
    }

    /// Returns whether a known record at the same address, of the same replica or another one, is later than this one.
    ///
    /// See [`ReplicaRecord::order_at_address`] for an example of records at one address.
    pub fn is_outdated_by(&self, known: &Self) -> bool {
        match self.id == known.id {
            true => self.created < known.created,
            false => self.order_at_address(known) != AddressOrder::Successor,
        }
    }

    /// Compares this record with that of another replica at the same address, only one of which can be running.
    ///
    /// Entries of one era are in the order of their creation, whatever the clocks of their hosts say. A copy of the store
    /// brings entries of before into a later era, in which only the times of the starts can tell.
    ///
    /// ```
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::replica::{AddressOrder, ReplicaRecord, example_record};
    ///
    /// let record = |born, era, revision| {
    ///     let created = StorePosition { era, revision };
    ///     ReplicaRecord { born, created, ..example_record("i-1") }
    /// };
    /// let running = record(Some(9), 0, 80);
    /// assert_eq!(running.order_at_address(&record(Some(5), 0, 10)), AddressOrder::Successor);
    /// assert_eq!(running.order_at_address(&record(Some(5), 1, 10)), AddressOrder::Successor);
    /// assert_eq!(running.order_at_address(&record(None, 1, 10)), AddressOrder::PerhapsPredecessor);
    /// ```
    pub fn order_at_address(&self, other: &Self) -> AddressOrder {
        let is_same_era = self.created.era == other.created.era;
        let starts = self.born.zip(other.born).filter(|(own, others)| own != others);
        match (is_same_era, starts) {
            (false, Some((own, others))) if own < others => AddressOrder::Predecessor,
            (false, Some(_)) => AddressOrder::Successor,
            (false, None) if self.created < other.created => AddressOrder::PerhapsPredecessor,
            (true, _) if self.created < other.created => AddressOrder::Predecessor,
            (_, _) => AddressOrder::Successor,
        }
    }
}

/// Order of two replicas at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressOrder {
    /// The first one has ended.
    Predecessor,
    /// The entry of the first one is of an earlier era, and nothing tells which replica started later.
    PerhapsPredecessor,
    /// The first one runs, or both records are of the same replica.
    Successor,
}

/// How a record relates to an earlier one of the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOrder {
    /// It describes the same start of the replica.
    SameStart,
    /// It describes a restart of the replica; nothing known about the earlier start applies.
    Restart,
    /// It describes a start before the known one.
    Late,
}

/// Outcome of an attempt at a replica, with regard to the replica's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered normally.
    Answered,
    /// It rejected the request: it is full, or does not have the expected identity or adapter.
    Refused,
    /// It broke off the answer, sent none, or could not be reached.
    Failed,
    /// The caller disconnected, which shows nothing about the replica.
    Abandoned,
}

/// A replica and what this process knows of it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// The platform's listing.
    pub record: ReplicaRecord,
    /// Requests of this process in flight.
    pub in_flight: u32,
    /// What it has reported about itself in its answers.
    pub standing: UpstreamStatus,
    /// Since when its loader has reported it as draining.
    reported_draining_since: Option<MonoTime>,
    /// Whether the operator has its hall evacuated.
    is_hall_evacuated: bool,
    /// Whether its entry is missing from the store but may come back.
    is_unconfirmed: bool,
    /// Whether it belongs to this relay's cell.
    pub is_in_cell: bool,
    /// When its listing was last read.
    listed_at: MonoTime,
    /// The last report of its loader, and when it was received.
    report: Option<(EngineReport, MonoTime)>,
    /// Free adapter slots according to that report.
    free_slots: Option<u32>,
    /// Requests of all relays in flight for each adapter of that report, in the report's order.
    fleet_uses: Vec<u32>,
    /// Since when its loader has reported no base model in memory.
    empty_since: Option<MonoTime>,
    /// Requests of this process sent since that report.
    sent_since_report: u32,
    /// Prompts that it has not read yet.
    pub reading: PrefillQueue,
    /// Last status from its loader, and when it was received.
    status: Option<(EngineStatus, MonoTime)>,
    /// Use of its adapters by this process.
    uses: BTreeMap<AdapterKey, AdapterUse>,
    /// Adapters that the last report to its loader named as in use.
    reported_uses: BTreeSet<AdapterKey>,
    /// When its loader was last to be notified at once of a first use.
    first_use_at: Option<MonoTime>,
    failures: u32,
    ejections: u32,
    ejected_until: MonoTime,
    last_received: MonoTime,
}

impl ReplicaView {
    fn new(record: ReplicaRecord, now: MonoTime) -> Self {
        Self {
            record,
            in_flight: 0,
            standing: UpstreamStatus::default(),
            reported_draining_since: None,
            is_hall_evacuated: false,
            is_unconfirmed: false,
            is_in_cell: true,
            listed_at: now,
            report: None,
            free_slots: None,
            fleet_uses: Vec::new(),
            empty_since: None,
            sent_since_report: 0,
            reading: PrefillQueue::default(),
            status: None,
            uses: BTreeMap::new(),
            reported_uses: BTreeSet::new(),
            first_use_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: MonoTime::ZERO,
            last_received: now,
        }
    }

    /// Tells whether it is not draining: its entry, its loader and its answers do not report it as
    /// draining, and its hall is not being evacuated. The loader and the answers show draining
    /// first, and are the only sources while the store is unavailable. The sources are independent:
    /// a later report of one does not override another's.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        let is_listed = self.record.state == ReplicaState::Ready && !self.is_hall_evacuated;
        is_listed && self.leaving_since().is_none()
    }

    /// Returns since when it is known to be draining from its answers, its entry or its loader's
    /// reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().leaving_since(), None);
    /// ```
    pub fn leaving_since(&self) -> Option<MonoTime> {
        let own = self.standing.leaving().filter(|_| self.standing.is_leaving());
        let own_since = own.map(|report| report.since);
        [own_since, self.reported_draining_since].into_iter().flatten().min()
    }

    /// Tells whether new requests may go to it now: it is not draining, and pauses and limits allow
    /// requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().takes_work(Duration::ZERO));
    /// ```
    pub fn takes_work(&self, now: MonoTime) -> bool {
        self.is_ready() && self.standing.takes_work(now)
    }

    /// Tells whether it seems healthy: it is not ejected after failures, not silent with requests
    /// in flight, its entry is present, and no other relay has reported it as draining.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().seems_well(Duration::ZERO));
    /// ```
    pub fn seems_well(&self, now: MonoTime) -> bool {
        let is_silent =
            self.in_flight > 0 && now.saturating_sub(self.last_received) > SILENCE_LIMIT;
        let is_present = !self.is_unconfirmed && self.standing.leaving().is_none();
        now >= self.ejected_until && !is_silent && is_present
    }

    /// Tells whether bytes from it have been received after this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().has_received_since(Duration::ZERO));
    /// ```
    pub fn has_received_since(&self, at: MonoTime) -> bool {
        self.last_received > at
    }

    /// Returns the loader's report, unless it is too old.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().report(Duration::ZERO).is_none());
    /// ```
    pub fn report(&self, now: MonoTime) -> Option<&EngineReport> {
        let (report, received_at) = self.report.as_ref()?;
        (now.saturating_sub(*received_at) <= REPORT_LIFETIME).then_some(report)
    }

    /// Returns its loader's status, unless it is too old.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().status(Duration::ZERO).is_none());
    /// ```
    pub fn status(&self, now: MonoTime) -> Option<&EngineStatus> {
        let (status, received_at) = self.status.as_ref()?;
        (now.saturating_sub(*received_at) <= STATUS_LIFETIME).then_some(status)
    }

    /// Tells whether its loader has recently reported that it does not respond.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().is_unreachable(Duration::ZERO));
    /// ```
    pub fn is_unreachable(&self, now: MonoTime) -> bool {
        self.status(now).is_some_and(|status| !status.is_reachable)
    }

    /// Returns the number of free adapter slots, if its loader has reported recently.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().spare_places(Duration::ZERO), None);
    /// ```
    pub fn spare_places(&self, now: MonoTime) -> Option<u32> {
        self.report(now)?;
        self.free_slots
    }

    /// Returns when it will hold a base model, as far as its loader's report shows: now if it holds
    /// the model already, or, if it holds none, after a load from its host's copy or from the
    /// weight store.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::relay::sheet::ModelRecord;
    ///
    /// let model = ModelRecord {
    ///     name: "m".into(),
    ///     weights_mb: 1.0,
    ///     adapter_mb: 1.0,
    ///     load_time: Duration::from_secs(1),
    ///     disk_load_time: Duration::from_secs(2),
    /// };
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let view = table.get("i-1").unwrap();
    /// assert_eq!(view.model_ready_at(&model, Duration::ZERO), None, "there is no report");
    /// ```
    pub fn model_ready_at(&self, model: &ModelRecord, now: MonoTime) -> Option<MonoTime> {
        let report = self.report(now)?;
        if report.models.contains(&model.name) {
            return Some(now);
        }
        let load_time = match report.local_models.contains(&model.name) {
            true => model.disk_load_time,
            false => model.load_time,
        };
        Some((self.empty_since? + load_time).max(now))
    }

    /// Returns the loader's report if that is the latest information on what the replica holds: it
    /// is recent, or was received no earlier than the platform's listing was read. A relay that
    /// follows the store through another one applies listings only when they matter, so even an old
    /// report may be newer than the listing.
    fn holdings_report(&self, now: MonoTime) -> Option<&EngineReport> {
        let (report, received_at) = self.report.as_ref()?;
        let is_latest = *received_at >= self.listed_at;
        (is_latest || self.report(now).is_some()).then_some(report)
    }

    /// Tells whether its entry is missing from the store but may come back.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().is_unconfirmed());
    /// ```
    pub fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Returns the adapters that it holds, from the loader's report or else from the platform's
    /// listing.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().adapters(Duration::ZERO).is_empty());
    /// ```
    pub fn adapters(&self, now: MonoTime) -> &[HeldAdapter] {
        self.holdings_report(now).map_or(&self.record.adapters, |report| &report.adapters)
    }

    /// Returns the base models that it holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().models(Duration::ZERO), ["m"]);
    /// ```
    pub fn models(&self, now: MonoTime) -> &[ModelName] {
        self.holdings_report(now).map_or(&self.record.models, |report| &report.models)
    }

    /// Returns the version of an adapter that it holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// assert_eq!(table.get("i-1").unwrap().version_of(&key, Duration::ZERO), None);
    /// ```
    pub fn version_of(&self, key: &AdapterKey, now: MonoTime) -> Option<AdapterVersion> {
        let held = self.adapters(now).iter().find(|held| held.key == *key);
        held.map(|held| held.version)
    }

    /// Tells whether this process uses its adapters, or has used any since its last report to the
    /// loader.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().has_uses());
    /// ```
    pub fn has_uses(&self) -> bool {
        !self.uses.is_empty()
    }

    /// Returns the number of this process's requests in flight for an adapter.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.begin("i-1", Some(&key), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().uses_of(&key), 1);
    /// ```
    pub fn uses_of(&self, key: &AdapterKey) -> u32 {
        self.uses.get(key).map_or(0, |used| used.in_flight)
    }

    /// Returns the number of all relays' requests in flight for an adapter, as far as this process
    /// knows: the number in the loader's last report, or its own if that is higher. Relays report
    /// their uses to loaders twice a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.begin("i-1", Some(&key), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().fleet_uses_of(&key, Duration::ZERO), 1);
    /// ```
    pub fn fleet_uses_of(&self, key: &AdapterKey, now: MonoTime) -> u32 {
        let own = self.uses_of(key);
        let Some(report) = self.report(now) else {
            return own;
        };
        // The two lists differ from the removal of a missing adapter until the next report.
        if report.adapters.len() != self.fleet_uses.len() {
            return own;
        }
        let index = report.adapters.iter().position(|held| held.key == *key);
        index.map_or(own, |index| self.fleet_uses[index].max(own))
    }

    /// Returns its load; 1 or more means practically full. Requests count as a fraction of its
    /// capacity ([`ReplicaRecord::places`]), and requests that wait for their first event count
    /// extra, as prompts are read one after another. The load is taken from the last report and the
    /// requests sent since, or, without a report, from this process's own requests alone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// table.begin("i-1", None, Duration::ZERO);
    /// assert!(table.get("i-1").unwrap().load(Duration::ZERO) > 0.0);
    /// ```
    pub fn load(&self, now: MonoTime) -> f64 {
        let waiting = self.report(now).map_or(0, |report| report.waiting + self.sent_since_report);
        self.utilization(now) + f64::from(waiting) * WAITING_REQUEST_LOAD
    }

    /// Returns its requests as a fraction of its capacity, as far as this process knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().utilization(Duration::ZERO), 0.0);
    /// ```
    pub fn utilization(&self, now: MonoTime) -> f64 {
        let requests = match self.report(now) {
            Some(report) => {
                (report.running + report.waiting + self.sent_since_report).max(self.in_flight)
            },
            None => self.in_flight,
        };
        f64::from(requests) / f64::from(self.record.places.max(1))
    }
}

/// Returns a ready replica of the service `s` with the model `m`, for examples and tests.
///
/// ```
/// assert_eq!(quillcove_core::relay::replica::example_record("i-1").id, "i-1");
/// ```
pub fn example_record(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_string(),
        service: "s".to_string(),
        born: None,
        created: StorePosition::in_first_era(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: "hall-a".to_string(),
        places: 8,
        state: ReplicaState::Ready,
        cold_left: Duration::ZERO,
        models: vec!["m".to_string()],
        adapters: Vec::new(),
        software: None,
    }
}
