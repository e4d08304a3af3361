//! Applies store changes, whether read from the store or received from another relay, and fetches the state of a relay
//! that is ahead.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::ids::{HallName, MonoTime, ReplicaId};
use quillcove_core::relay::beacon::RelayHeartbeat;
use quillcove_core::relay::change_word::{StoreChange, StoreChangeMessage};
use quillcove_core::relay::machine::StateChange;
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use quillcove_platform::store::StoreEvent;
use slog::{info, warn};

use super::{FetchedState, InputTask};
use crate::process::update_readiness;
use crate::relay::follow::{StoreReading, StoreUpdate, replica_records};
use crate::relay::share;

/// Time for which another relay may be ahead before this one reads the store again in full.
const REREAD_DELAY: Duration = Duration::from_millis(1500);

/// Shortest time between two requests to other relays for their store state.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

impl InputTask {
    pub(super) fn handle_store_update(&mut self, update: StoreUpdate, now: MonoTime) {
        let part = match &update {
            StoreUpdate::Read(reading) => reading.part,
            StoreUpdate::Failed { part, .. } => *part,
        };
        self.requested_reads.remove(&part);
        match update {
            StoreUpdate::Failed { reason, .. } => {
                if self.store_answers.insert(part, false) != Some(false) {
                    warn!(self.shared.log, "store lost"; "part" => ?part, "reason" => reason);
                }
                self.update_store_status(now);
            },
            StoreUpdate::Read(reading) => {
                if self.store_answers.insert(part, true) != Some(true) {
                    info!(self.shared.log, "store reached"; "part" => ?part,
                        "position" => %reading.position);
                }
                self.update_store_status(now);
                self.apply_reading(reading, now);
            },
        }
        self.update_readiness();
    }

    fn update_store_status(&self, now: MonoTime) {
        let is_answering = self.store_answers.get(&StorePart::Replicas).copied().unwrap_or(true);
        self.shared.machine().set_store_reachable(is_answering, now);
    }

    /// Applies a completed read, and sends heartbeats to near relays at once if it contains a relevant change.
    fn apply_reading(&mut self, reading: StoreReading, now: MonoTime) {
        let complete_at = reading.complete_at;
        let (part, position) = (reading.part, reading.position);
        let is_full = reading.is_full;
        let known = self.shared.machine().read().of(part);
        if position.precedes_era(known.era) {
            info!(self.shared.log, "reading of an earlier era is passed over"; "part" => ?part,
                "position" => %position, "known" => %known);
            return;
        }
        self.enter_era(position, now);
        self.track_lost_configuration(&reading);
        let proved_at = reading.proved_at;
        let changed = match is_full && part == StorePart::Replicas {
            true => self.apply_listing(reading, now),
            false => self.apply_events(reading, now),
        };
        self.shared.waiters.notify_all();
        let mut machine = self.shared.machine();
        machine.knowledge_mut().note_read(part, position, complete_at);
        if let Some(at) =
            proved_at.filter(|_| part == StorePart::Operator && !self.is_configuration_unknown)
        {
            machine.knowledge_mut().note_proof(at);
        }
        if let Some(began) = proved_at {
            machine.knowledge_mut().note_confirmed(part, began);
            self.shared.store_read.notify_waiters();
        }
        if is_full {
            machine.knowledge_mut().note_whole(part, position);
        }
        if let Some(changed) = changed {
            let changed = StorePosition { era: position.era, revision: changed };
            machine.knowledge_mut().note_change(part, changed);
            drop(machine);
            self.send_near_heartbeats(now);
        }
    }

    /// Enters the era of a read, and logs if the store was restored from an older copy.
    fn enter_era(&self, position: StorePosition, now: MonoTime) {
        let before = self.shared.machine().enter_era(position.era, now);
        if let Some(before) = before {
            self.shared.metrics.store_came_back_older();
            warn!(self.shared.log, "store came back from an older copy"; "era" => position.era,
                "before" => before, "revision" => position.revision);
        }
    }

    /// Tracks whether the last published configuration could be parsed. If not, the configuration in force is unknown
    /// until one can be parsed, so that reads give no freshness proof.
    fn track_lost_configuration(&mut self, reading: &StoreReading) {
        let has_sheet = reading.events.iter().any(|event| matches!(event, StoreEvent::Sheet(_)));
        self.is_configuration_unknown = match reading.part {
            StorePart::Operator => {
                reading.proved_at.is_none() || (self.is_configuration_unknown && !has_sheet)
            },
            StorePart::Replicas => self.is_configuration_unknown,
        };
    }

    /// Applies the full listing of replicas; returns the revision of the last change, if anything changed.
    fn apply_listing(&mut self, reading: StoreReading, now: MonoTime) -> Option<u64> {
        let last_revision = reading.changed_at.iter().copied().max();
        let changes = self.shared.machine().list_all(replica_records(reading.events), now);
        let has_removals = changes.iter().any(|change| !matches!(change, StateChange::Listed(_)));
        // A replica that is gone has no entry with the revision of its removal.
        let change_revision =
            if has_removals { Some(reading.position.revision) } else { last_revision };
        let is_changed = !changes.is_empty();
        self.announce_changes(changes, now);
        change_revision.filter(|_| is_changed)
    }

    /// Applies changes in order; returns the revision of the last relevant one.
    fn apply_events(&mut self, reading: StoreReading, now: MonoTime) -> Option<u64> {
        let mut last_revision = None;
        let mut all_changes = Vec::new();
        if reading.is_full && reading.part == StorePart::Operator {
            // A hall that the full operator's part does not name is in use.
            let evacuated = evacuated_halls(&reading.events);
            let changes = self.shared.machine().set_all_emptied(&evacuated, now);
            last_revision =
                last_revision.max((!changes.is_empty()).then_some(reading.position.revision));
            all_changes.extend(changes);
        }
        let mut sendable = Some(Vec::new());
        for (event, revision) in reading.events.into_iter().zip(reading.changed_at) {
            let effect = self.shared.machine().take_event(event, reading.is_full, now);
            if effect.matters {
                last_revision = last_revision.max(Some(revision));
                let change = effect.update.map(|event| StoreChange { revision, event });
                sendable =
                    sendable.zip(change).map(|(sendable, change)| appended(sendable, change));
            }
            all_changes.extend(effect.changes);
        }
        if let (Some(after), Some(changes)) = (reading.after, sendable) {
            let age = now.saturating_sub(reading.complete_at);
            let (part, StorePosition { era, revision }) = (reading.part, reading.position);
            self.send_change(StoreChangeMessage { part, era, after, revision, age, changes });
        }
        // All together, so that loaders and relays get one message for all new engines.
        self.announce_changes(all_changes, now);
        last_revision
    }

    /// Logs changes, and sends messages to the loaders of new engines at once, as loaders report only to relays from
    /// which they have received one.
    pub(super) fn announce_changes(&mut self, changes: Vec<StateChange>, now: MonoTime) {
        let listed_id = |change: &StateChange| match change {
            StateChange::Listed(id) => Some(id.clone()),
            _ => None,
        };
        let new_engines: HashSet<ReplicaId> = changes.iter().filter_map(listed_id).collect();
        self.log_changes(changes);
        match new_engines.is_empty() {
            true => {},
            false if self.last_heartbeat_at == MonoTime::ZERO => self.send_heartbeats(now),
            false => self.report_uses_of(&new_engines),
        }
    }

    pub(super) fn log_changes(&self, changes: impl IntoIterator<Item = StateChange>) {
        let log = &self.shared.log;
        let read = self.shared.machine().read();
        let position = read.replicas.to_string();
        for change in changes {
            match change {
                StateChange::Configuration(version) => {
                    info!(log, "sheet in force"; "sheet" => version, "position" => %read.operator);
                },
                StateChange::Version(held) => {
                    info!(log, "adapter has a new version"; "model" => &held.key.model,
                        "adapter" => &held.key.adapter, "version" => held.version);
                },
                StateChange::Listed(id) => self.log_listed(&id),
                StateChange::Gone(id) => {
                    self.shared.pool.close_idle(&id);
                    info!(log, "replica gone"; "replica" => id, "position" => &position);
                },
                StateChange::Replaced(id) => {
                    self.shared.pool.close_idle(&id);
                    info!(log, "replica replaced"; "replica" => id, "position" => &position);
                },
                StateChange::Unconfirmed(id) => {
                    info!(log, "replica's entry lapsed"; "replica" => id, "position" => &position);
                },
                StateChange::Returned(id) => {
                    info!(log, "replica's entry is back"; "replica" => id, "position" => &position);
                },
                StateChange::WarmingUp(id) => {
                    info!(log, "replica is cold"; "replica" => id, "position" => &position);
                },
                StateChange::HallEvacuated(hall) => {
                    info!(log, "hall is to be emptied"; "hall" => hall,
                        "position" => %read.operator);
                },
                StateChange::HallInUse(hall) => {
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
            "software" => &record.software, "position" => %machine.read().replicas);
    }

    pub(super) fn update_readiness(&self) {
        let is_ready = self.shared.machine().is_ready();
        update_readiness(&self.shared.is_ready, is_ready, &self.shared.log);
    }

    /// Fetches the store state of another relay while this one stays behind it. If the store seems to answer this
    /// relay, it also reads the store again, as its watch may hang on a dead connection.
    pub(super) fn compare_positions(&mut self, heartbeat: &RelayHeartbeat, now: MonoTime) {
        let (own_sheet, own) = {
            let machine = self.shared.machine();
            (machine.sheet().map_or(0, |sheet| sheet.version), machine.read())
        };
        let is_ahead_in =
            |part| !self.is_part_up(part) && heartbeat.word.read.of(part) > own.of(part);
        let is_behind = heartbeat.sheet > own_sheet
            || is_ahead_in(StorePart::Operator)
            || is_ahead_in(StorePart::Replicas);
        if !is_behind {
            if heartbeat.word.read.is_covered_by(&own) {
                self.behind_since = None;
            }
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        let behind_for = now.saturating_sub(since);
        let is_store_up =
            self.is_part_up(StorePart::Operator) && self.is_part_up(StorePart::Replicas);
        if is_store_up && behind_for > REREAD_DELAY {
            self.reread.send_modify(|count| *count += 1);
        }
        let is_due = !is_store_up || behind_for > FETCH_INTERVAL;
        if is_due && now.saturating_sub(self.last_fetch_at) >= FETCH_INTERVAL {
            self.last_fetch_at = now;
            info!(self.shared.log, "behind another relay"; "relay" => &heartbeat.host,
                "own_sheet" => own_sheet, "sheet" => heartbeat.sheet,
                "own_operator_position" => %own.operator,
                "operator_position" => %heartbeat.word.read.operator,
                "own_replica_position" => %own.replicas,
                "replica_position" => %heartbeat.word.read.replicas);
            self.fetch_snapshot(heartbeat.address);
        }
    }

    /// Returns whether the store answered the last call for a part; `false` before the first call.
    fn is_part_up(&self, part: StorePart) -> bool {
        self.store_answers.get(&part).copied().unwrap_or(false)
    }

    fn fetch_snapshot(&self, address: SocketAddr) {
        let sender = self.snapshot_sender.clone();
        let requested_at = self.shared.clock.now();
        tokio::spawn(async move {
            let snapshot = share::fetch(address).await;
            let snapshot = snapshot.map(|state| Box::new(FetchedState { state, requested_at }));
            // The receiver is dropped only when the process exits.
            let _ = sender.send(snapshot).await;
        });
    }

    pub(super) fn handle_snapshot(
        &mut self,
        snapshot: Result<Box<FetchedState>, String>,
        now: MonoTime,
    ) {
        match snapshot {
            Ok(fetched) => {
                let FetchedState { state, requested_at } = *fetched;
                let proof = state.proof;
                let mut machine = self.shared.machine();
                let changes = machine.take_published(state, now);
                if let Some(proof) = proof {
                    machine.knowledge_mut().apply_proof(&proof, requested_at);
                }
                drop(machine);
                self.announce_changes(changes, now);
                self.shared.waiters.notify_all();
                self.update_readiness();
            },
            Err(reason) => {
                warn!(self.shared.log, "another relay does not answer"; "reason" => reason);
            },
        }
    }
}

/// Returns the evacuated halls in a full read of the operator's part.
fn evacuated_halls(events: &[StoreEvent]) -> Vec<HallName> {
    let hall = |event: &StoreEvent| match event {
        StoreEvent::HallEmptied(hall) => Some(hall.clone()),
        _ => None,
    };
    events.iter().filter_map(hall).collect()
}

fn appended(mut changes: Vec<StoreChange>, change: StoreChange) -> Vec<StoreChange> {
    changes.push(change);
    changes
}
