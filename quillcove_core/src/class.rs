//! Work classes, which order requests by urgency.

use serde::{Deserialize, Serialize};

/// Urgency of a request. The order of the variants is the order in which requests are served.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum WorkClass {
    /// A user waits for the response, as for a seat check.
    Urgent,
    /// Default class.
    #[default]
    Normal,
    /// Only the deadline matters, as for overnight reviews.
    Batch,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the label used in headers, metrics and the state dump.
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

    /// Parses a label; `None` if it is unknown.
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

    /// Returns the dimensionless weight of a waiting request in the ranking of adapter loads.
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
