//! Rendezvous hashing (Thaler and Ravishankar, 1998): all processes that know the same hosts rank
//! them in the same order for a key, without exchanging messages.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Returns the weight of a host for a key; hosts rank by descending weight.
///
/// ```
/// use quillcove_core::rendezvous::weight;
///
/// assert_eq!(weight("shuttle@3", "e1"), weight("shuttle@3", "e1"));
/// assert_ne!(weight("shuttle@3", "e1"), weight("shuttle@3", "e2"));
/// ```
pub fn weight(key: &str, host: &str) -> u64 {
    stable_hash(&(key, host))
}

/// Returns a hash that is the same in all processes and builds, unlike that of the standard library.
pub(crate) fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the highest-ranked host for a key, or `None` if there are no hosts.
///
/// ```
/// use quillcove_core::rendezvous::first;
///
/// assert_eq!(first("k", ["a"].into_iter()), Some("a"));
/// assert_eq!(first("k", [].into_iter()), None);
/// ```
pub fn first<'a>(key: &str, hosts: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    hosts.max_by_key(|host| weight(key, host))
}
