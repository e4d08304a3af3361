//! Who reads the platform's store, and how old a relay's knowledge of it may get.
//!
//! In a large fleet a few relays of each hall watch the store, and the others are told: each relay's
//! beacon says up to which revision it knows each part of the store, since when that was known to be
//! complete, and at which revision something last changed that matters. A relay that is told of no such
//! change takes over the revision and the age. One that is told of a change, or whose knowledge gets
//! older than its limit, reads for itself, whoever else is to read. So the age of every belief is
//! bounded with no agreement on who reads: readers may be killed, paused, cut off or turned away.
//!
//! A beacon tells the age of the relay's own last reading only. The time that a beacon is on its way is
//! missing in the age that is told; passed on from relay to relay, an age would stay young for ever.
//!
//! With 68 relays that all watched, calls of the store cost 0.06 to 0.10 of the worth of a day.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::published::{ReadRevisions, StorePart};
use crate::ids::{HallName, HostId, MonoTime};
use crate::rendezvous;

/// Relays of a fleet in which all read: fewer calls would save less than they risk.
const SMALL_FLEET: usize = 8;

/// Relays that read, over all halls, and one of each hall at least: so many may be lost at once before
/// others wait for their limit. Every relay hears the readers of all halls.
const READERS: usize = 3;

/// Part of the users' bounds that is left for a relay's own read of the store and for the way of a
/// beacon through a busy host.
const OWN_READ_TIME: Duration = Duration::from_millis(900);

/// Span over which the age limits of relays are spread, so that not all read at once when no reader is
/// heard; those that come first tell the others.
const LIMIT_SPREAD: Duration = Duration::from_millis(400);

/// Time between a reader's answer and its word of the next one when nothing changes, beside its watch
/// and the pause in which changes gather: the beacon that tells of it, and the ways.
const TELLING_TIME: Duration = Duration::from_millis(700);

/// Shortest watch of a reader; with less, being told would not save calls.
const LEAST_WATCH: Duration = Duration::from_millis(300);

/// Longest watch of a reader: a hung one is noticed by the others within this time.
const MOST_WATCH: Duration = Duration::from_millis(1500);

/// How a relay learns what the store publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum StoreDuty {
    /// It watches the store.
    #[default]
    Watches,
    /// It is told by others, and reads the store only when it must.
    IsTold,
}

/// Why a relay that is told reads the store for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// Another relay knows of a change that this one does not.
    ChangeTold,
    /// What it was told last is too old.
    KnowledgeOld,
}

impl ReadReason {
    /// Its name in log lines and metrics.
    ///
    /// ```
    /// use quillcove_core::relay::store_duty::ReadReason;
    ///
    /// assert_eq!(ReadReason::KnowledgeOld.label(), "knowledge is old");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::ChangeTold => "another relay knows of a change",
            Self::KnowledgeOld => "knowledge is old",
        }
    }
}

/// Times since a relay's own last reading of each part was known to be complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAges {
    /// For what the operator writes; `None` when it was never read.
    pub operator: Option<Duration>,
    /// For the listing of replicas.
    pub replicas: Option<Duration>,
}

impl PartAges {
    /// The age of one part.
    ///
    /// ```
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::PartAges;
    ///
    /// assert_eq!(PartAges::default().of(StorePart::Operator), None);
    /// ```
    pub fn of(&self, part: StorePart) -> Option<Duration> {
        match part {
            StorePart::Operator => self.operator,
            StorePart::Replicas => self.replicas,
        }
    }
}

/// What a relay tells of its knowledge of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWord {
    /// Revisions up to which it knows the parts.
    pub read: ReadRevisions,
    /// Revisions at which something last changed that matters to relays.
    pub changed: ReadRevisions,
    /// Revisions from which on it has followed the changes. Of what went before them it does not know,
    /// so that its word is worth nothing to a relay that knows less.
    pub since: ReadRevisions,
    /// How old its own last readings are.
    pub ages: PartAges,
    /// Whether the store answered its last call.
    pub is_up: bool,
}

/// A relay's answer to the question how old its proof is that it knows all that the operator wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofWord {
    /// Revision at which something last changed that matters.
    pub changed: u64,
    /// Revision from which on it has followed the changes.
    pub since: u64,
    /// Age of the proof when the answer was given.
    pub age: Duration,
}

/// The users' bounds for what is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyRules {
    /// Time within which what the operator writes is in force.
    pub apply_time: Duration,
    /// Time within which replicas that leave get no more work.
    pub drain_time: Duration,
    /// Pause between two readings of what the operator writes, in which changes gather.
    pub operator_gather: Duration,
    /// The same for the listing of replicas.
    pub replica_gather: Duration,
}

impl Default for DutyRules {
    /// Those of the users' smaller deployments, with which every relay reads.
    fn default() -> Self {
        Self {
            apply_time: Duration::from_secs(2),
            drain_time: Duration::from_secs(2),
            operator_gather: Duration::from_millis(200),
            replica_gather: Duration::from_millis(600),
        }
    }
}

impl DutyRules {
    /// Age of a part's knowledge at which a relay reads for itself. `host` spreads the limits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::DutyRules;
    ///
    /// let limit = DutyRules::default().age_limit(StorePart::Operator, "front-1");
    /// assert!(limit <= Duration::from_millis(1100));
    /// ```
    pub fn age_limit(&self, part: StorePart, host: &str) -> Duration {
        let spread = rendezvous::weight("age limit", host) as f64 / u64::MAX as f64;
        self.most_age(part).saturating_sub(LIMIT_SPREAD.mul_f64(spread))
    }

    fn most_age(&self, part: StorePart) -> Duration {
        let bound = match part {
            StorePart::Operator => self.apply_time,
            StorePart::Replicas => self.drain_time,
        };
        bound.saturating_sub(OWN_READ_TIME)
    }

    /// Longest watch of a reader whose knowledge of a part stays younger than every limit; `None` when
    /// the users' bounds leave no time for being told of both parts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::DutyRules;
    ///
    /// assert_eq!(DutyRules::default().watch_time(StorePart::Operator), None);
    /// let bound = Duration::from_secs(4);
    /// let rules = DutyRules { apply_time: bound, drain_time: bound, ..DutyRules::default() };
    /// let watch = rules.watch_time(StorePart::Replicas);
    /// assert_eq!(watch, Some(Duration::from_millis(1400)));
    /// ```
    pub fn watch_time(&self, part: StorePart) -> Option<Duration> {
        let is_told = StorePart::ALL.into_iter().all(|part| self.time_left(part) >= LEAST_WATCH);
        is_told.then(|| self.time_left(part).min(MOST_WATCH))
    }

    /// Time that a watch of a part may take.
    fn time_left(&self, part: StorePart) -> Duration {
        let gather_time = match part {
            StorePart::Operator => self.operator_gather,
            StorePart::Replicas => self.replica_gather,
        };
        self.most_age(part).saturating_sub(LIMIT_SPREAD + TELLING_TIME + gather_time)
    }
}

/// A relay as far as the choice of readers goes.
#[derive(Clone, Copy, Debug)]
pub struct ReaderCandidate<'a> {
    /// Its host.
    pub host: &'a HostId,
    /// Its hall.
    pub hall: &'a HallName,
    /// Whether the store answered its last call.
    pub is_up: bool,
}

/// Tells whether a fleet of this relay and so many others is large enough for some to be told.
///
/// ```
/// assert!(!quillcove_core::relay::store_duty::is_large(3));
/// ```
pub fn is_large(others: usize) -> bool {
    others >= SMALL_FLEET
}

/// The duty of one relay among others. Every relay finds the same readers as far as it hears the same
/// relays; where they differ, more of them read, or limits pass.
///
/// ```
/// use quillcove_core::relay::store_duty::{DutyRules, ReaderCandidate, StoreDuty, duty};
///
/// let (host, hall) = ("front-1".to_string(), "hall-a".to_string());
/// let own = ReaderCandidate { host: &host, hall: &hall, is_up: true };
/// assert_eq!(duty(&DutyRules::default(), own, &[]), StoreDuty::Watches);
/// ```
pub fn duty(
    rules: &DutyRules,
    own: ReaderCandidate<'_>,
    others: &[ReaderCandidate<'_>],
) -> StoreDuty {
    // A relay whose last call failed follows the store until it answers: only so does it know when
    // its own way to the store is back.
    if !is_large(others.len()) || !own.is_up || rules.watch_time(StorePart::Replicas).is_none() {
        return StoreDuty::Watches;
    }
    let up = others.iter().filter(|other| other.is_up).chain([&own]);
    let mut halls: BTreeMap<&HallName, Vec<&HostId>> = BTreeMap::new();
    for candidate in up {
        halls.entry(candidate.hall).or_default().push(candidate.host);
    }
    let in_each = READERS.div_ceil(halls.len());
    let hosts = halls.get_mut(own.hall).map(std::mem::take).unwrap_or_default();
    let rank = |host: &HostId| Reverse(rendezvous::weight("reader", host));
    let own_rank = rank(own.host);
    let ahead = hosts.into_iter().filter(|host| rank(host) < own_rank).count();
    match ahead < in_each {
        true => StoreDuty::Watches,
        false => StoreDuty::IsTold,
    }
}

/// What a relay knows of one part of the store.
#[derive(Clone, Copy, Debug, Default)]
struct PartKnowledge {
    /// When it was known to be complete, by this relay's own reading.
    read_at: Option<MonoTime>,
    /// The same by its own reading or another relay's.
    complete_at: Option<MonoTime>,
}

/// What a relay knows of the store, and since when.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::published::StorePart;
/// use quillcove_core::relay::store_duty::StoreKnowledge;
///
/// let mut knowledge = StoreKnowledge::default();
/// knowledge.note_read(StorePart::Operator, 7, Duration::from_secs(1));
/// assert_eq!(knowledge.read().operator, 7);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreKnowledge {
    read: ReadRevisions,
    changed: ReadRevisions,
    since: ReadRevisions,
    operator: PartKnowledge,
    replicas: PartKnowledge,
    /// A moment of which it is proved that all that the operator had written by then is known.
    proved_at: Option<MonoTime>,
}

impl StoreKnowledge {
    /// Revisions up to which the parts are known.
    ///
    /// ```
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// assert_eq!(StoreKnowledge::default().read().replicas, 0);
    /// ```
    pub fn read(&self) -> ReadRevisions {
        self.read
    }

    /// Notes that this relay has read a part up to a revision, and that it was complete at a moment.
    ///
    /// See [`StoreKnowledge`] for an example.
    pub fn note_read(&mut self, part: StorePart, revision: u64, complete_at: MonoTime) {
        self.read.note(part, revision);
        let known = self.part_mut(part);
        known.read_at = known.read_at.max(Some(complete_at));
        known.complete_at = known.complete_at.max(Some(complete_at));
    }

    /// Notes that a part was read whole at a revision: what had gone before that is not known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_whole(StorePart::Replicas, 7);
    /// assert_eq!(knowledge.word(true, Duration::ZERO).since.replicas, 7);
    /// ```
    pub fn note_whole(&mut self, part: StorePart, revision: u64) {
        self.since.note(part, revision);
    }

    /// Notes a revision up to which a part is known, with no moment.
    ///
    /// ```
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_revision(StorePart::Operator, 7);
    /// assert_eq!(knowledge.read().operator, 7);
    /// ```
    pub fn note_revision(&mut self, part: StorePart, revision: u64) {
        self.read.note(part, revision);
    }

    /// Notes a revision at which something changed that matters to relays.
    ///
    /// ```
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// StoreKnowledge::default().note_change(StorePart::Operator, 7);
    /// ```
    pub fn note_change(&mut self, part: StorePart, revision: u64) {
        self.changed.note(part, revision);
    }

    /// The moment of which it is proved that all that the operator had written by then is known.
    ///
    /// ```
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// assert_eq!(StoreKnowledge::default().proved_at(), None);
    /// ```
    pub fn proved_at(&self) -> Option<MonoTime> {
        self.proved_at
    }

    /// Notes such a moment: the beginning of a reading of this relay's own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_proof(Duration::from_secs(3));
    /// assert_eq!(knowledge.proved_at(), Some(Duration::from_secs(3)));
    /// ```
    pub fn note_proof(&mut self, at: MonoTime) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Takes another relay's answer to a question for its proof. It counts from when it was asked, and
    /// only where that relay knows of nothing that this one does not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::store_duty::{ProofWord, StoreKnowledge};
    ///
    /// let word = ProofWord { changed: 7, since: 3, age: Duration::from_secs(1) };
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.take_proof(&word, Duration::from_secs(9));
    /// assert_eq!(knowledge.proved_at(), None);
    /// knowledge.note_read(StorePart::Operator, 8, Duration::ZERO);
    /// knowledge.take_proof(&word, Duration::from_secs(9));
    /// assert_eq!(knowledge.proved_at(), Some(Duration::from_secs(8)));
    /// # use quillcove_core::relay::published::StorePart;
    /// ```
    pub fn take_proof(&mut self, word: &ProofWord, asked_at: MonoTime) {
        let known = self.read.operator;
        // Who has read nothing yet has nothing that a proof could be of.
        if known > 0 && word.changed <= known && word.since <= known {
            self.note_proof(asked_at.saturating_sub(word.age));
        }
    }

    /// The answer to another relay's question for a proof; `None` without one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// assert!(StoreKnowledge::default().proof(Duration::ZERO).is_none());
    /// ```
    pub fn proof(&self, now: MonoTime) -> Option<ProofWord> {
        let age = now.saturating_sub(self.proved_at?);
        Some(ProofWord { changed: self.changed.operator, since: self.since.operator, age })
    }

    /// What to tell other relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// assert!(!StoreKnowledge::default().word(false, Duration::ZERO).is_up);
    /// ```
    pub fn word(&self, is_up: bool, now: MonoTime) -> StoreWord {
        let age = |known: &PartKnowledge| known.read_at.map(|at| now.saturating_sub(at));
        let ages = PartAges { operator: age(&self.operator), replicas: age(&self.replicas) };
        let Self { read, changed, since, .. } = *self;
        StoreWord { read, changed, since, ages, is_up }
    }

    /// Takes another relay's word on one part; `false` when it knows of a change that this relay does
    /// not, so that this one has to read for itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::{ReadRevisions, StorePart};
    /// use quillcove_core::relay::store_duty::{StoreKnowledge, StoreWord};
    ///
    /// let changed = ReadRevisions { operator: 5, replicas: 0 };
    /// let word = StoreWord { changed, ..StoreWord::default() };
    /// let mut knowledge = StoreKnowledge::default();
    /// assert!(!knowledge.take_word(StorePart::Operator, &word, Duration::ZERO));
    /// assert!(knowledge.take_word(StorePart::Replicas, &word, Duration::ZERO));
    /// ```
    pub fn take_word(&mut self, part: StorePart, word: &StoreWord, now: MonoTime) -> bool {
        if word.changed.of(part) > self.read.of(part) {
            return false;
        }
        if word.since.of(part) > self.read.of(part) {
            return true;
        }
        // Who has read nothing yet has nothing that a revision could belong to.
        if let Some(age) = word.ages.of(part)
            && self.has_read(part)
        {
            let (read, changed) = (word.read.of(part), word.changed.of(part));
            self.note_told(part, read, Some(changed), now.saturating_sub(age));
        }
        true
    }

    /// Tells whether this relay has read a part for itself.
    ///
    /// ```
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// assert!(!StoreKnowledge::default().has_read(StorePart::Replicas));
    /// ```
    pub fn has_read(&self, part: StorePart) -> bool {
        match part {
            StorePart::Operator => self.operator.read_at.is_some(),
            StorePart::Replicas => self.replicas.read_at.is_some(),
        }
    }

    /// Notes that another relay's own reading of a part goes up to a revision, that all of it which matters is known
    /// here, and at which moment it was complete.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_told(StorePart::Replicas, 7, Some(5), Duration::ZERO);
    /// assert_eq!(knowledge.read().replicas, 7);
    /// ```
    pub fn note_told(
        &mut self,
        part: StorePart,
        revision: u64,
        changed: Option<u64>,
        complete_at: MonoTime,
    ) {
        let known = self.part_mut(part);
        known.complete_at = known.complete_at.max(Some(complete_at));
        self.read.note(part, revision);
        self.changed.note(part, changed.unwrap_or(0));
    }

    /// Tells whether the knowledge of a part is older than a limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::store_duty::StoreKnowledge;
    ///
    /// let limit = Duration::from_secs(1);
    /// assert!(StoreKnowledge::default().is_old(StorePart::Operator, limit, Duration::ZERO));
    /// ```
    pub fn is_old(&self, part: StorePart, limit: Duration, now: MonoTime) -> bool {
        let known = match part {
            StorePart::Operator => &self.operator,
            StorePart::Replicas => &self.replicas,
        };
        known.complete_at.is_none_or(|at| now.saturating_sub(at) >= limit)
    }

    fn part_mut(&mut self, part: StorePart) -> &mut PartKnowledge {
        match part {
            StorePart::Operator => &mut self.operator,
            StorePart::Replicas => &mut self.replicas,
        }
    }
}
