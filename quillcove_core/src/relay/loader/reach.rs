//! Whether the engine responds to its loader.

/// Consecutive calls without a response after which the engine counts as unreachable. A single one may be due to a
/// pause of the engine or of the loader.
const UNANSWERED_LIMIT: u32 = 2;

/// Result of a call to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineContact {
    /// It responded, with whatever status.
    Responded,
    /// Its port refused the connection, so that no process listens there.
    Refused,
    /// It did not respond in time, or ended the connection without a response.
    Unanswered,
}

/// Whether the engine is reachable, from the results of the loader's calls.
///
/// ```
/// use quillcove_core::relay::loader::{EngineContact, EngineReach};
///
/// let mut reach = EngineReach::default();
/// assert!(!reach.record(EngineContact::Unanswered), "one call may be lost");
/// assert!(reach.record(EngineContact::Unanswered));
/// assert!(!reach.is_reachable());
/// assert!(reach.record(EngineContact::Responded));
/// assert!(reach.record(EngineContact::Refused), "the process has exited");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineReach {
    unanswered: u32,
}

impl EngineReach {
    /// Records the result of a call; returns whether [`EngineReach::is_reachable`] has changed.
    ///
    /// See [`EngineReach`] for an example.
    pub fn record(&mut self, contact: EngineContact) -> bool {
        let was_reachable = self.is_reachable();
        self.unanswered = match contact {
            EngineContact::Responded => 0,
            EngineContact::Refused => UNANSWERED_LIMIT,
            EngineContact::Unanswered => self.unanswered.saturating_add(1),
        };
        self.is_reachable() != was_reachable
    }

    /// Returns whether the engine is reachable. It counts as such until a call has failed.
    ///
    /// See [`EngineReach`] for an example.
    pub fn is_reachable(&self) -> bool {
        self.unanswered < UNANSWERED_LIMIT
    }
}
