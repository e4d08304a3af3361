//! What one relay believes of a workspace's use: a token bucket for the whole fleet, from which it takes
//! what it spends itself at once and what others spend when it hears of it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ledger::HEARD_LIFETIME;
use super::limit::{LimitRules, UseLimit};
use crate::ids::{HostId, Incarnation, MonoTime};

/// Part of the slack of a limit that all relays together may have spent without telling. The rest is for
/// messages on their way, for requests that wait between their charge and their run, and for relays that
/// have just been cut off.
const UNTOLD_SHARE: f64 = 0.3;

/// Part of what a relay may spend without telling that its beacon does not mention.
const BEACON_SHARE: f64 = 0.25;

/// Longest time after which a refused caller is told to come back: beyond it, too much may have changed.
const LONGEST_RETURN: Duration = Duration::from_secs(10);

/// What another relay has spent, as last heard.
#[derive(Clone, Copy, Debug)]
struct HeardTotal {
    incarnation: Incarnation,
    total: i64,
}

/// The account of one workspace at one relay.
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
    /// Units that the fleet may still spend, as far as is known here; below zero when more was spent.
    level: f64,
    filled_at: MonoTime,
    /// Units spent here since the start of the process.
    spent: i64,
    /// The same as others were last told.
    told: i64,
    /// Requests charged since then.
    untold_requests: u32,
    /// When the last refused caller was told to come back.
    returns_until: MonoTime,
    heard: BTreeMap<HostId, HeardTotal>,
}

impl LimitAccount {
    pub(super) fn new(limit: UseLimit, level: f64) -> Self {
        Self {
            limit,
            level,
            filled_at: MonoTime::ZERO,
            spent: 0,
            told: 0,
            untold_requests: 0,
            returns_until: MonoTime::ZERO,
            heard: BTreeMap::new(),
        }
    }

    pub(super) fn set_limit(&mut self, limit: UseLimit) {
        self.limit = limit;
    }

    /// Adds what has come in since the last time, for a part of the limit.
    pub(super) fn fill(&mut self, share: f64, now: MonoTime) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let filled = self.level + self.limit.rate * share * passed;
        self.level = filled.min(self.limit.burst * share);
    }

    /// Whether this relay may spend so much more of an allowance of its own.
    pub(super) fn is_within(&self, cost: u64, allowance: Option<f64>) -> bool {
        allowance.is_none_or(|allowed| self.spent as f64 + cost as f64 <= allowed)
    }

    /// Takes over a level that another relay knows.
    pub(super) fn lower(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Takes what a lost share of the limit brought in since those who are missing were last heard.
    pub(super) fn take_missed(&mut self, share: f64, lost: f64, now: MonoTime) {
        self.fill(share, now);
        self.level -= self.limit.rate * lost * HEARD_LIFETIME.as_secs_f64();
    }

    /// Takes the cost of a request if there is room for it; tells whether there was.
    pub(super) fn spend(&mut self, cost: u64, reserve: f64, share: f64) -> bool {
        let burst = self.limit.burst * share;
        // One that is larger than the whole burst may go when nothing else was spent.
        let needed = (cost as f64).min(burst);
        let reserve = reserve * share;
        if self.level < needed.max((needed + reserve).min(burst)) {
            return false;
        }
        self.level -= cost as f64;
        self.spent = self.spent.saturating_add_unsigned(cost);
        self.untold_requests += 1;
        true
    }

    pub(super) fn give_back(&mut self, cost: u64) {
        self.level += cost as f64;
        self.spent = self.spent.saturating_sub_unsigned(cost);
    }

    /// When a refused request may come back. Callers that are told after it come later, as each needs
    /// room of its own.
    pub(super) fn come_back(&mut self, cost: u64, share: f64, now: MonoTime) -> Duration {
        let rate = (self.limit.rate * share).max(f64::MIN_POSITIVE);
        let longest = now + LONGEST_RETURN;
        let time = |units: f64| {
            Duration::try_from_secs_f64((units / rate).max(0.0)).unwrap_or(LONGEST_RETURN)
        };
        let room_at = now + time(-self.level).min(LONGEST_RETURN);
        let returns_at = self.returns_until.max(room_at) + time(cost as f64).min(LONGEST_RETURN);
        self.returns_until = returns_at.min(longest);
        self.returns_until - now
    }

    /// Takes another relay's total. Of a relay that is heard for the first time, or again after a
    /// silence, all counts if it has just started, and nothing otherwise.
    pub(super) fn hear(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        total: i64,
        is_young: bool,
        lowest: f64,
    ) {
        let before = match self.heard.get(host) {
            Some(heard) if heard.incarnation == incarnation => heard.total,
            Some(_) => 0,
            None if is_young => 0,
            None => total,
        };
        let spent = total.saturating_sub(before);
        self.level = (self.level - spent as f64).max(lowest);
        self.heard.insert(host.to_string(), HeardTotal { incarnation, total });
    }

    pub(super) fn forget(&mut self, host: &str) {
        self.heard.remove(host);
    }

    fn untold(&self) -> f64 {
        self.spent.abs_diff(self.told) as f64
    }

    /// Units that one of so many relays may have spent without telling.
    fn untold_limit(&self, rules: &LimitRules, relays: usize) -> f64 {
        rules.slack(&self.limit) * UNTOLD_SHARE / relays.max(1) as f64
    }

    /// Whether others have to know before the next beacon. One request alone is never that: in a fleet
    /// with more relays than a workspace has requests a second, each of them would be.
    pub(super) fn is_urgent(&self, rules: &LimitRules, relays: usize) -> bool {
        relays > 1 && self.untold_requests > 1 && self.untold() >= self.untold_limit(rules, relays)
    }

    /// The total to tell others, if it is worth it.
    pub(super) fn tell(&mut self, rules: &LimitRules, relays: usize) -> Option<i64> {
        if self.spent == self.told
            || self.untold() < self.untold_limit(rules, relays) * BEACON_SHARE
        {
            return None;
        }
        self.told = self.spent;
        self.untold_requests = 0;
        Some(self.spent)
    }

    /// Units that the workspace may still use, as far as is known here.
    ///
    /// See [`LimitAccount`] for an example.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Units spent here since the start of the process.
    ///
    /// See [`LimitAccount`] for an example.
    pub fn spent(&self) -> i64 {
        self.spent
    }
}
