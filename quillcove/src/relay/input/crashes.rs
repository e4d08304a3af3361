//! What this relay and others tell each other of requests under which replicas end.
//!
//! Each relay tells all others at once. Loaders keep what they are told, two of them for each end, for relays
//! that start again: after a loss of all relays they are the ones who remember.

use std::net::SocketAddr;
use std::time::Duration;

use quillcove_core::crash::teller::in_messages;
use quillcove_core::crash::telling::{CrashAsk, CrashBeacon, EndId};
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::rendezvous;
use slog::info;

use super::InputDuty;

/// Loaders that are told of each end. One of them may be lost with the engine's host.
const KEEPERS_OF_END: usize = 2;

/// Times that a relay asks for what it may have missed, one beacon apart: an ask or its answer may be lost.
pub(super) const ASK_TIMES: u32 = 3;

/// Relays that tell one which starts what they know, before it has heard of them.
const GREETERS: usize = 3;

/// Shortest time between two asks, so that a relay which hears hundreds at once asks few of them.
const ASK_PAUSE: Duration = Duration::from_millis(100);

impl InputDuty {
    /// Takes what another process tells.
    pub(super) fn take_crashes(&mut self, beacon: &CrashBeacon, from: SocketAddr, now: MonoTime) {
        let news = self.shared.machine().crashes_mut().take(beacon, now);
        if news > 0 {
            info!(self.shared.log, "told of ended replicas"; "from" => %from, "news" => news);
        }
    }

    /// Answers a relay that may have missed something.
    pub(super) fn answer_crashes(&self, ask: CrashAsk, now: MonoTime) {
        let known = self.shared.machine().crashes().book().all(now);
        for message in in_messages(known) {
            self.send(&PeerMessage::Crash(message), [ask.relay]);
        }
    }

    /// Tells a relay that was heard for the first time what is known, if it is this relay's turn: three do, of
    /// however many there are.
    pub(super) fn greet_with_crashes(&self, host: &str, relay: SocketAddr, now: MonoTime) {
        let own = rendezvous::weight(host, &self.shared.settings.process.host);
        let others = self.relays.keys().filter(|other| *other != host);
        let before = others.filter(|other| rendezvous::weight(host, other) > own).count();
        if before < GREETERS {
            self.answer_crashes(CrashAsk { relay }, now);
        }
    }

    /// Tells what is new, and with a beacon what was told lately.
    pub(super) fn tell_crashes(&self, is_beacon: bool, now: MonoTime) {
        let messages = self.shared.machine().crashes_mut().tell(is_beacon, now);
        for message in messages {
            let keepers = self.keepers_of(&message);
            let relays = self.relays.values().map(|known| known.address);
            let receivers: Vec<SocketAddr> = relays.chain(keepers).collect();
            self.send(&PeerMessage::Crash(message), receivers);
        }
    }

    /// Loaders that keep what a message tells.
    fn keepers_of(&self, message: &CrashBeacon) -> Vec<SocketAddr> {
        let loaders = self.loaders_of_engines();
        let mut keepers: Vec<SocketAddr> = Vec::new();
        for report in &message.ends {
            let mut ranked: Vec<(u64, SocketAddr)> =
                loaders.iter().map(|(_, loader)| (rank(report.end, *loader), *loader)).collect();
            ranked.sort_unstable_by(|one, other| other.cmp(one));
            keepers.extend(ranked.into_iter().take(KEEPERS_OF_END).map(|(_, loader)| loader));
        }
        keepers.sort_unstable();
        keepers.dedup();
        keepers
    }

    /// Begins to ask for what this relay may have missed, as it has just started, was paused or cut off.
    pub(super) fn miss_crashes(&mut self, now: MonoTime) {
        self.crash_asks = ASK_TIMES;
        if now.saturating_sub(self.crash_asked_at) >= ASK_PAUSE {
            self.ask_for_crashes(now);
        }
    }

    /// Asks for what this relay may have missed: one other relay, in turn, and the loaders.
    pub(super) fn ask_for_crashes(&mut self, now: MonoTime) {
        // Who is cut off from the other relays may still be heard by loaders.
        if self.crash_asks == 0 && !self.shared.machine().hears_few_relays() {
            return;
        }
        let loaders = self.loaders_of_engines();
        if loaders.is_empty() && self.relays.is_empty() {
            return;
        }
        self.crash_asks = self.crash_asks.saturating_sub(1);
        self.crash_asked_at = now;
        let ask = PeerMessage::CrashAsk(CrashAsk { relay: self.control });
        let place = self.crash_asks as usize % self.relays.len().max(1);
        let relay = self.relays.values().map(|known| known.address).nth(place);
        self.send(&ask, loaders.into_iter().map(|(_, loader)| loader).chain(relay));
    }
}

fn rank(end: EndId, loader: SocketAddr) -> u64 {
    rendezvous::weight(&format!("{end:x}"), &loader.to_string())
}
