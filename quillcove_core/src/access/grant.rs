//! Whether a request may go on: its key, the age of what is known of keys, and its workspace's limit.

use std::sync::Arc;
use std::time::Duration;

use super::key::KeyDigest;
use super::limit::UseCharge;
use super::workspace::WorkspaceRecord;
use crate::verdict::{RefusalReason, RunVerdict, WorkRefusal};

/// The right of a request to run, by the key that it came with.
#[derive(Clone, Debug)]
pub struct AccessGrant {
    /// The workspace that held the key when the request came.
    pub workspace: Arc<WorkspaceRecord>,
    /// The key, to be looked up again while the request waits.
    pub key: KeyDigest,
    /// What the request was charged with; `None` in a workspace without a limit.
    pub charge: Option<UseCharge>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// It needs a key and has none, or one that no workspace holds.
    KeyUnknown,
    /// What is known of keys is too old to tell which of them are valid.
    KnowledgeOld {
        /// When fresh knowledge is expected.
        come_back: Duration,
    },
    /// Its workspace has used what it may.
    LimitReached {
        /// When there is room again.
        come_back: Duration,
    },
}

impl From<AccessRefusal> for WorkRefusal {
    fn from(refusal: AccessRefusal) -> Self {
        let (reason, retry_after) = match refusal {
            AccessRefusal::KeyUnknown => (RefusalReason::KeyUnknown, None),
            AccessRefusal::KnowledgeOld { come_back } => {
                (RefusalReason::KnowledgeOld, Some(come_back))
            },
            AccessRefusal::LimitReached { come_back } => {
                (RefusalReason::LimitReached, Some(come_back))
            },
        };
        WorkRefusal { reason, verdict: RunVerdict::NotRun, retry_after }
    }
}
