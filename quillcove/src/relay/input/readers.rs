//! Whether this relay watches the store or is told by others, and when it reads for itself.

use std::time::Duration;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::knowledge::StoreWord;
use quillcove_core::relay::position::StorePosition;
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::store_duty::{self, ReadReason, ReaderCandidate, StoreDuty};
use quillcove_core::relay::telling::RelayDistance;
use slog::info;

use super::InputDuty;
use crate::relay::follow::WatchTimes;

/// Time after which a reading that was asked for and has not come is asked for again: the longest that
/// a call of the store may take, and a pause.
const WANT_AGAIN: Duration = Duration::from_millis(1500);

/// Time from the start of the process within which the other relays have been heard: three beacons.
const RELAYS_HEARD: Duration = Duration::from_millis(1600);

/// Time from the first word of a change that this relay does not know until it reads for itself. The change is told
/// by the relay of its hall that has read it; this time is for its way.
const CHANGE_GRACE: Duration = Duration::from_millis(300);

/// A change that another relay knows and this one does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnknownChange {
    /// Position up to which the part has to be known.
    position: StorePosition,
    since: MonoTime,
}

impl InputDuty {
    /// Whether the store answered the last call of each part. Before the first call nothing speaks
    /// against it.
    pub(super) fn is_store_up(&self) -> bool {
        self.store_up.values().all(|is_up| *is_up)
    }

    /// Watches the store or leaves that to others, by which relays are heard.
    pub(super) fn choose_duty(&mut self, now: MonoTime) {
        let process = &self.shared.settings.process;
        let own =
            ReaderCandidate { host: &process.host, hall: &process.hall, is_up: self.is_store_up() };
        let others: Vec<ReaderCandidate<'_>> = self
            .relays
            .iter()
            .map(|(host, known)| ReaderCandidate { host, hall: &known.hall, is_up: known.is_up })
            .collect();
        let rules = self.settings.platform.duty_rules();
        let duty = store_duty::duty(&rules, own, &others);
        // A first watch that lasts longer would leave the others without word of a reader.
        let may_be_large = store_duty::is_large(others.len()) || now < RELAYS_HEARD;
        let watch_times = if may_be_large { WatchTimes::of(&rules) } else { WatchTimes::default() };
        let known = self.shared.machine().read();
        let before = self.order.borrow().duty;
        if duty != before {
            info!(self.shared.log, "duty at the store"; "duty" => ?duty,
                "relays" => others.len(), "is_up" => own.is_up);
        }
        // Orders are sent only when they say something new, as each one wakes the watch duty.
        self.order.send_if_modified(|order| {
            order.known = known;
            let is_new = order.duty != duty || order.watch_times != watch_times;
            order.duty = duty;
            order.watch_times = watch_times;
            is_new
        });
    }

    /// Takes another relay's word on the store, and notes what that one knows and this one does not. Of changes that
    /// relays of other halls know, those of the own hall that read the store tell as well, a moment earlier or later.
    pub(super) fn take_word(&mut self, word: &StoreWord, distance: RelayDistance, now: MonoTime) {
        let is_told = distance == RelayDistance::Far && self.hears_near_reader();
        for part in StorePart::ALL {
            let is_known = self.shared.machine().knowledge_mut().take_word(part, word, now);
            if !is_known && !is_told {
                let fresh = UnknownChange { position: StorePosition::default(), since: now };
                let unknown = self.unknown.entry(part).or_insert(fresh);
                unknown.position = unknown.position.max(word.news_of(part));
            }
        }
        self.read_what_is_unknown(now);
    }

    /// Reads changes that others know of, and of which nobody has told in time what they are.
    pub(super) fn read_what_is_unknown(&mut self, now: MonoTime) {
        let read = self.shared.machine().read();
        self.unknown.retain(|part, unknown| read.of(*part) < unknown.position);
        let is_told = self.hears_near_reader();
        let is_due =
            |unknown: &UnknownChange| !is_told || now.saturating_sub(unknown.since) >= CHANGE_GRACE;
        let due: Vec<StorePart> = self
            .unknown
            .iter()
            .filter(|(_, unknown)| is_due(unknown))
            .map(|(part, _)| *part)
            .collect();
        for part in due {
            self.want(part, ReadReason::ChangeTold, now);
        }
    }

    /// Reads what nobody has told of for too long.
    pub(super) fn read_what_is_old(&mut self, now: MonoTime) {
        let rules = self.settings.platform.duty_rules();
        for part in StorePart::ALL {
            let limit = rules.age_limit(part, &self.shared.settings.process.host);
            let is_old = self.shared.machine().knowledge().is_old(part, limit, now);
            if is_old {
                self.want(part, ReadReason::KnowledgeOld, now);
            }
        }
    }

    pub(super) fn want(&mut self, part: StorePart, reason: ReadReason, now: MonoTime) {
        let is_under_way = |asked: &MonoTime| now.saturating_sub(*asked) < WANT_AGAIN;
        let is_told = self.order.borrow().duty == StoreDuty::IsTold;
        if !is_told || self.wanted.get(&part).is_some_and(is_under_way) {
            return;
        }
        self.wanted.insert(part, now);
        info!(self.shared.log, "reads the store itself"; "part" => ?part,
            "reason" => reason.label());
        self.shared.metrics.read_itself(reason);
        let known = self.shared.machine().read();
        self.order.send_modify(|order| {
            order.known = known;
            order.want(part);
        });
    }
}
