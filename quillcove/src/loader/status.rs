//! The engine's status for relays where adapter slots are scarce: whether the engine responds, and the replies to load
//! requests.

use std::io::ErrorKind;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::relay::engine_status::{EngineStatus, LoadReply};
use quillcove_core::relay::loader::EngineContact;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, HEARTBEAT_INTERVAL, LoaderTask};
use crate::web::client::WebError;

impl LoaderTask {
    /// Records whether the engine responded to a call, and sends its status at once if it has become unreachable. Only a
    /// report shows that it is reachable again, see [`Self::record_reachable`].
    pub(super) async fn record_contact(&mut self, error: Option<&WebError>) {
        let contact = match error {
            None | Some(WebError::Status(_)) if !self.machine.is_reachable() => return,
            None | Some(WebError::Status(_)) => EngineContact::Responded,
            Some(WebError::Lost(_)) => EngineContact::Unanswered,
            Some(WebError::NotSent(_)) if self.machine.is_contended(self.clock.now()) => {
                self.probe_port().await
            },
            Some(WebError::NotSent(_)) => EngineContact::Unanswered,
        };
        self.apply_contact(contact);
        self.send_replies();
    }

    /// Records that the engine's report could be read. A process that responds with an error while it starts or exits
    /// serves no requests. That it is reachable is announced with the report, so that relays learn what it holds.
    pub(super) fn record_reachable(&mut self) {
        self.apply_contact(EngineContact::Responded);
    }

    fn apply_contact(&mut self, contact: EngineContact) {
        let now = self.clock.now();
        if self.machine.record_contact(contact, now) {
            let is_reachable = self.machine.is_reachable();
            info!(self.log, "engine's reachability changed"; "is_reachable" => is_reachable,
                "contact" => ?contact, "is_announced" => self.machine.is_contended(now));
            if !is_reachable {
                self.send_status(now);
            }
        }
    }

    /// Connects to the engine's port after a call that could not be sent. Only a refused connection shows that no
    /// process listens there; the call may also have failed for want of a local resource.
    async fn probe_port(&self) -> EngineContact {
        let attempt = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.settings.engine.address));
        match attempt.await {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                EngineContact::Refused
            },
            _ => EngineContact::Unanswered,
        }
    }

    /// Sends the engine's status while it does not respond, so that no heartbeat carries one.
    pub(super) fn send_overdue_status(&mut self, now: MonoTime) {
        let is_due = now.saturating_sub(self.last_status) >= HEARTBEAT_INTERVAL;
        if is_due && self.machine.is_contended(now) {
            self.expire_relays(now);
            self.send_status(now);
        }
    }

    /// Sends the replies to load requests.
    pub(super) fn send_replies(&mut self) {
        for reply in self.machine.take_replies() {
            info!(self.log, "load request answered"; "relay" => %reply.relay,
                "model" => &reply.key.model, "adapter" => &reply.key.adapter,
                "outcome" => ?reply.outcome);
            let engine = self.settings.engine.address;
            let message = LoadReply { engine, key: reply.key, outcome: reply.outcome };
            self.send(&PeerMessage::Reply(message), [reply.relay]);
        }
    }

    /// Sends the engine's status to relays where the rules for scarce adapter slots apply.
    pub(super) fn send_status(&mut self, now: MonoTime) {
        if !self.machine.is_contended(now) {
            return;
        }
        self.last_status = now;
        let status = EngineStatus {
            number: self.next_number(),
            incarnation: self.incarnation,
            ..self.machine.status(self.settings.engine.address, now)
        };
        if let Ok(mut view) = self.view.lock() {
            view.status = Some(status.clone());
        }
        self.send(&PeerMessage::Status(status), self.relays.all());
    }
}
