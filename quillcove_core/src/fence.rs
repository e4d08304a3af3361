//! Fences of orders to an engine.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::BundleVersion;

/// Position of an order; an engine that checks fences refuses every order below the highest one
/// it has seen. The bundle's version stands first, so the engine remembers the newest version
/// that any agent acted on, also for an agent that starts with nothing.
///
/// ```
/// use quillcove_core::fence::OrderFence;
///
/// let old = OrderFence { bundle: 3, term: 9, sequence: 9 };
/// let new = OrderFence { bundle: 4, term: 1, sequence: 1 };
/// assert!(new > old);
/// assert_eq!("4.1.1".parse(), Ok(new));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OrderFence {
    /// Version of the bundle that the order follows.
    pub bundle: BundleVersion,
    /// Grows each time another agent takes over the upstream.
    pub term: u64,
    /// Grows with each order of one agent.
    pub sequence: u64,
}

impl fmt::Display for OrderFence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.bundle, self.term, self.sequence)
    }
}

impl FromStr for OrderFence {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.splitn(3, '.').map(str::parse::<u64>);
        let mut next = || parts.next().and_then(Result::ok);
        match (next(), next(), next()) {
            (Some(bundle), Some(term), Some(sequence)) => Ok(Self { bundle, term, sequence }),
            _ => Err(format!("'{text}' is not a fence of the form bundle.term.sequence")),
        }
    }
}
