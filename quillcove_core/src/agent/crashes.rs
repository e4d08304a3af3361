//! Detection of fatal requests, under which the upstream of this agent exits. Entries receive them
//! with each response.

use super::AgentMachine;
use super::event::RunEnd;
use crate::crash::digest::RequestIdentity;
use crate::crash::telling::CrashReport;
use crate::crash::watch::{ReplicaRun, ResponseAbort};
use crate::ids::MonoTime;

/// Maximum number of fatal requests in one response: each takes about 150 bytes of JSON.
const MAX_REPORTED_REQUESTS: usize = 8;

impl AgentMachine {
    fn upstream_run(&self) -> ReplicaRun {
        // A restarted agent counts the upstream's process starts from zero; its incarnation keeps
        // them distinct from those counted by its predecessor.
        let born = self.incarnation.wrapping_add(self.upstream_starts);
        ReplicaRun { replica: self.host.clone(), born: Some(born) }
    }

    /// Records the outcome of a run. A response that was cut off counts against its request if the
    /// upstream turns out to have exited.
    pub(super) fn record_run_end(
        &mut self,
        now: MonoTime,
        identity: Option<RequestIdentity>,
        end: RunEnd,
    ) {
        let Some(identity) = identity else {
            return;
        };
        match end {
            RunEnd::Broken => {
                let run = self.upstream_run();
                let broke = ResponseAbort { identity, has_other_cause: false, sent_at: now };
                self.crash_watch.record_abort(&run, broke, now);
            },
            RunEnd::Complete(status) if (200..300).contains(&status) => {
                self.crash_watch.record_success(identity, now);
            },
            RunEnd::Complete(_) | RunEnd::NotRun => {},
        }
    }

    /// Records that the upstream exited, or restarted unnoticed.
    pub(super) fn record_upstream_exit(&mut self, now: MonoTime) {
        let run = self.upstream_run();
        self.crash_watch.confirm_exit(&run, now);
    }

    /// Returns the crash records that are sent to entries with each response.
    pub(super) fn crash_report(&self) -> CrashReport {
        let mut known = self.crash_watch.book().all(self.last_event_at);
        known.ends.truncate(MAX_REPORTED_REQUESTS);
        known
    }
}
