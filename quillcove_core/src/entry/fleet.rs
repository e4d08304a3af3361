//! What an entry knows of the agents: the host list joined with what it hears itself.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::event::{AgentNews, EntryRules, HostRecord, RouteTarget};
use crate::agent::event::HostState;
use crate::ids::{HostId, Incarnation, MonoTime};
use crate::standing::UpstreamStanding;
use crate::standing::notice::UpstreamNotice;

/// Longest time that an upstream is left out.
const LAST_EJECTION: Duration = Duration::from_secs(30);

/// Share of its load that a returned upstream starts with.
const SLOW_START_SHARE: f64 = 0.1;

/// One agent as an entry knows it.
#[derive(Clone, Debug)]
pub struct UpstreamView {
    /// Record of the host list.
    pub record: HostRecord,
    /// Run of the agent, 0 while unknown.
    pub incarnation: Incarnation,
    /// Whether the last host list had it.
    pub is_listed: bool,
    /// The agent said that it leaves.
    pub says_leaving: bool,
    /// Rests of its upstream, of which its agent told.
    pub standing: UpstreamStanding,
    /// Requests of this entry there.
    pub in_flight: usize,
    /// Attempts running there, by its last news.
    pub running: usize,
    /// Attempts waiting there, by its last news.
    pub waiting: usize,
    /// Places there, by its last news.
    pub capacity: usize,
    /// Failures in a row.
    pub failures: u32,
    /// Times left out in a row.
    pub ejections: u32,
    /// Left out until this time.
    pub ejected_until: MonoTime,
    /// Returned at this time.
    pub returned: Option<MonoTime>,
}

impl UpstreamView {
    fn new(record: HostRecord) -> Self {
        Self {
            says_leaving: false,
            standing: UpstreamStanding::default(),
            record,
            is_listed: true,
            incarnation: 0,
            in_flight: 0,
            running: 0,
            waiting: 0,
            capacity: 0,
            failures: 0,
            ejections: 0,
            ejected_until: MonoTime::ZERO,
            returned: None,
        }
    }

    /// Whether it gets no new work: by its own word, by the host list's, or because the host list
    /// no longer has it.
    ///
    /// ```no_run
    /// # use quillcove_core::entry::fleet::UpstreamView;
    /// # fn upstream() -> UpstreamView { unimplemented!() }
    /// upstream().is_leaving();
    /// ```
    pub fn is_leaving(&self) -> bool {
        self.says_leaving || !self.is_listed || self.record.state == HostState::Leaving
    }

    /// Load as seen from here: the larger of what the agent last said runs there and what this
    /// entry has there without those that wait, made larger while the upstream is just back.
    /// Waiting attempts mostly wait for loads, and a spill to another engine would need one more.
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
        let Some(returned) = self.returned else {
            return load;
        };
        let age = now.saturating_sub(returned).as_secs_f64() / slow_start.as_secs_f64();
        (load + 1.0) / age.clamp(SLOW_START_SHARE, 1.0) - 1.0
    }
}

/// All agents an entry knows.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: BTreeMap<HostId, UpstreamView>,
}

/// One agent in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamSummary {
    /// Host.
    pub host: HostId,
    /// Hall.
    pub hall: String,
    /// Address of the agent.
    pub address: String,
    /// Base model or service.
    pub serves: String,
    /// Run of the agent, 0 while unknown.
    pub incarnation: Incarnation,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// Whether it is left out after failures.
    pub ejected: bool,
    /// How long its upstream still wants no work, in milliseconds.
    pub rest_left_ms: u64,
    /// Requests of this entry there.
    pub in_flight: usize,
    /// Attempts running there, by its last news.
    pub running: usize,
    /// Attempts waiting there, by its last news.
    pub waiting: usize,
}

impl UpstreamTable {
    /// Takes a host list. A host that is no longer listed is dropped once nothing is in flight
    /// there; an agent's own word that it leaves stays until the agent restarts.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let mut table = UpstreamTable::default();
    /// table.take_hosts(Vec::new());
    /// assert_eq!(table.len(), 0);
    /// ```
    pub fn take_hosts(&mut self, records: Vec<HostRecord>) {
        for upstream in self.upstreams.values_mut() {
            upstream.is_listed = false;
        }
        for record in records {
            match self.upstreams.get_mut(&record.host) {
                Some(upstream) => Self::renew(upstream, record),
                None => {
                    self.upstreams.insert(record.host.clone(), UpstreamView::new(record));
                },
            }
        }
        self.upstreams.retain(|_, upstream| upstream.is_listed || upstream.in_flight > 0);
    }

    fn renew(upstream: &mut UpstreamView, record: HostRecord) {
        if upstream.record.address != record.address {
            upstream.incarnation = 0;
            upstream.says_leaving = false;
            upstream.standing = UpstreamStanding::default();
        }
        upstream.is_listed = true;
        upstream.record = record;
    }

    /// Takes an agent's word about itself.
    ///
    /// ```
    /// use quillcove_core::entry::event::AgentNews;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let news = AgentNews {
    ///     incarnation: 5,
    ///     leaving: false,
    ///     running: 0,
    ///     waiting: 0,
    ///     capacity: 8,
    ///     bundle: 1,
    ///     crashes: Default::default(),
    ///     rest_ms: 0,
    /// };
    /// UpstreamTable::default().hear("e1", &news, Default::default());
    /// ```
    pub fn hear(&mut self, host: &str, news: &AgentNews, now: MonoTime) {
        let Some(upstream) = self.upstreams.get_mut(host) else {
            return;
        };
        if upstream.incarnation != news.incarnation {
            upstream.incarnation = news.incarnation;
            upstream.says_leaving = false;
            upstream.standing = UpstreamStanding::default();
        }
        upstream.says_leaving |= news.leaving;
        let rest = (news.rest_ms > 0).then(|| Duration::from_millis(news.rest_ms));
        upstream.standing.take(
            &UpstreamNotice { is_leaving: false, rest, limit: None },
            Duration::ZERO,
            now,
        );
        upstream.running = news.running;
        upstream.waiting = news.waiting;
        upstream.capacity = news.capacity;
    }

    /// One agent.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert!(UpstreamTable::default().get("e1").is_none());
    /// ```
    pub fn get(&self, host: &str) -> Option<&UpstreamView> {
        self.upstreams.get(host)
    }

    /// Number of agents.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert_eq!(UpstreamTable::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Tells whether no agent is known.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// assert!(UpstreamTable::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Counts an attempt that is sent.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().begin("e1", std::time::Duration::ZERO);
    /// ```
    pub fn begin(&mut self, host: &str, now: MonoTime) {
        if let Some(upstream) = self.upstreams.get_mut(host) {
            upstream.standing.begin(now);
            upstream.in_flight += 1;
        }
    }

    /// Counts an attempt that is over.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().end("e1");
    /// ```
    pub fn end(&mut self, host: &str) {
        if let Some(upstream) = self.upstreams.get_mut(host) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Notes that an agent answered.
    ///
    /// ```
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().succeed("e1");
    /// ```
    pub fn succeed(&mut self, host: &str) {
        if let Some(upstream) = self.upstreams.get_mut(host) {
            upstream.failures = 0;
            upstream.ejections = 0;
        }
    }

    /// Notes that an agent could not be reached or its answer was lost; after some failures in a
    /// row it is left out for a while.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::event::EntryRules;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// UpstreamTable::default().fail("e1", Duration::ZERO, &EntryRules::default());
    /// ```
    pub fn fail(&mut self, host: &str, now: MonoTime, rules: &EntryRules) {
        let Some(upstream) = self.upstreams.get_mut(host) else {
            return;
        };
        upstream.failures += 1;
        if upstream.failures < rules.eject_after || now < upstream.ejected_until {
            return;
        }
        let time = rules.eject_time * 2u32.saturating_pow(upstream.ejections.min(16));
        upstream.ejections += 1;
        upstream.ejected_until = now + time.min(LAST_EJECTION);
        upstream.returned = Some(upstream.ejected_until);
    }

    /// Agents that fit a target and do not leave.
    fn staying<'a, 'b>(
        &'a self,
        target: &'b RouteTarget,
    ) -> impl Iterator<Item = &'a UpstreamView> + use<'a, 'b> {
        let staying = self.upstreams.values().filter(|upstream| !upstream.is_leaving());
        staying.filter(|upstream| upstream.record.fits(target))
    }

    /// When the first of the agents for a target takes work again, if all of their upstreams rest.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::event::RouteTarget;
    /// use quillcove_core::entry::fleet::UpstreamTable;
    ///
    /// let target = RouteTarget::Service("booking".into());
    /// assert_eq!(UpstreamTable::default().rest_end(&target, Duration::ZERO), None);
    /// ```
    pub fn rest_end(&self, target: &RouteTarget, now: MonoTime) -> Option<MonoTime> {
        let ends = self.staying(target).map(|upstream| upstream.standing.takes_work_from(now));
        ends.min().filter(|end| *end > now)
    }

    /// Agents that may take a request: those for its target that do not leave, less those left
    /// out after failures as long as enough others stay.
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
            self.staying(target).filter(|upstream| upstream.standing.takes_work(now)).collect();
        let healthy: Vec<&UpstreamView> =
            all.iter().copied().filter(|upstream| now >= upstream.ejected_until).collect();
        let floor = (all.len() as f64 * rules.eject_floor).ceil() as usize;
        match healthy.len() >= floor.max(1) {
            true => healthy,
            false => all,
        }
    }

    /// All agents for a dump.
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
            leaving: upstream.is_leaving(),
            ejected: now < upstream.ejected_until,
            rest_left_ms: rest_left(upstream, now),
            in_flight: upstream.in_flight,
            running: upstream.running,
            waiting: upstream.waiting,
        };
        self.upstreams.values().map(summary).collect()
    }
}

fn rest_left(upstream: &UpstreamView, now: MonoTime) -> u64 {
    let end = upstream.standing.rest_end(now);
    end.map_or(0, |end| end.saturating_sub(now).as_millis() as u64)
}
