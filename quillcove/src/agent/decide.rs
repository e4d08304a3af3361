//! The duty that decides: it owns the machine and carries its actions out.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Receiver;
use quillcove_core::agent::AgentMachine;
use quillcove_core::agent::event::{AgentAction, AgentEvent, RunEnd, WithdrawAnswer};
use quillcove_core::ids::AttemptId;
use quillcove_core::standing::limit::RateLimit;
use quillcove_core::standing::notice::UpstreamNotice;
use quillcove_core::verdict::WorkRefusal;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use super::input::{AgentInput, AttemptDecision};
use super::orders::OrderTask;
use crate::bundle::watch::WatchAsk;
use crate::clock::MonoClock;
use crate::duty;
use crate::process::note_ready;

/// State of the duty.
pub struct DecideDuty {
    pub machine: AgentMachine,
    pub clock: MonoClock,
    pub order_tasks: mpsc::Sender<OrderTask>,
    pub watch_asks: mpsc::Sender<WatchAsk>,
    pub halt: watch::Sender<bool>,
    pub is_ready: Arc<AtomicBool>,
    pub pending: HashMap<AttemptId, oneshot::Sender<AttemptDecision>>,
    pub withdrawals: HashMap<AttemptId, Vec<oneshot::Sender<WithdrawAnswer>>>,
    pub log: Logger,
}

impl DecideDuty {
    /// Starts the duty's thread.
    pub fn spawn(mut self, inputs: Receiver<AgentInput>, tick: Duration) -> JoinHandle<()> {
        duty::start("decide", inputs, tick, move |input| self.take(input))
    }

    fn take(&mut self, input: Option<AgentInput>) -> bool {
        match input {
            None => self.handle(AgentEvent::Ticked),
            Some(AgentInput::Event(AgentEvent::Said(notice))) => self.take_notice(notice),
            Some(AgentInput::Event(event)) => self.handle(event),
            Some(AgentInput::OddWord(fault)) => {
                warn!(self.log, "word of the upstream not understood"; "fault" => fault);
            },
            Some(AgentInput::Attempt(order, decision)) => {
                // A copy must not take the place of the first one's decision.
                let attempt = order.attempt;
                let first = self.pending.remove(&attempt);
                self.pending.insert(attempt, decision);
                self.handle(AgentEvent::Arrived(order));
                if let Some(first) = first {
                    self.pending.insert(attempt, first);
                }
            },
            Some(AgentInput::Abandoned(attempt, incarnation)) => {
                self.pending.remove(&attempt);
                self.handle(AgentEvent::Withdrawn(attempt, incarnation));
                self.handle(AgentEvent::Ended(attempt, RunEnd::NotRun));
            },
            Some(AgentInput::Withdraw(attempt, incarnation, answer)) => {
                self.withdrawals.entry(attempt).or_default().push(answer);
                self.handle(AgentEvent::Withdrawn(attempt, incarnation));
            },
            Some(AgentInput::IssueTicket(answer)) => {
                let ticket = self.machine.book_mut().issue(self.clock.now());
                let _ = answer.send(ticket);
            },
            Some(AgentInput::TicketState(ticket, answer)) => {
                let state = self.machine.book_mut().state_of(self.clock.now(), &ticket);
                let _ = answer.send(state);
            },
            Some(AgentInput::Dump(answer)) => {
                let _ = answer.send(self.machine.view(self.clock.now()));
            },
            Some(AgentInput::Halt) => return false,
        }
        !*self.halt.borrow()
    }

    /// Takes what the upstream said of itself; an upstream says the same with each answer, and what it changes is
    /// worth a line.
    fn take_notice(&mut self, notice: UpstreamNotice) {
        let wanted_work = self.machine.wants_work(self.clock.now());
        let before = self.machine.upstream_limit();
        self.handle(AgentEvent::Said(notice));
        let is_turned_away = wanted_work && !self.machine.wants_work(self.clock.now());
        if is_turned_away || before != self.machine.upstream_limit() {
            info!(self.log, "upstream said of itself"; "is_leaving" => notice.is_leaving,
                "rest_ms" => notice.rest.map(|rest| rest.as_millis() as u64),
                "limit" => notice.limit.map(RateLimit::rate));
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        note_ready(&self.is_ready, self.machine.is_ready(), &self.log);
    }

    fn carry_out(&mut self, action: AgentAction) {
        match action {
            AgentAction::Start(attempt) => {
                if !self.decide(attempt, Ok(())) {
                    self.handle(AgentEvent::Ended(attempt, RunEnd::NotRun));
                }
            },
            AgentAction::Refuse(attempt, refusal) => {
                self.decide(attempt, Err(refusal));
            },
            AgentAction::AnswerWithdrawal(attempt, answer) => {
                for waiting in self.withdrawals.remove(&attempt).unwrap_or_default() {
                    let _ = waiting.send(answer);
                }
            },
            AgentAction::Send(order) => self.order(OrderTask::Send(order)),
            AgentAction::AskPermit(value) => self.order(OrderTask::AskPermit(value)),
            AgentAction::ReturnPermit => self.order(OrderTask::ReturnPermit),
            AgentAction::ReadHosts => {
                let _ = self.watch_asks.try_send(WatchAsk::ReadHosts);
            },
            AgentAction::WitnessBundle(version) => {
                let _ = self.watch_asks.try_send(WatchAsk::Witness(version));
            },
            AgentAction::Stopped => {
                info!(self.log, "agent stopped");
                self.halt.send_replace(true);
            },
        }
    }

    /// Gives a decision to its handler; `false` when the handler is gone.
    fn decide(&mut self, attempt: AttemptId, verdict: Result<(), WorkRefusal>) -> bool {
        let Some(waiting) = self.pending.remove(&attempt) else {
            return false;
        };
        waiting.send(AttemptDecision { verdict, news: self.machine.news() }).is_ok()
    }

    /// The machine has few orders out, so this ring is never full for long; an order that finds
    /// no place counts as unanswered.
    fn order(&mut self, task: OrderTask) {
        let Err(mpsc::error::TrySendError::Full(task)) = self.order_tasks.try_send(task) else {
            return;
        };
        if let OrderTask::Send(order) = task {
            let end = quillcove_core::agent::event::OrderEnd::Unknown;
            self.handle(AgentEvent::OrderEnded(order.fence, end));
        }
    }
}
