//! Under which requests the upstream of this agent ends. Entries hear of it with each answer.

use super::AgentMachine;
use super::event::RunEnd;
use crate::crash::digest::RequestIdentity;
use crate::crash::telling::CrashBeacon;
use crate::crash::watch::{AnswerBreak, ReplicaRun};
use crate::ids::MonoTime;

/// Requests of which each answer tells at most: in JSON they take about 150 bytes each.
const TOLD_REQUESTS: usize = 8;

impl AgentMachine {
    fn upstream_run(&self) -> ReplicaRun {
        // Another process of this host's agent counts its runs anew.
        let born = self.incarnation.wrapping_add(self.upstream_runs);
        ReplicaRun { replica: self.host.clone(), born: Some(born) }
    }

    /// Notes how a run ended: one that broke off is due to the upstream's end, if that has ended.
    pub(super) fn note_run_end(
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
                let broke = AnswerBreak { identity, has_begun: false, sent_at: now };
                self.crashes.note_broken(&run, broke, now);
            },
            RunEnd::Complete(status) if (200..300).contains(&status) => {
                self.crashes.note_good(identity, now);
            },
            RunEnd::Complete(_) | RunEnd::NotRun => {},
        }
    }

    /// Notes that the upstream has ended, or restarted unseen.
    pub(super) fn note_upstream_end(&mut self, now: MonoTime) {
        let run = self.upstream_run();
        self.crashes.confirm_end(&run, now);
    }

    /// What entries are told with each answer.
    pub(super) fn crash_news(&self) -> CrashBeacon {
        let mut known = self.crashes.book().all(self.last_event);
        known.ends.truncate(TOLD_REQUESTS);
        known
    }
}
