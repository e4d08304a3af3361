//! Verdicts: whether a request may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// When to come back after a refusal that will soon be over.
pub const SOON: Duration = Duration::from_secs(1);

/// What is known of a request when its answer or its error goes to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The upstream ran it and its whole answer was received.
    Ran,
    /// It never ran and never will: it did not leave, or the agent said so and left a mark.
    NotRun,
    /// Nothing certain is known; it must not be repeated unless it is repeatable.
    MayHaveRun,
}

impl RunVerdict {
    /// The word used in the `Quillcove-Verdict` header.
    ///
    /// ```
    /// use quillcove_core::verdict::RunVerdict;
    ///
    /// assert_eq!(RunVerdict::MayHaveRun.label(), "may-have-run");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Reads the header's word back.
    ///
    /// ```
    /// use quillcove_core::verdict::RunVerdict;
    ///
    /// assert_eq!(RunVerdict::from_label("not-run"), Some(RunVerdict::NotRun));
    /// ```
    pub fn from_label(label: &str) -> Option<Self> {
        [Self::Ran, Self::NotRun, Self::MayHaveRun].into_iter().find(|v| v.label() == label)
    }
}

/// Why a request was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request itself is malformed.
    BadRequest,
    /// The bundle has no such adapter, version or service.
    Unknown,
    /// No bundle is in force yet, or a newer one is known to exist.
    BundleMissing,
    /// No upstream that could take it is left.
    NoUpstream,
    /// Queues are full.
    Overloaded,
    /// The expected wait is longer than the deadline allows.
    DeadlineTooShort,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The process is stopping or its host is leaving.
    Leaving,
    /// The request was meant for an earlier run of the agent.
    WrongIncarnation,
    /// The entry withdrew the attempt before it began.
    Withdrawn,
    /// The same attempt arrived a second time.
    Duplicate,
    /// The engine did not load the adapter.
    LoadFailed,
    /// The upstream does not answer.
    UpstreamDown,
    /// The upstream's answer broke off.
    UpstreamBroke,
    /// The ticket is not one that this agent issued, or it has expired.
    TicketUnknown,
    /// The ticket or key was used before.
    AlreadyUsed,
    /// The agent restarted lately and can not tell whether the key was used before.
    KeyUncertain,
    /// The request needs a workspace's key and has none that is valid.
    KeyUnknown,
    /// What is known of workspaces' keys is too old to let a request in by its key.
    KnowledgeOld,
    /// The request's workspace has used what it may.
    LimitReached,
    /// Upstreams end when they begin to run the request.
    EndsUpstreams,
}

impl RefusalReason {
    /// The word used as `code` in error bodies and as a metric label.
    ///
    /// ```
    /// use quillcove_core::verdict::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::Overloaded.label(), "overloaded");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unknown => "unknown",
            Self::BundleMissing => "bundle_missing",
            Self::NoUpstream => "no_upstream",
            Self::Overloaded => "overloaded",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::DeadlinePassed => "deadline_passed",
            Self::Leaving => "leaving",
            Self::WrongIncarnation => "wrong_incarnation",
            Self::Withdrawn => "withdrawn",
            Self::Duplicate => "duplicate",
            Self::LoadFailed => "load_failed",
            Self::UpstreamDown => "upstream_down",
            Self::UpstreamBroke => "upstream_broke",
            Self::TicketUnknown => "ticket_unknown",
            Self::AlreadyUsed => "already_used",
            Self::KeyUncertain => "key_uncertain",
            Self::KeyUnknown => "key_unknown",
            Self::KnowledgeOld => "knowledge_old",
            Self::LimitReached => "limit_reached",
            Self::EndsUpstreams => "ends_upstreams",
        }
    }

    /// Reads the word back.
    ///
    /// ```
    /// use quillcove_core::verdict::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::from_label("leaving"), Some(RefusalReason::Leaving));
    /// ```
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.label() == label)
    }

    /// All reasons.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::Unknown,
        Self::BundleMissing,
        Self::NoUpstream,
        Self::Overloaded,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::Leaving,
        Self::WrongIncarnation,
        Self::Withdrawn,
        Self::Duplicate,
        Self::LoadFailed,
        Self::UpstreamDown,
        Self::UpstreamBroke,
        Self::TicketUnknown,
        Self::AlreadyUsed,
        Self::KeyUncertain,
        Self::KeyUnknown,
        Self::KnowledgeOld,
        Self::LimitReached,
        Self::EndsUpstreams,
    ];
}

/// A final or intermediate "no" together with what is known of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// When asking again makes sense; `None` where asking again is of no use.
    pub retry_after: Option<Duration>,
}

impl WorkRefusal {
    /// A refusal of work that did not run.
    ///
    /// ```
    /// use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};
    ///
    /// let refusal = WorkRefusal::not_run(RefusalReason::Overloaded, None);
    /// assert_eq!(refusal.verdict, RunVerdict::NotRun);
    /// ```
    pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self { reason, verdict: RunVerdict::NotRun, retry_after }
    }

    /// A refusal of work that did not run because a queue or a table is full.
    ///
    /// ```
    /// use quillcove_core::verdict::{SOON, WorkRefusal};
    ///
    /// assert_eq!(WorkRefusal::overloaded().retry_after, Some(SOON));
    /// ```
    pub fn overloaded() -> Self {
        Self::not_run(RefusalReason::Overloaded, Some(SOON))
    }

    /// An error after which nothing certain is known.
    ///
    /// ```
    /// use quillcove_core::verdict::{RefusalReason, RunVerdict, WorkRefusal};
    ///
    /// let refusal = WorkRefusal::may_have_run(RefusalReason::UpstreamBroke);
    /// assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
    /// ```
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self { reason, verdict: RunVerdict::MayHaveRun, retry_after: None }
    }
}
