//! Retry budgets, one per service: this relay's share of the retries that all relays may make.

use super::RelayMachine;
use crate::entry::retry::RetryBudget;

/// Retries that a relay has when it starts, and the minimum that it may accumulate however many relays
/// there are. The common limit holds as long as it is no less than the number of relays.
const MIN_RETRIES: f64 = 1.0;

impl RelayMachine {
    /// Returns the retry budget of a service, created at its first use.
    pub(super) fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (share, capacity) = (self.rules.retry_share, self.retry_capacity());
        let new_budget =
            || RetryBudget::with_initial_retries(share, capacity, capacity.min(MIN_RETRIES));
        self.budgets.entry(service.to_string()).or_insert_with(new_budget)
    }

    /// Returns the number of retries that this relay may accumulate: an even share of the common limit, so that all
    /// relays together stay within it. A relay that knows no other may still be one of many and gets the minimum.
    fn retry_capacity(&self) -> f64 {
        let own_share = match self.most_relays {
            1 => MIN_RETRIES,
            relays => self.rules.retry_extra / relays as f64,
        };
        own_share.max(MIN_RETRIES).min(self.rules.retry_extra)
    }

    /// Adapts all budgets to changed settings or another number of relays.
    pub(super) fn resize_budgets(&mut self) {
        let (share, capacity) = (self.rules.retry_share, self.retry_capacity());
        for budget in self.budgets.values_mut() {
            budget.resize(share, capacity);
        }
    }

    /// Takes one retry from the budget of a service; returns `false` if none is left.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_retry("s"));
    /// ```
    pub fn take_retry(&mut self, service: &str) -> bool {
        self.budget(service).try_take()
    }

    /// Returns whether the budget of a service allows a retry now.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).has_retry("s"));
    /// ```
    pub fn has_retry(&mut self, service: &str) -> bool {
        self.budget(service).has_retry()
    }
}
