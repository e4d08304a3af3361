//! Upstreams known to an entry: the platform's host list joined with the status that agents report
//! and with the outcome of the entry's own attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::event::{AgentStatus, EntryRules, HostRecord, RouteTarget};
use crate::agent::event::HostState;
use crate::ids::{HostId, Incarnation, MonoTime};
use crate::standing::UpstreamStatus;
use crate::standing::notice::UpstreamNotice;

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Share of the load that an upstream gets at the end of its ejection.
const SLOW_START_SHARE: f64 = 0.1;

/// An upstream and its agent, as known to an entry.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Entry of the host list.
    pub record: HostRecord,
    /// Incarnation of the agent, 0 while unknown.
    pub incarnation: Incarnation,
    /// Whether it was in the last host list.
    pub is_listed: bool,
    /// Whether the agent has reported that it is draining.
    pub has_reported_draining: bool,
    /// Status of the upstream: pauses that it requested, as reported by its agent.
    pub status: UpstreamStatus,
    /// Requests of this entry that are in flight there.
    pub in_flight: usize,
    /// Attempts running there, as last reported by the agent.
    pub running: usize,
    /// Attempts waiting there, as last reported by the agent.
    pub waiting: usize,
    /// Attempts that can run there at the same time, as last reported by the agent.
    pub capacity: usize,
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    pub ejections: u32,
    /// End of the last ejection.
    pub ejection_end: MonoTime,
    /// Start of the slow start after the last ejection; `None` if it was never ejected.
    pub slow_start_begin: Option<MonoTime>,
}

impl UpstreamView {
    fn new(record: HostRecord) -> Self {
        Self {
            has_reported_draining: false,
            status: UpstreamStatus::default(),
            record,
            is_listed: true,
            incarnation: 0,
            in_flight: 0,
            running: 0,
            waiting: 0,
            capacity: 0,
            failures: 0,
            ejections: 0,
            ejection_end: MonoTime::ZERO,
            slow_start_begin: None,
        }
    }

    /// Returns whether it gets no new work: its agent or the host list reports that it is draining,
    /// or it is no longer in the host list.
    ///
    /// ```no_run
    /// # use quillcove_core::entry::fleet::UpstreamView;
    /// # fn upstream() -> UpstreamView { unimplemented!() }
    /// upstream().is_draining();
    /// ```
    pub fn is_draining(&self) -> bool {
        self.has_reported_draining || !self.is_listed || self.record.state == HostState::Leaving
    }

    /// Returns the estimated load in requests: the larger of the running attempts that the agent last
    /// reported and this entry's own requests there without waiting ones, scaled up during the slow
    /// start after an ejection. Waiting attempts are left out because most of them wait for an
    /// adapter load, and choosing another engine instead would need one more load.
    ///
    /// ```no_run
    /// # use quillcove_core::entry::fleet::UpstreamView;
    /// # fn upstream() -> UpstreamView { unimplemented!() }
    /// use std::time::Duration;
    ///
    /// upstream().load(Duration::ZERO, Duration::from_secs(10));
    /// ```
    pub fn load(&self, now: MonoTime, slow_start: Duration) -> f64 {
        let own = self.in_flight.saturating_sub(self.waiting);
        let load = own.max(self.running) as f64;
        let Some(slow_start_begin) = self.slow_start_begin else {
            return load;
        };
        let age = now.saturating_sub(slow_start_begin).as_secs_f64() / slow_start.as_secs_f64();
        (load + 1.0) / age.clamp(SLOW_START_SHARE, 1.0) - 1.0
    }
}

/// All upstreams known to an entry, by host.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: BTreeMap<HostId, UpstreamView>,
}

/// One upstream in the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamSummary {
    /// Name of the host.
    pub host: HostId,
    /// Hall of the host.
    pub hall: String,
    /// Address of the agent.
    pub address: String,
    /// Base model of an engine, or name of a plain service.
    pub serves: String,
    /// Incarnation of the agent, 0 while unknown.
    pub incarnation: Incarnation,
    /// Whether it gets no new work because it is draining.
    pub leaving: bool,
    /// Whether it is ejected after failures.
    pub ejected: bool,
    /// Remaining time of the pause requested by the upstream, in milliseconds.
    pub rest_left_ms: u64,
    /// Requests of this entry that are in flight there.
    pub in_flight: usize,
    /// Attempts running there, as last reported by the agent.
    pub running: usize,
    /// Attempts waiting there, as last reported by the agent.
    pub waiting: usize,
}

impl UpstreamTable {
    /// Applies a new host list. A host that is no longer listed is removed once nothing is in flight
    /// there. An agent that reported draining is considered draining until it restarts, even if the
    /// list has it as live.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let mut table = UpstreamTable::default();
    /// table.apply_host_list(Vec::new());
    /// assert_eq!(table.len(), 0);
    /// ```
    pub fn apply_host_list(&mut self, records: Vec<HostRecord>) {
        for upstream in self.upstreams.values_mut() {
            upstream.is_listed = false;
        }
        for record in records {
            match self.upstreams.get_mut(&record.host) {
                Some(upstream) => Self::update_record(upstream, record),
                None => {
                    self.upstreams.insert(record.host.clone(), UpstreamView::new(record));
                },
            }
        }
        self.upstreams.retain(|_, upstream| upstream.is_listed || upstream.in_flight > 0);
    }

    fn update_record(upstream: &mut UpstreamView, record: HostRecord) {
        if upstream.record.address != record.address {
            upstream.incarnation = 0;
            upstream.has_reported_draining = false;
            upstream.status = UpstreamStatus::default();
        }
        upstream.is_listed = true;
        upstream.record = record;
    }

    /// Records the status that an agent reported. Draining and the requested pause are reset when the
    /// incarnation changes, because they belong to one process start of the agent.
    ///
    /// ```
    /// use quillcove_core::entry::event::AgentStatus;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let agent_status = AgentStatus {
    ///     incarnation: 5,
    ///     leaving: false,
    ///     running: 0,
    ///     waiting: 0,
    ///     capacity: 8,
    ///     bundle: 1,
    ///     crashes: Default::default(),
    ///     rest_ms: 0,
    /// };
    /// UpstreamTable::default().record_status("e1", &agent_status, Default::default());
    /// ```
    pub fn record_status(&mut self, host: &str, agent_status: &AgentStatus, now: MonoTime) {
        let Some(upstream) = self.upstreams.get_mut(host) else {
            return;
        };
        if upstream.incarnation != agent_status.incarnation {
            upstream.incarnation = agent_status.incarnation;
            upstream.has_reported_draining = false;
            upstream.status = UpstreamStatus::default();
        }
        upstream.has_reported_draining |= agent_status.leaving;
        let rest = (agent_status.rest_ms > 0).then(|| Duration::from_millis(agent_status.rest_ms));
        upstream.status.record_notice(
            &UpstreamNotice { is_leaving: false, rest, limit: None },
            Duration::ZERO,
            now,
        );
        upstream.running = agent_status.running;
        upstream.waiting = agent_status.waiting;
        upstream.capacity = agent_status.capacity;
    }

    /// Returns the upstream on a host.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert!(UpstreamTable::default().get("e1").is_none());
    /// ```
    pub fn get(&self, host: &str) -> Option<&UpstreamView> {
        self.upstreams.get(host)
    }

    /// Returns the number of upstreams.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert_eq!(UpstreamTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether no upstream is known.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert!(UpstreamTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records that an attempt is sent.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().record_attempt_start("e1", std::time::Duration::ZERO);
    /// ```
    pub fn record_attempt_start(&mut self, host: &str, now: MonoTime) {
        if let Some(upstream) = self.upstreams.get_mut(host) {
            upstream.status.begin(now);
            upstream.in_flight += 1;
        }
    }

    /// Records that an attempt ended.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().record_attempt_end("e1");
    /// ```
    pub fn record_attempt_end(&mut self, host: &str) {
        if let Some(upstream) = self.upstreams.get_mut(host) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Records a response of the agent, which resets its failures and ejections.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().record_success("e1");
    /// ```
    pub fn record_success(&mut self, host: &str) {
        if let Some(upstream) = self.upstreams.get_mut(host) {
            upstream.failures = 0;
            upstream.ejections = 0;
        }
    }

    /// Records that the agent could not be reached or its response was lost. Ejects the upstream
    /// after [`EntryRules::eject_after`] consecutive failures.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::event::EntryRules;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().record_failure("e1", Duration::ZERO, &EntryRules::default());
    /// ```
    pub fn record_failure(&mut self, host: &str, now: MonoTime, rules: &EntryRules) {
        let Some(upstream) = self.upstreams.get_mut(host) else {
            return;
        };
        upstream.failures += 1;
        if upstream.failures < rules.eject_after || now < upstream.ejection_end {
            return;
        }
        let time = rules.eject_time * 2u32.saturating_pow(upstream.ejections.min(16));
        upstream.ejections += 1;
        upstream.ejection_end = now + time.min(MAX_EJECTION_TIME);
        upstream.slow_start_begin = Some(upstream.ejection_end);
    }

    /// Returns the upstreams for a target that are not draining.
    fn not_draining<'a, 'b>(
        &'a self,
        target: &'b RouteTarget,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a, 'b> {
        let not_draining = self.upstreams.values().filter(|upstream| !upstream.is_draining());
        not_draining.filter(|upstream| upstream.record.fits(target))
    }

    /// Returns the earliest end of the requested pauses if every upstream for a target has requested
    /// one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::event::RouteTarget;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let target = RouteTarget::Service("booking".into());
    /// assert_eq!(UpstreamTable::default().earliest_pause_end(&target, Duration::ZERO), None);
    /// ```
    pub fn earliest_pause_end(&self, target: &RouteTarget, now: MonoTime) -> Option<MonoTime> {
        let ends = self.not_draining(target).map(|upstream| upstream.status.next_request_time(now));
        ends.min().filter(|end| *end > now)
    }

    /// Returns the upstreams that may get a request: those for its target that are neither draining
    /// nor pausing, without ejected ones as long as the share of [`EntryRules::eject_floor`] remains.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::event::{EntryRules, RouteTarget};
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let target = RouteTarget::Service("booking".into());
    /// let rules = EntryRules::default();
    /// assert!(UpstreamTable::default().candidates(&target, Duration::ZERO, &rules).is_empty());
    /// ```
    pub fn candidates(
        &self,
        target: &RouteTarget,
        now: MonoTime,
        rules: &EntryRules,
    ) -> Vec<&UpstreamView> {
        let all: Vec<&UpstreamView> =
            self.not_draining(target).filter(|upstream| upstream.status.takes_work(now)).collect();
        let not_ejected: Vec<&UpstreamView> =
            all.iter().copied().filter(|upstream| now >= upstream.ejection_end).collect();
        let floor = (all.len() as f64 * rules.eject_floor).ceil() as usize;
        match not_ejected.len() >= floor.max(1) {
            true => not_ejected,
            false => all,
        }
    }

    /// Returns all upstreams for the state dump.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert!(UpstreamTable::default().summaries(Duration::ZERO).is_empty());
    /// ```
    pub fn summaries(&self, now: MonoTime) -> Vec<UpstreamSummary> {
        let summary = |upstream: &UpstreamView| UpstreamSummary {
            host: upstream.record.host.clone(),
            hall: upstream.record.hall.clone(),
            address: upstream.record.address.clone(),
            serves: upstream.record.serves.clone(),
            incarnation: upstream.incarnation,
            leaving: upstream.is_draining(),
            ejected: now < upstream.ejection_end,
            rest_left_ms: remaining_pause_ms(upstream, now),
            in_flight: upstream.in_flight,
            running: upstream.running,
            waiting: upstream.waiting,
        };
        self.upstreams.values().map(summary).collect()
    }
}

fn remaining_pause_ms(upstream: &UpstreamView, now: MonoTime) -> u64 {
    let end = upstream.status.pause_end(now);
    end.map_or(0, |end| end.saturating_sub(now).as_millis() as u64)
}
