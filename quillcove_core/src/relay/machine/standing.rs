//! Selects the replicas that accept a request by their upstream status, when it is routed and again when it is sent.

use std::time::Duration;

use super::{AttemptOrder, RelayChoice, RelayMachine, RelayQuery, refuse};
use crate::ids::MonoTime;
use crate::relay::replica::{ReplicaState, ReplicaView};
use crate::standing::notice::UpstreamNotice;
use crate::standing::{UpstreamStatusChange, share_of, spread_return};
use crate::verdict::RefusalReason;

/// Share of the drain time for which a draining replica is used if no other one is left. Less than the whole, as the
/// platform may have listed the replica as draining before this process learned of it.
const LAST_RESORT_SHARE: f64 = 0.5;

/// Time, per known relay, over which the relays return to a replica after a requested pause, each at a random moment.
/// Thus at most 50 relays return within 100 ms, fewer than an engine processes at once, even if 420 have paused.
const RETURN_SPREAD: Duration = Duration::from_millis(2);

/// Maximum time by which a requested pause is extended.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Replicas that may be chosen for a request.
pub(super) enum EligibleReplicas<'a> {
    /// Replicas that accept requests.
    Open(Vec<&'a ReplicaView>),
    /// All replicas are draining; these began so recently that they still serve what no other replica can.
    LastResort(Vec<&'a ReplicaView>),
    /// No remaining replica accepts requests now, because of requested pauses or rate limits; the first one does at this
    /// time.
    AvailableAt(MonoTime),
    /// No replica is left.
    None,
}

impl RelayMachine {
    /// Records the upstream status that a replica reported with its response to an attempt; returns the change, if any.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    /// use quillcove_core::standing::UpstreamStatusChange;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let record = example_record("i-1");
    /// let order = AttemptOrder::to(&record);
    /// machine.list(record, Duration::ZERO);
    /// let notice = UpstreamNotice { is_leaving: true, rest: None, limit: None };
    /// let change = machine.record_notice(&order, &notice, Duration::ZERO);
    /// assert_eq!(change, Some(UpstreamStatusChange::Leaves));
    /// ```
    pub fn record_notice(
        &mut self,
        order: &AttemptOrder,
        notice: &UpstreamNotice,
        now: MonoTime,
    ) -> Option<UpstreamStatusChange> {
        let spread = self.return_spread();
        let previous = self.table.get(&order.replica).and_then(|view| view.standing.limit());
        let change =
            self.table.record_notice(&order.replica, order.start_time, notice, spread, now);
        let current = self.table.get(&order.replica).and_then(|view| view.standing.limit());
        if current != previous {
            self.record_limit_change(&order.replica, now);
        }
        if change == Some(UpstreamStatusChange::Leaves) {
            self.demand.leave_engine(&order.replica);
        }
        if change.is_some() {
            // Adapters that the replica held have to be loaded elsewhere from now on.
            self.send_load_requests(now);
        }
        change
    }

    /// Returns a random share of the time over which the relays return to a replica after a requested pause.
    pub(super) fn return_spread(&mut self) -> Duration {
        let draw = self.draw();
        let longest = (RETURN_SPREAD * self.relays as u32).min(MAX_RETURN_SPREAD);
        longest.mul_f64(share_of(draw))
    }

    /// Returns whether an attempt may still be sent. Since the replica was chosen, time has passed to open a connection
    /// or to find one closed, the process may have been suspended, or the replica may have reported a new status.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let record = example_record("i-1");
    /// let order = AttemptOrder::to(&record);
    /// assert!(!machine.may_send(&order, Duration::ZERO, Duration::ZERO), "it is not listed");
    /// machine.list(record, Duration::ZERO);
    /// assert!(machine.may_send(&order, Duration::ZERO, Duration::ZERO));
    /// ```
    pub fn may_send(&self, order: &AttemptOrder, received: MonoTime, now: MonoTime) -> bool {
        let Some(view) = self.table.get(&order.replica) else {
            return false;
        };
        let is_usable = match order.is_last_resort {
            true => self.is_last_resort(view, received),
            false => view.is_ready(),
        };
        is_usable
            && view.record.born == order.start_time
            && view.standing.may_write(order.chosen_at, now)
    }

    /// Returns the replicas of a request's service that may be chosen.
    pub(super) fn eligible_replicas(
        &self,
        query: &RelayQuery,
        now: MonoTime,
    ) -> EligibleReplicas<'_> {
        let of_service = || self.table.all().filter(|view| query.admits(&view.record));
        let ready: Vec<&ReplicaView> = of_service().filter(|view| view.is_ready()).collect();
        if ready.is_empty() {
            let last_resort = of_service().filter(|view| {
                self.is_last_resort(view, query.received) && view.standing.takes_work(now)
            });
            let last_resort: Vec<&ReplicaView> = last_resort.collect();
            return match last_resort.is_empty() {
                true => EligibleReplicas::None,
                false => EligibleReplicas::LastResort(last_resort),
            };
        }
        let unreachable = self.unreachable_engines(&query.service, now);
        let is_reachable = |view: &&ReplicaView| !unreachable.contains(&view.record.id.as_str());
        let ready: Vec<&ReplicaView> = ready.into_iter().filter(is_reachable).collect();
        let open: Vec<&ReplicaView> =
            ready.iter().copied().filter(|view| view.takes_work(now)).collect();
        match ready.iter().map(|view| view.standing.next_request_time(now)).min() {
            Some(soonest) if open.is_empty() => EligibleReplicas::AvailableAt(soonest),
            _ => EligibleReplicas::Open(self.prefer_near(open, query.model.as_deref(), now)),
        }
    }

    /// Returns whether a draining replica may take a request received at the given time if no other is left.
    fn is_last_resort(&self, view: &ReplicaView, received: MonoTime) -> bool {
        let bound = self.rules.drain_time.mul_f64(LAST_RESORT_SHARE);
        let is_listed = view.record.state == ReplicaState::Ready;
        is_listed && view.leaving_since().is_some_and(|since| received < since + bound)
    }

    /// Rejects a request because no replica accepts requests before `until`. If requests were held until then, all
    /// would reach the replica at once; instead each caller gets its own random retry delay, which ends no earlier.
    pub(super) fn refuse_until(&mut self, until: MonoTime, now: MonoTime) -> RelayChoice {
        let left = spread_return(until.saturating_sub(now), self.draw());
        refuse(RefusalReason::Overloaded, Some(left))
    }
}
