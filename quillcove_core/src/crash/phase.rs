//! Phase of an attempt at its replica.
//!
//! A part of a prompt that makes replicas exit does so when the replica begins to write the answer.
//! The phase tells what the replica may have been doing when it exited, not what was read of its
//! answer: the head may be lost with the connection, and a busy process reads late.

use std::time::Duration;

use crate::ids::MonoTime;

/// Time after the head of a response in which the replica counts as beginning to write. Replicas
/// exit up to 0.1 s after they have begun to run such a request.
const BEGIN_WINDOW: Duration = Duration::from_millis(200);

/// Time after the head of a response from which on the replica has survived the begin of the
/// answer. Longer than the time in which it begins to write, as the bytes of a replica that exits arrive late at times.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Time after the head of a response from which on its whole request has survived. Replicas exit up to 0.1 s after they
/// have begun to run a fatal request.
pub const RUN_SURVIVAL_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two reads that together show that a replica survived. All that a replica sent before its exit
/// arrives within the time in which it begins to write.
pub const PROOF_INTERVAL: Duration = Duration::from_millis(150);

/// Time of a read from which on it waited for bytes that had not arrived. Bytes that wait in a socket are read sooner.
const CATCH_UP_MIN: Duration = Duration::from_millis(10);

/// Phase of an attempt that was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// No head of a stream was received: the request waits, or its prompt is read.
    Waiting,
    /// The replica begins to write the answer, or may do so: an answer that is no stream arrives as
    /// a whole.
    Beginning,
    /// Events were received, and nothing shows that the replica survived the begin of the answer.
    Started,
    /// The replica is known to have survived the begin of the answer.
    Writing,
}

impl RunPhase {
    /// Returns the phase of a stream by the time since its head, by whether any event was received, and by whether the
    /// replica is known to have survived the begin of the answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::phase::RunPhase;
    ///
    /// let (soon, later) = (Duration::from_millis(50), Duration::from_secs(1));
    /// assert_eq!(RunPhase::of_stream(None, false, false), RunPhase::Waiting);
    /// assert_eq!(RunPhase::of_stream(Some(soon), true, false), RunPhase::Beginning);
    /// assert_eq!(RunPhase::of_stream(Some(later), false, false), RunPhase::Beginning);
    /// assert_eq!(RunPhase::of_stream(Some(later), true, false), RunPhase::Started);
    /// assert_eq!(RunPhase::of_stream(Some(later), true, true), RunPhase::Writing);
    /// ```
    pub fn of_stream(since_head: Option<Duration>, has_event: bool, has_survived: bool) -> Self {
        match since_head {
            None => Self::Waiting,
            Some(_) if has_survived => Self::Writing,
            Some(age) if has_event && age > BEGIN_WINDOW => Self::Started,
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
            Self::Started => "started",
            Self::Writing => "writing",
        }
    }
}

/// What a replica is known to have survived of an answer that it writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SurvivalStage {
    /// Nothing.
    None,
    /// The begin, so that no part of the prompt makes replicas exit.
    Begin,
    /// [`RUN_SURVIVAL_TIME`], so that the request is not fatal.
    Run,
}

impl SurvivalStage {
    /// Returns the stage of an answer whose replica was alive so long after the head.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::crash::phase::SurvivalStage;
    ///
    /// assert_eq!(SurvivalStage::after(Duration::from_millis(100)), SurvivalStage::None);
    /// assert_eq!(SurvivalStage::after(Duration::from_millis(400)), SurvivalStage::Begin);
    /// assert_eq!(SurvivalStage::after(Duration::from_secs(1)), SurvivalStage::Run);
    /// ```
    pub fn after(since_head: Duration) -> Self {
        match since_head {
            time if time >= RUN_SURVIVAL_TIME => Self::Run,
            time if time >= SURVIVAL_TIME => Self::Begin,
            _ => Self::None,
        }
    }
}

/// Reads of one stream that show that its replica was alive.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::phase::{SurvivalProof, SurvivalStage};
///
/// let after = Duration::from_millis;
/// let mut proof = SurvivalProof::default();
/// assert_eq!(proof.record_alive(after(300)), SurvivalStage::None);
/// assert_eq!(proof.record_alive(after(450)), SurvivalStage::Begin);
/// assert_eq!(proof.record_alive(after(600)), SurvivalStage::Run);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SurvivalProof {
    /// Time from the head to the first such read after [`SURVIVAL_TIME`].
    first: Option<Duration>,
}

impl SurvivalProof {
    /// Records that the replica was alive so long after the head. Returns what it is known to have survived: a single
    /// read may have waited for a process that had no processor time, or for a lost packet, so two are needed.
    pub fn record_alive(&mut self, since_head: Duration) -> SurvivalStage {
        if since_head < SURVIVAL_TIME {
            return SurvivalStage::None;
        }
        let first = *self.first.get_or_insert(since_head);
        match since_head.saturating_sub(first) >= PROOF_INTERVAL {
            true => SurvivalStage::after(since_head),
            false => SurvivalStage::None,
        }
    }
}

/// Returns a time at which a replica was still to send what a read of its stream brought, if the read shows that: bytes
/// that are there at once may have been sent long before, while this process was paused or its caller did not read.
///
/// ```
/// use std::time::Duration;
/// use quillcove_core::crash::phase::proof_of_life;
///
/// let began = Duration::from_secs(5);
/// assert_eq!(proof_of_life(began, began + Duration::from_millis(1)), None);
/// assert_eq!(proof_of_life(began, began + Duration::from_millis(20)), Some(began));
/// ```
pub fn proof_of_life(read_began: MonoTime, read_ended: MonoTime) -> Option<MonoTime> {
    (read_ended.saturating_sub(read_began) >= CATCH_UP_MIN).then_some(read_began)
}
