//! For how long a process has followed what the store publishes: what it has not seen in that time has not been there.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{MonoTime, ServiceName};
use crate::route::{RouteKind, RouteRecord};

/// Longest time between two notes of a process that runs. One that was paused may have read the store anew before its next
/// note, and has not seen what came and went meanwhile.
const MAX_NOTE_INTERVAL: Duration = Duration::from_secs(7);

/// Services of a route, and since when it has led to no others.
#[derive(Clone, Debug)]
struct SteadyRoute {
    services: Vec<ServiceName>,
    since: MonoTime,
}

/// Time for which this process has followed the store without a gap, and for which each route whose streams may be
/// resumed has led to the same services.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::origin::WatchHistory;
/// use quillcove_core::route::{RouteKind, example_route};
///
/// let route = example_route(RouteKind::ResumableStream);
/// let mut history = WatchHistory::default();
/// history.note_followed(true, [&route], Duration::from_secs(1));
/// assert!(history.covers(&route, Duration::from_secs(1)));
/// assert!(!history.covers(&route, Duration::ZERO), "nothing is known of before");
/// ```
#[derive(Clone, Debug, Default)]
pub struct WatchHistory {
    followed_since: Option<MonoTime>,
    noted_at: MonoTime,
    routes: BTreeMap<String, SteadyRoute>,
}

impl WatchHistory {
    /// Records whether what the store publishes is known as it is now, and the routes in force.
    ///
    /// See [`WatchHistory`] for an example.
    pub fn note_followed<'a>(
        &mut self,
        is_current: bool,
        routes: impl IntoIterator<Item = &'a RouteRecord>,
        now: MonoTime,
    ) {
        let was_paused = now.saturating_sub(self.noted_at) > MAX_NOTE_INTERVAL;
        let since = self.followed_since.filter(|_| !was_paused);
        self.followed_since = is_current.then(|| since.unwrap_or(now));
        self.noted_at = now;
        for route in routes.into_iter().filter(|route| route.kind == RouteKind::ResumableStream) {
            let steady = || SteadyRoute { services: services_of(route), since: now };
            self.routes.entry(route.name.clone()).or_insert_with(steady);
        }
    }

    /// Forgets the routes that a new configuration lacks or sends to other services.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::origin::WatchHistory;
    /// use quillcove_core::route::{RouteKind, example_route};
    ///
    /// let route = example_route(RouteKind::ResumableStream);
    /// let mut history = WatchHistory::default();
    /// history.note_followed(true, [&route], Duration::ZERO);
    /// history.forget_changed([]);
    /// assert!(!history.covers(&route, Duration::ZERO));
    /// ```
    pub fn forget_changed<'a>(&mut self, routes: impl IntoIterator<Item = &'a RouteRecord>) {
        let named: BTreeMap<&str, &RouteRecord> =
            routes.into_iter().map(|route| (route.name.as_str(), route)).collect();
        self.routes.retain(|name, steady| {
            named.get(name.as_str()).is_some_and(|route| services_of(route) == steady.services)
        });
    }

    /// Returns whether the list has been followed, and the route has led to the same services, since `begin`.
    ///
    /// See [`WatchHistory`] for an example.
    pub fn covers(&self, route: &RouteRecord, begin: MonoTime) -> bool {
        let is_followed = self.followed_since.is_some_and(|since| since <= begin);
        is_followed && self.routes.get(&route.name).is_some_and(|steady| steady.since <= begin)
    }
}

/// Returns the services that get requests of a route.
fn services_of(route: &RouteRecord) -> Vec<ServiceName> {
    let targets = route.targets.iter().filter(|target| target.weight > 0);
    targets.map(|target| target.service.clone()).collect()
}
