//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::entry::event::{EntryRules, RouteRule};

use super::ini::SettingSource;
use super::shared::{
    BundleSection, LogSection, MachineSection, PlatformSection, ProcessSection, StopSection,
};

/// Largest body that may be configured, in bytes.
const BODY_MOST: usize = 64 << 20;

/// All settings of an entry.
#[derive(Clone, Debug, Default)]
pub struct EntrySettings {
    /// `[process]`.
    pub process: ProcessSection,
    /// `[machine]`.
    pub machine: MachineSection,
    /// `[listen]`.
    pub listen: EntryListen,
    /// `[platform]`.
    pub platform: PlatformSection,
    /// `[bundle]`.
    pub bundle: BundleSection,
    /// `[requests]`.
    pub requests: RequestSection,
    /// `[routing]`.
    pub routing: RoutingSection,
    /// `[log]`.
    pub log: LogSection,
    /// `[stop]`.
    pub stop: StopSection,
}

impl EntrySettings {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        Self {
            process: ProcessSection::read(source),
            machine: MachineSection::read(source),
            listen: EntryListen::read(source),
            platform: PlatformSection::read(source),
            bundle: BundleSection::read(source),
            requests: RequestSection::read(source),
            routing: RoutingSection::read(source),
            log: LogSection::read(source),
            stop: StopSection::read(source),
        }
    }

    /// Settings of the machine that decides.
    ///
    /// ```
    /// use quillcove::config::entry::EntrySettings;
    ///
    /// assert_eq!(EntrySettings::default().rules().attempt_limit, 4);
    /// ```
    pub fn rules(&self) -> EntryRules {
        let routing = &self.routing;
        EntryRules {
            hall: self.process.hall.clone(),
            route: routing.rule,
            load_bound: routing.load_bound,
            far_penalty: routing.far_penalty,
            request_limit: self.requests.limit,
            attempt_limit: routing.attempt_limit as u32,
            retry_share: routing.retry_share,
            eject_after: routing.eject_after as u32,
            eject_time: routing.eject_time,
            eject_floor: routing.eject_floor,
            slow_start: routing.slow_start,
            ..EntryRules::default()
        }
    }
}

/// `[listen]` of an entry.
#[derive(Clone, Debug)]
pub struct EntryListen {
    /// `callers`: address for callers.
    pub callers: SocketAddr,
    /// `operator`: address for operators.
    pub operator: SocketAddr,
    /// `threads`: worker threads that serve callers.
    pub threads: usize,
}

impl Default for EntryListen {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { callers: any_port, operator: any_port, threads: 1 }
    }
}

impl EntryListen {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        Self {
            callers: source.address("listen", "callers"),
            operator: source.address("listen", "operator"),
            threads: source.number("listen", "threads", default.threads, 1, 64),
        }
    }
}

/// `[requests]`: limits of callers' requests.
#[derive(Clone, Debug)]
pub struct RequestSection {
    /// `limit`: most requests in flight.
    pub limit: usize,
    /// `body_limit`: largest body, in bytes.
    pub body_limit: usize,
    /// `deadline`: time for a request that names none.
    pub deadline: Duration,
    /// `batch_deadline`: time for a batch-class request that names none.
    pub batch_deadline: Duration,
    /// `deadline_limit`: longest time that a request may name.
    pub deadline_limit: Duration,
    /// `body_timeout`: longest time in which a caller sends its body.
    pub body_timeout: Duration,
    /// `connect_timeout`: longest time for a connection to an agent.
    pub connect_timeout: Duration,
}

impl Default for RequestSection {
    fn default() -> Self {
        Self {
            limit: 4096,
            body_limit: 4 << 20,
            deadline: Duration::from_secs(30),
            batch_deadline: Duration::from_secs(3600),
            deadline_limit: Duration::from_secs(12 * 3600),
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(300),
        }
    }
}

impl RequestSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "requests";
        Self {
            limit: source.number(section, "limit", default.limit, 1, 1 << 20),
            body_limit: source.number(section, "body_limit", default.body_limit, 1024, BODY_MOST),
            deadline: source.time(section, "deadline", default.deadline),
            batch_deadline: source.time(section, "batch_deadline", default.batch_deadline),
            deadline_limit: source.time(section, "deadline_limit", default.deadline_limit),
            body_timeout: source.time(section, "body_timeout", default.body_timeout),
            connect_timeout: source.time(section, "connect_timeout", default.connect_timeout),
        }
    }
}

/// `[routing]`: choice of the upstream, repeats, and leaving out failed ones.
#[derive(Clone, Debug)]
pub struct RoutingSection {
    /// `rule`: `bounded-rendezvous`, or one of the baselines `random`, `least-loaded` and
    /// `rendezvous`.
    pub rule: RouteRule,
    /// `load_bound`: times the mean load that an upstream may have before the next is taken.
    pub load_bound: f64,
    /// `far_penalty`: rank that a host in another hall loses.
    pub far_penalty: f64,
    /// `attempt_limit`: most attempts for one request.
    pub attempt_limit: usize,
    /// `retry_share`: repeats as a share of first attempts.
    pub retry_share: f64,
    /// `eject_after`: failures in a row after which an upstream is left out.
    pub eject_after: usize,
    /// `eject_time`: first time that it is left out.
    pub eject_time: Duration,
    /// `eject_floor`: share of upstreams that always stay in.
    pub eject_floor: f64,
    /// `slow_start`: time until a returned upstream has its full share.
    pub slow_start: Duration,
}

impl Default for RoutingSection {
    fn default() -> Self {
        let rules = EntryRules::default();
        Self {
            rule: rules.route,
            load_bound: rules.load_bound,
            far_penalty: rules.far_penalty,
            attempt_limit: rules.attempt_limit as usize,
            retry_share: rules.retry_share,
            eject_after: rules.eject_after as usize,
            eject_time: rules.eject_time,
            eject_floor: rules.eject_floor,
            slow_start: rules.slow_start,
        }
    }
}

/// Words for the routing rules.
pub const ROUTE_RULES: [(&str, RouteRule); 4] = [
    ("bounded-rendezvous", RouteRule::BoundedRendezvous),
    ("rendezvous", RouteRule::Rendezvous),
    ("least-loaded", RouteRule::LeastLoaded),
    ("random", RouteRule::Random),
];

impl RoutingSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "routing";
        Self {
            rule: source.choice(section, "rule", default.rule, &ROUTE_RULES),
            load_bound: source.fraction(section, "load_bound", default.load_bound, 1.0, 100.0),
            far_penalty: source.fraction(section, "far_penalty", default.far_penalty, 0.0, 1.0),
            attempt_limit: source.number(section, "attempt_limit", default.attempt_limit, 1, 16),
            retry_share: source.fraction(section, "retry_share", default.retry_share, 0.0, 1.0),
            eject_after: source.number(section, "eject_after", default.eject_after, 1, 1000),
            eject_time: source.time(section, "eject_time", default.eject_time),
            eject_floor: source.fraction(section, "eject_floor", default.eject_floor, 0.0, 1.0),
            slow_start: source.time(section, "slow_start", default.slow_start),
        }
    }
}
