//! Reports and questions about where resumable streams began.
//!
//! The holders of a stream are loaders, which outlive the relays. Where a site has no engines, relays hold the origins
//! instead. A small fleet also asks all its relays, as each knows the streams that it has begun itself.

use std::net::SocketAddr;

use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::PeerMessage;
use quillcove_core::relay::origin::{
    HOLDERS, OriginAnswer, OriginQuestion, StreamKey, rank_holders,
};

use super::InputTask;

/// Maximum number of other relays that are asked for the origin of a stream.
const MAX_ASKED_RELAYS: usize = 8;

impl InputTask {
    /// Sends the pending reports of streams that began here, and the pending questions.
    pub(super) fn send_origins(&self) {
        let (reports, questions) = {
            let mut machine = self.shared.machine();
            let origins = machine.origins_mut();
            (origins.take_reports(), origins.take_questions())
        };
        for report in reports {
            let holders = self.holders_of(report.stream);
            self.send(&PeerMessage::Origin(report), holders);
        }
        for stream in questions {
            let asked = self.asked_about(stream);
            self.shared.machine().origins_mut().note_asked(stream, &asked);
            if asked.is_empty() {
                self.shared.origin_answered.notify_waiters();
            }
            let question = OriginQuestion { relay: self.control_address, stream };
            self.send(&PeerMessage::OriginAsk(question), asked);
        }
    }

    fn holders_of(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let engines = self.shared.machine().origin_holders(stream);
        match engines.is_empty() {
            true => rank_holders(stream, self.relay_addresses(), HOLDERS),
            false => engines.into_iter().map(|engine| self.loader_of(engine)).collect(),
        }
    }

    fn asked_about(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let now = self.shared.clock.now();
        let engines = self.shared.machine().asked_holders(stream, now);
        let asks_relays = engines.is_empty() || self.relays.len() <= MAX_ASKED_RELAYS;
        let relay_count = if asks_relays { MAX_ASKED_RELAYS } else { 0 };
        let loaders = engines.into_iter().map(|engine| self.loader_of(engine));
        loaders.chain(rank_holders(stream, self.relay_addresses(), relay_count)).collect()
    }

    fn relay_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.relays.values().map(|known| known.address)
    }

    /// Answers another relay's question for the origin of a stream.
    pub(super) fn answer_origin_question(&self, question: OriginQuestion, now: MonoTime) {
        let answer = self.shared.machine().origins().book().answer(question.stream, now);
        self.send(&PeerMessage::OriginReply(answer), [question.relay]);
    }

    /// Applies the answer of a holder, and notifies the requests that wait for it.
    pub(super) fn take_origin_answer(
        &self,
        answer: &OriginAnswer,
        from: SocketAddr,
        now: MonoTime,
    ) {
        if self.shared.machine().origins_mut().take_answer(answer, from, now) {
            self.shared.origin_answered.notify_waiters();
        }
    }
}
