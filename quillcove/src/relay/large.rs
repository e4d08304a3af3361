//! Forwards responses that are no streams and too large to be buffered: they are read from the replica as fast as the
//! caller takes them, so that slow callers do not fill the memory.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use quillcove_core::crash::phase::RunPhase;
use quillcove_core::ids::MonoTime;
use quillcove_core::memory::MemoryPermit;
use quillcove_core::relay::machine::AttemptOrder;
use quillcove_core::relay::replica::AttemptOutcome;
use quillcove_core::verdict::RunVerdict;

use super::answers::{BodyError, ResponseBody};
use super::ends;
use super::pool::ReplicaConnection;
use super::reader::ReadLimit;
use super::request::OpenRequest;

/// Time without a byte after which a response of known length is given up once the request's deadline has passed. Until
/// then it is delivered although it is late.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A response of which a part was read.
pub struct LargeAnswer {
    pub head: http::response::Parts,
    /// The bytes that were read.
    pub begin: Bytes,
    pub body: Incoming,
    pub connection: ReplicaConnection,
    pub order: AttemptOrder,
    /// Whether the response itself tells where it ends.
    pub is_framed: bool,
    /// What is held of it.
    pub memory: MemoryPermit,
}

/// A response that is being forwarded.
struct AnswerForwarder {
    open: OpenRequest,
    order: AttemptOrder,
    begin: Option<Bytes>,
    body: Incoming,
    /// Kept until the response has ended; `None` from then on.
    connection: Option<ReplicaConnection>,
    is_framed: bool,
    _memory: MemoryPermit,
}

/// Builds the response that forwards a large answer.
pub fn forward(open: OpenRequest, answer: LargeAnswer) -> Response<ResponseBody> {
    let now = open.shared.clock.now();
    let took = now.saturating_sub(open.query.received);
    open.shared.metrics.record_first_byte(open.class(), took);
    let limit = ReadLimit(open.shared.readers.timeout());
    let LargeAnswer { mut head, begin, body, connection, order, is_framed, memory } = answer;
    head.extensions.insert(limit);
    let forwarder = AnswerForwarder {
        open,
        order,
        begin: Some(begin),
        body,
        connection: Some(connection),
        is_framed,
        _memory: memory,
    };
    let frames = futures::stream::unfold(Some(forwarder), next_frame);
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

/// Returns the next frame of the response body.
async fn next_frame(
    forwarder: Option<AnswerForwarder>,
) -> Option<(Result<Frame<Bytes>, BodyError>, Option<AnswerForwarder>)> {
    let mut forwarder = forwarder?;
    match forwarder.next_bytes().await? {
        Ok(bytes) => Some((Ok(Frame::data(bytes)), Some(forwarder))),
        Err(error) => Some((Err(error), None)),
    }
}

impl AnswerForwarder {
    /// Returns the next bytes; `None` at the end of the response.
    async fn next_bytes(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some(begin) = self.begin.take() {
            return Some(Ok(begin));
        }
        let shared = self.open.shared.clone();
        let now = shared.clock.now();
        let until = self.read_until(now);
        if now >= until {
            // Bytes that are always there would be read first.
            self.fail(AttemptOutcome::Abandoned, "time over in the response".to_string());
            return Some(Err(BodyError::TimeOver));
        }
        let read = shared.resume_notifier.wait_until(&shared.clock, until, self.body.frame()).await;
        match read {
            Some(Some(Ok(frame))) => {
                let now = shared.clock.now();
                shared.machine().record_bytes_received(&self.order.replica, now);
                Some(Ok(frame.into_data().unwrap_or_default()))
            },
            Some(Some(Err(error))) => {
                ends::handle_broken_response(&self.open, &self.order, RunPhase::Beginning);
                Some(Err(self.fail(AttemptOutcome::Failed, error.to_string())))
            },
            Some(None) => self.finish().await.map(Err),
            None => {
                self.fail(AttemptOutcome::Abandoned, "time over in the response".to_string());
                Some(Err(BodyError::TimeOver))
            },
        }
    }

    /// Returns until when the next bytes are awaited. A response whose length is not known may have no end.
    fn read_until(&self, now: MonoTime) -> MonoTime {
        let deadline = self.open.query.deadline;
        match self.body.size_hint().exact() {
            Some(_) => deadline.max(now + IDLE_TIMEOUT),
            None => deadline,
        }
    }

    /// Ends the request after the last byte; returns an error if the response may not be complete.
    async fn finish(&mut self) -> Option<BodyError> {
        let is_complete = self.is_framed
            || ends::is_complete_unframed(&self.open, &self.order, RunPhase::Beginning).await;
        if !is_complete {
            let reason = "no sign of life of the replica after a response without framing";
            return Some(self.fail(AttemptOutcome::Failed, reason.to_string()));
        }
        self.open.record_success();
        self.open.record_survival(self.open.sent_at);
        if let Some(connection) = self.end_attempt(AttemptOutcome::Answered)
            && self.is_framed
        {
            self.open.shared.pool.put(connection);
        }
        self.open.finish(RunVerdict::Ran, 200, "answered");
        None
    }

    /// Ends the request without a complete response.
    fn fail(&mut self, outcome: AttemptOutcome, reason: String) -> BodyError {
        self.end_attempt(outcome);
        self.open.finish(RunVerdict::MayHaveRun, 0, reason.clone());
        BodyError::Upstream(reason)
    }

    /// Ends the attempt once; returns its connection.
    fn end_attempt(&mut self, outcome: AttemptOutcome) -> Option<ReplicaConnection> {
        let connection = self.connection.take()?;
        let now = self.open.shared.clock.now();
        let key = self.open.query.adapter.as_ref();
        self.open.shared.machine().end_attempt(&self.order.replica, key, outcome, now);
        if outcome == AttemptOutcome::Abandoned {
            ends::handle_abandoned_attempt(&self.open, &self.order, RunPhase::Beginning);
        }
        Some(connection)
    }
}

impl Drop for AnswerForwarder {
    /// Reports a response that is dropped before its end as abandoned: the caller disconnected.
    fn drop(&mut self) {
        self.end_attempt(AttemptOutcome::Abandoned);
    }
}
