//! Difference between two configurations, small enough for a datagram where a whole configuration
//! is not.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::sheet::{CallerLimits, ConfigVersion, PublishedConfig, ServiceRecord};
use crate::rendezvous::stable_hash;
use crate::route::RouteRecord;

/// Most routes in a change, at some 150 bytes each, so that it fits into a datagram.
const MAX_ROUTES: usize = 64;

/// Difference between a configuration and a later one. Workspaces are not included: a relay reads a
/// configuration that has some as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Version of the configuration that the change applies to.
    base: ConfigVersion,
    /// Version of the resulting configuration.
    version: ConfigVersion,
    /// Routes that were added or changed.
    routes: Vec<RouteRecord>,
    /// Host and prefix of removed routes.
    gone: Vec<(String, String)>,
    /// All services, if one has changed.
    services: Option<Vec<ServiceRecord>>,
    limits: CallerLimits,
    /// Digest of the resulting routes.
    digest: u64,
}

impl ConfigChange {
    /// Computes the change from one configuration to another. Returns `None` where it can't be
    /// expressed: one of them has workspaces, two routes have the same host and prefix, or too many
    /// routes differ.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::{CallerLimits, PublishedConfig};
    /// use quillcove_core::relay::sheet_change::ConfigChange;
    ///
    /// let config = |version| PublishedConfig::new(version, vec![], vec![], CallerLimits::default());
    /// let change = ConfigChange::between(&config(2), &config(5)).unwrap();
    /// assert_eq!(change.apply(&config(2)).unwrap().version, 5);
    /// assert!(change.apply(&config(3)).is_none(), "made for another version");
    /// ```
    pub fn between(before: &PublishedConfig, after: &PublishedConfig) -> Option<Self> {
        if before.access().is_some() || after.access().is_some() {
            return None;
        }
        let old_routes = index_routes(before)?;
        let new_routes = index_routes(after)?;
        let is_new = |(key, route): &(&RouteKey<'_>, &&RouteRecord)| {
            old_routes.get(*key).is_none_or(|before| before != *route)
        };
        let routes: Vec<RouteRecord> =
            new_routes.iter().filter(is_new).map(|(_, route)| (*route).clone()).collect();
        let is_gone = |key: &&RouteKey<'_>| !new_routes.contains_key(*key);
        let owned = |(host, prefix): &RouteKey<'_>| (host.to_string(), prefix.to_string());
        let gone: Vec<(String, String)> = old_routes.keys().filter(is_gone).map(owned).collect();
        if routes.len() + gone.len() > MAX_ROUTES {
            return None;
        }
        let services = sorted_services(after);
        let has_same_services = services == sorted_services(before);
        Some(Self {
            base: before.version,
            version: after.version,
            routes,
            gone,
            services: (!has_same_services).then_some(services),
            limits: after.limits,
            digest: routes_digest(after),
        })
    }

    /// Returns the resulting configuration; `None` where the change was made for another version or
    /// the digest of the resulting routes differs.
    ///
    /// See [`ConfigChange::between`] for an example.
    pub fn apply(&self, before: &PublishedConfig) -> Option<PublishedConfig> {
        if before.version != self.base || before.access().is_some() {
            return None;
        }
        let mut routes_by_key = index_routes(before)?;
        for (host, prefix) in &self.gone {
            routes_by_key.remove(&(host.as_str(), prefix.as_str()));
        }
        for route in &self.routes {
            routes_by_key.insert((route.host.as_str(), route.prefix.as_str()), route);
        }
        let routes = routes_by_key.into_values().cloned().collect();
        let services = self.services.clone().unwrap_or_else(|| sorted_services(before));
        let after = PublishedConfig::new(self.version, routes, services, self.limits);
        (routes_digest(&after) == self.digest).then_some(after)
    }
}

/// Host and prefix of a route.
type RouteKey<'a> = (&'a str, &'a str);

/// Returns the routes by host and prefix; `None` where two routes have the same.
fn index_routes(config: &PublishedConfig) -> Option<HashMap<RouteKey<'_>, &RouteRecord>> {
    let mut routes = HashMap::new();
    for route in config.routes() {
        let key = (route.host.as_str(), route.prefix.as_str());
        if routes.insert(key, route.as_ref()).is_some() {
            return None;
        }
    }
    Some(routes)
}

fn sorted_services(config: &PublishedConfig) -> Vec<ServiceRecord> {
    let mut services: Vec<ServiceRecord> =
        config.services().map(|service: &Arc<ServiceRecord>| service.as_ref().clone()).collect();
    services.sort_by(|one, other| one.name.cmp(&other.name));
    services
}

/// Computes a digest of all routes that does not depend on their order.
fn routes_digest(config: &PublishedConfig) -> u64 {
    let route_digest = |route: &Arc<RouteRecord>| stable_hash(&format!("{route:?}"));
    config.routes().map(route_digest).fold(0, u64::wrapping_add)
}
