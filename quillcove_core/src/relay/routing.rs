//! Chooses the replica for one attempt by cost.
//!
//! The prompt prefixes of an adapter are cached in the engine that holds it, so the requests of one
//! adapter need no further affinity. Of several holders the one with the lowest cost is chosen; a hop
//! to another hall adds a fixed cost. Where adapter slots are scarce, the cost of a prompt is the expected loss by a late
//! first event or a late pause.

use std::time::Duration;

use super::performance::late_probability;
use super::reading::{PrefillAverages, PrefillPrompt};
use super::replica::ReplicaView;
use crate::ids::{AdapterKey, AdapterVersion, ModelName, MonoTime};
use crate::rendezvous;

/// Cost of a hop to another hall for plain calls, as a share of a replica's request slots. Halls are
/// a millisecond apart, which is the step time that a tenth of a batch adds.
const FAR_LOAD_COST: f64 = 0.1;

/// Cost of a hop to another hall for prompts, as time to the first event. Halls are a millisecond or
/// two apart, and traffic between them is charged.
const FAR_TIME_COST: Duration = Duration::from_millis(20);

/// Cost of a fully occupied engine, as time to the first event: a full batch lengthens every step of
/// the requests in it, and the next request waits for one of them to end.
const FULL_TIME_COST: Duration = Duration::from_millis(400);

/// Cost of a second as a share of a response's value, added to the expected loss: of two engines that are as likely to
/// be on time, the sooner one is chosen. Small enough that 100 ms count as much as one late response in a hundred.
const LOSS_PER_SECOND: f64 = 0.1;

/// Load of an engine at which another copy of its adapter is requested, as a share of its request slots.
pub const COPY_MIN_LOAD: f64 = 0.7;

/// What a replica must have loaded to take a request.
#[derive(Clone, Copy, Debug)]
pub enum LoadedRequirement<'a> {
    /// Nothing.
    Nothing,
    /// A base model.
    Model(&'a ModelName),
    /// An adapter, in this version or a newer one.
    Adapter(&'a AdapterKey, AdapterVersion),
}

impl LoadedRequirement<'_> {
    /// Returns whether a replica meets the requirement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::replica::{ReplicaTable, example_record};
    /// use quillcove_core::relay::routing::LoadedRequirement;
    ///
    /// let mut table = ReplicaTable::default();
    /// table.list(example_record("i-1"), Duration::ZERO);
    /// let view = table.get("i-1").unwrap();
    /// assert!(LoadedRequirement::Model(&"m".to_string()).is_met_by(view, Duration::ZERO));
    /// ```
    pub fn is_met_by(&self, view: &ReplicaView, now: MonoTime) -> bool {
        match self {
            Self::Nothing => true,
            Self::Model(model) => view.models(now).contains(model),
            Self::Adapter(key, min_version) => {
                view.version_of(key, now).is_some_and(|version| version >= *min_version)
            },
        }
    }
}

/// Targets of a streamed response, missing either of which loses its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTargets {
    /// Time left until the first event is late; zero if it is late already.
    pub first_event_in: Duration,
    /// Longest time between two events; `None` where the route sets none.
    pub pause: Option<Duration>,
}

/// Inputs to the cost of a replica for one request.
#[derive(Clone, Copy, Debug)]
pub struct RoutingCost<'a> {
    /// The request's prompt; `None` for plain calls.
    pub prompt: Option<PrefillPrompt>,
    /// Average prefill figures of the service's engines, used where an engine's own are not known well.
    pub norm: &'a PrefillAverages,
    /// Hall of this process.
    pub hall: &'a str,
    /// Targets of the response, by which the cost of a prompt is its expected loss; `None` for the cost in time.
    pub targets: Option<StreamTargets>,
}

impl RoutingCost<'_> {
    /// Returns the cost of a replica: in seconds for a prompt, as a share of the response's value for a
    /// prompt with targets, and as a share of its request slots for a plain call.
    fn of(&self, view: &ReplicaView, now: MonoTime) -> f64 {
        let is_far = view.record.hall != self.hall;
        match self.prompt {
            None => view.load(now) + if is_far { FAR_LOAD_COST } else { 0.0 },
            Some(prompt) => {
                let reading_time = view.reading.time_to_first_event(prompt, self.norm);
                let far_time = if is_far { FAR_TIME_COST.as_secs_f64() } else { 0.0 };
                let time = reading_time.as_secs_f64()
                    + view.utilization(now) * FULL_TIME_COST.as_secs_f64()
                    + far_time;
                match self.targets {
                    None => time,
                    Some(targets) => {
                        let slot_wait = match view.utilization(now) >= 1.0 {
                            true => FULL_TIME_COST,
                            false => Duration::ZERO,
                        };
                        let start = reading_time + slot_wait;
                        let loss = self.expected_loss(view, prompt, start, targets);
                        loss + time * LOSS_PER_SECOND
                    },
                }
            },
        }
    }

    /// Returns the probability that the first event, expected after this time, or a pause is late.
    fn expected_loss(
        &self,
        view: &ReplicaView,
        prompt: PrefillPrompt,
        first_event_in: Duration,
        targets: StreamTargets,
    ) -> f64 {
        let late_start = late_probability(first_event_in, targets.first_event_in);
        let pause = view.reading.longest_pause(prompt, self.norm);
        let late_pause = targets.pause.zip(pause);
        let late_pause = late_pause.map_or(0.0, |(limit, pause)| late_probability(pause, limit));
        1.0 - (1.0 - late_start) * (1.0 - late_pause)
    }
}

/// Number of relays from which on each chooses among a random sample of the candidates.
const SAMPLING_MIN_RELAYS: usize = 16;

/// Number of candidates in the sample.
const SAMPLE_SIZE: usize = 3;

/// Returns the candidates among which a relay chooses: a random sample if there are many relays and
/// candidates, otherwise all. A relay's view of an engine's queue is some hundred milliseconds old; if
/// each of many relays chose the best of all candidates, all would choose the same one within that time.
/// Choosing the best of a small sample spreads them (Mitzenmacher, 2001, "The power of two choices in
/// randomized load balancing").
///
/// ```
/// use quillcove_core::relay::routing::sample;
///
/// assert!(sample(&[], 68, 0).is_empty());
/// ```
pub fn sample<'a>(
    candidates: &[&'a ReplicaView],
    relays: usize,
    draw: u64,
) -> Vec<&'a ReplicaView> {
    let mut sampled = candidates.to_vec();
    if relays >= SAMPLING_MIN_RELAYS && sampled.len() > SAMPLE_SIZE {
        let key = draw.to_string();
        sampled.sort_by_cached_key(|view| rendezvous::weight(&key, &view.record.id));
        sampled.truncate(SAMPLE_SIZE);
    }
    sampled
}

/// Returns the replica with the lowest cost, `None` without candidates. Ties are broken by `draw`.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::relay::reading::PrefillAverages;
/// use quillcove_core::relay::routing::{RoutingCost, choose};
///
/// let norm = PrefillAverages::default();
/// let cost = RoutingCost { prompt: None, norm: &norm, hall: "hall-a", targets: None };
/// assert!(choose(&[], &cost, Duration::ZERO, 0).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a ReplicaView],
    cost: &RoutingCost<'_>,
    now: MonoTime,
    draw: u64,
) -> Option<&'a ReplicaView> {
    let key = draw.to_string();
    let tie_break = |view: &ReplicaView| rendezvous::weight(&key, &view.record.id);
    candidates.iter().copied().min_by(|a, b| {
        let by_cost = cost.of(a, now).total_cmp(&cost.of(b, now));
        by_cost.then_with(|| tie_break(a).cmp(&tie_break(b)))
    })
}
