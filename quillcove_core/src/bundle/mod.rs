//! The signed bundle: the models, adapters, services and routes that a site serves, with versions,
//! priorities and limits.

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

/// Largest value that the platform's store accepts, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Parsed and validated content of a bundle.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetBundle {
    /// Version, which increases with each publication.
    pub version: BundleVersion,
    /// Names of the base models.
    pub models: Vec<ModelName>,
    /// Adapters by name.
    pub adapters: BTreeMap<Arc<str>, AdapterEntry>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Routes to plain services, by host and path.
    pub routes: RouteTable,
    /// Limits of request bodies.
    pub limits: BodyLimits,
    /// Limits of loads from the weight store.
    pub loads: LoadLimits,
    /// Weights of the two optimization goals.
    pub goal_weights: GoalWeights,
}

/// An adapter of the bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterEntry {
    /// Base model that the adapter belongs to.
    pub model: ModelName,
    /// Version to which a name without a version resolves.
    pub current: AdapterVersion,
    /// Other versions that requests may still name.
    pub keep: Vec<AdapterVersion>,
    /// Priority from 0 to 9; adapters of a higher priority are loaded earlier and evicted later.
    pub priority: u8,
}

/// A plain service of the bundle.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Hosts among which the keys of requests that must not run twice are partitioned.
    pub replicas: Vec<HostId>,
}

/// Limits of the bodies of callers' requests. The settings of an entry may set lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving a body, in milliseconds.
    pub body_time_ms: u64,
}

impl Default for BodyLimits {
    /// Returns the defaults of an entry's settings, so that a bundle without limits lowers none.
    fn default() -> Self {
        Self { body_bytes: 4 << 20, body_time_ms: 10_000 }
    }
}

/// Limits of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadLimits {
    /// Loads a second that the whole site may start.
    pub per_second: f64,
    /// Number of concurrent loads that the weight store serves at full speed.
    pub at_once: u32,
}

impl Default for LoadLimits {
    fn default() -> Self {
        Self { per_second: 3.0, at_once: 2 }
    }
}

/// Relative weights of the two optimization goals, without unit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GoalWeights {
    /// Weight of short load stalls.
    pub stalls: f64,
    /// Weight of full batches.
    pub batches: f64,
}

impl Default for GoalWeights {
    fn default() -> Self {
        Self { stalls: 1.0, batches: 1.0 }
    }
}

/// Reason why a requested model name can not be served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// The bundle has no adapter of that name.
    #[error("the bundle has no adapter '{0}'")]
    UnknownAdapter(String),
    /// The bundle has the adapter but not that version.
    #[error("the bundle does not serve '{0}'; its current version is {1}")]
    UnknownVersion(AdapterRef, AdapterVersion),
    /// The name is not valid.
    #[error(transparent)]
    BadName(#[from] crate::adapter::NameError),
}

impl FleetBundle {
    /// Resolves the model name of a request to an adapter and a version. A name without a version
    /// resolves to the current version of the bundle, which then applies to the whole request.
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

    /// Returns whether the bundle serves this adapter at this version.
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

    /// Returns the base model of an adapter, or `None` if the bundle does not have the adapter.
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

    /// Returns the priority of an adapter, or 0 if the bundle does not have the adapter.
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
    /// Returns whether requests may name this version.
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
