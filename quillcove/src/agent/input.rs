//! What reaches the deciding duty of an agent.

use quillcove_core::agent::event::{AgentEvent, RunOrder, WithdrawAnswer};
use quillcove_core::agent::view::AgentView;
use quillcove_core::entry::event::AgentNews;
use quillcove_core::ids::{AttemptId, Incarnation};
use quillcove_core::once::book::OnceState;
use quillcove_core::verdict::WorkRefusal;
use tokio::sync::oneshot;

/// What the deciding duty takes.
pub enum AgentInput {
    /// An event for the machine.
    Event(AgentEvent),
    /// What of an upstream's word about itself is not understood.
    OddWord(String),
    /// An attempt, with the place for the decision.
    Attempt(RunOrder, oneshot::Sender<AttemptDecision>),
    /// The handler of an attempt is gone before it handed the attempt to the upstream.
    Abandoned(AttemptId, Incarnation),
    /// A withdrawal, with the place for its answer.
    Withdraw(AttemptId, Incarnation, oneshot::Sender<WithdrawAnswer>),
    /// A wish for a ticket.
    IssueTicket(oneshot::Sender<String>),
    /// A question about a ticket.
    TicketState(String, oneshot::Sender<Result<Option<OnceState>, WorkRefusal>>),
    /// A wish for the whole state.
    Dump(oneshot::Sender<AgentView>),
    /// End now.
    Halt,
}

/// What becomes of an attempt, with the agent's news of that moment.
#[derive(Debug)]
pub struct AttemptDecision {
    /// `Ok` when it is to be handed to the upstream.
    pub verdict: Result<(), WorkRefusal>,
    /// News.
    pub news: AgentNews,
}
