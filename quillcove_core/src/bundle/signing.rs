//! Signing of bundles, and verification of signatures over their exact bytes (Ed25519, RFC 8032).

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::BundleVersion;

/// Prefix of the signed bytes (domain separation): a signature of a bundle is valid for nothing
/// else.
const SIGNING_CONTEXT: &[u8] = b"quillcove bundle 1\n";

/// Number of leading bytes of a public key's digest that form the key id.
const KEY_ID_BYTES: usize = 8;

/// Head of a bundle: a small value that announces its version, digest and signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// Version, equal to the one in the text.
    pub version: BundleVersion,
    /// SHA-256 of the text, in hex.
    pub digest: String,
    /// Length of the text, in bytes.
    pub length: usize,
    /// Id of the public key, in hex.
    pub key_id: String,
    /// Signature over the context prefix and the text, in hex.
    pub signature: String,
}

/// Reason for rejecting a signature or a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// The signing key is not among the trusted keys.
    #[error("key '{0}' is not among the trusted keys")]
    UnknownKey(String),
    /// The signature does not verify against the bundle's bytes.
    #[error("the signature of key '{0}' does not verify against the bundle's bytes")]
    BadSignature(String),
    /// The text is not a valid key of 64 hex digits.
    #[error("'{0}' is not a key of 64 hex digits")]
    BadKey(String),
}

/// Returns the SHA-256 digest of the bytes, in hex.
///
/// ```
/// use quillcove_core::bundle::signing::digest;
///
/// assert!(digest(b"").starts_with("e3b0c442"));
/// ```
pub fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Creates a signing key from a seed of 32 random bytes.
///
/// ```
/// use quillcove_core::bundle::signing::{public_key, signing_key};
///
/// let key = signing_key([7; 32]);
/// assert_eq!(public_key(&key).len(), 64);
/// ```
pub fn signing_key(seed: [u8; 32]) -> SigningKey {
    SigningKey::from_bytes(&seed)
}

/// Parses a signing key of 64 hex digits.
///
/// # Errors
///
/// Returns [`SignatureError::BadKey`] when the text is not 64 hex digits.
///
/// ```
/// use quillcove_core::bundle::signing::read_signing_key;
///
/// assert!(read_signing_key("short").is_err());
/// ```
pub fn read_signing_key(text: &str) -> Result<SigningKey, SignatureError> {
    Ok(SigningKey::from_bytes(&key_bytes(text)?))
}

/// Returns the public key as 64 hex digits, the format of the setting `trusted_keys`.
///
/// ```
/// use quillcove_core::bundle::signing::{public_key, signing_key};
///
/// assert_eq!(public_key(&signing_key([7; 32])).len(), 64);
/// ```
pub fn public_key(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().as_bytes())
}

/// Signs the text of a bundle and returns its head.
///
/// ```
/// use quillcove_core::bundle::signing::{TrustedKeys, public_key, sign, signing_key};
///
/// let key = signing_key([7; 32]);
/// let head = sign(&key, 1, b"text");
/// let keys = TrustedKeys::read(&[public_key(&key)]).unwrap();
/// assert!(keys.verify(&head, b"text").is_ok());
/// assert!(keys.verify(&head, b"other").is_err());
/// ```
pub fn sign(key: &SigningKey, version: BundleVersion, text: &[u8]) -> BundleHead {
    let signature = key.sign(&signed_bytes(text));
    BundleHead {
        version,
        digest: digest(text),
        length: text.len(),
        key_id: key_id(&key.verifying_key()),
        signature: hex::encode(signature.to_bytes()),
    }
}

fn signed_bytes(text: &[u8]) -> Vec<u8> {
    [SIGNING_CONTEXT, text].concat()
}

fn key_id(key: &VerifyingKey) -> String {
    hex::encode(&Sha256::digest(key.as_bytes())[..KEY_ID_BYTES])
}

fn key_bytes(text: &str) -> Result<[u8; 32], SignatureError> {
    let bad = || SignatureError::BadKey(text.to_string());
    let bytes = hex::decode(text.trim()).map_err(|_| bad())?;
    bytes.try_into().map_err(|_| bad())
}

/// Public keys whose signatures are accepted.
#[derive(Clone, Debug, Default)]
pub struct TrustedKeys {
    keys: Vec<VerifyingKey>,
}

impl TrustedKeys {
    /// Parses public keys, each of 64 hex digits.
    ///
    /// # Errors
    ///
    /// Returns [`SignatureError::BadKey`] for the first key that is not valid.
    ///
    /// ```
    /// use quillcove_core::bundle::signing::TrustedKeys;
    ///
    /// assert!(TrustedKeys::read(&["zz".to_string()]).is_err());
    /// ```
    pub fn read(texts: &[String]) -> Result<Self, SignatureError> {
        let parse_one = |text: &String| {
            let bytes = key_bytes(text)?;
            VerifyingKey::from_bytes(&bytes).map_err(|_| SignatureError::BadKey(text.clone()))
        };
        Ok(Self { keys: texts.iter().map(parse_one).collect::<Result<_, _>>()? })
    }

    /// Verifies the signature in the head over the bytes of the text.
    ///
    /// # Errors
    ///
    /// Returns [`SignatureError::UnknownKey`] for a key that is not trusted, and
    /// [`SignatureError::BadSignature`] for a signature that does not verify.
    ///
    /// ```
    /// use quillcove_core::bundle::signing::{TrustedKeys, sign, signing_key};
    ///
    /// let head = sign(&signing_key([7; 32]), 1, b"text");
    /// assert!(TrustedKeys::default().verify(&head, b"text").is_err());
    /// ```
    pub fn verify(&self, head: &BundleHead, text: &[u8]) -> Result<(), SignatureError> {
        let key = self.keys.iter().find(|key| key_id(key) == head.key_id);
        let key = key.ok_or_else(|| SignatureError::UnknownKey(head.key_id.clone()))?;
        let bad = || SignatureError::BadSignature(head.key_id.clone());
        let bytes = hex::decode(&head.signature).map_err(|_| bad())?;
        let signature = Signature::from_slice(&bytes).map_err(|_| bad())?;
        key.verify_strict(&signed_bytes(text), &signature).map_err(|_| bad())
    }
}
