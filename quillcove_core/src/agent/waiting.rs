//! Attempts that wait for an adapter or for a place in the upstream.

use std::collections::{BTreeMap, VecDeque};

use crate::adapter::AdapterRef;
use crate::agent::event::{RunOrder, WorkTarget};
use crate::class::WorkClass;
use crate::ids::{AttemptId, MonoTime};
use crate::once::book::OnceKey;

/// One waiting attempt.
#[derive(Clone, Debug)]
pub struct WaitingAttempt {
    /// What was asked.
    pub order: RunOrder,
    /// The claimed right to run once, where the order had a claim.
    pub once: Option<OnceKey>,
    /// Arrival.
    pub since: MonoTime,
}

/// Queues by target, bounded in sum.
#[derive(Clone, Debug, Default)]
pub struct WaitingRoom {
    queues: BTreeMap<WorkTarget, VecDeque<WaitingAttempt>>,
    count: usize,
}

impl WaitingRoom {
    /// Number of waiting attempts.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert_eq!(WaitingRoom::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.count
    }

    /// Tells whether nothing waits.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(WaitingRoom::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds an attempt behind the others of its class.
    ///
    /// ```no_run
    /// # use quillcove_core::agent::waiting::{WaitingAttempt, WaitingRoom};
    /// # fn attempt() -> WaitingAttempt { unimplemented!() }
    /// let mut room = WaitingRoom::default();
    /// room.push(attempt());
    /// ```
    pub fn push(&mut self, attempt: WaitingAttempt) {
        let queue = self.queues.entry(attempt.order.target.clone()).or_default();
        let class = attempt.order.class;
        let place = queue.iter().rposition(|other| other.order.class <= class).map_or(0, |i| i + 1);
        queue.insert(place, attempt);
        self.count += 1;
    }

    /// Takes one attempt out.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(WaitingRoom::default().take(1).is_none());
    /// ```
    pub fn take(&mut self, id: AttemptId) -> Option<WaitingAttempt> {
        let found = |attempt: &WaitingAttempt| attempt.order.attempt == id;
        let target = self.queues.iter().find(|(_, queue)| queue.iter().any(found))?.0.clone();
        let queue = self.queues.get_mut(&target)?;
        let place = queue.iter().position(found)?;
        let attempt = queue.remove(place);
        self.trim(&target);
        attempt
    }

    /// Takes all attempts that a test selects.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(WaitingRoom::default().take_where(|_| true).is_empty());
    /// ```
    pub fn take_where(
        &mut self,
        is_selected: impl Fn(&WaitingAttempt) -> bool,
    ) -> Vec<WaitingAttempt> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            if !queue.iter().any(&is_selected) {
                continue;
            }
            let (selected, kept): (VecDeque<_>, VecDeque<_>) =
                queue.drain(..).partition(|attempt| is_selected(attempt));
            taken.extend(selected);
            *queue = kept;
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.count -= taken.len();
        taken
    }

    /// The first attempt, by class and then arrival, among targets and classes that tests admit.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(WaitingRoom::default().first(|_| true, |_| true).is_none());
    /// ```
    pub fn first(
        &self,
        is_ready: impl Fn(&WorkTarget) -> bool,
        is_admitted: impl Fn(WorkClass) -> bool,
    ) -> Option<AttemptId> {
        let ready = self.queues.iter().filter(|(target, _)| is_ready(target));
        let heads = ready.filter_map(|(_, queue)| queue.front());
        let admitted = heads.filter(|head| is_admitted(head.order.class));
        let first = admitted.min_by_key(|head| (head.order.class, head.since));
        first.map(|head| head.order.attempt)
    }

    /// Batch-class attempts for targets that a test admits.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(WaitingRoom::default().batch_class(|_| true).is_empty());
    /// ```
    pub fn batch_class(&self, is_ready: impl Fn(&WorkTarget) -> bool) -> Vec<&WaitingAttempt> {
        let ready = self.queues.iter().filter(|(target, _)| is_ready(target));
        let attempts = ready.flat_map(|(_, queue)| queue);
        attempts.filter(|attempt| attempt.order.class == WorkClass::Batch).collect()
    }

    /// All of them in the order in which they start where all are ready: by class and then arrival.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(WaitingRoom::default().by_turn().is_empty());
    /// ```
    pub fn by_turn(&self) -> Vec<&WaitingAttempt> {
        let mut all: Vec<&WaitingAttempt> = self.queues.values().flatten().collect();
        all.sort_by_key(|attempt| (attempt.order.class, attempt.since));
        all
    }

    /// Takes the last attempt of the least urgent class, when it is less urgent than the given
    /// one, to make room.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    /// use quillcove_core::class::WorkClass;
    ///
    /// assert!(WaitingRoom::default().take_less_urgent(WorkClass::Urgent).is_none());
    /// ```
    pub fn take_less_urgent(&mut self, class: WorkClass) -> Option<WaitingAttempt> {
        let tails = self.queues.iter().filter_map(|(target, queue)| Some((target, queue.back()?)));
        let last = tails.max_by_key(|(_, tail)| (tail.order.class, tail.since))?;
        if last.1.order.class <= class {
            return None;
        }
        let target = last.0.clone();
        let attempt = self.queues.get_mut(&target)?.pop_back();
        self.trim(&target);
        attempt
    }

    fn trim(&mut self, target: &WorkTarget) {
        self.count -= 1;
        if self.queues.get(target).is_some_and(VecDeque::is_empty) {
            self.queues.remove(target);
        }
    }

    /// Tells whether an attempt waits for the adapter.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert!(!WaitingRoom::default().wants(&AdapterRef::new("shuttle", 1)));
    /// ```
    pub fn wants(&self, adapter: &AdapterRef) -> bool {
        self.queues.contains_key(&WorkTarget::Adapter(adapter.clone()))
    }

    /// Adapters that attempts wait for, each with its queue.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitingRoom;
    ///
    /// assert_eq!(WaitingRoom::default().adapters().count(), 0);
    /// ```
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterRef, &VecDeque<WaitingAttempt>)> {
        self.queues.iter().filter_map(|(target, queue)| match target {
            WorkTarget::Adapter(adapter) => Some((adapter, queue)),
            WorkTarget::Service => None,
        })
    }
}
