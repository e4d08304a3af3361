//! What a workspace may use, and how the users judge it.
//!
//! The users sum it over all relays in sliding windows and let it be passed by a ratio and a number of
//! units. [`super::ledger`] keeps to it with no store and no coordinator.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceName;

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
    /// Whether there may be other relays.
    pub has_peers: bool,
}

impl Default for LimitRules {
    /// A window of the users' deployments, with no tolerance beside their ratio.
    fn default() -> Self {
        let window = Duration::from_secs(8);
        Self {
            window,
            overshoot: 0.25,
            tolerance: 0.0,
            rule: LimitRule::default(),
            has_peers: true,
        }
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

/// What a request asks of its workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UseClaim {
    /// Tokens of prompt and answer, when it says so.
    pub tokens: Option<u64>,
    /// Rank of its route, 0 first.
    pub rank: u8,
}

/// What a request was charged with, to be given back if it does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseCharge {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units.
    pub cost: u64,
}
