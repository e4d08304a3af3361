//! The budgets of repeats, one a service: this relay's part of what the fleet may repeat.

use super::RelayMachine;
use crate::entry::retry::RetryBudget;

/// Repeats that a relay has from its start, and may save up however many relays there are. As many
/// relays as the fleet may save up repeats for bear it.
const FIRST_REPEATS: f64 = 1.0;

impl RelayMachine {
    pub(super) fn budget(&mut self, service: &str) -> &mut RetryBudget {
        let (share, saving) = (self.rules.retry_share, self.retry_saving());
        let fresh = || RetryBudget::starting_with(share, saving, saving.min(FIRST_REPEATS));
        self.budgets.entry(service.to_string()).or_insert_with(fresh)
    }

    /// Repeats that this relay may save up: its even part of what the fleet may, so that all savings
    /// together stay within it. A relay that has heard no other may be one of many.
    fn retry_saving(&self) -> f64 {
        let part = match self.most_relays {
            1 => FIRST_REPEATS,
            relays => self.rules.retry_extra / relays as f64,
        };
        part.max(FIRST_REPEATS).min(self.rules.retry_extra)
    }

    pub(super) fn resize_budgets(&mut self) {
        let (share, saving) = (self.rules.retry_share, self.retry_saving());
        for budget in self.budgets.values_mut() {
            budget.resize(share, saving);
        }
    }

    /// Takes one repeat from the budget of a service; `false` when none is left.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).take_repeat("s"));
    /// ```
    pub fn take_repeat(&mut self, service: &str) -> bool {
        self.budget(service).take()
    }

    /// Tells whether the budget of a service allows a repeat now.
    ///
    /// ```
    /// use quillcove_core::relay::machine::{RelayMachine, RelayRules};
    ///
    /// assert!(RelayMachine::new(RelayRules::default(), 1).has_repeat("s"));
    /// ```
    pub fn has_repeat(&mut self, service: &str) -> bool {
        self.budget(service).allows()
    }
}
