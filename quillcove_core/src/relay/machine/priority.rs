//! With which rank a request goes to an engine, and when its first event is expected.

use std::time::Duration;

use super::{RelayMachine, RelayQuery};
use crate::ids::MonoTime;
use crate::relay::policy::PriorityRule;
use crate::relay::reading::{ReadingNumber, ReadingPrompt};

/// Last rank of requests that can be in time; those that can't come behind it.
const LAST_TIMELY_RANK: u8 = 4;

/// Last rank that an engine knows.
const LAST_RANK: u8 = 9;

/// An attempt whose prompt an engine is to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadingStart {
    /// Names the attempt; `None` when the size of its prompt is not known.
    pub number: Option<ReadingNumber>,
    /// Its rank at the engine.
    pub rank: u8,
    /// Time until its first event, when that can be told.
    pub expected: Option<Duration>,
}

impl RelayMachine {
    /// Notes that a request goes to an engine; gives its rank there.
    ///
    /// A request that would miss its aim at the rank of its route goes behind those that can still be
    /// in time: it is late with either rank, and would make others late as well.
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
    ///     age: Duration::ZERO,
    ///     deadline: Duration::from_secs(1),
    ///     looks: 0,
    ///     grant: None,
    ///     identity: None,
    /// };
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// assert_eq!(machine.begin_reading("i-1", &query, Duration::ZERO).rank, 2);
    /// ```
    pub fn begin_reading(
        &mut self,
        replica: &str,
        query: &RelayQuery,
        now: MonoTime,
    ) -> ReadingStart {
        let rank = query.rank().min(LAST_TIMELY_RANK);
        let (Some(view), Some(tokens)) = (self.table.get(replica), query.prompt_tokens) else {
            return ReadingStart { number: None, rank, expected: None };
        };
        let norm = self.table.norm(&query.service);
        let prompt = ReadingPrompt { tokens, rank };
        let timely = view.reading.time_to_read(prompt, &norm);
        let is_late = now + timely > query.due();
        let rank = match self.rules.policy.priority {
            PriorityRule::Feasible if is_late => (rank + LAST_TIMELY_RANK + 1).min(LAST_RANK),
            PriorityRule::Feasible | PriorityRule::Route => rank,
        };
        let prompt = ReadingPrompt { tokens, rank };
        let expected = view.reading.time_to_read(prompt, &norm);
        self.readings += 1;
        self.table.begin_reading(replica, self.readings, prompt, now);
        ReadingStart { number: Some(self.readings), rank, expected: Some(expected) }
    }
}
