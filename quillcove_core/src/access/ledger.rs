//! The accounts of one relay: what workspaces may still use, counted over all relays with no store and no
//! coordinator.
//!
//! Each relay keeps an account for each workspace (see [`super::account`]) and tells the others what it
//! has spent, as a total of which only the difference to the last one counts, so that a lost message is
//! made up for by the next. How soon they hear of it is the rule of the policy.

use std::collections::BTreeMap;
use std::time::Duration;

use super::account::LimitAccount;
use super::limit::{LimitRule, LimitRules, UseCharge, UseClaim, UseLimit};
use super::spending::{SpendBeacon, SpentTotal, WorkspaceLevel};
use super::workspace::WorkspaceRecord;
use crate::ids::{MonoTime, WorkspaceName};

/// Part of what a new account holds that is kept for requests of each better rank, so that of a workspace
/// above its limit the least urgent requests are refused first.
const RANK_RESERVE: f64 = 0.1;

/// Ranks that are told apart in this.
const RANKS: u8 = 2;

/// Relays that a new process takes the fleet for until it has heard it. In a fleet that is larger, a workspace that
/// floods all of it while all start again may pass its limit for [`HEARD_TIME`].
const FLEET_GUESS: usize = 32;

/// Time after which a relay that has heard no other is taken for the only one: three beacons, and some.
const SETTLE_TIME: Duration = Duration::from_millis(1600);

/// Time after the last new relay was heard until all are taken for heard: relays that start at once greet each other,
/// and callers are refused until then.
const HEARD_TIME: Duration = Duration::from_millis(150);

/// Time for which a relay that was heard is taken to hear what is spent: two beacons, and some. A fleet that
/// is cut in three while a workspace begins to flood it passes the limit by 0.19 of what the users let
/// pass with three beacons.
pub const HEARD_LIFETIME: Duration = Duration::from_millis(1050);

/// Part of the slack of a limit that a process which has lost its accounts may take as still unspent,
/// when no relay is left that knows better.
const START_SHARE: f64 = 0.4;

/// Age of a process up to which all that it has spent is news to others.
const YOUNG_TIME: Duration = Duration::from_millis(2500);

/// Time between two prompt messages, for each relay of the fleet: what prompt messages cost a relay does
/// not grow with the fleet. With 25 relays it may send ten a second, with 125 and more only the beacon.
const PROMPT_PACE: Duration = Duration::from_millis(4);

/// The relays as far as shares of limits go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Relays that are heard now, this one included.
    pub heard: usize,
    /// Most that were heard at once. Those that are missing may be cut off and go on with their part.
    pub most: usize,
}

impl FleetSize {
    /// Part of a limit that the relays which hear each other may use: theirs, and of those who are missing
    /// half of it when they are fewer. Missing relays are mostly dead, and their callers come to the others;
    /// if they are cut off instead, each side is a minority or they use a quarter too much together at most.
    pub(crate) fn share(self) -> f64 {
        let most = self.most.max(self.heard).max(1) as f64;
        let own = self.heard as f64 / most;
        if own > 0.5 { (1.0 + own) / 2.0 } else { own }
    }
}

/// The accounts of one relay.
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
    /// When the fleet last grew.
    grown_at: Option<MonoTime>,
    /// Whether the fleet was found to be known.
    is_settled: bool,
    /// What workspaces may still use by the words of relays that were there before this one.
    first_levels: BTreeMap<WorkspaceName, f64>,
    accounts: BTreeMap<WorkspaceName, LimitAccount>,
    /// When others were last told.
    told_at: MonoTime,
}

impl LimitLedger {
    /// A ledger of a process that starts.
    ///
    /// See [`LimitLedger`] for an example.
    pub fn new(rules: LimitRules) -> Self {
        Self {
            rules,
            fleet: FleetSize { heard: 1, most: 1 },
            grown_at: None,
            is_settled: !rules.has_peers,
            first_levels: BTreeMap::new(),
            accounts: BTreeMap::new(),
            told_at: MonoTime::ZERO,
        }
    }

    /// Takes over changed rules.
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

    /// Takes what is known of the fleet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::{FleetSize, LimitLedger};
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// let mut ledger = LimitLedger::new(LimitRules::default());
    /// ledger.set_fleet(FleetSize { heard: 4, most: 4 }, Duration::ZERO);
    /// ```
    pub fn set_fleet(&mut self, fleet: FleetSize, now: MonoTime) {
        if fleet.heard > self.fleet.heard {
            self.grown_at = Some(now);
        }
        let before = self.share();
        self.fleet = fleet;
        let lost = before - self.share();
        if lost > 0.0 {
            // Until now, those who are missing were taken to tell what they spend. They went on with their
            // part, and this side took it as well.
            let spent = |account: &mut LimitAccount| account.take_missed(before, lost, now);
            self.accounts.values_mut().for_each(spent);
        }
        // Later changes of the fleet are those of a fleet that is known.
        let is_heard = self.grown_at.is_some_and(|at| now >= at + HEARD_TIME);
        self.is_settled |= is_heard || now >= SETTLE_TIME;
    }

    /// Forgets what was heard of a relay that is no longer there. When it is heard again, only what it
    /// spends from then on counts: meanwhile its part was left to it.
    ///
    /// ```
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// LimitLedger::new(LimitRules::default()).forget("front-1");
    /// ```
    pub fn forget(&mut self, host: &str) {
        self.accounts.values_mut().for_each(|account| account.forget(host));
    }

    /// Part of each limit on which this relay's accounts run.
    fn share(&self) -> f64 {
        match self.rules.rule {
            LimitRule::Even => 1.0 / self.fleet.most.max(1) as f64,
            LimitRule::Prompt | LimitRule::Beacons => self.fleet.share(),
        }
    }

    /// Units that a process which knows nothing of a workspace's use takes as unspent.
    fn start_level(&self, limit: &UseLimit) -> f64 {
        limit.burst.min(self.rules.slack(limit) * START_SHARE)
    }

    /// Units that this relay may have spent while it does not know the fleet; `None` once it does.
    fn own_allowance(&self, limit: &UseLimit, now: MonoTime) -> Option<f64> {
        let relays = FLEET_GUESS.max(self.fleet.heard) as f64;
        let allowed = self.start_level(limit) + limit.rate * now.as_secs_f64();
        (!self.is_settled && now < SETTLE_TIME).then(|| allowed / relays)
    }

    /// The account of a workspace. A new one holds what relays that were there before this one say, or
    /// what was left at the start and has come in since.
    fn account(&mut self, name: &str, limit: UseLimit, now: MonoTime) -> &mut LimitAccount {
        let share = self.share();
        let first = self.start_level(&limit);
        let first = self.first_levels.get(name).map_or(first, |told| told.min(first));
        let account = self.accounts.entry(name.to_string());
        let account = account.or_insert_with(|| LimitAccount::new(limit, first));
        account.set_limit(limit);
        account.fill(share, now);
        account
    }

    /// Charges a request to its workspace; `None` where that has no limit.
    ///
    /// # Errors
    ///
    /// The time after which there will be room, when there is none now.
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
        let heard = self.fleet.heard.max(1);
        let reserve = self.start_level(&limit) * RANK_RESERVE * f64::from(claim.rank.min(RANKS));
        let allowance = self.own_allowance(&limit, now);
        let account = self.account(&workspace.name, limit, now);
        if !account.is_within(cost, allowance) {
            return Err(HEARD_TIME);
        }
        if account.spend(cost, reserve, share) {
            return Ok(Some(UseCharge { workspace: workspace.name.clone(), cost }));
        }
        // Each relay calls its refused callers back at its even part of the rate.
        Err(account.come_back(cost, share / heard as f64, now))
    }

    /// Gives back what a request was charged with that did not run.
    ///
    /// ```
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::{LimitRules, UseCharge};
    ///
    /// let charge = UseCharge { workspace: "w".into(), cost: 1 };
    /// LimitLedger::new(LimitRules::default()).give_back(&charge);
    /// ```
    pub fn give_back(&mut self, charge: &UseCharge) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            account.give_back(charge.cost);
        }
    }

    /// Takes what another relay has spent. Of workspaces that were not met here yet, `limit_of` tells the
    /// limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    /// use quillcove_core::access::spending::SpendBeacon;
    ///
    /// let uptime = Duration::from_secs(1);
    /// let (spent, levels) = (Vec::new(), Vec::new());
    /// let told = SpendBeacon { host: "front-2".into(), incarnation: 1, uptime, spent, levels };
    /// LimitLedger::new(LimitRules::default()).take_told(&told, |_| None, Duration::ZERO);
    /// ```
    pub fn take_told(
        &mut self,
        told: &SpendBeacon,
        limit_of: impl Fn(&str) -> Option<UseLimit>,
        now: MonoTime,
    ) {
        if self.rules.rule == LimitRule::Even {
            return;
        }
        let is_young = told.uptime < YOUNG_TIME;
        self.take_levels(told, now);
        let rules = self.rules;
        for spent in &told.spent {
            let Some(limit) = limit_of(&spent.workspace) else {
                continue;
            };
            let account = self.account(&spent.workspace, limit, now);
            let lowest = -rules.slack(&limit);
            account.hear(&told.host, told.incarnation, spent.total, is_young, lowest);
        }
    }

    /// Takes the levels of a relay that was there before this one.
    fn take_levels(&mut self, told: &SpendBeacon, now: MonoTime) {
        if told.uptime <= now {
            return;
        }
        for level in &told.levels {
            let units = level.units as f64;
            let first = self.first_levels.entry(level.workspace.clone()).or_insert(units);
            *first = first.min(units);
            if let Some(account) = self.accounts.get_mut(&level.workspace) {
                account.lower(units);
            }
        }
    }

    /// What all workspaces may still use, for a relay that has just been heard for the first time; nothing
    /// from one that does not know it itself.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// assert!(LimitLedger::new(LimitRules::default()).levels(Duration::ZERO).is_empty());
    /// ```
    pub fn levels(&mut self, now: MonoTime) -> Vec<WorkspaceLevel> {
        if now < YOUNG_TIME || self.rules.rule == LimitRule::Even {
            return Vec::new();
        }
        let share = self.share();
        let level = |(name, account): (&WorkspaceName, &mut LimitAccount)| {
            account.fill(share, now);
            WorkspaceLevel { workspace: name.clone(), units: account.level() as i64 }
        };
        self.accounts.iter_mut().map(level).collect()
    }

    /// What others are to be told now. A beacon tells all that is worth telling; between beacons a relay
    /// tells at once what it has spent much of.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::ledger::LimitLedger;
    /// use quillcove_core::access::limit::LimitRules;
    ///
    /// let mut ledger = LimitLedger::new(LimitRules::default());
    /// assert!(ledger.tell(true, Duration::ZERO).is_empty());
    /// ```
    pub fn tell(&mut self, is_beacon: bool, now: MonoTime) -> Vec<SpentTotal> {
        if self.rules.rule == LimitRule::Even || !(is_beacon || self.is_urgent(now)) {
            return Vec::new();
        }
        self.told_at = now;
        let (rules, relays) = (self.rules, self.fleet.heard);
        let mut spent = Vec::new();
        for (name, account) in &mut self.accounts {
            if let Some(total) = account.tell(&rules, relays) {
                spent.push(SpentTotal { workspace: name.clone(), total });
            }
        }
        spent
    }

    /// Whether something was spent that others have to know before the next beacon.
    fn is_urgent(&self, now: MonoTime) -> bool {
        let pace = PROMPT_PACE * self.fleet.heard as u32;
        let is_paced = now.saturating_sub(self.told_at) >= pace;
        let (rules, relays) = (&self.rules, self.fleet.heard);
        self.rules.rule == LimitRule::Prompt
            && is_paced
            && self.accounts.values().any(|account| account.is_urgent(rules, relays))
    }

    /// The account of a workspace that was met here.
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
