//! Measures an engine's performance from successive reports: the rate of prefill, the interval between events, and the
//! longest pause between events.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::ids::MonoTime;
use crate::relay::beacon::{EngineReport, EngineRun};
use crate::relay::engine_status::EnginePerformance;

/// Measured time after which a value counts half. Engines change their speed within seconds, and a prompt takes
/// about 100 ms, so that about ten prompts determine the prefill rate.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Least measured time of prefill until the rate counts: a single prompt ends up to a report interval early or late.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(300);

/// Longest time between two reports that are compared. After a longer one, the loader was paused or the engine did
/// not respond, and streams have begun and ended unseen.
const MAX_REPORT_GAP: Duration = Duration::from_secs(1);

/// Time within which the longest pause is reported.
const PAUSE_WINDOW: Duration = Duration::from_secs(1);

/// Time for which the progress of streams is kept: the window and the longest pause that can be seen in it.
const PROGRESS_RETENTION: Duration = Duration::from_secs(4);

/// Progress from one event of a stream to the next, less half a decode step of three: streams that end between two
/// reports are not compared, so that the average may fall short of an event by a little, which would add a whole step.
const PAUSE_PROGRESS: f64 = 5.0 / 6.0;

/// Exponentially decayed quotient of an amount and the seconds that it took.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedRate {
    amount: f64,
    seconds: f64,
}

impl DecayedRate {
    fn record(&mut self, amount: f64, took: Duration) {
        let kept = (-took.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.amount = self.amount * kept + amount;
        self.seconds = self.seconds * kept + took.as_secs_f64();
    }

    /// Returns the time that one unit of the amount takes; `None` before the first unit.
    fn time_per_unit(&self) -> Option<Duration> {
        let seconds = self.seconds / self.amount;
        (self.amount > 0.0).then(|| Duration::try_from_secs_f64(seconds).ok()).flatten()
    }
}

/// The parts of a report that are compared with the next one.
#[derive(Clone, Debug)]
struct ReportSample {
    at: MonoTime,
    runs: HashMap<String, EngineRun>,
    /// Whether a request is being processed that has no event yet.
    is_prefilling: bool,
}

impl ReportSample {
    fn new(report: &EngineReport, now: MonoTime) -> Self {
        Self {
            at: now,
            runs: report.runs.iter().map(|run| (run.id.clone(), run.clone())).collect(),
            is_prefilling: report.runs.iter().any(|run| run.events == 0),
        }
    }

    /// Returns the prompt tokens of the requests that have had their first event since the last report.
    fn prefilled_since(&self, last: &Self) -> u64 {
        let has_ended = |run: &&EngineRun| {
            run.events > 0 && last.runs.get(&run.id).is_none_or(|before| before.events == 0)
        };
        self.runs.values().filter(has_ended).map(|run| run.tokens).sum()
    }

    /// Returns the mean number of events since the last report of the streams that ran all the time; `None` if there
    /// are no such streams.
    fn events_since(&self, last: &Self) -> Option<f64> {
        let (mut streams, mut events) = (0_u32, 0_u64);
        for (id, run) in &self.runs {
            if let Some(before) = last.runs.get(id).filter(|before| before.events > 0) {
                streams += 1;
                events += run.events.saturating_sub(before.events);
            }
        }
        (streams > 0).then(|| events as f64 / f64::from(streams))
    }
}

/// Prompt tokens and the seconds of engine time that they took.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillPart {
    tokens: f64,
    seconds: f64,
}

/// Prefill without interruption.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillSpell {
    /// Seconds of prefill since the last prompt ended.
    seconds: f64,
    /// The prompts that ended first. As their events follow their prefill by some decode steps, they count only when
    /// the spell ends: until then, prefill of other prompts would count as theirs.
    first: Option<PrefillPart>,
}

/// Measures the performance of one engine.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::beacon::{EngineReport, EngineRun};
/// use quillcove_core::relay::loader::PerformanceMeter;
///
/// // A stream has an event every 50 ms. From 500 ms on, a prompt of 2,000 tokens has its first event every 100 ms, in
/// // which the stream has one event, so that half of the time is prefill.
/// let mut meter = PerformanceMeter::default();
/// for step in 0..20_u64 {
///     let prompts = step.saturating_sub(5);
///     let stream = EngineRun { id: "s".into(), tokens: 20, events: 1 + 2 * step - prompts };
///     let prompt = |id: u64| EngineRun {
///         id: id.to_string(),
///         tokens: 2_000,
///         events: prompts.saturating_sub(id),
///     };
///     let unfinished = if step < 5 { 0 } else { prompts + 1 };
///     let runs = std::iter::once(stream).chain((0..unfinished).map(prompt)).collect();
///     let report = EngineReport { runs, ..EngineReport::default() };
///     meter.record(&report, Duration::from_millis(100 * step));
/// }
/// let performance = meter.performance(Duration::from_millis(1_900)).unwrap();
/// assert!((35_000.0..45_000.0).contains(&performance.prefill_rate));
/// assert_eq!(performance.event_interval, Duration::from_millis(50));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PerformanceMeter {
    last: Option<ReportSample>,
    /// Prompt tokens per second of prefill, i.e. of the engine's time without decode steps.
    prefill: DecayedRate,
    /// The prefill that is going on; `None` without one.
    spell: Option<PrefillSpell>,
    /// When `prefill` was last updated.
    measured_at: Option<MonoTime>,
    /// Events of a stream per second while no prompt is unfinished.
    idle_events: DecayedRate,
    /// Number of events that a continuous stream would have had, by time. Averaged over the running streams, which
    /// all take part in each decode step.
    progress: VecDeque<(MonoTime, f64)>,
}

impl PerformanceMeter {
    /// Records a report. A report after a long gap starts the comparison anew.
    ///
    /// See [`PerformanceMeter`] for an example.
    pub fn record(&mut self, report: &EngineReport, now: MonoTime) {
        let sample = ReportSample::new(report, now);
        match self.last.take() {
            Some(last) if now <= last.at => {
                self.last = Some(last);
                return;
            },
            Some(last) if now - last.at <= MAX_REPORT_GAP => self.compare(&last, &sample),
            _ => {
                self.progress.clear();
                self.spell = None;
            },
        }
        self.last = Some(sample);
    }

    fn compare(&mut self, last: &ReportSample, sample: &ReportSample) {
        let tokens = sample.prefilled_since(last);
        let is_prefilling = last.is_prefilling || sample.is_prefilling || tokens > 0;
        let Some(events) = sample.events_since(last) else {
            // Without a stream, the time that decode steps took is unknown.
            self.progress.clear();
            self.spell = None;
            return;
        };
        let took = sample.at - last.at;
        self.record_progress(last.at, sample.at, events);
        if is_prefilling {
            // Until the event interval is known, the time of decode steps would count as prefill.
            if let Some(event_interval) = self.idle_events.time_per_unit() {
                let decoding = events * event_interval.as_secs_f64();
                self.record_prefill(took.as_secs_f64() - decoding, tokens, sample.at);
            }
        } else {
            self.idle_events.record(events, took);
            self.end_spell(sample.at);
        }
    }

    /// Records the mean number of events that streams had between two reports.
    fn record_progress(&mut self, from: MonoTime, now: MonoTime, events: f64) {
        if self.progress.is_empty() {
            self.progress.push_back((from, 0.0));
        }
        let total = self.progress.back().map_or(0.0, |(_, total)| *total) + events;
        self.progress.push_back((now, total));
        while self.progress.front().is_some_and(|(at, _)| now - *at > PROGRESS_RETENTION) {
            self.progress.pop_front();
        }
    }

    /// Records the seconds of prefill between two reports and the tokens of the prompts that ended in them.
    fn record_prefill(&mut self, seconds: f64, tokens: u64, now: MonoTime) {
        let spell = self.spell.get_or_insert_default();
        spell.seconds += seconds;
        if tokens == 0 {
            return;
        }
        let part =
            PrefillPart { tokens: tokens as f64, seconds: std::mem::take(&mut spell.seconds) };
        match spell.first {
            None => spell.first = Some(part),
            Some(_) => self.add_prefill(part, now),
        }
    }

    /// Ends the prefill that went on. Only now all its time and tokens are known.
    fn end_spell(&mut self, now: MonoTime) {
        let Some(spell) = self.spell.take() else {
            return;
        };
        if let Some(first) = spell.first {
            self.add_prefill(PrefillPart { seconds: first.seconds + spell.seconds, ..first }, now);
        }
    }

    fn add_prefill(&mut self, part: PrefillPart, now: MonoTime) {
        // Measured decode steps vary, so that a short prefill may seem to have taken no time.
        let took = Duration::try_from_secs_f64(part.seconds).unwrap_or_default();
        self.prefill.record(part.tokens, took);
        self.measured_at = Some(now);
    }

    /// Returns the performance; `None` until streams were seen without prefill, which shows the event interval, and
    /// 300 ms of prefill were measured after that.
    ///
    /// See [`PerformanceMeter`] for an example.
    pub fn performance(&self, now: MonoTime) -> Option<EnginePerformance> {
        let measured_at = self.measured_at?;
        if self.prefill.seconds < MIN_PREFILL_TIME.as_secs_f64() {
            return None;
        }
        Some(EnginePerformance {
            prefill_rate: (self.prefill.amount / self.prefill.seconds) as f32,
            event_interval: self.idle_events.time_per_unit()?,
            longest_pause: self.longest_pause(now),
            age: now.saturating_sub(measured_at),
        })
    }

    /// Returns the longest time within the last second that a stream took from one event to the next. A pause that has
    /// not ended counts as far as it has lasted.
    fn longest_pause(&self, now: MonoTime) -> Duration {
        let recent = self.progress.iter().enumerate().rev();
        let recent = recent.take_while(|(_, (at, _))| now.saturating_sub(*at) <= PAUSE_WINDOW);
        recent.filter_map(|(index, _)| self.pause_until(index)).max().unwrap_or_default()
    }

    /// Returns the time from an event of a continuous stream to a point of its progress, by which it has had one more;
    /// `None` if the event precedes the known progress.
    fn pause_until(&self, index: usize) -> Option<Duration> {
        let (end, total) = self.progress[index];
        let begun_total = total - PAUSE_PROGRESS;
        let before = (0..index).rev().find(|before| self.progress[*before].1 <= begun_total)?;
        let (from, from_total) = self.progress[before];
        let (to, to_total) = self.progress[before + 1];
        // The next total exceeds `begun_total`, so the divisor is positive.
        let share = (begun_total - from_total) / (to_total - from_total);
        Some(end - (from + (to - from).mul_f64(share)))
    }
}
