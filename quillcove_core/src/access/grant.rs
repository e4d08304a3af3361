//! Admission of a request by its caller key, the age of the known keys, and its workspace's limit.

use std::sync::Arc;
use std::time::Duration;

use super::key::KeyDigest;
use super::limit::UseCharge;
use super::workspace::WorkspaceRecord;
use crate::verdict::{RefusalReason, RunVerdict, WorkRefusal};

/// Permission of a request to run, granted for its caller key.
#[derive(Clone, Debug)]
pub struct AccessGrant {
    /// The workspace that held the key when the request arrived.
    pub workspace: Arc<WorkspaceRecord>,
    /// The caller key, which is looked up again while the request waits.
    pub key: KeyDigest,
    /// The charge to the workspace's limit; `None` if the workspace has no limit.
    pub charge: Option<UseCharge>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRefusal {
    /// The request needs a key and has none, or one that no workspace holds.
    KeyUnknown,
    /// The known keys are too old to tell which of them are still valid.
    KnowledgeOld {
        /// Time after which the keys are expected to be up to date again.
        come_back: Duration,
    },
    /// The workspace has used up its limit.
    LimitReached {
        /// Time after which the limit has room again.
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
