//! Permits that divide the weight store's load rate among agents.
//!
//! One agent of a site grants the permits; it is chosen by rendezvous hashing among the live agents.
//! Its state is soft: when it is lost, the next agent starts with a full allowance, and when two
//! agents grant permits at the same time, loads are slower for a while. Neither affects safety.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bundle::LoadLimits;
use crate::ids::{HostId, MonoTime};

/// Rendezvous hashing key that chooses the agent which grants permits at a site.
pub const PERMIT_COORDINATOR_KEY: &str = "load-permits";

/// Minimum interval between two requests of a waiting agent.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum rate of permit requests from all agents together, in requests per second.
const MAX_REQUEST_RATE: f64 = 50.0;

/// Lifetime of a request that its agent does not repeat, in request intervals.
const REQUEST_LIFETIME_INTERVALS: u32 = 4;

/// Lifetime of a permit that its agent does not return.
const PERMIT_LIFETIME: Duration = Duration::from_secs(20);

/// Permits that may be granted at once after an idle time; higher rates allow more.
const MIN_BURST: f64 = 1.0;

/// Request of an agent for a permit to load an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Host of the agent.
    pub host: HostId,
    /// Value of the load; higher values are granted first.
    pub value: f64,
}

/// Response to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitResponse {
    /// The agent may start one load.
    Granted,
    /// The agent is to repeat the request after this time.
    Wait(Duration),
}

/// Grants permits in order of value, within a rate and a concurrency limit.
#[derive(Debug)]
pub struct PermitCoordinator {
    limits: LoadLimits,
    allowance: f64,
    refilled: MonoTime,
    requests: BTreeMap<HostId, (f64, MonoTime)>,
    granted: BTreeMap<HostId, MonoTime>,
}

impl PermitCoordinator {
    /// Creates an instance with a full allowance and no permits granted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::{PermitResponse, PermitRequest, PermitCoordinator};
    ///
    /// let mut permits = PermitCoordinator::new(LoadLimits::default(), Duration::ZERO);
    /// let ask = PermitRequest { host: "e1".into(), value: 1.0 };
    /// assert_eq!(permits.request_permit(Duration::ZERO, &ask), PermitResponse::Granted);
    /// ```
    pub fn new(limits: LoadLimits, now: MonoTime) -> Self {
        Self {
            limits,
            allowance: MIN_BURST,
            refilled: now,
            requests: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    /// Applies the limits of a new bundle.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitCoordinator;
    ///
    /// let mut permits = PermitCoordinator::new(LoadLimits::default(), Duration::ZERO);
    /// permits.set_limits(LoadLimits { per_second: 1.0, at_once: 1 });
    /// ```
    pub fn set_limits(&mut self, limits: LoadLimits) {
        self.limits = limits;
    }

    /// Responds to a request. Free permits go to the requests of highest value. A request that has
    /// not been repeated recently has expired, so an unreachable agent does not block others.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::{PermitResponse, PermitRequest, PermitCoordinator};
    ///
    /// let limits = LoadLimits { per_second: 1.0, at_once: 1 };
    /// let mut permits = PermitCoordinator::new(limits, Duration::ZERO);
    /// permits.request_permit(Duration::ZERO, &PermitRequest { host: "e1".into(), value: 1.0 });
    /// let answer = permits.request_permit(Duration::ZERO, &PermitRequest { host: "e2".into(), value: 9.0 });
    /// assert!(matches!(answer, PermitResponse::Wait(_)));
    /// ```
    pub fn request_permit(&mut self, now: MonoTime, ask: &PermitRequest) -> PermitResponse {
        self.refill(now);
        let lifetime = self.request_interval() * REQUEST_LIFETIME_INTERVALS;
        self.requests.retain(|_, (_, received)| now.saturating_sub(*received) < lifetime);
        self.granted.retain(|_, since| now.saturating_sub(*since) < PERMIT_LIFETIME);
        self.granted.remove(&ask.host);
        self.requests.insert(ask.host.clone(), (ask.value, now));
        let ahead = self.requests.values().filter(|(value, _)| *value > ask.value).count();
        if ahead >= self.free_permits() {
            return PermitResponse::Wait(self.request_interval());
        }
        self.allowance -= 1.0;
        self.requests.remove(&ask.host);
        self.granted.insert(ask.host.clone(), now);
        PermitResponse::Granted
    }

    /// Releases the permit of an agent after its load has ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitCoordinator;
    ///
    /// let mut permits = PermitCoordinator::new(LoadLimits::default(), Duration::ZERO);
    /// permits.release_permit("e1");
    /// assert_eq!(permits.permit_count(), 0);
    /// ```
    pub fn release_permit(&mut self, host: &str) {
        self.granted.remove(host);
        self.requests.remove(host);
    }

    /// Returns whether so many agents request permits that each has to wait for the request interval,
    /// which then exceeds one second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitCoordinator;
    ///
    /// assert!(!PermitCoordinator::new(LoadLimits::default(), Duration::ZERO).is_saturated());
    /// ```
    pub fn is_saturated(&self) -> bool {
        self.requests.len() as f64 > MAX_REQUEST_RATE
    }

    /// Returns the number of permits held by agents.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitCoordinator;
    ///
    /// assert_eq!(PermitCoordinator::new(LoadLimits::default(), Duration::ZERO).permit_count(), 0);
    /// ```
    pub fn permit_count(&self) -> usize {
        self.granted.len()
    }

    /// Returns the time until a waiting agent repeats its request; increases with the number of waiting
    /// agents.
    fn request_interval(&self) -> Duration {
        Duration::from_secs_f64(self.requests.len() as f64 / MAX_REQUEST_RATE)
            .max(MIN_REQUEST_INTERVAL)
    }

    fn refill(&mut self, now: MonoTime) {
        let added = now.saturating_sub(self.refilled).as_secs_f64() * self.limits.per_second;
        self.allowance = (self.allowance + added).min(MIN_BURST.max(self.limits.per_second / 2.0));
        self.refilled = now;
    }

    fn free_permits(&self) -> usize {
        let by_count = (self.limits.at_once as usize).saturating_sub(self.granted.len());
        by_count.min(self.allowance as usize)
    }
}
