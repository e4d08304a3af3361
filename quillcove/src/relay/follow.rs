//! Follows the platform's store: reads each part whole, then waits for its changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use quillcove_core::access::right::RightRules;
use quillcove_core::ids::{MonoTime, StoreEra};
use quillcove_core::relay::follower::{AnswerEra, FollowRules, PartFollower, StoreCall};
use quillcove_core::relay::position::{ReadPositions, StorePosition};
use quillcove_core::relay::published::{RevisedEvent, StorePart, apply_changes};
use quillcove_core::relay::replica::ReplicaRecord;
use quillcove_core::relay::store_duty::{DutyRules, StoreDuty};
use quillcove_platform::store::{self, RangeAge, StoreAnswer, StoreEvent};
use quillcove_platform::{WireCall, WireFault};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::clock::MonoClock;
use crate::config::relay::StoreSection;
use crate::web::client::{WebClient, WebError};

/// Longest time between looks whether the process is over while nothing is to be read.
const ORDER_CHECK: Duration = Duration::from_secs(1);

/// Time that unused connections to the store are kept.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// News of the store for the serving duty.
#[derive(Debug)]
pub enum StoreNews {
    /// A part was read whole, or changes of it came.
    Read(StoreReading),
    /// A call failed.
    Failed { part: StorePart, reason: String },
}

/// What a call brought.
#[derive(Debug)]
pub struct StoreReading {
    /// Which part.
    pub part: StorePart,
    /// Whether all of it was read.
    pub is_whole: bool,
    /// Revision after which the changes are; `None` for a whole part.
    pub after: Option<u64>,
    /// What is there, or what changed.
    pub events: Vec<StoreEvent>,
    /// Revision of each event.
    pub changed_at: Vec<u64>,
    /// Position up to which the part is known.
    pub position: StorePosition,
    /// A moment of which it is known that all that was published before is among what is known now.
    pub complete_at: MonoTime,
    /// The same, proved: when the call began. The store may have answered a watch early and its answer
    /// may have been long on its way, so that the time at which it came proves nothing.
    pub proved_at: Option<MonoTime>,
}

/// What the serving duty wants to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowOrder {
    /// Whether this relay watches the store.
    pub duty: StoreDuty,
    /// Longest watches.
    pub watch_times: WatchTimes,
    /// Grows with each reading of the operator's part that is wanted of a relay that is told.
    pub wanted_operator: u64,
    /// The same for the replicas' part.
    pub wanted_replicas: u64,
    /// Positions up to which the parts are known.
    pub known: ReadPositions,
}

/// Longest watches of a relay that watches the store; `None` for as long as the settings allow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchTimes {
    /// Of what the operator writes.
    pub operator: Option<Duration>,
    /// Of the listing of replicas.
    pub replicas: Option<Duration>,
}

impl WatchTimes {
    /// The watches of one of many relays that tell each other.
    pub fn of(rules: &DutyRules) -> Self {
        Self {
            operator: rules.watch_time(StorePart::Operator),
            replicas: rules.watch_time(StorePart::Replicas),
        }
    }
}

impl FollowOrder {
    fn wanted(&self, part: StorePart) -> u64 {
        match part {
            StorePart::Operator => self.wanted_operator,
            StorePart::Replicas => self.wanted_replicas,
        }
    }

    /// Asks for one reading of a part.
    pub fn want(&mut self, part: StorePart) {
        match part {
            StorePart::Operator => self.wanted_operator += 1,
            StorePart::Replicas => self.wanted_replicas += 1,
        }
    }

    /// Longest time that a call may wait for a change of a part.
    fn longest_watch(&self, part: StorePart) -> Duration {
        let longest = match part {
            StorePart::Operator => self.watch_times.operator,
            StorePart::Replicas => self.watch_times.replicas,
        };
        match self.duty {
            StoreDuty::Watches => longest.unwrap_or(Duration::MAX),
            StoreDuty::IsTold => Duration::ZERO,
        }
    }
}

/// A call for the changes of a part.
#[derive(Clone, Copy, Debug)]
struct PartCall {
    part: StorePart,
    /// Position after which changes are asked for.
    after: StorePosition,
    /// Time that the store may wait for one.
    wait: Duration,
    /// Longest time for the answer.
    limit: Duration,
    began: MonoTime,
}

/// A part as it was read whole.
#[derive(Debug, Default)]
struct WholePart {
    events: Vec<RevisedEvent>,
    /// Position up to which all changes are among them.
    position: StorePosition,
    is_sheet_lost: bool,
}

/// An answer as it came.
struct StoreReply {
    status: StatusCode,
    /// Era of the store in which it was given.
    era: StoreEra,
    body: bytes::Bytes,
}

/// Why a call brought nothing.
#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Web(#[from] WebError),
    #[error(transparent)]
    Wire(#[from] WireFault),
    #[error("the store does not have the changes")]
    HistoryGone,
    #[error("the store has come back from a copy, in era {0}")]
    LaterEra(StoreEra),
    #[error("the answer is from era {found}, before era {known}")]
    EarlierEra { found: StoreEra, known: StoreEra },
}

/// Follows both parts of the store.
pub struct StoreFollower {
    section: StoreSection,
    address: SocketAddr,
    /// Longest watch of what the operator writes that keeps the proof of valid keys young enough.
    proof_watch: Duration,
    ring: mpsc::Sender<StoreNews>,
    hurried: watch::Receiver<u64>,
    orders: watch::Receiver<FollowOrder>,
    clock: MonoClock,
    log: Logger,
}

impl StoreFollower {
    pub fn new(
        section: &StoreSection,
        right: &RightRules,
        ring: mpsc::Sender<StoreNews>,
        hurried: watch::Receiver<u64>,
        orders: watch::Receiver<FollowOrder>,
        clock: MonoClock,
        log: Logger,
    ) -> Self {
        let proof_watch = right.watch_time().unwrap_or(Duration::MAX);
        let (section, address) = (section.clone(), section.address);
        Self { section, address, proof_watch, ring, hurried, orders, clock, log }
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
        let mut orders = self.orders.clone();
        let mut done = 0;
        let mut is_first = true;
        while !is_over.load(Ordering::Relaxed) {
            let order = *orders.borrow_and_update();
            let is_wanted = order.duty == StoreDuty::Watches || order.wanted(part) != done;
            if follower.is_settled() && !is_wanted {
                // Either there is a new order, or the process may be over.
                let _ = timeout(ORDER_CHECK, orders.changed()).await;
                continue;
            }
            done = order.wanted(part);
            follower.know(order.known.of(part));
            let began = self.clock.now();
            let call = follower.next_call_within(order.longest_watch(part));
            let limit = follower.limit(call);
            let read = match call {
                // After a failure nothing is left to what may be old.
                StoreCall::Whole if std::mem::take(&mut is_first) => {
                    self.read_first(&client, part, follower.era()).await
                },
                StoreCall::Whole => self.read_whole(&client, part, follower.era(), began).await,
                StoreCall::Changes { after, wait } => {
                    let call = PartCall { part, after, wait, limit, began };
                    self.read_changes(&client, &call).await
                },
            };
            match read {
                Ok(position) => sleep(follower.take_answer(position)).await,
                Err(error @ (FollowError::HistoryGone | FollowError::LaterEra(_))) => {
                    info!(self.log, "part of the store is read anew"; "part" => ?part,
                        "after" => follower.position().map(|after| after.to_string()),
                        "reason" => %error);
                    follower.forget();
                },
                Err(error) => {
                    // Each one is told, not only the first: the time that a call takes to fail
                    // decides how old this relay's knowledge gets.
                    warn!(self.log, "call of the store failed"; "part" => ?part,
                        "position" => follower.position().map(|known| known.to_string()),
                        "wait_ms" => wait_ms(call),
                        "took_ms" => self.clock.now().saturating_sub(began).as_millis() as u64,
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
        let (gather_time, longest_watch) = match part {
            StorePart::Operator => (self.section.duty_rules().operator_gather, self.proof_watch),
            StorePart::Replicas => (self.section.gather_time, Duration::MAX),
        };
        let StoreSection { watch_time, timeout, contact_time, .. } = self.section;
        let watch_time = watch_time.min(longest_watch);
        FollowRules { watch_time, timeout, contact_time, gather_time }
    }

    /// Reads a part whole.
    async fn read_whole(
        &self,
        client: &WebClient,
        part: StorePart,
        known: StoreEra,
        began: MonoTime,
    ) -> Result<StorePosition, FollowError> {
        let whole = self.read_pages(client, part, known, RangeAge::Fresh).await?;
        // All that was published before the call began is in its answer.
        self.tell_whole(part, whole, began).await
    }

    /// Reads a part whole for the first time. All relays do so when the system starts, each over several pages, so that
    /// what may be old is asked for, and then what has changed since.
    async fn read_first(
        &self,
        client: &WebClient,
        part: StorePart,
        known: StoreEra,
    ) -> Result<StorePosition, FollowError> {
        let mut whole = self.read_pages(client, part, known, RangeAge::MayBeOld).await?;
        let began = self.clock.now();
        let limit = self.section.timeout;
        let call = PartCall { part, after: whole.position, wait: Duration::ZERO, limit, began };
        let since = self.ask_changes(client, &call).await?;
        whole.position = since.position();
        let changes = since.events.into_iter().zip(since.changed_at).collect();
        apply_changes(&mut whole.events, changes);
        whole.is_sheet_lost |= since.is_sheet_lost;
        self.tell_whole(part, whole, began).await
    }

    async fn tell_whole(
        &self,
        part: StorePart,
        whole: WholePart,
        began: MonoTime,
    ) -> Result<StorePosition, FollowError> {
        let WholePart { events, position, is_sheet_lost } = whole;
        let (events, changed_at) = events.into_iter().unzip();
        let reading = StoreReading {
            part,
            is_whole: true,
            after: None,
            events,
            changed_at,
            position,
            complete_at: began,
            proved_at: (!is_sheet_lost).then_some(began),
        };
        self.tell(StoreNews::Read(reading)).await;
        Ok(position)
    }

    /// Reads all pages of a part; all are of one era, and of none before the known one.
    async fn read_pages(
        &self,
        client: &WebClient,
        part: StorePart,
        known: StoreEra,
        age: RangeAge,
    ) -> Result<WholePart, FollowError> {
        let mut whole = WholePart::default();
        let mut after: Option<String> = None;
        loop {
            let call = store::range_call(part, after.as_deref(), age);
            let StoreReply { status, era, body } =
                self.call(client, &call, self.section.timeout).await?;
            if !status.is_success() {
                return Err(WireFault::Status { what: "range", status }.into());
            }
            let page = store::read_range(era, &body)?;
            self.report_faults(&page);
            // Pages are no snapshot: changes since the oldest of them are read by the watch.
            whole.position = match after {
                Some(_) => {
                    refuse_other_era(era, whole.position.era)?;
                    whole.position.min(page.position())
                },
                None => {
                    refuse_earlier_era(era, known)?;
                    page.position()
                },
            };
            whole.is_sheet_lost |= page.is_sheet_lost;
            whole.events.extend(page.events.into_iter().zip(page.changed_at));
            after = page.next_page;
            if after.is_none() {
                return Ok(whole);
            }
        }
    }

    async fn read_changes(
        &self,
        client: &WebClient,
        call: &PartCall,
    ) -> Result<StorePosition, FollowError> {
        let PartCall { part, after, wait, began, .. } = *call;
        let mut hurried = self.hurried.clone();
        hurried.mark_unchanged();
        let answer = tokio::select! {
            answer = self.ask_changes(client, call) => answer?,
            _ = hurried.changed() => {
                return self.read_whole(client, part, after.era, self.clock.now()).await;
            },
        };
        let position = answer.position();
        let StoreAnswer { events, changed_at, is_empty, is_sheet_lost, .. } = answer;
        // A watch that ends without a change was answered after its whole time, not before.
        let complete_at = match is_empty && self.clock.now().saturating_sub(began) >= wait {
            true => began + wait,
            false => began,
        };
        let reading = StoreReading {
            part,
            is_whole: false,
            after: Some(after.revision),
            events,
            changed_at,
            position,
            complete_at,
            proved_at: (!is_sheet_lost).then_some(began),
        };
        self.tell(StoreNews::Read(reading)).await;
        Ok(position)
    }

    async fn ask_changes(
        &self,
        client: &WebClient,
        call: &PartCall,
    ) -> Result<StoreAnswer, FollowError> {
        let watch = store::watch_call(call.part, call.after.revision, call.wait);
        let StoreReply { status, era, body } = self.call(client, &watch, call.limit).await?;
        if store::is_history_gone(status) {
            refuse_other_era(era, call.after.era)?;
            return Err(FollowError::HistoryGone);
        }
        if !status.is_success() {
            return Err(WireFault::Status { what: "watch", status }.into());
        }
        refuse_other_era(era, call.after.era)?;
        let answer = store::read_watch(era, &body)?;
        self.report_faults(&answer);
        Ok(answer)
    }

    async fn call(
        &self,
        client: &WebClient,
        call: &WireCall,
        limit: Duration,
    ) -> Result<StoreReply, FollowError> {
        let uri = format!("http://{}{}", self.address, call.path);
        let answer = client.fetch(Method::GET, &uri, bytes::Bytes::new(), limit).await?;
        let era = store::read_era(answer.headers())?;
        Ok(StoreReply { status: answer.status(), era, body: answer.into_body() })
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

/// Refuses the changes after a position of another era: in a later one, revisions are given out again.
fn refuse_other_era(found: StoreEra, known: StoreEra) -> Result<(), FollowError> {
    match AnswerEra::judge(found, known) {
        AnswerEra::Earlier => Err(FollowError::EarlierEra { found, known }),
        AnswerEra::Known => Ok(()),
        AnswerEra::Later => Err(FollowError::LaterEra(found)),
    }
}

/// Refuses a late answer, or one of a copy that is gone again.
fn refuse_earlier_era(found: StoreEra, known: StoreEra) -> Result<(), FollowError> {
    match AnswerEra::judge(found, known) {
        AnswerEra::Earlier => Err(FollowError::EarlierEra { found, known }),
        AnswerEra::Known | AnswerEra::Later => Ok(()),
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
        StoreEvent::Sheet(_)
        | StoreEvent::Version(..)
        | StoreEvent::ReplicaGone(_)
        | StoreEvent::HallEmptied(_)
        | StoreEvent::HallInUse(_) => None,
    };
    events.into_iter().filter_map(record).collect()
}
