//! Retry budget: limits retries to a share of first attempts, so that they do not aggravate an
//! overload.

/// Default capacity, in retries.
const DEFAULT_CAPACITY: f64 = 20.0;

/// Tolerance for rounding errors of summed shares: ten times 0.1 is slightly less than 1, so that a
/// budget with a capacity of one retry would otherwise deny it until the eleventh first attempt.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Token bucket that allows retries as a share of first attempts.
///
/// ```
/// use quillcove_core::entry::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5);
/// while budget.try_take() {}
/// budget.record_first_attempt();
/// assert!(!budget.try_take());
/// budget.record_first_attempt();
/// assert!(budget.try_take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    capacity: f64,
    left: f64,
}

impl RetryBudget {
    /// Creates a full budget with the default capacity.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert!(RetryBudget::new(0.2).left() > 0.0);
    /// ```
    pub fn new(share: f64) -> Self {
        Self::with_capacity(share, DEFAULT_CAPACITY)
    }

    /// Creates a full budget with the given capacity in retries.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::with_capacity(0.2, 3.0).left(), 3.0);
    /// ```
    pub fn with_capacity(share: f64, capacity: f64) -> Self {
        Self::with_initial_retries(share, capacity, capacity)
    }

    /// Creates a budget with the given capacity that starts with `left` retries.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::with_initial_retries(0.2, 3.0, 1.0).left(), 1.0);
    /// ```
    pub fn with_initial_retries(share: f64, capacity: f64, left: f64) -> Self {
        Self { share, capacity, left }
    }

    /// Changes the share and the capacity. Retries beyond the new capacity are dropped.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_capacity(0.2, 9.0);
    /// budget.resize(0.1, 3.0);
    /// assert_eq!(budget.left(), 3.0);
    /// ```
    pub fn resize(&mut self, share: f64, capacity: f64) {
        self.share = share;
        self.capacity = capacity;
        self.left = self.left.min(capacity);
    }

    /// Records a first attempt, which adds its share of a retry.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// RetryBudget::new(0.2).record_first_attempt();
    /// ```
    pub fn record_first_attempt(&mut self) {
        self.left = (self.left + self.share).min(self.capacity);
    }

    /// Consumes one retry. Returns `false` if none is available.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert!(RetryBudget::new(0.2).try_take());
    /// ```
    pub fn try_take(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Returns whether a retry is available.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert!(RetryBudget::new(0.2).has_retry());
    /// ```
    pub fn has_retry(&self) -> bool {
        self.left + ROUNDING_TOLERANCE >= 1.0
    }

    /// Returns the number of available retries, with fractions.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::new(0.2).left(), 20.0);
    /// ```
    pub fn left(&self) -> f64 {
        self.left
    }
}
