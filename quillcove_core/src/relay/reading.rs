//! Estimates the time to first event: how long a request waits at an engine until its first event.
//!
//! Engines process prompts one after another, so a request waits for the tokens queued before it
//! and for its own. A relay knows the tokens that it sent itself. Those of other relays it knows from
//! the status that the engine's loader sends where adapter slots are scarce. Otherwise it knows from
//! the engine's report only how many of their requests wait, and assumes that their prompts have the
//! mean size of its own. The time per token is estimated from the times at which first events arrived.
//! Where adapter slots are scarce, recent measurements of the engine's loader are used instead, see
//! [`PrefillAverages::with_measurements`].

use std::collections::BTreeMap;
use std::time::Duration;

use super::admission::reports::{ReportOccasion, ReportedPrompts};
use super::engine_status::{EngineStatus, PendingPrompts};
use super::performance::{FirstEventFigures, MeasuredEngine, ServicePerformance};
use crate::ids::MonoTime;

/// Last rank of requests that can meet their target latency; the others get the ranks after it.
pub const LAST_TIMELY_RANK: u8 = 4;

/// Seconds per token until one has been measured: a prompt of a thousand tokens in 40 ms.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.000_04;

/// Tokens of a prompt until one has been sent.
const INITIAL_PROMPT_TOKENS: f64 = 1000.0;

/// Share of the weight of earlier samples that each new sample replaces.
const SAMPLE_DECAY: f64 = 0.08;

/// Weight, in tokens, of the service's average when it is mixed with an engine's own, so that a few
/// prompts do not decide the estimate for that engine.
const SERVICE_WEIGHT_TOKENS: f64 = 30_000.0;

/// Fewest tokens that a prompt counts for: a step of the engine takes as long as processing some.
const MIN_PROMPT_TOKENS: f64 = 200.0;

/// A prompt as it is sent to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillPrompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Rank at the engine; lower ones go first.
    pub rank: u8,
}

/// Identifies an attempt whose prompt is being processed.
pub type ReadingNumber = u64;

/// Exponentially decayed sums of the time and tokens of processed prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenTimeEstimate {
    seconds: f64,
    tokens: f64,
}

impl TokenTimeEstimate {
    /// Records the time from sending a prompt until its first event, and the number of tokens
    /// processed in that time: those queued before the prompt and its own.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::TokenTimeEstimate;
    ///
    /// let mut token_time = TokenTimeEstimate::default();
    /// token_time.record(Duration::from_millis(100), 1000.0);
    /// assert_eq!(token_time.seconds_per_token(), 0.0001);
    /// ```
    pub fn record(&mut self, took: Duration, tokens: f64) {
        self.seconds += took.as_secs_f64() - self.seconds * SAMPLE_DECAY;
        self.tokens += tokens - self.tokens * SAMPLE_DECAY;
    }

    /// Returns the seconds per token.
    ///
    /// ```
    /// use quillcove_core::relay::reading::TokenTimeEstimate;
    ///
    /// assert!(TokenTimeEstimate::default().seconds_per_token() > 0.0);
    /// ```
    pub fn seconds_per_token(&self) -> f64 {
        if self.tokens > 0.0 { self.seconds / self.tokens } else { INITIAL_SECONDS_PER_TOKEN }
    }

    /// Returns the figures of an engine, mixed with those of its service. The samples include the event interval, so
    /// that only the service's share of the mixture adds it.
    fn blended_with(&self, service: FirstEventFigures) -> FirstEventFigures {
        let tokens = self.tokens + SERVICE_WEIGHT_TOKENS;
        let seconds = self.seconds + service.seconds_per_token * SERVICE_WEIGHT_TOKENS;
        FirstEventFigures {
            seconds_per_token: seconds / tokens,
            event_interval: service.event_interval * SERVICE_WEIGHT_TOKENS / tokens,
        }
    }
}

/// Averages over all engines of a service.
#[derive(Clone, Copy, Debug)]
pub struct PrefillAverages {
    token_time: TokenTimeEstimate,
    /// Mean tokens of a prompt.
    mean_prompt_tokens: f64,
    /// Performance of the engines as their loaders measure it.
    performance: ServicePerformance,
    /// Time at which measurements of loaders are used; `None` where they are not.
    measurements_at: Option<MonoTime>,
}

impl Default for PrefillAverages {
    fn default() -> Self {
        Self {
            token_time: TokenTimeEstimate::default(),
            mean_prompt_tokens: INITIAL_PROMPT_TOKENS,
            performance: ServicePerformance::default(),
            measurements_at: None,
        }
    }
}

impl PrefillAverages {
    /// Records the size of a prompt that is sent.
    ///
    /// ```
    /// use quillcove_core::relay::reading::PrefillAverages;
    ///
    /// PrefillAverages::default().note_prompt(500);
    /// ```
    pub fn note_prompt(&mut self, tokens: u32) {
        self.mean_prompt_tokens += (f64::from(tokens) - self.mean_prompt_tokens) * SAMPLE_DECAY;
    }

    /// Returns these averages for estimates at `now` that prefer the measurements of loaders to this relay's samples.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::PrefillAverages;
    ///
    /// PrefillAverages::default().with_measurements(Duration::ZERO);
    /// ```
    pub fn with_measurements(self, now: MonoTime) -> Self {
        Self { measurements_at: Some(now), ..self }
    }

    /// Returns whether measurements are used and a loader of the service has sent one recently.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::PrefillAverages;
    ///
    /// assert!(!PrefillAverages::default().with_measurements(Duration::ZERO).is_measured());
    /// ```
    pub fn is_measured(&self) -> bool {
        self.measurements_at.is_some_and(|now| self.performance.is_measured(now))
    }
}

/// An attempt whose first event has not arrived yet.
#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    tokens: f64,
    /// Rank at the engine; lower ones go first.
    rank: u8,
    /// Tokens that the engine had to process before it, as estimated when it was sent.
    tokens_ahead: f64,
    sent: MonoTime,
    /// Time to the first event by the loader's measurement; `None` without one.
    expected: Option<Duration>,
}

/// The prompts that one engine has yet to process.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
///
/// let prompt = PrefillPrompt { tokens: 1000, rank: 0 };
/// let (mut queue, mut averages) = (PrefillQueue::default(), PrefillAverages::default());
/// let alone = queue.time_to_first_event(prompt, &averages);
/// queue.begin(1, prompt, &averages, Duration::ZERO);
/// assert!(queue.time_to_first_event(prompt, &averages) > alone);
/// queue.end(1, Some(Duration::from_millis(300)), &mut averages);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    attempts: BTreeMap<ReadingNumber, PendingAttempt>,
    /// Requests of other relays that waited at the last report.
    others_waiting: u32,
    /// Pending prompts of other relays; `None` while no recent status of the engine is known.
    others_pending: Option<PendingPrompts>,
    /// This relay's pending prompts as its loader knows them.
    reported: ReportedPrompts,
    token_time: TokenTimeEstimate,
    /// The engine's performance as its loader measures it.
    measured: MeasuredEngine,
}

impl PrefillQueue {
    /// Records that a prompt is sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
    ///
    /// let prompt = PrefillPrompt { tokens: 5000, rank: 0 };
    /// PrefillQueue::default().begin(1, prompt, &PrefillAverages::default(), Duration::ZERO);
    /// ```
    pub fn begin(
        &mut self,
        number: ReadingNumber,
        prompt: PrefillPrompt,
        averages: &PrefillAverages,
        now: MonoTime,
    ) {
        let tokens_ahead = self.tokens_before(prompt.rank, averages);
        let tokens = f64::from(prompt.tokens).max(MIN_PROMPT_TOKENS);
        let pending = self.tokens_before(u8::MAX, averages);
        let rank = prompt.rank;
        let service = &averages.performance;
        let expected = self.measured.expected_response(tokens, pending, rank, service, now);
        self.attempts
            .insert(number, PendingAttempt { tokens, rank, tokens_ahead, sent: now, expected });
    }

    /// Records that an attempt had its first event at `first_event_at`, or ended without one.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillQueue};
    ///
    /// PrefillQueue::default().end(1, None, &mut PrefillAverages::default());
    /// ```
    pub fn end(
        &mut self,
        number: ReadingNumber,
        first_event_at: Option<MonoTime>,
        averages: &mut PrefillAverages,
    ) {
        let Some(attempt) = self.attempts.remove(&number) else {
            return;
        };
        // Requests that arrive later go before a deferred one, so its time says little about the engine.
        let is_overtaken = self.others_pending.is_some() && attempt.rank > LAST_TIMELY_RANK;
        if let Some(first_event_at) = first_event_at.filter(|_| !is_overtaken) {
            let took = first_event_at.saturating_sub(attempt.sent);
            let tokens = attempt.tokens_ahead + attempt.tokens;
            self.token_time.record(took, tokens);
            averages.token_time.record(took, tokens);
            if let Some(expected) = attempt.expected {
                self.measured.record_response(took, expected, &mut averages.performance);
            }
        }
    }

    /// Records the engine's performance from a status of its loader. Used only with averages from
    /// [`PrefillAverages::with_measurements`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::engine_status::EngineStatus;
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillQueue};
    ///
    /// let status = EngineStatus::unknown("127.0.0.1:1".parse().unwrap());
    /// let mut averages = PrefillAverages::default();
    /// PrefillQueue::default().record_status(&status, &mut averages, Duration::ZERO);
    /// ```
    pub fn record_status(
        &mut self,
        status: &EngineStatus,
        averages: &mut PrefillAverages,
        now: MonoTime,
    ) {
        averages.performance.record(status, &averages.token_time, now);
        self.measured.record(status.performance, now);
    }

    /// Records the number of requests that wait at the engine, those of this relay included.
    ///
    /// ```
    /// use quillcove_core::relay::reading::PrefillQueue;
    ///
    /// PrefillQueue::default().report(3);
    /// ```
    pub fn report(&mut self, waiting: u32) {
        self.others_waiting = waiting.saturating_sub(self.attempts.len() as u32);
    }

    /// Records the pending prompts of all relays together as the engine's loader has summed them, or `None` when that is
    /// not known any more.
    ///
    /// ```
    /// use quillcove_core::relay::engine_status::PendingPrompts;
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
    ///
    /// let (mut queue, averages) = (PrefillQueue::default(), PrefillAverages::default());
    /// let prompt = PrefillPrompt { tokens: 1000, rank: 0 };
    /// let alone = queue.time_to_first_event(prompt, &averages);
    /// queue.record_fleet_prompts(Some(PendingPrompts { timely_tokens: 0, deferred_tokens: 9000 }));
    /// assert_eq!(queue.time_to_first_event(prompt, &averages), alone);
    /// ```
    pub fn record_fleet_prompts(&mut self, total: Option<PendingPrompts>) {
        self.others_pending = total.map(|total| self.reported.others_of(total));
    }

    /// Returns whether the pending prompts of other relays are known.
    ///
    /// ```
    /// use quillcove_core::relay::reading::PrefillQueue;
    ///
    /// assert!(!PrefillQueue::default().knows_fleet_prompts());
    /// ```
    pub fn knows_fleet_prompts(&self) -> bool {
        self.others_pending.is_some()
    }

    /// Returns this relay's pending prompts.
    ///
    /// ```
    /// use quillcove_core::relay::reading::PrefillQueue;
    ///
    /// assert_eq!(PrefillQueue::default().own_prompts().timely_tokens, 0);
    /// ```
    pub fn own_prompts(&self) -> PendingPrompts {
        let is_timely = |attempt: &&PendingAttempt| attempt.rank <= LAST_TIMELY_RANK;
        let (timely, deferred): (Vec<_>, Vec<_>) = self.attempts.values().partition(is_timely);
        let sum = |attempts: Vec<&PendingAttempt>| {
            attempts.into_iter().map(|attempt| attempt.tokens).sum::<f64>() as u32
        };
        PendingPrompts { timely_tokens: sum(timely), deferred_tokens: sum(deferred) }
    }

    /// Returns this relay's pending prompts if they have to be reported to the loader now.
    ///
    /// ```
    /// use quillcove_core::relay::admission::reports::ReportOccasion;
    /// use quillcove_core::relay::reading::PrefillQueue;
    ///
    /// assert_eq!(PrefillQueue::default().take_report(ReportOccasion::Tick, 0), None);
    /// ```
    pub fn take_report(
        &mut self,
        occasion: ReportOccasion,
        position: u64,
    ) -> Option<PendingPrompts> {
        let pending = self.own_prompts();
        self.reported.take_due(pending, occasion, position).then_some(pending)
    }

    /// Estimates the tokens that the engine processes before a prompt of this rank that is sent
    /// now. Of other relays' prompts only whether they are deferred is known, or not even that; they
    /// are otherwise assumed to go first.
    fn tokens_before(&self, rank: u8, averages: &PrefillAverages) -> f64 {
        let ahead = self.attempts.values().filter(|attempt| attempt.rank <= rank);
        let own: f64 = ahead.map(|attempt| attempt.tokens).sum();
        let others = match self.others_pending {
            Some(others) if rank <= LAST_TIMELY_RANK => f64::from(others.timely_tokens),
            Some(others) => f64::from(others.timely_tokens) + f64::from(others.deferred_tokens),
            None => f64::from(self.others_waiting) * averages.mean_prompt_tokens,
        };
        own + others
    }

    /// Estimates the time until the engine has processed all prompts that it has now.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillQueue};
    ///
    /// let time = PrefillQueue::default().backlog(&PrefillAverages::default());
    /// assert_eq!(time, std::time::Duration::ZERO);
    /// ```
    pub fn backlog(&self, averages: &PrefillAverages) -> Duration {
        let tokens = self.tokens_before(u8::MAX, averages);
        Duration::from_secs_f64(tokens * self.first_event_figures(averages).seconds_per_token)
    }

    /// Returns the parts of the time to a first event: by the engine's measurement if there is a recent one that may be
    /// used, otherwise by this relay's samples, mixed with the service's value.
    fn first_event_figures(&self, averages: &PrefillAverages) -> FirstEventFigures {
        let service = &averages.performance;
        let now = averages.measurements_at;
        if let Some(figures) = now.and_then(|now| self.measured.corrected_first_event(service, now))
        {
            return figures;
        }
        let common = now.and_then(|now| service.first_event(now));
        // The samples of this relay include the event interval.
        let common = common.unwrap_or_else(|| FirstEventFigures {
            seconds_per_token: averages.token_time.seconds_per_token(),
            event_interval: 0.0,
        });
        self.token_time.blended_with(common)
    }

    /// Returns the estimated number of prompt tokens that the engine processes per second.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillQueue};
    ///
    /// assert!(PrefillQueue::default().prefill_rate(&PrefillAverages::default()) > 1000.0);
    /// ```
    pub fn prefill_rate(&self, averages: &PrefillAverages) -> f64 {
        1.0 / self.first_event_figures(averages).seconds_per_token.max(1e-9)
    }

    /// Estimates the time until the engine begins with a prompt of this rank that is sent now.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillQueue};
    ///
    /// let wait = PrefillQueue::default().wait_before(0, &PrefillAverages::default());
    /// assert_eq!(wait, std::time::Duration::ZERO);
    /// ```
    pub fn wait_before(&self, rank: u8, averages: &PrefillAverages) -> Duration {
        let token_time = self.first_event_figures(averages).seconds_per_token;
        Duration::from_secs_f64(self.tokens_before(rank, averages) * token_time)
    }

    /// Estimates the time until the first event of a request with this prompt that is sent now.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
    ///
    /// let prompt = PrefillPrompt { tokens: 1000, rank: 0 };
    /// let time = PrefillQueue::default().time_to_first_event(prompt, &PrefillAverages::default());
    /// assert!(time > std::time::Duration::ZERO);
    /// ```
    pub fn time_to_first_event(
        &self,
        prompt: PrefillPrompt,
        averages: &PrefillAverages,
    ) -> Duration {
        let own = f64::from(prompt.tokens).max(MIN_PROMPT_TOKENS);
        let tokens = self.tokens_before(prompt.rank, averages) + own;
        Duration::from_secs_f64(self.first_event_figures(averages).time(tokens))
    }

    /// Predicts the longest pause between two events of a stream while the engine processes its pending prompts and this
    /// one; `None` where loaders have measured nothing recently or their measurements are not used.
    ///
    /// ```
    /// use quillcove_core::relay::reading::{PrefillAverages, PrefillPrompt, PrefillQueue};
    ///
    /// let prompt = PrefillPrompt { tokens: 1000, rank: 0 };
    /// assert_eq!(PrefillQueue::default().longest_pause(prompt, &PrefillAverages::default()), None);
    /// ```
    pub fn longest_pause(
        &self,
        prompt: PrefillPrompt,
        averages: &PrefillAverages,
    ) -> Option<Duration> {
        let now = averages.measurements_at?;
        let pending = self.tokens_before(u8::MAX, averages) + f64::from(prompt.tokens);
        self.measured.longest_pause(pending, &averages.performance, now)
    }
}
