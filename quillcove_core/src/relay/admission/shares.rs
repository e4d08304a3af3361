//! Fair shares of workspaces in the prompt tokens that the engines process in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{MonoTime, WorkspaceName};

/// Half-life of the amounts. Bursts last some seconds, and other relays report twice a second.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Share of the engines' estimated capacity that is divided. Relays estimate it too high, as they count prompts that are
/// half processed as whole ones ahead.
const USABLE_SHARE: f64 = 0.85;

/// Requests of a workspace below which its amount is not judged: a relay of many sees single requests.
const MIN_REQUESTS: f64 = 4.0;

/// Multiple of the fair share up to which a workspace counts as within it, because the amounts are estimates.
const SHARE_TOLERANCE: f64 = 1.1;

/// Share of all that is asked for that workspaces within their shares have to ask for. With less, there is nobody for whom
/// room would have to be left.
const MIN_OTHERS_SHARE: f64 = 0.05;

/// Amounts below this many tokens are forgotten.
const FORGET_TOKENS: f64 = 10.0;

/// How a workspace's use relates to its fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkspaceStanding {
    /// Shares do not matter: there is enough for all, or no workspace for which room would have to be left.
    Unlimited,
    /// It uses no more than its share.
    Within,
    /// It uses more than its share.
    Above,
}

/// Recent amounts of one workspace, which decay.
#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceAmount {
    /// Tokens and number of first attempts at this relay.
    own_tokens: f64,
    own_requests: f64,
    /// Tokens that other relays have reported.
    other_tokens: f64,
}

/// The amounts of all workspaces at one relay.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::admission::shares::{WorkspaceShares, WorkspaceStanding};
///
/// let mut shares = WorkspaceShares::default();
/// for _ in 0..20 {
///     shares.record_request("large", 1000);
/// }
/// for _ in 0..5 {
///     shares.record_request("small", 1000);
/// }
/// shares.update(1, 10_000.0, Duration::ZERO);
/// assert_eq!(shares.standing("large"), WorkspaceStanding::Above);
/// assert_eq!(shares.standing("small"), WorkspaceStanding::Within);
/// assert_eq!(shares.standing("new"), WorkspaceStanding::Within);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    amounts: BTreeMap<WorkspaceName, WorkspaceAmount>,
    /// Fair share, in tokens of all relays; `None` while there is enough for all.
    fair_share: Option<f64>,
    relays: f64,
    updated_at: MonoTime,
}

impl WorkspaceShares {
    /// Records a first attempt of a workspace. Returned requests do not count, so that a workspace does not seem larger
    /// because its requests were rejected.
    ///
    /// See [`WorkspaceShares`] for an example.
    pub fn record_request(&mut self, workspace: &str, tokens: u32) {
        let amount = self.amounts.entry(workspace.to_string()).or_default();
        amount.own_tokens += f64::from(tokens);
        amount.own_requests += 1.0;
    }

    /// Records tokens of a workspace that another relay has reported.
    ///
    /// ```
    /// use quillcove_core::relay::admission::shares::WorkspaceShares;
    ///
    /// WorkspaceShares::default().record_report("w", 1000.0);
    /// ```
    pub fn record_report(&mut self, workspace: &str, tokens: f64) {
        self.amounts.entry(workspace.to_string()).or_default().other_tokens += tokens.max(0.0);
    }

    /// Returns the mean prompt tokens of the requests at this relay; `None` without any.
    ///
    /// ```
    /// use quillcove_core::relay::admission::shares::WorkspaceShares;
    ///
    /// assert_eq!(WorkspaceShares::default().mean_tokens(), None);
    /// ```
    pub fn mean_tokens(&self) -> Option<f64> {
        let requests: f64 = self.amounts.values().map(|amount| amount.own_requests).sum();
        let tokens: f64 = self.amounts.values().map(|amount| amount.own_tokens).sum();
        (requests > 0.0).then(|| tokens / requests)
    }

    /// Lets the amounts decay and computes the fair share anew, for this number of relays and engines that process
    /// `prefill_rate` tokens per second together.
    ///
    /// See [`WorkspaceShares`] for an example.
    pub fn update(&mut self, relays: usize, prefill_rate: f64, now: MonoTime) {
        self.decay(now);
        self.relays = relays.max(1) as f64;
        self.amounts.retain(|_, amount| amount.own_tokens + amount.other_tokens > FORGET_TOKENS);
        // A steady rate has decayed to this multiple of it.
        let window = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let capacity = prefill_rate * window * USABLE_SHARE;
        let demands: Vec<f64> = self.amounts.values().map(|it| it.total(self.relays)).collect();
        let total: f64 = demands.iter().sum();
        let is_ample = total <= capacity;
        let share = fair_share(&demands, capacity);
        let within: f64 = demands.iter().filter(|it| **it <= share * SHARE_TOLERANCE).sum();
        let has_others = within >= total * MIN_OTHERS_SHARE;
        self.fair_share = (!is_ample && has_others).then_some(share);
    }

    /// Returns how a workspace's use relates to its fair share.
    ///
    /// See [`WorkspaceShares`] for an example.
    pub fn standing(&self, workspace: &str) -> WorkspaceStanding {
        let Some(share) = self.fair_share else {
            return WorkspaceStanding::Unlimited;
        };
        let amount = self.amounts.get(workspace).copied().unwrap_or_default();
        let is_judged = amount.own_requests >= MIN_REQUESTS || amount.other_tokens > 0.0;
        match is_judged && amount.total(self.relays.max(1.0)) > share * SHARE_TOLERANCE {
            true => WorkspaceStanding::Above,
            false => WorkspaceStanding::Within,
        }
    }

    fn decay(&mut self, now: MonoTime) {
        let passed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let factor = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for amount in self.amounts.values_mut() {
            amount.own_tokens *= factor;
            amount.own_requests *= factor;
            amount.other_tokens *= factor;
        }
    }
}

impl WorkspaceAmount {
    /// Returns the tokens at all relays. Without reports of other relays, they are taken to receive as much as this one.
    fn total(&self, relays: f64) -> f64 {
        match self.other_tokens > 0.0 {
            true => self.own_tokens + self.other_tokens,
            false => self.own_tokens * relays,
        }
    }
}

/// Returns the largest amount that each workspace can have if all get as much as they ask for up to that amount, and no
/// more than `capacity` together (max-min fairness).
fn fair_share(demands: &[f64], capacity: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let count = demands.len();
    for (index, demand) in demands.iter().enumerate() {
        let even = left / (count - index) as f64;
        if *demand >= even {
            return even;
        }
        left -= demand;
    }
    f64::INFINITY
}
