//! The decision thread of an agent: owns the [`AgentMachine`], feeds it every input and executes the actions that it
//! returns.

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
use crate::bundle::watch::WatchRequest;
use crate::clock::MonoClock;
use crate::duty;
use crate::process::{ProcessPhase, update_readiness};

/// State of the decision thread.
pub struct DecideDuty {
    pub machine: AgentMachine,
    pub clock: MonoClock,
    pub order_tasks: mpsc::Sender<OrderTask>,
    pub watch_requests: mpsc::Sender<WatchRequest>,
    pub phase: watch::Sender<ProcessPhase>,
    pub is_ready: Arc<AtomicBool>,
    pub pending: HashMap<AttemptId, oneshot::Sender<AttemptDecision>>,
    pub withdrawals: HashMap<AttemptId, Vec<oneshot::Sender<WithdrawAnswer>>>,
    pub log: Logger,
}

impl DecideDuty {
    /// Starts the decision thread, which calls the machine at least once per `tick`.
    pub fn spawn(mut self, inputs: Receiver<AgentInput>, tick: Duration) -> JoinHandle<()> {
        duty::start("decide", inputs, tick, move |input| self.handle_input(input))
    }

    fn handle_input(&mut self, input: Option<AgentInput>) -> bool {
        match input {
            None => self.handle(AgentEvent::Ticked),
            Some(AgentInput::Event(AgentEvent::NoticeReceived(notice))) => {
                self.record_notice(notice)
            },
            Some(AgentInput::Event(event)) => self.handle(event),
            Some(AgentInput::InvalidNotice(fault)) => {
                warn!(self.log, "word of the upstream not understood"; "fault" => fault);
            },
            Some(AgentInput::Attempt(order, decision)) => {
                // The machine rejects a duplicate of an attempt at once. The rejection goes to the duplicate's handler;
                // the first handler is put back afterwards to receive its own decision.
                let attempt = order.attempt;
                let first = self.pending.remove(&attempt);
                self.pending.insert(attempt, decision);
                self.handle(AgentEvent::AttemptReceived(order));
                if let Some(first) = first {
                    self.pending.insert(attempt, first);
                }
            },
            Some(AgentInput::Abandoned(attempt, incarnation)) => {
                self.pending.remove(&attempt);
                self.handle(AgentEvent::Withdrawn(attempt, incarnation));
                self.handle(AgentEvent::RunEnded(attempt, RunEnd::NotRun));
            },
            Some(AgentInput::Withdraw(attempt, incarnation, answer)) => {
                self.withdrawals.entry(attempt).or_default().push(answer);
                self.handle(AgentEvent::Withdrawn(attempt, incarnation));
            },
            Some(AgentInput::IssueTicket(answer)) => {
                let ticket = self.machine.once_book_mut().issue(self.clock.now());
                let _ = answer.send(ticket);
            },
            Some(AgentInput::TicketState(ticket, answer)) => {
                let state =
                    self.machine.once_book_mut().ticket_run_state(self.clock.now(), &ticket);
                let _ = answer.send(state);
            },
            Some(AgentInput::Dump(answer)) => {
                let _ = answer.send(self.machine.view(self.clock.now()));
            },
            Some(AgentInput::Halt) => return false,
        }
        *self.phase.borrow() != ProcessPhase::Aborted
    }

    /// Passes an upstream notice to the machine. An upstream repeats its notice with each response, so a log line is
    /// written only when the notice stops work or changes the rate limit.
    fn record_notice(&mut self, notice: UpstreamNotice) {
        let accepted_work = self.machine.accepts_work(self.clock.now());
        let before = self.machine.upstream_limit();
        self.handle(AgentEvent::NoticeReceived(notice));
        let stops_work = accepted_work && !self.machine.accepts_work(self.clock.now());
        if stops_work || before != self.machine.upstream_limit() {
            info!(self.log, "upstream said of itself"; "is_leaving" => notice.is_leaving,
                "rest_ms" => notice.rest.map(|rest| rest.as_millis() as u64),
                "limit" => notice.limit.map(RateLimit::rate));
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = Vec::new();
        self.machine.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        update_readiness(&self.is_ready, self.machine.is_ready(), &self.log);
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::StartAttempt(attempt) => {
                if !self.send_decision(attempt, Ok(())) {
                    self.handle(AgentEvent::RunEnded(attempt, RunEnd::NotRun));
                }
            },
            AgentAction::Refuse(attempt, refusal) => {
                self.send_decision(attempt, Err(refusal));
            },
            AgentAction::AnswerWithdrawal(attempt, answer) => {
                for reply in self.withdrawals.remove(&attempt).unwrap_or_default() {
                    let _ = reply.send(answer);
                }
            },
            AgentAction::SendOrder(order) => self.queue_task(OrderTask::Send(order)),
            AgentAction::RequestPermit(value) => self.queue_task(OrderTask::AskPermit(value)),
            AgentAction::ReturnPermit => self.queue_task(OrderTask::ReturnPermit),
            AgentAction::ReadHosts => {
                let _ = self.watch_requests.try_send(WatchRequest::ReadHosts);
            },
            AgentAction::ReportNewerBundle(version) => {
                let _ = self.watch_requests.try_send(WatchRequest::RecordUsedVersion(version));
            },
            AgentAction::Stopped => {
                info!(self.log, "agent stopped");
                self.phase.send_replace(ProcessPhase::Closing);
            },
        }
    }

    /// Sends a decision to the handler that waits for it; returns `false` when the handler is gone.
    fn send_decision(&mut self, attempt: AttemptId, verdict: Result<(), WorkRefusal>) -> bool {
        let Some(reply) = self.pending.remove(&attempt) else {
            return false;
        };
        reply.send(AttemptDecision { verdict, update: self.machine.status() }).is_ok()
    }

    /// Queues a task for the order thread. The machine has few orders outstanding, so the queue is never full for
    /// long; an engine order that does not fit ends with an unknown outcome, as if it were unanswered.
    fn queue_task(&mut self, task: OrderTask) {
        let Err(mpsc::error::TrySendError::Full(task)) = self.order_tasks.try_send(task) else {
            return;
        };
        if let OrderTask::Send(order) = task {
            let end = quillcove_core::agent::event::OrderEnd::Unknown;
            self.handle(AgentEvent::OrderEnded(order.fence, end));
        }
    }
}
