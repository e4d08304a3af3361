//! The usage accounts of one relay. Limits apply to all relays together, without a store or a
//! coordinator.
//!
//! Each relay holds an account for each workspace (see [`super::account`]) and reports its spending
//! to the other relays as a running total. Receivers count only the difference from the previous
//! total, so the next message makes up for a lost one. The [`LimitRule`] determines how soon the
//! others are informed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::account::LimitAccount;
use super::limit::{LimitRule, LimitRules, UseCharge, UseClaim, UseLimit, UseUnit};
use super::spending::{SpentTotal, UsageReport, WorkspaceLevel};
use super::workspace::WorkspaceRecord;
use crate::ids::{HostId, MonoTime, WorkspaceName};
use crate::relay::telling::SHORTEST_INTERVAL;

/// Part of [`STARTUP_SHARE`] that is reserved per rank for more urgent requests, so that a
/// workspace above its limit has its least urgent requests rejected first.
const RANK_RESERVE: f64 = 0.1;

/// Highest rank that the reserve distinguishes.
const MAX_RANK: u8 = 2;

/// Fleet size that a new process assumes before it has heard from any other relay. In a larger
/// fleet that restarts all at once, a workspace that floods all relays may exceed its limit for
/// [`DISCOVERY_QUIET_TIME`].
const ASSUMED_FLEET_SIZE: usize = 32;

/// Time after which a relay that has heard from no other assumes that it is alone: a little more
/// than three heartbeats.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1600);

/// Time without a new relay after which the fleet is taken as complete: relays that start together
/// greet each other at once. Callers above the startup allowance are rejected until then.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(150);

/// Time after its last message for which a relay is assumed to receive reports: a little more than
/// two heartbeats. With three heartbeats, a fleet that is cut in three while a workspace begins to
/// flood it exceeds the limit by 0.19 of the overshoot allowance.
pub const HEARD_LIFETIME: Duration = Duration::from_millis(1050);

/// Share of the overshoot allowance that a process without accounts takes as unspent when no other
/// relay knows the real level. Each restart of all relays within a window adds as much.
const INITIAL_SHARE: f64 = 0.25;

/// Share of the overshoot allowance that all relays together may spend at once while they do not know each other.
const STARTUP_SHARE: f64 = 0.4;

/// Uptime of a relay up to which its whole total counts as not yet known to other relays, and up to which relays count
/// as started together.
const RECENT_START_AGE: Duration = Duration::from_millis(2500);

/// Interval between two urgent reports, for each relay of the fleet, so that the cost of urgent
/// reports for a relay does not grow with the fleet. With 25 relays, one relay may send ten a
/// second; with 125 and more, only heartbeats.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(4);

/// Number of relays among which limits are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Relays that are currently reachable, this one included.
    pub reachable: usize,
    /// Highest number of relays that were reachable at once. Those now missing may be cut off and
    /// still spend their share.
    pub most: usize,
}

impl FleetSize {
    /// Returns the share of a limit that the reachable relays may use: their own part, and half of
    /// the part of the missing relays if those are the minority. Missing relays have mostly failed,
    /// and their callers move to the others. If the missing relays are cut off instead, either each
    /// side is a minority or both sides together exceed the limit by a quarter at most.
    pub(crate) fn share(self) -> f64 {
        let most = self.most.max(self.reachable).max(1) as f64;
        let own = self.reachable as f64 / most;
        if own > 0.5 { (1.0 + own) / 2.0 } else { own }
    }
}

/// The usage accounts of one relay.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::access::ledger::LimitLedger;
/// use quillcove_core::access::limit::{LimitRules, UseClaim, UseLimit, UseUnit};
/// use quillcove_core::access::workspace::WorkspaceRecord;
///
/// let limit = UseLimit { unit: UseUnit::Requests, rate: 1.0, burst: 2.0 };
/// let record = WorkspaceRecord { name: "w".into(), priority: None, limit: Some(limit) };
/// let mut ledger = LimitLedger::new(LimitRules::default());
/// let now = Duration::from_secs(10);
/// assert!(ledger.charge(&record, UseClaim::default(), now).is_ok());
/// assert!(ledger.charge(&record, UseClaim::default(), now).is_ok());
/// assert!(ledger.charge(&record, UseClaim::default(), now).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct LimitLedger {
    rules: LimitRules,
    fleet: FleetSize,
    /// When the number of relays was last updated.
    fleet_updated_at: MonoTime,
    /// When the number of reachable relays last grew.
    fleet_grown_at: Option<MonoTime>,
    /// Whether the fleet is known; never reset.
    is_fleet_known: bool,
    /// Levels reported by relays that were running before this one started.
    peer_levels: BTreeMap<WorkspaceName, f64>,
    accounts: BTreeMap<WorkspaceName, LimitAccount>,
    /// Since when relays have been heard without a gap; the others since the start of this process. Some 50 bytes for
    /// each host that was ever heard.
    heard_since: BTreeMap<HostId, MonoTime>,
    /// When the other relays were last informed.
    reported_at: MonoTime,
}

impl LimitLedger {
    /// Creates the ledger of a process that starts.
    ///
    /// See [`LimitLedger`] for an example.
    pub fn new(rules: LimitRules) -> Self {
        Self {
            rules,
            fleet: FleetSize { reachable: 1, most: 1 },
            fleet_updated_at: MonoTime::ZERO,
            fleet_grown_at: None,
            is_fleet_known: !rules.has_peers,
            peer_levels: BTreeMap::new(),
            accounts: BTreeMap::new(),
            heard_since: BTreeMap::new(),
            reported_at: MonoTime::ZERO,
        }
    }

    /// Replaces the rules.
    ///
    /// ```
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// LimitLedger::new(LimitRules::default()).set_rules(LimitRules::default());
    /// ```
    pub fn set_rules(&mut self, rules: LimitRules) {
        self.rules = rules;
    }

    /// Updates the number of relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::{FleetSize, LimitLedger};
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// let mut ledger = LimitLedger::new(LimitRules::default());
    /// ledger.set_fleet(FleetSize { reachable: 4, most: 4 }, Duration::ZERO);
    /// ```
    pub fn set_fleet(&mut self, fleet: FleetSize, now: MonoTime) {
        if fleet.reachable > self.fleet.reachable {
            self.fleet_grown_at = Some(now);
        }
        let before = self.share();
        self.fleet = fleet;
        self.fleet_updated_at = now;
        let lost = before - self.share();
        if lost > 0.0 {
            // Until now the missing relays were assumed to report their spending. In fact they went
            // on with their own share while this side spent that share too.
            let deduct = |account: &mut LimitAccount| account.deduct_lost_share(before, lost, now);
            self.accounts.values_mut().for_each(deduct);
        }
        // The fleet stays known: later changes of its size do not start a new settling period.
        let is_discovered = self.fleet_grown_at.is_some_and(|at| now >= at + DISCOVERY_QUIET_TIME);
        self.is_fleet_known |= is_discovered || now >= DISCOVERY_TIMEOUT;
    }

    /// Removes the totals of a relay that is gone. If it is heard from again, only its spending
    /// from then on counts, because its share was left to it in the meantime.
    ///
    /// ```
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// LimitLedger::new(LimitRules::default()).forget("front-1");
    /// ```
    pub fn forget(&mut self, host: &str) {
        self.accounts.values_mut().for_each(|account| account.forget(host));
        self.heard_since.insert(host.to_string(), self.fleet_updated_at);
    }

    /// Records that a relay is heard for the first time, or for the first time since it was forgotten. What it spent
    /// before is not known here.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// LimitLedger::new(LimitRules::default()).record_contact("front-1", Duration::from_secs(60));
    /// ```
    pub fn record_contact(&mut self, host: &str, now: MonoTime) {
        self.heard_since.insert(host.to_string(), now);
    }

    /// Returns whether all that a relay has spent since its start was reported to this process: it started no earlier,
    /// and has been heard ever since.
    fn has_heard_all(&self, report: &UsageReport, now: MonoTime) -> bool {
        let heard_since = self.heard_since.get(&report.host).copied().unwrap_or_default();
        report.uptime < now.saturating_sub(heard_since) + RECENT_START_AGE
    }

    /// Returns the part of each limit that refills this relay's accounts.
    fn share(&self) -> f64 {
        match self.rules.rule {
            LimitRule::Even => 1.0 / self.fleet.most.max(1) as f64,
            LimitRule::Prompt | LimitRule::Beacons => self.fleet.share(),
        }
    }

    /// Returns a share of the units by which a limit may be exceeded, at most the burst.
    fn allowance_part(&self, limit: &UseLimit, share: f64) -> f64 {
        limit.burst.min(self.rules.overshoot_allowance(limit) * share)
    }

    /// Returns the units that this relay may have spent while the fleet is not known; `None` once
    /// it is.
    fn startup_allowance(&self, limit: &UseLimit, now: MonoTime) -> Option<f64> {
        let allowed = self.allowance_part(limit, STARTUP_SHARE) + limit.rate * now.as_secs_f64();
        (!self.is_fleet_known && now < DISCOVERY_TIMEOUT)
            .then(|| allowed / self.assumed_fleet_size(now))
    }

    /// Returns the number of relays that have to be expected while the fleet is not known. The longer no further relay
    /// has appeared, the fewer may be missing: the number falls from [`ASSUMED_FLEET_SIZE`] to that of the reachable
    /// relays within [`DISCOVERY_QUIET_TIME`].
    fn assumed_fleet_size(&self, now: MonoTime) -> f64 {
        let reachable = self.fleet.reachable as f64;
        let ratio = (ASSUMED_FLEET_SIZE as f64 / reachable).max(1.0);
        let quiet = self.fleet_grown_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let quiet = quiet.div_duration_f64(DISCOVERY_QUIET_TIME).min(1.0);
        reachable * ratio.powf(1.0 - quiet)
    }

    /// Returns the account of a workspace, refilled. A new account starts with the level reported
    /// by relays that were running before this one, but not above the initial level.
    fn account(&mut self, name: &str, limit: UseLimit, now: MonoTime) -> &mut LimitAccount {
        let share = self.share();
        let first = self.allowance_part(&limit, INITIAL_SHARE);
        let first = self.peer_levels.get(name).map_or(first, |level| level.min(first));
        let account = self.accounts.entry(name.to_string());
        let account = account.or_insert_with(|| LimitAccount::new(limit, first));
        account.set_limit(limit);
        account.refill(share, now);
        account
    }

    /// Charges a request to its workspace; returns `None` if the workspace has no limit.
    ///
    /// # Errors
    ///
    /// The time after which the limit will have room, if it has none now.
    ///
    /// See [`LimitLedger`] for an example.
    pub fn charge(
        &mut self,
        workspace: &WorkspaceRecord,
        claim: UseClaim,
        now: MonoTime,
    ) -> Result<Option<UseCharge>, Duration> {
        let Some(limit) = workspace.limit else {
            return Ok(None);
        };
        let cost = limit.unit.cost_of(claim.tokens);
        let share = self.share();
        let heard = self.fleet.reachable.max(1);
        let reserve = self.allowance_part(&limit, STARTUP_SHARE)
            * RANK_RESERVE
            * f64::from(claim.rank.min(MAX_RANK));
        let allowance = self.startup_allowance(&limit, now);
        let has_urgent_reports = self.urgent_report_interval() < SHORTEST_INTERVAL;
        let account = self.account(&workspace.name, limit, now);
        if !account.is_within(cost, allowance) {
            return Err(DISCOVERY_QUIET_TIME);
        }
        let set_aside = match has_urgent_reports {
            true => 0.0,
            false => account.unreported_by_others(share),
        };
        if account.spend(cost, reserve, set_aside, share) {
            return Ok(Some(UseCharge { workspace: workspace.name.clone(), cost }));
        }
        // Each relay schedules the retries of its rejected callers at its even share of the rate.
        Err(account.schedule_retry(cost, share / heard as f64, now))
    }

    /// Refunds the charge of a request that did not run.
    ///
    /// ```
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::{LimitRules, UseCharge};
    ///
    /// let charge = UseCharge { workspace: "w".into(), cost: 1 };
    /// LimitLedger::new(LimitRules::default()).refund(&charge);
    /// ```
    pub fn refund(&mut self, charge: &UseCharge) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            account.refund(charge.cost);
        }
    }

    /// Records the spending that another relay reports. `limit_of` returns the limit of a workspace
    /// that has no account here yet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    /// use quillcove_core::access::spending::UsageReport;
    ///
    /// let uptime = Duration::from_secs(1);
    /// let (spent, levels) = (Vec::new(), Vec::new());
    /// let report = UsageReport { host: "front-2".into(), incarnation: 1, uptime, spent, levels };
    /// LimitLedger::new(LimitRules::default()).record_report(&report, |_| None, Duration::ZERO);
    /// ```
    pub fn record_report(
        &mut self,
        report: &UsageReport,
        limit_of: impl Fn(&str) -> Option<UseLimit>,
        now: MonoTime,
    ) {
        self.record_increases(report, limit_of, now);
    }

    /// Like [`Self::record_report`], and returns by how much the spending of each workspace has increased, with the
    /// unit of its limit.
    pub(crate) fn record_increases(
        &mut self,
        report: &UsageReport,
        limit_of: impl Fn(&str) -> Option<UseLimit>,
        now: MonoTime,
    ) -> Vec<(WorkspaceName, UseUnit, i64)> {
        let mut increases = Vec::new();
        if self.rules.rule == LimitRule::Even {
            return increases;
        }
        let has_heard_all = self.has_heard_all(report, now);
        self.adopt_levels(report, now);
        let rules = self.rules;
        for spent in &report.spent {
            let Some(limit) = limit_of(&spent.workspace) else {
                continue;
            };
            let account = self.account(&spent.workspace, limit, now);
            let lowest = -rules.overshoot_allowance(&limit);
            let increase = account.record_total(
                &report.host,
                report.incarnation,
                spent.total,
                has_heard_all,
                lowest,
            );
            increases.push((spent.workspace.clone(), limit.unit, increase));
        }
        increases
    }

    /// Adopts the levels reported by a relay that was running before this one started.
    fn adopt_levels(&mut self, report: &UsageReport, now: MonoTime) {
        if report.uptime <= now {
            return;
        }
        for level in &report.levels {
            let units = level.units as f64;
            let first = self.peer_levels.entry(level.workspace.clone()).or_insert(units);
            *first = first.min(units);
            if let Some(account) = self.accounts.get_mut(&level.workspace) {
                account.lower_level(units);
            }
        }
    }

    /// Returns the levels of all workspaces, to be sent to a relay that has just been discovered.
    /// Empty while this process has just started and does not know them itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// assert!(LimitLedger::new(LimitRules::default()).levels(Duration::ZERO).is_empty());
    /// ```
    pub fn levels(&mut self, now: MonoTime) -> Vec<WorkspaceLevel> {
        if now < RECENT_START_AGE || self.rules.rule == LimitRule::Even {
            return Vec::new();
        }
        let share = self.share();
        let level = |(name, account): (&WorkspaceName, &mut LimitAccount)| {
            account.refill(share, now);
            WorkspaceLevel { workspace: name.clone(), units: account.level() as i64 }
        };
        self.accounts.iter_mut().map(level).collect()
    }

    /// Returns the totals to report now. With a heartbeat these are all that have changed enough, and
    /// in the heartbeats after another relay was heard anew also those that have changed lately;
    /// between heartbeats there are any only if some spending is urgent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// let mut ledger = LimitLedger::new(LimitRules::default());
    /// assert!(ledger.tell(true, Duration::ZERO).is_empty());
    /// ```
    pub fn tell(&mut self, is_heartbeat: bool, now: MonoTime) -> Vec<SpentTotal> {
        if self.rules.rule == LimitRule::Even || !(is_heartbeat || self.is_urgent(now)) {
            return Vec::new();
        }
        self.reported_at = now;
        let (rules, relays) = (self.rules, self.fleet.reachable);
        let has_grown = self.fleet_grown_at.is_some_and(|at| now < at + HEARD_LIFETIME);
        let is_repeated = is_heartbeat && has_grown;
        let mut spent = Vec::new();
        for (name, account) in &mut self.accounts {
            if let Some(total) = account.report_total(&rules, relays, is_repeated, now) {
                spent.push(SpentTotal { workspace: name.clone(), total });
            }
        }
        spent
    }

    fn urgent_report_interval(&self) -> Duration {
        URGENT_REPORT_INTERVAL * self.fleet.reachable as u32
    }

    /// Returns whether some spending has to be reported before the next heartbeat.
    fn is_urgent(&self, now: MonoTime) -> bool {
        let is_interval_over =
            now.saturating_sub(self.reported_at) >= self.urgent_report_interval();
        let (rules, relays) = (&self.rules, self.fleet.reachable);
        self.rules.rule == LimitRule::Prompt
            && is_interval_over
            && self.accounts.values().any(|account| account.is_urgent(rules, relays))
    }

    /// Returns the account of a workspace, if this relay has one.
    ///
    /// ```
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// assert!(LimitLedger::new(LimitRules::default()).account_of("w").is_none());
    /// ```
    pub fn account_of(&self, workspace: &str) -> Option<&LimitAccount> {
        self.accounts.get(workspace)
    }
}
