//! A whole small site in one process, over loopback: stand-ins, agents and entries. The demo,
//! tests and measurements use it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::eyre;
use quillcove_core::agent::event::{HostState, UpstreamKind};
use quillcove_core::bundle::LoadLimits;
use quillcove_core::bundle::delta::compute;
use quillcove_core::bundle::signing::{TrustedKeys, public_key, sign, signing_key};
use quillcove_core::entry::event::HostRecord;
use quillcove_standin::engine::{self, EngineCounts, EngineSettings, EngineState};
use quillcove_standin::platform::{self, PlatformSettings, PlatformState};
use quillcove_standin::service::{self, ServiceState};
use tokio::runtime::Runtime;

use crate::agent::AgentProcess;
use crate::bundle::{HEAD_VALUE, delta_value, text_value};
use crate::config::agent::{
    AgentListen, AgentSettings, LoadSection, QueueSection, UpstreamSection,
};
use crate::config::entry::{EntrySettings, RoutingSection};
use crate::config::shared::{BundleSection, PlatformSection, ProcessSection};
use crate::entry::EntryProcess;
use crate::logging::silent;

/// Seed of the key that signs bundles of local sites.
const SITE_KEY_SEED: [u8; 32] = [42; 32];

/// Name of the plain service.
pub const BOOKING: &str = "booking";

/// Base models of local sites.
const MODELS: [&str; 2] = ["small", "large"];

/// Halls of local sites.
const HALLS: [&str; 3] = ["h1", "h2", "h3"];

/// Share of engines that serve the first base model.
const FIRST_MODEL_SHARE: f64 = 0.67;

/// What a local site consists of.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Adapters in the bundle.
    pub adapters: usize,
    /// Engines, each with an agent.
    pub engines: usize,
    /// Replicas of the plain service, each with an agent.
    pub services: usize,
    /// Entries.
    pub entries: usize,
    /// Engines' settings.
    pub engine: EngineSettings,
    /// Platform's settings.
    pub platform: PlatformSettings,
    /// Time of one call to the plain service.
    pub service_delay: Duration,
    /// Limits of the weight store as the bundle states them.
    pub loads: LoadLimits,
    /// Agents' rules for loads.
    pub load_section: LoadSection,
    /// Agents' queues.
    pub queue_section: QueueSection,
    /// Entries' routing.
    pub routing: RoutingSection,
}

impl Default for SitePlan {
    fn default() -> Self {
        Self {
            adapters: 5000,
            engines: 6,
            services: 3,
            entries: 2,
            engine: EngineSettings::default(),
            platform: PlatformSettings::default(),
            service_delay: Duration::from_millis(5),
            loads: LoadLimits::default(),
            load_section: LoadSection::default(),
            queue_section: QueueSection::default(),
            routing: RoutingSection::default(),
        }
    }
}

impl SitePlan {
    /// Name of an adapter; names with low numbers are asked for most.
    ///
    /// ```
    /// use quillcove::demo::site::SitePlan;
    ///
    /// assert_eq!(SitePlan::default().adapter_name(7), "adapter-0007");
    /// ```
    pub fn adapter_name(&self, number: usize) -> String {
        format!("adapter-{number:04}")
    }

    /// Base model of an adapter. Two thirds of the adapters belong to the first model.
    ///
    /// ```
    /// use quillcove::demo::site::SitePlan;
    ///
    /// assert_eq!(SitePlan::default().model_of(0), "small");
    /// ```
    pub fn model_of(&self, number: usize) -> &'static str {
        MODELS[usize::from(number % 3 == 2)]
    }

    /// Base model of an engine.
    ///
    /// ```
    /// use quillcove::demo::site::SitePlan;
    ///
    /// assert_eq!(SitePlan::default().model_of_engine(0), "small");
    /// ```
    pub fn model_of_engine(&self, number: usize) -> &'static str {
        let share = (self.engines as f64 * FIRST_MODEL_SHARE).round() as usize;
        let first = share.min(self.engines.saturating_sub(1)).max(1);
        MODELS[usize::from(number >= first)]
    }

    /// Text of a bundle; the current version of each adapter is the bundle's own version, or the
    /// one before it for every second adapter.
    ///
    /// ```
    /// use quillcove::demo::site::SitePlan;
    /// use quillcove_core::bundle::text::parse;
    ///
    /// assert!(parse(&SitePlan::default().bundle_text(1)).is_ok());
    /// ```
    pub fn bundle_text(&self, version: u64) -> String {
        let replicas: Vec<String> =
            (0..self.services).map(|number| format!("\"{}\"", service_host(number))).collect();
        let mut text = format!(
            "[bundle]\nversion = {version}\n\n[loads]\nper_second = {}\nat_once = {}\n\n\
             [models.small]\n[models.large]\n\n[services.{BOOKING}]\nreplicas = [{}]\n\n\
             [adapters]\n",
            self.loads.per_second,
            self.loads.at_once,
            replicas.join(", "),
        );
        for number in 0..self.adapters {
            let name = self.adapter_name(number);
            let model = self.model_of(number);
            let line = format!("{name} = {{ model = \"{model}\", current = 1 }}\n");
            text.push_str(&line);
        }
        text
    }
}

/// Host of an engine.
///
/// ```
/// assert_eq!(quillcove::demo::site::engine_host(0), "engine-0");
/// ```
pub fn engine_host(number: usize) -> String {
    format!("engine-{number}")
}

/// Host of a replica of the plain service.
///
/// ```
/// assert_eq!(quillcove::demo::site::service_host(0), "booking-0");
/// ```
pub fn service_host(number: usize) -> String {
    format!("{BOOKING}-{number}")
}

/// A running site.
pub struct LocalSite {
    runtime: Runtime,
    /// The platform's stand-in.
    pub platform: Arc<PlatformState>,
    /// The engines' stand-ins.
    pub engines: Vec<Arc<EngineState>>,
    /// The services' stand-ins.
    pub services: Vec<Arc<ServiceState>>,
    /// The services' own addresses.
    pub service_addresses: Vec<SocketAddr>,
    /// Host list, to change and publish again.
    pub hosts: Vec<HostRecord>,
    agents: Vec<AgentProcess>,
    entries: Vec<EntryProcess>,
    platform_address: SocketAddr,
    handles: Vec<Box<dyn std::any::Any + Send>>,
}

/// What the stand-ins counted.
#[derive(Clone, Debug, Default)]
pub struct SiteCounts {
    /// Engines' counts, summed.
    pub engines: EngineCounts,
    /// Loads by the weight store.
    pub loads: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Bookings that ran.
    pub bookings: u64,
    /// Bookings that ran more than once.
    pub double_bookings: u64,
}

impl LocalSite {
    /// Starts a site and publishes its first bundle.
    ///
    /// # Errors
    ///
    /// When an address can not be bound.
    ///
    /// ```no_run
    /// use quillcove::demo::site::{LocalSite, SitePlan};
    ///
    /// let site = LocalSite::start(&SitePlan::default()).unwrap();
    /// site.stop();
    /// ```
    pub fn start(plan: &SitePlan) -> eyre::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("standins")
            .enable_all()
            .build()?;
        let guard = runtime.enter();
        let platform = PlatformState::new(plan.platform);
        let server = platform::start(platform.clone(), any_port()).map_err(|e| eyre!(e))?;
        let platform_address = server.local_addr();
        let mut site = Self {
            runtime: tokio::runtime::Builder::new_current_thread().build()?,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            service_addresses: Vec::new(),
            hosts: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            platform_address,
            handles: vec![Box::new(server)],
        };
        site.publish(plan, 1);
        for number in 0..plan.engines {
            site.add_engine(plan, number)?;
        }
        for number in 0..plan.services {
            site.add_service(plan, number)?;
        }
        site.platform.set_hosts(&site.hosts);
        for number in 0..plan.entries {
            site.add_entry(plan, number)?;
        }
        drop(guard);
        site.runtime = runtime;
        Ok(site)
    }

    /// Publishes a version of the plan's bundle, the head last, as operators do.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite, plan: quillcove::demo::site::SitePlan) {
    /// site.publish(&plan, 2);
    /// # }
    /// ```
    pub fn publish(&self, plan: &SitePlan, version: u64) {
        let text = plan.bundle_text(version);
        let head = sign(&signing_key(SITE_KEY_SEED), version, text.as_bytes());
        if version > 1 {
            let older = plan.bundle_text(version - 1);
            let delta = compute((version - 1, &older), (version, &text));
            let delta = serde_json::to_string(&delta).unwrap_or_default();
            self.platform.publish(&delta_value(version), delta);
        }
        self.platform.publish(&text_value(version), text);
        self.platform.publish(HEAD_VALUE, serde_json::to_string(&head).unwrap_or_default());
    }

    fn add_engine(&mut self, plan: &SitePlan, number: usize) -> eyre::Result<()> {
        let settings = EngineSettings {
            store: format!("http://{}", self.platform_address),
            ..plan.engine.clone()
        };
        let checks_fence = settings.checks_fence;
        let state = EngineState::new(settings);
        let server = engine::start(state.clone(), any_port()).map_err(|e| eyre!(e))?;
        let upstream = UpstreamSection {
            kind: UpstreamKind::Engine,
            address: server.local_addr(),
            checks_fence,
            ..UpstreamSection::default()
        };
        self.engines.push(state);
        self.handles.push(Box::new(server));
        self.add_agent(plan, engine_host(number), upstream, plan.model_of_engine(number))
    }

    fn add_service(&mut self, plan: &SitePlan, number: usize) -> eyre::Result<()> {
        let state = ServiceState::new(plan.service_delay);
        let server = service::start(state.clone(), any_port()).map_err(|e| eyre!(e))?;
        let upstream = UpstreamSection {
            kind: UpstreamKind::Service,
            address: server.local_addr(),
            path_prefix: "/do".to_string(),
            ..UpstreamSection::default()
        };
        self.services.push(state);
        self.service_addresses.push(server.local_addr());
        self.handles.push(Box::new(server));
        self.add_agent(plan, service_host(number), upstream, BOOKING)
    }

    fn add_agent(
        &mut self,
        plan: &SitePlan,
        host: String,
        upstream: UpstreamSection,
        serves: &str,
    ) -> eyre::Result<()> {
        let hall = HALLS[self.hosts.len() % HALLS.len()].to_string();
        let kind = upstream.kind;
        let settings = AgentSettings {
            process: ProcessSection { host: host.clone(), hall: hall.clone() },
            listen: AgentListen::default(),
            upstream,
            platform: self.platform_section(),
            bundle: bundle_section()?,
            loads: plan.load_section.clone(),
            queue: plan.queue_section.clone(),
            ..AgentSettings::default()
        };
        let agent = AgentProcess::start(settings, silent())?;
        self.hosts.push(HostRecord {
            host,
            address: agent.data.to_string(),
            control: agent.control.to_string(),
            hall,
            state: HostState::Live,
            kind,
            serves: serves.to_string(),
        });
        self.agents.push(agent);
        Ok(())
    }

    fn add_entry(&mut self, plan: &SitePlan, number: usize) -> eyre::Result<()> {
        let settings = EntrySettings {
            process: ProcessSection {
                host: format!("entry-{number}"),
                hall: HALLS[number % HALLS.len()].to_string(),
            },
            platform: self.platform_section(),
            bundle: bundle_section()?,
            routing: plan.routing.clone(),
            ..EntrySettings::default()
        };
        self.entries.push(EntryProcess::start(settings, silent())?);
        Ok(())
    }

    fn platform_section(&self) -> PlatformSection {
        PlatformSection { address: self.platform_address, ..PlatformSection::default() }
    }

    /// Callers' addresses of all entries.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// println!("{:?}", site.entries());
    /// # }
    /// ```
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Callers' address of one entry.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// println!("{}", site.entry_address(0));
    /// # }
    /// ```
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.entries[number].callers
    }

    /// Operators' address of one entry.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// println!("{}", site.entry_operator(0));
    /// # }
    /// ```
    pub fn entry_operator(&self, number: usize) -> SocketAddr {
        self.entries[number].operator
    }

    /// Operators' address of one agent; engines come before services.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// println!("{}", site.agent_operator(0));
    /// # }
    /// ```
    pub fn agent_operator(&self, number: usize) -> SocketAddr {
        self.agents[number].operator
    }

    /// Waits until all agents and entries would take work; `false` when time is up.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// assert!(site.wait_ready(std::time::Duration::from_secs(10)));
    /// # }
    /// ```
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let is_ready = || {
            self.agents.iter().all(AgentProcess::is_ready)
                && self.entries.iter().all(EntryProcess::is_ready)
        };
        while !is_ready() {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// What the stand-ins counted so far.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// assert_eq!(site.counts().double_bookings, 0);
    /// # }
    /// ```
    pub fn counts(&self) -> SiteCounts {
        let mut counts = SiteCounts {
            loads: self.platform.loads(),
            platform_calls: self.platform.calls(),
            ..SiteCounts::default()
        };
        for engine in &self.engines {
            let one = engine.counts();
            counts.engines.steps += one.steps;
            counts.engines.places_used += one.places_used;
            counts.engines.places += one.places;
            counts.engines.loads += one.loads;
            counts.engines.stale_orders += one.stale_orders;
            counts.engines.cut_by_unload += one.cut_by_unload;
            counts.engines.completed += one.completed;
        }
        let mut bookings = std::collections::BTreeMap::<String, u64>::new();
        for service in &self.services {
            for (booking, runs) in service.counts() {
                *bookings.entry(booking).or_default() += runs;
            }
        }
        counts.bookings = bookings.len() as u64;
        counts.double_bookings = bookings.values().filter(|runs| **runs > 1).count() as u64;
        counts
    }

    /// Ends everything.
    ///
    /// ```no_run
    /// # fn run(site: quillcove::demo::site::LocalSite) {
    /// site.stop();
    /// # }
    /// ```
    pub fn stop(self) {
        for entry in self.entries {
            entry.abort();
            entry.join();
        }
        for agent in self.agents {
            agent.abort();
            agent.join();
        }
        drop(self.handles);
        self.runtime.shutdown_background();
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn bundle_section() -> eyre::Result<BundleSection> {
    let trusted_keys = TrustedKeys::read(&[public_key(&signing_key(SITE_KEY_SEED))])?;
    Ok(BundleSection { trusted_keys, peers: Vec::new() })
}
