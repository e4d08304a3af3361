//! Answers of an agent to other quillcove processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use quillcove_core::agent::event::WithdrawAnswer;
use quillcove_core::bundle::signing::BundleHead;
use quillcove_core::ids::{AttemptId, HostId, Incarnation};
use quillcove_core::once::book::OnceState;
use quillcove_core::permit::{PermitAnswer, PermitAsk, PermitKeeper};
use quillcove_core::verdict::{RefusalReason, WorkRefusal};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::oneshot;
use tokio_serde::formats::Bincode;

use super::decide::AgentInput;
use crate::bundle::shelf::FleetShelf;
use crate::clock::MonoClock;
use crate::control::AgentControl;
use crate::duty::DutyRing;

/// What the answers need.
#[derive(Clone)]
pub struct ControlAnswers {
    pub ring: DutyRing<AgentInput>,
    pub shelf: FleetShelf,
    pub keeper: Arc<Mutex<PermitKeeper>>,
    pub clock: MonoClock,
}

impl ControlAnswers {
    /// Puts a question to the deciding duty.
    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> AgentInput) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.ring.offer(input(sender)).ok()?;
        receiver.await.ok()
    }
}

fn busy() -> WorkRefusal {
    WorkRefusal::not_run(RefusalReason::Overloaded, Some(Duration::from_secs(1)))
}

impl AgentControl for ControlAnswers {
    async fn withdraw(
        self,
        _: Context,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> WithdrawAnswer {
        let input = |answer| AgentInput::Withdraw(attempt, incarnation, answer);
        self.ask(input).await.unwrap_or(WithdrawAnswer::MayHaveRun)
    }

    async fn issue_ticket(self, _: Context) -> Result<String, WorkRefusal> {
        self.ask(AgentInput::IssueTicket).await.ok_or(busy())
    }

    async fn ticket_state(
        self,
        _: Context,
        ticket: String,
    ) -> Result<Option<OnceState>, WorkRefusal> {
        let input = |answer| AgentInput::TicketState(ticket, answer);
        let unknown = WorkRefusal::may_have_run(RefusalReason::Overloaded);
        self.ask(input).await.unwrap_or(Err(unknown))
    }

    async fn ask_permit(self, _: Context, ask: PermitAsk) -> PermitAnswer {
        let limits = self.shelf.bundle().map(|held| held.content.loads);
        let mut keeper = self.keeper.lock().expect("no holder panics");
        if let Some(limits) = limits {
            keeper.set_limits(limits);
        }
        keeper.ask(self.clock.now(), &ask)
    }

    async fn return_permit(self, _: Context, host: HostId) {
        self.keeper.lock().expect("no holder panics").give_back(&host);
    }

    async fn bundle_head(self, _: Context) -> Option<BundleHead> {
        self.shelf.bundle().map(|held| held.head)
    }

    async fn bundle_text(self, _: Context, digest: String) -> Option<String> {
        let held = self.shelf.bundle().filter(|held| held.head.digest == digest);
        held.map(|held| held.text.to_string())
    }
}

/// Answers calls until the process ends, and returns the address that was bound.
pub async fn serve(address: SocketAddr, answers: ControlAnswers) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let bound = incoming.local_addr();
    tokio::spawn(async move {
        while let Some(transport) = incoming.next().await {
            let Ok(transport) = transport else { continue };
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(answers.clone().serve());
            tokio::spawn(calls.for_each(|call| async move {
                tokio::spawn(call);
            }));
        }
    });
    Ok(bound)
}
