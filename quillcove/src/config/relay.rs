//! Settings of a relay and of a loader.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use quillcove_core::access::limit::{LimitRule, LimitRules};
use quillcove_core::access::right::KeyValidityRules;
use quillcove_core::relay::follower::WatchRules;
use quillcove_core::relay::machine::RelayRules;
use quillcove_core::relay::policy::{
    ContentionRule, CopyRule, PlacementRule, PriorityRule, RelayPolicy, RoutingRule, SharingRule,
    WaitingRule,
};
use quillcove_core::relay::store_duty::DutyRules;

use super::ini::SettingSource;
use super::shared::{LogSection, MachineSection, ProcessSection, StopSection};

/// Share of the allowed ratio of repeats that a relay uses; the rest is for repeats that count in
/// another window than their first attempts.
const RETRY_RATIO_SHARE: f64 = 0.5;

/// Largest ratio of repeats to requests that is taken; beyond it there is in effect no bound.
const RETRY_RATIO_MOST: f64 = 100.0;

/// Largest fixed number of repeats that is taken; beyond it there is in effect no bound.
const RETRY_EXTRA_MOST: f64 = 1e9;

/// Largest overshoot and tolerance of limits that are taken; beyond it there is in effect no limit.
const LIMIT_MOST: f64 = 1e12;

/// All settings of a relay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelaySettings {
    /// `[process]`.
    pub process: ProcessSection,
    /// `[machine]`.
    pub machine: MachineSection,
    /// `[listen]`.
    pub listen: RelayListen,
    /// `[platform]`.
    pub platform: StoreSection,
    /// `[peers]`.
    pub peers: PeerSection,
    /// `[requests]`.
    pub requests: RelayRequestSection,
    /// `[routing]`.
    pub routing: RelayRoutingSection,
    /// `[access]`.
    pub access: AccessSection,
    /// `[policy]`.
    pub policy: PolicySection,
    /// `[log]`.
    pub log: LogSection,
    /// `[stop]`.
    pub stop: StopSection,
}

impl RelaySettings {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        Self {
            process: ProcessSection::read(source),
            machine: MachineSection::read(source),
            listen: RelayListen::read(source),
            platform: StoreSection::read(source),
            peers: PeerSection::read(source),
            requests: RelayRequestSection::read(source),
            routing: RelayRoutingSection::read(source),
            access: AccessSection::read(source),
            policy: PolicySection::read(source),
            log: LogSection::read(source),
            stop: StopSection::read(source),
        }
    }

    /// Settings of the machine that decides.
    ///
    /// ```
    /// use quillcove::config::relay::RelaySettings;
    ///
    /// assert_eq!(RelaySettings::default().rules().request_limit, 2048);
    /// ```
    pub fn rules(&self) -> RelayRules {
        RelayRules {
            host: self.process.host.clone(),
            hall: self.process.hall.clone(),
            retry_share: self.routing.retry_ratio * RETRY_RATIO_SHARE,
            retry_extra: self.routing.retry_extra,
            request_limit: self.requests.limit,
            drain_time: self.platform.drain_time,
            policy: self.policy.0,
            right: KeyValidityRules { bound: self.access.revocation_time },
            limits: LimitRules {
                window: self.access.limit_window,
                overshoot: self.access.limit_overshoot,
                tolerance: self.access.limit_tolerance,
                rule: self.policy.0.limits,
                has_peers: self.peers.seeds.iter().any(|seed| *seed != self.listen.control),
            },
        }
    }
}

/// What changed settings do to a running relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsChange {
    /// Sections that are taken over at once.
    pub taken: Vec<&'static str>,
    /// Sections that are taken over with the next start.
    pub waiting: Vec<&'static str>,
}

impl RelaySettings {
    /// What changes from these settings to newer ones.
    ///
    /// ```
    /// use quillcove::config::relay::RelaySettings;
    ///
    /// let mut newer = RelaySettings::default();
    /// newer.requests.limit = 7;
    /// newer.process.host = "other".into();
    /// let change = RelaySettings::default().change_to(&newer);
    /// assert_eq!((change.taken, change.waiting), (vec!["requests"], vec!["process"]));
    /// ```
    pub fn change_to(&self, newer: &Self) -> SettingsChange {
        let at_once = [
            ("peers", self.peers != newer.peers),
            ("requests", self.requests != newer.requests),
            ("routing", self.routing != newer.routing),
            ("access", self.access != newer.access),
            ("policy", self.policy != newer.policy),
        ];
        let with_start = [
            ("process", self.process != newer.process),
            ("machine", self.machine != newer.machine),
            ("listen", self.listen != newer.listen),
            ("platform", self.platform != newer.platform),
            ("log", self.log != newer.log),
            ("stop", self.stop != newer.stop),
        ];
        let changed = |sections: &[(&'static str, bool)]| {
            let changed = sections.iter().filter(|(_, is_changed)| *is_changed);
            changed.map(|(section, _)| *section).collect()
        };
        SettingsChange { taken: changed(&at_once), waiting: changed(&with_start) }
    }
}

/// `[listen]` of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayListen {
    /// `callers`: address for callers.
    pub callers: SocketAddr,
    /// `control`: address for other processes of the system.
    pub control: SocketAddr,
    /// `operator`: address for operators, and for the balancer's question whether this process is
    /// ready.
    pub operator: SocketAddr,
}

impl Default for RelayListen {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { callers: any_port, control: any_port, operator: any_port }
    }
}

impl RelayListen {
    fn read(source: &mut SettingSource) -> Self {
        Self {
            callers: source.address("listen", "callers"),
            control: source.address("listen", "control"),
            operator: source.address("listen", "operator"),
        }
    }
}

/// `[platform]` of a relay: the store that is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSection {
    /// `address`: IP address and port.
    pub address: SocketAddr,
    /// `watch_time`: longest time that one watch waits for a change; less where `contact_time`
    /// leaves less.
    pub watch_time: Duration,
    /// `contact_time`: time after the end of any trouble with the store by which this relay knows
    /// what was published; the platform gives it.
    pub contact_time: Duration,
    /// `apply_time`: time within which what the operator writes has to be in force; the platform gives
    /// it. With `drain_time` it decides whether relays of a large fleet are told of the store by a few.
    pub apply_time: Duration,
    /// `drain_time`: time within which replicas that leave get no more work; the platform gives it.
    pub drain_time: Duration,
    /// `gather_time`: time between two watches of the listing, in which changes gather.
    pub gather_time: Duration,
    /// `timeout`: longest time for a read, and for a watch beyond its own time.
    pub timeout: Duration,
}

impl Default for StoreSection {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            watch_time: Duration::from_secs(3),
            contact_time: Duration::from_secs(3),
            apply_time: DutyRules::default().apply_time,
            drain_time: DutyRules::default().drain_time,
            gather_time: Duration::from_millis(600),
            timeout: Duration::from_millis(800),
        }
    }
}

impl StoreSection {
    /// The users' bounds by which relays decide who reads the store.
    ///
    /// ```
    /// use quillcove::config::relay::StoreSection;
    ///
    /// let section = StoreSection::default();
    /// assert_eq!(section.duty_rules().drain_time, section.drain_time);
    /// ```
    pub fn duty_rules(&self) -> DutyRules {
        DutyRules {
            apply_time: self.apply_time,
            drain_time: self.drain_time,
            replica_gather: self.gather_time,
            ..DutyRules::default()
        }
    }

    /// Returns the timing of calls that follow a part of the store, with the pause in which its changes accumulate.
    ///
    /// ```
    /// use quillcove::config::relay::StoreSection;
    ///
    /// let section = StoreSection::default();
    /// assert_eq!(section.watch_rules(section.gather_time).timeout, section.timeout);
    /// ```
    pub fn watch_rules(&self, gather_time: Duration) -> WatchRules {
        let Self { watch_time, timeout, contact_time, .. } = *self;
        WatchRules { watch_time, timeout, contact_time, gather_time }
    }

    /// Returns the age beyond which knowledge of the store is older than the users' bound allows and than it gets while
    /// the store answers.
    ///
    /// ```
    /// use quillcove::config::relay::StoreSection;
    ///
    /// let section = StoreSection::default();
    /// assert!(section.max_knowledge_age() >= section.apply_time);
    /// ```
    pub fn max_knowledge_age(&self) -> Duration {
        let watch_time = self.watch_rules(self.gather_time).watch_time();
        self.apply_time.max(watch_time + self.timeout)
    }

    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "platform";
        Self {
            address: source.address(section, "address"),
            watch_time: source.time(section, "watch_time", default.watch_time),
            contact_time: source.time(section, "contact_time", default.contact_time),
            apply_time: source.time(section, "apply_time", default.apply_time),
            drain_time: source.time(section, "drain_time", default.drain_time),
            gather_time: source.time(section, "gather_time", default.gather_time),
            timeout: source.time(section, "timeout", default.timeout),
        }
    }
}

/// `[peers]`: other processes of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerSection {
    /// `seeds`: control addresses of relays, separated by commas; some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// `loader_port`: port on which the loader beside each engine listens.
    pub loader_port: u16,
}

impl PeerSection {
    fn read(source: &mut SettingSource) -> Self {
        let section = "peers";
        let mut seeds = Vec::new();
        for seed in source.list(section, "seeds") {
            match seed.parse() {
                Ok(address) => seeds.push(address),
                Err(_) => {
                    let message = format!("'{seed}' is not an IP address with a port");
                    source.reject(section, "seeds", &message);
                },
            }
        }
        let port = source.number(section, "loader_port", 0, 0, usize::from(u16::MAX));
        Self { seeds, loader_port: port as u16 }
    }
}

/// `[requests]` of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRequestSection {
    /// `limit`: most requests in flight.
    pub limit: usize,
    /// `connect_timeout`: longest time for a connection to an upstream.
    pub connect_timeout: Duration,
    /// `stalled_reader_timeout`: time after which a caller that does not read its stream is disconnected,
    /// where adapter slots are scarce.
    pub stalled_reader_timeout: Duration,
}

impl Default for RelayRequestSection {
    fn default() -> Self {
        Self {
            limit: 2048,
            connect_timeout: Duration::from_millis(300),
            stalled_reader_timeout: Duration::from_secs(5),
        }
    }
}

impl RelayRequestSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "requests";
        Self {
            limit: source.number(section, "limit", default.limit, 1, 1 << 20),
            connect_timeout: source.time(section, "connect_timeout", default.connect_timeout),
            stalled_reader_timeout: source.time(
                section,
                "stalled_reader_timeout",
                default.stalled_reader_timeout,
            ),
        }
    }
}

/// `[routing]` of a relay.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayRoutingSection {
    /// `retry_ratio`: repeats that the whole fleet may make, as a share of requests.
    pub retry_ratio: f64,
    /// `retry_extra`: repeats that the whole fleet may make beyond that share, in one window. It may
    /// have a fraction; each relay's part of it is rounded down.
    pub retry_extra: f64,
}

impl Default for RelayRoutingSection {
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_extra: 50.0 }
    }
}

impl RelayRoutingSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "routing";
        let (ratio, extra) = (default.retry_ratio, default.retry_extra);
        Self {
            retry_ratio: source.fraction(section, "retry_ratio", ratio, 0.0, RETRY_RATIO_MOST),
            retry_extra: source.fraction(section, "retry_extra", extra, 0.0, RETRY_EXTRA_MOST),
        }
    }
}

/// `[access]` of a relay: how the users judge keys and limits of workspaces.
#[derive(Clone, Debug, PartialEq)]
pub struct AccessSection {
    /// `revocation_time`: longest time for which a key may go on working after it was taken away;
    /// absent when there is no bound.
    pub revocation_time: Option<Duration>,
    /// `limit_window`: span over which a workspace's use is summed.
    pub limit_window: Duration,
    /// `limit_overshoot`: share of what is allowed in a window by which it may be passed.
    pub limit_overshoot: f64,
    /// `limit_tolerance`: units by which it may be passed besides.
    pub limit_tolerance: f64,
}

impl Default for AccessSection {
    fn default() -> Self {
        let LimitRules { window, overshoot, tolerance, .. } = LimitRules::default();
        Self {
            revocation_time: None,
            limit_window: window,
            limit_overshoot: overshoot,
            limit_tolerance: tolerance,
        }
    }
}

impl AccessSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "access";
        let revocation_time = source.time(section, "revocation_time", Duration::ZERO);
        let (overshoot, tolerance) = (default.limit_overshoot, default.limit_tolerance);
        Self {
            revocation_time: (revocation_time > Duration::ZERO).then_some(revocation_time),
            limit_window: source.time(section, "limit_window", default.limit_window),
            limit_overshoot: source.fraction(
                section,
                "limit_overshoot",
                overshoot,
                0.0,
                LIMIT_MOST,
            ),
            limit_tolerance: source.fraction(
                section,
                "limit_tolerance",
                tolerance,
                0.0,
                LIMIT_MOST,
            ),
        }
    }
}

/// `[policy]` of a relay: each rule can be switched back, for measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySection(pub RelayPolicy);

impl PolicySection {
    fn read(source: &mut SettingSource) -> Self {
        let default = RelayPolicy::default();
        let section = "policy";
        let routing = [("reading", RoutingRule::Reading), ("places", RoutingRule::Places)];
        let copies = [("backlog", CopyRule::Backlog), ("places", CopyRule::Places)];
        let priority = [("feasible", PriorityRule::Feasible), ("route", PriorityRule::Route)];
        let placement = [
            ("spare_idle", PlacementRule::SpareIdle),
            ("spare", PlacementRule::Spare),
            ("even", PlacementRule::Even),
        ];
        let waiting = [
            ("returned", WaitingRule::Returned),
            ("servable", WaitingRule::Servable),
            ("aim", WaitingRule::Aim),
        ];
        let limits = [
            ("prompt", LimitRule::Prompt),
            ("beacons", LimitRule::Beacons),
            ("even", LimitRule::Even),
        ];
        let sharing = [("few", SharingRule::Few), ("all", SharingRule::All)];
        let contention = [
            ("auto", ContentionRule::Auto),
            ("always", ContentionRule::Always),
            ("never", ContentionRule::Never),
        ];
        Self(RelayPolicy {
            contention: source.choice(section, "contention", default.contention, &contention),
            routing: source.choice(section, "routing", default.routing, &routing),
            copies: source.choice(section, "copies", default.copies, &copies),
            priority: source.choice(section, "priority", default.priority, &priority),
            placement: source.choice(section, "placement", default.placement, &placement),
            waiting: source.choice(section, "waiting", default.waiting, &waiting),
            limits: source.choice(section, "limits", default.limits, &limits),
            sharing: source.choice(section, "sharing", default.sharing, &sharing),
        })
    }
}

/// All settings of a loader.
#[derive(Clone, Debug, Default)]
pub struct LoaderSettings {
    /// `[process]`.
    pub process: ProcessSection,
    /// `[listen]`.
    pub listen: LoaderListen,
    /// `[engine]`.
    pub engine: EngineSection,
    /// `[log]`.
    pub log: LogSection,
}

impl LoaderSettings {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        Self {
            process: ProcessSection::read(source),
            listen: LoaderListen::read(source),
            engine: EngineSection::read(source),
            log: LogSection::read(source),
        }
    }
}

/// `[listen]` of a loader.
#[derive(Clone, Debug)]
pub struct LoaderListen {
    /// `control`: address for relays; its port is the one that they have as `peers.loader_port`.
    pub control: SocketAddr,
    /// `operator`: address for operators.
    pub operator: SocketAddr,
}

impl Default for LoaderListen {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self { control: any_port, operator: any_port }
    }
}

impl LoaderListen {
    fn read(source: &mut SettingSource) -> Self {
        Self {
            control: source.address("listen", "control"),
            operator: source.address("listen", "operator"),
        }
    }
}

/// `[engine]`: the engine beside a loader.
#[derive(Clone, Debug)]
pub struct EngineSection {
    /// `address`: where it listens.
    pub address: SocketAddr,
    /// `report_interval`: time between reads of its report while nothing is under way.
    pub report_interval: Duration,
    /// `order_timeout`: time after which an order counts as unanswered.
    pub order_timeout: Duration,
}

impl Default for EngineSection {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            report_interval: Duration::from_millis(200),
            order_timeout: Duration::from_millis(1000),
        }
    }
}

impl EngineSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "engine";
        Self {
            address: source.address(section, "address"),
            report_interval: source.time(section, "report_interval", default.report_interval),
            order_timeout: source.time(section, "order_timeout", default.order_timeout),
        }
    }
}
