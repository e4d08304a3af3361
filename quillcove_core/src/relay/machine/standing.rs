//! Which replicas take a request by what they say of themselves, at its choice and again when it is sent.

use std::time::Duration;

use super::{AttemptOrder, RelayChoice, RelayMachine, RelayQuery, refuse};
use crate::ids::MonoTime;
use crate::relay::replica::{ReplicaState, ReplicaView};
use crate::standing::notice::UpstreamNotice;
use crate::standing::{StandingChange, share_of, spread_return};
use crate::verdict::RefusalReason;

/// Share of the drain time for which a leaving replica is used when no other one is left. Not the whole of it, as the
/// list may have known of its leaving before this process did.
const LAST_RESORT_SHARE: f64 = 0.5;

/// Time over which relays return to a replica that rested, for each relay that is there; each draws its own moment.
/// So 50 relays return within 100 ms at most, fewer than an engine works on at once, also where 420 rested.
const RETURN_SPREAD: Duration = Duration::from_millis(2);

/// Most that a rest is lengthened by.
const MOST_SPREAD: Duration = Duration::from_secs(1);

/// Replicas that may be chosen for a request.
pub(super) enum ReplicaOffer<'a> {
    /// These take work.
    Open(Vec<&'a ReplicaView>),
    /// All others leave, and these do so since too short a time to refuse what nobody else can take.
    LastResort(Vec<&'a ReplicaView>),
    /// All that stay rest; the first of them takes work again then.
    Resting(MonoTime),
    /// There is none.
    None,
}

impl RelayMachine {
    /// Takes what a replica said of itself with an answer to an attempt; gives what became known by it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{AttemptOrder, RelayMachine, RelayRules};
    /// use quillcove_core::relay::replica::example_record;
    /// use quillcove_core::standing::StandingChange;
    /// use quillcove_core::standing::notice::UpstreamNotice;
    ///
    /// let mut machine = RelayMachine::new(RelayRules::default(), 1);
    /// let record = example_record("i-1");
    /// let order = AttemptOrder::to(&record);
    /// machine.list(record, Duration::ZERO);
    /// let notice = UpstreamNotice { is_leaving: true, rest: None, limit: None };
    /// let change = machine.note_said(&order, &notice, Duration::ZERO);
    /// assert_eq!(change, Some(StandingChange::Leaves));
    /// ```
    pub fn note_said(
        &mut self,
        order: &AttemptOrder,
        notice: &UpstreamNotice,
        now: MonoTime,
    ) -> Option<StandingChange> {
        let spread = self.return_spread();
        let before = self.table.get(&order.replica).and_then(|view| view.standing.limit());
        let change = self.table.note_said(&order.replica, order.born, notice, spread, now);
        let after = self.table.get(&order.replica).and_then(|view| view.standing.limit());
        if after != before {
            self.note_limit_news(&order.replica, now);
        }
        if change == Some(StandingChange::Leaves) {
            self.demand.leave_engine(&order.replica);
        }
        if change.is_some() {
            // What it held is wanted elsewhere from now on.
            self.pump(now);
        }
        change
    }

    /// Each relay's own part of the time over which relays return to a replica that rested.
    pub(super) fn return_spread(&mut self) -> Duration {
        let draw = self.draw();
        let longest = (RETURN_SPREAD * self.relays as u32).min(MOST_SPREAD);
        longest.mul_f64(share_of(draw))
    }

    /// Tells whether an attempt may be sent now. Between its choice and this moment a connection was opened or
    /// turned out to be closed, the process was suspended, or the replica said something.
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
        let stays = match order.is_last_resort {
            true => self.is_last_resort(view, received),
            false => view.is_ready(),
        };
        stays && view.record.born == order.born && view.standing.may_write(order.chosen_at, now)
    }

    /// The replicas of a request's service that may be chosen.
    pub(super) fn offer(&self, query: &RelayQuery, now: MonoTime) -> ReplicaOffer<'_> {
        let of_service = || self.table.all().filter(|view| view.record.service == query.service);
        let ready: Vec<&ReplicaView> = of_service().filter(|view| view.is_ready()).collect();
        if ready.is_empty() {
            let last = of_service().filter(|view| {
                self.is_last_resort(view, query.received) && view.standing.takes_work(now)
            });
            let last: Vec<&ReplicaView> = last.collect();
            return match last.is_empty() {
                true => ReplicaOffer::None,
                false => ReplicaOffer::LastResort(last),
            };
        }
        let open: Vec<&ReplicaView> =
            ready.iter().copied().filter(|view| view.takes_work(now)).collect();
        match ready.iter().map(|view| view.standing.takes_work_from(now)).min() {
            Some(soonest) if open.is_empty() => ReplicaOffer::Resting(soonest),
            _ => ReplicaOffer::Open(self.prefer_near(open, query.model.as_deref(), now)),
        }
    }

    /// Tells whether a leaving replica may take a request that was received then, if no other is left.
    fn is_last_resort(&self, view: &ReplicaView, received: MonoTime) -> bool {
        let bound = self.rules.drain_time.mul_f64(LAST_RESORT_SHARE);
        let is_listed = view.record.state == ReplicaState::Ready;
        is_listed && view.leaving_since().is_some_and(|since| received < since + bound)
    }

    /// Refuses a request because all replicas rest. Held until one returns, it would reach it together with all
    /// others that waited; its caller comes back after the first end, each at a moment of its own.
    pub(super) fn refuse_resting(&mut self, until: MonoTime, now: MonoTime) -> RelayChoice {
        let left = spread_return(until.saturating_sub(now), self.draw());
        refuse(RefusalReason::Overloaded, Some(left))
    }
}
