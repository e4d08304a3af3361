//! What makes two requests the same one: where they go, what they hold, and whose they are. Their ids
//! are new with each try of a caller and tell nothing.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::access::key::KeyDigest;
use crate::ids::AdapterVersion;
use crate::relay::beacon::AdapterKey;

/// Put before each request, so that a digest of another purpose is never one of a request.
const DIGEST_DOMAIN: &[u8] = b"quillcove request\0";

/// Bytes of a digest that are kept: two of a thousand million different requests are alike by chance with
/// a probability of 1 in 10^20.
const DIGEST_BYTES: usize = 16;

/// The digest of what a request is: its method, its host, its path with the query, the key of its workspace
/// and its body. It is all that leaves a process of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}

/// Which caller sent a request, as a short digest of its network address.
pub type CallerDigest = u64;

/// What is looked at to tell whether two requests are the same one.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Path and query, as they came.
    pub path: &'a str,
    /// The key of its workspace, where it has one.
    pub key: Option<KeyDigest>,
    /// Its whole body.
    pub body: &'a [u8],
}

impl RequestParts<'_> {
    /// The digest. It reads the whole body: 2.6 kB take 2 microseconds, 64 kB 45, on a processor with instructions
    /// for SHA-256.
    ///
    /// ```
    /// use quillcove_core::crash::digest::RequestParts;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/p", key: None, body: b"text" };
    /// assert_eq!(parts.digest(), parts.digest());
    /// assert_ne!(parts.digest(), RequestParts { body: b"other", ..parts }.digest());
    /// ```
    pub fn digest(&self) -> RequestDigest {
        let mut digest = Sha256::new();
        digest.update(DIGEST_DOMAIN);
        let key = self.key.map(KeyDigest::to_bytes);
        let key = key.as_ref().map_or(&[][..], |key| &key[..]);
        for part in [self.method.as_bytes(), self.host.as_bytes(), self.path.as_bytes(), key] {
            // With its length before it, no part can pass for the end of the one before.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        digest.update(self.body);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..DIGEST_BYTES]);
        RequestDigest(bytes)
    }
}

/// The digest of a caller's network address.
///
/// ```
/// use quillcove_core::crash::digest::caller_digest;
///
/// let (one, two) = ("10.0.0.1".parse().unwrap(), "10.0.0.2".parse().unwrap());
/// assert_ne!(caller_digest(one), caller_digest(two));
/// ```
pub fn caller_digest(address: IpAddr) -> CallerDigest {
    crate::rendezvous::weight("caller", &address.to_string())
}

/// What a request is and who sent it.
///
/// ```
/// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
///
/// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
/// let identity = RequestIdentity { digest: parts.digest(), caller: 5 };
/// assert_eq!(identity.to_string().parse(), Ok(identity));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// What it is.
    pub digest: RequestDigest,
    /// Who sent it.
    pub caller: CallerDigest,
}

impl fmt::Display for RequestIdentity {
    /// Both digests in hex, as processes of the system hand them on.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.digest, self.caller)
    }
}

/// A text is no identity of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not the identity of a request")]
pub struct IdentityFault(String);

impl FromStr for RequestIdentity {
    type Err = IdentityFault;

    fn from_str(text: &str) -> Result<Self, IdentityFault> {
        let fault = || IdentityFault(text.to_string());
        let (digest, caller) = text.split_once('-').ok_or_else(fault)?;
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(digest, &mut bytes).map_err(|_| fault())?;
        let caller = CallerDigest::from_str_radix(caller, 16).map_err(|_| fault())?;
        Ok(Self { digest: RequestDigest(bytes), caller })
    }
}

/// The digest of a caller who says its name.
///
/// ```
/// use quillcove_core::crash::digest::named_caller_digest;
///
/// assert_ne!(named_caller_digest("coop-a"), named_caller_digest("coop-b"));
/// ```
pub fn named_caller_digest(name: &str) -> CallerDigest {
    crate::rendezvous::weight("named caller", name)
}

/// Stands for the caller of a load: it is the same load whoever wants it.
pub(super) const LOAD_CALLER: CallerDigest = 0;

/// What the load of an adapter is. An engine may end whenever it loads a broken one, as it may under a
/// request; a newer version is another load.
///
/// ```
/// use quillcove_core::crash::digest::load_identity;
/// use quillcove_core::relay::beacon::AdapterKey;
///
/// let key = AdapterKey { model: "m".into(), adapter: "a1".into() };
/// assert_ne!(load_identity(&key, 1), load_identity(&key, 2));
/// ```
pub fn load_identity(key: &AdapterKey, version: AdapterVersion) -> RequestIdentity {
    let body = version.to_le_bytes();
    let (host, path) = (key.model.as_str(), key.adapter.as_str());
    let parts = RequestParts { method: "load", host, path, key: None, body: &body };
    RequestIdentity { digest: parts.digest(), caller: LOAD_CALLER }
}
