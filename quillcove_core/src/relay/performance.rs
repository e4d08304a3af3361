//! Uses the engine performance that loaders measure: the time per prompt token, the longest pause between two events
//! of a stream, and the probability that a response misses its target.
//!
//! A figure of an engine is limited to a factor of 4 of its service's value and corrected by the times that this relay's
//! own responses take.

use std::time::Duration;

use super::engine_status::{EnginePerformance, EngineStatus};
use super::reading::{LAST_TIMELY_RANK, TokenTimeEstimate};
use crate::ids::MonoTime;

/// Age up to which a loader's measurement counts. Engines change their speed within seconds, so that a relay's own
/// samples are better than an older measurement.
pub const MEASUREMENT_LIFETIME: Duration = Duration::from_secs(2);

/// Largest factor between an engine's figure and its service's. The engines of a service differ by up to 2.4, and by
/// 3.5 while one is disturbed.
const DEVIATION_LIMIT: f64 = 4.0;

/// Factor by which a [`ServiceMedian`] moves with each value. Loaders send several values a second, so that the
/// median doubles within seconds, and a single wrong value has hardly any effect.
const MEDIAN_STEP: f64 = 1.02;

/// Event interval from which the service's median starts.
const INITIAL_EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Most prompt tokens that an engine processes from one event of a stream to the next: a chunk of 2,048 tokens, the
/// usual size, in each of three decode steps. It is not measured, as pauses show it only under a lasting backlog.
const TOKENS_PER_EVENT: f64 = 3.0 * 2048.0;

/// Share of the weight of earlier responses that each new one replaces.
const RESPONSE_DECAY: f64 = 0.08;

/// Time for which the expectation counts against the measured response times, so that a few responses do not decide.
const EXPECTATION_WEIGHT: Duration = Duration::from_secs(3);

/// Steepness of the probability of being late as a function of expected time and limit. It corresponds to estimates
/// with a relative standard deviation of 0.3.
const LATENESS_STEEPNESS: f64 = 6.0;

/// Median of a figure over the engines of a service, tracked by steps of a constant factor.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceMedian {
    value: Option<f64>,
}

impl ServiceMedian {
    /// Moves the median toward a value. The first time it starts at `initial`.
    fn record(&mut self, value: f64, initial: f64) {
        let current = self.value.unwrap_or(initial);
        let low = current / MEDIAN_STEP;
        self.value = Some(value.clamp(low, current * MEDIAN_STEP));
    }
}

/// Measured figures of an engine or a service.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EngineFigures {
    /// Seconds per prompt token of prefill.
    seconds_per_token: f64,
    /// Seconds between two events of a stream while no prompt is processed.
    event_interval: f64,
}

/// Parts of the time to a first event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventFigures {
    /// Seconds per prompt token while prompts wait: prefill and the decode steps in between.
    pub seconds_per_token: f64,
    /// Seconds from the end of the prefill to the first event.
    pub event_interval: f64,
}

impl FirstEventFigures {
    fn scaled_by(self, ratio: f64) -> Self {
        Self {
            seconds_per_token: self.seconds_per_token * ratio,
            event_interval: self.event_interval * ratio,
        }
    }

    /// Returns the seconds until the first event of a prompt, when it and those before it have this many tokens.
    ///
    /// ```
    /// use quillcove_core::relay::performance::FirstEventFigures;
    ///
    /// let figures = FirstEventFigures { seconds_per_token: 0.001, event_interval: 0.5 };
    /// assert_eq!(figures.time(1_000.0), 1.5);
    /// ```
    pub fn time(&self, tokens: f64) -> f64 {
        tokens * self.seconds_per_token + self.event_interval
    }
}

impl EngineFigures {
    /// Returns the figures of a measurement; `None` if they are not positive numbers.
    fn measured(performance: &EnginePerformance) -> Option<Self> {
        let seconds_per_token = 1.0 / f64::from(performance.prefill_rate);
        let event_interval = performance.event_interval.as_secs_f64();
        let is_valid = seconds_per_token.is_finite() && seconds_per_token > 0.0;
        (is_valid && event_interval > 0.0).then_some(Self { seconds_per_token, event_interval })
    }

    /// Limits the figures to a factor of those of the service.
    fn limited_to(self, service: &Self) -> Self {
        let limit =
            |own: f64, common: f64| own.clamp(common / DEVIATION_LIMIT, common * DEVIATION_LIMIT);
        Self {
            seconds_per_token: limit(self.seconds_per_token, service.seconds_per_token),
            event_interval: limit(self.event_interval, service.event_interval),
        }
    }

    /// Returns the longest pause of a stream, in seconds, while this many prompt tokens are pending: the decode steps of
    /// an event and the prompt chunks between them.
    fn longest_pause(&self, pending_tokens: f64) -> f64 {
        self.event_interval + pending_tokens.min(TOKENS_PER_EVENT) * self.seconds_per_token
    }

    /// Returns the parts of the time to a first event. While prompts wait, an event's decode steps are made each
    /// [`TOKENS_PER_EVENT`] tokens.
    fn first_event(&self) -> FirstEventFigures {
        let decoding = self.event_interval / TOKENS_PER_EVENT;
        FirstEventFigures {
            seconds_per_token: self.seconds_per_token + decoding,
            event_interval: self.event_interval,
        }
    }
}

/// Quotient of the measured and the expected times of this relay's responses.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseRatio {
    measured: f64,
    expected: f64,
}

impl ResponseRatio {
    fn record(&mut self, measured: f64, expected: f64) {
        // A single response that waited for something else must not decide.
        let measured = measured.clamp(expected / DEVIATION_LIMIT, expected * DEVIATION_LIMIT);
        self.measured += measured - self.measured * RESPONSE_DECAY;
        self.expected += expected - self.expected * RESPONSE_DECAY;
    }

    /// Returns the quotient, mixed with that of the service.
    fn value(&self, service: f64) -> f64 {
        let weight = EXPECTATION_WEIGHT.as_secs_f64();
        (self.measured + weight * service) / (self.expected + weight)
    }
}

/// Performance of a service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePerformance {
    seconds_per_token: ServiceMedian,
    event_interval: ServiceMedian,
    responses: ResponseRatio,
    /// When the last measurement was received.
    received_at: Option<MonoTime>,
}

impl ServicePerformance {
    /// Records the measurement in a loader's status. The time per token starts from this relay's samples, `own`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::engine_status::{EnginePerformance, EngineStatus};
    /// use quillcove_core::relay::performance::ServicePerformance;
    /// use quillcove_core::relay::reading::TokenTimeEstimate;
    ///
    /// let performance = EnginePerformance {
    ///     prefill_rate: 20_000.0,
    ///     event_interval: Duration::from_millis(60),
    ///     longest_pause: Duration::from_millis(300),
    ///     age: Duration::ZERO,
    /// };
    /// let engine = "127.0.0.1:1".parse().unwrap();
    /// let status = EngineStatus { performance: Some(performance), ..EngineStatus::unknown(engine) };
    /// let mut service = ServicePerformance::default();
    /// service.record(&status, &TokenTimeEstimate::default(), Duration::ZERO);
    /// assert!(service.first_event(Duration::ZERO).is_some());
    /// assert!(service.first_event(Duration::from_secs(3)).is_none());
    /// ```
    pub fn record(&mut self, status: &EngineStatus, own: &TokenTimeEstimate, now: MonoTime) {
        let Some(performance) = status.performance.filter(|it| it.age < MEASUREMENT_LIFETIME)
        else {
            return;
        };
        let Some(measured) = EngineFigures::measured(&performance) else {
            return;
        };
        self.seconds_per_token.record(measured.seconds_per_token, own.seconds_per_token());
        self.event_interval.record(measured.event_interval, INITIAL_EVENT_INTERVAL.as_secs_f64());
        self.received_at = Some(now);
    }

    /// Returns the median figures; `None` if no loader has sent a measurement within the last 2 s.
    fn figures(&self, now: MonoTime) -> Option<EngineFigures> {
        let received_at = self.received_at?;
        if now.saturating_sub(received_at) >= MEASUREMENT_LIFETIME {
            return None;
        }
        Some(EngineFigures {
            seconds_per_token: self.seconds_per_token.value?,
            event_interval: self.event_interval.value?,
        })
    }

    /// Returns the figures of an engine that has not been measured: the medians, corrected by this relay's responses.
    /// `None` if no loader has sent a measurement within the last 2 s.
    ///
    /// See [`ServicePerformance::record`] for an example.
    pub fn first_event(&self, now: MonoTime) -> Option<FirstEventFigures> {
        let figures = self.figures(now)?.first_event();
        Some(figures.scaled_by(self.responses.value(1.0)))
    }

    /// Returns whether a loader has sent a measurement within the last 2 s.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::performance::ServicePerformance;
    ///
    /// assert!(!ServicePerformance::default().is_measured(Duration::ZERO));
    /// ```
    pub fn is_measured(&self, now: MonoTime) -> bool {
        self.figures(now).is_some()
    }
}

/// Performance of one engine as its loader measured it, and the correction by this relay's responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredEngine {
    /// The last measurement and when it was received.
    measurement: Option<(EnginePerformance, MonoTime)>,
    responses: ResponseRatio,
}

impl MeasuredEngine {
    /// Replaces the measurement by that of a newer status. A status without one, as after a restart of the engine, also
    /// ends the correction by responses.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::performance::{MeasuredEngine, ServicePerformance};
    ///
    /// let mut engine = MeasuredEngine::default();
    /// engine.record(None, Duration::ZERO);
    /// let service = ServicePerformance::default();
    /// assert_eq!(engine.longest_pause(900.0, &service, Duration::ZERO), None);
    /// ```
    pub fn record(&mut self, performance: Option<EnginePerformance>, now: MonoTime) {
        self.measurement = performance.map(|performance| (performance, now));
        if performance.is_none() {
            self.responses = ResponseRatio::default();
        }
    }

    /// Returns the measured figures, limited to a factor of the service's; `None` if they are too old.
    fn figures(&self, service: &ServicePerformance, now: MonoTime) -> Option<EngineFigures> {
        let (performance, received_at) = self.measurement?;
        let age = performance.age.saturating_add(now.saturating_sub(received_at));
        if age >= MEASUREMENT_LIFETIME {
            return None;
        }
        let figures = EngineFigures::measured(&performance)?;
        Some(figures.limited_to(&service.figures(now)?))
    }

    /// Returns the parts of the time to a first event by the measurement, without correction.
    fn first_event(
        &self,
        service: &ServicePerformance,
        now: MonoTime,
    ) -> Option<FirstEventFigures> {
        Some(self.figures(service, now)?.first_event())
    }

    /// Returns the parts of the time to a first event, corrected by this relay's responses; `None` without a recent
    /// measurement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::performance::{MeasuredEngine, ServicePerformance};
    ///
    /// let service = ServicePerformance::default();
    /// assert_eq!(MeasuredEngine::default().corrected_first_event(&service, Duration::ZERO), None);
    /// ```
    pub fn corrected_first_event(
        &self,
        service: &ServicePerformance,
        now: MonoTime,
    ) -> Option<FirstEventFigures> {
        let ratio = self.responses.value(service.responses.value(1.0));
        Some(self.first_event(service, now)?.scaled_by(ratio))
    }

    /// Returns the time to first event that a response is later compared with; `None` without a recent measurement, and
    /// for requests with prompts pending before them or with ranks that later requests overtake: their times depend on
    /// the queue, so that an error of its estimate would count as the engine's speed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::performance::{MeasuredEngine, ServicePerformance};
    ///
    /// let service = ServicePerformance::default();
    /// assert_eq!(MeasuredEngine::default().expected_response(900.0, 0.0, 0, &service, Duration::ZERO), None);
    /// ```
    pub fn expected_response(
        &self,
        tokens: f64,
        pending_tokens: f64,
        rank: u8,
        service: &ServicePerformance,
        now: MonoTime,
    ) -> Option<Duration> {
        if pending_tokens > 0.0 || rank > LAST_TIMELY_RANK {
            return None;
        }
        Duration::try_from_secs_f64(self.first_event(service, now)?.time(tokens)).ok()
    }

    /// Records the time to first event of a response and the one that [`Self::expected_response`] returned for it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::performance::{MeasuredEngine, ServicePerformance};
    ///
    /// let (took, expected) = (Duration::from_millis(300), Duration::from_millis(200));
    /// MeasuredEngine::default().record_response(took, expected, &mut ServicePerformance::default());
    /// ```
    pub fn record_response(
        &mut self,
        took: Duration,
        expected: Duration,
        service: &mut ServicePerformance,
    ) {
        let (took, expected) = (took.as_secs_f64(), expected.as_secs_f64());
        self.responses.record(took, expected);
        service.responses.record(took, expected);
    }

    /// Predicts the longest pause between two events of a stream while this many prompt tokens are pending: that by the
    /// figures of the engine or else its service, and at least the longest pause of the last second. `None` if neither
    /// has been measured recently.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::performance::{MeasuredEngine, ServicePerformance};
    ///
    /// let service = ServicePerformance::default();
    /// assert_eq!(MeasuredEngine::default().longest_pause(900.0, &service, Duration::ZERO), None);
    /// ```
    pub fn longest_pause(
        &self,
        pending_tokens: f64,
        service: &ServicePerformance,
        now: MonoTime,
    ) -> Option<Duration> {
        let common = service.figures(now)?;
        let figures = self.figures(service, now).unwrap_or(common);
        let predicted = figures.longest_pause(pending_tokens);
        // A stream lasts longer than a second, in which the load of the last second continues. The age in the message
        // is that of the last prefill and does not concern the pause, which was measured when the status was sent.
        let is_recent = |received_at| now.saturating_sub(received_at) < MEASUREMENT_LIFETIME;
        let measured = self.measurement.filter(|(_, received_at)| is_recent(*received_at));
        let measured = measured.map_or(0.0, |(it, _)| it.longest_pause.as_secs_f64());
        let limit = DEVIATION_LIMIT * common.longest_pause(TOKENS_PER_EVENT);
        Duration::try_from_secs_f64(predicted.max(measured.min(limit))).ok()
    }
}

/// Returns the probability that something expected to take this time takes longer than the limit: a half if both are
/// equal, 1 % to 2 % if the expected time is half of the limit.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::performance::late_probability;
///
/// let limit = Duration::from_millis(400);
/// assert_eq!(late_probability(limit, limit), 0.5);
/// assert!(late_probability(limit / 2, limit) < 0.02);
/// assert_eq!(late_probability(limit, Duration::ZERO), 1.0);
/// ```
pub fn late_probability(expected: Duration, limit: Duration) -> f64 {
    if limit.is_zero() {
        return 1.0;
    }
    let ratio = limit.as_secs_f64() / expected.as_secs_f64();
    1.0 / (1.0 + ratio.powf(LATENESS_STEEPNESS))
}
