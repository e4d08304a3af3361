//! Verdicts on whether a request may have run, and the reasons of refusals.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Retry time sent with a refusal whose cause is expected to end soon.
pub const SHORT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Whether a request has run, as far as known when its response or error is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The upstream ran it and its complete response was received.
    Ran,
    /// It has not run and will not run: it was never sent, or the agent confirmed that it rejects the
    /// attempt, even if it arrives later.
    NotRun,
    /// It is unknown whether it ran. It must not be retried unless it may run more than once.
    MayHaveRun,
}

impl RunVerdict {
    /// Returns the label used in the `Quillcove-Verdict` header.
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

    /// Parses the label of the header; `None` if it is unknown.
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

/// Why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The bundle has no such adapter, version or service.
    Unknown,
    /// No bundle is in force yet, or a newer one is known to exist.
    BundleMissing,
    /// No upstream is available for it.
    NoUpstream,
    /// A queue or table is full, or no upstream takes the request at the moment because of requested
    /// pauses or rate limits.
    Overloaded,
    /// The expected wait is longer than the deadline allows.
    DeadlineTooShort,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The process is stopping or its host is draining.
    Leaving,
    /// The attempt was addressed to another incarnation of the agent.
    WrongIncarnation,
    /// The entry withdrew the attempt before it started.
    Withdrawn,
    /// The same attempt arrived a second time.
    Duplicate,
    /// The engine failed to load the adapter.
    LoadFailed,
    /// The upstream does not respond.
    UpstreamDown,
    /// The upstream's response ended prematurely.
    UpstreamBroke,
    /// The ticket was not issued by this process start of the agent, or it has expired.
    TicketUnknown,
    /// The ticket or key was used before.
    AlreadyUsed,
    /// The agent cannot know whether the key was used before, because it restarted or a new bundle
    /// reassigned keys within the lifetime of a key.
    KeyUncertain,
    /// The request needs a workspace's key and has no valid one.
    KeyUnknown,
    /// The stored workspace keys are too old to authorize a request.
    KnowledgeOld,
    /// The quota of the request's workspace is exhausted.
    LimitReached,
    /// The request is fatal: upstreams exit under it.
    EndsUpstreams,
    /// The stream to resume began at a software version that this process cannot find out.
    OriginUnknown,
    /// No upstream with the software version that began the stream takes requests.
    OriginGone,
}

impl RefusalReason {
    /// Returns the label used as `code` in error bodies and in metrics.
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
            Self::OriginUnknown => "origin_unknown",
            Self::OriginGone => "origin_gone",
        }
    }

    /// Parses a label; `None` if it is unknown.
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
    pub const ALL: [Self; 23] = [
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
        Self::OriginUnknown,
        Self::OriginGone,
    ];
}

/// Rejection or failure of a request or an attempt, with its verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Time after which a retry may succeed; `None` if a retry is of no use.
    pub retry_after: Option<Duration>,
}

impl WorkRefusal {
    /// Creates a refusal of work that did not run.
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

    /// Creates a refusal of work that did not run because a queue or table is full.
    ///
    /// ```
    /// use quillcove_core::verdict::{SHORT_RETRY_DELAY, WorkRefusal};
    ///
    /// assert_eq!(WorkRefusal::overloaded().retry_after, Some(SHORT_RETRY_DELAY));
    /// ```
    pub fn overloaded() -> Self {
        Self::not_run(RefusalReason::Overloaded, Some(SHORT_RETRY_DELAY))
    }

    /// Creates an error after which it is unknown whether the work ran.
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
