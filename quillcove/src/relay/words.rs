//! Response headers of replicas that no code reads. Each name is logged once, so that operators notice when a new
//! one appears.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Maximum number of names stored, so that a replica that makes up names does not fill the memory or the log.
const MAX_NAMES: usize = 16;

/// Names of unknown headers seen so far.
///
/// ```
/// use quillcove::relay::words::UnknownHeaders;
///
/// let headers = UnknownHeaders::default();
/// assert!(headers.is_first("server-mood"));
/// assert!(!headers.is_first("server-mood"));
/// ```
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: Mutex<BTreeSet<String>>,
}

impl UnknownHeaders {
    /// Returns whether a name is seen for the first time; `false` for a new name once the maximum number is stored.
    ///
    /// ```
    /// assert!(quillcove::relay::words::UnknownHeaders::default().is_first("server-mood"));
    /// ```
    pub fn is_first(&self, name: &str) -> bool {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.len() < MAX_NAMES && names.insert(name.to_string())
    }
}
