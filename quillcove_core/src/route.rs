//! Routes: which service takes the requests of a host and path, and what may be done with them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::WorkClass;
use crate::ids::ServiceName;

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each request id.
    Unsafe,
    /// Answered with events; runs at most once.
    Stream,
    /// Answered with events; another replica may go on after a given event.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a request may be sent again after it may have run.
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

    /// Tells whether the answer is a series of events.
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

/// A service that a route leads to, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Share relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Name, for logs.
    pub name: String,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Start of the paths; begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer begins to be of full use.
    pub aim: Duration,
    /// Silence after which callers of a stream leave, when they do so before its timeout.
    pub patience: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most replicas that one request is sent to.
    pub attempt_limit: u32,
    /// Whether its requests need no key where there are workspaces.
    pub is_public: bool,
    /// Services, with their shares.
    pub targets: Vec<RouteShare>,
}

impl RouteRecord {
    /// Class of its requests, by its rank.
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

    /// Draws the service of a request by the route's weights; `None` when all weights are 0.
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
    ///     is_public: true,
    ///     targets: vec![share("old", 90), share("new", 10)],
    /// };
    /// assert_eq!(route.draw_service(89).unwrap(), "old");
    /// assert_eq!(route.draw_service(90).unwrap(), "new");
    /// ```
    pub fn draw_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut place = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(&target.service);
            }
            place -= weight;
        }
        None
    }
}

/// Routes by host and path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Routes by host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteRecord>>>,
}

impl RouteTable {
    /// A table of these routes.
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

    /// The route of a host, with or without a port, and path: the one with the longest prefix that
    /// begins the path.
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

    /// Number of routes.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert_eq!(RouteTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Tells whether there are no routes.
    ///
    /// ```
    /// use quillcove_core::route::RouteTable;
    ///
    /// assert!(RouteTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// All routes, in no order.
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
