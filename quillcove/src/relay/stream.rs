//! Forwards streams of events: each complete event is sent to the caller at once, and a resumable
//! stream continues at another replica when it is interrupted. Where adapter slots are scarce, a task reads ahead of
//! the caller into a bounded buffer, so that a caller that does not read does not hold up its engine.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use quillcove_core::crash::phase::{RunPhase, SurvivalProof, SurvivalStage, proof_of_life};
use quillcove_core::ids::MonoTime;
use quillcove_core::memory::MemoryFull;
use quillcove_core::relay::machine::RelayChoice;
use quillcove_core::relay::replica::AttemptOutcome;
use quillcove_core::route::RouteKind;
use quillcove_core::verdict::RunVerdict;
use quillcove_platform::heads;
use slog::info;
use tokio::time::sleep;

use super::answers::{BodyError, ResponseBody};
use super::attempt::{self, AttemptEnd, AttemptFailure, LiveStream};
use super::ends;
use super::events::{self, EventFault, EventSplitter};
use super::reader::{BufferSender, ReadLimit, stream_buffer};
use super::request::OpenRequest;
use crate::web::framing::{FramingFault, check_begin};
use crate::web::headers::is_framed;

/// Time without a read of the upstream from which on its break may be due to the caller: less than any usual write
/// timeout of a server.
const HOLD_UP_MIN: Duration = Duration::from_millis(500);

/// Time after such a delay in which reads may still bring what the upstream sent before it. On a busy machine a read of
/// bytes that wait in a socket takes longer than [`proof_of_life`] expects.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);

/// Longest time that a stream waits for memory, and the interval at which it asks for it. Callers whose streams are broken
/// off come again at once.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(1);
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A stream that is being forwarded to the caller.
struct EventForwarder {
    open: OpenRequest,
    live: Option<Box<LiveStream>>,
    splitter: EventSplitter,
    last_event: Option<String>,
    /// Whether the current attempt has brought an event.
    has_event: bool,
    /// What the replica of the current attempt is known to have survived, and the reads that show it.
    survived: SurvivalStage,
    survival_proof: SurvivalProof,
    /// When the last event was forwarded.
    last_forwarded: Option<MonoTime>,
    /// When the upstream was last read late because the caller did not read, unless all that it had sent by then is
    /// known to have been read.
    held_up_at: Option<MonoTime>,
}

/// Result of one read from the upstream.
enum StreamStep {
    /// Complete events; empty if the bytes received complete none.
    Events(Bytes),
    /// The stream ended normally.
    Ended,
    /// The stream was interrupted.
    Broken(String),
    /// No memory is left for an incomplete event.
    MemoryFull(MemoryFull),
    /// The request's deadline passed.
    TimeOver,
}

/// Builds the response that forwards a stream.
pub fn forward(open: OpenRequest, live: Box<LiveStream>) -> Response<ResponseBody> {
    let status = live.head.status;
    let mut headers = heads::end_to_end_headers(&live.head.headers);
    // The length of a stream that may be resumed is not known in advance.
    if open.query.route.kind == RouteKind::ResumableStream {
        headers.remove(http::header::CONTENT_LENGTH);
    }
    let last_event = open.terms.last_event.clone();
    let splitter = EventSplitter::new(open.shared.memory.clone());
    let forwarder = EventForwarder {
        open,
        live: Some(live),
        splitter,
        last_event,
        has_event: false,
        survived: SurvivalStage::None,
        survival_proof: SurvivalProof::default(),
        last_forwarded: None,
        held_up_at: None,
    };
    let service = &forwarder.open.query.service;
    let is_contended = forwarder.open.shared.machine().is_contended(service);
    let mut response = match is_contended {
        true => read_ahead(forwarder),
        false => {
            let events = futures::stream::unfold(Some(forwarder), next_frame);
            Response::new(StreamBody::new(events).boxed_unsync())
        },
    };
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns the next frame of the response body.
async fn next_frame(
    forwarder: Option<EventForwarder>,
) -> Option<(Result<Frame<Bytes>, BodyError>, Option<EventForwarder>)> {
    let mut forwarder = forwarder?;
    match forwarder.next_events().await? {
        Ok(events) => Some((Ok(Frame::data(events)), Some(forwarder))),
        Err(error) => Some((Err(error), None)),
    }
}

/// Builds a response whose events are read ahead of the caller.
fn read_ahead(forwarder: EventForwarder) -> Response<ResponseBody> {
    let readers = forwarder.open.shared.readers.clone();
    let limit = ReadLimit(readers.timeout());
    let (sender, receiver) = stream_buffer(readers);
    tokio::spawn(fill_buffer(forwarder, sender));
    let events = futures::stream::unfold(receiver, |mut receiver| async {
        let events = receiver.receive().await?;
        Some((events.map(Frame::data), receiver))
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    response.extensions_mut().insert(limit);
    response
}

/// Reads a stream into its buffer, until it ends or the caller leaves. The request is open until the caller has
/// taken all of it.
async fn fill_buffer(mut forwarder: EventForwarder, buffer: BufferSender) {
    let end = loop {
        let events = tokio::select! {
            biased;
            () = buffer.closed() => return,
            events = forwarder.next_events() => events,
        };
        match events {
            Some(Ok(events)) => {
                let began = forwarder.open.shared.clock.now();
                buffer.send(events).await;
                let now = forwarder.open.shared.clock.now();
                if now.saturating_sub(began) >= HOLD_UP_MIN {
                    forwarder.held_up_at = Some(now);
                }
            },
            Some(Err(error)) => break Err(error),
            None => break Ok(()),
        }
    };
    buffer.finish(end).await;
}

impl EventForwarder {
    /// Returns the next complete events, resuming the stream if it is interrupted; `None` at its end.
    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let began = self.open.shared.clock.now();
            match self.read_step().await {
                StreamStep::Events(events) => {
                    if let Err(fault) = self.check_first_events(&events) {
                        if let Some(error) = self.resume_or_fail(&fault.to_string()).await {
                            return Some(Err(error));
                        }
                        continue;
                    }
                    let now = self.open.shared.clock.now();
                    let alive_at = proof_of_life(began, now);
                    if alive_at.is_some() {
                        self.held_up_at.take_if(|at| now.saturating_sub(*at) >= CATCH_UP_TIME);
                    }
                    self.record_events(&events, alive_at);
                    return Some(Ok(events));
                },
                StreamStep::Ended => {
                    if self.is_complete().await {
                        self.end_stream();
                        return None;
                    }
                    let reason = "no sign of life of the replica after a stream without framing";
                    if let Some(error) = self.resume_or_fail(reason).await {
                        return Some(Err(error));
                    }
                },
                StreamStep::TimeOver => {
                    self.end_attempt(AttemptOutcome::Abandoned);
                    self.open.finish(RunVerdict::MayHaveRun, 0, "time over in the stream");
                    return Some(Err(BodyError::TimeOver));
                },
                StreamStep::MemoryFull(full) => {
                    info!(self.open.shared.log, "no memory is left"; "id" => &self.open.terms.id,
                        "class" => full.0.label(), "held_bytes" => self.open.shared.memory.total());
                    self.end_attempt(AttemptOutcome::Abandoned);
                    self.open.finish(RunVerdict::MayHaveRun, 0, full.to_string());
                    return Some(Err(BodyError::Upstream(full.to_string())));
                },
                StreamStep::Broken(reason) if self.held_up_at.is_some() => {
                    // The engine may have cut the stream off because nobody read it.
                    self.end_attempt(AttemptOutcome::Abandoned);
                    self.open.finish(RunVerdict::MayHaveRun, 0, "caller did not read");
                    return Some(Err(BodyError::Upstream(reason)));
                },
                StreamStep::Broken(reason) => {
                    if let Some(live) = &self.live {
                        let phase = self.phase(live);
                        ends::handle_broken_response(&self.open, &live.order, phase);
                    }
                    if let Some(error) = self.resume_or_fail(&reason).await {
                        return Some(Err(error));
                    }
                },
            }
        }
    }

    /// Resumes an interrupted stream. If that is not possible, ends the request and returns the error for its caller.
    async fn resume_or_fail(&mut self, reason: &str) -> Option<BodyError> {
        self.end_attempt(AttemptOutcome::Failed);
        if self.resume(reason).await {
            return None;
        }
        self.open.finish(RunVerdict::MayHaveRun, 0, reason);
        Some(BodyError::Upstream(reason.to_string()))
    }

    /// Returns whether a stream that has ended is complete. Without framing it looks so even if the replica exited.
    async fn is_complete(&self) -> bool {
        let Some(live) = self.live.as_ref().filter(|live| !is_framed(&live.head.headers)) else {
            return true;
        };
        ends::is_complete_unframed(&self.open, &live.order, self.phase(live)).await
    }

    /// Checks the first events of an attempt whose response ends with its connection.
    fn check_first_events(&self, events: &Bytes) -> Result<(), FramingFault> {
        let is_framed = self.live.as_ref().is_none_or(|live| is_framed(&live.head.headers));
        match is_framed || self.has_event {
            true => Ok(()),
            false => check_begin(events, false),
        }
    }

    /// Reads from the upstream until the request's deadline.
    async fn read_step(&mut self) -> StreamStep {
        let (shared, deadline) = (self.open.shared.clone(), self.open.query.deadline);
        let Some(live) = &mut self.live else {
            return StreamStep::Broken("no upstream connection".to_string());
        };
        if shared.clock.now() >= deadline {
            // Bytes that are always there would be read first.
            return StreamStep::TimeOver;
        }
        if self.splitter.has_pending() {
            return self.push_pending().await;
        }
        let received =
            shared.resume_notifier.wait_until(&shared.clock, deadline, live.body.frame()).await;
        let Some(frame) = received else {
            return StreamStep::TimeOver;
        };
        match frame {
            None if self.splitter.has_incomplete_event() => {
                StreamStep::Broken("the stream ended within an event".to_string())
            },
            None => StreamStep::Ended,
            Some(Err(error)) => StreamStep::Broken(error.to_string()),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                match self.splitter.push(data) {
                    Err(EventFault::Memory(_)) => self.push_pending().await,
                    pushed => pushed_step(pushed),
                }
            },
        }
    }

    /// Waits until there is memory for what was received. Meanwhile nothing is read, which holds up the replica.
    async fn push_pending(&mut self) -> StreamStep {
        let mut waited = Duration::ZERO;
        loop {
            let pushed = self.splitter.push_pending();
            if !matches!(pushed, Err(EventFault::Memory(_))) || waited >= MEMORY_TIMEOUT {
                return pushed_step(pushed);
            }
            if self.open.shared.clock.now() >= self.open.query.deadline {
                return StreamStep::TimeOver;
            }
            sleep(MEMORY_RETRY_INTERVAL).await;
            waited += MEMORY_RETRY_INTERVAL;
        }
    }

    /// Records that the replica sent bytes, and the complete events among them for the metrics, the
    /// log line and a later resumption; it sent them after `alive_at`, if that is known.
    fn record_events(&mut self, events: &Bytes, alive_at: Option<MonoTime>) {
        let now = self.open.shared.clock.now();
        if let Some(live) = &self.live {
            self.open.shared.machine().record_bytes_received(&live.order.replica, now);
        }
        if events.is_empty() {
            return;
        }
        self.has_event = true;
        if let Some(alive_at) = alive_at {
            self.record_survival(alive_at);
        }
        self.open.end_prefill(Some(now));
        match self.last_forwarded {
            None => {
                let took = now.saturating_sub(self.open.query.received);
                self.open.first_event = Some(took);
                if let Some(live) = &self.live {
                    self.open.begin_stream(&live.order, now);
                }
                self.open.shared.metrics.record_first_byte(self.open.class(), took);
            },
            Some(last_forwarded) => {
                let pause = now.saturating_sub(last_forwarded);
                self.open.longest_pause = self.open.longest_pause.max(pause);
            },
        }
        self.last_forwarded = Some(now);
        if let Some(id) = events::last_id(events) {
            self.last_event = Some(id);
        }
    }

    /// Records once per stage what the replica of the current attempt has survived by `alive_at`.
    fn record_survival(&mut self, alive_at: MonoTime) {
        let Some(live) = &self.live else {
            return;
        };
        let stage = self.survival_proof.record_alive(alive_at.saturating_sub(live.head_at));
        if stage >= SurvivalStage::Begin && self.survived < SurvivalStage::Begin {
            self.open.record_survival(live.head_at);
        }
        if stage >= SurvivalStage::Run && self.survived < SurvivalStage::Run {
            self.open.record_run_survival(live.head_at);
        }
        self.survived = self.survived.max(stage);
    }

    /// Returns the phase of the current attempt at its replica.
    fn phase(&self, live: &LiveStream) -> RunPhase {
        let since_head = self.open.shared.clock.now().saturating_sub(live.head_at);
        let has_survived = self.survived >= SurvivalStage::Begin;
        RunPhase::of_stream(Some(since_head), self.has_event, has_survived)
    }

    /// Ends the request after a complete stream.
    fn end_stream(&mut self) {
        let now = self.open.shared.clock.now();
        if let Some(live) = self.live.take() {
            let key = self.open.query.adapter.as_ref();
            let replica = &live.order.replica;
            self.open.shared.machine().end_attempt(replica, key, AttemptOutcome::Answered, now);
            self.open.record_success();
            self.open.record_survival(live.head_at);
            if is_framed(&live.head.headers) {
                self.open.shared.pool.put(live.connection);
            }
        }
        self.open.finish(RunVerdict::Ran, 200, "streamed");
    }

    /// Ends the current attempt and closes its connection.
    fn end_attempt(&mut self, fate: AttemptOutcome) {
        let now = self.open.shared.clock.now();
        if let Some(live) = self.live.take() {
            let key = self.open.query.adapter.as_ref();
            self.open.shared.machine().end_attempt(&live.order.replica, key, fate, now);
            if fate == AttemptOutcome::Abandoned {
                ends::handle_abandoned_attempt(&self.open, &live.order, self.phase(&live));
            }
        }
    }

    /// Resumes the stream at another replica after the last complete event. Returns whether that
    /// succeeded.
    async fn resume(&mut self, reason: &str) -> bool {
        self.splitter.discard_incomplete();
        let open = &mut self.open;
        if open.query.route.kind != RouteKind::ResumableStream {
            return false;
        }
        open.runs += 1;
        while open.runs < open.query.route.attempt_limit {
            let now = open.shared.clock.now();
            let choice = open.shared.machine().choose(&open.query, &open.tried, now);
            let RelayChoice::Send(order) = choice else {
                return false;
            };
            if !open.shared.machine().take_retry(&open.query.service) {
                return false;
            }
            open.attempts += 1;
            open.tried.push(order.replica.clone());
            open.shared.metrics.record_attempt(false);
            info!(open.shared.log, "stream resumes"; "id" => &open.terms.id,
                "replica" => &order.replica, "after" => &self.last_event, "reason" => reason,
                "began_at" => &open.first_software, "software" => &order.software);
            let end = attempt::send(open, &order, self.last_event.as_deref()).await;
            match end {
                AttemptEnd::Stream(live) => {
                    self.live = Some(live);
                    self.has_event = false;
                    self.survived = SurvivalStage::None;
                    self.survival_proof = SurvivalProof::default();
                    return true;
                },
                AttemptEnd::Complete(_) => open.runs += 1,
                AttemptEnd::Large(answer) => {
                    open.runs += 1;
                    let now = open.shared.clock.now();
                    let key = open.query.adapter.as_ref();
                    let replica = &answer.order.replica;
                    let fate = AttemptOutcome::Answered;
                    open.shared.machine().end_attempt(replica, key, fate, now);
                },
                AttemptEnd::Failed(failure) => {
                    if matches!(failure, AttemptFailure::Lost(_)) {
                        ends::handle_broken_response(open, &order, attempt::attempt_phase(open));
                    }
                    // A withheld attempt was not sent, so it does not count against the limit.
                    let is_tried = !matches!(failure, AttemptFailure::Withheld);
                    open.runs += u32::from(is_tried);
                    let now = open.shared.clock.now();
                    let key = open.query.adapter.as_ref();
                    open.shared.machine().end_attempt(&order.replica, key, failure.fate(), now);
                },
            }
        }
        false
    }
}

/// Returns the result of a read from what became of its bytes.
fn pushed_step(pushed: Result<Option<Bytes>, EventFault>) -> StreamStep {
    match pushed {
        Ok(events) => StreamStep::Events(events.unwrap_or_default()),
        Err(EventFault::Memory(full)) => StreamStep::MemoryFull(full),
        Err(fault @ EventFault::TooLong) => StreamStep::Broken(fault.to_string()),
    }
}

impl Drop for EventForwarder {
    /// Reports a stream that is dropped before its end as abandoned: the caller disconnected.
    fn drop(&mut self) {
        self.end_attempt(AttemptOutcome::Abandoned);
    }
}
