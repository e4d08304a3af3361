//! What is missing in the store and may come back: entries that lapse while it is away, and what an older copy lacks.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{BeliefChange, RelayMachine};
use crate::ids::{HallName, MonoTime, StoreEra};
use crate::relay::beacon::ReplicaId;
use crate::relay::published::LapsedEntry;

/// Time after the store's return in which entries that lapsed meanwhile, or are missing in an older copy of it, may
/// come back, and in which the operator writes again what the copy lacks.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// What is missing, and since when the store is back.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreDoubt {
    /// Replicas whose entries are missing, and when they are given up.
    replicas: BTreeMap<ReplicaId, MonoTime>,
    /// Halls that were to be emptied and that an older copy does not name, and when they are in use.
    halls: BTreeMap<HallName, MonoTime>,
    /// Latest era that is known; `None` before anything was read.
    era: Option<StoreEra>,
    returned: Option<MonoTime>,
    is_away: bool,
}

impl StoreDoubt {
    fn enter_era(&mut self, era: StoreEra, now: MonoTime) -> Option<StoreEra> {
        let before = self.era;
        self.era = before.max(Some(era));
        let left = before.filter(|known| *known < era)?;
        self.returned = Some(now);
        Some(left)
    }

    fn note_store(&mut self, answers: bool, now: MonoTime) -> bool {
        let is_changed = self.is_away == answers;
        if is_changed && answers {
            self.returned = Some(now);
        }
        self.is_away = !answers;
        is_changed
    }

    /// Until when what is missing now may come back; `None` when it is gone.
    pub(super) fn end(&self, now: MonoTime) -> Option<MonoTime> {
        let since = match self.returned {
            Some(back) if now.saturating_sub(back) < LAPSE_GRACE => back,
            back if self.is_away => back.unwrap_or(now),
            _ => return None,
        };
        Some(since + LAPSE_GRACE)
    }

    pub(super) fn note_hall(&mut self, hall: HallName, until: MonoTime) {
        self.halls.entry(hall).or_insert(until);
    }

    pub(super) fn end_hall(&mut self, hall: &str) {
        self.halls.remove(hall);
    }

    /// Ends the doubt about a replica; tells whether there was one.
    pub(super) fn end_replica(&mut self, id: &str) -> bool {
        self.replicas.remove(id).is_some()
    }

    /// A replica's missing entry, if it is missing.
    pub(super) fn entry(&self, id: &str, now: MonoTime) -> Option<LapsedEntry> {
        let left = self.replicas.get(id)?.saturating_sub(now);
        Some(LapsedEntry { replica: id.to_string(), left })
    }

    /// All missing entries.
    pub(super) fn entries(&self, now: MonoTime) -> Vec<LapsedEntry> {
        self.replicas.keys().filter_map(|id| self.entry(id, now)).collect()
    }

    /// Takes out the replicas that are given up now; none while the store is away.
    fn take_lost_replicas(&mut self, now: MonoTime) -> Vec<ReplicaId> {
        if self.is_away {
            return Vec::new();
        }
        let due = self.replicas.iter().filter(|(_, until)| now >= **until);
        let due: Vec<ReplicaId> = due.map(|(id, _)| id.clone()).collect();
        self.replicas.retain(|_, until| now < *until);
        due
    }

    /// The halls that come into use now, as the operator has not named them again.
    fn halls_due(&self, now: MonoTime) -> Vec<HallName> {
        if self.is_away {
            return Vec::new();
        }
        let due = self.halls.iter().filter(|(_, until)| now >= **until);
        due.map(|(hall, _)| hall.clone()).collect()
    }
}

impl RelayMachine {
    /// Notes the era of the store that something is from; gives the one that was known before if it is later, so that
    /// the store has come back from an older copy. What is missing in the copy may be written again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.enter_era(1, Duration::ZERO), None, "nothing was known before");
    /// assert_eq!(machine.enter_era(2, Duration::ZERO), Some(1));
    /// assert_eq!(machine.enter_era(1, Duration::ZERO), None);
    /// ```
    pub fn enter_era(&mut self, era: StoreEra, now: MonoTime) -> Option<StoreEra> {
        self.doubt.enter_era(era, now)
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
        self.doubt.note_store(answers, now)
    }

    /// Notes that a replica's entry is missing, and until when it may come back.
    pub(super) fn doubt_replica(&mut self, id: &str, until: MonoTime) {
        self.doubt.replicas.entry(id.to_string()).or_insert(until);
        self.table.doubt(id);
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
        self.crashes.tick(now);
        self.demand.tick(now);
        self.promises.tick(now);
        self.share_when_peers_are_known(now);
        self.tick_cells(now);
        self.pump(now);
        self.end_doubt(now)
    }

    /// Gives up what has not come back in time.
    fn end_doubt(&mut self, now: MonoTime) -> Vec<BeliefChange> {
        let lost = self.doubt.take_lost_replicas(now);
        for id in &lost {
            self.remove_gone(id);
        }
        let mut changes: Vec<BeliefChange> = lost.into_iter().map(BeliefChange::Gone).collect();
        let halls = self.doubt.halls_due(now);
        changes.extend(halls.iter().filter_map(|hall| self.set_emptied(hall, false)));
        changes
    }
}
