//! The agent's state as written to dumps and metrics, and its status for entries.

use serde::Serialize;

use super::AgentMachine;
use super::event::{HostState, UpstreamKind};
use super::slots::SlotState;
use crate::class::WorkClass;
use crate::entry::event::AgentStatus;
use crate::ids::{BundleVersion, HostId, Incarnation, MonoTime};
use crate::standing::limit::RateLimit;

/// One slot in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct SlotView {
    /// Adapter with version.
    pub adapter: String,
    /// State of the slot: `loading`, `ready` or `unloading`.
    pub state: &'static str,
    /// Number of attempts that use the adapter.
    pub pins: usize,
    /// Number of requests of an earlier agent that may still run.
    pub foreign: usize,
    /// Demand in requests per second, decayed over time.
    pub demand: f64,
}

/// An agent's state in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct AgentView {
    /// Host of the agent.
    pub host: HostId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Kind of upstream.
    pub kind: UpstreamKind,
    /// Whether the upstream responds.
    pub upstream_up: bool,
    /// Whether new work is rejected because the process or its host is draining.
    pub leaving: bool,
    /// Whether the upstream announces that it is draining.
    pub upstream_leaving: bool,
    /// How long entries should send nothing, in milliseconds.
    pub rest_left_ms: u64,
    /// Rate limit that the upstream announces, in requests per second.
    pub upstream_limit: Option<f64>,
    /// Version of the bundle in force, 0 for none.
    pub bundle: BundleVersion,
    /// Number of attempts in flight at the upstream.
    pub running: usize,
    /// Number of queued attempts.
    pub waiting: usize,
    /// Maximum number of concurrent attempts at the upstream.
    pub capacity: usize,
    /// Number of attempts in flight by class, most urgent first.
    pub running_by_class: [usize; 3],
    /// Number of marks kept to reject late copies.
    pub marks: usize,
    /// Number of recorded runs that must not happen twice.
    pub once_runs: usize,
    /// Incarnation of the engine, 0 for none.
    pub engine_incarnation: Incarnation,
    /// Term of this agent at its engine, 0 for none.
    pub engine_term: u64,
    /// Whether another agent has taken the engine over.
    pub superseded: bool,
    /// Number of loads completed since this agent first took over the engine.
    pub loads_done: u64,
    /// Number of adapter slots.
    pub slots_total: usize,
    /// Occupied slots.
    pub slots: Vec<SlotView>,
}

impl AgentMachine {
    /// Returns the state at this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert_eq!(machine.view(Duration::ZERO).waiting, 0);
    /// ```
    pub fn view(&self, now: MonoTime) -> AgentView {
        let engine = self.engine.as_ref();
        AgentView {
            host: self.host.clone(),
            incarnation: self.incarnation,
            kind: self.rules.kind,
            upstream_up: self.is_upstream_up,
            leaving: self.is_leaving(),
            upstream_leaving: self.upstream_status.is_leaving(),
            rest_left_ms: self.pause_left(now).as_millis() as u64,
            upstream_limit: self.upstream_status.limit().map(RateLimit::rate),
            bundle: self.bundle.as_ref().map_or(0, |bundle| bundle.version),
            running: self.running.len(),
            waiting: self.wait_queue.len(),
            capacity: self.capacity(),
            running_by_class: WorkClass::ALL.map(|class| self.running_count(class)),
            marks: self.marks.len(),
            once_runs: self.book.runs(),
            engine_incarnation: engine.map_or(0, |engine| engine.incarnation),
            engine_term: engine.map_or(0, |engine| engine.term()),
            superseded: engine.is_some_and(|engine| engine.is_superseded),
            loads_done: engine.map_or(0, |engine| engine.loads_done),
            slots_total: engine.map_or(0, |engine| engine.slot_table.total),
            slots: self.slot_views(now),
        }
    }

    /// Returns whether new work is rejected because the process or its host is draining, or because
    /// another agent has taken the engine over.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(!machine.is_leaving());
    /// ```
    pub fn is_leaving(&self) -> bool {
        let is_superseded = self.engine.as_ref().is_some_and(|engine| engine.is_superseded);
        self.is_stopping || self.host_state == HostState::Leaving || is_superseded
    }

    /// Returns whether the agent is able to accept work.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert!(!machine.is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.bundle.is_some() && self.check_availability().is_ok()
    }

    /// Returns the status that is sent to entries with each response.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::agent::AgentMachine;
    /// use quillcove_core::agent::event::AgentRules;
    /// use quillcove_core::once::book::{BookLimits, OnceBook};
    ///
    /// let book = OnceBook::new("e1", 5, [7; 32], BookLimits::default(), Duration::ZERO);
    /// let machine = AgentMachine::new("e1", 5, AgentRules::default(), book, Duration::ZERO);
    /// assert_eq!(machine.status().incarnation, 5);
    /// ```
    pub fn status(&self) -> AgentStatus {
        AgentStatus {
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            running: self.running.len(),
            waiting: self.wait_queue.len(),
            capacity: self.capacity(),
            bundle: self.bundle.as_ref().map_or(0, |bundle| bundle.version),
            crashes: self.crash_report(),
            rest_ms: self.pause_left(self.last_event_at).as_millis() as u64,
        }
    }

    fn slot_views(&self, now: MonoTime) -> Vec<SlotView> {
        let Some(engine) = &self.engine else {
            return Vec::new();
        };
        let view = |(adapter, slot): (&crate::adapter::AdapterRef, &super::slots::AdapterSlot)| {
            let meter = self.demand.get(adapter);
            SlotView {
                adapter: adapter.to_string(),
                state: slot_label(slot.state),
                pins: self.pin_count(adapter),
                foreign: slot.inherited_requests,
                demand: meter.map_or(0.0, |meter| meter.rate(now, self.rules.half_life)),
            }
        };
        engine.slot_table.iter().map(view).collect()
    }
}

fn slot_label(state: SlotState) -> &'static str {
    match state {
        SlotState::Loading => "loading",
        SlotState::Ready => "ready",
        SlotState::Unloading => "unloading",
    }
}
