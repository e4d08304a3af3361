//! The budget of repeats, so that an overload is not made worse by them.

/// Repeats that may be saved up.
const SAVING_LIMIT: f64 = 20.0;

/// What sums of shares lose by rounding: ten times a tenth is a little less than one, which would cost
/// a budget that saves up a single repeat every eleventh.
const ROUNDING: f64 = 1e-9;

/// Allows repeats as a share of first attempts.
///
/// ```
/// use quillcove_core::entry::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5);
/// while budget.take() {}
/// budget.note_first();
/// assert!(!budget.take());
/// budget.note_first();
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    saving: f64,
    left: f64,
}

impl RetryBudget {
    /// A budget with a full saving.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert!(RetryBudget::new(0.2).left() > 0.0);
    /// ```
    pub fn new(share: f64) -> Self {
        Self::with_saving(share, SAVING_LIMIT)
    }

    /// A budget that saves up no more than this many repeats, and starts with all of them.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::with_saving(0.2, 3.0).left(), 3.0);
    /// ```
    pub fn with_saving(share: f64, saving: f64) -> Self {
        Self::starting_with(share, saving, saving)
    }

    /// A budget that saves up no more than this many repeats, and starts with some of them.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert_eq!(RetryBudget::starting_with(0.2, 3.0, 1.0).left(), 1.0);
    /// ```
    pub fn starting_with(share: f64, saving: f64, left: f64) -> Self {
        Self { share, saving, left }
    }

    /// Takes over another share and saving; what was saved up beyond it is lost.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// let mut budget = RetryBudget::with_saving(0.2, 9.0);
    /// budget.resize(0.1, 3.0);
    /// assert_eq!(budget.left(), 3.0);
    /// ```
    pub fn resize(&mut self, share: f64, saving: f64) {
        self.share = share;
        self.saving = saving;
        self.left = self.left.min(saving);
    }

    /// Counts a first attempt.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// RetryBudget::new(0.2).note_first();
    /// ```
    pub fn note_first(&mut self) {
        self.left = (self.left + self.share).min(self.saving);
    }

    /// Takes one repeat; `false` when there is none left.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert!(RetryBudget::new(0.2).take());
    /// ```
    pub fn take(&mut self) -> bool {
        if !self.allows() {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Tells whether there is a repeat left.
    ///
    /// ```
    /// use quillcove_core::entry::retry::RetryBudget;
    ///
    /// assert!(RetryBudget::new(0.2).allows());
    /// ```
    pub fn allows(&self) -> bool {
        self.left + ROUNDING >= 1.0
    }

    /// Repeats allowed now.
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
