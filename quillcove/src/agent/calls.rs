//! Answers of an agent to other quillcove processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
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
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use tokio_serde::formats::Bincode;

use super::input::AgentInput;
use crate::bundle::shelf::FleetShelf;
use crate::clock::MonoClock;
use crate::control::AgentControl;
use crate::duty::DutyRing;

/// Longest time that an ask for a permit is held.
const ASK_HOLD: Duration = Duration::from_millis(400);

/// Time after which a held ask is looked at again, because the rate allows more with time.
const ASK_RECHECK: Duration = Duration::from_millis(15);

/// What the answers need.
#[derive(Clone)]
pub struct ControlAnswers {
    pub ring: DutyRing<AgentInput>,
    pub shelf: FleetShelf,
    pub keeper: Arc<KeeperDesk>,
    pub clock: MonoClock,
}

/// The keeper of permits with those who wait for one.
pub struct KeeperDesk {
    keeper: Mutex<PermitKeeper>,
    freed: Notify,
}

impl KeeperDesk {
    pub fn new(keeper: PermitKeeper) -> Self {
        Self { keeper: Mutex::new(keeper), freed: Notify::new() }
    }

    fn keeper(&self) -> MutexGuard<'_, PermitKeeper> {
        self.keeper.lock().expect("no holder panics")
    }

    /// Holds an ask for a while rather than have its agent come back: a permit that becomes free
    /// goes on at once. With many asks each keeps to the keeper's pace instead.
    async fn ask(&self, clock: &MonoClock, ask: &PermitAsk) -> PermitAnswer {
        let until = clock.now() + ASK_HOLD;
        loop {
            let freed = self.freed.notified();
            let answer = self.keeper().ask(clock.now(), ask);
            if answer == PermitAnswer::Granted || self.keeper().is_crowded() {
                return answer;
            }
            if clock.now() > until {
                return PermitAnswer::Wait(Duration::ZERO);
            }
            let _ = timeout(ASK_RECHECK, freed).await;
        }
    }
}

impl ControlAnswers {
    /// Puts a question to the deciding duty.
    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> AgentInput) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.ring.offer(input(sender)).ok()?;
        receiver.await.ok()
    }
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
        self.ask(AgentInput::IssueTicket).await.ok_or(WorkRefusal::overloaded())
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
        if let Some(limits) = limits {
            self.keeper.keeper().set_limits(limits);
        }
        self.keeper.ask(&self.clock, &ask).await
    }

    async fn return_permit(self, _: Context, host: HostId) {
        self.keeper.keeper().give_back(&host);
        self.keeper.freed.notify_waiters();
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
