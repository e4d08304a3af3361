//! Identity of a request, by which its retries are recognized: its target, its content, its
//! workspace and its caller. Request IDs do not serve, since a caller draws a new one for each
//! retry.

use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::access::key::KeyDigest;
use crate::ids::{AdapterKey, AdapterVersion, PartId};

/// Prefix that separates digests of requests from digests made for other purposes.
const DIGEST_DOMAIN: &[u8] = b"quillcove request\0";

/// Length of a digest. Among 10^9 different requests, the probability that two collide is 1 in
/// 10^20.
const DIGEST_BYTES: usize = 16;

/// Digest of a request's content: method, host, path with query, key of its workspace, and body.
/// Other processes receive nothing else of the content.
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

/// Identifies the caller that sent a request, by a short digest of its network address.
pub type CallerDigest = u64;

/// The parts of a request that make up its digest.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Method.
    pub method: &'a str,
    /// Host named by the request.
    pub host: &'a str,
    /// Path and query, exactly as received.
    pub path: &'a str,
    /// Key of its workspace, if it has one.
    pub key: Option<KeyDigest>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestParts<'_> {
    /// Computes the digest. This reads the whole body: 2.6 kB take 2 µs and 64 kB take 45 µs on a
    /// processor with SHA-256 instructions.
    ///
    /// ```
    /// use quillcove_core::crash::digest::RequestParts;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/p", key: None, body: b"text" };
    /// assert_eq!(parts.digest(), parts.digest());
    /// assert_ne!(parts.digest(), RequestParts { body: b"other", ..parts }.digest());
    /// ```
    pub fn digest(&self) -> RequestDigest {
        self.digest_with([])
    }

    /// Computes the digest of a request whose body goes on after [`RequestParts::body`].
    ///
    /// ```
    /// use quillcove_core::crash::digest::RequestParts;
    ///
    /// let parts = RequestParts { method: "POST", host: "h", path: "/p", key: None, body: b"text" };
    /// let begin = RequestParts { body: b"te", ..parts };
    /// assert_eq!(parts.digest(), begin.digest_with([&b"xt"[..]]));
    /// ```
    pub fn digest_with<'b>(&self, rest: impl IntoIterator<Item = &'b [u8]>) -> RequestDigest {
        let mut digest = Sha256::new();
        digest.update(DIGEST_DOMAIN);
        let key = self.key.map(KeyDigest::to_bytes);
        let key = key.as_ref().map_or(&[][..], |key| &key[..]);
        for part in [self.method.as_bytes(), self.host.as_bytes(), self.path.as_bytes(), key] {
            // The length prefix keeps bytes from moving from one part to the next unnoticed.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        digest.update(self.body);
        for part in rest {
            digest.update(part);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest.finalize()[..DIGEST_BYTES]);
        RequestDigest(bytes)
    }
}

/// Returns the digest of a caller's network address.
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

/// Identity of a request: its content and its caller.
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
    /// Digest of its content.
    pub digest: RequestDigest,
    /// Digest of its caller.
    pub caller: CallerDigest,
}

impl fmt::Display for RequestIdentity {
    /// Writes both digests in hexadecimal, as they are passed between processes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.digest, self.caller)
    }
}

/// A text is not the identity of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not the identity of a request")]
pub struct IdentityError(String);

impl FromStr for RequestIdentity {
    type Err = IdentityError;

    fn from_str(text: &str) -> Result<Self, IdentityError> {
        let error = || IdentityError(text.to_string());
        let (digest, caller) = text.split_once('-').ok_or_else(error)?;
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(digest, &mut bytes).map_err(|_| error())?;
        let caller = CallerDigest::from_str_radix(caller, 16).map_err(|_| error())?;
        Ok(Self { digest: RequestDigest(bytes), caller })
    }
}

/// Returns the digest of a caller that states its name.
///
/// ```
/// use quillcove_core::crash::digest::named_caller_digest;
///
/// assert_ne!(named_caller_digest("coop-a"), named_caller_digest("coop-b"));
/// ```
pub fn named_caller_digest(name: &str) -> CallerDigest {
    crate::rendezvous::weight("named caller", name)
}

/// What a crash record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuspectKind {
    /// The whole content of a request.
    Request,
    /// The load of an adapter.
    Load,
    /// One part of a prompt, whatever else the request holds.
    Part,
}

impl SuspectKind {
    pub(super) fn of(caller: CallerDigest) -> Self {
        match caller {
            LOAD_CALLER => Self::Load,
            PART_CALLER => Self::Part,
            _ => Self::Request,
        }
    }
}

/// Caller of every prompt part: it is the same whichever caller's prompt holds it.
pub(super) const PART_CALLER: CallerDigest = CallerDigest::MAX;

/// Returns the identity of a part of a prompt. A replica may exit whenever it begins to answer a prompt
/// with that part. The same part in a prompt for another base model counts as another one.
///
/// ```
/// use quillcove_core::crash::digest::part_identity;
///
/// assert_ne!(part_identity("m", 5), part_identity("m", 6));
/// ```
pub fn part_identity(model: &str, part: PartId) -> RequestIdentity {
    let body = part.to_le_bytes();
    // The path of a request is never empty.
    let parts = RequestParts { method: "part", host: model, path: "", key: None, body: &body };
    RequestIdentity { digest: parts.digest(), caller: PART_CALLER }
}

/// Caller of every adapter load: a load is the same whichever caller wants it.
pub(super) const LOAD_CALLER: CallerDigest = 0;

/// Returns the identity of an adapter load. An engine may exit whenever it loads a broken adapter,
/// just as under a fatal request. A newer version counts as another load.
///
/// ```
/// use quillcove_core::crash::digest::load_identity;
/// use quillcove_core::ids::AdapterKey;
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
