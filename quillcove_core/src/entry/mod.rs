//! State machine of an entry: chooses the upstream for each request and decides on retries.
//!
//! It knows upstreams through their agents and opens no connections itself: the process passes in
//! events and executes the returned actions.

pub mod event;
pub mod fleet;
pub mod retry;
pub mod routing;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use self::event::{
    AttemptEnd, AttemptOrder, EntryAction, EntryEvent, EntryRules, HostRecord, RepeatRule,
    RouteQuery,
};
use self::fleet::{UpstreamSummary, UpstreamTable};
use self::retry::RetryBudget;
use crate::bundle::FleetBundle;
use crate::crash::book::CrashTable;
use crate::ids::{AttemptId, BundleVersion, HostId, MonoTime, RequestId};
use crate::standing::spread_return;
use crate::verdict::{RefusalReason, RunVerdict, SHORT_RETRY_DELAY, WorkRefusal};

/// One request in flight.
#[derive(Clone, Debug)]
struct OpenRequest {
    query: RouteQuery,
    tried: Vec<HostId>,
    attempts: u32,
    /// Attempts rejected because the agent's incarnation was unknown or outdated. The agent reports
    /// its incarnation with the rejection, so these are resent and not counted as attempts.
    incarnation_retries: u32,
    current: Option<(AttemptId, HostId)>,
    send_at: Option<MonoTime>,
    last_refusal: Option<WorkRefusal>,
}

/// State of an entry for the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct EntryView {
    /// Version of the bundle in force, 0 if there is none.
    pub bundle: BundleVersion,
    /// Requests in flight.
    pub requests: usize,
    /// Whether new requests are rejected because the process is stopping.
    pub stopping: bool,
    /// Retries that the budget allows now.
    pub retry_budget: f64,
    /// Known upstreams, one per agent.
    pub upstreams: Vec<UpstreamSummary>,
}

/// State machine of an entry.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::entry::EntryMachine;
/// use quillcove_core::entry::event::{EntryAction, EntryEvent, EntryRules};
///
/// let mut machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
/// let mut actions = Vec::new();
/// machine.handle(Duration::ZERO, EntryEvent::StopRequested, &mut actions);
/// assert_eq!(actions, [EntryAction::Stopped]);
/// ```
#[derive(Clone, Debug)]
pub struct EntryMachine {
    rules: EntryRules,
    fleet: UpstreamTable,
    requests: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeMap<AttemptId, RequestId>,
    budget: RetryBudget,
    /// Crash records received from agents, used to reject fatal requests.
    crashes: CrashTable,
    bundle: Option<Arc<FleetBundle>>,
    /// Highest bundle version that has been requested from agents.
    requested_version: BundleVersion,
    draw_counter: u64,
    is_stopping: bool,
    has_stopped: bool,
    is_host_list_current: bool,
    last_event: MonoTime,
}

impl EntryMachine {
    /// Creates a machine without agents. `seed` initializes its pseudo-random draws.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::EntryRules;
    ///
    /// EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
    /// ```
    pub fn new(rules: EntryRules, seed: u64, now: MonoTime) -> Self {
        Self {
            budget: RetryBudget::new(rules.retry_share),
            crashes: CrashTable::default(),
            rules,
            fleet: UpstreamTable::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            bundle: None,
            requested_version: 0,
            draw_counter: seed,
            is_stopping: false,
            has_stopped: false,
            is_host_list_current: true,
            last_event: now,
        }
    }

    /// Returns the bundle in force, if any.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::EntryRules;
    ///
    /// let machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
    /// assert!(machine.bundle().is_none());
    /// ```
    pub fn bundle(&self) -> Option<&Arc<FleetBundle>> {
        self.bundle.as_ref()
    }

    /// Returns whether requests are accepted: a bundle is in force, agents are known and the process
    /// is not stopping.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::EntryRules;
    ///
    /// assert!(!EntryMachine::new(EntryRules::default(), 1, Duration::ZERO).is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.bundle.is_some() && !self.fleet.is_empty() && !self.is_stopping
    }

    /// Returns the address for control calls to the agent of a host.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::EntryRules;
    ///
    /// let machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
    /// assert_eq!(machine.control_address("e1"), None);
    /// ```
    pub fn control_address(&self, host: &str) -> Option<String> {
        self.fleet.get(host).map(|upstream| upstream.record.control.clone())
    }

    /// Returns the state for the state dump.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::EntryRules;
    ///
    /// let machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
    /// assert_eq!(machine.view(Duration::ZERO).requests, 0);
    /// ```
    pub fn view(&self, now: MonoTime) -> EntryView {
        EntryView {
            bundle: self.bundle.as_ref().map_or(0, |bundle| bundle.version),
            requests: self.requests.len(),
            stopping: self.is_stopping,
            retry_budget: self.budget.left(),
            upstreams: self.fleet.summaries(now),
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::{EntryEvent, EntryRules};
    ///
    /// let mut machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
    /// let mut actions = Vec::new();
    /// machine.handle(Duration::ZERO, EntryEvent::Ticked, &mut actions);
    /// assert!(actions.is_empty());
    /// ```
    pub fn handle(&mut self, now: MonoTime, event: EntryEvent, out: &mut Vec<EntryAction>) {
        self.detect_suspension(now, out);
        match event {
            EntryEvent::Admitted(query) => self.admit(now, query, out),
            EntryEvent::AttemptEnded(attempt, end) => self.end_attempt(now, attempt, end, out),
            EntryEvent::RequestDone(request) => self.remove_request(request),
            EntryEvent::StatusReceived(host, agent_status) => {
                self.fleet.record_status(&host, &agent_status, now);
                self.crashes.take(&agent_status.crashes, now);
                self.request_newer_bundle(agent_status.bundle, out);
            },
            EntryEvent::HostsRead(records) => self.apply_host_list(now, records, out),
            EntryEvent::BundleActivated(bundle) => self.apply_bundle(bundle),
            EntryEvent::StopRequested => self.is_stopping = true,
            EntryEvent::Ticked => {
                self.crashes.forget(now);
                self.send_due(now, out);
            },
        }
        if self.is_stopping && self.requests.is_empty() && !self.has_stopped {
            self.has_stopped = true;
            out.push(EntryAction::Stopped);
        }
    }

    /// Detects a suspension of the process by the gap between events. No attempt is sent after it
    /// until the host list has been read again, because an upstream may have been drained meanwhile.
    fn detect_suspension(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let gap = now.saturating_sub(self.last_event);
        self.last_event = now;
        if gap > self.rules.suspension_limit {
            self.is_host_list_current = false;
            out.push(EntryAction::ReadHosts);
        }
    }

    fn admit(&mut self, now: MonoTime, query: RouteQuery, out: &mut Vec<EntryAction>) {
        let request = query.request;
        if let Err(refusal) = self.check_admission(now, &query) {
            out.push(EntryAction::Reject(request, refusal));
            return;
        }
        self.budget.record_first_attempt();
        let open = OpenRequest {
            query,
            tried: Vec::new(),
            attempts: 0,
            incarnation_retries: 0,
            current: None,
            send_at: None,
            last_refusal: None,
        };
        self.requests.insert(request, open);
        self.send(now, request, out);
    }

    fn check_admission(&self, now: MonoTime, query: &RouteQuery) -> Result<(), WorkRefusal> {
        if self.is_stopping {
            return Err(WorkRefusal::not_run(RefusalReason::Leaving, Some(Duration::ZERO)));
        }
        if self.requests.len() >= self.rules.request_limit {
            return Err(WorkRefusal::overloaded());
        }
        if query.deadline <= now {
            return Err(WorkRefusal::not_run(RefusalReason::DeadlinePassed, None));
        }
        Ok(())
    }

    /// Sends the next attempt of a request. Holds the request while the host list is being read
    /// again, and finishes it with a refusal if its deadline has passed, it is known to be fatal or
    /// no upstream is available.
    fn send(&mut self, now: MonoTime, request: RequestId, out: &mut Vec<EntryAction>) {
        let draw = self.draw();
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if !self.is_host_list_current {
            open.send_at = Some(now);
            return;
        }
        if open.query.deadline <= now {
            let refusal = deadline_refusal(open);
            self.finish(request, refusal, out);
            return;
        }
        let cause = open.query.identity.and_then(|identity| self.crashes.cause(identity, now));
        if cause.is_some() {
            let refusal = WorkRefusal::not_run(RefusalReason::EndsUpstreams, None);
            let refusal = combine(open.last_refusal, refusal);
            self.finish(request, refusal, out);
            return;
        }
        let target = &open.query.target;
        let candidates = self.fleet.candidates(target, now, &self.rules);
        let chosen = routing::choose(&candidates, target, &open.tried, now, &self.rules, draw);
        let Some(host) = chosen else {
            let refusal = open.last_refusal;
            let none = self.no_upstream_refusal(now, request);
            self.finish(request, refusal.unwrap_or(none), out);
            return;
        };
        let attempt = attempt_id(request, open.attempts + open.incarnation_retries);
        open.attempts += 1;
        open.current = Some((attempt, host.clone()));
        open.send_at = None;
        self.attempts.insert(attempt, request);
        self.fleet.record_attempt_start(&host, now);
        let Some(upstream) = self.fleet.get(&host) else {
            return;
        };
        out.push(EntryAction::Send(AttemptOrder {
            request,
            attempt,
            address: upstream.record.address.clone(),
            incarnation: upstream.incarnation,
            host,
        }));
    }

    /// Returns the refusal for a request without an available upstream: either every upstream has
    /// requested a pause, or there is none. The retry times are spread at random, so that callers
    /// rejected at the same time do not all return at once.
    fn no_upstream_refusal(&mut self, now: MonoTime, request: RequestId) -> WorkRefusal {
        let target = self.requests.get(&request).map(|open| &open.query.target);
        let Some(end) = target.and_then(|target| self.fleet.earliest_pause_end(target, now)) else {
            return WorkRefusal::not_run(RefusalReason::NoUpstream, Some(SHORT_RETRY_DELAY));
        };
        let left = spread_return(end.saturating_sub(now), self.draw());
        WorkRefusal::not_run(RefusalReason::Overloaded, Some(left))
    }

    fn draw(&mut self) -> u64 {
        self.draw_counter = self.draw_counter.wrapping_add(1);
        crate::rendezvous::weight("draw", &self.draw_counter.to_string())
    }

    fn end_attempt(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Some((_, host)) = open.current.clone() else {
            return;
        };
        if end == AttemptEnd::Answered {
            self.fleet.record_success(&host);
            return;
        }
        open.current = None;
        self.fleet.record_attempt_end(&host);
        match end {
            AttemptEnd::Answered => {},
            AttemptEnd::Refused(refusal) => {
                self.fleet.record_success(&host);
                self.handle_refusal(now, request, &host, refusal, out);
            },
            AttemptEnd::Unreachable => {
                self.fleet.record_failure(&host, now, &self.rules);
                let refusal =
                    WorkRefusal::not_run(RefusalReason::UpstreamDown, Some(SHORT_RETRY_DELAY));
                self.handle_refusal(now, request, &host, refusal, out);
            },
            AttemptEnd::Lost => {
                self.fleet.record_failure(&host, now, &self.rules);
                let refusal = WorkRefusal::may_have_run(RefusalReason::UpstreamBroke);
                self.handle_refusal(now, request, &host, refusal, out);
            },
        }
    }

    /// Schedules a retry if the request did not run or may run twice, and the attempt limit and the
    /// retry budget allow it. Otherwise finishes the request at once.
    fn handle_refusal(
        &mut self,
        now: MonoTime,
        request: RequestId,
        host: &HostId,
        refusal: WorkRefusal,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let is_incarnation_retry = refusal.reason == RefusalReason::WrongIncarnation
            && refusal.verdict == RunVerdict::NotRun
            && open.incarnation_retries < self.rules.attempt_limit;
        if is_incarnation_retry {
            open.incarnation_retries += 1;
            open.attempts -= 1;
            self.send(now, request, out);
            return;
        }
        open.tried.push(host.clone());
        let combined = combine(open.last_refusal, refusal);
        open.last_refusal = Some(combined);
        let may_repeat = match (refusal.verdict, open.query.repeat) {
            (RunVerdict::NotRun, _) => is_retryable(refusal.reason),
            (RunVerdict::MayHaveRun, RepeatRule::Repeatable) => is_retryable(refusal.reason),
            (RunVerdict::MayHaveRun, RepeatRule::Once) | (RunVerdict::Ran, _) => false,
        };
        let is_owner_bound = matches!(open.query.target, event::RouteTarget::Owner(_));
        let limit = open.query.attempt_limit.unwrap_or(u32::MAX).min(self.rules.attempt_limit);
        let is_within = open.attempts < limit && !is_owner_bound;
        if !may_repeat || !is_within || !self.budget.try_take() {
            self.finish(request, combined, out);
            return;
        }
        let attempts = open.attempts;
        let draw = self.draw();
        self.schedule_retry(now, request, routing::retry_backoff(attempts, draw), out);
    }

    fn schedule_retry(
        &mut self,
        now: MonoTime,
        request: RequestId,
        pause: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if now + pause >= open.query.deadline {
            let refusal = deadline_refusal(open);
            self.finish(request, refusal, out);
            return;
        }
        open.send_at = Some(now + pause);
    }

    /// Sends the attempts whose backoff is over.
    fn send_due(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let is_due = |open: &OpenRequest| open.send_at.is_some_and(|at| at <= now);
        let due = self.requests.iter().filter(|(_, open)| is_due(open));
        let due: Vec<RequestId> = due.map(|(request, _)| *request).collect();
        for request in due {
            self.send(now, request, out);
        }
    }

    fn finish(&mut self, request: RequestId, refusal: WorkRefusal, out: &mut Vec<EntryAction>) {
        self.remove_request(request);
        out.push(EntryAction::Reject(request, refusal));
    }

    fn remove_request(&mut self, request: RequestId) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        if let Some((attempt, host)) = open.current {
            self.attempts.remove(&attempt);
            self.fleet.record_attempt_end(&host);
        }
    }

    fn apply_host_list(
        &mut self,
        now: MonoTime,
        records: Option<Vec<HostRecord>>,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(records) = records {
            self.fleet.apply_host_list(records);
        }
        self.is_host_list_current = true;
        self.send_due(now, out);
    }

    /// Requests the bundle if an agent reports a newer version. The report only triggers the
    /// request: a bundle takes effect only after its signature has been verified.
    fn request_newer_bundle(&mut self, version: BundleVersion, out: &mut Vec<EntryAction>) {
        let held = self.bundle.as_ref().map_or(0, |held| held.version);
        if version > held.max(self.requested_version) {
            self.requested_version = version;
            out.push(EntryAction::RequestBundle);
        }
    }

    fn apply_bundle(&mut self, bundle: Arc<FleetBundle>) {
        let held = self.bundle.as_ref().map_or(0, |held| held.version);
        if bundle.version >= held {
            self.bundle = Some(bundle);
        }
    }
}

/// Derives an attempt id from the request id, shifted left by one byte, and the attempt's number in
/// the low byte.
fn attempt_id(request: RequestId, number: u32) -> AttemptId {
    (request << 8) | u128::from(number & 0xff)
}

/// Returns the refusal for a request whose deadline has passed: that of its last attempt, if any.
fn deadline_refusal(open: &OpenRequest) -> WorkRefusal {
    let late = WorkRefusal::not_run(RefusalReason::DeadlinePassed, None);
    open.last_refusal.unwrap_or(late)
}

/// Combines the refusals of two attempts: once one attempt may have run, so may the request.
fn combine(before: Option<WorkRefusal>, refusal: WorkRefusal) -> WorkRefusal {
    match before {
        Some(before) if before.verdict == RunVerdict::MayHaveRun => before,
        _ => refusal,
    }
}

/// Returns whether another upstream could accept the request. Refusals that every upstream would
/// give are final.
fn is_retryable(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::BadRequest
        | RefusalReason::DeadlinePassed
        // Loads are rate-limited for the whole site, and another engine would need one as well.
        | RefusalReason::DeadlineTooShort
        | RefusalReason::Withdrawn
        | RefusalReason::TicketUnknown
        | RefusalReason::AlreadyUsed
        | RefusalReason::KeyUncertain
        | RefusalReason::KeyUnknown
        | RefusalReason::LimitReached
        | RefusalReason::EndsUpstreams
        | RefusalReason::OriginUnknown
        | RefusalReason::OriginGone => false,
        RefusalReason::Unknown
        | RefusalReason::BundleMissing
        | RefusalReason::KnowledgeOld
        | RefusalReason::NoUpstream
        | RefusalReason::Overloaded
        | RefusalReason::Leaving
        | RefusalReason::WrongIncarnation
        | RefusalReason::Duplicate
        | RefusalReason::LoadFailed
        | RefusalReason::UpstreamDown
        | RefusalReason::UpstreamBroke => true,
    }
}
