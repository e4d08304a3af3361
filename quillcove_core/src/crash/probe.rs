//! Requests that try whether what is blamed still makes replicas exit: a part of prompts, or a whole request.
//!
//! Without them, what was blamed wrongly would stay rejected: nothing that is rejected has a run that could clear it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::book::{CrashTable, FORGET_TIME, MOST_ENDS};
use super::digest::{RequestDigest, RequestIdentity, SuspectKind};
use super::record::{CrashRecord, MOMENT, moment_count};
use crate::ids::MonoTime;

/// Time after the last exit for which what is blamed is not tried again; it doubles with each moment after the third.
pub const PROBE_DELAY: Duration = Duration::from_secs(30);

/// Added to [`PROBE_DELAY`] for each relay that ranks before the own one for a suspect: several times what a report of
/// an exit takes, so that relays seldom try the same suspect side by side.
pub const RANK_DELAY: Duration = Duration::from_secs(10);

/// Moments with exits from which on [`PROBE_DELAY`] doubles.
const PROBE_MOMENTS: usize = 3;

/// Maximum number of doublings of [`PROBE_DELAY`].
const MAX_PROBE_DOUBLINGS: u32 = 5;

/// Time between two probes of one suspect while no replica exits under it.
const PROBE_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum number of probes of a suspect over all relays. Of the three sends that are allowed after it is blamed, one is
/// left for relays that try it side by side.
const MAX_PROBES: usize = 2;

/// One request as it was received, apart from others of the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRequest {
    /// Digest of its content.
    pub digest: RequestDigest,
    /// When its head was received.
    pub received: MonoTime,
}

/// What a crash record says about probes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeRecord {
    /// When the last exit was noticed.
    pub last_exit_at: MonoTime,
    /// Time after that exit for which there is no probe.
    pub delay: Duration,
    /// Number of exits that came so late that they are due to probes.
    pub failed_probes: usize,
}

impl ProbeRecord {
    /// Reads a crash record; `None` if it has no exits.
    pub fn of(record: &CrashRecord) -> Option<Self> {
        let mut times: Vec<MonoTime> = record.marks.iter().map(|mark| mark.at).collect();
        times.sort_unstable();
        let last_exit_at = *times.last()?;
        let blamed_from = times.len().min(MOST_ENDS - 1);
        let is_late = |pair: &[MonoTime]| pair[1] - pair[0] >= PROBE_DELAY;
        let late = times[blamed_from..].windows(2).position(is_late);
        let failed_probes = late.map_or(0, |late| times.len() - blamed_from - late - 1);
        let moments = moment_count(times, MOMENT);
        let doublings = u32::try_from(moments.saturating_sub(PROBE_MOMENTS)).unwrap_or(u32::MAX);
        let delay = PROBE_DELAY * 2_u32.pow(doublings.min(MAX_PROBE_DOUBLINGS));
        Some(Self { last_exit_at, delay, failed_probes })
    }
}

/// A request that may run although it, or a part of its prompt, is blamed.
#[derive(Clone, Copy, Debug)]
struct SuspectProbe {
    request: ProbeRequest,
    at: MonoTime,
    /// Number of probes of the suspect at this process, this one included.
    count: usize,
}

/// The last probe of each suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectProbes {
    last: BTreeMap<RequestDigest, SuspectProbe>,
}

impl SuspectProbes {
    /// Returns from when on one request may try a suspect; `None` if none may.
    pub fn due_at(&self, book: &CrashTable, suspect: RequestIdentity) -> Option<MonoTime> {
        let record = book.probe_record(suspect)?;
        let last = self.last.get(&suspect.digest);
        let count = last.map_or(0, |probe| probe.count);
        let is_allowed = match SuspectKind::of(suspect.caller) {
            SuspectKind::Part | SuspectKind::Request => {
                count.max(record.failed_probes) < MAX_PROBES
            },
            SuspectKind::Load => false,
        };
        let without_result = last.filter(|probe| probe.at >= record.last_exit_at);
        let after_probe = without_result.map_or(Duration::ZERO, |probe| probe.at + PROBE_INTERVAL);
        is_allowed.then(|| after_probe.max(record.last_exit_at + record.delay))
    }

    /// Records that a request tries a suspect.
    pub fn begin(&mut self, suspect: RequestIdentity, request: ProbeRequest, now: MonoTime) {
        let count = self.last.get(&suspect.digest).map_or(0, |probe| probe.count) + 1;
        self.last.insert(suspect.digest, SuspectProbe { request, at: now, count });
    }

    /// Returns whether a request is the last probe of a suspect, and no replica has exited under the suspect since.
    pub fn contains(
        &self,
        book: &CrashTable,
        suspect: RequestIdentity,
        request: ProbeRequest,
    ) -> bool {
        let probe = self.last.get(&suspect.digest).filter(|probe| probe.request == request);
        let record = book.probe_record(suspect);
        probe.zip(record).is_some_and(|(probe, record)| probe.at > record.last_exit_at)
    }

    /// Removes expired probes.
    pub fn forget(&mut self, now: MonoTime) {
        self.last.retain(|_, probe| now.saturating_sub(probe.at) < FORGET_TIME);
    }
}
