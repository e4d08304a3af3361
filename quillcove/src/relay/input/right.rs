//! Keeps the proof young that this relay knows all keys that were taken away: asks other relays, or reads
//! the store.

use quillcove_core::access::right::RightStep;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{PeerMessage, ProofAnswer, ProofAsk};
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::store_duty::ReadReason;

use super::InputDuty;

/// Relays that are asked at once: one of them may just have gone.
const ASKED_AT_ONCE: usize = 2;

/// The last question to other relays; answers to earlier ones count for nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProofQuestions {
    number: u64,
    asked_at: Option<MonoTime>,
}

impl InputDuty {
    /// Asks for a younger proof when this relay's own gets old.
    pub(super) fn renew_right(&mut self, now: MonoTime) {
        let step = self.shared.machine().right_step(self.proofs.asked_at, now);
        match step {
            RightStep::Rest => return,
            RightStep::Ask => {},
            RightStep::AskAndRead => self.want(StorePart::Operator, ReadReason::KnowledgeOld, now),
        }
        self.proofs = ProofQuestions { number: self.proofs.number + 1, asked_at: Some(now) };
        let mut known: Vec<_> = self.relays.values().collect();
        known.sort_by_key(|known| std::cmp::Reverse(known.read_at));
        let asked = known.iter().take(ASKED_AT_ONCE).map(|known| known.address);
        let ask = ProofAsk { relay: self.control, number: self.proofs.number };
        self.send(&PeerMessage::ProofAsk(ask), asked);
    }

    /// Tells another relay how old this one's proof is.
    pub(super) fn answer_proof(&self, ask: &ProofAsk, now: MonoTime) {
        let Some(word) = self.shared.machine().knowledge().proof(now) else {
            return;
        };
        let answer = ProofAnswer { number: ask.number, word };
        self.send(&PeerMessage::Proof(answer), [ask.relay]);
    }

    /// Takes the answer to the last question.
    pub(super) fn take_proof(&mut self, answer: &ProofAnswer) {
        let asked_at = self.proofs.asked_at.filter(|_| answer.number == self.proofs.number);
        if let Some(asked_at) = asked_at {
            self.shared.machine().knowledge_mut().take_proof(&answer.word, asked_at);
        }
    }
}
