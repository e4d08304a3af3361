//! The routes of a bundle's text.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::{RawBundle, TextCheck};
use crate::class::WorkClass;
use crate::route::{RouteKind, RouteRecord, RouteShare, RouteTable};

/// Longest time that a route may give a request, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 3_600_000;

/// Most upstreams that one request may be sent to; each costs the others capacity.
const ATTEMPT_LIMIT: u32 = 8;

/// Names of the kinds of routes.
const KINDS: [(&str, RouteKind); 4] = [
    ("safe", RouteKind::Safe),
    ("unsafe", RouteKind::Unsafe),
    ("stream", RouteKind::Stream),
    ("resumable-stream", RouteKind::ResumableStream),
];

/// One route as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRoute {
    host: Spanned<String>,
    prefix: Spanned<String>,
    kind: Spanned<String>,
    /// The one service; absent where the requests are split.
    service: Option<Spanned<String>>,
    /// Services with their weights.
    #[serde(default)]
    split: BTreeMap<Spanned<String>, u32>,
    timeout_ms: Spanned<u64>,
    /// Time within which an answer is of full use; the timeout when it is not given.
    aim_ms: Option<Spanned<u64>>,
    priority: Option<Spanned<String>>,
    attempts: Option<Spanned<u32>>,
}

impl TextCheck<'_> {
    pub(super) fn routes(&mut self, raw: &RawBundle) -> RouteTable {
        let mut places: HashMap<(String, String), &str> = HashMap::new();
        let mut checked = Vec::new();
        for (name, route) in &raw.routes {
            self.name("routes", name);
            let name = name.get_ref();
            let record = self.route(raw, name, route);
            let place = (record.host.clone(), record.prefix.clone());
            if let Some(other) = places.insert(place, name) {
                let message = format!("routes.{name} has the host and prefix of routes.{other}");
                self.fault(route.prefix.span(), message);
            }
            checked.push(record);
        }
        RouteTable::new(checked)
    }

    fn route(&mut self, raw: &RawBundle, name: &str, route: &RawRoute) -> RouteRecord {
        let timeout_ms = *route.timeout_ms.get_ref();
        if timeout_ms == 0 || timeout_ms > TIMEOUT_LIMIT_MS {
            let message =
                format!("routes.{name}.timeout_ms is {timeout_ms}; it is 1 to {TIMEOUT_LIMIT_MS}");
            self.fault(route.timeout_ms.span(), message);
        }
        let aim_ms = route.aim_ms.as_ref().map_or(timeout_ms, |aim| *aim.get_ref());
        if let Some(aim) = route.aim_ms.as_ref().filter(|_| aim_ms == 0 || aim_ms > timeout_ms) {
            let message =
                format!("routes.{name}.aim_ms is {aim_ms}; it is 1 to timeout_ms, {timeout_ms}");
            self.fault(aim.span(), message);
        }
        let attempt_limit = route.attempts.as_ref().map_or(1, |attempts| *attempts.get_ref());
        if let Some(attempts) = &route.attempts
            && !(1..=ATTEMPT_LIMIT).contains(&attempt_limit)
        {
            let message =
                format!("routes.{name}.attempts is {attempt_limit}; it is 1 to {ATTEMPT_LIMIT}");
            self.fault(attempts.span(), message);
        }
        RouteRecord {
            name: name.to_string(),
            host: self.route_host(name, route),
            prefix: self.route_prefix(name, route),
            kind: self.route_kind(name, route),
            timeout: Duration::from_millis(timeout_ms),
            aim: Duration::from_millis(aim_ms),
            patience: None,
            priority: self.route_priority(name, route),
            attempt_limit,
            // A bundle names no workspaces.
            is_public: true,
            targets: self.route_targets(raw, name, route),
        }
    }

    fn route_host(&mut self, name: &str, route: &RawRoute) -> String {
        let host = route.host.get_ref();
        let is_known = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'.' || byte == b'-';
        if host.is_empty() || !host.bytes().all(is_known) {
            let message = format!(
                "routes.{name}.host is '{host}'; it is a host name without a port: letters, \
                 digits, dots and dashes"
            );
            self.fault(route.host.span(), message);
        }
        host.to_ascii_lowercase()
    }

    fn route_prefix(&mut self, name: &str, route: &RawRoute) -> String {
        let prefix = route.prefix.get_ref();
        let is_path = prefix.starts_with('/') && prefix.ends_with('/');
        if !is_path || prefix.contains(['?', '#', ' ']) {
            let message = format!(
                "routes.{name}.prefix is '{prefix}'; it is a path that begins and ends with '/'"
            );
            self.fault(route.prefix.span(), message);
        }
        prefix.clone()
    }

    fn route_kind(&mut self, name: &str, route: &RawRoute) -> RouteKind {
        let kind = route.kind.get_ref();
        if let Some((_, found)) = KINDS.iter().find(|(label, _)| label == kind) {
            return *found;
        }
        let labels: Vec<&str> = KINDS.iter().map(|(label, _)| *label).collect();
        let message = format!("routes.{name}.kind is '{kind}'; it is one of {}", labels.join(", "));
        self.fault(route.kind.span(), message);
        RouteKind::Unsafe
    }

    fn route_priority(&mut self, name: &str, route: &RawRoute) -> u8 {
        let Some(priority) = &route.priority else {
            return WorkClass::default() as u8;
        };
        if let Some(class) = WorkClass::from_label(priority.get_ref()) {
            return class as u8;
        }
        let message = format!(
            "routes.{name}.priority is '{}'; it is urgent, normal or batch",
            priority.get_ref()
        );
        self.fault(priority.span(), message);
        WorkClass::default() as u8
    }

    fn route_targets(&mut self, raw: &RawBundle, name: &str, route: &RawRoute) -> Vec<RouteShare> {
        let split = route.split.iter().map(|(service, weight)| (service, *weight));
        let targets: Vec<(&Spanned<String>, u32)> = match &route.service {
            Some(service) if route.split.is_empty() => vec![(service, 1)],
            None if !route.split.is_empty() => split.collect(),
            Some(_) | None => {
                let message = format!("routes.{name} names either 'service' or 'split'");
                self.fault(route.host.span(), message);
                return Vec::new();
            },
        };
        if targets.iter().all(|(_, weight)| *weight == 0) {
            let message = format!("routes.{name}.split has no weight above 0");
            self.fault(route.host.span(), message);
        }
        for (service, _) in &targets {
            let is_known = raw.services.keys().any(|known| known.get_ref() == service.get_ref());
            if !is_known {
                let message = format!(
                    "routes.{name} leads to '{}', which [services] does not list",
                    service.get_ref()
                );
                self.fault(service.span(), message);
            }
        }
        let share = |(service, weight): (&Spanned<String>, u32)| RouteShare {
            service: service.get_ref().clone(),
            weight,
        };
        targets.into_iter().map(share).collect()
    }
}
