//! Loads under which the engine ended, and what relays have told of ended replicas.

use std::net::SocketAddr;

use quillcove_core::crash::digest::load_identity;
use quillcove_core::crash::teller::in_messages;
use quillcove_core::crash::watch::AnswerBreak;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{AdapterKey, PeerMessage};
use quillcove_core::relay::loader::BrokenLoad;
use slog::info;

use super::LoaderDuty;

impl LoaderDuty {
    /// Notes that the load of an adapter came to a good end.
    pub(super) fn note_good_load(&mut self, key: &AdapterKey, now: MonoTime) {
        let version = self.machine.report().version_of(key);
        self.crashes.note_good(load_identity(key, version), now);
    }

    /// Notes the loads under which the engine ended.
    pub(super) fn note_broken_loads(&mut self, broken: &[BrokenLoad], now: MonoTime) {
        for load in broken {
            info!(self.log, "engine ended while it loaded"; "model" => &load.key.model,
                "adapter" => &load.key.adapter, "version" => load.version,
                "replica" => &load.run.replica);
            let identity = load_identity(&load.key, load.version);
            let broke = AnswerBreak { identity, has_begun: false, sent_at: now };
            self.crashes.note_broken(&load.run, broke, now);
            self.crashes.confirm_end(&load.run, now);
        }
    }

    /// Tells relays of the loads under which the engine ended.
    pub(super) fn tell_ends(&mut self, is_beacon: bool, now: MonoTime) {
        for message in self.crashes.tell(is_beacon, now) {
            self.send(&PeerMessage::Crash(message), self.relays.all());
        }
    }

    /// Tells a relay all that this loader was told of ended replicas, and what it has seen itself.
    pub(super) fn tell_crashes(&self, relay: SocketAddr, now: MonoTime) {
        for message in in_messages(self.crashes.book().all(now)) {
            self.send(&PeerMessage::Crash(message), [relay]);
        }
    }
}
