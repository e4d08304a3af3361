//! Chooses the next step of a request: send it to a replica, wait for its adapter to load, or reject it.

use super::standing::EligibleReplicas;
use super::{AttemptOrder, RelayChoice, RelayMachine, RelayQuery, refuse};
use crate::crash::book::FORGET_TIME;
use crate::ids::{AdapterKey, AdapterVersion, MonoTime, ReplicaId};
use crate::relay::policy::RoutingRule;
use crate::relay::reading::PrefillPrompt;
use crate::relay::replica::ReplicaView;
use crate::relay::routing::{self, LoadedRequirement, RoutingCost};
use crate::verdict::{RefusalReason, SHORT_RETRY_DELAY, WorkRefusal};

impl RelayMachine {
    /// Returns the lowest version of an adapter on which a request may start now.
    fn min_version(&self, key: &AdapterKey, now: MonoTime) -> AdapterVersion {
        match self.versions.get(key) {
            Some((version, strict_from)) if now >= *strict_from => *version,
            _ => 0,
        }
    }

    /// Chooses the next step of a request, excluding the replicas in `tried`.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// use quillcove_core::relay::machine::{RelayChoice, RelayMachine, RelayQuery, RelayRules};
    /// use quillcove_core::route::{RouteKind, RouteRecord};
    ///
    /// let route = RouteRecord {
    ///     name: "r".into(),
    ///     host: "a.example".into(),
    ///     prefix: "/".into(),
    ///     kind: RouteKind::Safe,
    ///     timeout: Duration::from_secs(1),
    ///     aim: Duration::from_millis(100),
    ///     patience: None,
    ///     priority: 0,
    ///     attempt_limit: 1,
    ///     target_gap: None,
    ///     is_public: true,
    ///     targets: Vec::new(),
    /// };
    /// let query = RelayQuery {
    ///     route: Arc::new(route),
    ///     service: "s".into(),
    ///     model: None,
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
    /// let choice = machine.choose(&query, &[], Duration::ZERO);
    /// assert!(matches!(choice, RelayChoice::Refuse(_)));
    /// ```
    pub fn choose(
        &mut self,
        query: &RelayQuery,
        tried: &[ReplicaId],
        now: MonoTime,
    ) -> RelayChoice {
        if now >= query.deadline {
            return refuse(RefusalReason::DeadlinePassed, None);
        }
        if self.is_revoked(query) {
            return refuse(RefusalReason::KeyUnknown, None);
        }
        if self.is_rejected_as_fatal(query, tried.is_empty(), now) {
            return refuse(RefusalReason::EndsUpstreams, Some(FORGET_TIME));
        }
        let draw = self.draw();
        let (eligible, is_last_resort) = match self.eligible_replicas(query, now) {
            EligibleReplicas::Open(open) => (open, false),
            EligibleReplicas::LastResort(leaving) => (leaving, true),
            EligibleReplicas::AvailableAt(until) => return self.refuse_until(until, now),
            EligibleReplicas::None if query.origin.is_some() => {
                return refuse(RefusalReason::OriginGone, None);
            },
            EligibleReplicas::None => {
                return refuse(RefusalReason::NoUpstream, Some(SHORT_RETRY_DELAY));
            },
        };
        let limit = self.connection_limit(&query.service);
        let has_connection =
            |view: &&ReplicaView| (view.in_flight as usize) < self.connection_share(limit, view);
        let open: Vec<&ReplicaView> = eligible.into_iter().filter(has_connection).collect();
        if open.is_empty() {
            return RelayChoice::Refuse(WorkRefusal::overloaded());
        }
        let candidates = prefer_healthy(&open, now);
        let need = self.need_of(query, now);
        let holds = |view: &&&ReplicaView| need.is_met_by(view, now);
        let mut holders: Vec<&ReplicaView> = candidates.iter().filter(holds).copied().collect();
        if holders.is_empty() {
            holders = self.far_holders(query, now);
        }
        let is_untried = |view: &&&ReplicaView| !tried.contains(&view.record.id);
        let mut untried: Vec<&ReplicaView> = holders.iter().filter(is_untried).copied().collect();
        if untried.is_empty() && !holders.is_empty() {
            // A replica whose entry is merely unconfirmed is better than a rejection, and so is one that seems unwell
            // for a stream that only few replicas may go on with.
            let is_acceptable =
                |view: &&&ReplicaView| view.is_unconfirmed() || query.origin.is_some();
            let others = open.iter().filter(is_acceptable);
            untried = others.filter(holds).filter(is_untried).copied().collect();
        }
        let current = self.prefer_newest(query, &untried, now);
        let norm = self.prefill_averages(&query.service, now);
        let cost = RoutingCost {
            prompt: self.routing_prompt(query),
            norm: &norm,
            hall: &self.rules.hall,
            targets: self.stream_targets(query, now),
        };
        let sampled = routing::sample(&current, self.relays, draw);
        let overdue = current.iter().find(|view| view.standing.is_limit_overdue(now)).copied();
        match overdue.or_else(|| routing::choose(&sampled, &cost, now, draw)) {
            Some(view) => {
                let order = AttemptOrder {
                    is_last_resort,
                    chosen_at: now,
                    ..AttemptOrder::to(&view.record)
                };
                // Demand for another copy counts even if this request is rejected.
                self.request_copy(query, &order.replica, now);
                match self.admission_step(query, &order.replica, tried, now) {
                    Some(refusal) => RelayChoice::Refuse(refusal),
                    None => RelayChoice::Send(order),
                }
            },
            None if holders.is_empty() && self.is_load_fatal(query, now) => {
                refuse(RefusalReason::EndsUpstreams, Some(FORGET_TIME))
            },
            None if query.adapter.is_some() && holders.is_empty() => {
                self.wait_or_refuse(query, now)
            },
            None => refuse(RefusalReason::NoUpstream, Some(SHORT_RETRY_DELAY)),
        }
    }

    /// Returns the prompt that the cost of replicas depends on; `None` under a rule that ignores prompts.
    fn routing_prompt(&self, query: &RelayQuery) -> Option<PrefillPrompt> {
        match self.rules.policy.routing {
            RoutingRule::Reading => {
                let rank = query.rank();
                query.prompt_tokens.map(|tokens| PrefillPrompt { tokens, rank })
            },
            RoutingRule::Places => None,
        }
    }

    /// Returns the number of connections that a replica of a service accepts from all relays together.
    fn connection_limit(&self, service: &str) -> usize {
        let record = self.sheet.as_ref().and_then(|sheet| sheet.service(service));
        record.map_or(usize::MAX, |service| service.connection_limit)
    }

    /// Returns the number of connections that this relay may have to a replica: an even share of what the replica
    /// accepts, with one share left for relays that are not known yet. With more relays than connections, only the
    /// relays that rank first for the replica have one each.
    fn connection_share(&self, limit: usize, view: &ReplicaView) -> usize {
        match limit / (self.relays + 1) {
            0 => usize::from(self.peers.rank(&view.record.id) < limit),
            share => share,
        }
    }

    /// Narrows the holders of an adapter to those with its newest version, if there are any.
    fn prefer_newest<'a>(
        &self,
        query: &RelayQuery,
        holders: &[&'a ReplicaView],
        now: MonoTime,
    ) -> Vec<&'a ReplicaView> {
        let newest = query.adapter.as_ref().and_then(|key| Some((key, self.newest(key)?)));
        let Some((key, version)) = newest else {
            return holders.to_vec();
        };
        let need = LoadedRequirement::Adapter(key, version);
        let current: Vec<&ReplicaView> =
            holders.iter().filter(|view| need.is_met_by(view, now)).copied().collect();
        match current.is_empty() {
            true => holders.to_vec(),
            false => current,
        }
    }

    /// Returns what a replica must have loaded to take a request.
    pub(super) fn need_of<'a>(
        &self,
        query: &'a RelayQuery,
        now: MonoTime,
    ) -> LoadedRequirement<'a> {
        match (&query.adapter, &query.model) {
            (Some(key), _) => LoadedRequirement::Adapter(key, self.min_version(key, now)),
            (None, Some(model)) => LoadedRequirement::Model(model),
            (None, None) => LoadedRequirement::Nothing,
        }
    }
}

/// Returns the replicas that seem healthy, or all of them if these are less than half, because then the
/// fault may be in this relay.
fn prefer_healthy<'a>(ready: &[&'a ReplicaView], now: MonoTime) -> Vec<&'a ReplicaView> {
    let healthy: Vec<&ReplicaView> =
        ready.iter().filter(|view| view.seems_well(now)).copied().collect();
    match healthy.len() * 2 < ready.len() {
        true => ready.to_vec(),
        false => healthy,
    }
}
