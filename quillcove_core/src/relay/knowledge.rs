//! What a relay knows of the platform's store, how old that knowledge is, and the summary of it
//! that the relay sends to others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::position::{ReadPositions, StorePosition};
use super::published::StorePart;
use crate::ids::MonoTime;

/// Ages of a relay's own reads: the time since each part was last known to be complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAges {
    /// Age of the operator's part; `None` when it was never read.
    pub operator: Option<Duration>,
    /// Age of the replica list; `None` when it was never read.
    pub replicas: Option<Duration>,
}

impl PartAges {
    /// Returns the age of one part.
    ///
    /// ```
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::PartAges;
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

/// A relay's summary of its knowledge of the store, sent to other relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSummary {
    /// Positions up to which the parts are known.
    pub read: ReadPositions,
    /// Positions of the last changes that matter to relays.
    pub changed: ReadPositions,
    /// Positions from which on the sender has followed changes. It does not know what changed
    /// before them, so its summary can't confirm the state of a relay that is behind these
    /// positions.
    pub since: ReadPositions,
    /// Ages of the sender's own last reads.
    pub ages: PartAges,
    /// Whether the store answered the sender's last call.
    pub is_up: bool,
}

impl StoreSummary {
    /// Returns the position up to which a receiver has to know a part for this summary to contain
    /// nothing new: the later of the last change that matters and the start of the era, since in a
    /// new era much may differ from what was known before.
    ///
    /// ```
    /// use quillcove_core::relay::knowledge::StoreSummary;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let mut summary = StoreSummary::default();
    /// summary.read.replicas = StorePosition { era: 2, revision: 70 };
    /// summary.changed.replicas = StorePosition { era: 1, revision: 90 };
    /// assert_eq!(summary.news_of(StorePart::Replicas), StorePosition::start_of(2));
    /// ```
    pub fn news_of(&self, part: StorePart) -> StorePosition {
        self.changed.of(part).max(StorePosition::start_of(self.read.of(part).era))
    }
}

/// A relay's response to the question how old its freshness proof is: the proof that it knows all
/// that the operator had written at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessProof {
    /// Position of the last change that matters.
    pub changed: StorePosition,
    /// Position from which on the sender has followed changes.
    pub since: StorePosition,
    /// Age of the proof when the response was sent.
    pub age: Duration,
}

/// Freshness of one part of the store.
#[derive(Clone, Copy, Debug, Default)]
struct PartKnowledge {
    /// When the part was last known to be complete by this relay's own read.
    read_at: Option<MonoTime>,
    /// When the part was last known to be complete, by this relay's own read or another relay's.
    complete_at: Option<MonoTime>,
    /// When this relay's last read of the part began: all that was published before is known.
    confirmed_at: Option<MonoTime>,
}

/// A relay's knowledge of the store: positions of each part and how fresh they are.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::position::StorePosition;
/// use quillcove_core::relay::published::StorePart;
/// use quillcove_core::relay::knowledge::StoreKnowledge;
///
/// let mut knowledge = StoreKnowledge::default();
/// knowledge.note_read(StorePart::Operator, StorePosition::in_first_era(7), Duration::from_secs(1));
/// assert_eq!(knowledge.read().operator.revision, 7);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreKnowledge {
    read: ReadPositions,
    changed: ReadPositions,
    since: ReadPositions,
    operator: PartKnowledge,
    replicas: PartKnowledge,
    /// Latest moment for which it is proved that everything the operator had written by then is
    /// known.
    proved_at: Option<MonoTime>,
}

impl StoreKnowledge {
    /// Returns the positions up to which the parts are known.
    ///
    /// ```
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// assert_eq!(StoreKnowledge::default().read().replicas.revision, 0);
    /// ```
    pub fn read(&self) -> ReadPositions {
        self.read
    }

    /// Records that this relay has read a part up to `position`, and that the part was complete at
    /// `complete_at`.
    ///
    /// See [`StoreKnowledge`] for an example.
    pub fn note_read(&mut self, part: StorePart, position: StorePosition, complete_at: MonoTime) {
        self.read.note(part, position);
        let known = self.part_mut(part);
        known.read_at = known.read_at.max(Some(complete_at));
        known.complete_at = known.complete_at.max(Some(complete_at));
    }

    /// Records that a read of a part by this relay itself, which has been applied, began at `began`. Unlike the time of the
    /// response, that does not depend on how long the response was on its way.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let (mut knowledge, now) = (StoreKnowledge::default(), Duration::from_secs(3));
    /// knowledge.note_confirmed(StorePart::Replicas, now);
    /// assert!(!knowledge.is_confirmed(now));
    /// knowledge.note_confirmed(StorePart::Operator, now);
    /// assert!(knowledge.is_confirmed(now));
    /// ```
    pub fn note_confirmed(&mut self, part: StorePart, began: MonoTime) {
        let known = self.part_mut(part);
        known.confirmed_at = known.confirmed_at.max(Some(began));
    }

    /// Returns whether all that was published before `moment` is known by this relay's own reads.
    ///
    /// See [`StoreKnowledge::note_confirmed`] for an example.
    pub fn is_confirmed(&self, moment: MonoTime) -> bool {
        StorePart::ALL.into_iter().all(|part| self.part(part).confirmed_at >= Some(moment))
    }

    /// Records that a part was read whole at `position`: changes before that position were not
    /// seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_whole(StorePart::Replicas, StorePosition::in_first_era(7));
    /// assert_eq!(knowledge.summary(true, Duration::ZERO).since.replicas.revision, 7);
    /// ```
    pub fn note_whole(&mut self, part: StorePart, position: StorePosition) {
        self.since.note(part, position);
    }

    /// Records the position up to which a part is known, without changing its age.
    ///
    /// ```
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_position(StorePart::Operator, StorePosition::in_first_era(7));
    /// assert_eq!(knowledge.read().operator.revision, 7);
    /// ```
    pub fn note_position(&mut self, part: StorePart, position: StorePosition) {
        self.read.note(part, position);
    }

    /// Records the position of a change that matters to relays.
    ///
    /// ```
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// StoreKnowledge::default().note_change(StorePart::Operator, StorePosition::in_first_era(7));
    /// ```
    pub fn note_change(&mut self, part: StorePart, position: StorePosition) {
        self.changed.note(part, position);
    }

    /// Returns the latest moment for which it is proved that everything the operator had written by
    /// then is known.
    ///
    /// ```
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// assert_eq!(StoreKnowledge::default().proved_at(), None);
    /// ```
    pub fn proved_at(&self) -> Option<MonoTime> {
        self.proved_at
    }

    /// Records a freshness proof for `at`, the start of a read by this relay itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_proof(Duration::from_secs(3));
    /// assert_eq!(knowledge.proved_at(), Some(Duration::from_secs(3)));
    /// ```
    pub fn note_proof(&mut self, at: MonoTime) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Applies another relay's freshness proof. Its age counts back from `asked_at`, when the
    /// request was sent. The proof is ignored when the other relay knows of a change that this one
    /// lacks, or has not followed the changes after the position known here.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::knowledge::{FreshnessProof, StoreKnowledge};
    ///
    /// let (changed, since) = (StorePosition::in_first_era(7), StorePosition::in_first_era(3));
    /// let proof = FreshnessProof { changed, since, age: Duration::from_secs(1) };
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.apply_proof(&proof, Duration::from_secs(9));
    /// assert_eq!(knowledge.proved_at(), None);
    /// knowledge.note_read(StorePart::Operator, StorePosition::in_first_era(8), Duration::ZERO);
    /// knowledge.apply_proof(&proof, Duration::from_secs(9));
    /// assert_eq!(knowledge.proved_at(), Some(Duration::from_secs(8)));
    /// # use quillcove_core::relay::published::StorePart;
    /// ```
    pub fn apply_proof(&mut self, proof: &FreshnessProof, asked_at: MonoTime) {
        let known = self.read.operator;
        // A relay that has not read anything yet has no state that a proof could apply to.
        if known > StorePosition::default() && proof.changed <= known && proof.since <= known {
            self.note_proof(asked_at.saturating_sub(proof.age));
        }
    }

    /// Returns the response to another relay's request for a freshness proof; `None` without one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// assert!(StoreKnowledge::default().proof(Duration::ZERO).is_none());
    /// ```
    pub fn proof(&self, now: MonoTime) -> Option<FreshnessProof> {
        let age = now.saturating_sub(self.proved_at?);
        Some(FreshnessProof { changed: self.changed.operator, since: self.since.operator, age })
    }

    /// Returns the summary to send to other relays. `is_up` says whether the store answered the
    /// last call.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// assert!(!StoreKnowledge::default().summary(false, Duration::ZERO).is_up);
    /// ```
    pub fn summary(&self, is_up: bool, now: MonoTime) -> StoreSummary {
        let age = |known: &PartKnowledge| known.read_at.map(|at| now.saturating_sub(at));
        let ages = PartAges { operator: age(&self.operator), replicas: age(&self.replicas) };
        let Self { read, changed, since, .. } = *self;
        StoreSummary { read, changed, since, ages, is_up }
    }

    /// Applies another relay's summary of one part. Returns `false` when that relay knows of a
    /// change that this one lacks, so that this one has to read the store itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::{ReadPositions, StorePosition};
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::{StoreKnowledge, StoreSummary};
    ///
    /// let changed = ReadPositions { operator: StorePosition::in_first_era(5), ..ReadPositions::default() };
    /// let summary = StoreSummary { changed, ..StoreSummary::default() };
    /// let mut knowledge = StoreKnowledge::default();
    /// assert!(!knowledge.apply_summary(StorePart::Operator, &summary, Duration::ZERO));
    /// assert!(knowledge.apply_summary(StorePart::Replicas, &summary, Duration::ZERO));
    /// ```
    pub fn apply_summary(
        &mut self,
        part: StorePart,
        summary: &StoreSummary,
        now: MonoTime,
    ) -> bool {
        let known = self.read.of(part);
        if summary.news_of(part) > known {
            return false;
        }
        // The age of a read in an earlier era says nothing about the present one.
        let is_earlier = summary.read.of(part).precedes_era(known.era);
        if is_earlier || summary.since.of(part) > known {
            return true;
        }
        // A relay that has not read the part yet has no state that a position could apply to.
        if let Some(age) = summary.ages.of(part)
            && self.has_read(part)
        {
            let (read, changed) = (summary.read.of(part), summary.changed.of(part));
            self.note_told(part, read, Some(changed), now.saturating_sub(age));
        }
        true
    }

    /// Returns whether this relay has read a part itself.
    ///
    /// ```
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// assert!(!StoreKnowledge::default().has_read(StorePart::Replicas));
    /// ```
    pub fn has_read(&self, part: StorePart) -> bool {
        match part {
            StorePart::Operator => self.operator.read_at.is_some(),
            StorePart::Replicas => self.replicas.read_at.is_some(),
        }
    }

    /// Records that another relay has read a part up to `position` and that it was complete at
    /// `complete_at`. The caller ensures that every change that matters up to that position is
    /// known here.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// let changed = StorePosition::in_first_era(5);
    /// knowledge.note_told(StorePart::Replicas, StorePosition::in_first_era(7), Some(changed), Duration::ZERO);
    /// assert_eq!(knowledge.read().replicas.revision, 7);
    /// ```
    pub fn note_told(
        &mut self,
        part: StorePart,
        position: StorePosition,
        changed: Option<StorePosition>,
        complete_at: MonoTime,
    ) {
        let known = self.part_mut(part);
        known.complete_at = known.complete_at.max(Some(complete_at));
        self.read.note(part, position);
        self.changed.note(part, changed.unwrap_or_default());
    }

    /// Returns whether the knowledge of a part has reached the age `limit`; always true for a part
    /// that was never complete.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let limit = Duration::from_secs(1);
    /// assert!(StoreKnowledge::default().is_old(StorePart::Operator, limit, Duration::ZERO));
    /// ```
    pub fn is_old(&self, part: StorePart, limit: Duration, now: MonoTime) -> bool {
        self.part(part).complete_at.is_none_or(|at| now.saturating_sub(at) >= limit)
    }

    /// Returns the time for which changes of a part may have been published that this relay does not know; zero if it
    /// has never known the whole part, as nothing is known to be old then.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// let second = Duration::from_secs(1);
    /// knowledge.note_read(StorePart::Operator, StorePosition::in_first_era(7), second);
    /// assert_eq!(knowledge.age(StorePart::Operator, second * 3), second * 2);
    /// ```
    pub fn age(&self, part: StorePart, now: MonoTime) -> Duration {
        self.part(part).complete_at.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    fn part(&self, part: StorePart) -> &PartKnowledge {
        match part {
            StorePart::Operator => &self.operator,
            StorePart::Replicas => &self.replicas,
        }
    }

    fn part_mut(&mut self, part: StorePart) -> &mut PartKnowledge {
        match part {
            StorePart::Operator => &mut self.operator,
            StorePart::Replicas => &mut self.replicas,
        }
    }
}
