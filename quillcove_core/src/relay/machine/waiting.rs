//! Decides whether a request whose adapter no engine holds waits for it or is rejected with a retry delay.

use std::time::Duration;

use super::loading::LoadTarget;
use super::{RelayChoice, RelayMachine, RelayQuery, refuse};
use crate::ids::MonoTime;
use crate::relay::admission::decision::RETRY_DELAY_SHARE;
use crate::relay::admission::returns::EARLY_REJECT_SHARE;
use crate::relay::policy::WaitingRule;
use crate::relay::reading::PrefillPrompt;
use crate::verdict::{RefusalReason, SHORT_RETRY_DELAY};

/// Time from the arrival of a request at an engine to its first event while the batch is not full:
/// the prefill of a typical prompt and two decoding steps.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);

/// Multiple of a route's target latency for which a request keeps waiting when the load of its
/// adapter takes longer than estimated.
const LATE_LOAD_FACTOR: f64 = 2.0;

/// Added to the estimated load time in the retry delay sent to callers: the time until the report of
/// the finished load reaches this relay.
const REPORT_DELAY: Duration = Duration::from_millis(80);

/// Time from the start of the process within which all loaders have reported to it: they learn of
/// the process with the first read of the membership list.
pub(super) const FIRST_REPORTS_TIME: Duration = Duration::from_millis(500);

/// Retry delay for a caller that another relay can serve at once.
const OTHER_RELAY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a request that waits for an adapter checks whether its load request has to be
/// sent again.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(80);

impl RelayMachine {
    /// Decides on a request whose adapter no engine holds: waits if the adapter will be loaded in time,
    /// otherwise rejects the request at once with a retry delay.
    pub(super) fn wait_or_refuse(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        match self.rules.policy.waiting {
            WaitingRule::Returned if query.is_retry() => self.await_while_servable(query, now),
            WaitingRule::Servable => self.await_while_servable(query, now),
            WaitingRule::Returned | WaitingRule::Aim => self.await_within_target(query, now),
        }
    }

    /// Waits as long as the adapter can be loaded and the first event sent before the caller leaves;
    /// otherwise rejects the request at once.
    pub(super) fn await_while_servable(
        &mut self,
        query: &RelayQuery,
        now: MonoTime,
    ) -> RelayChoice {
        let abandon_at = query.abandon_at();
        let ready_at = self.request_load(query, abandon_at, LoadTarget::Home, now);
        let reading = self.shortest_reading_time(query, now);
        let is_servable = ready_at.is_some_and(|at| at + reading <= abandon_at);
        if is_servable && (self.has_engine_reports(&query.service, now) || now < FIRST_REPORTS_TIME)
        {
            return RelayChoice::Wait((now + LOAD_CHECK_INTERVAL).min(abandon_at));
        }
        self.refuse_unready(query, ready_at, now)
    }

    /// Returns the shortest time to a request's first event over the engines that may load its adapter.
    pub(super) fn shortest_reading_time(&self, query: &RelayQuery, now: MonoTime) -> Duration {
        let rank = query.rank();
        let prompt = PrefillPrompt { tokens: query.prompt_tokens.unwrap_or(0), rank };
        let norm = self.prefill_averages(&query.service, now);
        let engines = self.loading_engines(query);
        let times = engines.map(|view| view.reading.time_to_first_event(prompt, &norm));
        times.min().unwrap_or(Duration::ZERO)
    }

    /// Waits for an adapter that will be loaded within the target latency. Waits longer only if the load
    /// became late after the time for an early rejection had passed.
    pub(super) fn await_within_target(&mut self, query: &RelayQuery, now: MonoTime) -> RelayChoice {
        let target_latency = query.route.aim;
        let decide_by = query.received + target_latency.mul_f64(EARLY_REJECT_SHARE);
        let give_up =
            (query.received + target_latency.mul_f64(LATE_LOAD_FACTOR)).min(query.deadline);
        let ready_at = self.request_load(query, give_up, LoadTarget::Home, now);
        let is_in_time =
            ready_at.is_some_and(|at| at + FIRST_EVENT_TIME <= query.received + target_latency);
        if is_in_time {
            return RelayChoice::Wait((now + LOAD_CHECK_INTERVAL).min(give_up));
        }
        // Once a request has been held beyond the time for a useful rejection, a late answer is
        // worth more to its caller than none.
        if now > decide_by && now < give_up {
            return RelayChoice::Wait((now + LOAD_CHECK_INTERVAL).min(give_up));
        }
        self.refuse_unready(query, ready_at, now)
    }

    /// Rejects a request whose adapter will be loaded too late; the retry delay lasts until it is loaded.
    pub(super) fn refuse_unready(
        &mut self,
        query: &RelayQuery,
        ready_at: Option<MonoTime>,
        now: MonoTime,
    ) -> RelayChoice {
        let target_latency = query.route.aim;
        let retry_after = match self.has_engine_reports(&query.service, now)
            || now < FIRST_REPORTS_TIME
        {
            true => ready_at.map_or(SHORT_RETRY_DELAY, |at| at.saturating_sub(now) + REPORT_DELAY),
            // This relay has no contact with the loaders; the caller's retry reaches another relay.
            false => OTHER_RELAY_DELAY,
        };
        let retry_after =
            retry_after.min((query.deadline.saturating_sub(now)).mul_f64(RETRY_DELAY_SHARE));
        self.request_load(query, now + retry_after + target_latency, LoadTarget::Home, now);
        if let Some(key) = &query.adapter {
            self.promises.record_estimate(key, now + retry_after);
        }
        refuse(RefusalReason::DeadlineTooShort, Some(retry_after))
    }

    /// Returns whether the loader of any engine of a service has reported recently.
    pub(super) fn has_engine_reports(&self, service: &str, now: MonoTime) -> bool {
        self.ready_engines(service).any(|view| view.report(now).is_some())
    }
}
