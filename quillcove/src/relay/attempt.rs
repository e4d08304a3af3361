//! One attempt at a replica, and what its end means.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use quillcove_core::relay::machine::AttemptOrder;
use quillcove_core::relay::replica::AttemptFate;
use quillcove_core::route::RouteKind;
use quillcove_core::standing::StandingChange;
use quillcove_core::standing::limit::RateLimit;
use quillcove_platform::heads::{self, AnswerMeaning, AttemptTerms};
use slog::{info, warn};
use tokio::time::timeout;

use super::answers::is_event_stream;
use super::pool::ReplicaConnection;
use super::request::OpenRequest;

/// Largest answer that is read whole before it is passed on.
const ANSWER_LIMIT: usize = 8 << 20;

/// Silence after which a repeatable plain call is tried elsewhere: more than the longest work that
/// the users name for one.
const SILENCE_LIMIT: Duration = Duration::from_millis(350);

/// Longest time for which a connection may have been unused to carry a request that must not run
/// twice: if it breaks, the request can not be sent again.
const FRESH_ENOUGH: Duration = Duration::from_millis(800);

/// Times that a kept connection may turn out closed before a new one is made.
const STALE_LIMIT: u32 = 2;

/// A stream whose head has come.
pub struct LiveStream {
    pub head: http::response::Parts,
    pub body: Incoming,
    pub connection: ReplicaConnection,
    pub order: AttemptOrder,
}

/// Why an attempt brought no answer for the caller.
pub enum AttemptFailure {
    /// Nothing left this process.
    NotSent(String),
    /// Nothing left this process: since it was chosen, the replica took no more work.
    Withheld,
    /// The replica says that it did not run the request.
    Refused(u16),
    /// The replica is another one (`true`), or does not hold what is asked for.
    Misdirected(bool),
    /// The replica ran the request and failed; this is its answer.
    Errored(Box<Response<Bytes>>),
    /// It may have run; the answer broke off, is not this request's, or never came.
    Lost(String),
    /// The request's own time is over.
    TimeOver,
}

impl AttemptFailure {
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::Withheld => "withheld",
            Self::Refused(_) => "refused",
            Self::Misdirected(true) => "other_replica",
            Self::Misdirected(false) => "not_held",
            Self::Errored(_) => "errored",
            Self::Lost(_) => "lost",
            Self::TimeOver => "time_over",
        }
    }

    pub fn detail(&self) -> String {
        match self {
            Self::NotSent(reason) | Self::Lost(reason) => reason.clone(),
            Self::Refused(status) => status.to_string(),
            Self::Errored(answer) => answer.status().as_u16().to_string(),
            Self::Misdirected(_) | Self::TimeOver | Self::Withheld => String::new(),
        }
    }

    /// What it tells of the replica's health.
    pub fn fate(&self) -> AttemptFate {
        match self {
            Self::NotSent(_) | Self::Lost(_) | Self::Errored(_) => AttemptFate::Failed,
            Self::Refused(_) | Self::Misdirected(_) => AttemptFate::Refused,
            Self::TimeOver | Self::Withheld => AttemptFate::Abandoned,
        }
    }
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// A stream of events has begun.
    Stream(Box<LiveStream>),
    /// No answer.
    Failed(AttemptFailure),
}

/// Counts an attempt at its replica as long as it lasts; an attempt that is dropped on the way was
/// abandoned by its caller.
struct AttemptGuard<'a> {
    open: &'a OpenRequest,
    replica: &'a str,
    is_handed_over: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_handed_over {
            let now = self.open.shared.clock.now();
            let key = self.open.query.adapter.as_ref();
            self.open.shared.machine().end(self.replica, key, AttemptFate::Abandoned, now);
        }
    }
}

/// Sends a request to one replica. When it fails, the caller tells the machine how.
pub async fn send(
    open: &mut OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> AttemptEnd {
    let now = open.shared.clock.now();
    open.sent_at = now;
    open.shared.machine().begin(&order.replica, open.query.adapter.as_ref(), now);
    open.begin_reading(&order.replica, now);
    let (shared, deadline) = (open.shared.clone(), open.query.deadline);
    let mut guard = AttemptGuard { open, replica: &order.replica, is_handed_over: false };
    let exchanging = exchange(guard.open, order, last_event);
    let exchanged = shared.wakes.wait_until(&shared.clock, deadline, exchanging).await;
    let end = exchanged.unwrap_or(AttemptEnd::Failed(AttemptFailure::TimeOver));
    guard.is_handed_over = true;
    drop(guard);
    if !matches!(end, AttemptEnd::Stream(_)) {
        open.end_reading(None);
    }
    if let AttemptEnd::Whole(_) = end {
        let now = open.shared.clock.now();
        let key = open.query.adapter.as_ref();
        open.shared.machine().end(&order.replica, key, AttemptFate::Answered, now);
    }
    end
}

async fn exchange(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> AttemptEnd {
    let silence = match open.may_repeat_lost() {
        true => SILENCE_LIMIT,
        // Silence alone is no reason to end the only attempt.
        false => Duration::MAX,
    };
    match timeout(silence, exchange_once(open, order, last_event)).await {
        Ok(end) => end,
        Err(_) => AttemptEnd::Failed(AttemptFailure::Lost("no answer in time".to_string())),
    }
}

async fn exchange_once(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> AttemptEnd {
    let (mut connection, head) = match send_head(open, order, last_event).await {
        Ok(answered) => answered,
        Err(failure) => return AttemptEnd::Failed(failure),
    };
    let (parts, body) = head.into_parts();
    if let Some(keep) = keep_time(&parts.headers) {
        connection.keep_for(keep);
    }
    open.shared.machine().hear(&order.replica, open.shared.clock.now());
    let meaning = heads::read_meaning(parts.status, &parts.headers, &open.terms.id);
    note_said(open, order, meaning, parts.status, &parts.headers);
    match meaning {
        AnswerMeaning::Foreign => {
            let reason = "the answer belongs to another request".to_string();
            AttemptEnd::Failed(AttemptFailure::Lost(reason))
        },
        AnswerMeaning::Unsure => {
            finish_body(open, connection, body).await;
            let reason = format!("status {} with no word that it did not run", parts.status);
            AttemptEnd::Failed(AttemptFailure::Lost(reason))
        },
        AnswerMeaning::NotRun => {
            finish_body(open, connection, body).await;
            AttemptEnd::Failed(AttemptFailure::Refused(parts.status.as_u16()))
        },
        AnswerMeaning::Misdirected => {
            let named = heads::own_instance(&parts.headers);
            let is_other = named.is_some_and(|named| named != order.replica);
            finish_body(open, connection, body).await;
            AttemptEnd::Failed(AttemptFailure::Misdirected(is_other))
        },
        AnswerMeaning::Ran if is_event_stream(open.query.route.kind, parts.status) => {
            let live = LiveStream { head: parts, body, connection, order: order.clone() };
            AttemptEnd::Stream(Box::new(live))
        },
        AnswerMeaning::Ran => read_whole(open, connection, parts, body).await,
    }
}

/// Notes what a replica says of itself with an answer, whatever the answer means for the request.
fn note_said(
    open: &OpenRequest,
    order: &AttemptOrder,
    meaning: AnswerMeaning,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let (notice, fault) = heads::read_notice(status, headers, SystemTime::now());
    let log = &open.shared.log;
    if let Some(fault) = &fault {
        warn!(log, "word of a replica not understood"; "id" => &open.terms.id,
            "replica" => &order.replica, "fault" => %fault);
    }
    for name in heads::unread_words(headers) {
        open.shared.metrics.replica_word("unread");
        if open.shared.unread.is_first(name) {
            warn!(log, "word of a replica that nothing reads"; "id" => &open.terms.id,
                "replica" => &order.replica, "name" => name);
        }
    }
    // Other answers may come without what a replica says with each of its own.
    let is_good = meaning == AnswerMeaning::Ran && status.is_success();
    if is_good && notice.limit.is_none() && fault.is_none() {
        note_no_limit(open, order);
    }
    if notice.is_blank() {
        return;
    }
    let now = open.shared.clock.now();
    let mut machine = open.shared.machine();
    let change = machine.note_said(order, &notice, now);
    let has_asks = machine.has_asks();
    drop(machine);
    open.shared.metrics.replica_said(&notice);
    if has_asks {
        open.shared.wanted.notify_one();
    }
    // A replica says the same with each answer; what it changes here is worth a line.
    let Some(change) = change else {
        return;
    };
    let rest = match change {
        StandingChange::Leaves | StandingChange::Limits(_) => None,
        StandingChange::Rests(until) => Some(until.saturating_sub(now)),
    };
    info!(log, "replica said of itself"; "id" => &open.terms.id, "replica" => &order.replica,
        "born" => order.born, "status" => status.as_u16(), "is_leaving" => notice.is_leaving,
        "asked_rest_ms" => notice.rest.map(|rest| rest.as_millis() as u64),
        "rest_ms" => rest.map(|rest| rest.as_millis() as u64),
        "limit" => notice.limit.map(RateLimit::rate));
}

/// Notes that a good answer of a replica names no limit.
fn note_no_limit(open: &OpenRequest, order: &AttemptOrder) {
    let now = open.shared.clock.now();
    if open.shared.machine().note_no_limit(order, now) {
        info!(open.shared.log, "replica names no limit any more"; "id" => &open.terms.id,
            "replica" => &order.replica, "born" => order.born);
    }
}

/// Sends the request over a kept connection or a new one; gives the answer's head.
async fn send_head(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> Result<(ReplicaConnection, Response<Incoming>), AttemptFailure> {
    let pool = &open.shared.pool;
    let longest = match open.query.route.kind {
        RouteKind::Safe => Duration::MAX,
        RouteKind::Unsafe | RouteKind::Stream | RouteKind::ResumableStream => FRESH_ENOUGH,
    };
    let mut stale = 0;
    loop {
        let kept = match stale < STALE_LIMIT {
            true => pool.take(&order.replica, longest),
            false => None,
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => pool
                .connect(&order.replica, order.address)
                .await
                .map_err(AttemptFailure::NotSent)?,
        };
        let request = request_for(open, order, last_event)?;
        // A connection may have taken long to open; what became known of the replica meanwhile goes before the
        // choice that was made.
        let now = open.shared.clock.now();
        if !open.shared.machine().may_send(order, open.query.received, now) {
            pool.put(connection);
            return Err(AttemptFailure::Withheld);
        }
        match connection.sender.try_send_request(request).await {
            Ok(head) => return Ok((connection, head)),
            // The request came back whole, so not a byte of it was sent.
            Err(error) if error.message().is_some() && stale < STALE_LIMIT => stale += 1,
            Err(error) => {
                let is_unsent = error.message().is_some();
                let reason = error.into_error().to_string();
                return Err(match is_unsent {
                    true => AttemptFailure::NotSent(reason),
                    false => AttemptFailure::Lost(reason),
                });
            },
        }
    }
}

fn request_for(
    open: &OpenRequest,
    order: &AttemptOrder,
    last_event: Option<&str>,
) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let left = open.left(open.shared.clock.now());
    let terms = AttemptTerms {
        replica: &order.replica,
        left: Some(left),
        priority: open.rank,
        last_event,
        workspace: open.workspace(),
    };
    let path = open.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|error: http::uri::InvalidUri| AttemptFailure::NotSent(error.to_string()))?;
    let mut request = Request::new(Full::new(open.body.clone()));
    *request.method_mut() = open.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = heads::attempt_headers(&open.headers, &terms);
    Ok(request)
}

/// Reads an answer that is of no use to the caller, so that its connection can be kept.
async fn finish_body(open: &OpenRequest, connection: ReplicaConnection, body: Incoming) {
    if Limited::new(body, ANSWER_LIMIT).collect().await.is_ok() {
        open.shared.pool.put(connection);
    }
}

async fn read_whole(
    open: &OpenRequest,
    connection: ReplicaConnection,
    mut head: http::response::Parts,
    body: Incoming,
) -> AttemptEnd {
    let body = match Limited::new(body, ANSWER_LIMIT).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            let reason = format!("the answer broke off: {error}");
            return AttemptEnd::Failed(AttemptFailure::Lost(reason));
        },
    };
    open.shared.pool.put(connection);
    let status = head.status;
    if status.is_success() && is_framed(&head.headers) {
        open.note_good();
    }
    head.headers = heads::end_to_end(&head.headers);
    let answer = Response::from_parts(head, body);
    match status.is_server_error() && open.query.route.kind == RouteKind::Safe {
        true => AttemptEnd::Failed(AttemptFailure::Errored(Box::new(answer))),
        false => AttemptEnd::Whole(answer),
    }
}

/// Tells whether an answer says where it ends. One that ends with its connection looks whole also when its
/// replica ended in the middle of it.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// For how long a replica keeps an unused connection, if it says so.
fn keep_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout="));
    seconds.filter_map(|text| text.parse().ok()).map(Duration::from_secs).next()
}
