//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::agent::event::{
    AgentRules, BatchRule, EvictRule, LoadRule, PacingRule, UpstreamKind,
};
use quillcove_core::once::book::BookLimits;

use super::ini::SettingSource;
use super::shared::{
    BundleSection, LogSection, MachineSection, PlatformSection, ProcessSection, StopSection,
};

/// All settings of an agent.
#[derive(Clone, Debug, Default)]
pub struct AgentSettings {
    /// `[process]`.
    pub process: ProcessSection,
    /// `[machine]`.
    pub machine: MachineSection,
    /// `[listen]`.
    pub listen: AgentListen,
    /// `[upstream]`.
    pub upstream: UpstreamSection,
    /// `[platform]`.
    pub platform: PlatformSection,
    /// `[bundle]`.
    pub bundle: BundleSection,
    /// `[queue]`.
    pub queue: QueueSection,
    /// `[loads]`.
    pub loads: LoadSection,
    /// `[once]`.
    pub once: OnceSection,
    /// `[log]`.
    pub log: LogSection,
    /// `[stop]`.
    pub stop: StopSection,
}

impl AgentSettings {
    pub(super) fn read(source: &mut SettingSource) -> Self {
        Self {
            process: ProcessSection::read(source),
            machine: MachineSection::read(source),
            listen: AgentListen::read(source),
            upstream: UpstreamSection::read(source),
            platform: PlatformSection::read(source),
            bundle: BundleSection::read(source),
            queue: QueueSection::read(source),
            loads: LoadSection::read(source),
            once: OnceSection::read(source),
            log: LogSection::read(source),
            stop: StopSection::read(source),
        }
    }

    /// Settings of the machine that decides.
    ///
    /// ```
    /// use quillcove::config::agent::AgentSettings;
    ///
    /// assert!(AgentSettings::default().rules().checks_fence);
    /// ```
    pub fn rules(&self) -> AgentRules {
        AgentRules {
            kind: self.upstream.kind,
            checks_fence: self.upstream.checks_fence,
            queue_limit: self.queue.limit,
            service_limit: self.queue.service_limit,
            engine_margin: self.queue.engine_margin,
            batch_share: self.queue.batch_share,
            batch: self.queue.batch,
            order_lifetime: self.upstream.order_lifetime,
            settle_time: self.upstream.settle_time,
            half_life: self.loads.half_life,
            evict_margin: self.loads.evict_margin,
            evict: self.loads.evict,
            load: self.loads.choose,
            pacing: self.loads.pacing,
            ..AgentRules::default()
        }
    }

    /// Limits of the record of runs that must not happen twice.
    ///
    /// ```
    /// use quillcove::config::agent::AgentSettings;
    ///
    /// assert!(AgentSettings::default().book_limits().entries > 0);
    /// ```
    pub fn book_limits(&self) -> BookLimits {
        BookLimits {
            ticket_lifetime: self.once.ticket_lifetime,
            key_lifetime: self.once.key_lifetime,
            entries: self.once.entries,
        }
    }
}

/// `[listen]` of an agent.
#[derive(Clone, Debug)]
pub struct AgentListen {
    /// `data`: address for attempts of entries. Only one process can hold it, which keeps a
    /// second agent on this host from giving orders.
    pub data: SocketAddr,
    /// `control`: address for short calls of other quillcove processes.
    pub control: SocketAddr,
    /// `operator`: address for operators.
    pub operator: SocketAddr,
    /// `threads`: worker threads that pass attempts on.
    pub threads: usize,
}

impl Default for AgentListen {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { data: any_port, control: any_port, operator: any_port, threads: 1 }
    }
}

impl AgentListen {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        Self {
            data: source.address("listen", "data"),
            control: source.address("listen", "control"),
            operator: source.address("listen", "operator"),
            threads: source.number("listen", "threads", default.threads, 1, 64),
        }
    }
}

/// `[upstream]`: the upstream beside this agent.
#[derive(Clone, Debug)]
pub struct UpstreamSection {
    /// `kind`: `engine` or `service`.
    pub kind: UpstreamKind,
    /// `address`: IP address and port.
    pub address: SocketAddr,
    /// `checks_fence`: whether the engine refuses orders with a lower fence.
    pub checks_fence: bool,
    /// `order_lifetime`: longest time that an unanswered order may still take effect.
    pub order_lifetime: Duration,
    /// `settle_time`: time that an engine's report may lag, with a margin.
    pub settle_time: Duration,
    /// `report_interval`: time between reads of the engine's report.
    pub report_interval: Duration,
    /// `order_timeout`: time after which an order counts as unanswered.
    pub order_timeout: Duration,
    /// `health_path`: path that tells whether a plain service is up.
    pub health_path: String,
    /// `path_prefix`: put before the path of a plain service's calls.
    pub path_prefix: String,
}

impl Default for UpstreamSection {
    fn default() -> Self {
        let rules = AgentRules::default();
        Self {
            kind: rules.kind,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            checks_fence: rules.checks_fence,
            order_lifetime: rules.order_lifetime,
            settle_time: rules.settle_time,
            report_interval: Duration::from_millis(200),
            order_timeout: Duration::from_secs(30),
            health_path: "/healthz".to_string(),
            path_prefix: String::new(),
        }
    }
}

impl UpstreamSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "upstream";
        let kinds = [("engine", UpstreamKind::Engine), ("service", UpstreamKind::Service)];
        Self {
            kind: source.choice(section, "kind", default.kind, &kinds),
            address: source.address(section, "address"),
            checks_fence: source.flag(section, "checks_fence", default.checks_fence),
            order_lifetime: source.time(section, "order_lifetime", default.order_lifetime),
            settle_time: source.time(section, "settle_time", default.settle_time),
            report_interval: source.time(section, "report_interval", default.report_interval),
            order_timeout: source.time(section, "order_timeout", default.order_timeout),
            health_path: source.text(section, "health_path", &default.health_path),
            path_prefix: source.text(section, "path_prefix", &default.path_prefix),
        }
    }
}

/// `[queue]`: attempts that wait or run.
#[derive(Clone, Debug)]
pub struct QueueSection {
    /// `limit`: most attempts that wait.
    pub limit: usize,
    /// `service_limit`: most attempts at a plain service.
    pub service_limit: usize,
    /// `engine_margin`: attempts at an engine beyond its batch.
    pub engine_margin: usize,
    /// `batch_share`: share of an engine's places that batch-class work may take.
    pub batch_share: f64,
    /// `batch`: `gather`, or the baseline `eager`.
    pub batch: BatchRule,
}

impl Default for QueueSection {
    fn default() -> Self {
        let rules = AgentRules::default();
        Self {
            limit: rules.queue_limit,
            service_limit: rules.service_limit,
            engine_margin: rules.engine_margin,
            batch_share: rules.batch_share,
            batch: rules.batch,
        }
    }
}

impl QueueSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "queue";
        let batch = [("gather", BatchRule::Gather), ("eager", BatchRule::Eager)];
        Self {
            limit: source.number(section, "limit", default.limit, 1, 1 << 20),
            service_limit: source.number(section, "service_limit", default.service_limit, 1, 65536),
            engine_margin: source.number(section, "engine_margin", default.engine_margin, 0, 1024),
            batch_share: source.fraction(section, "batch_share", default.batch_share, 0.0, 1.0),
            batch: source.choice(section, "batch", default.batch, &batch),
        }
    }
}

/// `[loads]`: which adapters are loaded and unloaded, and how fast.
#[derive(Clone, Debug)]
pub struct LoadSection {
    /// `evict`: `value`, or the baseline `lru`.
    pub evict: EvictRule,
    /// `choose`: `value`, or the baseline `oldest`.
    pub choose: LoadRule,
    /// `pacing`: `keeper`, or the baseline `none`.
    pub pacing: PacingRule,
    /// `half_life`: time in which demand loses half its weight.
    pub half_life: Duration,
    /// `evict_margin`: how many times more an adapter must be worth to replace another.
    pub evict_margin: f64,
}

impl Default for LoadSection {
    fn default() -> Self {
        let rules = AgentRules::default();
        Self {
            evict: rules.evict,
            choose: rules.load,
            pacing: rules.pacing,
            half_life: rules.half_life,
            evict_margin: rules.evict_margin,
        }
    }
}

impl LoadSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "loads";
        let evict = [("value", EvictRule::Value), ("lru", EvictRule::Lru)];
        let choose = [("value", LoadRule::Value), ("oldest", LoadRule::Oldest)];
        let pacing = [("keeper", PacingRule::Keeper), ("none", PacingRule::None)];
        Self {
            evict: source.choice(section, "evict", default.evict, &evict),
            choose: source.choice(section, "choose", default.choose, &choose),
            pacing: source.choice(section, "pacing", default.pacing, &pacing),
            half_life: source.time(section, "half_life", default.half_life),
            evict_margin: source.fraction(
                section,
                "evict_margin",
                default.evict_margin,
                0.0,
                100.0,
            ),
        }
    }
}

/// `[once]`: the record of requests that must not run twice.
#[derive(Clone, Debug)]
pub struct OnceSection {
    /// `ticket_lifetime`: how long a ticket may be used.
    pub ticket_lifetime: Duration,
    /// `key_lifetime`: how long a key without a ticket is remembered, and how long after a start
    /// such keys are refused.
    pub key_lifetime: Duration,
    /// `entries`: most runs on record.
    pub entries: usize,
}

impl Default for OnceSection {
    fn default() -> Self {
        let limits = BookLimits::default();
        Self {
            ticket_lifetime: limits.ticket_lifetime,
            key_lifetime: limits.key_lifetime,
            entries: limits.entries,
        }
    }
}

impl OnceSection {
    fn read(source: &mut SettingSource) -> Self {
        let default = Self::default();
        let section = "once";
        Self {
            ticket_lifetime: source.time(section, "ticket_lifetime", default.ticket_lifetime),
            key_lifetime: source.time(section, "key_lifetime", default.key_lifetime),
            entries: source.number(section, "entries", default.entries, 1, 10_000_000),
        }
    }
}
