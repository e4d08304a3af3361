//! Phase of an attempt at its replica.
//!
//! A part of a prompt that makes replicas exit does so when the replica begins to write the answer.
//! So only attempts in this phase are suspected for their parts, and an attempt that has left it
//! shows that its parts are sound.

use std::time::Duration;

/// Time after the head of a response in which the replica counts as beginning to write. Replicas
/// exit up to 0.1 s after they have begun to run such a request.
const BEGIN_WINDOW: Duration = Duration::from_millis(200);

/// Time after the head of a response from which on the replica has survived the begin of the
/// answer. Longer than the time in which it begins to write, as the bytes of a replica that exits arrive late at times.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Time after the head of a response from which on its whole request has survived. Replicas exit up to 0.1 s after they
/// have begun to run a fatal request.
pub const RUN_SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Phase of an attempt that was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// No head of a stream was received: the request waits, or its prompt is read.
    Waiting,
    /// The replica begins to write the answer, or may do so: an answer that is no stream arrives as
    /// a whole.
    Beginning,
    /// The replica has written for some time.
    Writing,
}

impl RunPhase {
    /// Returns the phase of a stream by the time since its head and by whether any event was
    /// received.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::phase::RunPhase;
    ///
    /// let (soon, later) = (Duration::from_millis(50), Duration::from_secs(1));
    /// assert_eq!(RunPhase::of_stream(None, false), RunPhase::Waiting);
    /// assert_eq!(RunPhase::of_stream(Some(soon), true), RunPhase::Beginning);
    /// assert_eq!(RunPhase::of_stream(Some(later), false), RunPhase::Beginning);
    /// assert_eq!(RunPhase::of_stream(Some(later), true), RunPhase::Writing);
    /// ```
    pub fn of_stream(since_head: Option<Duration>, has_event: bool) -> Self {
        match since_head {
            None => Self::Waiting,
            Some(age) if has_event && age > BEGIN_WINDOW => Self::Writing,
            Some(_) => Self::Beginning,
        }
    }

    /// Returns the phase's name in the log.
    ///
    /// ```
    /// assert_eq!(quillcove_core::crash::phase::RunPhase::Beginning.label(), "beginning");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Beginning => "beginning",
            Self::Writing => "writing",
        }
    }
}
