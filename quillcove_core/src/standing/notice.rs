//! What an upstream says of itself with an answer.

use std::time::Duration;

/// Longest rest that is kept to. An upstream that needs more time is down; one that names more, by a slip,
/// would otherwise be lost to its service until this process starts again.
pub const LONGEST_REST: Duration = Duration::from_secs(300);

/// What an upstream says of itself with an answer, whatever the answer is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// It is leaving.
    pub is_leaving: bool,
    /// It turned the request away and wants nothing from this process for so long.
    pub rest: Option<Duration>,
}

impl UpstreamNotice {
    /// Tells whether it says anything.
    ///
    /// ```
    /// assert!(quillcove_core::standing::notice::UpstreamNotice::default().is_blank());
    /// ```
    pub fn is_blank(&self) -> bool {
        !self.is_leaving && self.rest.is_none()
    }
}
