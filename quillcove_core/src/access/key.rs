//! Caller keys. Only their digests are stored, compared and passed on.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Prefix that separates digests of keys from digests made for other purposes.
const DIGEST_DOMAIN: &[u8] = b"quillcove caller key\0";

/// The digest of a caller key. The key itself is not held in memory after the head of its request
/// has been read. A digest does not reveal the key, since operators generate keys at random.
/// Look-ups compare digests, so their duration does not reveal how much of a key is right.
///
/// ```
/// use quillcove_core::access::key::KeyDigest;
///
/// assert_eq!(KeyDigest::of("k1"), KeyDigest::of("k1"));
/// assert_ne!(KeyDigest::of("k1"), KeyDigest::of("k2"));
/// assert_eq!(format!("{:?}", KeyDigest::of("k1")), "KeyDigest(..)");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// See [`KeyDigest`] for an example.
    pub fn of(key: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update(DIGEST_DOMAIN);
        digest.update(key.as_bytes());
        Self(digest.finalize().into())
    }

    /// Returns the raw bytes, as input for another digest.
    pub(crate) fn to_bytes(self) -> [u8; 32] {
        self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Hides the digest: no part of it belongs in a log or a dump.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
