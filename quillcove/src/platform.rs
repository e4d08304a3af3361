//! Read-only client of the platform: configuration values, each with a watch, and the host list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use quillcove_core::entry::event::HostRecord;
use serde::Deserialize;

use crate::web::client::{WebClient, WebError};

/// Response header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Time beyond the requested wait and the client's timeout after which a watch counts as lost.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// A configuration value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformValue {
    /// Revision, which changes with each publication.
    pub revision: u64,
    /// Published bytes.
    pub content: Bytes,
}

/// The host list with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostList {
    /// Revision, which changes with each publication.
    pub revision: u64,
    /// Hosts.
    pub hosts: Vec<HostRecord>,
    /// Errors of entries that name no usable host. Any writer of the list can leave such an entry.
    pub faults: Vec<String>,
}

impl HostList {
    /// Parses a host list entry by entry.
    ///
    /// # Errors
    ///
    /// [`WebError::Lost`] if the content is not a list; errors of single entries are in `faults`.
    ///
    /// ```
    /// let list = quillcove::platform::HostList::parse(4, b"[1]").unwrap();
    /// assert_eq!((list.hosts.len(), list.faults.len()), (0, 1));
    /// ```
    pub fn parse(revision: u64, content: &[u8]) -> Result<Self, WebError> {
        let entries: Vec<serde_json::Value> =
            serde_json::from_slice(content).map_err(|error| WebError::Lost(error.to_string()))?;
        let mut list = Self { revision, hosts: Vec::new(), faults: Vec::new() };
        for entry in entries {
            match HostRecord::deserialize(&entry) {
                Ok(record) => list.hosts.push(record),
                Err(error) => list.faults.push(error.to_string()),
            }
        }
        Ok(list)
    }
}

/// Read-only access to the platform.
pub trait PlatformPort: Send + Sync + 'static {
    /// Returns the host list, with live and draining hosts, as soon as its revision differs from
    /// `after`, or `None` if it still has that revision after `wait`.
    fn hosts(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<HostList>, WebError>> + Send;

    /// Returns a configuration value as soon as its revision differs from `after`, or `None` if it
    /// still has that revision after `wait`.
    fn value(
        &self,
        name: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<PlatformValue>, WebError>> + Send;
}

/// Client of the platform's HTTP interface.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: WebClient,
    base: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client of the platform at this address.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let address = "127.0.0.1:9000".parse().unwrap();
    /// quillcove::platform::HttpPlatform::new(address, Duration::from_secs(2));
    /// ```
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let idle = Duration::from_secs(30);
        Self { client: WebClient::new(timeout, idle), base: format!("http://{address}"), timeout }
    }

    /// Sends a long-poll request for a path: the platform responds when the revision differs from
    /// `after`, or when `wait` has passed.
    async fn read(
        &self,
        path: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<PlatformValue>, WebError> {
        let after = after.map(|revision| format!("&after={revision}")).unwrap_or_default();
        let uri = format!("{}/{path}?wait_ms={}{after}", self.base, wait.as_millis());
        let limit = self.timeout + wait + WATCH_MARGIN;
        let answer = self.client.fetch(Method::GET, &uri, Bytes::new(), limit).await?;
        match answer.status() {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let revision = answer.headers().get(REVISION_HEADER);
                let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
                let revision =
                    revision.ok_or(WebError::Lost("response has no revision".to_string()))?;
                Ok(Some(PlatformValue { revision, content: answer.into_body() }))
            },
            status => Err(WebError::Status(status)),
        }
    }
}

impl PlatformPort for HttpPlatform {
    async fn hosts(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<HostList>, WebError> {
        let Some(value) = self.read("hosts", after, wait).await? else { return Ok(None) };
        HostList::parse(value.revision, &value.content).map(Some)
    }

    async fn value(
        &self,
        name: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<PlatformValue>, WebError> {
        self.read(&format!("values/{name}"), after, wait).await
    }
}
