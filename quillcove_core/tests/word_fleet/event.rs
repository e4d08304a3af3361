//! Requests, attempts and events of a run, in the order of their times.

use std::cmp::Reverse;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::machine::{AttemptOrder, RelayQuery};
use quillcove_core::standing::notice::UpstreamNotice;

/// One request on its way.
#[derive(Clone, Debug)]
pub struct SimRequest {
    pub relay: usize,
    pub run: u32,
    pub query: RelayQuery,
    pub tried: Vec<String>,
    pub refusals: u32,
}

/// An attempt at a replica.
#[derive(Clone, Debug)]
pub struct SimAttempt {
    pub request: SimRequest,
    pub order: AttemptOrder,
    pub replica: usize,
    /// The start that was meant, as it is in the world.
    pub born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Good,
    Failed,
    Refused,
    Lost,
}

pub enum SimEvent {
    Ask,
    Send(Box<SimAttempt>),
    Reach(Box<SimAttempt>),
    Head(Box<SimAttempt>, AnswerKind, UpstreamNotice),
    /// The request's deadline passes during the attempt.
    TimeOver(Box<SimAttempt>),
    RunEnd(usize, u64),
    Leave(usize),
    End(usize),
    Start(usize),
    List(usize, usize),
    Silence(bool),
    Freeze,
    Restart,
    Exchange,
}

pub struct Timed(pub Reverse<(MonoTime, u64)>, pub SimEvent);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}
