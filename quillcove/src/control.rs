//! Short remote procedure calls between quillcove processes, over tarpc.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quillcove_core::agent::event::WithdrawAnswer;
use quillcove_core::bundle::signing::BundleHead;
use quillcove_core::ids::{AttemptId, HostId, Incarnation};
use quillcove_core::once::book::OnceState;
use quillcove_core::permit::{PermitRequest, PermitResponse};
use quillcove_core::verdict::WorkRefusal;
use tarpc::client::Config;
use tarpc::context::Context;
use tokio::sync::Mutex;
use tokio_serde::formats::Bincode;

/// Control calls that an agent serves.
#[tarpc::service]
pub trait AgentControl {
    /// Withdraws an attempt and reports whether it certainly did not run and never will.
    async fn withdraw(attempt: AttemptId, incarnation: Incarnation) -> WithdrawAnswer;
    /// Issues a ticket for one request that must not run twice.
    async fn issue_ticket() -> Result<String, WorkRefusal>;
    /// Returns the state of a ticket's request; `None` if the ticket has not been used yet.
    async fn ticket_state(ticket: String) -> Result<Option<OnceState>, WorkRefusal>;
    /// Requests a permit to load a base model from this agent, as the load rate coordinator.
    async fn ask_permit(ask: PermitRequest) -> PermitResponse;
    /// Returns the load permit of a host.
    async fn return_permit(host: HostId);
    /// Returns the head of the bundle in force at this agent.
    async fn bundle_head() -> Option<BundleHead>;
    /// Returns the text of the bundle in force at this agent, if it has this digest.
    async fn bundle_text(digest: String) -> Option<String>;
}

/// Why a control call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the call was not sent.
    #[error("no connection to {0}")]
    NotSent(String),
    /// The connection failed or the call timed out; the call may have been received.
    #[error("no answer from {0}")]
    Lost(String),
}

/// Pool of connections to the control addresses of other agents.
#[derive(Clone, Default)]
pub struct ControlPool {
    clients: Arc<Mutex<HashMap<String, AgentControlClient>>>,
}

impl ControlPool {
    /// Makes a call over the pooled connection or a new one. The limit applies to connecting and to
    /// the call separately. A connection whose call failed or timed out leaves the pool.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if no connection was established, else [`CallError::Lost`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::control::ControlPool;
    ///
    /// quillcove::duty::run_async(1, async {
    ///     let pool = ControlPool::default();
    ///     let limit = Duration::from_millis(200);
    ///     let call = |client: quillcove::control::AgentControlClient, context| async move {
    ///         client.bundle_head(context).await
    ///     };
    ///     assert!(pool.call("127.0.0.1:1", limit, call).await.is_err());
    /// });
    /// ```
    pub async fn call<T, F>(
        &self,
        address: &str,
        limit: Duration,
        call: impl FnOnce(AgentControlClient, Context) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, tarpc::client::RpcError>>,
    {
        let client = self.client(address, limit).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + limit;
        let answer = tokio::time::timeout(limit, call(client, context)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => {
                self.clients.lock().await.remove(address);
                Err(CallError::Lost(address.to_string()))
            },
        }
    }

    async fn client(
        &self,
        address: &str,
        limit: Duration,
    ) -> Result<AgentControlClient, CallError> {
        if let Some(client) = self.clients.lock().await.get(address) {
            return Ok(client.clone());
        }
        let no_connection = || CallError::NotSent(address.to_string());
        let address_parsed: SocketAddr = address.parse().map_err(|_| no_connection())?;
        let connect = tarpc::serde_transport::tcp::connect(address_parsed, Bincode::default);
        let transport = tokio::time::timeout(limit, connect).await;
        let transport = transport.map_err(|_| no_connection())?.map_err(|_| no_connection())?;
        let client = AgentControlClient::new(Config::default(), transport).spawn();
        self.clients.lock().await.insert(address.to_string(), client.clone());
        Ok(client)
    }
}
