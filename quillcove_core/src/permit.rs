//! Sharing the weight store's rate between agents.
//!
//! One agent of a site keeps the permits, chosen by rendezvous hashing among the live ones. Its
//! state is soft: when it is lost, the next one starts with a full allowance; when two keep
//! permits at the same time, loads are slower for a while. Neither touches safety.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::bundle::LoadLimits;
use crate::ids::{HostId, MonoTime};

/// Key under which the keeper of a site is chosen.
pub const KEEPER_KEY: &str = "load-permits";

/// How soon an agent asks again when few do.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Asks a second that the keeper takes from all agents together, however many they are.
const ASK_RATE: f64 = 50.0;

/// Intervals for which an ask counts while its agent does not repeat it.
const ASK_INTERVALS_KEPT: u32 = 4;

/// Longest that a permit counts when its agent does not return it.
const PERMIT_LIFETIME: Duration = Duration::from_secs(20);

/// Loads that may start at once after a pause, in permits.
const BURST: f64 = 1.0;

/// An agent's wish to load an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Host of the agent.
    pub host: HostId,
    /// Value of the load; a higher one goes first.
    pub value: f64,
}

/// The keeper's answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// The agent may start one load.
    Granted,
    /// The agent asks again after this time.
    Wait(Duration),
}

/// Grants permits by value.
#[derive(Debug)]
pub struct PermitKeeper {
    limits: LoadLimits,
    allowance: f64,
    refilled: MonoTime,
    asks: BTreeMap<HostId, (f64, MonoTime)>,
    granted: BTreeMap<HostId, MonoTime>,
}

impl PermitKeeper {
    /// A keeper with a full allowance.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::{PermitAnswer, PermitAsk, PermitKeeper};
    ///
    /// let mut keeper = PermitKeeper::new(LoadLimits::default(), Duration::ZERO);
    /// let ask = PermitAsk { host: "e1".into(), value: 1.0 };
    /// assert_eq!(keeper.ask(Duration::ZERO, &ask), PermitAnswer::Granted);
    /// ```
    pub fn new(limits: LoadLimits, now: MonoTime) -> Self {
        Self {
            limits,
            allowance: BURST,
            refilled: now,
            asks: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    /// Takes new limits from a bundle.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitKeeper;
    ///
    /// let mut keeper = PermitKeeper::new(LoadLimits::default(), Duration::ZERO);
    /// keeper.set_limits(LoadLimits { per_second: 1.0, at_once: 1 });
    /// ```
    pub fn set_limits(&mut self, limits: LoadLimits) {
        self.limits = limits;
    }

    /// Answers an ask. The permits free now go to the asks of highest value among those that
    /// were repeated lately, so an agent that can not be reached holds nobody up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::{PermitAnswer, PermitAsk, PermitKeeper};
    ///
    /// let limits = LoadLimits { per_second: 1.0, at_once: 1 };
    /// let mut keeper = PermitKeeper::new(limits, Duration::ZERO);
    /// keeper.ask(Duration::ZERO, &PermitAsk { host: "e1".into(), value: 1.0 });
    /// let answer = keeper.ask(Duration::ZERO, &PermitAsk { host: "e2".into(), value: 9.0 });
    /// assert!(matches!(answer, PermitAnswer::Wait(_)));
    /// ```
    pub fn ask(&mut self, now: MonoTime, ask: &PermitAsk) -> PermitAnswer {
        self.refill(now);
        let lifetime = self.ask_interval() * ASK_INTERVALS_KEPT;
        self.asks.retain(|_, (_, heard)| now.saturating_sub(*heard) < lifetime);
        self.granted.retain(|_, since| now.saturating_sub(*since) < PERMIT_LIFETIME);
        self.granted.remove(&ask.host);
        self.asks.insert(ask.host.clone(), (ask.value, now));
        let ahead = self.asks.values().filter(|(value, _)| *value > ask.value).count();
        if ahead >= self.free_permits() {
            return PermitAnswer::Wait(self.ask_interval());
        }
        self.allowance -= 1.0;
        self.asks.remove(&ask.host);
        self.granted.insert(ask.host.clone(), now);
        PermitAnswer::Granted
    }

    /// Takes a permit back after the load ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitKeeper;
    ///
    /// let mut keeper = PermitKeeper::new(LoadLimits::default(), Duration::ZERO);
    /// keeper.give_back("e1");
    /// assert_eq!(keeper.out(), 0);
    /// ```
    pub fn give_back(&mut self, host: &str) {
        self.granted.remove(host);
        self.asks.remove(host);
    }

    /// Tells whether so many agents ask that each has to keep to the keeper's pace.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitKeeper;
    ///
    /// assert!(!PermitKeeper::new(LoadLimits::default(), Duration::ZERO).is_crowded());
    /// ```
    pub fn is_crowded(&self) -> bool {
        self.asks.len() as f64 > ASK_RATE
    }

    /// Number of permits that agents hold.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::bundle::LoadLimits;
    /// use quillcove_core::permit::PermitKeeper;
    ///
    /// assert_eq!(PermitKeeper::new(LoadLimits::default(), Duration::ZERO).out(), 0);
    /// ```
    pub fn out(&self) -> usize {
        self.granted.len()
    }

    /// Time until an agent asks again; grows with the number of agents that ask.
    fn ask_interval(&self) -> Duration {
        Duration::from_secs_f64(self.asks.len() as f64 / ASK_RATE).max(ASK_INTERVAL)
    }

    fn refill(&mut self, now: MonoTime) {
        let gained = now.saturating_sub(self.refilled).as_secs_f64() * self.limits.per_second;
        self.allowance = (self.allowance + gained).min(BURST.max(self.limits.per_second / 2.0));
        self.refilled = now;
    }

    fn free_permits(&self) -> usize {
        let by_count = (self.limits.at_once as usize).saturating_sub(self.granted.len());
        by_count.min(self.allowance as usize)
    }
}
