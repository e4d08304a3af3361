//! The configuration in force: routes, services and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::access::workspace::AccessTable;
use crate::ids::{ModelName, ServiceName};
use crate::route::{RouteRecord, RouteTable};
use crate::standing::limit::RateLimit;

/// Version of a route sheet; the platform raises it with each change.
pub type SheetVersion = u64;

/// A base model of an engine service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRecord {
    /// Name.
    pub name: ModelName,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one adapter, in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store when nothing else loads.
    pub load_time: Duration,
    /// Time of a load from the disk of an engine's host.
    pub disk_load_time: Duration,
}

/// What is known of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Base models that they may hold; the first is the busiest.
    pub models: Vec<ModelRecord>,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Most adapters that one engine holds.
    pub adapter_places: usize,
    /// Loads a second that the weight store permits over all engines.
    pub loads_per_second: f64,
}

impl EngineRecord {
    /// Adapters for which an engine has room beside a base model.
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

    /// Time between the starts of two loads from the weight store.
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
        Duration::from_secs_f64(1.0 / self.loads_per_second.max(SLOWEST_RATE))
    }
}

/// Loads a second when the platform names none, so that a pause between two is defined.
const SLOWEST_RATE: f64 = 0.1;

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Name.
    pub name: ServiceName,
    /// Connections that one replica accepts from all callers together.
    pub connection_limit: usize,
    /// Requests that one replica bears from all callers together while it is cold; `None` where that is not
    /// limited.
    pub cold_rate: Option<RateLimit>,
    /// Given for model engines; `None` for plain services.
    pub engine: Option<EngineRecord>,
}

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head, and for a body, to arrive.
    pub read_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Used until a sheet is in force; the values are those of hyper's own defaults or near them.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSheet {
    /// Version; only growing ones are taken.
    pub version: SheetVersion,
    /// Routes by host and path.
    routes: RouteTable,
    /// Services by name.
    services: HashMap<ServiceName, Arc<ServiceRecord>>,
    /// Limits of what callers may send.
    pub limits: CallerLimits,
    /// Workspaces; `None` where requests need no key.
    access: Option<Arc<AccessTable>>,
}

impl RouteSheet {
    /// A sheet of these parts.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::{CallerLimits, RouteSheet};
    ///
    /// let sheet = RouteSheet::new(7, Vec::new(), Vec::new(), CallerLimits::default());
    /// assert!(sheet.find_route("a.example", "/").is_none());
    /// ```
    pub fn new(
        version: SheetVersion,
        routes: Vec<RouteRecord>,
        services: Vec<ServiceRecord>,
        limits: CallerLimits,
    ) -> Self {
        let named = |service: ServiceRecord| (service.name.clone(), Arc::new(service));
        let services = services.into_iter().map(named).collect();
        Self { version, routes: RouteTable::new(routes), services, limits, access: None }
    }

    /// The same sheet with workspaces, so that routes which are not public need a key.
    ///
    /// ```
    /// use quillcove_core::access::workspace::AccessTable;
    /// use quillcove_core::relay::sheet::RouteSheet;
    ///
    /// let sheet = RouteSheet::default().with_access(AccessTable::default());
    /// assert!(sheet.access().is_some());
    /// ```
    pub fn with_access(mut self, access: AccessTable) -> Self {
        self.access = Some(Arc::new(access));
        self
    }

    /// The workspaces; `None` where requests need no key.
    ///
    /// See [`RouteSheet::with_access`] for an example.
    pub fn access(&self) -> Option<&Arc<AccessTable>> {
        self.access.as_ref()
    }

    /// The route of a host and path: the one with the longest prefix that begins the path.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::RouteSheet;
    ///
    /// assert!(RouteSheet::default().find_route("a.example", "/x/y").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        self.routes.find(host, path)
    }

    /// A service by its name.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::RouteSheet;
    ///
    /// assert!(RouteSheet::default().service("booking").is_none());
    /// ```
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRecord>> {
        self.services.get(name)
    }

    /// All services.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::RouteSheet;
    ///
    /// assert_eq!(RouteSheet::default().services().count(), 0);
    /// ```
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRecord>> {
        self.services.values()
    }

    /// All routes.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::RouteSheet;
    ///
    /// assert_eq!(RouteSheet::default().routes().count(), 0);
    /// ```
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRecord>> {
        self.routes.iter()
    }

    /// Number of routes.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::RouteSheet;
    ///
    /// assert_eq!(RouteSheet::default().route_count(), 0);
    /// ```
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
