//! Inputs of an agent's decision thread and the decisions that it returns to request handlers.

use quillcove_core::agent::event::{AgentEvent, RunOrder, WithdrawAnswer};
use quillcove_core::agent::view::AgentView;
use quillcove_core::entry::event::AgentStatus;
use quillcove_core::ids::{AttemptId, Incarnation};
use quillcove_core::once::book::OnceState;
use quillcove_core::verdict::WorkRefusal;
use tokio::sync::oneshot;

/// An input of the decision thread.
pub enum AgentInput {
    /// An event for the machine.
    Event(AgentEvent),
    /// Describes a header with which an upstream reports its status and that could not be parsed.
    InvalidNotice(String),
    /// An attempt, with the channel for its decision.
    Attempt(RunOrder, oneshot::Sender<AttemptDecision>),
    /// The handler of an attempt was dropped before it passed the attempt to the upstream.
    Abandoned(AttemptId, Incarnation),
    /// The withdrawal of an attempt, with the channel for its answer.
    Withdraw(AttemptId, Incarnation, oneshot::Sender<WithdrawAnswer>),
    /// A request for a new ticket.
    IssueTicket(oneshot::Sender<String>),
    /// A query for the state of a ticket.
    TicketState(String, oneshot::Sender<Result<Option<OnceState>, WorkRefusal>>),
    /// A request for a snapshot of the machine's state.
    Dump(oneshot::Sender<AgentView>),
    /// Ends the thread without completing what is in flight.
    Halt,
}

/// The decision on an attempt, with the agent's state update at that moment.
#[derive(Debug)]
pub struct AttemptDecision {
    /// `Ok` if the attempt is to be passed to the upstream.
    pub verdict: Result<(), WorkRefusal>,
    pub update: AgentStatus,
}
