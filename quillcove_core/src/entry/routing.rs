//! Choice of the upstream for one attempt.
//!
//! Rendezvous hashing sends the requests of one adapter to the same few engines, so that demand
//! shows itself where it is served and nothing is exchanged to learn it. The load bound (after
//! "Consistent Hashing with Bounded Loads", Mirrokni, Thorup and Zadimoghaddam, 2016) lets an
//! adapter of high demand spill to the next engine in its own rank order, which therefore is the
//! same for all entries.

use std::time::Duration;

use super::event::{EntryRules, RouteRule, RouteTarget};
use super::fleet::UpstreamView;
use crate::ids::{HostId, MonoTime};
use crate::rendezvous;

/// Chooses among candidates; those already tried come last.
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
    let is_fresh = |upstream: &&&UpstreamView| !tried.contains(&upstream.record.host);
    let mut pool: Vec<&UpstreamView> = candidates.iter().filter(is_fresh).copied().collect();
    if pool.is_empty() {
        pool = candidates.to_vec();
    }
    let chosen = match (target, rules.route) {
        (RouteTarget::Owner(_), _) => pool.first().copied(),
        (RouteTarget::Service(_), _) => least_loaded(&pool, now, rules, draw),
        (_, RouteRule::Random) => pick(&pool, draw),
        (_, RouteRule::LeastLoaded) => least_loaded(&pool, now, rules, draw),
        (RouteTarget::Adapter { adapter, .. }, rule) => {
            let bound = match rule {
                RouteRule::BoundedRendezvous => load_bound(&pool, now, rules),
                _ => f64::INFINITY,
            };
            ranked(&pool, &adapter.to_string(), now, rules, bound)
        },
    };
    chosen.map(|upstream| upstream.record.host.clone())
}

fn pick<'a>(pool: &[&'a UpstreamView], draw: u64) -> Option<&'a UpstreamView> {
    let place = draw.checked_rem(pool.len() as u64)?;
    pool.get(place as usize).copied()
}

/// The least loaded one, near halls first; equals are told apart by the draw.
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

/// Load beyond which the next in rank is taken. It never is below one batch's worth of places,
/// because a spill costs a load while there is room.
fn load_bound(pool: &[&UpstreamView], now: MonoTime, rules: &EntryRules) -> f64 {
    let total: f64 = pool.iter().map(|upstream| upstream.load(now, rules.slow_start)).sum();
    let places = pool.iter().map(|upstream| upstream.capacity).max().unwrap_or(0);
    let mean = (total + 1.0) / pool.len().max(1) as f64;
    (mean * rules.load_bound).max(places as f64).max(1.0)
}

/// The first in rank whose load is within the bound, or the least loaded when none is.
fn ranked<'a>(
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

/// Rank from 0 to 1, less the penalty of another hall.
fn rank_of(upstream: &UpstreamView, key: &str, rules: &EntryRules) -> f64 {
    let weight = rendezvous::weight(key, &upstream.record.host) as f64 / u64::MAX as f64;
    let is_far = upstream.record.hall != rules.hall;
    weight - if is_far { rules.far_penalty } else { 0.0 }
}

/// Pause before a repeat: a draw between nothing and a bound that doubles with each attempt.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::entry::routing::retry_pause;
///
/// assert!(retry_pause(1, u64::MAX) <= Duration::from_millis(10));
/// ```
pub fn retry_pause(attempts: u32, draw: u64) -> Duration {
    const FIRST_BOUND: Duration = Duration::from_millis(10);
    let bound = FIRST_BOUND * 2u32.saturating_pow(attempts.saturating_sub(1).min(6));
    bound.mul_f64(draw as f64 / u64::MAX as f64)
}
