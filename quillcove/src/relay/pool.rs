//! Connections to replicas. One carries one request at a time; it is kept for the next one only
//! after a whole answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::ReplicaId;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock::MonoClock;

/// Time for which an unused connection is kept when the replica does not say for how long.
const KEEP_TIME: Duration = Duration::from_secs(2);

/// Share of the time that a replica names for which its connections are kept.
const KEEP_SHARE: f64 = 0.6;

/// Unused connections kept for one replica.
const IDLE_LIMIT: usize = 32;

/// The task that drives a connection; it ends, and the connection closes, when this is dropped.
struct ConnectionDriver(AbortHandle);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use. Dropping it closes it, which also ends the replica's work.
pub struct ReplicaConnection {
    pub sender: SendRequest<Full<Bytes>>,
    _driver: ConnectionDriver,
    replica: ReplicaId,
    keep: Duration,
}

impl ReplicaConnection {
    /// Takes over for how long the replica keeps unused connections.
    pub fn keep_for(&mut self, named: Duration) {
        self.keep = named.mul_f64(KEEP_SHARE);
    }
}

struct IdleConnection {
    connection: ReplicaConnection,
    since: MonoTime,
}

impl IdleConnection {
    fn is_usable(&self, longest: Duration, now: MonoTime) -> bool {
        let idle = now.saturating_sub(self.since);
        idle < self.connection.keep.min(longest) && self.connection.sender.is_ready()
    }
}

/// Unused connections by replica.
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

    /// Takes over the longest time for a connection.
    pub fn set_connect_timeout(&self, connect_timeout: Duration) {
        *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner) = connect_timeout;
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<ReplicaId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The kept connection that was used last, unless that is longer ago than this.
    pub fn take(&self, replica: &str, longest: Duration) -> Option<ReplicaConnection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        let kept = idle.get_mut(replica)?;
        while let Some(candidate) = kept.pop() {
            if candidate.is_usable(longest, now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// A new connection.
    pub async fn connect(
        &self,
        replica: &str,
        address: SocketAddr,
    ) -> Result<ReplicaConnection, String> {
        let connect = TcpStream::connect(address);
        let limit = *self.connect_timeout.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = timeout(limit, connect).await;
        let stream = stream
            .map_err(|_| "no connection in time".to_string())?
            .map_err(|error| format!("no connection: {error}"))?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            // How it ended is seen by whoever waits at the sender.
            let _ = driver.await;
        });
        Ok(ReplicaConnection {
            sender,
            _driver: ConnectionDriver(driver.abort_handle()),
            replica: replica.to_string(),
            keep: KEEP_TIME,
        })
    }

    /// Keeps a connection after a whole answer.
    pub fn put(&self, connection: ReplicaConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.idle();
        let kept = idle.entry(connection.replica.clone()).or_default();
        kept.retain(|other| now.saturating_sub(other.since) < other.connection.keep);
        if kept.len() < IDLE_LIMIT {
            kept.push(IdleConnection { connection, since: now });
        }
    }

    /// Closes the unused connections to a replica that is gone.
    pub fn forget(&self, replica: &str) {
        self.idle().remove(replica);
    }
}
