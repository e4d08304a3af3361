//! Decisions of an entry host: which upstream takes a request, and what is repeated.

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
use crate::crash::book::CrashBook;
use crate::ids::{AttemptId, BundleVersion, HostId, MonoTime, RequestId};
use crate::standing::spread_return;
use crate::verdict::{RefusalReason, RunVerdict, SOON, WorkRefusal};

/// One request in flight.
#[derive(Clone, Debug)]
struct OpenRequest {
    query: RouteQuery,
    tried: Vec<HostId>,
    attempts: u32,
    /// Unknown incarnations cost an extra round trip, which is not counted as an attempt.
    introductions: u32,
    current: Option<(AttemptId, HostId)>,
    resume_at: Option<MonoTime>,
    last_refusal: Option<WorkRefusal>,
}

/// An entry's state in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct EntryView {
    /// Bundle in force, 0 for none.
    pub bundle: BundleVersion,
    /// Requests in flight.
    pub requests: usize,
    /// Whether new requests are refused because the process stops.
    pub stopping: bool,
    /// Repeats that the budget allows now, by upstream target.
    pub retry_budget: f64,
    /// Agents known.
    pub upstreams: Vec<UpstreamSummary>,
}

/// The entry's state machine.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::entry::EntryMachine;
/// use quillcove_core::entry::event::{EntryAction, EntryEvent, EntryRules};
///
/// let mut machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
/// let mut actions = Vec::new();
/// machine.handle(Duration::ZERO, EntryEvent::StopAsked, &mut actions);
/// assert_eq!(actions, [EntryAction::Stopped]);
/// ```
#[derive(Clone, Debug)]
pub struct EntryMachine {
    rules: EntryRules,
    fleet: UpstreamTable,
    requests: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeMap<AttemptId, RequestId>,
    budget: RetryBudget,
    /// Under which requests upstreams end, as agents tell.
    crashes: CrashBook,
    bundle: Option<Arc<FleetBundle>>,
    /// Highest version that agents were asked for.
    sought: BundleVersion,
    draws: u64,
    is_stopping: bool,
    has_stopped: bool,
    is_confirmed: bool,
    last_event: MonoTime,
}

impl EntryMachine {
    /// A machine that knows no agents yet. The seed feeds its draws.
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
            crashes: CrashBook::default(),
            rules,
            fleet: UpstreamTable::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            bundle: None,
            sought: 0,
            draws: seed,
            is_stopping: false,
            has_stopped: false,
            is_confirmed: true,
            last_event: now,
        }
    }

    /// The bundle in force.
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

    /// Tells whether requests would be taken: a bundle is in force and agents are known.
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

    /// Address for control calls to a host's agent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::entry::EntryMachine;
    /// use quillcove_core::entry::event::EntryRules;
    ///
    /// let machine = EntryMachine::new(EntryRules::default(), 1, Duration::ZERO);
    /// assert_eq!(machine.control_of("e1"), None);
    /// ```
    pub fn control_of(&self, host: &str) -> Option<String> {
        self.fleet.get(host).map(|upstream| upstream.record.control.clone())
    }

    /// The state at this time.
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

    /// Takes one event and appends the actions that follow from it.
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
        self.notice_pause(now, out);
        match event {
            EntryEvent::Admitted(query) => self.admit(now, query, out),
            EntryEvent::AttemptEnded(attempt, end) => self.end_attempt(now, attempt, end, out),
            EntryEvent::Done(request) => self.close(request),
            EntryEvent::Heard(host, news) => {
                self.fleet.hear(&host, &news, now);
                self.crashes.take(&news.crashes, now);
                self.seek_newer(news.bundle, out);
            },
            EntryEvent::HostsSeen(records) => self.see_hosts(now, records, out),
            EntryEvent::BundleTaken(bundle) => self.take_bundle(bundle),
            EntryEvent::StopAsked => self.is_stopping = true,
            EntryEvent::Ticked => {
                self.crashes.forget(now);
                self.resume_due(now, out);
            },
        }
        if self.is_stopping && self.requests.is_empty() && !self.has_stopped {
            self.has_stopped = true;
            out.push(EntryAction::Stopped);
        }
    }

    /// A process that was paused reads the host list again before it sends anything, because an
    /// upstream may have left meanwhile.
    fn notice_pause(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let gap = now.saturating_sub(self.last_event);
        self.last_event = now;
        if gap > self.rules.pause_limit {
            self.is_confirmed = false;
            out.push(EntryAction::ReadHosts);
        }
    }

    fn admit(&mut self, now: MonoTime, query: RouteQuery, out: &mut Vec<EntryAction>) {
        let request = query.request;
        if let Err(refusal) = self.check_admission(now, &query) {
            out.push(EntryAction::Finish(request, refusal));
            return;
        }
        self.budget.note_first();
        let open = OpenRequest {
            query,
            tried: Vec::new(),
            attempts: 0,
            introductions: 0,
            current: None,
            resume_at: None,
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

    /// Sends the next attempt of a request; holds it while the host list is read again, and gives
    /// it up when its deadline has passed.
    fn send(&mut self, now: MonoTime, request: RequestId, out: &mut Vec<EntryAction>) {
        let draw = self.draw();
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if !self.is_confirmed {
            open.resume_at = Some(now);
            return;
        }
        if open.query.deadline <= now {
            let refusal = late_refusal(open);
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
            let none = self.refusal_of_none(now, request);
            self.finish(request, refusal.unwrap_or(none), out);
            return;
        };
        let attempt = attempt_id(request, open.attempts + open.introductions);
        open.attempts += 1;
        open.current = Some((attempt, host.clone()));
        open.resume_at = None;
        self.attempts.insert(attempt, request);
        self.fleet.begin(&host, now);
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

    /// Why no upstream takes a request: all rest, or there is none. Callers of one moment are told different times,
    /// so that they do not return as one herd.
    fn refusal_of_none(&mut self, now: MonoTime, request: RequestId) -> WorkRefusal {
        let target = self.requests.get(&request).map(|open| &open.query.target);
        let Some(end) = target.and_then(|target| self.fleet.rest_end(target, now)) else {
            return WorkRefusal::not_run(RefusalReason::NoUpstream, Some(SOON));
        };
        let left = spread_return(end.saturating_sub(now), self.draw());
        WorkRefusal::not_run(RefusalReason::Overloaded, Some(left))
    }

    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(1);
        crate::rendezvous::weight("draw", &self.draws.to_string())
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
            self.fleet.succeed(&host);
            return;
        }
        open.current = None;
        self.fleet.end(&host);
        match end {
            AttemptEnd::Answered => {},
            AttemptEnd::Refused(refusal) => {
                self.fleet.succeed(&host);
                self.after_refusal(now, request, &host, refusal, out);
            },
            AttemptEnd::Unreachable => {
                self.fleet.fail(&host, now, &self.rules);
                let refusal = WorkRefusal::not_run(RefusalReason::UpstreamDown, Some(SOON));
                self.after_refusal(now, request, &host, refusal, out);
            },
            AttemptEnd::Lost => {
                self.fleet.fail(&host, now, &self.rules);
                let refusal = WorkRefusal::may_have_run(RefusalReason::UpstreamBroke);
                self.after_refusal(now, request, &host, refusal, out);
            },
        }
    }

    /// Repeats a request that did not run or may run twice, within limits; gives up otherwise,
    /// at once.
    fn after_refusal(
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
        let is_introduction = refusal.reason == RefusalReason::WrongIncarnation
            && refusal.verdict == RunVerdict::NotRun
            && open.introductions < self.rules.attempt_limit;
        if is_introduction {
            open.introductions += 1;
            open.attempts -= 1;
            self.send(now, request, out);
            return;
        }
        open.tried.push(host.clone());
        let kept = combine(open.last_refusal, refusal);
        open.last_refusal = Some(kept);
        let may_repeat = match (refusal.verdict, open.query.repeat) {
            (RunVerdict::NotRun, _) => is_worth_repeating(refusal.reason),
            (RunVerdict::MayHaveRun, RepeatRule::Repeatable) => is_worth_repeating(refusal.reason),
            (RunVerdict::MayHaveRun, RepeatRule::Once) | (RunVerdict::Ran, _) => false,
        };
        let is_owner_bound = matches!(open.query.target, event::RouteTarget::Owner(_));
        let limit = open.query.attempt_limit.unwrap_or(u32::MAX).min(self.rules.attempt_limit);
        let is_within = open.attempts < limit && !is_owner_bound;
        if !may_repeat || !is_within || !self.budget.take() {
            self.finish(request, kept, out);
            return;
        }
        let attempts = open.attempts;
        let draw = self.draw();
        self.resume_after(now, request, routing::retry_pause(attempts, draw), out);
    }

    fn resume_after(
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
            let refusal = late_refusal(open);
            self.finish(request, refusal, out);
            return;
        }
        open.resume_at = Some(now + pause);
    }

    /// Sends attempts whose pause is over.
    fn resume_due(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let is_due = |open: &OpenRequest| open.resume_at.is_some_and(|at| at <= now);
        let due = self.requests.iter().filter(|(_, open)| is_due(open));
        let due: Vec<RequestId> = due.map(|(request, _)| *request).collect();
        for request in due {
            self.send(now, request, out);
        }
    }

    fn finish(&mut self, request: RequestId, refusal: WorkRefusal, out: &mut Vec<EntryAction>) {
        self.close(request);
        out.push(EntryAction::Finish(request, refusal));
    }

    fn close(&mut self, request: RequestId) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        if let Some((attempt, host)) = open.current {
            self.attempts.remove(&attempt);
            self.fleet.end(&host);
        }
    }

    fn see_hosts(
        &mut self,
        now: MonoTime,
        records: Option<Vec<HostRecord>>,
        out: &mut Vec<EntryAction>,
    ) {
        if let Some(records) = records {
            self.fleet.take_hosts(records);
        }
        self.is_confirmed = true;
        self.resume_due(now, out);
    }

    /// An agent's word that it has a newer bundle is a reason to ask for it, and no more: only its
    /// signature counts.
    fn seek_newer(&mut self, version: BundleVersion, out: &mut Vec<EntryAction>) {
        let held = self.bundle.as_ref().map_or(0, |held| held.version);
        if version > held.max(self.sought) {
            self.sought = version;
            out.push(EntryAction::SeekBundle);
        }
    }

    fn take_bundle(&mut self, bundle: Arc<FleetBundle>) {
        let held = self.bundle.as_ref().map_or(0, |held| held.version);
        if bundle.version >= held {
            self.bundle = Some(bundle);
        }
    }
}

/// Attempts of a request count up from its own number, which leaves its low byte free.
fn attempt_id(request: RequestId, number: u32) -> AttemptId {
    (request << 8) | u128::from(number & 0xff)
}

/// What is told of a request that has no time left: the refusal before, if there was one.
fn late_refusal(open: &OpenRequest) -> WorkRefusal {
    let late = WorkRefusal::not_run(RefusalReason::DeadlinePassed, None);
    open.last_refusal.unwrap_or(late)
}

/// The refusal to keep: once one attempt may have run, the whole request may have.
fn combine(before: Option<WorkRefusal>, refusal: WorkRefusal) -> WorkRefusal {
    match before {
        Some(before) if before.verdict == RunVerdict::MayHaveRun => before,
        _ => refusal,
    }
}

/// Refusals that another upstream would repeat word for word are final.
fn is_worth_repeating(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::BadRequest
        | RefusalReason::DeadlinePassed
        // Loads are what is short, at the whole site: another engine would only load it as well.
        | RefusalReason::DeadlineTooShort
        | RefusalReason::Withdrawn
        | RefusalReason::TicketUnknown
        | RefusalReason::AlreadyUsed
        | RefusalReason::KeyUncertain
        | RefusalReason::KeyUnknown
        | RefusalReason::LimitReached
        | RefusalReason::EndsUpstreams => false,
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
