//! The part of an answer in which an upstream reports its own status.

use std::time::{Duration, SystemTime};

use super::limit::RateLimit;

/// Maximum pause that is honoured. An upstream that needs more time is down; one that requests more
/// by mistake would otherwise get no requests until this process restarts.
pub const LONGEST_REST: Duration = Duration::from_secs(300);

/// What an upstream reports about itself in an answer, whatever the answer's status code is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether it is draining.
    pub is_leaving: bool,
    /// The requested pause: it rejected the request and accepts none from this process for this
    /// long.
    pub rest: Option<Duration>,
    /// The rate at which it accepts requests from all processes together, until an answer says
    /// otherwise.
    pub limit: Option<RateLimit>,
}

impl UpstreamNotice {
    /// Tells whether the notice is empty.
    ///
    /// ```
    /// assert!(quillcove_core::standing::notice::UpstreamNotice::default().is_blank());
    /// ```
    pub fn is_blank(&self) -> bool {
        !self.is_leaving && self.rest.is_none() && self.limit.is_none()
    }
}

/// Parses the length of a requested pause: seconds, fractions allowed, or an HTTP date. Returns
/// `None` if the text is neither. A number of seconds too large for a `Duration` gives
/// [`Duration::MAX`], and a date in the past gives zero.
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
