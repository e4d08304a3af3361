//! Adapter names with a version.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::AdapterVersion;

/// Maximum length of a name, in bytes.
pub const NAME_LIMIT: usize = 128;

/// Separator between an adapter's name and its version.
const VERSION_MARK: char = '@';

/// An adapter in one version. Engines load it under its text form, `name@version`, so an engine
/// cannot run another version than the requested one.
///
/// ```
/// use quillcove_core::adapter::AdapterRef;
///
/// let adapter: AdapterRef = "shuttle@3".parse().unwrap();
/// assert_eq!(adapter.version, 3);
/// assert_eq!(adapter.to_string(), "shuttle@3");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AdapterRef {
    /// Name without the version.
    pub name: Arc<str>,
    /// Version stated in the bundle.
    pub version: AdapterVersion,
}

/// Error of parsing an [`AdapterRef`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The version after `@` is missing.
    #[error("'{0}' has no version: write it as name@version")]
    NoVersion(String),
    /// The version is not a whole number.
    #[error("version '{0}' is not a whole number")]
    BadVersion(String),
    /// The name is empty, too long or contains a character that is not allowed.
    #[error(
        "name '{0}' is not accepted: 1 to {NAME_LIMIT} letters, digits, dots, dashes or underscores"
    )]
    BadName(String),
}

impl AdapterRef {
    /// Creates a reference from a name and a version.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    ///
    /// assert_eq!(AdapterRef::new("shuttle", 3).to_string(), "shuttle@3");
    /// ```
    pub fn new(name: &str, version: AdapterVersion) -> Self {
        Self { name: Arc::from(name), version }
    }
}

/// Returns whether a name is valid for an adapter, a model, a service or a host: 1 to
/// [`NAME_LIMIT`] ASCII letters, digits, dots, dashes or underscores.
///
/// ```
/// use quillcove_core::adapter::is_valid_name;
///
/// assert!(is_valid_name("koper-commuters.2"));
/// assert!(!is_valid_name("a@b"));
/// ```
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(allowed)
}

impl FromStr for AdapterRef {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let Some((name, version)) = text.rsplit_once(VERSION_MARK) else {
            return Err(NameError::NoVersion(text.to_string()));
        };
        if !is_valid_name(name) {
            return Err(NameError::BadName(name.to_string()));
        }
        let version = version.parse().map_err(|_| NameError::BadVersion(version.to_string()))?;
        Ok(Self::new(name, version))
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{VERSION_MARK}{}", self.name, self.version)
    }
}

impl Serialize for AdapterRef {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for AdapterRef {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
