//! What a relay knows of the platform's store, since when, and what it tells of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::position::{ReadPositions, StorePosition};
use super::published::StorePart;
use crate::ids::MonoTime;

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

/// What a relay tells of its knowledge of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreWord {
    /// Positions up to which it knows the parts.
    pub read: ReadPositions,
    /// Positions at which something last changed that matters to relays.
    pub changed: ReadPositions,
    /// Positions from which on it has followed the changes. Of what went before them it does not know,
    /// so that its word is worth nothing to a relay that knows less.
    pub since: ReadPositions,
    /// How old its own last readings are.
    pub ages: PartAges,
    /// Whether the store answered its last call.
    pub is_up: bool,
}

impl StoreWord {
    /// Position that a relay has to know a part up to so that this word is no news: that of the last change that
    /// matters, and the start of the era, in which much may differ from what was known before.
    ///
    /// ```
    /// use quillcove_core::relay::knowledge::StoreWord;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    ///
    /// let mut word = StoreWord::default();
    /// word.read.replicas = StorePosition { era: 2, revision: 70 };
    /// word.changed.replicas = StorePosition { era: 1, revision: 90 };
    /// assert_eq!(word.news_of(StorePart::Replicas), StorePosition::start_of(2));
    /// ```
    pub fn news_of(&self, part: StorePart) -> StorePosition {
        self.changed.of(part).max(StorePosition::start_of(self.read.of(part).era))
    }
}

/// A relay's answer to the question how old its proof is that it knows all that the operator wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofWord {
    /// Position at which something last changed that matters.
    pub changed: StorePosition,
    /// Position from which on it has followed the changes.
    pub since: StorePosition,
    /// Age of the proof when the answer was given.
    pub age: Duration,
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
    /// A moment of which it is proved that all that the operator had written by then is known.
    proved_at: Option<MonoTime>,
}

impl StoreKnowledge {
    /// Positions up to which the parts are known.
    ///
    /// ```
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// assert_eq!(StoreKnowledge::default().read().replicas.revision, 0);
    /// ```
    pub fn read(&self) -> ReadPositions {
        self.read
    }

    /// Notes that this relay has read a part up to a position, and that it was complete at a moment.
    ///
    /// See [`StoreKnowledge`] for an example.
    pub fn note_read(&mut self, part: StorePart, position: StorePosition, complete_at: MonoTime) {
        self.read.note(part, position);
        let known = self.part_mut(part);
        known.read_at = known.read_at.max(Some(complete_at));
        known.complete_at = known.complete_at.max(Some(complete_at));
    }

    /// Notes that a part was read whole at a position: what had gone before that is not known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
    ///
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.note_whole(StorePart::Replicas, StorePosition::in_first_era(7));
    /// assert_eq!(knowledge.word(true, Duration::ZERO).since.replicas.revision, 7);
    /// ```
    pub fn note_whole(&mut self, part: StorePart, position: StorePosition) {
        self.since.note(part, position);
    }

    /// Notes a position up to which a part is known, with no moment.
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

    /// Notes a position at which something changed that matters to relays.
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

    /// The moment of which it is proved that all that the operator had written by then is known.
    ///
    /// ```
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
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
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
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
    /// use quillcove_core::relay::position::StorePosition;
    /// use quillcove_core::relay::knowledge::{ProofWord, StoreKnowledge};
    ///
    /// let (changed, since) = (StorePosition::in_first_era(7), StorePosition::in_first_era(3));
    /// let word = ProofWord { changed, since, age: Duration::from_secs(1) };
    /// let mut knowledge = StoreKnowledge::default();
    /// knowledge.take_proof(&word, Duration::from_secs(9));
    /// assert_eq!(knowledge.proved_at(), None);
    /// knowledge.note_read(StorePart::Operator, StorePosition::in_first_era(8), Duration::ZERO);
    /// knowledge.take_proof(&word, Duration::from_secs(9));
    /// assert_eq!(knowledge.proved_at(), Some(Duration::from_secs(8)));
    /// # use quillcove_core::relay::published::StorePart;
    /// ```
    pub fn take_proof(&mut self, word: &ProofWord, asked_at: MonoTime) {
        let known = self.read.operator;
        // Who has read nothing yet has nothing that a proof could be of.
        if known > StorePosition::default() && word.changed <= known && word.since <= known {
            self.note_proof(asked_at.saturating_sub(word.age));
        }
    }

    /// The answer to another relay's question for a proof; `None` without one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
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
    /// use quillcove_core::relay::knowledge::StoreKnowledge;
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
    /// use quillcove_core::relay::position::{ReadPositions, StorePosition};
    /// use quillcove_core::relay::published::StorePart;
    /// use quillcove_core::relay::knowledge::{StoreKnowledge, StoreWord};
    ///
    /// let changed = ReadPositions { operator: StorePosition::in_first_era(5), ..ReadPositions::default() };
    /// let word = StoreWord { changed, ..StoreWord::default() };
    /// let mut knowledge = StoreKnowledge::default();
    /// assert!(!knowledge.take_word(StorePart::Operator, &word, Duration::ZERO));
    /// assert!(knowledge.take_word(StorePart::Replicas, &word, Duration::ZERO));
    /// ```
    pub fn take_word(&mut self, part: StorePart, word: &StoreWord, now: MonoTime) -> bool {
        let known = self.read.of(part);
        if word.news_of(part) > known {
            return false;
        }
        // An age of an earlier era says nothing of this one.
        let is_earlier = word.read.of(part).precedes_era(known.era);
        if is_earlier || word.since.of(part) > known {
            return true;
        }
        // Who has read nothing yet has nothing that a position could belong to.
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

    /// Notes that another relay's own reading of a part goes up to a position, that all of it which matters is known
    /// here, and at which moment it was complete.
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

    /// Tells whether the knowledge of a part is older than a limit.
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
