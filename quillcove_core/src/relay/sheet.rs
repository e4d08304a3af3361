//! The platform's published configuration: routes, services and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::access::workspace::AccessTable;
use crate::ids::{ModelName, ServiceName};
use crate::route::{RouteRecord, RouteTable};
use crate::standing::limit::RateLimit;

/// Version of a configuration; the platform increments it with each change.
pub type ConfigVersion = u64;

/// A base model of an engine service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRecord {
    /// Name of the model.
    pub name: ModelName,
    /// Memory of the weights, in MB.
    pub weights_mb: f64,
    /// Memory of one adapter, in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store when nothing else loads.
    pub load_time: Duration,
    /// Time of a load from the disk of an engine's host.
    pub disk_load_time: Duration,
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Base models that the engines may hold; the one with the most traffic comes first.
    pub models: Vec<ModelRecord>,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Number of adapter slots of an engine.
    pub adapter_places: usize,
    /// Loads per second that the weight store permits over all engines.
    pub loads_per_second: f64,
}

impl EngineRecord {
    /// Returns the number of adapters that fit into an engine beside a base model.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::EngineRecord;
    ///
    /// let engine = EngineRecord {
    ///     models: Vec::new(),
    ///     weights_mb: 0.0,
    ///     adapter_places: 4,
    ///     loads_per_second: 2.0,
    /// };
    /// assert_eq!(engine.places_beside("m"), 4);
    /// ```
    pub fn places_beside(&self, model: &str) -> usize {
        let Some(record) = self.models.iter().find(|record| record.name == model) else {
            return self.adapter_places;
        };
        let room = (self.weights_mb - record.weights_mb).max(0.0);
        let by_memory = (room / record.adapter_mb.max(f64::MIN_POSITIVE)) as usize;
        self.adapter_places.min(by_memory)
    }

    /// Returns whether an engine that runs `request_slots` requests at once has scarce adapter slots: fewer than an
    /// eighth of its request slots, so that a full batch has to share adapters.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::EngineRecord;
    ///
    /// let engine = EngineRecord {
    ///     models: Vec::new(),
    ///     weights_mb: 0.0,
    ///     adapter_places: 5,
    ///     loads_per_second: 2.0,
    /// };
    /// assert!(engine.has_scarce_slots(64));
    /// assert!(!engine.has_scarce_slots(40));
    /// ```
    pub fn has_scarce_slots(&self, request_slots: u32) -> bool {
        self.adapter_places > 0 && self.adapter_places * SCARCE_SLOT_RATIO < request_slots as usize
    }

    /// Returns the time between the starts of two loads from the weight store.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::sheet::EngineRecord;
    ///
    /// let engine = EngineRecord {
    ///     models: Vec::new(),
    ///     weights_mb: 0.0,
    ///     adapter_places: 4,
    ///     loads_per_second: 2.0,
    /// };
    /// assert_eq!(engine.load_pace(), Duration::from_millis(500));
    /// ```
    pub fn load_pace(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.loads_per_second.max(MIN_LOADS_PER_SECOND))
    }
}

/// Request slots per adapter slot above which adapter slots are scarce.
const SCARCE_SLOT_RATIO: usize = 8;

/// Lower bound for the load rate, so that the interval between loads is finite when the platform
/// names no rate.
const MIN_LOADS_PER_SECOND: f64 = 0.1;

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one replica accepts from all callers together.
    pub connection_limit: usize,
    /// Request rate that one replica can take from all callers together during its warm-up; `None`
    /// where it is not limited.
    pub cold_rate: Option<RateLimit>,
    /// Engine properties; `None` for plain services.
    pub engine: Option<EngineRecord>,
}

/// Limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for the arrival of a request head, and of a body.
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is in force; the values are hyper's own
    /// defaults or close to them.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the published configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Version; a configuration is applied only if its version is higher than the one in force.
    pub version: ConfigVersion,
    /// Routes by host and path.
    routes: RouteTable,
    /// Services by name.
    services: HashMap<ServiceName, Arc<ServiceRecord>>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
    /// Workspaces; `None` where requests need no key.
    access: Option<Arc<AccessTable>>,
}

impl PublishedConfig {
    /// Creates a configuration without workspaces.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
    ///
    /// let config = PublishedConfig::new(7, Vec::new(), Vec::new(), CallerLimits::default());
    /// assert!(config.find_route("a.example", "/").is_none());
    /// ```
    pub fn new(
        version: ConfigVersion,
        routes: Vec<RouteRecord>,
        services: Vec<ServiceRecord>,
        limits: CallerLimits,
    ) -> Self {
        let by_name = |service: ServiceRecord| (service.name.clone(), Arc::new(service));
        let services = services.into_iter().map(by_name).collect();
        Self { version, routes: RouteTable::new(routes), services, limits, access: None }
    }

    /// Returns the same configuration with workspaces, so that routes which are not public need a
    /// key.
    ///
    /// ```
    /// use quillcove_core::access::workspace::AccessTable;
    /// use quillcove_core::relay::sheet::PublishedConfig;
    ///
    /// let config = PublishedConfig::default().with_access(AccessTable::default());
    /// assert!(config.access().is_some());
    /// ```
    pub fn with_access(mut self, access: AccessTable) -> Self {
        self.access = Some(Arc::new(access));
        self
    }

    /// Returns the workspaces; `None` where requests need no key.
    ///
    /// See [`PublishedConfig::with_access`] for an example.
    pub fn access(&self) -> Option<&Arc<AccessTable>> {
        self.access.as_ref()
    }

    /// Returns the route for a host and path: the one with the longest prefix that matches the
    /// path.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::PublishedConfig;
    ///
    /// assert!(PublishedConfig::default().find_route("a.example", "/x/y").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        self.routes.find(host, path)
    }

    /// Returns a service by its name.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::PublishedConfig;
    ///
    /// assert!(PublishedConfig::default().service("booking").is_none());
    /// ```
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRecord>> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::PublishedConfig;
    ///
    /// assert_eq!(PublishedConfig::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRecord>> {
        self.services.values()
    }

    /// Returns all routes.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::PublishedConfig;
    ///
    /// assert_eq!(PublishedConfig::default().routes().count(), 0);
    /// ```
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRecord>> {
        self.routes.iter()
    }

    /// Returns the number of routes.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::PublishedConfig;
    ///
    /// assert_eq!(PublishedConfig::default().route_count(), 0);
    /// ```
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
