//! Signatures over the exact bytes of a bundle (Ed25519, RFC 8032).

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::BundleVersion;

/// Put before the bundle's bytes when signing, so that a signature serves no other purpose.
const SIGNING_CONTEXT: &[u8] = b"quillcove bundle 1\n";

/// Bytes of a public key's digest that name the key.
const KEY_ID_BYTES: usize = 8;

/// The small value that announces a bundle: which version, which bytes, signed by whom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHead {
    /// Version inside the text.
    pub version: BundleVersion,
    /// SHA-256 of the text, in hex.
    pub digest: String,
    /// Length of the text, in bytes.
    pub length: usize,
    /// Names the public key.
    pub key_id: String,
    /// Signature over the text, in hex.
    pub signature: String,
}

/// Why a signature is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// The key is not among the trusted ones.
    #[error("key '{0}' is not among the trusted keys")]
    UnknownKey(String),
    /// The signature does not fit the bytes.
    #[error("the signature of key '{0}' does not fit the bundle's bytes")]
    BadSignature(String),
    /// A key is not 64 hex digits.
    #[error("'{0}' is not a key of 64 hex digits")]
    BadKey(String),
}

/// SHA-256 of a text, in hex.
///
/// ```
/// use quillcove_core::bundle::signing::digest;
///
/// assert!(digest(b"").starts_with("e3b0c442"));
/// ```
pub fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Makes a signing key from 32 random bytes.
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

/// Reads a signing key from 64 hex digits.
///
/// # Errors
///
/// [`SignatureError::BadKey`] when the text is not 64 hex digits.
///
/// ```
/// use quillcove_core::bundle::signing::read_signing_key;
///
/// assert!(read_signing_key("short").is_err());
/// ```
pub fn read_signing_key(text: &str) -> Result<SigningKey, SignatureError> {
    Ok(SigningKey::from_bytes(&key_bytes(text)?))
}

/// The public key as 64 hex digits, as it stands in the settings.
///
/// ```
/// use quillcove_core::bundle::signing::{public_key, signing_key};
///
/// assert_eq!(public_key(&signing_key([7; 32])).len(), 64);
/// ```
pub fn public_key(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().as_bytes())
}

/// Signs a bundle's text.
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

/// The public keys whose bundles are accepted.
#[derive(Clone, Debug, Default)]
pub struct TrustedKeys {
    keys: Vec<VerifyingKey>,
}

impl TrustedKeys {
    /// Reads public keys, each of 64 hex digits.
    ///
    /// # Errors
    ///
    /// [`SignatureError::BadKey`] for the first one that can not be read.
    ///
    /// ```
    /// use quillcove_core::bundle::signing::TrustedKeys;
    ///
    /// assert!(TrustedKeys::read(&["zz".to_string()]).is_err());
    /// ```
    pub fn read(texts: &[String]) -> Result<Self, SignatureError> {
        let read_one = |text: &String| {
            let bytes = key_bytes(text)?;
            VerifyingKey::from_bytes(&bytes).map_err(|_| SignatureError::BadKey(text.clone()))
        };
        Ok(Self { keys: texts.iter().map(read_one).collect::<Result<_, _>>()? })
    }

    /// Checks a head against the bytes it announces.
    ///
    /// # Errors
    ///
    /// [`SignatureError::UnknownKey`] or [`SignatureError::BadSignature`].
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
