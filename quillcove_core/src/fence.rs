//! Fencing tokens of load and unload orders to an engine.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::BundleVersion;

/// Fencing token of an order. An engine that checks fences rejects every order with a lower fence
/// than the highest it has received. The bundle version is compared first, so the engine also
/// records the newest version that any agent acted on, which an agent without stored state reads
/// from it.
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
    /// Version of the bundle on which the order is based.
    pub bundle: BundleVersion,
    /// Increases each time another agent takes over the upstream.
    pub term: u64,
    /// Increases with each order of one agent.
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
