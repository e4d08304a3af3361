//! Pool of connections to replicas. A connection carries one request at a time and is reused only
//! after a complete response.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quillcove_core::ids::{MonoTime, ReplicaId};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::socket::{HeadAllowance, ReplicaSocket};
use crate::clock::MonoClock;
use crate::web::held::SentBody;

/// Time for which an idle connection is pooled if the replica announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Fraction of the keep-alive time announced by a replica for which its connections are pooled.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Maximum number of idle connections pooled for one replica.
const IDLE_LIMIT: usize = 32;

/// The task that drives a connection. Dropping it aborts the task, which closes the connection.
struct ConnectionDriver(AbortHandle);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use. Dropping it closes it, which also makes the replica stop its work.
pub struct ReplicaConnection {
    sender: SendRequest<SentBody>,
    allowance: HeadAllowance,
    _driver: ConnectionDriver,
    replica: ReplicaId,
    keep_alive: Duration,
}

impl ReplicaConnection {
    /// Sends a request and returns the response as soon as its head is received.
    pub async fn send(
        &mut self,
        request: Request<SentBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<SentBody>>> {
        self.allowance.begin();
        let head = self.sender.try_send_request(request).await?;
        self.allowance.end();
        Ok(head)
    }

    /// Sets the keep-alive time that the replica announced.
    pub fn set_keep_alive(&mut self, announced: Duration) {
        self.keep_alive = announced.mul_f64(KEEP_ALIVE_SHARE);
    }
}

struct IdleConnection {
    connection: ReplicaConnection,
    idle_since: MonoTime,
}

impl IdleConnection {
    fn is_usable(&self, max_idle: Duration, now: MonoTime) -> bool {
        let idle = now.saturating_sub(self.idle_since);
        idle < self.connection.keep_alive.min(max_idle) && self.connection.sender.is_ready()
    }
}

/// Idle connections by replica.
pub struct ReplicaPool {
    idle: Mutex<HashMap<ReplicaId, Vec<IdleConnection>>>,
    connect_timeout: Mutex<Duration>,
    clock: MonoClock,
}

impl ReplicaPool {
    pub fn new(connect_timeout: Duration, clock: MonoClock) -> Self {
        let connect_timeout = Mutex::new(connect_timeout);
        Self { idle: Mutex::new(HashMap::new()), connect_timeout, clock }
    }

    /// Sets the timeout for opening a connection.
    pub fn set_connect_timeout(&self, connect_timeout: Duration) {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner) = connect_timeout;
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<ReplicaId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection to a replica, if it was idle for less than
    /// `max_idle`.
    pub fn take(&self, replica: &str, max_idle: Duration) -> Option<ReplicaConnection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.get_mut(replica)?;
        while let Some(candidate) = connections.pop() {
            if candidate.is_usable(max_idle, now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a connection to a replica. Up to `read_buffer` bytes of a response that nobody reads are buffered.
    pub async fn connect(
        &self,
        replica: &str,
        address: SocketAddr,
        read_buffer: usize,
    ) -> Result<ReplicaConnection, String> {
        let connect = ReplicaSocket::connect(address);
        let limit = *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner);
        let socket = timeout(limit, connect).await;
        let socket = socket
            .map_err(|_| "connect timed out".to_string())?
            .map_err(|error| format!("connect failed: {error}"))?;
        let allowance = socket.allowance();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(read_buffer);
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, driver) = handshake.map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            // An error also reaches the request that uses the sender.
            let _ = driver.await;
        });
        Ok(ReplicaConnection {
            sender,
            allowance,
            _driver: ConnectionDriver(driver.abort_handle()),
            replica: replica.to_string(),
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    /// Returns a connection to the pool after a complete response.
    pub fn put(&self, connection: ReplicaConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.entry(connection.replica.clone()).or_default();
        connections
            .retain(|other| now.saturating_sub(other.idle_since) < other.connection.keep_alive);
        if connections.len() < IDLE_LIMIT {
            connections.push(IdleConnection { connection, idle_since: now });
        }
    }

    /// Closes the idle connections to a replica that no longer exists.
    pub fn close_idle(&self, replica: &str) {
        self.idle().remove(replica);
    }
}
