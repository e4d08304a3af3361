//! Words of replicas that no code reads: each is shown once, so that the first day that brings one is seen.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Names that are kept; a replica that makes up names does not fill the memory or the log.
const MOST_NAMES: usize = 16;

/// The names that were met.
///
/// ```
/// use quillcove::relay::words::UnreadWords;
///
/// let words = UnreadWords::default();
/// assert!(words.is_first("server-mood"));
/// assert!(!words.is_first("server-mood"));
/// ```
#[derive(Debug, Default)]
pub struct UnreadWords {
    names: Mutex<BTreeSet<String>>,
}

impl UnreadWords {
    /// Tells whether a name is met for the first time, as long as few were met.
    ///
    /// ```
    /// assert!(quillcove::relay::words::UnreadWords::default().is_first("server-mood"));
    /// ```
    pub fn is_first(&self, name: &str) -> bool {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.len() < MOST_NAMES && names.insert(name.to_string())
    }
}
