//! Queue of updates about replica exits for other processes: each is sent at once and repeated with
//! the next heartbeats, because messages get lost.

use std::collections::VecDeque;

use super::digest::{RequestIdentity, SuspectKind};
use super::telling::{CrashReport, ExitId, ExitReport, InFlightRequest, SuccessReport};
use crate::ids::MonoTime;

/// How often each update is sent: once at once, and with the next three heartbeats. If 3 % of the
/// packets are lost, a relay misses one update in a million, and only until the next exit.
const SEND_COUNT: u32 = 4;

/// How often weak evidence against a part of a prompt is sent: it is much of what is reported where replicas are killed,
/// and several exits are needed anyhow.
const WEAK_SEND_COUNT: u32 = 2;

/// Queued updates up to which weak evidence is repeated. Where many replicas are killed there is more, and it says little.
const MAX_REPEATED_WEAK: usize = 8;

/// Maximum number of queued updates; beyond it the oldest is dropped. A replica exits with a few
/// hundred requests in flight at most.
const MAX_QUEUED: usize = 2048;

/// Requests in one message, so that it fits into a datagram: about 28 bytes each, or 46 with an
/// exit of its own.
const MAX_PER_MESSAGE: usize = 30;

/// One update to be sent.
#[derive(Clone, Copy, Debug)]
enum CrashUpdate {
    Exit { end: ExitId, ended: InFlightRequest },
    Success(RequestIdentity),
}

/// An update and how often it was sent.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    update: CrashUpdate,
    at: MonoTime,
    sent: u32,
}

impl QueuedUpdate {
    fn is_due(&self, repeats_weak: bool) -> bool {
        let is_weak = |ended: &InFlightRequest| {
            ended.has_other_cause && SuspectKind::of(ended.identity.caller) == SuspectKind::Part
        };
        let count = match &self.update {
            CrashUpdate::Exit { ended, .. } if is_weak(ended) && !repeats_weak => 1,
            CrashUpdate::Exit { ended, .. } if is_weak(ended) => WEAK_SEND_COUNT,
            CrashUpdate::Exit { .. } | CrashUpdate::Success(_) => SEND_COUNT,
        };
        self.sent < count
    }
}

/// Queue of the updates of one process.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::teller::CrashReportQueue;
///
/// assert!(CrashReportQueue::default().tell(true, Duration::ZERO).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashReportQueue {
    queue: VecDeque<QueuedUpdate>,
}

impl CrashReportQueue {
    /// Queues the update that a request was in flight at a replica exit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::teller::CrashReportQueue;
    /// use quillcove_core::crash::telling::InFlightRequest;
    ///
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut teller = CrashReportQueue::default();
    /// let ended = InFlightRequest { identity, has_other_cause: true, runs_well: false };
    /// teller.note_end(7, ended, Duration::ZERO);
    /// assert_eq!(teller.tell(false, Duration::ZERO)[0].ends[0].end, 7);
    /// assert!(teller.tell(false, Duration::ZERO).is_empty());
    /// ```
    pub fn note_end(&mut self, end: ExitId, ended: InFlightRequest, at: MonoTime) {
        self.push(CrashUpdate::Exit { end, ended }, at);
    }

    /// Queues the update that a request with a crash record succeeded.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::digest::{RequestIdentity, RequestParts};
    /// use quillcove_core::crash::teller::CrashReportQueue;
    ///
    /// let parts = RequestParts { method: "GET", host: "h", path: "/", key: None, body: b"" };
    /// let identity = RequestIdentity { digest: parts.digest(), caller: 1 };
    /// let mut teller = CrashReportQueue::default();
    /// teller.record_success(identity, Duration::ZERO);
    /// assert_eq!(teller.tell(false, Duration::ZERO)[0].good.len(), 1);
    /// ```
    pub fn record_success(&mut self, identity: RequestIdentity, at: MonoTime) {
        self.push(CrashUpdate::Success(identity), at);
    }

    fn push(&mut self, update: CrashUpdate, at: MonoTime) {
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_front();
        }
        self.queue.push_back(QueuedUpdate { update, at, sent: 0 });
    }

    /// Returns the updates to be sent now, in messages that fit into a datagram: those not sent
    /// yet, and with a heartbeat also those to be repeated.
    ///
    /// See [`CrashReportQueue::note_end`] for an example.
    pub fn tell(&mut self, is_heartbeat: bool, now: MonoTime) -> Vec<CrashReport> {
        let mut report = CrashReport::default();
        for queued in &mut self.queue {
            if queued.sent > 0 && !is_heartbeat {
                continue;
            }
            queued.sent += 1;
            append_update(&mut report, queued, now);
        }
        let repeats_weak = self.queue.len() <= MAX_REPEATED_WEAK;
        self.queue.retain(|queued| queued.is_due(repeats_weak));
        in_messages(report)
    }
}

fn append_update(report: &mut CrashReport, queued: &QueuedUpdate, now: MonoTime) {
    let age = now.saturating_sub(queued.at);
    match queued.update {
        CrashUpdate::Success(identity) => report.good.push(SuccessReport { identity, age }),
        CrashUpdate::Exit { end, ended } => {
            match report.ends.last_mut().filter(|last| last.end == end) {
                Some(last) => last.requests.push(ended),
                None => report.ends.push(ExitReport { end, age, requests: vec![ended] }),
            }
        },
    }
}

/// Splits a report into messages that fit into a datagram each.
///
/// ```
/// use quillcove_core::crash::teller::in_messages;
/// use quillcove_core::crash::telling::CrashReport;
///
/// assert!(in_messages(CrashReport::default()).is_empty());
/// ```
pub fn in_messages(report: CrashReport) -> Vec<CrashReport> {
    let mut messages = Vec::new();
    let mut message = CrashReport::default();
    let mut count = 0;
    for end_report in report.ends {
        for requests in end_report.requests.chunks(MAX_PER_MESSAGE) {
            if count + requests.len() > MAX_PER_MESSAGE {
                messages.push(std::mem::take(&mut message));
                count = 0;
            }
            count += requests.len();
            let (end, age) = (end_report.end, end_report.age);
            message.ends.push(ExitReport { end, age, requests: requests.to_vec() });
        }
    }
    for good in report.good {
        if count >= MAX_PER_MESSAGE {
            messages.push(std::mem::take(&mut message));
            count = 0;
        }
        count += 1;
        message.good.push(good);
    }
    if !message.is_empty() {
        messages.push(message);
    }
    messages
}
