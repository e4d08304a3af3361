//! Finds out where a stream that its caller takes up began, before anything of the request is sent.

use std::sync::Arc;
use std::time::Duration;

use quillcove_core::ids::{MonoTime, ServiceName};
use quillcove_core::relay::origin::{KnownOrigin, OriginDigest, OriginLookup, StreamKey};
use quillcove_core::route::{RouteKind, RouteRecord};
use quillcove_core::verdict::{RefusalReason, WorkRefusal};
use quillcove_platform::heads::RequestHeaders;
use slog::info;

use super::shared::RelayShared;

/// Longest wait for the store to confirm which software versions there are: the interval of such reads, and one read.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcomes of resolving the origin of a stream, as counted in the metrics.
#[derive(Clone, Copy, Debug)]
enum ResumeOutcome {
    /// This relay knew the origin.
    Own,
    /// Another process knew it.
    Asked,
    /// The caller named no beginning, and only one software version can have begun the stream.
    Sole,
    /// The caller named no beginning, and the store did not answer in time which versions there are.
    Unconfirmed,
    /// Nobody knew it.
    Unknown,
    /// The id that the caller named identifies no single stream.
    Ambiguous,
    /// No replica of the origin is listed.
    Gone,
}

impl ResumeOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Asked => "asked",
            Self::Sole => "sole",
            Self::Unconfirmed => "unconfirmed",
            Self::Unknown => "unknown",
            Self::Ambiguous => "ambiguous",
            Self::Gone => "gone",
        }
    }
}

/// Service and software version at which a stream goes on.
pub struct ResolvedOrigin {
    pub service: ServiceName,
    pub origin: OriginDigest,
}

/// Returns where a stream that the caller takes up goes on, or `None` for a request that begins a stream or on a route
/// whose streams cannot be taken up.
///
/// # Errors
///
/// Rejects a stream whose origin is unknown, or of whose origin no replica is listed. No retry delay is given, since no
/// later attempt would be served.
pub async fn resolve_origin(
    shared: &Arc<RelayShared>,
    route: &RouteRecord,
    terms: &RequestHeaders,
    received: MonoTime,
) -> Result<Option<ResolvedOrigin>, WorkRefusal> {
    let is_resumed = terms.last_event.is_some() || terms.resumes.is_some();
    if !is_resumed || route.kind != RouteKind::ResumableStream {
        return Ok(None);
    }
    let (outcome, origin) = match &terms.resumes {
        Some(begun) => look_up(shared, StreamKey::of(begun)).await,
        None => sole_origin(shared, route, received).await,
    };
    let service = origin.and_then(|it| shared.machine().service_of_origin(route, it));
    let outcome = match (origin, &service) {
        (Some(_), None) => ResumeOutcome::Gone,
        _ => outcome,
    };
    shared.metrics.record_resume(outcome.label());
    info!(shared.log, "stream taken up"; "id" => &terms.id, "resumes" => &terms.resumes,
        "after" => &terms.last_event, "route" => &route.name, "service" => &service,
        "origin" => outcome.label());
    match (origin, service) {
        (Some(origin), Some(service)) => Ok(Some(ResolvedOrigin { service, origin })),
        (Some(_), None) => Err(WorkRefusal::not_run(RefusalReason::OriginGone, None)),
        (None, _) => Err(WorkRefusal::not_run(RefusalReason::OriginUnknown, None)),
    }
}

/// Returns the origin of a stream whose caller names no beginning, as callers do that do not know the header: the only
/// one that it can have.
async fn sole_origin(
    shared: &RelayShared,
    route: &RouteRecord,
    received: MonoTime,
) -> (ResumeOutcome, Option<OriginDigest>) {
    let sole = || shared.machine().sole_origin(route, shared.clock.now());
    if sole().is_none() {
        return (ResumeOutcome::Unknown, None);
    }
    // Another relay may know of a version that this one has not read of yet, and may have begun the stream there.
    let has_versions = shared.machine().has_versions(route);
    if has_versions && !shared.confirm_store(received, CONFIRM_TIMEOUT).await {
        return (ResumeOutcome::Unconfirmed, None);
    }
    match sole() {
        Some(origin) => (ResumeOutcome::Sole, Some(origin)),
        None => (ResumeOutcome::Unknown, None),
    }
}

/// Looks a stream up, asking other processes if this one does not know it.
async fn look_up(shared: &RelayShared, stream: StreamKey) -> (ResumeOutcome, Option<OriginDigest>) {
    let mut outcome = ResumeOutcome::Own;
    loop {
        // Registered before the lookup, so that an answer during the lookup is not lost.
        let answered = shared.origin_answered.notified();
        let now = shared.clock.now();
        let found = shared.machine().origins_mut().look_up(stream, now);
        match found {
            OriginLookup::Known(KnownOrigin::Began(origin)) => return (outcome, Some(origin)),
            OriginLookup::Known(KnownOrigin::Ambiguous) => return (ResumeOutcome::Ambiguous, None),
            OriginLookup::Unknown => return (ResumeOutcome::Unknown, None),
            OriginLookup::Pending(until) => {
                outcome = ResumeOutcome::Asked;
                shared.messages_pending.notify_one();
                let _ = shared.resume_notifier.wait_until(&shared.clock, until, answered).await;
            },
        }
    }
}
