//! Crash records in the loader: loads during which the engine's process exited, and records
//! received from relays about replicas that exited.

use std::net::SocketAddr;

use quillcove_core::crash::digest::load_identity;
use quillcove_core::crash::teller::in_messages;
use quillcove_core::crash::watch::ResponseAbort;
use quillcove_core::ids::{AdapterKey, MonoTime};
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::relay::loader::BrokenLoad;
use slog::info;

use super::LoaderTask;

impl LoaderTask {
    /// Records that an adapter was loaded without a replica exit.
    pub(super) fn record_good_load(&mut self, key: &AdapterKey, now: MonoTime) {
        let version = self.machine.report().version_of(key);
        self.crashes.record_success(load_identity(key, version), now);
    }

    /// Records the loads that were in progress when the engine's process exited.
    pub(super) fn record_broken_loads(&mut self, broken: &[BrokenLoad], now: MonoTime) {
        for load in broken {
            info!(self.log, "engine ended while it loaded"; "model" => &load.key.model,
                "adapter" => &load.key.adapter, "version" => load.version,
                "replica" => &load.run.replica);
            let identity = load_identity(&load.key, load.version);
            let answer_break = ResponseAbort { identity, has_other_cause: false, sent_at: now };
            self.crashes.record_abort(&load.run, answer_break, now);
            self.crashes.confirm_exit(&load.run, now);
        }
    }

    /// Sends all relays the crash records that are due.
    pub(super) fn send_due_crashes(&mut self, is_heartbeat: bool, now: MonoTime) {
        for message in self.crashes.tell(is_heartbeat, now) {
            self.send(&PeerMessage::Crash(message), self.relays.all());
        }
    }

    /// Sends a relay every crash record of this loader, both received and recorded here.
    pub(super) fn send_all_crashes(&self, relay: SocketAddr, now: MonoTime) {
        for message in in_messages(self.crashes.book().all(now)) {
            self.send(&PeerMessage::Crash(message), [relay]);
        }
    }
}
