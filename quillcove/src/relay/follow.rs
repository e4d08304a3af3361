//! Follows the platform's store: reads each part whole, then waits for its changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use quillcove_core::relay::follower::{FollowRules, PartFollower, StoreCall};
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::replica::ReplicaRecord;
use quillcove_platform::store::{self, StoreAnswer, StoreEvent};
use quillcove_platform::{WireCall, WireFault};
use slog::{Logger, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

use crate::config::relay::StoreSection;
use crate::web::client::{WebClient, WebError};

/// Time between two watches of what the operator writes. Storms of versions come three times a
/// second; one in force for 200 ms more is well within the two seconds allowed.
const OPERATOR_GATHER: Duration = Duration::from_millis(200);

/// Time that unused connections to the store are kept.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// News of the store for the serving duty.
#[derive(Debug)]
pub enum StoreNews {
    /// A part was read whole, or changes of it came.
    Read { part: StorePart, is_whole: bool, events: Vec<StoreEvent>, revision: u64 },
    /// A call failed.
    Failed { part: StorePart, reason: String },
}

/// Why a call brought nothing.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Web(#[from] WebError),
    #[error(transparent)]
    Wire(#[from] WireFault),
    #[error("the store forgot the changes")]
    HistoryGone,
}

/// Follows both parts of the store.
pub struct StoreFollower {
    section: StoreSection,
    address: SocketAddr,
    ring: mpsc::Sender<StoreNews>,
    hurried: watch::Receiver<u64>,
    log: Logger,
}

impl StoreFollower {
    pub fn new(
        section: &StoreSection,
        ring: mpsc::Sender<StoreNews>,
        hurried: watch::Receiver<u64>,
        log: Logger,
    ) -> Self {
        Self { section: section.clone(), address: section.address, ring, hurried, log }
    }

    /// Follows until the process ends.
    pub async fn run(self, is_over: Arc<AtomicBool>) {
        let follower = Arc::new(self);
        let operator = follower.clone().follow(StorePart::Operator, is_over.clone());
        let replicas = follower.follow(StorePart::Replicas, is_over);
        tokio::join!(operator, replicas);
    }

    async fn follow(self: Arc<Self>, part: StorePart, is_over: Arc<AtomicBool>) {
        let mut follower = PartFollower::new(self.rules(part));
        let mut client = self.new_client();
        while !is_over.load(Ordering::Relaxed) {
            let began = Instant::now();
            let call = follower.next_call();
            let limit = follower.limit(call);
            let read = match call {
                StoreCall::Whole => self.read_whole(&client, part).await,
                StoreCall::Changes { after, wait } => {
                    let call = store::watch_call(part, after, wait);
                    self.read_changes(&client, part, &call, limit).await
                },
            };
            match read {
                Ok(revision) => sleep(follower.take_answer(revision)).await,
                Err(FollowError::HistoryGone) => follower.forget(),
                Err(error) => {
                    // Each one is told, not only the first: the time that a call takes to fail
                    // decides how old this relay's knowledge gets.
                    warn!(self.log, "call of the store failed"; "part" => ?part,
                        "revision" => follower.revision(), "wait_ms" => wait_ms(call),
                        "took_ms" => began.elapsed().as_millis() as u64,
                        "reason" => %error);
                    self.tell(StoreNews::Failed { part, reason: error.to_string() }).await;
                    // Connections that are kept may be as silent as the one that failed.
                    client = self.new_client();
                    sleep(follower.take_failure()).await;
                },
            }
        }
    }

    fn new_client(&self) -> WebClient {
        WebClient::new(self.section.timeout, IDLE_TIME)
    }

    fn rules(&self, part: StorePart) -> FollowRules {
        // Changes gather before the next watch, as each call has its price.
        let gather_time = match part {
            StorePart::Operator => OPERATOR_GATHER,
            StorePart::Replicas => self.section.gather_time,
        };
        let StoreSection { watch_time, timeout, contact_time, .. } = self.section;
        FollowRules { watch_time, timeout, contact_time, gather_time }
    }

    async fn read_whole(&self, client: &WebClient, part: StorePart) -> Result<u64, FollowError> {
        let mut events = Vec::new();
        let mut after: Option<String> = None;
        let mut revision = None;
        loop {
            let call = store::range_call(part, after.as_deref());
            let (status, body) = self.call(client, &call, self.section.timeout).await?;
            if !status.is_success() {
                return Err(WireFault::Status { what: "range", status }.into());
            }
            let page = store::read_range(&body)?;
            self.report_faults(&page);
            // Pages are no snapshot: changes since the first page are read by the watch.
            let first = *revision.get_or_insert(page.revision);
            events.extend(page.events);
            after = page.next_page;
            if after.is_none() {
                self.tell(StoreNews::Read { part, is_whole: true, events, revision: first }).await;
                return Ok(first);
            }
        }
    }

    async fn read_changes(
        &self,
        client: &WebClient,
        part: StorePart,
        call: &WireCall,
        limit: Duration,
    ) -> Result<u64, FollowError> {
        let mut hurried = self.hurried.clone();
        hurried.mark_unchanged();
        let answer = tokio::select! {
            answer = self.call(client, call, limit) => answer?,
            _ = hurried.changed() => return self.read_whole(client, part).await,
        };
        let (status, body) = answer;
        if store::is_history_gone(status) {
            return Err(FollowError::HistoryGone);
        }
        if !status.is_success() {
            return Err(WireFault::Status { what: "watch", status }.into());
        }
        let answer = store::read_watch(&body)?;
        self.report_faults(&answer);
        let StoreAnswer { events, revision, .. } = answer;
        self.tell(StoreNews::Read { part, is_whole: false, events, revision }).await;
        Ok(revision)
    }

    async fn call(
        &self,
        client: &WebClient,
        call: &WireCall,
        limit: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), WebError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let answer = client.fetch(Method::GET, &uri, bytes::Bytes::new(), limit).await?;
        Ok((answer.status(), answer.into_body()))
    }

    fn report_faults(&self, answer: &StoreAnswer) {
        for fault in &answer.faults {
            warn!(self.log, "value of the store is not understood"; "fault" => %fault);
        }
    }

    async fn tell(&self, news: StoreNews) {
        // The receiver is gone only when the process ends.
        let _ = self.ring.send(news).await;
    }
}

/// Time that a call asked the store to wait, for logs; `None` for one that reads a whole part.
fn wait_ms(call: StoreCall) -> Option<u64> {
    match call {
        StoreCall::Whole => None,
        StoreCall::Changes { wait, .. } => Some(wait.as_millis() as u64),
    }
}

/// The replicas among the events of a whole reading.
pub fn replicas_of(events: Vec<StoreEvent>) -> Vec<ReplicaRecord> {
    let record = |event| match event {
        StoreEvent::Replica(record) => Some(record),
        StoreEvent::Sheet(_) | StoreEvent::Version(..) | StoreEvent::ReplicaGone(_) => None,
    };
    events.into_iter().filter_map(record).collect()
}
