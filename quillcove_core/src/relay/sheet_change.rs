//! What differs between two sheets, small enough for a datagram where a whole sheet is not.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::sheet::{CallerLimits, RouteSheet, ServiceRecord, SheetVersion};
use crate::route::RouteRecord;

/// Most routes that a change names, some 150 bytes each, so that it fits into a datagram.
const MOST_ROUTES: usize = 64;

/// What a sheet has that an earlier one has not, and the other way round. Workspaces are not among it: where a sheet has
/// some, relays read it whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SheetChange {
    /// Version of the sheet that it is applied to.
    base: SheetVersion,
    /// Version of the sheet that comes out.
    version: SheetVersion,
    /// Routes that are new or have changed.
    routes: Vec<RouteRecord>,
    /// Host and prefix of routes that are gone.
    gone: Vec<(String, String)>,
    /// All services, where one has changed.
    services: Option<Vec<ServiceRecord>>,
    limits: CallerLimits,
    /// Digest of the routes that come out.
    digest: u64,
}

impl SheetChange {
    /// What has changed from one sheet to another; `None` where it can't be told in this way.
    ///
    /// ```
    /// use quillcove_core::relay::sheet::{CallerLimits, RouteSheet};
    /// use quillcove_core::relay::sheet_change::SheetChange;
    ///
    /// let sheet = |version| RouteSheet::new(version, vec![], vec![], CallerLimits::default());
    /// let change = SheetChange::between(&sheet(2), &sheet(5)).unwrap();
    /// assert_eq!(change.apply(&sheet(2)).unwrap().version, 5);
    /// assert!(change.apply(&sheet(3)).is_none(), "it was made for another one");
    /// ```
    pub fn between(before: &RouteSheet, after: &RouteSheet) -> Option<Self> {
        if before.access().is_some() || after.access().is_some() {
            return None;
        }
        let known = by_place(before)?;
        let there = by_place(after)?;
        let is_new = |(place, route): &(&RoutePlace<'_>, &&RouteRecord)| {
            known.get(*place).is_none_or(|before| before != *route)
        };
        let routes: Vec<RouteRecord> =
            there.iter().filter(is_new).map(|(_, route)| (*route).clone()).collect();
        let is_gone = |place: &&RoutePlace<'_>| !there.contains_key(*place);
        let owned = |(host, prefix): &RoutePlace<'_>| (host.to_string(), prefix.to_string());
        let gone: Vec<(String, String)> = known.keys().filter(is_gone).map(owned).collect();
        if routes.len() + gone.len() > MOST_ROUTES {
            return None;
        }
        let services = services_of(after);
        let has_same_services = services == services_of(before);
        Some(Self {
            base: before.version,
            version: after.version,
            routes,
            gone,
            services: (!has_same_services).then_some(services),
            limits: after.limits,
            digest: digest_of(after),
        })
    }

    /// The sheet that comes out; `None` where this was made for another one, or something else comes out.
    ///
    /// See [`SheetChange::between`] for an example.
    pub fn apply(&self, before: &RouteSheet) -> Option<RouteSheet> {
        if before.version != self.base || before.access().is_some() {
            return None;
        }
        let mut there = by_place(before)?;
        for (host, prefix) in &self.gone {
            there.remove(&(host.as_str(), prefix.as_str()));
        }
        for route in &self.routes {
            there.insert((route.host.as_str(), route.prefix.as_str()), route);
        }
        let routes = there.into_values().cloned().collect();
        let services = self.services.clone().unwrap_or_else(|| services_of(before));
        let after = RouteSheet::new(self.version, routes, services, self.limits);
        (digest_of(&after) == self.digest).then_some(after)
    }
}

/// Host and prefix of a route.
type RoutePlace<'a> = (&'a str, &'a str);

/// Routes by their places; `None` where two have the same.
fn by_place(sheet: &RouteSheet) -> Option<HashMap<RoutePlace<'_>, &RouteRecord>> {
    let mut places = HashMap::new();
    for route in sheet.routes() {
        let place = (route.host.as_str(), route.prefix.as_str());
        if places.insert(place, route.as_ref()).is_some() {
            return None;
        }
    }
    Some(places)
}

fn services_of(sheet: &RouteSheet) -> Vec<ServiceRecord> {
    let mut services: Vec<ServiceRecord> =
        sheet.services().map(|service: &Arc<ServiceRecord>| service.as_ref().clone()).collect();
    services.sort_by(|one, other| one.name.cmp(&other.name));
    services
}

/// A digest of all routes, in whichever order they stand.
fn digest_of(sheet: &RouteSheet) -> u64 {
    let of_route = |route: &Arc<RouteRecord>| {
        let mut hasher = SipHasher13::new();
        format!("{route:?}").hash(&mut hasher);
        hasher.finish()
    };
    sheet.routes().map(of_route).fold(0, u64::wrapping_add)
}
