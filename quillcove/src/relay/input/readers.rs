//! Chooses whether this relay is a direct reader of the store or a follower, and when a follower reads the store
//! itself.

use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::knowledge::StoreSummary;
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::store_duty::{self, ReadReason, ReaderCandidate, StoreRole};
use quillcove_core::relay::telling::RelayDistance;
use slog::info;

use super::InputTask;
use crate::relay::follow::WatchTimes;

/// Time after which a read that was requested and has not completed is requested again: the longest duration of a call
/// to the store, and a backoff.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// Time from the start of the process within which the heartbeats of the other relays have arrived: three intervals.
const DISCOVERY_TIME: Duration = Duration::from_millis(1600);

/// Time from the first announcement of an unknown change until this relay reads the store itself. The change is sent by
/// the direct reader of the own hall; this time allows for its delivery.
const CHANGE_DELIVERY_TIME: Duration = Duration::from_millis(300);

/// A change that another relay has announced and this one has not read.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadChange {
    /// Position that this relay has to reach.
    position: StorePosition,
    since: MonoTime,
}

impl InputTask {
    /// Returns whether the store answered the last call for each part; `true` before the first call.
    pub(super) fn is_store_up(&self) -> bool {
        self.store_answers.values().all(|is_up| *is_up)
    }

    /// Chooses whether this relay watches the store, from the relays whose heartbeats it receives.
    pub(super) fn choose_store_duty(&mut self, now: MonoTime) {
        let process = &self.shared.settings.process;
        let own =
            ReaderCandidate { host: &process.host, hall: &process.hall, is_up: self.is_store_up() };
        let others: Vec<ReaderCandidate<'_>> = self
            .relays
            .iter()
            .map(|(host, known)| ReaderCandidate {
                host,
                hall: &known.hall,
                is_up: known.is_store_up,
            })
            .collect();
        let rules = self.settings.platform.duty_rules();
        let duty = store_duty::choose_role(&rules, own, &others);
        // Until all relays are known, a longer first watch would leave followers without a heartbeat of a direct
        // reader.
        let may_be_large = store_duty::is_large(others.len()) || now < DISCOVERY_TIME;
        let watch_times = if may_be_large { WatchTimes::of(&rules) } else { WatchTimes::default() };
        let known = self.shared.machine().read();
        let before = self.follow_instructions.borrow().duty;
        if duty != before {
            info!(self.shared.log, "duty at the store"; "duty" => ?duty,
                "relays" => others.len(), "is_up" => own.is_up);
        }
        // Notifies only on a change, as each notification wakes the task that watches the store.
        self.follow_instructions.send_if_modified(|instructions| {
            instructions.known_positions = known;
            let is_new = instructions.duty != duty || instructions.watch_times != watch_times;
            instructions.duty = duty;
            instructions.watch_times = watch_times;
            is_new
        });
    }

    /// Applies another relay's state summary, and records changes that this relay has not read. Changes announced from
    /// another hall are not recorded while the own hall has a direct reader, which sends them at about the same time.
    pub(super) fn apply_summary(
        &mut self,
        summary: &StoreSummary,
        distance: RelayDistance,
        now: MonoTime,
    ) {
        let is_sent_by_near_reader = distance == RelayDistance::Far && self.has_near_reader();
        for part in StorePart::ALL {
            let is_known = self.shared.machine().knowledge_mut().apply_summary(part, summary, now);
            if !is_known && !is_sent_by_near_reader {
                let new = UnreadChange { position: StorePosition::default(), since: now };
                let change = self.unread_changes.entry(part).or_insert(new);
                change.position = change.position.max(summary.news_of(part));
            }
        }
        self.request_unread_changes(now);
    }

    /// Requests a read of each part with an announced change that was not received within [`CHANGE_DELIVERY_TIME`].
    pub(super) fn request_unread_changes(&mut self, now: MonoTime) {
        let read = self.shared.machine().read();
        self.unread_changes.retain(|part, change| read.of(*part) < change.position);
        let has_near_reader = self.has_near_reader();
        let is_due = |change: &UnreadChange| {
            !has_near_reader || now.saturating_sub(change.since) >= CHANGE_DELIVERY_TIME
        };
        let due: Vec<StorePart> = self
            .unread_changes
            .iter()
            .filter(|(_, change)| is_due(change))
            .map(|(part, _)| *part)
            .collect();
        for part in due {
            self.request_read(part, ReadReason::ChangeTold, now);
        }
    }

    /// Requests a read of each part whose knowledge exceeds its age limit.
    pub(super) fn request_stale_parts(&mut self, now: MonoTime) {
        let rules = self.settings.platform.duty_rules();
        for part in StorePart::ALL {
            let limit = rules.age_limit(part, &self.shared.settings.process.host);
            let is_old = self.shared.machine().knowledge().is_old(part, limit, now);
            if is_old {
                self.request_read(part, ReadReason::KnowledgeOld, now);
            }
        }
    }

    /// Requests one read of a part, unless this relay watches the store anyway or a read is in progress.
    pub(super) fn request_read(&mut self, part: StorePart, reason: ReadReason, now: MonoTime) {
        let is_in_progress =
            |requested_at: &MonoTime| now.saturating_sub(*requested_at) < READ_RETRY_INTERVAL;
        let is_follower = self.follow_instructions.borrow().duty == StoreRole::IsTold;
        if !is_follower || self.requested_reads.get(&part).is_some_and(is_in_progress) {
            return;
        }
        self.requested_reads.insert(part, now);
        info!(self.shared.log, "reads the store itself"; "part" => ?part,
            "reason" => reason.label());
        self.shared.metrics.read_itself(reason);
        let known = self.shared.machine().read();
        self.follow_instructions.send_modify(|instructions| {
            instructions.known_positions = known;
            instructions.request_read(part);
        });
    }
}
