//! Assigns the priority rank of a request at its engine and estimates the time to its first event.

use std::time::Duration;

use super::{RelayMachine, RelayQuery};
use crate::ids::MonoTime;
use crate::relay::admission::decision::{AdmissionCase, AdmissionStep};
use crate::relay::policy::PriorityRule;
use crate::relay::reading::{LAST_TIMELY_RANK, PrefillPrompt, ReadingNumber};

/// Last rank that engines accept.
const LAST_RANK: u8 = 9;

/// An attempt whose prompt is queued at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadingStart {
    /// Number of the attempt; `None` if the size of its prompt or the engine is unknown.
    pub number: Option<ReadingNumber>,
    /// Priority rank at the engine, 0 first.
    pub rank: u8,
    /// Estimated time until the first event; `None` if it is unknown, as `number` is.
    pub expected: Option<Duration>,
    /// The admission decision; `None` where the rules for scarce adapter slots do not apply.
    pub admission: Option<AdmissionStep>,
    /// Predicted longest pause between two events; `None` where it is not predicted.
    pub expected_pause: Option<Duration>,
}

impl RelayMachine {
    /// Records that a request is sent to an engine and returns its rank there.
    ///
    /// A request that would miss its target latency at its own rank is ranked after those that
    /// can still meet theirs: it is late with either rank, and would make others late as well.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayMachine, RelayQuery, RelayRules};
    /// use quillcove_core::route::{RouteKind, RouteRecord};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Stream,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 2,
    ///     attempt_limit: 1,
    ///     target_gap: None,
    ///     is_public: true,
    ///     targets: Vec::new(),
    /// };
    /// let query = RelayQuery {
    ///     route: Arc::new(route),
    ///     service: "s".into(),
    ///     model: Some("m".into()),
    ///     adapter: None,
    ///     prompt_tokens: None,
    ///     received: Duration::ZERO,
    ///     since_first_attempt: Duration::ZERO,
    ///     deadline: Duration::from_secs(1),
    ///     choice_count: 0,
    ///     grant: None,
    ///     identity: None,
    ///     parts: Vec::new(),
    ///     origin: None,
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.begin_prefill("i-1", &query, Duration::ZERO).rank, 2);
    /// ```
    pub fn begin_prefill(
        &mut self,
        replica: &str,
        query: &RelayQuery,
        now: MonoTime,
    ) -> ReadingStart {
        let rank = query.rank().min(LAST_TIMELY_RANK);
        let draw = if self.is_contended(&query.service) { self.draw_fraction() } else { 0.0 };
        let (Some(view), Some(tokens)) = (self.table.get(replica), query.prompt_tokens) else {
            return ReadingStart {
                number: None,
                rank,
                expected: None,
                admission: None,
                expected_pause: None,
            };
        };
        let norm = self.prefill_averages(&query.service, now);
        let prompt = PrefillPrompt { tokens, rank };
        let reading_time = view.reading.time_to_first_event(prompt, &norm);
        let admission = self.admission_case(replica, query, true, now);
        let admission = admission.map(|case| AdmissionCase { draw, ..case }.decide());
        let is_late = match admission {
            Some(step) => step != AdmissionStep::Timely,
            None => now + reading_time > query.due(),
        };
        let rank = match self.rules.policy.priority {
            PriorityRule::Feasible if is_late => (rank + LAST_TIMELY_RANK + 1).min(LAST_RANK),
            PriorityRule::Feasible | PriorityRule::Route => rank,
        };
        let prompt = PrefillPrompt { tokens, rank };
        let expected = view.reading.time_to_first_event(prompt, &norm);
        let expected_pause = view.reading.longest_pause(prompt, &norm);
        if let Some(step) = &admission {
            self.record_demand(query);
            self.count_admission(step.label());
        }
        self.last_reading += 1;
        self.table.begin_reading(replica, self.last_reading, prompt, now);
        ReadingStart {
            number: Some(self.last_reading),
            rank,
            expected: Some(expected),
            admission,
            expected_pause,
        }
    }
}
