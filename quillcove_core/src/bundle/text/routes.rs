//! Validation of the routes in a bundle's text.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::{RawBundle, TextValidator};
use crate::class::WorkClass;
use crate::route::{RouteKind, RouteRecord, RouteShare, RouteTable};

/// Longest timeout of a route, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 3_600_000;

/// Highest number of upstreams to which one request may be sent. It is bounded because each attempt
/// takes capacity from other requests.
const ATTEMPT_LIMIT: u32 = 8;

/// Kinds of routes by their name in the text.
const KINDS: [(&str, RouteKind); 4] = [
    ("safe", RouteKind::Safe),
    ("unsafe", RouteKind::Unsafe),
    ("stream", RouteKind::Stream),
    ("resumable-stream", RouteKind::ResumableStream),
];

/// A route as written in the text.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawRoute {
    host: Spanned<String>,
    prefix: Spanned<String>,
    kind: Spanned<String>,
    /// The only service; absent if the requests are split among several.
    service: Option<Spanned<String>>,
    /// Weights of the services among which requests are split.
    #[serde(default)]
    split: BTreeMap<Spanned<String>, u32>,
    timeout_ms: Spanned<u64>,
    /// Target latency; the timeout if absent.
    aim_ms: Option<Spanned<u64>>,
    priority: Option<Spanned<String>>,
    attempts: Option<Spanned<u32>>,
}

impl TextValidator<'_> {
    pub(super) fn convert_routes(&mut self, raw: &RawBundle) -> RouteTable {
        let mut names_by_path: HashMap<(String, String), &str> = HashMap::new();
        let mut validated = Vec::new();
        for (name, route) in &raw.routes {
            self.validate_name("routes", name);
            let name = name.get_ref();
            let record = self.convert_route(raw, name, route);
            let path = (record.host.clone(), record.prefix.clone());
            if let Some(other) = names_by_path.insert(path, name) {
                let message = format!("routes.{name} has the host and prefix of routes.{other}");
                self.add_error(route.prefix.span(), message);
            }
            validated.push(record);
        }
        RouteTable::new(validated)
    }

    fn convert_route(&mut self, raw: &RawBundle, name: &str, route: &RawRoute) -> RouteRecord {
        let timeout_ms = *route.timeout_ms.get_ref();
        if timeout_ms == 0 || timeout_ms > TIMEOUT_LIMIT_MS {
            let message =
                format!("routes.{name}.timeout_ms is {timeout_ms}; it is 1 to {TIMEOUT_LIMIT_MS}");
            self.add_error(route.timeout_ms.span(), message);
        }
        let aim_ms = route.aim_ms.as_ref().map_or(timeout_ms, |aim| *aim.get_ref());
        if let Some(aim) = route.aim_ms.as_ref().filter(|_| aim_ms == 0 || aim_ms > timeout_ms) {
            let message =
                format!("routes.{name}.aim_ms is {aim_ms}; it is 1 to timeout_ms, {timeout_ms}");
            self.add_error(aim.span(), message);
        }
        let attempt_limit = route.attempts.as_ref().map_or(1, |attempts| *attempts.get_ref());
        if let Some(attempts) = &route.attempts
            && !(1..=ATTEMPT_LIMIT).contains(&attempt_limit)
        {
            let message =
                format!("routes.{name}.attempts is {attempt_limit}; it is 1 to {ATTEMPT_LIMIT}");
            self.add_error(attempts.span(), message);
        }
        RouteRecord {
            name: name.to_string(),
            host: self.convert_route_host(name, route),
            prefix: self.convert_route_prefix(name, route),
            kind: self.convert_route_kind(name, route),
            timeout: Duration::from_millis(timeout_ms),
            aim: Duration::from_millis(aim_ms),
            patience: None,
            priority: self.convert_route_priority(name, route),
            attempt_limit,
            target_gap: None,
            // A bundle has no workspaces, so its routes need no key.
            is_public: true,
            targets: self.convert_route_targets(raw, name, route),
        }
    }

    fn convert_route_host(&mut self, name: &str, route: &RawRoute) -> String {
        let host = route.host.get_ref();
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'.' || byte == b'-';
        if host.is_empty() || !host.bytes().all(is_allowed) {
            let message = format!(
                "routes.{name}.host is '{host}'; it is a host name without a port: letters, \
                 digits, dots and dashes"
            );
            self.add_error(route.host.span(), message);
        }
        host.to_ascii_lowercase()
    }

    fn convert_route_prefix(&mut self, name: &str, route: &RawRoute) -> String {
        let prefix = route.prefix.get_ref();
        let is_path = prefix.starts_with('/') && prefix.ends_with('/');
        if !is_path || prefix.contains(['?', '#', ' ']) {
            let message = format!(
                "routes.{name}.prefix is '{prefix}'; it is a path that begins and ends with '/'"
            );
            self.add_error(route.prefix.span(), message);
        }
        prefix.clone()
    }

    fn convert_route_kind(&mut self, name: &str, route: &RawRoute) -> RouteKind {
        let kind = route.kind.get_ref();
        if let Some((_, route_kind)) = KINDS.iter().find(|(label, _)| label == kind) {
            return *route_kind;
        }
        let labels: Vec<&str> = KINDS.iter().map(|(label, _)| *label).collect();
        let message = format!("routes.{name}.kind is '{kind}'; it is one of {}", labels.join(", "));
        self.add_error(route.kind.span(), message);
        RouteKind::Unsafe
    }

    fn convert_route_priority(&mut self, name: &str, route: &RawRoute) -> u8 {
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
        self.add_error(priority.span(), message);
        WorkClass::default() as u8
    }

    fn convert_route_targets(
        &mut self,
        raw: &RawBundle,
        name: &str,
        route: &RawRoute,
    ) -> Vec<RouteShare> {
        let split = route.split.iter().map(|(service, weight)| (service, *weight));
        let targets: Vec<(&Spanned<String>, u32)> = match &route.service {
            Some(service) if route.split.is_empty() => vec![(service, 1)],
            None if !route.split.is_empty() => split.collect(),
            Some(_) | None => {
                let message = format!("routes.{name} names either 'service' or 'split'");
                self.add_error(route.host.span(), message);
                return Vec::new();
            },
        };
        if targets.iter().all(|(_, weight)| *weight == 0) {
            let message = format!("routes.{name}.split has no weight above 0");
            self.add_error(route.host.span(), message);
        }
        for (service, _) in &targets {
            let is_known = raw.services.keys().any(|known| known.get_ref() == service.get_ref());
            if !is_known {
                let message = format!(
                    "routes.{name} targets service '{}', which [services] does not list",
                    service.get_ref()
                );
                self.add_error(service.span(), message);
            }
        }
        let share = |(service, weight): (&Spanned<String>, u32)| RouteShare {
            service: service.get_ref().clone(),
            weight,
        };
        targets.into_iter().map(share).collect()
    }
}
