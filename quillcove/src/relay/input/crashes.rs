//! Exchange of crash records, which name the requests under which replicas exit.
//!
//! Each relay sends new records to all others at once. Two loaders store each record for relays that restart, so that
//! the records survive the loss of all relays.

use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::crash::teller::in_messages;
use quillcove_core::crash::telling::{CrashAsk, CrashReport, ExitId};
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::rendezvous;
use slog::info;

use super::InputTask;

/// Number of loaders that store each crash record. One of them may be lost together with the engine's host.
const LOADERS_PER_RECORD: usize = 2;

/// Number of requests for missed crash records, one heartbeat apart, as a request or its response may be lost.
pub(super) const CRASH_REQUESTS: u32 = 3;

/// Number of relays that send their crash records, unrequested, to a relay that starts and does not know
/// them yet.
const OFFERING_RELAYS: usize = 3;

/// Shortest time between two requests, so that a relay that discovers hundreds of others at once asks few of them.
const CRASH_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

impl InputTask {
    /// Applies the crash records of another process.
    pub(super) fn apply_crash_records(
        &mut self,
        message: &CrashReport,
        from: SocketAddr,
        now: MonoTime,
    ) {
        let new_records = self.shared.machine().crashes_mut().apply_report(message, now);
        if new_records > 0 {
            self.shared.exit_checked.notify_waiters();
            info!(self.shared.log, "told of ended replicas"; "from" => %from, "news" => new_records);
            self.log_blame_changes(&from.to_string());
        }
    }

    /// Logs which prompt parts are blamed or cleared since the last call, after a report of `source`.
    fn log_blame_changes(&mut self, source: &str) {
        let blame = self.shared.machine().crashes().book().blame();
        for (part, ends) in blame.iter().filter(|(part, _)| !self.blame.contains_key(part)) {
            info!(self.shared.log, "part of prompts blamed"; "suspect" => %part, "ends" => ends,
                "source" => source);
        }
        for part in self.blame.keys().filter(|part| !blame.contains_key(part)) {
            info!(self.shared.log, "part of prompts cleared"; "suspect" => %part, "source" => source);
        }
        self.blame = blame;
    }

    /// Sends all crash records to a relay that requests them.
    pub(super) fn answer_crash_request(&self, request: CrashAsk, now: MonoTime) {
        let known = self.shared.machine().crashes().book().all(now);
        for message in in_messages(known) {
            self.send(&PeerMessage::Crash(message), [request.relay]);
        }
    }

    /// Sends all crash records to a newly discovered relay, if this relay is among the [`OFFERING_RELAYS`] relays that
    /// rendezvous hashing selects for it.
    pub(super) fn offer_crash_records(&self, host: &str, relay: SocketAddr, now: MonoTime) {
        let own = rendezvous::weight(host, &self.shared.settings.process.host);
        let others = self.relays.keys().filter(|other| *other != host);
        let before = others.filter(|other| rendezvous::weight(host, other) > own).count();
        if before < OFFERING_RELAYS {
            self.answer_crash_request(CrashAsk { relay }, now);
        }
    }

    /// Sends new crash records, and with a heartbeat repeats recent ones.
    pub(super) fn send_crash_records(&mut self, with_heartbeat: bool, now: MonoTime) {
        let messages = self.shared.machine().crashes_mut().tell(with_heartbeat, now);
        if !messages.is_empty() {
            self.log_blame_changes("own");
        }
        for message in messages {
            let loaders = self.loaders_storing(&message);
            let relays = self.relays.values().map(|known| known.address);
            let receivers: Vec<SocketAddr> = relays.chain(loaders).collect();
            self.send(&PeerMessage::Crash(message), receivers);
        }
    }

    /// Returns the loaders that store the crash records of a message.
    fn loaders_storing(&self, message: &CrashReport) -> Vec<SocketAddr> {
        let loaders = self.loaders_of_engines();
        if !message.good.is_empty() {
            // Any loader may store exits that the successes clear.
            return loaders.into_iter().map(|(_, loader)| loader).collect();
        }
        let mut storing: Vec<SocketAddr> = Vec::new();
        for report in &message.ends {
            let mut ranked: Vec<(u64, SocketAddr)> =
                loaders.iter().map(|(_, loader)| (rank(report.end, *loader), *loader)).collect();
            ranked.sort_unstable_by(|one, other| other.cmp(one));
            storing.extend(ranked.into_iter().take(LOADERS_PER_RECORD).map(|(_, loader)| loader));
        }
        storing.sort_unstable();
        storing.dedup();
        storing
    }

    /// Starts to request missed crash records, after a start, a suspension or a loss of connectivity.
    pub(super) fn start_crash_requests(&mut self, now: MonoTime) {
        self.crash_requests_left = CRASH_REQUESTS;
        if now.saturating_sub(self.crash_requested_at) >= CRASH_REQUEST_INTERVAL {
            self.request_crash_records(now);
        }
    }

    /// Requests missed crash records from all loaders and from one other relay, a different one each time.
    pub(super) fn request_crash_records(&mut self, now: MonoTime) {
        // A relay that is cut off from the other relays may still reach loaders.
        if self.crash_requests_left == 0 && !self.shared.machine().is_maybe_partitioned() {
            return;
        }
        let loaders = self.loaders_of_engines();
        if loaders.is_empty() && self.relays.is_empty() {
            return;
        }
        self.crash_requests_left = self.crash_requests_left.saturating_sub(1);
        self.crash_requested_at = now;
        let request = PeerMessage::CrashAsk(CrashAsk { relay: self.control_address });
        let index = self.crash_requests_left as usize % self.relays.len().max(1);
        let relay = self.relays.values().map(|known| known.address).nth(index);
        self.send(&request, loaders.into_iter().map(|(_, loader)| loader).chain(relay));
    }
}

/// Returns the rendezvous weight of a loader as a place to store a crash record.
fn rank(end: ExitId, loader: SocketAddr) -> u64 {
    rendezvous::weight(&format!("{end:x}"), &loader.to_string())
}
