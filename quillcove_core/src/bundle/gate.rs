//! Decides which bundle is in force: accepts a bundle only with a valid signature, and never one
//! that is older than a bundle known to have been in force.

use std::sync::Arc;

use super::FleetBundle;
use super::delta::{BundleDelta, DeltaError};
use super::signing::{BundleHead, SignatureError, TrustedKeys, digest};
use super::text::{TextError, parse};
use crate::ids::BundleVersion;

/// An accepted bundle, with its exact bytes, so that other processes can fetch it from this one.
#[derive(Clone, Debug)]
pub struct AcceptedBundle {
    /// Head of the bundle, with the signature.
    pub head: BundleHead,
    /// Text, byte for byte as signed.
    pub text: Arc<str>,
    /// Content parsed from the text.
    pub content: Arc<FleetBundle>,
}

/// Reason for rejecting a bundle.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GateError {
    /// The bundle is older than one that was in force here or that an upstream acted on.
    #[error("version {offered} is lower than {floor}, the lowest version accepted")]
    BelowFloor {
        /// Version of the rejected bundle.
        offered: BundleVersion,
        /// Lowest version that is accepted.
        floor: BundleVersion,
    },
    /// The bundle has the version of the accepted one, but other bytes.
    #[error("version {0} was already accepted with other bytes")]
    OtherBytes(BundleVersion),
    /// The digest or version in the head differs from that of the text.
    #[error("the digest or version in the head differs from that of the text")]
    HeadMismatch,
    /// The signature is invalid or of an untrusted key.
    #[error(transparent)]
    Signature(#[from] SignatureError),
    /// The delta can not be applied.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The text has errors.
    #[error("the text has {} errors; the first is: {}", .0.len(), .0[0])]
    Text(Vec<TextError>),
}

/// Effect of an accepted offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// The offered bundle is newer and is now in force.
    Accepted,
    /// The offered bundle had been accepted before.
    Unchanged,
}

/// Verifies offered bundles and holds the one in force.
#[derive(Debug, Default)]
pub struct BundleGate {
    keys: TrustedKeys,
    /// Last bundle accepted.
    held: Option<AcceptedBundle>,
    /// Lowest version that is accepted.
    floor: BundleVersion,
}

impl BundleGate {
    /// Creates a gate without a bundle, which accepts bundles signed by these keys.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// assert!(BundleGate::new(TrustedKeys::default()).in_force().is_none());
    /// ```
    pub fn new(keys: TrustedKeys) -> Self {
        Self { keys, held: None, floor: 0 }
    }

    /// Returns the bundle in force. There is none while a newer bundle is known to exist, because
    /// acting on an older one would roll back the changes of the newer one.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// let gate = BundleGate::new(TrustedKeys::default());
    /// assert!(gate.in_force().is_none());
    /// ```
    pub fn in_force(&self) -> Option<&AcceptedBundle> {
        self.held.as_ref().filter(|held| held.head.version >= self.floor)
    }

    /// Returns the last bundle accepted, even if a newer one is known to exist.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// assert!(BundleGate::new(TrustedKeys::default()).last_accepted().is_none());
    /// ```
    pub fn last_accepted(&self) -> Option<&AcceptedBundle> {
        self.held.as_ref()
    }

    /// Returns the lowest version that is accepted.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// assert_eq!(BundleGate::new(TrustedKeys::default()).floor(), 0);
    /// ```
    pub fn floor(&self) -> BundleVersion {
        self.floor
    }

    /// Records that an engine acted on this version, so that no older one comes into force here.
    /// Only an agent may call this, with the version that its own engine reported. A version
    /// claimed by a peer must not be recorded: a wrong claim would leave no bundle in force and so
    /// stop the service.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// let mut gate = BundleGate::new(TrustedKeys::default());
    /// gate.record_used_version(7);
    /// assert_eq!(gate.floor(), 7);
    /// ```
    pub fn record_used_version(&mut self, version: BundleVersion) {
        self.floor = self.floor.max(version);
    }

    /// Puts a bundle in force if it is signed by a trusted key, well-formed and no older than the
    /// lowest accepted version.
    ///
    /// # Errors
    ///
    /// Returns [`GateError`] for a rejected bundle; the bundle in force is then unchanged.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::{TrustedKeys, sign, signing_key}};
    ///
    /// let mut gate = BundleGate::new(TrustedKeys::default());
    /// let text = "[bundle]\nversion = 1\n";
    /// let head = sign(&signing_key([7; 32]), 1, text.as_bytes());
    /// assert!(gate.offer(&head, text).is_err());
    /// ```
    pub fn offer(&mut self, head: &BundleHead, text: &str) -> Result<GateChange, GateError> {
        if digest(text.as_bytes()) != head.digest {
            return Err(GateError::HeadMismatch);
        }
        self.keys.verify(head, text.as_bytes())?;
        if head.version < self.floor {
            return Err(GateError::BelowFloor { offered: head.version, floor: self.floor });
        }
        if let Some(held) = &self.held
            && held.head.version == head.version
        {
            return match held.head.digest == head.digest {
                true => Ok(GateChange::Unchanged),
                false => Err(GateError::OtherBytes(head.version)),
            };
        }
        let content = parse(text).map_err(GateError::Text)?;
        if content.version != head.version {
            return Err(GateError::HeadMismatch);
        }
        self.floor = head.version;
        self.held = Some(AcceptedBundle {
            head: head.clone(),
            text: Arc::from(text),
            content: Arc::new(content),
        });
        Ok(GateChange::Accepted)
    }

    /// Rebuilds a bundle from a delta to the last accepted one, and offers it like [`Self::offer`].
    ///
    /// # Errors
    ///
    /// Returns [`GateError`] for a rejected bundle or a delta that can not be applied.
    ///
    /// ```
    /// use quillcove_core::bundle::{
    ///     delta::compute,
    ///     gate::BundleGate,
    ///     signing::{TrustedKeys, sign, signing_key},
    /// };
    ///
    /// let mut gate = BundleGate::new(TrustedKeys::default());
    /// let delta = compute((1, "a\n"), (2, "b\n"));
    /// let head = sign(&signing_key([7; 32]), 2, b"b\n");
    /// assert!(gate.offer_delta(&head, &delta).is_err());
    /// ```
    pub fn offer_delta(
        &mut self,
        head: &BundleHead,
        delta: &BundleDelta,
    ) -> Result<GateChange, GateError> {
        let held = self.held.as_ref().ok_or(DeltaError::OtherBase)?;
        let text = super::delta::apply(delta, &held.text)?;
        self.offer(head, &text)
    }
}
