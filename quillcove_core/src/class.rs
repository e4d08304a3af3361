//! Classes of work.

use serde::{Deserialize, Serialize};

/// How urgent a request is. The order of the variants is the order of service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// Somebody waits for the answer, as with a seat check.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// Only the deadline counts, as with overnight reviews.
    Batch,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// The word used in headers, metrics and the state dump.
    ///
    /// ```
    /// use quillcove_core::class::WorkClass;
    ///
    /// assert_eq!(WorkClass::Urgent.label(), "urgent");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }

    /// Reads the word back.
    ///
    /// ```
    /// use quillcove_core::class::WorkClass;
    ///
    /// assert_eq!(WorkClass::from_label("batch"), Some(WorkClass::Batch));
    /// assert_eq!(WorkClass::from_label("soon"), None);
    /// ```
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.label() == label)
    }

    /// Weight of one waiting request when loads are ranked, without unit.
    ///
    /// ```
    /// use quillcove_core::class::WorkClass;
    ///
    /// assert!(WorkClass::Urgent.weight() > WorkClass::Batch.weight());
    /// ```
    pub fn weight(self) -> f64 {
        match self {
            Self::Urgent => 16.0,
            Self::Normal => 4.0,
            Self::Batch => 1.0,
        }
    }
}
