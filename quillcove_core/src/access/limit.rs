//! Usage limits of workspaces, and the rules by which they are judged.
//!
//! A limit applies to the sum over all relays in sliding windows and may be exceeded by a ratio and
//! a number of units. [`super::ledger`] enforces it without a store or a coordinator.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceName;

/// The unit that a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UseUnit {
    /// Requests.
    Requests,
    /// Tokens of prompt and answer.
    Tokens {
        /// Tokens charged for a request that does not state its number of tokens.
        plain: u64,
    },
}

impl UseUnit {
    /// Returns the cost of a request with `tokens` tokens.
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

/// Usage limit of a workspace, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UseLimit {
    /// The unit of `rate` and `burst`.
    pub unit: UseUnit,
    /// Units a second.
    pub rate: f64,
    /// Bucket size: units that may be used at once.
    pub burst: f64,
}

/// How the relays share a workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitRule {
    /// Each relay reports its spending with its heartbeat, and immediately when it is large.
    #[default]
    Prompt,
    /// Each relay reports its spending with its heartbeat only.
    Beacons,
    /// Each relay enforces an equal share and reports nothing.
    Even,
}

/// Rules by which a limit is judged and shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRules {
    /// Sliding window over which usage is summed.
    pub window: Duration,
    /// Ratio of the units allowed in a window by which the limit may be exceeded.
    pub overshoot: f64,
    /// Units by which it may be exceeded in addition.
    pub tolerance: f64,
    /// How the relays share the limit.
    pub rule: LimitRule,
    /// Whether other relays may exist.
    pub has_peers: bool,
}

impl Default for LimitRules {
    /// A typical deployment: a window of 8 s, and no tolerance beside the ratio.
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
    /// Returns the overshoot allowance: the units by which a limit may be exceeded in one window.
    ///
    /// ```
    /// use quillcove_core::access::limit::{LimitRules, UseLimit, UseUnit};
    ///
    /// let limit = UseLimit { unit: UseUnit::Requests, rate: 11.0, burst: 12.0 };
    /// assert_eq!(LimitRules::default().overshoot_allowance(&limit), 25.0);
    /// ```
    pub fn overshoot_allowance(&self, limit: &UseLimit) -> f64 {
        self.overshoot * (limit.rate * self.window.as_secs_f64() + limit.burst) + self.tolerance
    }
}

/// What a request claims from its workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UseClaim {
    /// Tokens of prompt and answer, if the request states them.
    pub tokens: Option<u64>,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
}

/// What a request was charged, refunded if it does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UseCharge {
    /// The workspace that was charged.
    pub workspace: WorkspaceName,
    /// Units.
    pub cost: u64,
}
