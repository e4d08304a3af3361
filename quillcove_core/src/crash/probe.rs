//! Requests that try whether a blamed part of a prompt still makes replicas exit.

use std::collections::BTreeMap;
use std::time::Duration;

use super::book::{CrashTable, FORGET_TIME};
use super::digest::{RequestDigest, RequestIdentity, SuspectKind};
use crate::ids::MonoTime;

/// Longest time between two probes of one part while no replica exits under it.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(60);

/// A request that may run although a part of its prompt is blamed.
#[derive(Clone, Copy, Debug)]
struct PartProbe {
    request: RequestDigest,
    at: MonoTime,
}

/// The last probe of each blamed part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartProbes {
    last: BTreeMap<RequestDigest, PartProbe>,
}

impl PartProbes {
    /// Lets one request try a part, if it is time to; returns whether it may run.
    pub fn begin(
        &mut self,
        book: &CrashTable,
        part: RequestIdentity,
        request: RequestDigest,
        now: MonoTime,
    ) -> bool {
        if SuspectKind::of(part.caller) != SuspectKind::Part {
            return false;
        }
        let Some((until_due, since_exit)) = book.probe_times(part, now) else {
            return false;
        };
        let last = self.last.get(&part.digest);
        let since_probe = last.map(|probe| now.saturating_sub(probe.at));
        let is_due = until_due == Duration::ZERO
            && since_probe.is_none_or(|since| since >= since_exit.min(MAX_PROBE_INTERVAL));
        if is_due {
            self.last.insert(part.digest, PartProbe { request, at: now });
        }
        is_due
    }

    /// Returns whether a request is the last probe of a part, and no replica has exited under the part since.
    pub fn contains(
        &self,
        book: &CrashTable,
        part: RequestIdentity,
        request: RequestDigest,
        now: MonoTime,
    ) -> bool {
        let probe = self.last.get(&part.digest).filter(|probe| probe.request == request);
        let since_exit = book.probe_times(part, now).map(|(_, since_exit)| since_exit);
        let since_probe = probe.map(|probe| now.saturating_sub(probe.at));
        since_probe.zip(since_exit).is_some_and(|(probe, exit)| probe < exit)
    }

    /// Removes expired probes.
    pub fn forget(&mut self, now: MonoTime) {
        self.last.retain(|_, probe| now.saturating_sub(probe.at) < FORGET_TIME);
    }
}
