//! Applies the result of a claim in the object store to the key.

use wisteriahitch_types::{Code, TimeUs};

use super::IdempotencyTable;
use crate::once::key_state_machine::Event;
use crate::once::{Decision, Delivery, ExistingClaim, IdempotencyKey};

impl IdempotencyTable {
    /// Records that the claim of this daemon is in the object store, and returns the caller whose
    /// copy runs.
    ///
    /// Returns `None` if the key was not waiting for a claim, or if all callers have left. In the
    /// latter case the next copy finds the claim and runs.
    pub fn claim_written(&mut self, key: &IdempotencyKey) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.is_deciding() {
            return None;
        }
        let Some(first_waiter) = entry.first_waiter() else {
            // A claimed key without a caller would stay unsettled for ever and keep a draining
            // process from exiting.
            self.settle(key, &Event::Lost(Code::CallerGone), self.latest_now);
            return None;
        };
        entry.handle(&Event::ClaimWritten).then(|| Delivery {
            waiters: vec![first_waiter],
            decision: Decision::Run,
        })
    }

    /// Records that the object store contains another claim on the key, and returns the decision
    /// for the callers that waited.
    ///
    /// The key is removed from the table, so that each repeat reads the claim again: its holder may
    /// have died since, or may have written the answer.
    pub fn claim_lost(&mut self, key: &IdempotencyKey, claim: &ExistingClaim) -> Option<Delivery> {
        let entry = self.entries.get_mut(key)?;
        if !entry.handle(&Event::ClaimLost) {
            return None;
        }
        let decision = claim.decide(entry.fingerprint(), self.incarnation);
        let delivery = entry.deliver_as(decision);
        self.entries.remove(key);
        Some(delivery)
    }

    /// Records that the claim could not be decided. A repeat tries again.
    pub fn claim_undecided(&mut self, key: &IdempotencyKey, now: TimeUs) -> Option<Delivery> {
        self.settle(key, &Event::Lost(Code::ClaimUndecided), now)
    }
}
