//! An upstream: what the platform lists of it, what it holds, and how loaded it is.

mod departed;
mod kept;
mod recent;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::table::ReplicaTable;
use super::beacon::{AdapterKey, AdapterUse, EngineReport, HeldAdapter, ReplicaId, StartTime};
use super::position::StorePosition;
use super::reading::ReadingQueue;
use super::sheet::ModelRecord;
use crate::ids::{AdapterVersion, HallName, ModelName, MonoTime, ServiceName};
use crate::standing::UpstreamStanding;

/// Age up to which a loader's report goes before the platform's listing. Loaders report at least
/// each 500 ms, so this bears two lost datagrams.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Silence of a replica with requests in flight after which it counts as stuck. A plain call or a
/// step of an engine takes a fraction of it.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);

/// Load of a request that waits for its first event. Reading a common prompt takes some 60 ms, so
/// ten of them are more than a caller will wait.
const WAITING_LOAD: f64 = 0.1;

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// One replica as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Names the replica; with [`ReplicaRecord::born`] it identifies one start of it.
    pub id: ReplicaId,
    /// Its service.
    pub service: ServiceName,
    /// When it started, in milliseconds of the wall clock; a replica that starts again under its id has a
    /// later one. `None` when the platform does not say.
    pub born: Option<StartTime>,
    /// Position in the store at which its entry was created. Of several replicas listed at one
    /// address, only the one that was created last can be there; the entries of its predecessors
    /// have not lapsed yet.
    pub created: StorePosition,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: HallName,
    /// Requests that it works on at once.
    pub places: u32,
    /// Whether it takes new work.
    pub state: ReplicaState,
    /// Time for which it is cold from now on; zero for one that is warm.
    pub cold_left: Duration,
    /// Base models that it holds.
    pub models: Vec<ModelName>,
    /// Adapters that it holds.
    pub adapters: Vec<HeldAdapter>,
}

impl ReplicaRecord {
    /// How this record follows an earlier one of the same id.
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
            (Some(born), Some(before)) if born > before => RecordOrder::Restart,
            (Some(born), Some(before)) if born < before => RecordOrder::Late,
            _ => RecordOrder::SameStart,
        }
    }
}

/// How a record follows an earlier one of the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOrder {
    /// It tells of the same start of the replica.
    SameStart,
    /// The replica has started again; nothing that was known of it holds.
    Restart,
    /// It tells of a start before the known one.
    Late,
}

/// How an attempt at a replica ended, as far as the replica's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFate {
    /// It answered as it should.
    Answered,
    /// It refused: it is full, or not what it was taken for.
    Refused,
    /// It broke off, said nothing, or could not be reached.
    Failed,
    /// The caller left; this says nothing of the replica.
    Abandoned,
}

/// A replica with what this process knows of it.
#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// As the platform lists it.
    pub record: ReplicaRecord,
    /// Requests of this process in flight there.
    pub in_flight: u32,
    /// What it says of itself in its answers.
    pub standing: UpstreamStanding,
    /// Since when its loader has reported that it leaves.
    reported_leaving: Option<MonoTime>,
    /// Whether the operator has its hall emptied.
    is_hall_emptied: bool,
    /// Whether its entry is missing, though it may come back.
    is_doubted: bool,
    /// Whether it is in this relay's cell.
    pub is_near: bool,
    /// When the platform's listing was last taken.
    listed_at: MonoTime,
    /// The last report of its loader, and when it came.
    report: Option<(EngineReport, MonoTime)>,
    /// Adapters that it can take in, by that report.
    spare_places: Option<u32>,
    /// Requests of all relays in flight for each adapter of that report, in its order.
    fleet_uses: Vec<u32>,
    /// Since when it has been reported to hold no base model.
    empty_since: Option<MonoTime>,
    /// Requests sent since that report.
    sent_since: u32,
    /// Prompts that it has to read.
    pub reading: ReadingQueue,
    /// Use of its adapters by this process.
    uses: BTreeMap<AdapterKey, AdapterUse>,
    failures: u32,
    ejections: u32,
    ejected_until: MonoTime,
    last_heard: MonoTime,
}

impl ReplicaView {
    fn new(record: ReplicaRecord, now: MonoTime) -> Self {
        Self {
            record,
            in_flight: 0,
            standing: UpstreamStanding::default(),
            reported_leaving: None,
            is_hall_emptied: false,
            is_doubted: false,
            is_near: true,
            listed_at: now,
            report: None,
            spare_places: None,
            fleet_uses: Vec::new(),
            empty_since: None,
            sent_since: 0,
            reading: ReadingQueue::default(),
            uses: BTreeMap::new(),
            failures: 0,
            ejections: 0,
            ejected_until: MonoTime::ZERO,
            last_heard: now,
        }
    }

    /// Tells whether it stays: neither its entry, nor its loader, nor an answer of it says that it leaves, and its
    /// hall is not to be emptied. Loader and answers know it first, and alone where the store is away; each word
    /// stands for itself, so that a later one of another source takes nothing back.
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
        let is_listed = self.record.state == ReplicaState::Ready && !self.is_hall_emptied;
        is_listed && self.leaving_since().is_none()
    }

    /// Since when it has been known to leave by its own word, in an answer or its entry, or its loader's.
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
        let said = self.standing.leaving().filter(|_| self.standing.is_leaving());
        let said = said.map(|word| word.since);
        [said, self.reported_leaving].into_iter().flatten().min()
    }

    /// Tells whether new work may go to it now: it stays, and does not rest.
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

    /// Tells whether it seems to work: not left out after failures, not silent while requests are in
    /// flight, its entry is there, and no other relay told that it leaves.
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
        let is_silent = self.in_flight > 0 && now.saturating_sub(self.last_heard) > SILENCE_LIMIT;
        let is_present = !self.is_doubted && self.standing.leaving().is_none();
        now >= self.ejected_until && !is_silent && is_present
    }

    /// Tells whether bytes came from it after this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().is_heard_since(Duration::ZERO));
    /// ```
    pub fn is_heard_since(&self, at: MonoTime) -> bool {
        self.last_heard > at
    }

    /// The loader's report, unless it is too old.
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
        let (report, heard) = self.report.as_ref()?;
        (now.saturating_sub(*heard) <= REPORT_LIFETIME).then_some(report)
    }

    /// Adapters that it can take in now, if its loader told so lately.
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
        self.spare_places
    }

    /// When it will hold a base model, as far as its loader's report tells: now when it does, and
    /// after a load from its host's copy or from the weight store when it is empty.
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

    /// The last word on what it holds: the loader's report, unless that is too old and the platform's
    /// listing was taken after it. A relay that is told of the store takes listings only when they
    /// matter, so that an old report may be the newer word.
    fn held_report(&self, now: MonoTime) -> Option<&EngineReport> {
        let (report, heard) = self.report.as_ref()?;
        let is_last_word = *heard >= self.listed_at;
        (is_last_word || self.report(now).is_some()).then_some(report)
    }

    /// Tells whether its entry is missing, though it may come back.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert!(!table.get("i-1").unwrap().is_doubted());
    /// ```
    pub fn is_doubted(&self) -> bool {
        self.is_doubted
    }

    /// Adapters that it holds: by the loader's report, or else by the platform's listing.
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
        self.held_report(now).map_or(&self.record.adapters, |report| &report.adapters)
    }

    /// Base models that it holds.
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
        self.held_report(now).map_or(&self.record.models, |report| &report.models)
    }

    /// Version of an adapter that it holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
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

    /// Tells whether this process uses adapters of it, or has used some since its loader was told last.
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

    /// Requests of this process for an adapter that are in flight there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
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

    /// Requests of all relays for an adapter that are in flight there, as far as this process knows:
    /// its own, or more by the loader's last word, which relays' uses reach twice a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::AdapterKey;
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
        // After an adapter turned out to be missing, the two lists differ until the next report.
        if report.adapters.len() != self.fleet_uses.len() {
            return own;
        }
        let place = report.adapters.iter().position(|held| held.key == *key);
        place.map_or(own, |place| self.fleet_uses[place].max(own))
    }

    /// How loaded it is: 1 and more is as good as full. Requests count as a share of its places,
    /// and those that wait for their first event on top of that, as prompts are read one after
    /// another. Known from the last report and what was sent since, or from this process's own
    /// requests alone.
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
        let waiting = self.report(now).map_or(0, |report| report.waiting + self.sent_since);
        self.share_of_places(now) + f64::from(waiting) * WAITING_LOAD
    }

    /// Requests that it has as a share of its places, as far as this process knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// assert_eq!(table.get("i-1").unwrap().share_of_places(Duration::ZERO), 0.0);
    /// ```
    pub fn share_of_places(&self, now: MonoTime) -> f64 {
        let requests = match self.report(now) {
            Some(report) => (report.running + report.waiting + self.sent_since).max(self.in_flight),
            None => self.in_flight,
        };
        f64::from(requests) / f64::from(self.record.places.max(1))
    }
}

/// A ready replica of the service `s` with the model `m`, for examples and tests.
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
    }
}
