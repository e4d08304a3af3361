//! The usage account of one workspace at one relay: a token bucket for the whole fleet. The relay's
//! own spending is deducted immediately, that of other relays when their totals arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ledger::HEARD_LIFETIME;
use super::limit::{LimitRules, UseLimit};
use crate::ids::{HostId, Incarnation, MonoTime};

/// Share of the overshoot allowance that all relays together may have spent but not yet reported.
/// The rest covers messages in transit, requests that wait between their charge and their run, and
/// relays that have just been cut off.
const UNREPORTED_SHARE: f64 = 0.3;

/// Share of a relay's unreported limit below which a heartbeat leaves the account out.
const HEARTBEAT_SHARE: f64 = 0.25;

/// Time since its last report for which an account repeats its total to relays that may hear it anew.
const REPEAT_TIME: Duration = Duration::from_secs(10);

/// Time over which the spending that others report is averaged: an interval between two heartbeats.
const REPORTED_RATE_TIME: Duration = Duration::from_millis(500);

/// Mean age of the last reports of other relays that report with heartbeats only.
const MEAN_REPORT_AGE: Duration = Duration::from_millis(250);

/// Largest part of the burst that is set aside for what others have not reported yet.
const MAX_SET_ASIDE: f64 = 0.8;

/// Longest retry delay given to a rejected caller: the load may change too much beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Total that another relay last reported.
#[derive(Clone, Copy, Debug)]
struct PeerTotal {
    incarnation: Incarnation,
    total: i64,
}

/// The usage account of one workspace at one relay.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::access::ledger::LimitLedger;
/// use quillcove_core::access::limit::{LimitRules, UseClaim, UseLimit, UseUnit};
/// use quillcove_core::access::workspace::WorkspaceRecord;
///
/// let limit = UseLimit { unit: UseUnit::Requests, rate: 1.0, burst: 5.0 };
/// let record = WorkspaceRecord { name: "w".into(), priority: None, limit: Some(limit) };
/// let mut ledger = LimitLedger::new(LimitRules::default());
/// ledger.charge(&record, UseClaim::default(), Duration::from_secs(10)).unwrap();
/// let account = ledger.account_of("w").unwrap();
/// assert_eq!((account.level(), account.spent()), (4.0, 1));
/// ```
#[derive(Clone, Debug)]
pub struct LimitAccount {
    limit: UseLimit,
    /// Units that the fleet may still spend, as far as this relay knows; negative after an
    /// overshoot.
    level: f64,
    refilled_at: MonoTime,
    /// Units spent at this relay since the start of the process.
    spent: i64,
    /// Value of `spent` in the last report to the other relays.
    reported: i64,
    /// When `reported` was last set.
    reported_at: MonoTime,
    /// Requests charged since the last report.
    unreported_requests: u32,
    /// Time at which the most recently rejected caller is to retry.
    last_retry_at: MonoTime,
    peer_totals: BTreeMap<HostId, PeerTotal>,
    /// Units that others have reported lately, decaying with [`REPORTED_RATE_TIME`].
    recently_reported: f64,
}

impl LimitAccount {
    pub(super) fn new(limit: UseLimit, level: f64) -> Self {
        Self {
            limit,
            level,
            refilled_at: MonoTime::ZERO,
            spent: 0,
            reported: 0,
            reported_at: MonoTime::ZERO,
            unreported_requests: 0,
            last_retry_at: MonoTime::ZERO,
            peer_totals: BTreeMap::new(),
            recently_reported: 0.0,
        }
    }

    pub(super) fn set_limit(&mut self, limit: UseLimit) {
        self.limit = limit;
    }

    /// Refills the bucket for the time since the last refill. `share` is this relay's part of the
    /// limit.
    pub(super) fn refill(&mut self, share: f64, now: MonoTime) {
        let since_refill = now.saturating_sub(self.refilled_at);
        let passed = since_refill.as_secs_f64();
        self.refilled_at = now;
        self.recently_reported *= (-since_refill.div_duration_f64(REPORTED_RATE_TIME)).exp();
        let filled = self.level + self.limit.rate * share * passed;
        self.level = filled.min(self.limit.burst * share);
    }

    /// Returns whether a cost fits into what this relay alone may spend in total; `None` is
    /// unlimited.
    pub(super) fn is_within(&self, cost: u64, allowance: Option<f64>) -> bool {
        allowance.is_none_or(|allowed| self.spent as f64 + cost as f64 <= allowed)
    }

    /// Lowers the level to one that another relay reported.
    pub(super) fn lower_level(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Deducts what `lost`, the share of the relays that have just been lost, refilled since they
    /// were last heard from.
    pub(super) fn deduct_lost_share(&mut self, share: f64, lost: f64, now: MonoTime) {
        self.refill(share, now);
        self.level -= self.limit.rate * lost * HEARD_LIFETIME.as_secs_f64();
    }

    /// Returns the units that other relays are likely to have spent since their last reports, if they report with
    /// heartbeats only: what they spend in the mean age of a report at the rate of their reports.
    pub(super) fn unreported_by_others(&self, share: f64) -> f64 {
        let age = MEAN_REPORT_AGE.div_duration_f64(REPORTED_RATE_TIME);
        (self.recently_reported.max(0.0) * age).min(self.limit.burst * share * MAX_SET_ASIDE)
    }

    /// Deducts the cost of a request and returns `true` if the level, less `set_aside`, allows it.
    pub(super) fn spend(&mut self, cost: u64, reserve: f64, set_aside: f64, share: f64) -> bool {
        let burst = self.limit.burst * share;
        // A request larger than the whole burst may run when nothing else has been spent.
        let needed = (cost as f64).min(burst);
        let reserve = reserve * share;
        if self.level - set_aside < needed.max((needed + reserve).min(burst)) {
            return false;
        }
        self.level -= cost as f64;
        self.spent = self.spent.saturating_add_unsigned(cost);
        self.unreported_requests += 1;
        true
    }

    pub(super) fn refund(&mut self, cost: u64) {
        self.level += cost as f64;
        self.spent = self.spent.saturating_sub_unsigned(cost);
    }

    /// Returns the time after which a rejected request may retry. Each further rejected caller gets
    /// a later time, as each needs room of its own.
    pub(super) fn schedule_retry(&mut self, cost: u64, share: f64, now: MonoTime) -> Duration {
        let rate = (self.limit.rate * share).max(f64::MIN_POSITIVE);
        let latest = now + MAX_RETRY_AFTER;
        let time = |units: f64| {
            Duration::try_from_secs_f64((units / rate).max(0.0)).unwrap_or(MAX_RETRY_AFTER)
        };
        let room_at = now + time(-self.level).min(MAX_RETRY_AFTER);
        let retry_at = self.last_retry_at.max(room_at) + time(cost as f64).min(MAX_RETRY_AFTER);
        self.last_retry_at = retry_at.min(latest);
        self.last_retry_at - now
    }

    /// Records the total that another relay reported and deducts the increase. If this is the
    /// relay's first report, or the first after a silence, the whole total counts if all of the
    /// relay's spending was to be heard here, and nothing otherwise. Returns the increase.
    pub(super) fn record_total(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        total: i64,
        has_heard_all: bool,
        lowest: f64,
    ) -> i64 {
        let before = match self.peer_totals.get(host) {
            Some(peer) if peer.incarnation == incarnation => peer.total,
            Some(_) => 0,
            None if has_heard_all => 0,
            None => total,
        };
        let spent = total.saturating_sub(before);
        self.recently_reported += spent as f64;
        self.level = (self.level - spent as f64).max(lowest);
        self.peer_totals.insert(host.to_string(), PeerTotal { incarnation, total });
        spent
    }

    pub(super) fn forget(&mut self, host: &str) {
        self.peer_totals.remove(host);
    }

    fn unreported(&self) -> f64 {
        self.spent.abs_diff(self.reported) as f64
    }

    /// Returns the units that each of `relays` relays may have spent without a report.
    fn unreported_limit(&self, rules: &LimitRules, relays: usize) -> f64 {
        rules.overshoot_allowance(&self.limit) * UNREPORTED_SHARE / relays.max(1) as f64
    }

    /// Returns whether the other relays have to be informed before the next heartbeat. A single
    /// request is never urgent: in a fleet with more relays than the workspace has requests a
    /// second, every request would be.
    pub(super) fn is_urgent(&self, rules: &LimitRules, relays: usize) -> bool {
        relays > 1
            && self.unreported_requests > 1
            && self.unreported() >= self.unreported_limit(rules, relays)
    }

    /// Returns the total to report with a heartbeat or an urgent message; `None` if it has changed
    /// too little. With `is_repeated` it is reported unchanged as well, if it has changed lately: a
    /// relay that hears this one again counts only what follows the first total.
    pub(super) fn report_total(
        &mut self,
        rules: &LimitRules,
        relays: usize,
        is_repeated: bool,
        now: MonoTime,
    ) -> Option<i64> {
        let has_changed = self.spent != self.reported
            && self.unreported() >= self.unreported_limit(rules, relays) * HEARTBEAT_SHARE;
        let is_recent = self.spent != 0 && now.saturating_sub(self.reported_at) < REPEAT_TIME;
        let is_due = has_changed || (is_repeated && is_recent);
        if !is_due {
            return None;
        }
        self.reported = self.spent;
        self.reported_at = now;
        self.unreported_requests = 0;
        Some(self.spent)
    }

    /// Returns the units that the workspace may still use, as far as this relay knows.
    ///
    /// See [`LimitAccount`] for an example.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the units spent at this relay since the start of the process.
    ///
    /// See [`LimitAccount`] for an example.
    pub fn spent(&self) -> i64 {
        self.spent
    }
}
