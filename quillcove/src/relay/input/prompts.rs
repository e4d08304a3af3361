//! Reports of this relay's pending prompts to the loaders of engines with scarce adapter slots.

use quillcove_core::relay::admission::reports::ReportOccasion;
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::relay::engine_status::PromptReport;

use super::InputTask;

impl InputTask {
    /// Sends the pending prompts that are due.
    pub(super) fn send_prompt_reports(&mut self, occasion: ReportOccasion) {
        let due = self.shared.machine().take_prompt_reports(occasion);
        for (engine, pending) in due {
            self.prompt_report_count += 1;
            let report = PromptReport {
                relay: self.control_address,
                number: self.prompt_report_count,
                incarnation: self.incarnation,
                pending,
            };
            self.send(&PeerMessage::Prompts(report), [self.loader_of(engine)]);
        }
    }

    /// Adds the admission decisions since the last call to the metrics.
    pub(super) fn record_admissions(&self) {
        let counts = self.shared.machine().take_admission_counts();
        for (decision, count) in counts {
            self.shared.metrics.record_admissions(decision, count);
        }
    }
}
