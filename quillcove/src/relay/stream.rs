//! Streams of events: each whole event is passed on as it comes, and a stream that may be resumed
//! goes on at another replica when its own breaks.

use bytes::Bytes;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::RelayChoice;
use quillcove_core::relay::replica::AttemptFate;
use quillcove_core::route::RouteKind;
use quillcove_core::verdict::RunVerdict;
use quillcove_platform::heads;
use slog::info;

use super::answers::{BodyError, ResponseBody};
use super::attempt::{self, AttemptEnd, AttemptFailure, LiveStream};
use super::ends;
use super::events::{self, EventSplitter};
use super::request::OpenRequest;

/// A stream on its way to the caller.
struct EventRelay {
    open: OpenRequest,
    live: Option<Box<LiveStream>>,
    splitter: EventSplitter,
    last_event: Option<String>,
    /// When the last event was passed on.
    passed: Option<MonoTime>,
}

/// What the upstream's side of a stream brought.
enum StreamStep {
    /// Whole events.
    Events(Bytes),
    /// The stream ended as it should.
    Ended,
    /// The stream broke off.
    Broken(String),
    /// The request's time is over.
    TimeOver,
}

/// The answer that passes a stream on.
pub fn pass(open: OpenRequest, live: Box<LiveStream>) -> Response<ResponseBody> {
    let status = live.head.status;
    let mut headers = heads::end_to_end(&live.head.headers);
    // The length of a resumed stream is not known beforehand.
    if open.query.route.kind == RouteKind::ResumableStream {
        headers.remove(http::header::CONTENT_LENGTH);
    }
    let last_event = open.terms.last_event.clone();
    let relay = EventRelay {
        open,
        live: Some(live),
        splitter: EventSplitter::default(),
        last_event,
        passed: None,
    };
    let events = futures::stream::unfold(Some(relay), next_frame);
    let mut answer = Response::new(StreamBody::new(events).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

async fn next_frame(
    relay: Option<EventRelay>,
) -> Option<(Result<Frame<Bytes>, BodyError>, Option<EventRelay>)> {
    let mut relay = relay?;
    loop {
        match relay.step().await {
            StreamStep::Events(events) => {
                relay.note(&events);
                return Some((Ok(Frame::data(events)), Some(relay)));
            },
            StreamStep::Ended => {
                relay.end();
                return None;
            },
            StreamStep::TimeOver => {
                relay.close(AttemptFate::Abandoned);
                relay.open.finish(RunVerdict::MayHaveRun, 0, "time over in the stream");
                return Some((Err(BodyError::TimeOver), None));
            },
            StreamStep::Broken(reason) => {
                if let Some(live) = &relay.live {
                    ends::note_broken(&relay.open, &live.order);
                }
                relay.close(AttemptFate::Failed);
                if !relay.resume(&reason).await {
                    relay.open.finish(RunVerdict::MayHaveRun, 0, reason.as_str());
                    return Some((Err(BodyError::Upstream(reason)), None));
                }
            },
        }
    }
}

impl EventRelay {
    async fn step(&mut self) -> StreamStep {
        let (shared, deadline) = (self.open.shared.clone(), self.open.query.deadline);
        let Some(live) = &mut self.live else {
            return StreamStep::Broken("no upstream".to_string());
        };
        let framed = shared.wakes.wait_until(&shared.clock, deadline, live.body.frame()).await;
        let Some(frame) = framed else {
            return StreamStep::TimeOver;
        };
        match frame {
            None if self.splitter.holds_part() => {
                StreamStep::Broken("the stream ended within an event".to_string())
            },
            None => StreamStep::Ended,
            Some(Err(error)) => StreamStep::Broken(error.to_string()),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                match self.splitter.take(&data) {
                    Ok(events) => StreamStep::Events(events.unwrap_or_default()),
                    Err(_) => StreamStep::Broken("an event is too long".to_string()),
                }
            },
        }
    }

    fn note(&mut self, events: &Bytes) {
        let now = self.open.shared.clock.now();
        if let Some(live) = &self.live {
            self.open.shared.machine().hear(&live.order.replica, now);
        }
        if events.is_empty() {
            return;
        }
        self.open.end_reading(Some(now));
        match self.passed {
            None => {
                let took = now.saturating_sub(self.open.query.received);
                self.open.first_event = Some(took);
                self.open.shared.metrics.answered(self.open.class(), took);
            },
            Some(passed) => {
                let pause = now.saturating_sub(passed);
                self.open.longest_pause = self.open.longest_pause.max(pause);
            },
        }
        self.passed = Some(now);
        if let Some(id) = events::last_id(events) {
            self.last_event = Some(id);
        }
    }

    /// The stream is whole.
    fn end(&mut self) {
        let now = self.open.shared.clock.now();
        if let Some(live) = self.live.take() {
            let key = self.open.query.adapter.as_ref();
            let replica = &live.order.replica;
            self.open.shared.machine().end(replica, key, AttemptFate::Answered, now);
            match attempt::is_framed(&live.head.headers) {
                true => self.open.note_good(),
                // Whether it is whole shows only in whether the replica lives.
                false => ends::note_broken(&self.open, &live.order),
            }
            self.open.shared.pool.put(live.connection);
        }
        self.open.finish(RunVerdict::Ran, 200, "streamed");
    }

    /// Leaves the upstream of now.
    fn close(&mut self, fate: AttemptFate) {
        let now = self.open.shared.clock.now();
        if let Some(live) = self.live.take() {
            let key = self.open.query.adapter.as_ref();
            self.open.shared.machine().end(&live.order.replica, key, fate, now);
        }
    }

    /// Goes on at another replica after the last whole event; tells whether that worked.
    async fn resume(&mut self, reason: &str) -> bool {
        self.splitter.clear();
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
            if !open.shared.machine().take_repeat(&open.query.service) {
                return false;
            }
            open.attempts += 1;
            open.tried.push(order.replica.clone());
            open.shared.metrics.attempted(false);
            info!(open.shared.log, "stream resumes"; "id" => &open.terms.id,
                "replica" => &order.replica, "after" => &self.last_event, "reason" => reason);
            let end = attempt::send(open, &order, self.last_event.as_deref()).await;
            match end {
                AttemptEnd::Stream(live) => {
                    self.live = Some(live);
                    return true;
                },
                AttemptEnd::Whole(_) => open.runs += 1,
                AttemptEnd::Failed(failure) => {
                    // What was withheld has not been tried.
                    let is_tried = !matches!(failure, AttemptFailure::Withheld);
                    open.runs += u32::from(is_tried);
                    let now = open.shared.clock.now();
                    let key = open.query.adapter.as_ref();
                    open.shared.machine().end(&order.replica, key, failure.fate(), now);
                },
            }
        }
        false
    }
}

impl Drop for EventRelay {
    /// A stream that is dropped on the way was left by its caller.
    fn drop(&mut self) {
        self.close(AttemptFate::Abandoned);
    }
}
