//! Queue of attempts that wait for an adapter or for capacity of the upstream.

use std::collections::{BTreeMap, VecDeque};

use crate::adapter::AdapterRef;
use crate::agent::event::{RunOrder, WorkTarget};
use crate::class::WorkClass;
use crate::ids::{AttemptId, MonoTime};
use crate::once::book::OnceKey;

/// A queued attempt.
#[derive(Clone, Debug)]
pub struct WaitingAttempt {
    /// The request to run the attempt.
    pub order: RunOrder,
    /// Key of the run-once claim, if the attempt has one.
    pub once: Option<OnceKey>,
    /// Time of arrival.
    pub arrived_at: MonoTime,
}

/// Waiting attempts, in one queue per target. The agent bounds their total number.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queues: BTreeMap<WorkTarget, VecDeque<WaitingAttempt>>,
    count: usize,
}

impl WaitQueue {
    /// Returns the number of waiting attempts.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert_eq!(WaitQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no attempt waits.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(WaitQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Inserts an attempt behind the others of its class for its target.
    ///
    /// ```no_run
    /// # use quillcove_core::agent::waiting::{WaitingAttempt, WaitQueue};
    /// # fn attempt() -> WaitingAttempt { unimplemented!() }
    /// let mut wait_queue = WaitQueue::default();
    /// wait_queue.push(attempt());
    /// ```
    pub fn push(&mut self, attempt: WaitingAttempt) {
        let queue = self.queues.entry(attempt.order.target.clone()).or_default();
        let class = attempt.order.class;
        let index = queue.iter().rposition(|other| other.order.class <= class).map_or(0, |i| i + 1);
        queue.insert(index, attempt);
        self.count += 1;
    }

    /// Removes and returns one attempt.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(WaitQueue::default().remove(1).is_none());
    /// ```
    pub fn remove(&mut self, id: AttemptId) -> Option<WaitingAttempt> {
        let has_id = |attempt: &WaitingAttempt| attempt.order.attempt == id;
        let target = self.queues.iter().find(|(_, queue)| queue.iter().any(has_id))?.0.clone();
        let queue = self.queues.get_mut(&target)?;
        let index = queue.iter().position(has_id)?;
        let attempt = queue.remove(index);
        self.record_removal(&target);
        attempt
    }

    /// Removes and returns all attempts that `is_selected` accepts.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(WaitQueue::default().remove_where(|_| true).is_empty());
    /// ```
    pub fn remove_where(
        &mut self,
        is_selected: impl Fn(&WaitingAttempt) -> bool,
    ) -> Vec<WaitingAttempt> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            if !queue.iter().any(&is_selected) {
                continue;
            }
            let (selected, remaining): (VecDeque<_>, VecDeque<_>) =
                queue.drain(..).partition(|attempt| is_selected(attempt));
            taken.extend(selected);
            *queue = remaining;
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.count -= taken.len();
        taken
    }

    /// Returns the first attempt, by class and then arrival, among the targets that `is_ready` and
    /// the classes that `is_admitted` accept.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(WaitQueue::default().first_ready(|_| true, |_| true).is_none());
    /// ```
    pub fn first_ready(
        &self,
        is_ready: impl Fn(&WorkTarget) -> bool,
        is_admitted: impl Fn(WorkClass) -> bool,
    ) -> Option<AttemptId> {
        let ready = self.queues.iter().filter(|(target, _)| is_ready(target));
        let heads = ready.filter_map(|(_, queue)| queue.front());
        let admitted = heads.filter(|head| is_admitted(head.order.class));
        let first = admitted.min_by_key(|head| (head.order.class, head.arrived_at));
        first.map(|head| head.order.attempt)
    }

    /// Returns the batch-class attempts whose targets `is_ready` accepts.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(WaitQueue::default().batch_attempts(|_| true).is_empty());
    /// ```
    pub fn batch_attempts(&self, is_ready: impl Fn(&WorkTarget) -> bool) -> Vec<&WaitingAttempt> {
        let ready = self.queues.iter().filter(|(target, _)| is_ready(target));
        let attempts = ready.flat_map(|(_, queue)| queue);
        attempts.filter(|attempt| attempt.order.class == WorkClass::Batch).collect()
    }

    /// Returns all attempts in the order in which they start once their targets are ready: by class
    /// and then arrival.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(WaitQueue::default().in_start_order().is_empty());
    /// ```
    pub fn in_start_order(&self) -> Vec<&WaitingAttempt> {
        let mut all: Vec<&WaitingAttempt> = self.queues.values().flatten().collect();
        all.sort_by_key(|attempt| (attempt.order.class, attempt.arrived_at));
        all
    }

    /// Removes and returns the latest attempt of the least urgent class, if that class is less
    /// urgent than `class`, to free a place in the queue.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    /// use quillcove_core::class::WorkClass;
    ///
    /// assert!(WaitQueue::default().remove_less_urgent(WorkClass::Urgent).is_none());
    /// ```
    pub fn remove_less_urgent(&mut self, class: WorkClass) -> Option<WaitingAttempt> {
        let tails = self.queues.iter().filter_map(|(target, queue)| Some((target, queue.back()?)));
        let last = tails.max_by_key(|(_, tail)| (tail.order.class, tail.arrived_at))?;
        if last.1.order.class <= class {
            return None;
        }
        let target = last.0.clone();
        let attempt = self.queues.get_mut(&target)?.pop_back();
        self.record_removal(&target);
        attempt
    }

    fn record_removal(&mut self, target: &WorkTarget) {
        self.count -= 1;
        if self.queues.get(target).is_some_and(VecDeque::is_empty) {
            self.queues.remove(target);
        }
    }

    /// Returns whether an attempt waits for the adapter.
    ///
    /// ```
    /// use quillcove_core::adapter::AdapterRef;
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert!(!WaitQueue::default().has_waiting(&AdapterRef::new("shuttle", 1)));
    /// ```
    pub fn has_waiting(&self, adapter: &AdapterRef) -> bool {
        self.queues.contains_key(&WorkTarget::Adapter(adapter.clone()))
    }

    /// Iterates over the adapters that attempts wait for, each with its queue.
    ///
    /// ```
    /// use quillcove_core::agent::waiting::WaitQueue;
    ///
    /// assert_eq!(WaitQueue::default().adapter_queues().count(), 0);
    /// ```
    pub fn adapter_queues(&self) -> impl Iterator<Item = (&AdapterRef, &VecDeque<WaitingAttempt>)> {
        self.queues.iter().filter_map(|(target, queue)| match target {
            WorkTarget::Adapter(adapter) => Some((adapter, queue)),
            WorkTarget::Service => None,
        })
    }
}
