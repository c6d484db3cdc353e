//! Keys of non-repeatable requests, and the copies that wait for their outcome.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use wisteriahitch_core::once::{
    ClaimBatcher, ClaimHolder, ClaimLimits, Decision, Delivery, Fingerprint, IdempotencyKey,
    IdempotencyTable, StoredAnswer, TableLimits, TicketIssuer, TicketSecret, WaiterId,
};
use wisteriahitch_types::{Code, TimeUs};

use crate::shared::Shared;

/// All state about keys that this process decides for or waits for.
pub(crate) struct OnceState {
    /// Issues and verifies the tickets of this process.
    pub(crate) issuer: TicketIssuer,
    /// Known keys with their state.
    pub(crate) table: IdempotencyTable,
    /// Claims that are being written to the platform.
    pub(crate) claims: ClaimBatcher,
    waiters: HashMap<WaiterId, oneshot::Sender<Decision>>,
    next_waiter: u64,
}

/// The table's decision for a copy of a request, or the wait for it.
pub(crate) enum PendingDecision {
    /// The decision has been made.
    Ready(Decision),
    /// The decision will arrive on this channel.
    Waiting(oneshot::Receiver<Decision>),
}

impl OnceState {
    /// Creates the empty state of a daemon incarnation.
    pub(crate) fn new(holder: ClaimHolder) -> Self {
        let incarnation = holder.incarnation;
        Self {
            issuer: TicketIssuer::new(incarnation, TicketSecret::new(rand::random())),
            table: IdempotencyTable::new(incarnation, TableLimits::default()),
            claims: ClaimBatcher::new(holder, ClaimLimits::default()),
            waiters: HashMap::new(),
            next_waiter: 0,
        }
    }

    /// Returns whether a new claim on `key` would exceed the number of waiting copies allowed.
    ///
    /// Each copy waits in a task of its own with its body, also after its caller has disconnected.
    /// While the platform is slow, callers that disconnect and retry would otherwise exhaust the
    /// memory. Since nothing is known of the key, its refusal says that the outcome is unknown.
    fn exceeds_waiter_limit(&self, key: &IdempotencyKey, max_waiters: usize) -> bool {
        let needs_claim = matches!(key, IdempotencyKey::Claimed { .. });
        needs_claim && self.waiters.len() >= max_waiters && self.table.nonce(key).is_none()
    }

    fn open_waiter(&mut self) -> (WaiterId, oneshot::Receiver<Decision>) {
        self.next_waiter += 1;
        let waiter = WaiterId::new(self.next_waiter);
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(waiter, sender);
        (waiter, receiver)
    }

    /// Delivers a decision to every waiting copy.
    ///
    /// If the copy chosen to run has already ended, its key is released. Otherwise the key would
    /// stay claimed, and every repeat would wait for a run that never starts.
    pub(crate) fn deliver(&mut self, key: &IdempotencyKey, delivery: Delivery, now: TimeUs) {
        let mut is_run_lost = false;
        for waiter in delivery.waiters {
            let sender = self.waiters.remove(&waiter);
            let is_delivered = sender.is_some_and(|s| s.send(delivery.decision.clone()).is_ok());
            is_run_lost |= !is_delivered && delivery.decision == Decision::Run;
        }
        if is_run_lost {
            let next = self.table.record_lost(key, Code::CallerGone, now);
            self.deliver(key, next, now);
        }
    }
}

impl Shared {
    /// Submits a copy of a keyed request to the table.
    pub(crate) fn submit_key(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> PendingDecision {
        let now = self.clock.now();
        let mut once = self.once.lock();
        if once.exceeds_waiter_limit(key, self.settings.limits.queued_requests as usize) {
            return PendingDecision::Ready(Decision::Refuse(Code::ClaimUndecided));
        }
        let (waiter, receiver) = once.open_waiter();
        let decision = once.table.submit(key, fingerprint, waiter, now);
        once.issuer.mark_used(key);
        match decision {
            Decision::Wait => PendingDecision::Waiting(receiver),
            Decision::Claim(nonce) => {
                drop(once);
                self.claim(key, fingerprint, nonce);
                PendingDecision::Waiting(receiver)
            }
            decided => {
                once.waiters.remove(&waiter);
                PendingDecision::Ready(decided)
            }
        }
    }

    /// Creates the guard that settles a key when its run ends.
    pub(crate) fn open_settlement(self: &Arc<Self>, key: IdempotencyKey) -> Settlement {
        Settlement {
            shared: Arc::clone(self),
            key,
            is_settled: false,
        }
    }
}

/// Guard that settles a key's run in the table, even if its task panics.
///
/// A run that ended without settling would leave its key dispatched forever, and every repeat would
/// wait without an answer.
pub(crate) struct Settlement {
    shared: Arc<Shared>,
    key: IdempotencyKey,
    is_settled: bool,
}

impl Settlement {
    /// Records the whole answer and returns the decision for the copy that ran.
    pub(crate) fn finish(self, answer: Arc<StoredAnswer>) -> Decision {
        self.settle(|once, key, now| once.table.record_answer(key, answer, now))
    }

    /// Records that the request was refused before its dispatch and returns the decision for its
    /// copy.
    pub(crate) fn refuse(self, code: Code) -> Decision {
        self.settle(|once, key, now| once.table.record_refusal(key, code, now))
    }

    /// Records that no endpoint ran the request after its dispatch, either because the endpoint
    /// said so or because no byte of it was sent.
    pub(crate) fn refuse_by_endpoint(self) -> Decision {
        self.settle(|once, key, now| once.table.record_endpoint_refusal(key, now))
    }

    /// Records that it is unknown whether the request ran.
    pub(crate) fn mark_outcome_unknown(self, code: Code) -> Decision {
        self.settle(|once, key, now| once.table.record_lost(key, code, now))
    }

    fn settle(
        mut self,
        step: impl FnOnce(&mut OnceState, &IdempotencyKey, TimeUs) -> Delivery,
    ) -> Decision {
        self.is_settled = true;
        let now = self.shared.clock.now();
        let mut once = self.shared.once.lock();
        let delivery = step(&mut once, &self.key, now);
        let decision = delivery.decision.clone();
        // Only the table knows which outcome is certain. If this run wrote its own late refusal,
        // other daemons would answer `not run` for a request that ran.
        let limit = ClaimLimits::default().max_answer_bytes;
        let outcome = once.table.outcome_to_write(&self.key, limit);
        once.deliver(&self.key, delivery, now);
        drop(once);
        if let Some((nonce, state)) = outcome {
            self.shared.settle_claim(&self.key, nonce, state);
        }
        decision
    }
}

impl Drop for Settlement {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let now = self.shared.clock.now();
        let mut once = self.shared.once.lock();
        let delivery = once.table.record_lost(&self.key, Code::Internal, now);
        once.deliver(&self.key, delivery, now);
    }
}
