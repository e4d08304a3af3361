//! Chooses the upstream for one attempt.
//!
//! Rendezvous hashing sends the requests for one adapter to the same few engines, so that their
//! agents see the demand for it and entries need not exchange it. The load bound (after "Consistent
//! Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, 2016) makes an adapter of high
//! demand spill over to the next engine in the adapter's own rank order, which is the same for all
//! entries.

use std::time::Duration;

use super::event::{EntryRules, RouteRule, RouteTarget};
use super::fleet::UpstreamView;
use crate::ids::{HostId, MonoTime};
use crate::rendezvous;

/// Chooses one of the candidates. Hosts in `tried` are chosen only if there are no others.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::entry::event::{EntryRules, RouteTarget};
/// use quillcove_core::entry::routing::choose;
///
/// let target = RouteTarget::Service("booking".into());
/// assert_eq!(choose(&[], &target, &[], Duration::ZERO, &EntryRules::default(), 0), None);
/// ```
pub fn choose(
    candidates: &[&UpstreamView],
    target: &RouteTarget,
    tried: &[HostId],
    now: MonoTime,
    rules: &EntryRules,
    draw: u64,
) -> Option<HostId> {
    let is_untried = |upstream: &&&UpstreamView| !tried.contains(&upstream.record.host);
    let mut pool: Vec<&UpstreamView> = candidates.iter().filter(is_untried).copied().collect();
    if pool.is_empty() {
        pool = candidates.to_vec();
    }
    let chosen = match (target, rules.route) {
        (RouteTarget::Owner(_), _) => pool.first().copied(),
        (RouteTarget::Service(_), _) => least_loaded(&pool, now, rules, draw),
        (_, RouteRule::Random) => choose_random(&pool, draw),
        (_, RouteRule::LeastLoaded) => least_loaded(&pool, now, rules, draw),
        (RouteTarget::Adapter { adapter, .. }, rule) => {
            let bound = match rule {
                RouteRule::BoundedRendezvous => load_bound(&pool, now, rules),
                _ => f64::INFINITY,
            };
            first_within_bound(&pool, &adapter.to_string(), now, rules, bound)
        },
    };
    chosen.map(|upstream| upstream.record.host.clone())
}

fn choose_random<'a>(pool: &[&'a UpstreamView], draw: u64) -> Option<&'a UpstreamView> {
    let index = draw.checked_rem(pool.len() as u64)?;
    pool.get(index as usize).copied()
}

/// Returns the upstream with the lowest load, where far ones count as one request more. Ties are
/// broken at random by `draw`.
fn least_loaded<'a>(
    pool: &[&'a UpstreamView],
    now: MonoTime,
    rules: &EntryRules,
    draw: u64,
) -> Option<&'a UpstreamView> {
    let key = draw.to_string();
    let rank = |upstream: &UpstreamView| {
        let is_far = upstream.record.hall != rules.hall;
        upstream.load(now, rules.slow_start) + f64::from(u8::from(is_far))
    };
    pool.iter().copied().min_by(|a, b| {
        let tie = || {
            let weigh = |upstream: &UpstreamView| rendezvous::weight(&key, &upstream.record.host);
            weigh(a).cmp(&weigh(b))
        };
        rank(a).total_cmp(&rank(b)).then_with(tie)
    })
}

/// Returns the load from which the next upstream in rank is chosen. It is at least the capacity of
/// one batch, because another engine would have to load the adapter although the first still has
/// free batch slots.
fn load_bound(pool: &[&UpstreamView], now: MonoTime, rules: &EntryRules) -> f64 {
    let total: f64 = pool.iter().map(|upstream| upstream.load(now, rules.slow_start)).sum();
    let largest_capacity = pool.iter().map(|upstream| upstream.capacity).max().unwrap_or(0);
    let mean = (total + 1.0) / pool.len().max(1) as f64;
    (mean * rules.load_bound).max(largest_capacity as f64).max(1.0)
}

/// Returns the highest-ranked upstream whose load is below the bound, or the one with the lowest
/// load if there is none.
fn first_within_bound<'a>(
    pool: &[&'a UpstreamView],
    key: &str,
    now: MonoTime,
    rules: &EntryRules,
    bound: f64,
) -> Option<&'a UpstreamView> {
    let mut ranked: Vec<&UpstreamView> = pool.to_vec();
    ranked.sort_by(|a, b| rank_of(b, key, rules).total_cmp(&rank_of(a, key, rules)));
    let load = |upstream: &UpstreamView| upstream.load(now, rules.slow_start);
    let within = ranked.iter().copied().find(|upstream| load(upstream) < bound);
    within.or_else(|| ranked.into_iter().min_by(|a, b| load(a).total_cmp(&load(b))))
}

/// Returns the rank from 0 to 1, reduced by the penalty for a far host.
fn rank_of(upstream: &UpstreamView, key: &str, rules: &EntryRules) -> f64 {
    let weight = rendezvous::weight(key, &upstream.record.host) as f64 / u64::MAX as f64;
    let is_far = upstream.record.hall != rules.hall;
    weight - if is_far { rules.far_penalty } else { 0.0 }
}

/// Returns the backoff before a retry: a random time between zero and a bound that starts at 10 ms
/// and doubles with each attempt up to 640 ms.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::entry::routing::retry_backoff;
///
/// assert!(retry_backoff(1, u64::MAX) <= Duration::from_millis(10));
/// ```
pub fn retry_backoff(attempts: u32, draw: u64) -> Duration {
    const FIRST_BOUND: Duration = Duration::from_millis(10);
    let bound = FIRST_BOUND * 2u32.saturating_pow(attempts.saturating_sub(1).min(6));
    bound.mul_f64(draw as f64 / u64::MAX as f64)
}
