//! The RPC service that an agent offers to other quillcove processes: withdrawals, tickets, load permits and bundles.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::StreamExt;
use quillcove_core::agent::event::WithdrawAnswer;
use quillcove_core::bundle::signing::BundleHead;
use quillcove_core::ids::{AttemptId, HostId, Incarnation};
use quillcove_core::once::book::OnceState;
use quillcove_core::permit::{PermitCoordinator, PermitRequest, PermitResponse};
use quillcove_core::verdict::{RefusalReason, WorkRefusal};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use tokio_serde::formats::Bincode;

use super::input::AgentInput;
use crate::bundle::shelf::SharedFleetState;
use crate::clock::MonoClock;
use crate::control::AgentControl;
use crate::duty::DutyRing;

/// Longest time for which a permit request is held open.
const PERMIT_WAIT_LIMIT: Duration = Duration::from_millis(400);

/// Interval at which a held permit request is evaluated again, because the rate limit refills with time.
const PERMIT_RECHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Server side of [`AgentControl`].
#[derive(Clone)]
pub struct ControlService {
    pub ring: DutyRing<AgentInput>,
    pub shelf: SharedFleetState,
    pub permits: Arc<PermitService>,
    pub clock: MonoClock,
}

/// The permit coordinator, with a notification for the requests that wait for a permit.
pub struct PermitService {
    coordinator: Mutex<PermitCoordinator>,
    released: Notify,
}

impl PermitService {
    pub fn new(coordinator: PermitCoordinator) -> Self {
        Self { coordinator: Mutex::new(coordinator), released: Notify::new() }
    }

    fn lock_coordinator(&self) -> MutexGuard<'_, PermitCoordinator> {
        self.coordinator.lock().expect("no holder panics")
    }

    /// Holds a request open for up to [`PERMIT_WAIT_LIMIT`] instead of making its agent retry, so that a released
    /// permit is granted again at once. With many requests the coordinator is crowded; each is then answered at once,
    /// and its agent retries after the interval in the answer.
    async fn request_permit(&self, clock: &MonoClock, request: &PermitRequest) -> PermitResponse {
        let deadline = clock.now() + PERMIT_WAIT_LIMIT;
        loop {
            let released = self.released.notified();
            let answer = self.lock_coordinator().request_permit(clock.now(), request);
            if answer == PermitResponse::Granted || self.lock_coordinator().is_saturated() {
                return answer;
            }
            if clock.now() > deadline {
                return PermitResponse::Wait(Duration::ZERO);
            }
            let _ = timeout(PERMIT_RECHECK_INTERVAL, released).await;
        }
    }
}

impl ControlService {
    /// Sends an input to the decision thread and waits for the answer; `None` if the queue is full or the thread ended.
    async fn query<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> AgentInput) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.ring.offer(input(sender)).ok()?;
        receiver.await.ok()
    }
}

impl AgentControl for ControlService {
    async fn withdraw(
        self,
        _: Context,
        attempt: AttemptId,
        incarnation: Incarnation,
    ) -> WithdrawAnswer {
        let input = |answer| AgentInput::Withdraw(attempt, incarnation, answer);
        self.query(input).await.unwrap_or(WithdrawAnswer::MayHaveRun)
    }

    async fn issue_ticket(self, _: Context) -> Result<String, WorkRefusal> {
        self.query(AgentInput::IssueTicket).await.ok_or(WorkRefusal::overloaded())
    }

    async fn ticket_state(
        self,
        _: Context,
        ticket: String,
    ) -> Result<Option<OnceState>, WorkRefusal> {
        let input = |answer| AgentInput::TicketState(ticket, answer);
        let unknown = WorkRefusal::may_have_run(RefusalReason::Overloaded);
        self.query(input).await.unwrap_or(Err(unknown))
    }

    async fn ask_permit(self, _: Context, ask: PermitRequest) -> PermitResponse {
        let limits = self.shelf.bundle().map(|bundle| bundle.content.loads);
        if let Some(limits) = limits {
            self.permits.lock_coordinator().set_limits(limits);
        }
        self.permits.request_permit(&self.clock, &ask).await
    }

    async fn return_permit(self, _: Context, host: HostId) {
        self.permits.lock_coordinator().release_permit(&host);
        self.permits.released.notify_waiters();
    }

    async fn bundle_head(self, _: Context) -> Option<BundleHead> {
        self.shelf.bundle().map(|bundle| bundle.head)
    }

    async fn bundle_text(self, _: Context, digest: String) -> Option<String> {
        let bundle = self.shelf.bundle().filter(|bundle| bundle.head.digest == digest);
        bundle.map(|bundle| bundle.text.to_string())
    }
}

/// Binds the address, serves calls in the background until the process ends, and returns the bound address.
pub async fn serve(
    address: SocketAddr,
    control_service: ControlService,
) -> std::io::Result<SocketAddr> {
    let mut incoming = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let bound = incoming.local_addr();
    tokio::spawn(async move {
        while let Some(transport) = incoming.next().await {
            let Ok(transport) = transport else { continue };
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(control_service.clone().serve());
            tokio::spawn(calls.for_each(|call| async move {
                tokio::spawn(call);
            }));
        }
    });
    Ok(bound)
}
