//! What a workspace may use, counted over all relays with no store and no coordinator.
//!
//! Each relay keeps an account for each workspace (see [`super::account`]) and tells the others what it
//! has spent, as a total that only the difference to the last one matters of, so that a lost message is
//! made up for by the next. How soon they hear of it is the rule of the policy.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::account::LimitAccount;
use super::workspace::WorkspaceRecord;
use crate::ids::{HostId, Incarnation, MonoTime, WorkspaceName};

/// Relays that a new process takes the fleet for until it has heard it. At the users' largest fleet of
/// 420, a workspace that floods all relays while all start again takes 13 times its limit for the time
/// of [`SETTLE_TIME`] at most; with 25 relays it stays below it.
const FLEET_GUESS: usize = 32;

/// Time after which a relay that has heard no other is taken for the only one: three beacons, and some.
const SETTLE_TIME: Duration = Duration::from_millis(1600);

/// Time after the first other relay was heard until all have been: one beacon, and some.
const HEARD_TIME: Duration = Duration::from_millis(550);

/// Age of a process up to which all that it has spent is news to others.
const YOUNG_TIME: Duration = Duration::from_millis(2500);

/// Time between two prompt messages, for each relay of the fleet: what prompt messages cost a relay does
/// not grow with the fleet. With 25 relays it may send ten a second, with 125 and more only the beacon.
const PROMPT_PACE: Duration = Duration::from_millis(4);

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UseUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer; a request that does not name them counts as a fixed number.
    Tokens {
        /// That number.
        plain: u64,
    },
}

impl UseUnit {
    /// What a request of so many tokens counts.
    ///
    /// ```
    /// use quillcove_core::access::limit::UseUnit;
    ///
    /// let unit = UseUnit::Tokens { plain: 200 };
    /// assert_eq!((unit.cost_of(Some(1540)), unit.cost_of(None)), (1540, 200));
    /// assert_eq!(UseUnit::Requests.cost_of(Some(1540)), 1);
    /// ```
    pub fn cost_of(self, tokens: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// What a workspace may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UseLimit {
    /// What it counts.
    pub unit: UseUnit,
    /// Units a second.
    pub rate: f64,
    /// Units at once beyond that.
    pub burst: f64,
}

/// How the relays share a workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitRule {
    /// Each tells what it spent: with its beacon, and at once when that is much.
    #[default]
    Prompt,
    /// Each tells what it spent with its beacon only.
    Beacons,
    /// Each has an even share, and tells nothing.
    Even,
}

/// How the users judge a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRules {
    /// Span over which use is summed.
    pub window: Duration,
    /// Share of what is allowed in a window by which it may be passed.
    pub overshoot: f64,
    /// Units by which it may be passed besides.
    pub tolerance: f64,
    /// How the relays share it.
    pub rule: LimitRule,
}

impl Default for LimitRules {
    /// A window of the users' deployments, with no tolerance beside their ratio.
    fn default() -> Self {
        let window = Duration::from_secs(8);
        Self { window, overshoot: 0.25, tolerance: 0.0, rule: LimitRule::default() }
    }
}

impl LimitRules {
    /// Units by which a limit may be passed in one window.
    ///
    /// ```
    /// use quillcove_core::access::limit::{LimitRules, UseLimit, UseUnit};
    ///
    /// let limit = UseLimit { unit: UseUnit::Requests, rate: 11.0, burst: 12.0 };
    /// assert_eq!(LimitRules::default().slack(&limit), 25.0);
    /// ```
    pub fn slack(&self, limit: &UseLimit) -> f64 {
        self.overshoot * (limit.rate * self.window.as_secs_f64() + limit.burst) + self.tolerance
    }
}

/// What a request was charged with, to be given back if it does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseCharge {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units.
    pub cost: u64,
}

/// What a relay has spent of one workspace's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpentTotal {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units since the start of the process; falls when something is given back.
    pub total: i64,
}

/// What a relay tells the others of what it has spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendBeacon {
    /// Host of the relay.
    pub host: HostId,
    /// Random number of its process.
    pub incarnation: Incarnation,
    /// Time since its start.
    pub uptime: Duration,
    /// Workspaces of which something is new.
    pub spent: Vec<SpentTotal>,
}

/// The relays as far as shares of limits go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Relays that are heard now, this one included.
    pub heard: usize,
    /// Most that were heard at once. Those that are missing may be cut off and go on with their part.
    pub most: usize,
}

impl FleetSize {
    /// Part of a limit that the relays which hear each other may use.
    fn share(self) -> f64 {
        self.heard as f64 / self.most.max(self.heard).max(1) as f64
    }
}

/// The accounts of one relay.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::access::limit::{LimitLedger, LimitRules, UseLimit, UseUnit};
/// use quillcove_core::access::workspace::WorkspaceRecord;
///
/// let limit = UseLimit { unit: UseUnit::Requests, rate: 1.0, burst: 2.0 };
/// let record = WorkspaceRecord { name: "w".into(), priority: None, limit: Some(limit) };
/// let mut ledger = LimitLedger::new(LimitRules::default());
/// let now = Duration::from_secs(10);
/// assert!(ledger.charge(&record, None, 0, now).is_ok());
/// assert!(ledger.charge(&record, None, 0, now).is_ok());
/// assert!(ledger.charge(&record, None, 0, now).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct LimitLedger {
    rules: LimitRules,
    fleet: FleetSize,
    /// When another relay was first heard.
    heard_at: Option<MonoTime>,
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
            heard_at: None,
            accounts: BTreeMap::new(),
            told_at: MonoTime::ZERO,
        }
    }

    /// Takes over changed rules.
    ///
    /// ```
    /// use quillcove_core::access::limit::{LimitLedger, LimitRules};
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
    /// use quillcove_core::access::limit::{FleetSize, LimitLedger, LimitRules};
    ///
    /// let mut ledger = LimitLedger::new(LimitRules::default());
    /// ledger.set_fleet(FleetSize { heard: 4, most: 4 }, Duration::ZERO);
    /// ```
    pub fn set_fleet(&mut self, fleet: FleetSize, now: MonoTime) {
        if fleet.heard > 1 && self.heard_at.is_none() {
            self.heard_at = Some(now);
        }
        self.fleet = fleet;
    }

    /// Forgets what was heard of a relay that is no longer there. When it is heard again, only what it
    /// spends from then on counts: meanwhile its part was left to it.
    ///
    /// ```
    /// use quillcove_core::access::limit::{LimitLedger, LimitRules};
    ///
    /// LimitLedger::new(LimitRules::default()).forget("front-1");
    /// ```
    pub fn forget(&mut self, host: &str) {
        self.accounts.values_mut().for_each(|account| account.forget(host));
    }

    /// Whether the fleet is known well enough to use this relay's part of it.
    fn is_settled(&self, now: MonoTime) -> bool {
        now >= SETTLE_TIME || self.heard_at.is_some_and(|at| now >= at + HEARD_TIME)
    }

    /// Part of each limit on which this relay's accounts run.
    fn share(&self, now: MonoTime) -> f64 {
        match (self.rules.rule, self.is_settled(now)) {
            (_, false) => 1.0 / FLEET_GUESS.max(self.fleet.heard) as f64,
            (LimitRule::Even, true) => 1.0 / self.fleet.most.max(1) as f64,
            (LimitRule::Prompt | LimitRule::Beacons, true) => self.fleet.share(),
        }
    }

    /// The account of a workspace. One that is new begins with what a process may take that has lost
    /// its accounts: its part of the burst, and what has come in since its start.
    fn account(&mut self, name: &str, limit: UseLimit, now: MonoTime) -> &mut LimitAccount {
        let share = self.share(now);
        if !self.accounts.contains_key(name) {
            let first = limit.burst / FLEET_GUESS as f64;
            self.accounts.insert(name.to_string(), LimitAccount::new(limit, first));
        }
        let account = self.accounts.entry(name.to_string());
        let account = account.or_insert_with(|| LimitAccount::new(limit, 0.0));
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
        tokens: Option<u64>,
        rank: u8,
        now: MonoTime,
    ) -> Result<Option<UseCharge>, Duration> {
        let Some(limit) = workspace.limit else {
            return Ok(None);
        };
        let cost = limit.unit.cost_of(tokens);
        let share = self.share(now);
        let heard = self.fleet.heard.max(1);
        let account = self.account(&workspace.name, limit, now);
        if account.spend(cost, rank, share) {
            return Ok(Some(UseCharge { workspace: workspace.name.clone(), cost }));
        }
        // Each relay calls its refused callers back at its even part of the rate.
        Err(account.come_back(cost, share / heard as f64, now))
    }

    /// Gives back what a request was charged with that did not run.
    ///
    /// ```
    /// use quillcove_core::access::limit::{LimitLedger, LimitRules, UseCharge};
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
    /// use quillcove_core::access::limit::{LimitLedger, LimitRules, SpendBeacon};
    ///
    /// let uptime = Duration::from_secs(1);
    /// let told = SpendBeacon { host: "front-2".into(), incarnation: 1, uptime, spent: Vec::new() };
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
        let floor = self.rules;
        for spent in &told.spent {
            let Some(limit) = limit_of(&spent.workspace) else {
                continue;
            };
            let account = self.account(&spent.workspace, limit, now);
            let lowest = -floor.slack(&limit);
            account.hear(&told.host, told.incarnation, spent.total, is_young, lowest);
        }
    }

    /// What others are to be told now. A beacon tells all that is worth telling; between beacons a relay
    /// tells at once what it has spent much of.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::access::limit::{LimitLedger, LimitRules};
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
    /// use quillcove_core::access::limit::{LimitLedger, LimitRules};
    ///
    /// assert!(LimitLedger::new(LimitRules::default()).account_of("w").is_none());
    /// ```
    pub fn account_of(&self, workspace: &str) -> Option<&LimitAccount> {
        self.accounts.get(workspace)
    }
}
