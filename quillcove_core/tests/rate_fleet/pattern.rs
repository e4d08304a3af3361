//! What happens in a run, and how relays keep to a limit.

use std::time::Duration;

use quillcove_core::relay::policy::SharingRule;

/// How relays keep to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateRule {
    /// As the relays do it.
    Kept,
    /// Each takes the whole limit for its own, which is wrong.
    Alone,
    /// All relays share it, however many they are.
    Everybody,
}

impl RateRule {
    pub fn sharing(self) -> SharingRule {
        match self {
            Self::Everybody => SharingRule::All,
            _ => SharingRule::Few,
        }
    }
}

/// Relays that are cut off from the others, and when.
#[derive(Clone, Copy, Debug)]
pub struct SimCut {
    pub share: f64,
    pub from: u64,
    pub to: u64,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct RatePattern {
    pub name: &'static str,
    pub relays: usize,
    pub replicas: usize,
    /// Requests that begin in a second, at all relays.
    pub rate: usize,
    pub length: Duration,
    /// Share of the replicas that name a limit, and in which seconds.
    pub needy: f64,
    pub need: (u64, u64),
    /// Requests a second that they take; those of the second half of the need.
    pub limits: (f64, f64),
    /// Share of the callers that come to the first relay; the others are spread evenly.
    pub first_share: f64,
    /// Seconds at which a quarter of the relays stands still for three seconds.
    pub freezes: &'static [u64],
    /// Seconds at which a quarter of the relays starts again.
    pub restarts: &'static [u64],
    /// Seconds at which the needy replicas start again under their ids, still in need.
    pub new_starts: &'static [u64],
    /// Share of datagrams that get lost, and of packets to replicas that come a second later.
    pub loss: f64,
    /// Longest time that a datagram takes.
    pub delay: Duration,
    pub cut: Option<SimCut>,
}

impl RatePattern {
    pub const QUIET: Self = Self {
        name: "quiet",
        relays: 4,
        replicas: 12,
        rate: 100,
        length: Duration::from_secs(24),
        needy: 0.2,
        need: (2, 18),
        limits: (1.0, 1.6),
        first_share: 0.0,
        freezes: &[],
        restarts: &[],
        new_starts: &[],
        loss: 0.0,
        delay: Duration::from_millis(3),
        cut: None,
    };

    pub fn of_size(self, relays: usize, replicas: usize) -> Self {
        Self { relays, replicas, rate: (replicas * 17).div_ceil(2).max(60), ..self }
    }
}
