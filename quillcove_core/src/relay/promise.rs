//! Measures the error of the load estimates given to rejected callers.
//!
//! A caller whose adapter will be loaded too late is rejected with the estimated load time. Each estimate
//! is kept until the adapter has been loaded, so that the difference can be reported.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AdapterKey, MonoTime};

/// Time after the estimated one at which an adapter that is not loaded counts as missed. Callers that
/// retry wait no longer than the longest target latency in the users' configurations.
const MISSED_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of open estimates; further ones are not recorded.
const OPEN_ESTIMATE_LIMIT: usize = 4096;

/// The outcome of a load estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EstimateOutcome {
    /// The adapter was loaded earlier than estimated, by this time.
    Early(Duration),
    /// The adapter was loaded later than estimated, by this time.
    Late(Duration),
    /// The adapter was not loaded within two seconds after the estimated time.
    Missed,
}

/// A load estimate whose outcome is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedEstimate {
    /// The adapter.
    pub key: AdapterKey,
    /// Outcome of the estimate.
    pub fate: EstimateOutcome,
}

/// The load estimates given to callers of one relay.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::ids::AdapterKey;
/// use quillcove_core::relay::promise::{LoadEstimates, EstimateOutcome};
///
/// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
/// let mut book = LoadEstimates::default();
/// book.record_estimate(&key, Duration::from_secs(3));
/// book.note_held(|held| *held == key, Duration::from_secs(4));
/// assert_eq!(book.take_ended()[0].fate, EstimateOutcome::Late(Duration::from_secs(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadEstimates {
    open_estimates: BTreeMap<AdapterKey, MonoTime>,
    resolved: Vec<ResolvedEstimate>,
}

impl LoadEstimates {
    /// Records that a caller was given the estimated load time of an adapter. While an estimate is open for
    /// the adapter, further ones are ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::ids::AdapterKey;
    /// use quillcove_core::relay::promise::LoadEstimates;
    ///
    /// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
    /// LoadEstimates::default().record_estimate(&key, Duration::from_secs(3));
    /// ```
    pub fn record_estimate(&mut self, key: &AdapterKey, at: MonoTime) {
        if self.open_estimates.len() < OPEN_ESTIMATE_LIMIT {
            self.open_estimates.entry(key.clone()).or_insert(at);
        }
    }

    /// Resolves the estimates of adapters that an engine now holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::promise::LoadEstimates;
    ///
    /// LoadEstimates::default().note_held(|_| true, Duration::ZERO);
    /// ```
    pub fn note_held(&mut self, is_held: impl Fn(&AdapterKey) -> bool, now: MonoTime) {
        self.resolve(
            |key, _| is_held(key),
            |estimate| match now.checked_sub(estimate) {
                Some(late) => EstimateOutcome::Late(late),
                None => EstimateOutcome::Early(estimate - now),
            },
        );
    }

    /// Resolves overdue estimates as missed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::promise::LoadEstimates;
    ///
    /// LoadEstimates::default().tick(Duration::ZERO);
    /// ```
    pub fn tick(&mut self, now: MonoTime) {
        self.resolve(|_, estimate| now >= estimate + MISSED_AFTER, |_| EstimateOutcome::Missed);
    }

    fn resolve(
        &mut self,
        is_over: impl Fn(&AdapterKey, MonoTime) -> bool,
        fate: impl Fn(MonoTime) -> EstimateOutcome,
    ) {
        let resolved = &mut self.resolved;
        self.open_estimates.retain(|key, estimate| {
            let is_over = is_over(key, *estimate);
            if is_over {
                resolved.push(ResolvedEstimate { key: key.clone(), fate: fate(*estimate) });
            }
            !is_over
        });
    }

    /// Removes and returns the estimates resolved since the last call.
    ///
    /// ```
    /// use quillcove_core::relay::promise::LoadEstimates;
    ///
    /// assert!(LoadEstimates::default().take_ended().is_empty());
    /// ```
    pub fn take_ended(&mut self) -> Vec<ResolvedEstimate> {
        std::mem::take(&mut self.resolved)
    }
}
