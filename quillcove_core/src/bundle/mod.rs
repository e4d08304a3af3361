//! The signed bundle: what a site may serve, at which versions and with which priorities.

pub mod delta;
pub mod gate;
pub mod signing;
pub mod text;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::adapter::AdapterRef;
use crate::ids::{AdapterVersion, BundleVersion, HostId, ModelName, ServiceName};
use crate::route::RouteTable;

/// Largest value that the platform holds, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// A checked bundle.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetBundle {
    /// Grows with each publication.
    pub version: BundleVersion,
    /// Base models by name.
    pub models: Vec<ModelName>,
    /// Adapters by name.
    pub adapters: BTreeMap<Arc<str>, AdapterEntry>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Routes to plain services, by host and path.
    pub routes: RouteTable,
    /// Limits of what callers may send.
    pub limits: BodyLimits,
    /// Limits of the weight store.
    pub loads: LoadLimits,
    /// What the operators weigh more.
    pub aims: AimWeights,
}

/// One adapter of the bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterEntry {
    /// Base model that the adapter belongs to.
    pub model: ModelName,
    /// Version that a bare name resolves to.
    pub current: AdapterVersion,
    /// Other versions that may still be asked for.
    pub keep: Vec<AdapterVersion>,
    /// From 0 to 9; a higher one is loaded earlier and kept longer.
    pub priority: u8,
}

/// One plain service of the bundle.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Hosts among which keys of requests that must not repeat are divided.
    pub replicas: Vec<HostId>,
}

/// Limits of callers' bodies. An entry's own settings may set lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a body to arrive, in milliseconds.
    pub body_time_ms: u64,
}

impl Default for BodyLimits {
    /// No lower than the entry's own settings allow by default.
    fn default() -> Self {
        Self { body_bytes: 4 << 20, body_time_ms: 10_000 }
    }
}

/// What the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadLimits {
    /// Loads a second for the whole site.
    pub per_second: f64,
    /// Loads at the same time at full speed.
    pub at_once: u32,
}

impl Default for LoadLimits {
    fn default() -> Self {
        Self { per_second: 3.0, at_once: 2 }
    }
}

/// Relative weights of the two measures, without unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AimWeights {
    /// Weight of short load stalls.
    pub stalls: f64,
    /// Weight of full batches.
    pub batches: f64,
}

impl Default for AimWeights {
    fn default() -> Self {
        Self { stalls: 1.0, batches: 1.0 }
    }
}

/// Why a requested model name can not be served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// The bundle has no adapter of that name.
    #[error("the bundle has no adapter '{0}'")]
    UnknownAdapter(String),
    /// The bundle has the adapter but not that version.
    #[error("the bundle does not serve '{0}'; its current version is {1}")]
    UnknownVersion(AdapterRef, AdapterVersion),
    /// The name can not be read.
    #[error(transparent)]
    BadName(#[from] crate::adapter::NameError),
}

impl FleetBundle {
    /// Turns a caller's model name into an adapter and a version. A bare name takes the version
    /// that the bundle marks current; the result is then fixed for the whole request.
    ///
    /// ```
    /// use quillcove_core::bundle::text::parse;
    ///
    /// let bundle = parse(
    ///     "[bundle]\nversion = 1\n[models.base]\n[adapters]\n\
    ///      shuttle = { model = \"base\", current = 3, keep = [2] }\n",
    /// )
    /// .unwrap();
    /// assert_eq!(bundle.resolve("shuttle").unwrap().to_string(), "shuttle@3");
    /// assert_eq!(bundle.resolve("shuttle@2").unwrap().to_string(), "shuttle@2");
    /// assert!(bundle.resolve("shuttle@1").is_err());
    /// ```
    pub fn resolve(&self, model: &str) -> Result<AdapterRef, ResolveError> {
        let Some((name, _)) = model.split_once('@') else {
            return match self.adapters.get_key_value(model) {
                Some((name, entry)) => {
                    Ok(AdapterRef { name: name.clone(), version: entry.current })
                },
                None => Err(ResolveError::UnknownAdapter(model.to_string())),
            };
        };
        let adapter: AdapterRef = model.parse()?;
        let Some(entry) = self.adapters.get(name) else {
            return Err(ResolveError::UnknownAdapter(name.to_string()));
        };
        match entry.serves(adapter.version) {
            true => Ok(adapter),
            false => Err(ResolveError::UnknownVersion(adapter, entry.current)),
        }
    }

    /// Tells whether the bundle serves this adapter at this version.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::bundle::FleetBundle;
    ///
    /// assert!(!FleetBundle::default().serves(&AdapterRef::new("shuttle", 1)));
    /// ```
    pub fn serves(&self, adapter: &AdapterRef) -> bool {
        self.adapters.get(&adapter.name).is_some_and(|entry| entry.serves(adapter.version))
    }

    /// The base model of an adapter.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::bundle::FleetBundle;
    ///
    /// assert_eq!(FleetBundle::default().model_of(&AdapterRef::new("shuttle", 1)), None);
    /// ```
    pub fn model_of(&self, adapter: &AdapterRef) -> Option<&str> {
        self.adapters.get(&adapter.name).map(|entry| entry.model.as_str())
    }

    /// The bundle's priority of an adapter, 0 for one it does not know.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::bundle::FleetBundle;
    ///
    /// assert_eq!(FleetBundle::default().priority_of(&AdapterRef::new("shuttle", 1)), 0);
    /// ```
    pub fn priority_of(&self, adapter: &AdapterRef) -> u8 {
        self.adapters.get(&adapter.name).map_or(0, |entry| entry.priority)
    }
}

impl AdapterEntry {
    /// Tells whether this version may be asked for.
    ///
    /// ```
    /// use quillcove_core::bundle::AdapterEntry;
    ///
    /// let entry =
    ///     AdapterEntry { model: "base".into(), current: 3, keep: vec![2], priority: 0 };
    /// assert!(entry.serves(2) && entry.serves(3) && !entry.serves(1));
    /// ```
    pub fn serves(&self, version: AdapterVersion) -> bool {
        self.current == version || self.keep.contains(&version)
    }
}
