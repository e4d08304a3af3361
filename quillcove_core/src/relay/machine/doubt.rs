//! Tracks unconfirmed data: entries that expired while the store was unreachable, and data that is missing from a store
//! restored from an older copy. Both are kept for a grace period, as they may be written again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{RelayMachine, StateChange};
use crate::ids::{HallName, MonoTime, ReplicaId, StoreEra};
use crate::relay::published::ExpiredEntry;

/// Time after the store is reachable again, or was restored from an older copy, within which replicas may renew their
/// expired or missing entries and the operator writes again what the copy lacks.
const STORE_RETURN_GRACE: Duration = Duration::from_millis(2200);

/// Unconfirmed replicas and halls, and the state of the store that decides how long they are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct UnconfirmedState {
    /// Replicas whose entries are missing, and when they are removed.
    replicas: BTreeMap<ReplicaId, MonoTime>,
    /// Evacuated halls that an older copy does not name, and when they are taken to be in use again.
    halls: BTreeMap<HallName, MonoTime>,
    /// Latest known era of the store; `None` before the first read.
    era: Option<StoreEra>,
    /// When the store last became reachable again or entered a later era.
    returned: Option<MonoTime>,
    is_unreachable: bool,
}

impl UnconfirmedState {
    fn enter_era(&mut self, era: StoreEra, now: MonoTime) -> Option<StoreEra> {
        let previous = self.era;
        self.era = previous.max(Some(era));
        let earlier = previous.filter(|known| *known < era)?;
        self.returned = Some(now);
        Some(earlier)
    }

    fn note_store(&mut self, answers: bool, now: MonoTime) -> bool {
        let is_changed = self.is_unreachable == answers;
        if is_changed && answers {
            self.returned = Some(now);
        }
        self.is_unreachable = !answers;
        is_changed
    }

    /// Returns until when data that is missing now may be written again; `None` if its absence is final.
    pub(super) fn end(&self, now: MonoTime) -> Option<MonoTime> {
        let since = match self.returned {
            Some(back) if now.saturating_sub(back) < STORE_RETURN_GRACE => back,
            back if self.is_unreachable => back.unwrap_or(now),
            _ => return None,
        };
        Some(since + STORE_RETURN_GRACE)
    }

    /// Records that a hall's evacuation is unconfirmed until the given time.
    pub(super) fn note_hall(&mut self, hall: HallName, until: MonoTime) {
        self.halls.entry(hall).or_insert(until);
    }

    /// Removes a hall, as its state has been confirmed or replaced.
    pub(super) fn end_hall(&mut self, hall: &str) {
        self.halls.remove(hall);
    }

    /// Removes a replica; returns whether it was unconfirmed.
    pub(super) fn end_replica(&mut self, id: &str) -> bool {
        self.replicas.remove(id).is_some()
    }

    /// Returns a replica's missing entry; `None` if the replica is not unconfirmed.
    pub(super) fn entry(&self, id: &str, now: MonoTime) -> Option<ExpiredEntry> {
        let left = self.replicas.get(id)?.saturating_sub(now);
        Some(ExpiredEntry { replica: id.to_string(), left })
    }

    /// Returns all missing entries.
    pub(super) fn entries(&self, now: MonoTime) -> Vec<ExpiredEntry> {
        self.replicas.keys().filter_map(|id| self.entry(id, now)).collect()
    }

    /// Removes and returns the replicas whose time is over; none while the store is unreachable.
    fn take_expired_replicas(&mut self, now: MonoTime) -> Vec<ReplicaId> {
        if self.is_unreachable {
            return Vec::new();
        }
        let due = self.replicas.iter().filter(|(_, until)| now >= **until);
        let due: Vec<ReplicaId> = due.map(|(id, _)| id.clone()).collect();
        self.replicas.retain(|_, until| now < *until);
        due
    }

    /// Returns the halls that are in use from now on, as the operator has not evacuated them again; none while the
    /// store is unreachable.
    fn expired_halls(&self, now: MonoTime) -> Vec<HallName> {
        if self.is_unreachable {
            return Vec::new();
        }
        let due = self.halls.iter().filter(|(_, until)| now >= **until);
        due.map(|(hall, _)| hall.clone()).collect()
    }
}

impl RelayMachine {
    /// Records the store's era of data that was read or received. Returns the previously known era if the new one is
    /// later: the store was then restored from an older copy, and what the copy lacks may be written again.
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

    /// Records whether the store answers; returns whether that changed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.set_store_reachable(false, Duration::ZERO));
    /// assert!(!machine.set_store_reachable(false, Duration::ZERO));
    /// ```
    pub fn set_store_reachable(&mut self, answers: bool, now: MonoTime) -> bool {
        self.doubt.note_store(answers, now)
    }

    /// Records that a replica's entry is missing, and until when the replica may renew it.
    pub(super) fn mark_unconfirmed(&mut self, id: &str, until: MonoTime) {
        self.doubt.replicas.entry(id.to_string()).or_insert(until);
        self.table.mark_unconfirmed(id);
    }

    /// Runs the periodic work: removes unconfirmed replicas that did not return in time, drops expired
    /// load requests, load estimates and crash records, updates this relay's cells and its shares of
    /// limits, and sends pending load requests. Returns what has changed in the replicas and halls.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert!(machine.tick(Duration::ZERO).is_empty());
    /// ```
    pub fn tick(&mut self, now: MonoTime) -> Vec<StateChange> {
        self.crashes.tick(now);
        self.demand.tick(now);
        self.promises.tick(now);
        self.update_warm_up_shares(now);
        self.tick_cells(now);
        self.tick_origins(now);
        self.tick_admission(now);
        self.send_load_requests(now);
        self.table.notify_deferred_uses(now);
        self.expire_unconfirmed(now)
    }

    /// Removes the unconfirmed replicas and puts the unconfirmed halls back in use whose time is over.
    fn expire_unconfirmed(&mut self, now: MonoTime) -> Vec<StateChange> {
        let lost = self.doubt.take_expired_replicas(now);
        for id in &lost {
            self.remove_gone(id);
        }
        let mut changes: Vec<StateChange> = lost.into_iter().map(StateChange::Gone).collect();
        let halls = self.doubt.expired_halls(now);
        changes.extend(halls.iter().filter_map(|hall| self.set_evacuated(hall, false)));
        changes
    }
}
