//! Which bundle is in force: only signed ones, and never an older one.

use std::sync::Arc;

use super::FleetBundle;
use super::delta::{BundleDelta, DeltaError};
use super::signing::{BundleHead, SignatureError, TrustedKeys, digest};
use super::text::{TextError, parse};
use crate::ids::BundleVersion;

/// A bundle in force, with the bytes it came from so that it can be passed on.
#[derive(Clone, Debug)]
pub struct HeldBundle {
    /// Announcement with the signature.
    pub head: BundleHead,
    /// Exact text.
    pub text: Arc<str>,
    /// Checked content.
    pub content: Arc<FleetBundle>,
}

/// Why a bundle is not taken into force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GateError {
    /// It is older than one that was in force or that an engine acted on.
    #[error("version {offered} is lower than {floor}, which was in force before")]
    Lower {
        /// Version offered.
        offered: BundleVersion,
        /// Lowest version that is accepted.
        floor: BundleVersion,
    },
    /// The version in force has other bytes.
    #[error("version {0} is in force with other bytes")]
    OtherBytes(BundleVersion),
    /// Head and text do not belong together.
    #[error("the head announces another text than the one given")]
    HeadMismatch,
    /// The signature is not accepted.
    #[error(transparent)]
    Signature(#[from] SignatureError),
    /// The difference does not fit.
    #[error(transparent)]
    Delta(#[from] DeltaError),
    /// The text is at fault.
    #[error("the text has {} faults; the first is: {}", .0.len(), .0[0])]
    Text(Vec<TextError>),
}

/// What an offer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// A newer bundle is now in force.
    Taken,
    /// The same bundle was in force already.
    Same,
}

/// Holds the bundle in force.
#[derive(Debug, Default)]
pub struct BundleGate {
    keys: TrustedKeys,
    held: Option<HeldBundle>,
    floor: BundleVersion,
}

impl BundleGate {
    /// A gate with nothing in force.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// assert!(BundleGate::new(TrustedKeys::default()).in_force().is_none());
    /// ```
    pub fn new(keys: TrustedKeys) -> Self {
        Self { keys, held: None, floor: 0 }
    }

    /// The bundle in force. There is none while a newer one is known to exist, because acting on
    /// an older one would take the newer one back.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// let gate = BundleGate::new(TrustedKeys::default());
    /// assert!(gate.in_force().is_none());
    /// ```
    pub fn in_force(&self) -> Option<&HeldBundle> {
        self.held.as_ref().filter(|held| held.head.version >= self.floor)
    }

    /// The last bundle taken, also when a newer one is known to exist.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// assert!(BundleGate::new(TrustedKeys::default()).held().is_none());
    /// ```
    pub fn held(&self) -> Option<&HeldBundle> {
        self.held.as_ref()
    }

    /// Lowest version that is accepted.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// assert_eq!(BundleGate::new(TrustedKeys::default()).floor(), 0);
    /// ```
    pub fn floor(&self) -> BundleVersion {
        self.floor
    }

    /// Notes that an engine acted on this version, so that no older one comes into force here.
    /// Only an agent may call this, with what its own engine reported; a peer's word about a
    /// version is not enough, because a wrong one would stop the service.
    ///
    /// ```
    /// use quillcove_core::bundle::{gate::BundleGate, signing::TrustedKeys};
    ///
    /// let mut gate = BundleGate::new(TrustedKeys::default());
    /// gate.witness(7);
    /// assert_eq!(gate.floor(), 7);
    /// ```
    pub fn witness(&mut self, version: BundleVersion) {
        self.floor = self.floor.max(version);
    }

    /// Takes a bundle into force when it is signed by a trusted key, well-formed and not older.
    ///
    /// # Errors
    ///
    /// [`GateError`]; the bundle in force then stays as it was.
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
            return Err(GateError::Lower { offered: head.version, floor: self.floor });
        }
        if let Some(held) = &self.held
            && held.head.version == head.version
        {
            return match held.head.digest == head.digest {
                true => Ok(GateChange::Same),
                false => Err(GateError::OtherBytes(head.version)),
            };
        }
        let content = parse(text).map_err(GateError::Text)?;
        if content.version != head.version {
            return Err(GateError::HeadMismatch);
        }
        self.floor = head.version;
        self.held = Some(HeldBundle {
            head: head.clone(),
            text: Arc::from(text),
            content: Arc::new(content),
        });
        Ok(GateChange::Taken)
    }

    /// Takes a newer bundle into force from a difference to the one held.
    ///
    /// # Errors
    ///
    /// [`GateError`], among them a difference that starts from another text.
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
