//! Keys of callers. Only their digests are kept, compared and passed on.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Put before each key, so that a digest of another purpose is never one of a key.
const DIGEST_DOMAIN: &[u8] = b"quillcove caller key\0";

/// The digest of a caller's key. The key itself is nowhere in memory once its request's head has been
/// read, and a digest tells nothing of it: keys are drawn at random by the operators. A look-up compares
/// digests, so that its time does not tell how much of a key is right.
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
    /// The digest of a key.
    ///
    /// See [`KeyDigest`] for an example.
    pub fn of(key: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update(DIGEST_DOMAIN);
        digest.update(key.as_bytes());
        Self(digest.finalize().into())
    }

    /// Its bytes, to be part of another digest.
    pub(crate) fn to_bytes(self) -> [u8; 32] {
        self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Nothing of a digest belongs into a log or a dump.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
