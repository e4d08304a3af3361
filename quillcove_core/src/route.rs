//! Routes map the host and path of a request to a service and define whether the request may be
//! retried.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::WorkClass;
use crate::ids::ServiceName;

/// Whether a route's requests may run more than once, and whether the response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// A request runs at most once for each request id.
    Unsafe,
    /// The response is an event stream; a request runs at most once.
    Stream,
    /// The response is an event stream, which another replica can resume after a given event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may be retried after it may have run.
    ///
    /// ```
    /// use quillcove_core::route::RouteKind;
    ///
    /// assert!(RouteKind::Safe.is_repeatable());
    /// assert!(!RouteKind::Stream.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    ///
    /// ```
    /// use quillcove_core::route::RouteKind;
    ///
    /// assert!(RouteKind::ResumableStream.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service that a route targets, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name of the matching requests, in lower case.
    pub host: String,
    /// Prefix of the matching paths; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target latency: a response that starts within this time is of full value.
    pub aim: Duration,
    /// Abandon timeout: silence after which callers of a stream disconnect, if shorter than the
    /// timeout.
    pub patience: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of replicas that one request is sent to.
    pub attempt_limit: u32,
    /// Longest time between two events of a response that still meets its target; `None` where there is none.
    pub target_gap: Option<Duration>,
    /// Whether its requests need no key where workspaces are configured.
    pub is_public: bool,
    /// Services with their weights.
    pub targets: Vec<RouteShare>,
}

/// Returns a route `r` of any path to the service `s`, for the examples of this documentation.
///
/// ```
/// use quillcove_core::route::{RouteKind, example_route};
///
/// assert_eq!(example_route(RouteKind::Safe).targets.len(), 1);
/// ```
pub fn example_route(kind: RouteKind) -> RouteRecord {
    RouteRecord {
        name: "r".to_string(),
        host: "a.example".to_string(),
        prefix: "/".to_string(),
        kind,
        timeout: Duration::from_secs(1),
        aim: Duration::from_millis(100),
        patience: None,
        priority: 0,
        attempt_limit: 1,
        target_gap: None,
        is_public: true,
        targets: vec![RouteShare { service: "s".to_string(), weight: 1 }],
    }
}

impl RouteRecord {
    /// Returns the work class that corresponds to the priority.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::class::WorkClass;
    /// use quillcove_core::route::{RouteKind, RouteRecord};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     target_gap: None,
    ///     is_public: true,
    ///     targets: Vec::new(),
    /// };
    /// assert_eq!(route.class(), WorkClass::Urgent);
    /// ```
    pub fn class(&self) -> WorkClass {
        match self.priority {
            0 => WorkClass::Urgent,
            1 => WorkClass::Normal,
            _ => WorkClass::Batch,
        }
    }

    /// Chooses the service of a request by the targets' weights and a random number. Returns `None` if
    /// all weights are 0.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::route::{RouteKind, RouteRecord, RouteShare};
    ///
    /// let share = |service: &str, weight| RouteShare { service: service.into(), weight };
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     target_gap: None,
    ///     is_public: true,
    ///     targets: vec![share("old", 90), share("new", 10)],
    /// };
    /// assert_eq!(route.choose_service(89).unwrap(), "old");
    /// assert_eq!(route.choose_service(90).unwrap(), "new");
    /// ```
    pub fn choose_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut offset = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}

/// Lookup table of routes by host and path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Routes by host, in descending order of prefix length.
    hosts: HashMap<String, Vec<Arc<RouteRecord>>>,
}

impl RouteTable {
    /// Creates a table of the given routes.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert!(RouteTable::new(Vec::new()).is_empty());
    /// ```
    pub fn new(routes: Vec<RouteRecord>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteRecord>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route for a host and a path: of the host's routes, the one with the longest prefix
    /// of the path. The host may include a port and matches in any letter case.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert!(RouteTable::default().find("a.example:80", "/x/y").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the number of routes.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert_eq!(RouteTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert!(RouteTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Iterates over all routes in arbitrary order.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert_eq!(RouteTable::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Arc<RouteRecord>> {
        self.hosts.values().flatten()
    }
}
