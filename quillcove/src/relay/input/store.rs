//! What the store publishes, read from it or from another relay.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::ids::{HallName, MonoTime};
use quillcove_core::relay::beacon::{RelayBeacon, ReplicaId};
use quillcove_core::relay::change_word::{ChangeBeacon, ToldChange};
use quillcove_core::relay::machine::BeliefChange;
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use quillcove_platform::store::StoreEvent;
use slog::{info, warn};

use super::{FetchedState, InputDuty};
use crate::process::note_ready;
use crate::relay::follow::{StoreNews, StoreReading, replicas_of};
use crate::relay::share;

/// Time by which another relay may be ahead in the store before this one reads it anew.
const BEHIND_LIMIT: Duration = Duration::from_millis(1500);

/// Shortest time between two questions to other relays for what they have read.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

impl InputDuty {
    pub(super) fn take_store(&mut self, news: StoreNews, now: MonoTime) {
        let part = match &news {
            StoreNews::Read(reading) => reading.part,
            StoreNews::Failed { part, .. } => *part,
        };
        self.wanted.remove(&part);
        match news {
            StoreNews::Failed { reason, .. } => {
                if self.store_up.insert(part, false) != Some(false) {
                    warn!(self.shared.log, "store lost"; "part" => ?part, "reason" => reason);
                }
                self.note_store(now);
            },
            StoreNews::Read(reading) => {
                if self.store_up.insert(part, true) != Some(true) {
                    info!(self.shared.log, "store reached"; "part" => ?part,
                        "position" => %reading.position);
                }
                self.note_store(now);
                self.take_reading(reading, now);
            },
        }
        self.note_ready();
    }

    fn note_store(&self, now: MonoTime) {
        let answers = self.store_up.get(&StorePart::Replicas).copied().unwrap_or(true);
        self.shared.machine().note_store(answers, now);
    }

    /// Takes what was read, and tells other relays at once when something changed that matters.
    fn take_reading(&mut self, reading: StoreReading, now: MonoTime) {
        let complete_at = reading.complete_at;
        let (part, position) = (reading.part, reading.position);
        let is_whole = reading.is_whole;
        let known = self.shared.machine().read().of(part);
        if position.precedes_era(known.era) {
            info!(self.shared.log, "reading of an earlier era is passed over"; "part" => ?part,
                "position" => %position, "known" => %known);
            return;
        }
        self.enter_era(position, now);
        self.note_lost_sheet(&reading);
        let proved_at = reading.proved_at;
        let changed = match is_whole && part == StorePart::Replicas {
            true => self.take_listing(reading, now),
            false => self.take_events(reading, now),
        };
        self.shared.waiters.tell_all();
        let mut machine = self.shared.machine();
        machine.knowledge_mut().note_read(part, position, complete_at);
        if let Some(at) = proved_at.filter(|_| part == StorePart::Operator && !self.is_sheet_lost) {
            machine.knowledge_mut().note_proof(at);
        }
        if is_whole {
            machine.knowledge_mut().note_whole(part, position);
        }
        if let Some(changed) = changed {
            let changed = StorePosition { era: position.era, revision: changed };
            machine.knowledge_mut().note_change(part, changed);
            drop(machine);
            self.tell_near(now);
        }
    }

    /// Notes that the store has come back from an older copy, if it has.
    fn enter_era(&self, position: StorePosition, now: MonoTime) {
        let before = self.shared.machine().enter_era(position.era, now);
        if let Some(before) = before {
            self.shared.metrics.store_came_back_older();
            warn!(self.shared.log, "store came back from an older copy"; "era" => position.era,
                "before" => before, "revision" => position.revision);
        }
    }

    /// A sheet that was published and could not be read leaves what is in force unknown until one can.
    fn note_lost_sheet(&mut self, reading: &StoreReading) {
        let has_sheet = reading.events.iter().any(|event| matches!(event, StoreEvent::Sheet(_)));
        self.is_sheet_lost = match reading.part {
            StorePart::Operator => {
                reading.proved_at.is_none() || (self.is_sheet_lost && !has_sheet)
            },
            StorePart::Replicas => self.is_sheet_lost,
        };
    }

    /// Takes the whole listing; gives the revision of the last change, if anything changed.
    fn take_listing(&mut self, reading: StoreReading, now: MonoTime) -> Option<u64> {
        let last = reading.changed_at.iter().copied().max();
        let changes = self.shared.machine().list_all(replicas_of(reading.events), now);
        let has_lost = changes.iter().any(|change| !matches!(change, BeliefChange::Listed(_)));
        // What is gone has no entry that could tell when it went.
        let changed = if has_lost { Some(reading.position.revision) } else { last };
        let is_changed = !changes.is_empty();
        self.take_changes(changes, now);
        changed.filter(|_| is_changed)
    }

    /// Takes changes one after the other; gives the revision of the last one that matters.
    fn take_events(&mut self, reading: StoreReading, now: MonoTime) -> Option<u64> {
        let mut last = None;
        let mut all_changes = Vec::new();
        if reading.is_whole && reading.part == StorePart::Operator {
            // A hall that is not named in the whole part is in use.
            let emptied = emptied_in(&reading.events);
            let changes = self.shared.machine().set_all_emptied(&emptied, now);
            last = last.max((!changes.is_empty()).then_some(reading.position.revision));
            all_changes.extend(changes);
        }
        let mut told = Some(Vec::new());
        for (event, revision) in reading.events.into_iter().zip(reading.changed_at) {
            let effect = self.shared.machine().take_event(event, reading.is_whole, now);
            if effect.matters {
                last = last.max(Some(revision));
                let change = effect.told.map(|event| ToldChange { revision, event });
                told = told.zip(change).map(|(told, change)| push(told, change));
            }
            all_changes.extend(effect.changes);
        }
        if let (Some(after), Some(changes)) = (reading.after, told) {
            let age = now.saturating_sub(reading.complete_at);
            let (part, StorePosition { era, revision }) = (reading.part, reading.position);
            self.tell_change(ChangeBeacon { part, era, after, revision, age, changes });
        }
        // Together, as loaders and relays are told once of all engines that are new.
        self.take_changes(all_changes, now);
        last
    }

    /// Logs what changed; loaders of new engines learn at once that this relay is there, as they
    /// report only to relays that they have heard.
    pub(super) fn take_changes(&mut self, changes: Vec<BeliefChange>, now: MonoTime) {
        let listed = |change: &BeliefChange| match change {
            BeliefChange::Listed(id) => Some(id.clone()),
            _ => None,
        };
        let new: HashSet<ReplicaId> = changes.iter().filter_map(listed).collect();
        self.log_changes(changes);
        match new.is_empty() {
            true => {},
            false if self.last_beacon == MonoTime::ZERO => self.tell_all(now),
            false => self.tell_loaders_of(&new),
        }
    }

    pub(super) fn log_changes(&self, changes: impl IntoIterator<Item = BeliefChange>) {
        let log = &self.shared.log;
        let read = self.shared.machine().read();
        let position = read.replicas.to_string();
        for change in changes {
            match change {
                BeliefChange::Sheet(version) => {
                    info!(log, "sheet in force"; "sheet" => version, "position" => %read.operator);
                },
                BeliefChange::Version(held) => {
                    info!(log, "adapter has a new version"; "model" => &held.key.model,
                        "adapter" => &held.key.adapter, "version" => held.version);
                },
                BeliefChange::Listed(id) => self.log_listed(&id),
                BeliefChange::Gone(id) => {
                    self.shared.pool.forget(&id);
                    info!(log, "replica gone"; "replica" => id, "position" => &position);
                },
                BeliefChange::Replaced(id) => {
                    self.shared.pool.forget(&id);
                    info!(log, "replica replaced"; "replica" => id, "position" => &position);
                },
                BeliefChange::Doubted(id) => {
                    info!(log, "replica's entry lapsed"; "replica" => id, "position" => &position);
                },
                BeliefChange::Returned(id) => {
                    info!(log, "replica's entry is back"; "replica" => id, "position" => &position);
                },
                BeliefChange::Cold(id) => {
                    info!(log, "replica is cold"; "replica" => id, "position" => &position);
                },
                BeliefChange::HallEmptied(hall) => {
                    info!(log, "hall is to be emptied"; "hall" => hall,
                        "position" => %read.operator);
                },
                BeliefChange::HallInUse(hall) => {
                    info!(log, "hall is in use again"; "hall" => hall,
                        "position" => %read.operator);
                },
            }
        }
    }

    fn log_listed(&self, id: &str) {
        let machine = self.shared.machine();
        let Some(view) = machine.table().get(id) else {
            return;
        };
        let record = &view.record;
        info!(self.shared.log, "replica listed"; "replica" => id, "service" => &record.service,
            "address" => %record.address, "hall" => &record.hall, "state" => ?record.state,
            "position" => %machine.read().replicas);
    }

    pub(super) fn note_ready(&self) {
        let is_ready = self.shared.machine().is_ready();
        note_ready(&self.shared.is_ready, is_ready, &self.shared.log);
    }

    /// A relay that stays behind another one asks it for what it has read. One whose own store
    /// seems well reads that anew besides, as its watch may hang on a dead connection.
    pub(super) fn compare(&mut self, beacon: &RelayBeacon, now: MonoTime) {
        let (own_sheet, own) = {
            let machine = self.shared.machine();
            (machine.sheet().map_or(0, |sheet| sheet.version), machine.read())
        };
        let lags = |part| !self.is_part_up(part) && beacon.word.read.of(part) > own.of(part);
        let is_behind =
            beacon.sheet > own_sheet || lags(StorePart::Operator) || lags(StorePart::Replicas);
        if !is_behind {
            if beacon.word.read.is_covered_by(&own) {
                self.behind_since = None;
            }
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let behind = now.saturating_sub(since);
        let is_store_up =
            self.is_part_up(StorePart::Operator) && self.is_part_up(StorePart::Replicas);
        if is_store_up && behind > BEHIND_LIMIT {
            self.hurry.send_modify(|count| *count += 1);
        }
        let is_due = !is_store_up || behind > FETCH_INTERVAL;
        if is_due && now.saturating_sub(self.last_fetch) >= FETCH_INTERVAL {
            self.last_fetch = now;
            info!(self.shared.log, "behind another relay"; "relay" => &beacon.host,
                "own_sheet" => own_sheet, "sheet" => beacon.sheet,
                "own_operator_position" => %own.operator,
                "operator_position" => %beacon.word.read.operator,
                "own_replica_position" => %own.replicas,
                "replica_position" => %beacon.word.read.replicas);
            self.fetch(beacon.address);
        }
    }

    /// Whether the last call of a part was answered.
    fn is_part_up(&self, part: StorePart) -> bool {
        self.store_up.get(&part).copied().unwrap_or(false)
    }

    fn fetch(&self, address: SocketAddr) {
        let publish = self.publish.clone();
        let asked_at = self.shared.clock.now();
        tokio::spawn(async move {
            let published = share::fetch(address).await;
            let published = published.map(|state| Box::new(FetchedState { state, asked_at }));
            // The receiver is gone only when the process ends.
            let _ = publish.send(published).await;
        });
    }

    pub(super) fn take_published(
        &mut self,
        published: Result<Box<FetchedState>, String>,
        now: MonoTime,
    ) {
        match published {
            Ok(fetched) => {
                let FetchedState { state, asked_at } = *fetched;
                let proof = state.proof;
                let mut machine = self.shared.machine();
                let changes = machine.take_published(state, now);
                if let Some(word) = proof {
                    machine.knowledge_mut().take_proof(&word, asked_at);
                }
                drop(machine);
                self.take_changes(changes, now);
                self.shared.waiters.tell_all();
                self.note_ready();
            },
            Err(reason) => {
                warn!(self.shared.log, "another relay does not answer"; "reason" => reason);
            },
        }
    }
}

/// The halls that a reading of the whole operator's part names as to be emptied.
fn emptied_in(events: &[StoreEvent]) -> Vec<HallName> {
    let hall = |event: &StoreEvent| match event {
        StoreEvent::HallEmptied(hall) => Some(hall.clone()),
        _ => None,
    };
    events.iter().filter_map(hall).collect()
}

fn push(mut told: Vec<ToldChange>, change: ToldChange) -> Vec<ToldChange> {
    told.push(change);
    told
}
