//! What the end of an attempt says of the parts of its prompt, if its replica then turns out to have exited.
//!
//! | phase of the attempt | connection cut off | abandoned: caller left, deadline passed |
//! |---|---|---|
//! | nothing received | weak: the head may be lost with the connection | weak |
//! | head, no event, or events for a moment only | strong | weak |
//! | events, survival not known | weak: the break may be read late | weak |
//! | survival known | none | none |
//!
//! An exit that is not confirmed says nothing, and neither does the end of the attempt alone. Weak evidence adds up:
//! a part at many exits, none of which is proved to be its own, is blamed as well.

use super::phase::RunPhase;
use super::watch::AbortKind;

/// How strongly an exit speaks against a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitEvidence {
    /// Not at all.
    None,
    /// Another cause is likely.
    Weak,
    /// The replica was beginning to write the answer.
    Strong,
}

/// Returns what the exit of a replica says of the parts of a prompt whose attempt there ended in this phase.
///
/// ```
/// use quillcove_core::crash::evidence::{ExitEvidence, part_evidence};
/// use quillcove_core::crash::phase::RunPhase;
/// use quillcove_core::crash::watch::AbortKind;
///
/// let of = |phase| part_evidence(phase, AbortKind::CutOff);
/// assert_eq!(of(RunPhase::Waiting), ExitEvidence::Weak);
/// assert_eq!(of(RunPhase::Beginning), ExitEvidence::Strong);
/// assert_eq!(of(RunPhase::Writing), ExitEvidence::None);
/// ```
pub fn part_evidence(phase: RunPhase, kind: AbortKind) -> ExitEvidence {
    match (phase, kind) {
        (RunPhase::Beginning, AbortKind::CutOff) => ExitEvidence::Strong,
        (RunPhase::Waiting | RunPhase::Started, _) => ExitEvidence::Weak,
        (RunPhase::Beginning, AbortKind::Abandoned) => ExitEvidence::Weak,
        (RunPhase::Writing, _) => ExitEvidence::None,
    }
}
