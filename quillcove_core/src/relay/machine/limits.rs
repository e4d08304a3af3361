//! Rate limits that a replica sets for all relays together: this relay's share of each, and the limit reports that
//! relays exchange.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AttemptOrder, RelayMachine};
use crate::access::ledger::FleetSize;
use crate::ids::{HostId, MonoTime, ReplicaId};
use crate::relay::beacon::{AnnouncedLimit, LimitUpdate};
use crate::relay::replica::ReplicaView;
use crate::relay::sharing::{self, LimitKind, RelayPeers};
use crate::standing::limit::RateLimit;

/// Heartbeats that carry a new limit report. A report lost in all of them is replaced after [`REPEAT_INTERVAL`].
const REPORT_COUNT: u32 = 2;

/// Time after the end of a limit from which a good response is reported as a confirmation of that end. It reaches
/// relays that received a response with the limit at about the time of its end and therefore still apply it.
const CONFIRM_TIME: Duration = Duration::from_secs(1);

/// Interval after which the first relay in rank repeats its limit reports, for relays that missed them or started
/// since.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Time for which the end of a limit is reported.
const END_LIFETIME: Duration = Duration::from_secs(30);

/// Time from process start until the other relays are taken as known. Until then this relay sends no
/// requests to a replica in warm-up: a relay that knows no other would take the whole rate of the replica as its share.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(600);

/// Limit reports in one heartbeat, all in one message: some 40 bytes each, so that the message fits into a datagram.
const MAX_REPORTS: usize = 24;

/// The state of the reports on one replica's limit.
#[derive(Clone, Copy, Debug)]
struct LimitReportState {
    /// Heartbeats that still have to carry the report.
    left: u32,
    at: MonoTime,
    /// Whether the end of the limit was confirmed (see [`CONFIRM_TIME`]).
    is_confirmed: bool,
}

/// Whether a report on a replica's limit is due with the next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DueReport {
    None,
    /// Due as an update, from each relay that learnt it from the replica itself.
    Update,
    /// Due as a repeat, from the first relay in rank.
    Repeat,
}

/// Schedules the limit reports of this relay.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitReportSchedule {
    reports: BTreeMap<ReplicaId, LimitReportState>,
}

impl LimitReportSchedule {
    /// Schedules a report on a limit that this relay learnt from the replica itself.
    fn schedule_report(&mut self, replica: &str, now: MonoTime) {
        let state = LimitReportState { left: REPORT_COUNT, at: now, is_confirmed: false };
        self.reports.insert(replica.to_string(), state);
    }

    /// Schedules a confirmation that a limit has ended, after a good response without a limit that came at least
    /// [`CONFIRM_TIME`] after the end.
    fn schedule_confirmation(&mut self, replica: &str, now: MonoTime) {
        if self.reports.get(replica).is_none_or(|state| !state.is_confirmed) {
            let state = LimitReportState { left: REPORT_COUNT, at: now, is_confirmed: true };
            self.reports.insert(replica.to_string(), state);
        }
    }

    /// Records that another relay has reported the limit that is known here, which defers this relay's own report, so
    /// that few relays report the same limit.
    fn record_received(&mut self, replica: &str, is_confirmed: bool, now: MonoTime) {
        self.reports
            .insert(replica.to_string(), LimitReportState { left: 0, at: now, is_confirmed });
    }

    fn due(&self, replica: &str, now: MonoTime) -> DueReport {
        match self.reports.get(replica) {
            Some(state) if state.left > 0 => DueReport::Update,
            Some(state) if now.saturating_sub(state.at) < REPEAT_INTERVAL => DueReport::None,
            Some(_) | None => DueReport::Repeat,
        }
    }

    fn record_sent(&mut self, replica: &str, now: MonoTime) {
        let fresh = || LimitReportState { left: 0, at: now, is_confirmed: false };
        let state = self.reports.entry(replica.to_string()).or_insert_with(fresh);
        state.left = state.left.saturating_sub(1);
        state.at = now;
    }
}

impl RelayMachine {
    /// Updates the hosts of the other relays whose heartbeats arrive, and this relay's shares of limits with them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.set_peers(vec!["relay-b".into()], Duration::ZERO);
    /// ```
    pub fn set_peers(&mut self, others: Vec<HostId>, now: MonoTime) {
        let peers = RelayPeers::new(self.rules.host.clone(), others);
        if peers != self.peers {
            self.peers = peers;
            self.most_peers = self.most_peers.max(self.peers.count());
            self.update_limit_shares(now);
        }
    }

    /// Handles a good response that carries no limit. Returns whether it ends a limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let record = example_record("i-1");
    /// let order = AttemptOrder::to(&record);
    /// machine.list(record, Duration::ZERO);
    /// assert!(!machine.record_no_limit(&order, Duration::ZERO), "it has named none");
    /// ```
    pub fn record_no_limit(&mut self, order: &AttemptOrder, now: MonoTime) -> bool {
        let known = self.table.get(&order.replica).and_then(|view| view.standing.limit_word(now));
        let Some(known) = known else {
            return false;
        };
        let spread = self.return_spread();
        let is_end = self.table.note_no_limit(
            &order.replica,
            order.start_time,
            order.chosen_at,
            spread,
            now,
        );
        if is_end {
            self.limits.schedule_report(&order.replica, now);
        } else if known.limit.is_none() && known.known_for >= CONFIRM_TIME {
            self.limits.schedule_confirmation(&order.replica, now);
        }
        is_end
    }

    /// Applies the limit reports of another relay.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::{LimitUpdate, AnnouncedLimit};
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    /// use quillcove_core::standing::limit::RateLimit;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// machine.list(example_record("i-1"), Duration::ZERO);
    /// let limit = RateLimit::per_second(2.0);
    /// let report = AnnouncedLimit { replica: "i-1".into(), born: None, limit, age: Duration::ZERO };
    /// machine.apply_limit_reports(&LimitUpdate { words: vec![report] }, Duration::ZERO);
    /// assert!(!machine.table().get("i-1").unwrap().takes_work(Duration::ZERO));
    /// ```
    pub fn apply_limit_reports(&mut self, beacon: &LimitUpdate, now: MonoTime) {
        for report in &beacon.words {
            let spread = self.return_spread();
            let AnnouncedLimit { replica, born, limit, age } = report;
            if self.table.record_reported_limit(replica, *born, *limit, *age, spread, now) {
                self.update_limit_share(replica, now);
            }
            let known = self.table.get(replica).and_then(|view| view.standing.limit_word(now));
            if let Some(known) = known.filter(|known| known.limit == *limit) {
                let is_confirmed = *age + CONFIRM_TIME <= known.known_for;
                self.limits.record_received(replica, is_confirmed, now);
            }
        }
    }

    /// Returns the limit reports to send with the next heartbeat, and records them as sent; `None` when there are none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_due_limit_reports(Duration::ZERO).is_none());
    /// ```
    pub fn take_due_limit_reports(&mut self, now: MonoTime) -> Option<LimitUpdate> {
        let due = self.table.all().filter_map(|view| self.due_report(view, now));
        let due: Vec<(DueReport, AnnouncedLimit)> = due.take(MAX_REPORTS).collect();
        let mut words = Vec::new();
        for (due, report) in due {
            self.limits.record_sent(&report.replica, now);
            if due == DueReport::Update || self.peers.rank(&report.replica) == 0 {
                words.push(report);
            }
        }
        let table = &self.table;
        self.limits.reports.retain(|replica, _| table.get(replica).is_some());
        (!words.is_empty()).then_some(LimitUpdate { words })
    }

    fn due_report(&self, view: &ReplicaView, now: MonoTime) -> Option<(DueReport, AnnouncedLimit)> {
        let known = view.standing.limit_word(now)?;
        let is_over = known.limit.is_none() && known.known_for >= END_LIFETIME;
        let replica = &view.record.id;
        let due = self.limits.due(replica, now);
        if is_over || due == DueReport::None {
            return None;
        }
        let (limit, age) = (known.limit, known.age);
        Some((due, AnnouncedLimit { replica: replica.clone(), born: view.record.born, limit, age }))
    }

    /// Records that a replica has announced a limit to this relay other than the one known.
    pub(super) fn record_limit_change(&mut self, replica: &str, now: MonoTime) {
        self.limits.schedule_report(replica, now);
        self.update_limit_share(replica, now);
    }

    pub(super) fn update_limit_shares(&mut self, now: MonoTime) {
        let is_limited = |view: &&ReplicaView| {
            view.standing.limit().is_some() || view.standing.cold_rate(now).is_some()
        };
        let limited = self.table.all().filter(is_limited);
        let limited: Vec<ReplicaId> = limited.map(|view| view.record.id.clone()).collect();
        for replica in limited {
            self.update_limit_share(&replica, now);
        }
    }

    /// Updates this relay's shares of a replica's request rates: of the limit that it announces, and of its warm-up
    /// rate.
    pub(super) fn update_limit_share(&mut self, replica: &str, now: MonoTime) {
        let Some(view) = self.table.get(replica) else {
            return;
        };
        let (announced, warm_up) = (view.standing.limit(), view.standing.cold_rate(now));
        if let Some(limit) = announced {
            let gap = self.gap_of(replica, limit, LimitKind::Announced);
            self.table.set_limit_gap(replica, gap, now);
        }
        if let Some(rate) = warm_up {
            let gap = self.gap_of(replica, rate, LimitKind::WarmUp);
            self.table.set_warm_up_gap(replica, gap.filter(|_| now >= PEER_DISCOVERY_TIME), now);
        }
    }

    /// Returns the time between two requests of this relay to a replica with a limit; `None` when only other relays
    /// send to it.
    fn gap_of(&self, replica: &str, limit: RateLimit, kind: LimitKind) -> Option<Duration> {
        let relays = self.peers.count();
        let senders = sharing::sender_count(limit, kind, relays, self.rules.policy.sharing);
        // Unreachable relays may be partitioned and go on using their shares.
        let share = FleetSize { reachable: relays, most: self.most_peers }.share();
        let gap = limit.gap().mul_f64(senders as f64 / share);
        (self.peers.rank(replica) < senders).then_some(gap)
    }

    /// Applies the warm-up of a replica if its entry names one. The warm-up ends at a random delay for each relay, so
    /// that relays return to the replica one after the other. Returns whether the warm-up was not known before.
    pub(super) fn apply_warm_up(&mut self, replica: &str, now: MonoTime) -> bool {
        let Some(record) = self.table.get(replica).map(|view| &view.record) else {
            return false;
        };
        let left = record.cold_left;
        let service = self.sheet.as_ref().and_then(|sheet| sheet.service(&record.service));
        let Some(rate) = service.and_then(|service| service.cold_rate) else {
            return false;
        };
        if left.is_zero() {
            return false;
        }
        let until = now + left + self.return_spread();
        let has_changed = self.table.record_warm_up(replica, rate, until, now);
        if has_changed {
            self.update_limit_share(replica, now);
        }
        has_changed
    }

    /// Sets the shares of warm-up rates once the other relays are taken as known.
    pub(super) fn update_warm_up_shares(&mut self, now: MonoTime) {
        if !self.are_peers_known && now >= PEER_DISCOVERY_TIME {
            self.are_peers_known = true;
            self.update_limit_shares(now);
        }
    }
}
