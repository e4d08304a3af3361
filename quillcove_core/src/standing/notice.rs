//! What an upstream says of itself with an answer.

use std::time::{Duration, SystemTime};

use super::limit::RateLimit;

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
    /// Requests that it takes from all processes together, as long as it says so.
    pub limit: Option<RateLimit>,
}

impl UpstreamNotice {
    /// Tells whether it says anything.
    ///
    /// ```
    /// assert!(quillcove_core::standing::notice::UpstreamNotice::default().is_blank());
    /// ```
    pub fn is_blank(&self) -> bool {
        !self.is_leaving && self.rest.is_none() && self.limit.is_none()
    }
}

/// Reads how long a rest is meant to be: seconds, fractions included, or a date of HTTP's. `None` when it is
/// neither; what is more than a time can hold is as long as a time can be, and a date that has passed leaves nothing.
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use quillcove_core::standing::notice::read_rest;
///
/// assert_eq!(read_rest("1.5", SystemTime::UNIX_EPOCH), Some(Duration::from_millis(1500)));
/// let date = "Thu, 01 Jan 1970 00:00:07 GMT";
/// assert_eq!(read_rest(date, SystemTime::UNIX_EPOCH), Some(Duration::from_secs(7)));
/// assert_eq!(read_rest("soon", SystemTime::UNIX_EPOCH), None);
/// ```
pub fn read_rest(text: &str, now: SystemTime) -> Option<Duration> {
    let text = text.trim();
    match text.parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => {
            Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        },
        Ok(_) => None,
        Err(_) => {
            let until = httpdate::parse_http_date(text).ok()?;
            Some(until.duration_since(now).unwrap_or(Duration::ZERO))
        },
    }
}
