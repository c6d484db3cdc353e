//! What becomes of a key once its claim in the object store is decided.

use wisteriahitch_types::{Code, TimeUs};

use super::IdempotencyTable;
use crate::once::key_state_machine::Event;
use crate::once::{Decision, Delivery, ExistingClaim, IdempotencyKey};

impl IdempotencyTable {
    /// Notes that our claim on the key stands, and names the caller whose copy runs.
    ///
    /// Returns nothing where the key wasn't being decided, or where all callers have left: then
    /// the next copy finds our claim and runs.
    pub fn record_claim_written(&mut self, key: &IdempotencyKey) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.is_deciding() {
            return None;
        }
        let Some(first_waiter) = entry.first_waiter() else {
            // A claimed key without a caller would count as under way for ever, and keep a
            // draining process from its end.
            self.settle(key, &Event::Lost(Code::CallerGone), self.latest_now);
            return None;
        };
        entry.handle(&Event::ClaimWritten).then(|| Delivery {
            waiters: vec![first_waiter],
            decision: Decision::Run,
        })
    }

    /// Notes that another claim on the key stands, and tells the callers what that one says.
    ///
    /// The key is forgotten at once, so that each repeat reads the claim again: its holder may
    /// have died since, or have written down the answer.
    pub fn record_claim_lost(
        &mut self,
        key: &IdempotencyKey,
        claim: &ExistingClaim,
    ) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.handle(&Event::ClaimLost) {
            return None;
        }
        let decision = claim.decide(entry.fingerprint(), self.incarnation);
        let delivery = entry.deliver_as(decision);
        self.entries.remove(key);
        Some(delivery)
    }

    /// Notes that the object store couldn't decide; a repeat will ask it again.
    pub fn record_claim_undecided(
        &mut self,
        key: &IdempotencyKey,
        now: TimeUs,
    ) -> Option<Delivery> {
        self.settle(key, &Event::Lost(Code::ClaimUndecided), now)
    }
}
