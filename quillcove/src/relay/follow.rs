//! Follows the platform's store: reads each part in full, then watches it for changes.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use quillcove_core::access::right::KeyValidityRules;
use quillcove_core::ids::{MonoTime, StoreEra};
use quillcove_core::relay::follower::{AnswerEra, PartWatcher, StoreCall, WatchRules};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::{RevisedEvent, StorePart, apply_changes};
use quillcove_core::relay::replica::ReplicaRecord;
use quillcove_core::relay::store_duty::{DutyRules, StoreRole};
use quillcove_platform::store::{self, ReadConsistency, StoreAnswer, StoreEvent};
use quillcove_platform::{WireError, WireRequest};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::clock::MonoClock;
use crate::config::relay::StoreSection;
use crate::web::client::{WebClient, WebError};

/// Interval at which an idle task checks whether the process is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two calls of a part that requests wait for. Where all of 420 relays make such calls for both
/// parts, the store gets 1,680 a second, of the 2,000 that it allows.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which unused connections to the store are kept open.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Result of a call to the store, for the input task.
#[derive(Debug)]
pub enum StoreUpdate {
    /// A part was read in full, or its changes were received.
    Read(StoreReading),
    /// A call failed.
    Failed { part: StorePart, reason: String },
}

/// Data read by one or more calls to the store.
#[derive(Debug)]
pub struct StoreReading {
    pub part: StorePart,
    /// Whether the part was read in full.
    pub is_full: bool,
    /// Revision that the changes follow; `None` for a full read.
    pub after: Option<u64>,
    /// Entries of a full read, or changes.
    pub events: Vec<StoreEvent>,
    /// Revision of each event.
    pub changed_at: Vec<u64>,
    /// Position up to which the part is known after this read.
    pub position: StorePosition,
    /// Time up to which everything published is known after this read.
    pub complete_at: MonoTime,
    /// Time up to which everything published is proved to be known: the start of the call. The store may have
    /// answered a watch early and the response may have been delayed, so the time of its arrival proves nothing.
    pub proved_at: Option<MonoTime>,
}

/// Instructions of the input task to the store follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowInstructions {
    /// Whether this relay watches the store.
    pub duty: StoreRole,
    /// Maximum durations of watches.
    pub watch_times: WatchTimes,
    /// Number of single reads of the operator's part requested so far while this relay does not watch the store.
    pub operator_reads: u64,
    /// Number of single reads of the replicas' part requested so far.
    pub replica_reads: u64,
    /// Positions up to which the input task knows the parts.
    pub known_positions: ReadPositions,
}

/// What makes the follower read before its next call is due.
pub struct FollowSignals {
    /// Incremented to have both parts read again in full.
    pub rereads: watch::Receiver<u64>,
    /// Moment after which a call of each part has to begin.
    pub confirms: watch::Receiver<MonoTime>,
    pub instructions: watch::Receiver<FollowInstructions>,
}

/// Maximum durations of a direct reader's watches; `None` for the maximum that the settings allow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchTimes {
    /// For the part that the operator writes.
    pub operator: Option<Duration>,
    /// For the listing of replicas.
    pub replicas: Option<Duration>,
}

impl WatchTimes {
    /// Returns the maximum durations for a relay of a large fleet, in which followers depend on direct readers.
    pub fn of(rules: &DutyRules) -> Self {
        Self {
            operator: rules.watch_time(StorePart::Operator),
            replicas: rules.watch_time(StorePart::Replicas),
        }
    }
}

impl FollowInstructions {
    fn requested_reads(&self, part: StorePart) -> u64 {
        match part {
            StorePart::Operator => self.operator_reads,
            StorePart::Replicas => self.replica_reads,
        }
    }

    /// Requests one read of a part.
    pub fn request_read(&mut self, part: StorePart) {
        match part {
            StorePart::Operator => self.operator_reads += 1,
            StorePart::Replicas => self.replica_reads += 1,
        }
    }

    /// Returns the longest time for which a call may wait for a change of a part.
    fn max_watch_time(&self, part: StorePart) -> Duration {
        let longest = match part {
            StorePart::Operator => self.watch_times.operator,
            StorePart::Replicas => self.watch_times.replicas,
        };
        match self.duty {
            StoreRole::Watches => longest.unwrap_or(Duration::MAX),
            StoreRole::IsTold => Duration::ZERO,
        }
    }
}

/// Request for the changes of a part.
#[derive(Clone, Copy, Debug)]
struct ChangesCall {
    part: StorePart,
    /// Position after which changes are requested.
    after: StorePosition,
    /// Time for which the store may wait for a change.
    wait: Duration,
    /// Timeout of the call.
    limit: Duration,
    began: MonoTime,
}

/// Full content of a part.
#[derive(Debug, Default)]
struct PartContent {
    events: Vec<RevisedEvent>,
    /// Position up to which the events include all changes.
    position: StorePosition,
    is_sheet_lost: bool,
}

/// Response of the store.
struct StoreResponse {
    status: StatusCode,
    /// Era of the store when it responded.
    era: StoreEra,
    body: bytes::Bytes,
}

/// Failure of a call to the store.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Web(#[from] WebError),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("page after '{0}' ends with the same key")]
    PageRepeated(String),
    #[error("store no longer has the requested changes")]
    HistoryGone,
    #[error("store was restored from an older copy and is now in era {0}")]
    LaterEra(StoreEra),
    #[error("response is from era {found}, before the known era {known}")]
    EarlierEra { found: StoreEra, known: StoreEra },
}

/// Follows both parts of the store.
pub struct StoreFollower {
    section: StoreSection,
    address: SocketAddr,
    /// Longest watch of the operator's part that keeps the freshness proof for keys recent enough.
    max_proof_watch: Duration,
    updates: mpsc::Sender<StoreUpdate>,
    signals: FollowSignals,
    clock: MonoClock,
    log: Logger,
}

impl StoreFollower {
    pub fn new(
        section: &StoreSection,
        right: &KeyValidityRules,
        updates: mpsc::Sender<StoreUpdate>,
        signals: FollowSignals,
        clock: MonoClock,
        log: Logger,
    ) -> Self {
        let max_proof_watch = right.watch_time().unwrap_or(Duration::MAX);
        let (section, address) = (section.clone(), section.address);
        Self { section, address, max_proof_watch, updates, signals, clock, log }
    }

    /// Follows both parts until the process stops.
    pub async fn run(self, is_stopping: Arc<AtomicBool>) {
        let follower = Arc::new(self);
        let operator = follower.clone().follow(StorePart::Operator, is_stopping.clone());
        let replicas = follower.follow(StorePart::Replicas, is_stopping);
        tokio::join!(operator, replicas);
    }

    async fn follow(self: Arc<Self>, part: StorePart, is_stopping: Arc<AtomicBool>) {
        let mut follower = PartWatcher::new(self.rules(part));
        let mut client = self.new_client();
        let mut receiver = self.signals.instructions.clone();
        let mut confirmations = StoreConfirmations::new(self.signals.confirms.clone());
        let mut reads_done = 0;
        let mut is_first = true;
        while !is_stopping.load(Ordering::Relaxed) {
            let instructions = *receiver.borrow_and_update();
            let has_to_read = instructions.duty == StoreRole::Watches
                || instructions.requested_reads(part) != reads_done;
            if follower.is_settled() && !has_to_read && !confirmations.is_due(self.clock.now()) {
                // Ends on new instructions, or to check whether the process is stopping.
                tokio::select! {
                    _ = timeout(STOP_CHECK_INTERVAL, receiver.changed()) => {},
                    () = confirmations.wait(&self.clock) => {},
                }
                continue;
            }
            reads_done = instructions.requested_reads(part);
            follower.advance_to(instructions.known_positions.of(part));
            let began = self.clock.now();
            let max_wait = match confirmations.begin_call(began) {
                true => Duration::ZERO,
                false => instructions.max_watch_time(part),
            };
            let call = follower.next_call_within(max_wait);
            let limit = follower.limit(call);
            let read = async {
                match call {
                    // Only the first attempt may use stale data; after a failure, all data is read fresh.
                    StoreCall::Whole if std::mem::take(&mut is_first) => {
                        self.read_first(&client, part, follower.era()).await
                    },
                    StoreCall::Whole => self.read_full(&client, part, follower.era(), began).await,
                    StoreCall::Changes { after, wait } => {
                        let call = ChangesCall { part, after, wait, limit, began };
                        self.read_changes(&client, &call).await
                    },
                }
            };
            let is_watch = matches!(call, StoreCall::Changes { wait, .. } if !wait.is_zero());
            let read = tokio::select! {
                read = read => read,
                // Nothing is lost with a watch: the next call requests the same changes at once.
                () = confirmations.wait(&self.clock), if is_watch => continue,
            };
            match read {
                Ok(position) => {
                    let pause = sleep(follower.record_response(position));
                    tokio::select! {
                        () = pause => {},
                        () = confirmations.wait(&self.clock) => {},
                    }
                },
                Err(error @ (FollowError::HistoryGone | FollowError::LaterEra(_))) => {
                    info!(self.log, "part of the store is read anew"; "part" => ?part,
                        "after" => follower.position().map(|after| after.to_string()),
                        "reason" => %error);
                    follower.forget();
                },
                Err(error) => {
                    // Every failure is logged, not only the first: the time that a call takes to fail
                    // determines how old this relay's knowledge gets.
                    warn!(self.log, "call of the store failed"; "part" => ?part,
                        "position" => follower.position().map(|known| known.to_string()),
                        "wait_ms" => wait_ms(call),
                        "took_ms" => self.clock.now().saturating_sub(began).as_millis() as u64,
                        "reason" => %error);
                    self.send(StoreUpdate::Failed { part, reason: error.to_string() }).await;
                    // Other open connections may be as unresponsive as the one that failed.
                    client = self.new_client();
                    sleep(follower.record_failure()).await;
                },
            }
        }
    }

    fn new_client(&self) -> WebClient {
        WebClient::new(self.section.timeout, IDLE_TIME)
    }

    fn rules(&self, part: StorePart) -> WatchRules {
        // Changes accumulate before the next watch, as each call has a cost.
        let (gather_time, max_watch_time) = match part {
            StorePart::Operator => {
                (self.section.duty_rules().operator_gather, self.max_proof_watch)
            },
            StorePart::Replicas => (self.section.gather_time, Duration::MAX),
        };
        let rules = self.section.watch_rules(gather_time);
        WatchRules { watch_time: rules.watch_time.min(max_watch_time), ..rules }
    }

    /// Reads a part in full.
    async fn read_full(
        &self,
        client: &WebClient,
        part: StorePart,
        known: StoreEra,
        began: MonoTime,
    ) -> Result<StorePosition, FollowError> {
        let content = self.read_pages(client, part, known, ReadConsistency::Fresh).await?;
        // The response includes everything published before the call began.
        self.send_full(part, content, began).await
    }

    /// Reads a part in full for the first time. As all relays do so when the system starts, each over several pages,
    /// this requests pages that may be stale, and then the changes since.
    async fn read_first(
        &self,
        client: &WebClient,
        part: StorePart,
        known: StoreEra,
    ) -> Result<StorePosition, FollowError> {
        let mut content = self.read_pages(client, part, known, ReadConsistency::MaybeStale).await?;
        let began = self.clock.now();
        let limit = self.section.timeout;
        let call =
            ChangesCall { part, after: content.position, wait: Duration::ZERO, limit, began };
        let since = self.fetch_changes(client, &call).await?;
        content.position = since.position();
        let changes = since.events.into_iter().zip(since.event_revisions).collect();
        apply_changes(&mut content.events, changes);
        content.is_sheet_lost |= since.is_configuration_invalid;
        self.send_full(part, content, began).await
    }

    async fn send_full(
        &self,
        part: StorePart,
        content: PartContent,
        began: MonoTime,
    ) -> Result<StorePosition, FollowError> {
        let PartContent { events, position, is_sheet_lost } = content;
        let (events, changed_at) = events.into_iter().unzip();
        let reading = StoreReading {
            part,
            is_full: true,
            after: None,
            events,
            changed_at,
            position,
            complete_at: began,
            proved_at: (!is_sheet_lost).then_some(began),
        };
        self.send(StoreUpdate::Read(reading)).await;
        Ok(position)
    }

    /// Reads all pages of a part.
    ///
    /// # Errors
    ///
    /// When the pages are of different eras or of an era before the known one, when a page does not go on after the one
    /// before it, or when a call fails.
    async fn read_pages(
        &self,
        client: &WebClient,
        part: StorePart,
        known: StoreEra,
        age: ReadConsistency,
    ) -> Result<PartContent, FollowError> {
        let mut content = PartContent::default();
        let mut after: Option<String> = None;
        loop {
            let call = store::range_request(part, after.as_deref(), age);
            let StoreResponse { status, era, body } =
                self.call(client, &call, self.section.timeout).await?;
            if !status.is_success() {
                return Err(WireError::Status { what: "range", status }.into());
            }
            let page = store::read_range(era, &body)?;
            self.report_faults(&page);
            // The pages do not form one snapshot; the watch reads the changes since the oldest of them.
            content.position = match after {
                Some(_) => {
                    check_same_era(era, content.position.era)?;
                    content.position.min(page.position())
                },
                None => {
                    check_not_earlier_era(era, known)?;
                    page.position()
                },
            };
            content.is_sheet_lost |= page.is_configuration_invalid;
            content.events.extend(page.events.into_iter().zip(page.event_revisions));
            let Some(next) = page.next_page else {
                return Ok(content);
            };
            if after.as_ref() == Some(&next) {
                return Err(FollowError::PageRepeated(next));
            }
            after = Some(next);
        }
    }

    async fn read_changes(
        &self,
        client: &WebClient,
        call: &ChangesCall,
    ) -> Result<StorePosition, FollowError> {
        let ChangesCall { part, after, wait, began, .. } = *call;
        let mut rereads = self.signals.rereads.clone();
        rereads.mark_unchanged();
        let answer = tokio::select! {
            answer = self.fetch_changes(client, call) => answer?,
            _ = rereads.changed() => {
                return self.read_full(client, part, after.era, self.clock.now()).await;
            },
        };
        let position = answer.position();
        let StoreAnswer {
            events,
            event_revisions: changed_at,
            is_empty,
            is_configuration_invalid: is_sheet_lost,
            ..
        } = answer;
        // A watch that ends without a change was answered only after its full wait.
        let complete_at = match is_empty && self.clock.now().saturating_sub(began) >= wait {
            true => began + wait,
            false => began,
        };
        let reading = StoreReading {
            part,
            is_full: false,
            after: Some(after.revision),
            events,
            changed_at,
            position,
            complete_at,
            proved_at: (!is_sheet_lost).then_some(began),
        };
        self.send(StoreUpdate::Read(reading)).await;
        Ok(position)
    }

    async fn fetch_changes(
        &self,
        client: &WebClient,
        call: &ChangesCall,
    ) -> Result<StoreAnswer, FollowError> {
        let watch = store::watch_request(call.part, call.after.revision, call.wait);
        let StoreResponse { status, era, body } = self.call(client, &watch, call.limit).await?;
        if store::is_history_gone(status) {
            check_same_era(era, call.after.era)?;
            return Err(FollowError::HistoryGone);
        }
        if !status.is_success() {
            return Err(WireError::Status { what: "watch", status }.into());
        }
        check_same_era(era, call.after.era)?;
        let answer = store::read_watch(era, &body)?;
        self.report_faults(&answer);
        Ok(answer)
    }

    async fn call(
        &self,
        client: &WebClient,
        call: &WireRequest,
        limit: Duration,
    ) -> Result<StoreResponse, FollowError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let answer = client.fetch(Method::GET, &uri, bytes::Bytes::new(), limit).await?;
        let era = store::read_era(answer.headers())?;
        Ok(StoreResponse { status: answer.status(), era, body: answer.into_body() })
    }

    fn report_faults(&self, answer: &StoreAnswer) {
        for fault in &answer.faults {
            warn!(self.log, "cannot parse a value from the store"; "fault" => %fault);
        }
    }

    async fn send(&self, update: StoreUpdate) {
        // The receiver is dropped only when the process exits.
        let _ = self.updates.send(update).await;
    }
}

/// Reads that requests wait for, as they depend on all that was published before they came.
struct StoreConfirmations {
    wanted: watch::Receiver<MonoTime>,
    /// When the last call began.
    call_began: MonoTime,
    /// When the last call of this kind began.
    confirmed: Option<MonoTime>,
}

impl StoreConfirmations {
    fn new(wanted: watch::Receiver<MonoTime>) -> Self {
        Self { wanted, call_began: MonoTime::ZERO, confirmed: None }
    }

    /// Returns whether requests wait for a call that begins after the last one.
    fn is_wanted(&self) -> bool {
        *self.wanted.borrow() > self.call_began
    }

    /// Returns from when on the next such call may begin.
    fn next_at(&self) -> MonoTime {
        self.confirmed.map_or(MonoTime::ZERO, |began| began + CONFIRM_INTERVAL)
    }

    fn is_due(&self, now: MonoTime) -> bool {
        self.is_wanted() && now >= self.next_at()
    }

    /// Records that a call begins; returns whether requests wait for it.
    fn begin_call(&mut self, now: MonoTime) -> bool {
        let is_due = self.is_due(now);
        if is_due {
            self.confirmed = Some(now);
        }
        self.call_began = now;
        is_due
    }

    /// Waits until a call is due.
    async fn wait(&mut self, clock: &MonoClock) {
        while !self.is_wanted() {
            if self.wanted.changed().await.is_err() {
                // The process exits.
                return pending().await;
            }
        }
        sleep(self.next_at().saturating_sub(clock.now())).await;
    }
}

/// Rejects changes that follow a position of another era, as a later era reuses revisions.
fn check_same_era(found: StoreEra, known: StoreEra) -> Result<(), FollowError> {
    match AnswerEra::judge(found, known) {
        AnswerEra::Earlier => Err(FollowError::EarlierEra { found, known }),
        AnswerEra::Known => Ok(()),
        AnswerEra::Later => Err(FollowError::LaterEra(found)),
    }
}

/// Rejects a response of an earlier era: a delayed one, or one from an older copy that is no longer in use.
fn check_not_earlier_era(found: StoreEra, known: StoreEra) -> Result<(), FollowError> {
    match AnswerEra::judge(found, known) {
        AnswerEra::Earlier => Err(FollowError::EarlierEra { found, known }),
        AnswerEra::Known | AnswerEra::Later => Ok(()),
    }
}

/// Returns the wait that a call requested of the store, for logs; `None` for a full read.
fn wait_ms(call: StoreCall) -> Option<u64> {
    match call {
        StoreCall::Whole => None,
        StoreCall::Changes { wait, .. } => Some(wait.as_millis() as u64),
    }
}

/// Returns the replicas among the events of a full read.
pub fn replica_records(events: Vec<StoreEvent>) -> Vec<ReplicaRecord> {
    let record = |event| match event {
        StoreEvent::Replica(record) => Some(record),
        StoreEvent::Sheet(_)
        | StoreEvent::Version(..)
        | StoreEvent::ReplicaGone(_)
        | StoreEvent::HallEmptied(_)
        | StoreEvent::HallInUse(_) => None,
    };
    events.into_iter().filter_map(record).collect()
}
