//! Renews the freshness proof, which shows that this relay knows of all revoked keys, by requests to other relays or a
//! read of the store.

use quillcove_core::access::right::ProofStep;
use quillcove_core::ids::MonoTime;
use quillcove_core::relay::beacon::{FreshnessRequest, FreshnessResponse, PeerMessage};
use quillcove_core::relay::published::StorePart;
use quillcove_core::relay::store_duty::ReadReason;

use super::InputTask;

/// Number of relays that get each request, as one of them may just have stopped.
const RELAYS_PER_REQUEST: usize = 2;

/// The last proof request to other relays; responses to earlier ones are ignored.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProofRequests {
    number: u64,
    requested_at: Option<MonoTime>,
}

impl InputTask {
    /// Requests a more recent freshness proof when that of this relay gets old.
    pub(super) fn renew_key_validity(&mut self, now: MonoTime) {
        let step = self.shared.machine().proof_step(self.proof_requests.requested_at, now);
        match step {
            ProofStep::Idle => return,
            ProofStep::Ask => {},
            ProofStep::AskAndRead => {
                self.request_read(StorePart::Operator, ReadReason::KnowledgeOld, now)
            },
        }
        self.proof_requests =
            ProofRequests { number: self.proof_requests.number + 1, requested_at: Some(now) };
        let mut known: Vec<_> = self.relays.values().collect();
        known.sort_by_key(|known| std::cmp::Reverse(known.operator_read_at));
        let receivers = known.iter().take(RELAYS_PER_REQUEST).map(|known| known.address);
        let request =
            FreshnessRequest { relay: self.control_address, number: self.proof_requests.number };
        self.send(&PeerMessage::ProofAsk(request), receivers);
    }

    /// Sends the age of this relay's freshness proof to another relay.
    pub(super) fn answer_proof_request(&self, request: &FreshnessRequest, now: MonoTime) {
        let Some(proof) = self.shared.machine().knowledge().proof(now) else {
            return;
        };
        let response = FreshnessResponse { number: request.number, word: proof };
        self.send(&PeerMessage::Proof(response), [request.relay]);
    }

    /// Applies a response to the last proof request.
    pub(super) fn handle_proof(&mut self, response: &FreshnessResponse) {
        let requested_at = self
            .proof_requests
            .requested_at
            .filter(|_| response.number == self.proof_requests.number);
        if let Some(requested_at) = requested_at {
            self.shared.machine().knowledge_mut().apply_proof(&response.word, requested_at);
        }
    }
}
