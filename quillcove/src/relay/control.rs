//! The control duty of a relay: accepts connections, talks with other processes and with operators, and applies what
//! the store publishes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use dropshot::HttpServer;
use eyre::WrapErr;
use futures::future::BoxFuture;
use quillcove_core::memory::{MemoryClass, RECEIVE_BUFFER_BYTES};
use serde_json::json;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use super::RelayAddresses;
use super::accept::{self, AcceptedSender};
use super::input::{InputChannels, InputTask};
use super::share;
use super::shared::RelayShared;
use crate::operator::{self, OperatorContext, ProcessInspector};
use crate::peers::PeerSocket;

/// Number of ports that are tried for the control address if the settings leave the choice to the
/// operating system.
const CONTROL_BIND_TRIES: u32 = 16;

struct RelayInspector {
    shared: Arc<RelayShared>,
}

impl ProcessInspector for RelayInspector {
    fn state(&self) -> BoxFuture<'_, serde_json::Value> {
        let view = self.shared.machine().view(self.shared.clock.now());
        let memory = memory_state(&self.shared);
        Box::pin(async move {
            let mut state = serde_json::to_value(view).unwrap_or_default();
            state["memory"] = memory;
            state
        })
    }

    fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::Relaxed)
    }
}

/// Returns what is held for callers, for the dump.
fn memory_state(shared: &RelayShared) -> serde_json::Value {
    let (account, budget) = (&shared.memory, shared.memory.budget());
    let held = MemoryClass::ALL.map(|class| (class.label(), account.held(class)));
    json!({
        "held_bytes": std::collections::BTreeMap::from(held),
        "limit_bytes": budget.total_bytes,
        "connection_limit": budget.connections,
        "told_to_close": shared.connections.told(),
    })
}

/// What the control thread works with.
pub struct ControlDuty {
    pub shared: Arc<RelayShared>,
    pub feed: InputChannels,
    /// Becomes `true` when the planned stop is to begin.
    pub stopped: watch::Receiver<bool>,
    /// Ring of accepted connections to the serving thread.
    pub accepted: AcceptedSender,
}

/// Sockets of the control duty.
struct BoundSockets {
    callers: TcpListener,
    peers: PeerSocket,
    /// Dropping it closes the operators' address.
    operator: HttpServer<Arc<OperatorContext>>,
    addresses: RelayAddresses,
}

impl ControlDuty {
    /// Reports the bound addresses or the reason why one cannot be bound, and works until `is_finished` ends.
    pub async fn run(
        self,
        bound: oneshot::Sender<eyre::Result<RelayAddresses>>,
        is_finished: oneshot::Receiver<()>,
    ) {
        let sockets = match bind(&self.shared).await {
            Ok(sockets) => sockets,
            Err(error) => {
                // The receiver waits for this message.
                let _ = bound.send(Err(error));
                return;
            },
        };
        let BoundSockets { callers, peers, operator: _operator, addresses } = sockets;
        let _ = bound.send(Ok(addresses));
        let input = InputTask::new(self.shared.clone(), peers, addresses.control, self.feed);
        tokio::spawn(input.run());
        tokio::spawn(accept::accept_callers(callers, self.shared, self.stopped, self.accepted));
        // Ends with an error when the sender is dropped.
        let _ = is_finished.await;
    }
}

async fn bind(shared: &Arc<RelayShared>) -> eyre::Result<BoundSockets> {
    let listen = &shared.settings.listen;
    let callers = TcpListener::bind(listen.callers).await?;
    // Connections inherit it. The kernel would otherwise hold some megabytes of each that is not read.
    SockRef::from(&callers).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let peers = bind_control(shared, listen.control).await?;
    let _ = shared.peer_sender.set(peers.sender());
    let inspector = RelayInspector { shared: shared.clone() };
    let operator =
        operator::start(listen.operator, inspector, shared.metrics.clone(), &shared.log)?;
    let addresses = RelayAddresses {
        callers: callers.local_addr()?,
        control: peers.local_addr()?,
        operator: operator.local_addr(),
    };
    Ok(BoundSockets { callers, peers, operator, addresses })
}

/// Binds one port number for both datagrams (UDP) and calls (TCP) of other processes. If the
/// operating system picks a UDP port that is in use for TCP, another one is tried.
async fn bind_control(shared: &Arc<RelayShared>, address: SocketAddr) -> eyre::Result<PeerSocket> {
    let mut tries = 1;
    loop {
        let socket = PeerSocket::bind(address).await?;
        let bound = socket.local_addr()?;
        match share::serve(shared.clone(), bound).await {
            Ok(()) => return Ok(socket),
            Err(_) if address.port() == 0 && tries < CONTROL_BIND_TRIES => tries += 1,
            Err(error) => return Err(error).wrap_err_with(|| format!("cannot bind {bound}")),
        }
    }
}
