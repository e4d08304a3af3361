//! Reading the platform: configuration values, with a watch, and the host list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use quillcove_core::entry::event::HostRecord;

use crate::web::client::{WebClient, WebError};

/// Header with a value's revision.
const REVISION_HEADER: &str = "x-revision";

/// Time beyond a watch's own wait after which it counts as lost.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformValue {
    /// Changes with each publication.
    pub revision: u64,
    /// Content.
    pub content: Bytes,
}

/// The host list with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostList {
    /// Changes with each publication.
    pub revision: u64,
    /// Hosts.
    pub hosts: Vec<HostRecord>,
}

/// What quillcove needs of the platform. It only reads.
pub trait PlatformPort: Send + Sync + 'static {
    /// The host list, live and leaving hosts, if its revision differs from the one given; waits
    /// for another this long at most.
    fn hosts(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<HostList>, WebError>> + Send;

    /// A value whose revision differs from the one given; waits for it this long at most and
    /// returns `None` when there is none.
    fn value(
        &self,
        name: &str,
        after: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<PlatformValue>, WebError>> + Send;
}

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: WebClient,
    base: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// A reader of the platform at an address.
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

    /// Reads a path with a watch.
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
                let revision = revision.ok_or(WebError::Lost("no revision".to_string()))?;
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
        let hosts = serde_json::from_slice(&value.content);
        let hosts = hosts.map_err(|error| WebError::Lost(error.to_string()))?;
        Ok(Some(HostList { revision: value.revision, hosts }))
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
