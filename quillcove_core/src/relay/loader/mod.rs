//! Decides which load and unload orders a loader gives to the one engine that it serves.
//!
//! Load requests from relays are queued. One order is under way at a time, and an adapter is evicted
//! first where the engine has no free slot.

mod copies;
mod eviction;
mod ordered;
mod performance;
mod prompts;
mod queue;
mod reach;
mod releases;
mod replies;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::copies::{HostCopies, LoadSource};
use self::eviction::{LoadedAdapter, RejectedUnload};
pub use self::ordered::BrokenLoad;
use self::ordered::OrderedLoads;
pub use self::performance::PerformanceMeter;
pub use self::prompts::RelayPrompts;
use self::queue::QueuedLoad;
pub use self::reach::{EngineContact, EngineReach};
pub use self::releases::SlotReleases;
use super::beacon::{ArrivedLoad, EngineReport};
use super::engine_status::{EngineStatus, LoadOutcome, PromptReport};
use super::order::LoadOrder;
use crate::demand::DemandMeter;
use crate::ids::{AdapterKey, HostId, MonoTime};
use crate::standing::UpstreamStatus;
use crate::standing::notice::UpstreamNotice;

/// Difference between an engine's report and the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportChange {
    /// Whether the models, the adapters (loaded or incoming) or the draining flag differ.
    pub is_changed: bool,
    /// Ordered adapters that have been loaded since.
    pub arrived: Vec<(AdapterKey, ArrivedLoad)>,
    /// Loads that were under way when the engine exited, if it has restarted.
    pub broken: Vec<BrokenLoad>,
}

/// A reply to the load request of one relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoaderReply {
    /// The relay.
    pub relay: SocketAddr,
    /// The requested adapter.
    pub key: AdapterKey,
    /// What is done about the request.
    pub outcome: LoadOutcome,
}

/// Queues load requests for one engine and decides on its orders.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::loader::LoaderMachine;
///
/// let mut machine = LoaderMachine::new("e1".into(), 1_000);
/// assert!(machine.next_order(Duration::ZERO).is_none());
/// ```
#[derive(Debug)]
pub struct LoaderMachine {
    holder: HostId,
    fence: u64,
    load_requests: VecDeque<QueuedLoad>,
    /// Whether the queue, or what its order depends on, has changed since it was last sorted.
    needs_sort: bool,
    current_order: Option<(LoadOrder, QueuedLoad)>,
    /// Start times of recent base-model loads that read from the weight store.
    model_loads: VecDeque<MonoTime>,
    /// Number of adapter slots of the engine, from the last load request.
    adapter_slots: Option<u32>,
    /// Ordered adapter loads that the engine has not completed yet.
    ordered_loads: OrderedLoads,
    report: EngineReport,
    /// When the last report was read; `None` before the first.
    reported_at: Option<MonoTime>,
    /// When the first report was read.
    first_report_at: Option<MonoTime>,
    demand: HashMap<AdapterKey, DemandMeter>,
    /// Adapters that the engine has loaded since it last had no base model; its host has copies of them.
    loaded_before: HashSet<AdapterKey>,
    /// Ordered adapters that have been loaded.
    loaded: HashMap<AdapterKey, LoadedAdapter>,
    /// Requests in flight for each adapter, by relay, with the time of the relay's report.
    in_flight: HashMap<SocketAddr, (HashMap<AdapterKey, u32>, MonoTime)>,
    /// Unload orders that the engine did not carry out, by adapter.
    rejected_unloads: HashMap<AdapterKey, RejectedUnload>,
    /// Prompts that relays have pending at the engine.
    prompts: RelayPrompts,
    /// Whether the engine responds.
    reach: EngineReach,
    /// When adapter slots were released.
    releases: SlotReleases,
    /// Copies of adapters that the host keeps, by the times of loads.
    copies: HostCopies,
    /// Replies to relays that have not been sent yet.
    replies: Vec<LoaderReply>,
    /// Performance of the engine, measured while the rules for scarce adapter slots apply.
    performance: PerformanceMeter,
    /// Status that the engine reports with its responses to orders; only requested pauses count here.
    upstream_status: UpstreamStatus,
}

impl LoaderMachine {
    /// Creates a machine whose orders carry fences above `fence`.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// LoaderMachine::new("e1".into(), 1_000);
    /// ```
    pub fn new(holder: HostId, fence: u64) -> Self {
        Self {
            holder,
            fence,
            load_requests: VecDeque::new(),
            needs_sort: false,
            current_order: None,
            model_loads: VecDeque::new(),
            adapter_slots: None,
            ordered_loads: OrderedLoads::default(),
            report: EngineReport::default(),
            reported_at: None,
            first_report_at: None,
            demand: HashMap::new(),
            loaded_before: HashSet::new(),
            loaded: HashMap::new(),
            in_flight: HashMap::new(),
            rejected_unloads: HashMap::new(),
            prompts: RelayPrompts::default(),
            reach: EngineReach::default(),
            releases: SlotReleases::default(),
            copies: HostCopies::default(),
            replies: Vec::new(),
            performance: PerformanceMeter::default(),
            upstream_status: UpstreamStatus::default(),
        }
    }

    /// Records a relay's report of the prompts that it has pending at the engine.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::engine_status::{PendingPrompts, PromptReport};
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let relay = "127.0.0.1:1".parse().unwrap();
    /// let pending = PendingPrompts::default();
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.record_prompts(PromptReport { relay, number: 1, incarnation: 1, pending }, Duration::ZERO);
    /// assert!(machine.is_contended(Duration::ZERO));
    /// ```
    pub fn record_prompts(&mut self, report: PromptReport, now: MonoTime) {
        self.prompts.record(report, now);
    }

    /// Returns whether the rules for engines with scarce adapter slots apply.
    ///
    /// See [`LoaderMachine::record_prompts`] for an example.
    pub fn is_contended(&self, now: MonoTime) -> bool {
        self.prompts.is_contended(now)
    }

    /// Returns the status of the engine at `engine` for the relays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(machine.status("127.0.0.1:1".parse().unwrap(), Duration::ZERO).is_reachable);
    /// ```
    pub fn status(&self, engine: SocketAddr, now: MonoTime) -> EngineStatus {
        EngineStatus {
            is_reachable: self.reach.is_reachable(),
            pending: self.prompts.total(now),
            performance: self.performance.performance(now),
            slot_free_in: self.slot_free_in(now),
            host_copies: self.copies.limit(),
            ..EngineStatus::unknown(engine)
        }
    }

    /// Records the result of a call to the engine; returns whether the engine has become reachable or unreachable.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::{EngineContact, LoaderMachine};
    ///
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(machine.record_contact(EngineContact::Refused, Duration::ZERO));
    /// assert!(!machine.status("127.0.0.1:1".parse().unwrap(), Duration::ZERO).is_reachable);
    /// ```
    pub fn record_contact(&mut self, contact: EngineContact, now: MonoTime) -> bool {
        let is_changed = self.reach.record(contact);
        if self.is_cut_off(now) {
            self.reject_unreachable();
        }
        is_changed
    }

    /// Returns whether the engine responds to calls.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).is_reachable());
    /// ```
    pub fn is_reachable(&self) -> bool {
        self.reach.is_reachable()
    }

    /// Returns whether the engine is unreachable and the rules for scarce adapter slots apply: then it gets no
    /// orders, and load requests are not queued.
    fn is_cut_off(&self, now: MonoTime) -> bool {
        !self.reach.is_reachable() && self.is_contended(now)
    }

    /// Takes the replies to send to relays now.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).take_replies().is_empty());
    /// ```
    pub fn take_replies(&mut self) -> Vec<LoaderReply> {
        std::mem::take(&mut self.replies)
    }

    /// Returns the last report of the engine.
    ///
    /// ```
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// assert!(LoaderMachine::new("e1".into(), 1).report().models.is_empty());
    /// ```
    pub fn report(&self) -> &EngineReport {
        &self.report
    }

    /// Records a report of the engine and returns what changed since the one before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::beacon::EngineReport;
    /// use quillcove_core::relay::loader::LoaderMachine;
    ///
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// assert!(!machine.record_report(EngineReport::default(), Duration::ZERO).is_changed);
    /// ```
    pub fn record_report(&mut self, mut report: EngineReport, now: MonoTime) -> ReportChange {
        // Draining is final for one process start. Without a start time the report may be that of a
        // new process, so its own flag counts.
        let is_same_start = report.born.is_some() && report.born == self.report.born;
        report.is_leaving |= is_same_start && self.report.is_leaving;
        let is_changed = report.models != self.report.models
            || report.adapters != self.report.adapters
            || report.incoming != self.report.incoming
            || report.is_leaving != self.report.is_leaving;
        let broken = match self.has_restarted(&report) {
            true => self.reset_engine_state(now),
            false => Vec::new(),
        };
        match self.is_contended(now) {
            true => self.performance.record(&report, now),
            false => self.performance = PerformanceMeter::default(),
        }
        // Only the measurement needs the requests in progress; the stored report is cloned for relays and dumps.
        report.runs = Vec::new();
        self.needs_sort |= report.models.is_empty() != self.report.models.is_empty();
        self.report = report;
        self.reported_at = Some(now);
        self.confirm_rejected_unloads();
        self.first_report_at.get_or_insert(now);
        let arrived = self.ordered_loads.take_completed(&self.report.adapters);
        if self.report.models.is_empty() {
            self.loaded_before.clear();
            // The host keeps copies of adapters where it keeps those of base models.
            if self.report.local_models.is_empty() {
                self.copies.forget();
                self.needs_sort = true;
            }
        }
        let mut change = ReportChange { is_changed, broken, arrived: Vec::new() };
        for load in arrived {
            let was_warm = !self.loaded_before.insert(load.key.clone());
            let relays = load.relays.into_keys().collect();
            let loaded = LoadedAdapter { at: now, relays };
            self.loaded.insert(load.key.clone(), loaded);
            let took = now.saturating_sub(load.ordered_at);
            let version = self.report.version_of(&load.key);
            let source = self.copies.record_load(load.key.clone(), version, took);
            self.needs_sort = true;
            // A host keeps a limited number of copies, so that an adapter that was loaded before may come from the store.
            let was_warm = match self.is_contended(now) {
                true => source == LoadSource::Copy,
                false => was_warm,
            };
            change.arrived.push((load.key, ArrivedLoad { took, was_warm }));
        }
        self.record_releases(now);
        if self.is_contended(now) {
            self.update_replies(now);
        }
        change
    }

    /// Records released slots where adapter slots are scarce. Use reports about an engine that does not respond show
    /// none.
    fn record_releases(&mut self, now: MonoTime) {
        if !self.is_contended(now) {
            self.releases = SlotReleases::default();
        } else if !self.is_cut_off(now) && self.has_use_reports(now) {
            let idle = self.idle_adapters(now).cloned().collect();
            self.releases.record_idle(idle, now);
        }
    }

    /// Returns whether the engine has restarted since its last report. Where a start time is missing, a
    /// lower count of orders shows a restart.
    fn has_restarted(&self, report: &EngineReport) -> bool {
        match (report.born, self.report.born) {
            (Some(born), Some(before)) => born != before,
            _ => match (report.orders_taken, self.report.orders_taken) {
                (Some(taken), Some(before)) => taken < before,
                _ => false,
            },
        }
    }

    /// Records the status that the engine sent with its response to an order. Only a requested pause
    /// matters here: that the engine is draining is taken from its reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::loader::LoaderMachine;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let notice = UpstreamNotice { is_leaving: false, rest: Some(Duration::from_secs(1)), limit: None };
    /// let mut machine = LoaderMachine::new("e1".into(), 1);
    /// machine.record_notice(&notice, Duration::ZERO);
    /// assert_eq!(machine.next_order(Duration::ZERO), None);
    /// ```
    pub fn record_notice(&mut self, notice: &UpstreamNotice, now: MonoTime) {
        self.upstream_status.record_notice(notice, Duration::ZERO, now);
    }

    /// Clears the state of an engine that has restarted and returns the loads that were under way when
    /// it exited; where adapter slots are scarce, their relays are told. Its reports tell of which base models the host
    /// has copies.
    fn reset_engine_state(&mut self, now: MonoTime) -> Vec<BrokenLoad> {
        if self.is_contended(now) {
            self.reject_ordered_loads();
        }
        self.loaded_before.clear();
        self.loaded.clear();
        self.rejected_unloads.clear();
        self.releases = SlotReleases::default();
        self.upstream_status = UpstreamStatus::default();
        self.performance = PerformanceMeter::default();
        self.ordered_loads.take_broken(self.report.born)
    }
}
