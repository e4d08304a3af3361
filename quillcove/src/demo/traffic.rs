//! A stream of requests: skewed over the adapters, with bookings among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use quillcove_core::class::WorkClass;
use quillcove_core::verdict::RunVerdict;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::site::{BOOKING, SitePlan};
use crate::web::client::WebClient;
use crate::web::headers;

/// Longest time for one request, beyond its own deadline.
const CALL_MARGIN: Duration = Duration::from_secs(5);

/// Times a caller asks again after a refusal that names a time.
const COME_BACKS: u32 = 3;

/// Times between lines of progress.
const PROGRESS: Duration = Duration::from_secs(3);

/// What is sent.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    /// Seed of all draws.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub length: Duration,
    /// Adapters; those with low numbers are asked for most.
    pub adapters: usize,
    /// Skew of Zipf's law.
    pub skew: f64,
    /// Share of bookings.
    pub bookings: f64,
    /// Share of urgent completions.
    pub urgent: f64,
    /// Share of batch-class completions.
    pub batch: f64,
    /// Tokens of a completion.
    pub tokens: usize,
    /// Deadline of urgent and normal completions.
    pub deadline: Duration,
    /// After this time other adapters are popular, without warning.
    pub shift_after: Option<Duration>,
}

impl TrafficPlan {
    /// The usual stream for a site.
    ///
    /// ```
    /// use quillcove::demo::traffic::TrafficPlan;
    /// use quillcove::demo::site::SitePlan;
    ///
    /// assert_eq!(TrafficPlan::for_site(&SitePlan::default()).adapters, 5000);
    /// ```
    pub fn for_site(site: &SitePlan) -> Self {
        Self {
            seed: 1,
            rate: 100.0,
            length: Duration::from_secs(10),
            adapters: site.adapters,
            skew: 1.1,
            bookings: 0.1,
            urgent: 0.3,
            batch: 0.2,
            tokens: 16,
            deadline: Duration::from_secs(10),
            shift_after: None,
        }
    }
}

/// One request to send.
#[derive(Clone, Debug)]
enum PlannedCall {
    Completion { adapter: usize, class: WorkClass, is_stream: bool },
    Booking,
}

/// How one request went, over all its tries.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// Class of work; bookings count as urgent.
    pub class: WorkClass,
    /// Whether it is a booking.
    pub is_booking: bool,
    /// The last verdict.
    pub verdict: RunVerdict,
    /// Status of the last answer.
    pub status: u16,
    /// Time from the first try to the last byte.
    pub took: Duration,
    /// When the first try was sent, from the start of the load.
    pub sent: Duration,
    /// Time until the upstream got it: waits at agents and times before coming back.
    pub stalled: Duration,
    /// Longest time in which a refusal was answered.
    pub refused_in: Option<Duration>,
    /// Tries.
    pub tries: u32,
    /// Whether the whole answer came and named what was asked for.
    pub is_right: bool,
    /// Whether an answer came that was for somebody else or another adapter.
    pub is_wrong: bool,
}

/// All outcomes of a load.
#[derive(Debug, Default)]
pub struct TrafficOutcome {
    /// Outcomes, in the order in which they ended.
    pub calls: Vec<CallOutcome>,
    /// Bookings by name, with the verdict that the caller got.
    pub bookings: BTreeMap<String, RunVerdict>,
}

impl TrafficOutcome {
    /// Times of right answers of one class, in microseconds.
    ///
    /// ```
    /// use quillcove::demo::traffic::TrafficOutcome;
    /// use quillcove_core::class::WorkClass;
    ///
    /// assert_eq!(TrafficOutcome::default().times(WorkClass::Urgent).len(), 0);
    /// ```
    pub fn times(&self, class: WorkClass) -> Histogram<u64> {
        let right = self.calls.iter().filter(|call| call.class == class && call.is_right);
        micros_histogram(right.map(|call| call.took))
    }
}

/// A histogram of times, in microseconds.
///
/// ```
/// use std::time::Duration;
/// use quillcove::demo::traffic::micros_histogram;
///
/// let histogram = micros_histogram([Duration::from_millis(2)].into_iter());
/// assert_eq!(histogram.value_at_quantile(0.5), 2000);
/// ```
pub fn micros_histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for time in times {
        histogram.record(time.as_micros() as u64).expect("the histogram grows by itself");
    }
    histogram
}

/// Draws from Zipf's law by its inverted sum.
#[derive(Clone, Debug)]
pub struct ZipfDraw {
    sums: Arc<Vec<f64>>,
}

impl ZipfDraw {
    /// A law over this many ranks.
    ///
    /// ```
    /// use quillcove::demo::traffic::ZipfDraw;
    /// use rand::SeedableRng;
    ///
    /// let draw = ZipfDraw::new(10, 1.0);
    /// assert!(draw.rank(&mut rand::rngs::StdRng::seed_from_u64(1)) < 10);
    /// ```
    pub fn new(ranks: usize, skew: f64) -> Self {
        let mut sum = 0.0;
        let sums = (1..=ranks).map(|rank| {
            sum += (rank as f64).powf(-skew);
            sum
        });
        Self { sums: Arc::new(sums.collect()) }
    }

    /// Draws a rank, from 0.
    ///
    /// ```
    /// use quillcove::demo::traffic::ZipfDraw;
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// assert_eq!(ZipfDraw::new(1, 1.0).rank(&mut rng), 0);
    /// ```
    pub fn rank(&self, rng: &mut impl Rng) -> usize {
        let total = self.sums.last().copied().unwrap_or(1.0);
        let place = rng.random::<f64>() * total;
        self.sums.partition_point(|sum| *sum < place).min(self.sums.len() - 1)
    }
}

/// Sends a load at its own pace, whether or not answers come, and waits for all ends.
///
/// ```no_run
/// # async fn run(site: quillcove::demo::site::LocalSite) {
/// use quillcove::demo::traffic::{TrafficPlan, run_traffic};
/// use quillcove::demo::site::SitePlan;
///
/// let plan = TrafficPlan::for_site(&SitePlan::default());
/// let outcome = run_traffic(&site.entries(), &plan, |line| println!("{line}")).await;
/// # }
/// ```
pub async fn run_traffic(
    entries: &[SocketAddr],
    plan: &TrafficPlan,
    progress: impl Fn(String),
) -> TrafficOutcome {
    let client = WebClient::new(Duration::from_secs(2), Duration::from_secs(10));
    let zipf = ZipfDraw::new(plan.adapters, plan.skew);
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let (sender, mut outcomes) = mpsc::unbounded_channel();
    let start = Instant::now();
    let count = (plan.rate * plan.length.as_secs_f64()) as usize;
    let mut next_progress = start + PROGRESS;
    for number in 0..count {
        sleep_until(start + Duration::from_secs_f64(number as f64 / plan.rate)).await;
        let sent = Duration::from_secs_f64(number as f64 / plan.rate);
        let call = draw_call(plan, &zipf, &mut rng, sent);
        let entry = entries[number % entries.len()];
        let other = entries[(number + 1) % entries.len()];
        let plan = plan.clone();
        let caller = Caller { client: client.clone(), entry, other, number, sent, plan };
        let sender = sender.clone();
        tokio::spawn(async move {
            let _ = sender.send((number, caller.run(call).await));
        });
        if Instant::now() > next_progress {
            progress(format!("{number} of {count} requests sent"));
            next_progress += PROGRESS;
        }
    }
    drop(sender);
    let mut outcome = TrafficOutcome::default();
    while let Some((number, call)) = outcomes.recv().await {
        if call.is_booking {
            outcome.bookings.insert(booking_name(plan, number), call.verdict);
        }
        outcome.calls.push(call);
    }
    outcome
}

fn booking_name(plan: &TrafficPlan, number: usize) -> String {
    format!("seat-{}-{number}", plan.seed)
}

/// Adapters that a load asks for, in order, for what could have been done with all of them known.
///
/// ```
/// use quillcove::demo::traffic::{TrafficPlan, planned_adapters};
/// use quillcove::demo::site::SitePlan;
///
/// let plan = TrafficPlan::for_site(&SitePlan::default());
/// assert!(!planned_adapters(&plan).is_empty());
/// ```
pub fn planned_adapters(plan: &TrafficPlan) -> Vec<usize> {
    let zipf = ZipfDraw::new(plan.adapters, plan.skew);
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let count = (plan.rate * plan.length.as_secs_f64()) as usize;
    let calls = (0..count).map(|number| {
        let sent = Duration::from_secs_f64(number as f64 / plan.rate);
        draw_call(plan, &zipf, &mut rng, sent)
    });
    let adapters = calls.filter_map(|call| match call {
        PlannedCall::Completion { adapter, .. } => Some(adapter),
        PlannedCall::Booking => None,
    });
    adapters.collect()
}

/// How far the ranks move when other adapters become popular.
const SHIFT_RANKS: usize = 1000;

fn draw_call(plan: &TrafficPlan, zipf: &ZipfDraw, rng: &mut StdRng, sent: Duration) -> PlannedCall {
    let share: f64 = rng.random();
    let mut rank = zipf.rank(rng);
    if plan.shift_after.is_some_and(|after| sent >= after) {
        rank = (rank + SHIFT_RANKS) % plan.adapters;
    }
    let is_stream = rng.random_bool(0.5);
    if share < plan.bookings {
        return PlannedCall::Booking;
    }
    let share: f64 = rng.random();
    let class = match share {
        _ if share < plan.urgent => WorkClass::Urgent,
        _ if share < plan.urgent + plan.batch => WorkClass::Batch,
        _ => WorkClass::Normal,
    };
    PlannedCall::Completion { adapter: rank, class, is_stream }
}

/// One caller with one request.
struct Caller {
    client: WebClient,
    entry: SocketAddr,
    other: SocketAddr,
    number: usize,
    sent: Duration,
    plan: TrafficPlan,
}

/// One answer as the caller sees it.
struct CallAnswer {
    status: u16,
    verdict: RunVerdict,
    retry_after: Option<Duration>,
    waited: Duration,
    took: Duration,
    body: Bytes,
    is_whole: bool,
}

impl Caller {
    async fn run(&self, call: PlannedCall) -> CallOutcome {
        match call {
            PlannedCall::Booking => self.book().await,
            PlannedCall::Completion { adapter, class, is_stream } => {
                self.complete(&format!("adapter-{adapter:04}"), class, is_stream).await
            },
        }
    }

    /// Books a seat: takes a ticket, then books with it, through another entry on a repeat.
    async fn book(&self) -> CallOutcome {
        let started = Instant::now();
        let name = booking_name(&self.plan, self.number);
        let mut tries = 0;
        let mut last = unsent();
        let ticket = loop {
            tries += 1;
            let uri = format!("http://{}/v1/tickets/{BOOKING}", self.entry);
            let answer = self.send(Request::post(uri), Bytes::new()).await;
            let found = serde_json::from_slice::<Value>(&answer.body).ok();
            let ticket = found.and_then(|body| Some(body["ticket"].as_str()?.to_string()));
            if ticket.is_some() || tries > COME_BACKS {
                break ticket;
            }
            last = answer;
            tokio::time::sleep(last.retry_after.unwrap_or_default()).await;
        };
        if let Some(ticket) = ticket {
            for entry in [self.entry, self.other, self.entry] {
                let uri = format!("http://{entry}/svc/{BOOKING}/seats/{name}");
                let request = Request::post(uri)
                    .header(headers::REPEATABLE, "no")
                    .header(headers::TICKET, &ticket)
                    .header(headers::PRIORITY, "urgent")
                    .header(quillcove_standin::service::BOOKING_HEADER, &name);
                last = self.send(request, Bytes::from(name.clone())).await;
                let is_done = last.verdict != RunVerdict::NotRun;
                if is_done {
                    break;
                }
                tries += 1;
                tokio::time::sleep(last.retry_after.unwrap_or_default()).await;
            }
        }
        let is_ok = last.status == 200 && last.is_whole;
        let names_it = String::from_utf8_lossy(&last.body).contains(&name);
        CallOutcome {
            class: WorkClass::Urgent,
            is_booking: true,
            verdict: last.verdict,
            status: last.status,
            took: started.elapsed(),
            sent: self.sent,
            stalled: last.waited,
            refused_in: None,
            tries,
            is_right: is_ok && names_it,
            is_wrong: is_ok && !names_it,
        }
    }

    async fn complete(&self, adapter: &str, class: WorkClass, is_stream: bool) -> CallOutcome {
        let started = Instant::now();
        let user = format!("u{}", self.number);
        let body = json!({
            "model": adapter,
            "prompt": format!("{user} asks"),
            "max_tokens": self.plan.tokens,
            "user": user,
            "stream": is_stream,
        });
        let body = Bytes::from(body.to_string());
        let deadline = match class {
            WorkClass::Batch => self.plan.deadline * 6,
            WorkClass::Urgent | WorkClass::Normal => self.plan.deadline,
        };
        let mut tries = 0;
        let mut refused_in = None;
        let (last, before) = loop {
            tries += 1;
            let before = started.elapsed();
            let uri = format!("http://{}/v1/completions", self.entry);
            let left = deadline.saturating_sub(started.elapsed());
            let request = Request::post(uri)
                .header(headers::PRIORITY, class.label())
                .header(headers::DEADLINE_MS, left.as_millis() as u64);
            let answer = self.send(request, body.clone()).await;
            let pause = answer.retry_after;
            if answer.status != 200 {
                refused_in = refused_in.max(Some(answer.took));
            }
            let may_come_back = answer.verdict == RunVerdict::NotRun && tries <= COME_BACKS;
            let in_time = pause.is_some_and(|pause| started.elapsed() + pause < deadline);
            if !may_come_back || !in_time {
                break (answer, before);
            }
            tokio::time::sleep(pause.unwrap_or_default()).await;
        };
        let is_ok = last.status == 200 && last.is_whole;
        let text = completion_text(&last.body, is_stream);
        let expected = format!("{adapter}@1|{user} ").repeat(self.plan.tokens);
        // A stream's verdict is known at its end: one without `[DONE]` broke, and says so.
        let verdict = match is_stream && text.is_some() {
            true => RunVerdict::Ran,
            false => last.verdict,
        };
        let is_right = is_ok && text.as_deref() == Some(expected.as_str());
        CallOutcome {
            class,
            is_booking: false,
            verdict,
            status: last.status,
            took: started.elapsed(),
            sent: self.sent,
            stalled: before + last.waited,
            refused_in,
            tries,
            is_right,
            is_wrong: is_ok && text.is_some() && !is_right,
        }
    }

    async fn send(&self, request: http::request::Builder, body: Bytes) -> CallAnswer {
        let Ok(request) = request.body(Full::new(body)) else {
            return unsent();
        };
        let limit = self.plan.deadline * 6 + CALL_MARGIN;
        let started = Instant::now();
        let Ok(Ok(response)) = timeout(limit, self.client.send(request)).await else {
            return CallAnswer { verdict: RunVerdict::MayHaveRun, ..unsent() };
        };
        let (parts, incoming) = response.into_parts();
        let verdict = headers::text(&parts.headers, headers::VERDICT);
        let verdict = verdict.and_then(RunVerdict::from_label).unwrap_or(RunVerdict::MayHaveRun);
        let body = timeout(limit, incoming.collect()).await;
        let body = body.ok().and_then(Result::ok).map(|body| body.to_bytes());
        CallAnswer {
            status: parts.status.as_u16(),
            verdict,
            retry_after: headers::millis(&parts.headers, headers::RETRY_AFTER_MS),
            waited: headers::millis(&parts.headers, headers::WAITED_MS).unwrap_or_default(),
            took: started.elapsed(),
            is_whole: body.is_some(),
            body: body.unwrap_or_default(),
        }
    }
}

fn unsent() -> CallAnswer {
    CallAnswer {
        status: 0,
        verdict: RunVerdict::NotRun,
        retry_after: Some(Duration::from_millis(200)),
        waited: Duration::ZERO,
        took: Duration::ZERO,
        body: Bytes::new(),
        is_whole: false,
    }
}

/// The text of an answer; a stream counts only with its `[DONE]`.
fn completion_text(body: &Bytes, is_stream: bool) -> Option<String> {
    if !is_stream {
        let body: Value = serde_json::from_slice(body).ok()?;
        return Some(body["choices"][0]["text"].as_str()?.to_string());
    }
    let body = std::str::from_utf8(body).ok()?;
    let mut text = String::new();
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return Some(text);
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        text.push_str(chunk["choices"][0]["text"].as_str()?);
    }
    None
}
