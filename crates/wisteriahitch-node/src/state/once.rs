//! Keys of requests that may not be repeated, and the copies that wait for them.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use wisteriahitch_core::once::{
    ClaimBatcher, ClaimHolder, ClaimLimits, ClaimNonce, ClaimState, Decision, Delivery,
    Fingerprint, KeptAnswer, KeyedTable, OnceKey, TableLimits, TicketIssuer, TicketSecret,
    WaiterId,
};
use wisteriahitch_types::Code;

use crate::shared::Shared;

/// Holds everything about keys that this process decides for or waits for.
pub(crate) struct OnceState {
    /// Tickets of this process.
    pub(crate) issuer: TicketIssuer,
    /// Keys that it knows.
    pub(crate) table: KeyedTable,
    /// Claims that are being written.
    pub(crate) claims: ClaimBatcher,
    waiters: HashMap<WaiterId, oneshot::Sender<Decision>>,
    next_waiter: u64,
}

/// What a copy of a request waits for.
pub(crate) enum WaitedDecision {
    /// The decision is there.
    Now(Decision),
    /// The decision comes later.
    Later(oneshot::Receiver<Decision>),
}

impl OnceState {
    /// Builds the empty state of one life of a process.
    pub(crate) fn new(holder: ClaimHolder) -> Self {
        let incarnation = holder.incarnation;
        Self {
            issuer: TicketIssuer::new(incarnation, TicketSecret::new(rand::random())),
            table: KeyedTable::new(incarnation, TableLimits::default()),
            claims: ClaimBatcher::new(holder, ClaimLimits::default()),
            waiters: HashMap::new(),
            next_waiter: 0,
        }
    }

    fn open_waiter(&mut self) -> (WaiterId, oneshot::Receiver<Decision>) {
        self.next_waiter += 1;
        let waiter = WaiterId::new(self.next_waiter);
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(waiter, sender);
        (waiter, receiver)
    }

    /// Tells every copy that waited what was decided.
    pub(crate) fn deliver(&mut self, delivery: Delivery) {
        for waiter in delivery.waiters {
            if let Some(sender) = self.waiters.remove(&waiter) {
                // A copy whose task has ended needs no word.
                let _ = sender.send(delivery.decision.clone());
            }
        }
    }
}

impl Shared {
    /// Brings a copy of a keyed request to the table.
    pub(crate) fn submit_key(
        self: &Arc<Self>,
        key: &OnceKey,
        fingerprint: Fingerprint,
    ) -> WaitedDecision {
        let now = self.clock.now();
        let mut once = self.once.lock();
        let (waiter, receiver) = once.open_waiter();
        let decision = once.table.submit(key, fingerprint, waiter, now);
        once.issuer.note_used(key);
        match decision {
            Decision::Wait => WaitedDecision::Later(receiver),
            Decision::Claim(nonce) => {
                drop(once);
                self.claim(key, fingerprint, nonce);
                WaitedDecision::Later(receiver)
            }
            decided => {
                once.waiters.remove(&waiter);
                WaitedDecision::Now(decided)
            }
        }
    }

    /// Opens the record of how a key's run ends.
    pub(crate) fn open_settlement(self: &Arc<Self>, key: OnceKey) -> Settlement {
        Settlement {
            shared: Arc::clone(self),
            key,
            is_settled: false,
        }
    }
}

/// Sees to it that a key's run ends in the table, whatever happens to its task.
///
/// A run that vanished, such as by a panic, would leave its key dispatched for ever, and every
/// repeat would wait without an answer.
pub(crate) struct Settlement {
    shared: Arc<Shared>,
    key: OnceKey,
    is_settled: bool,
}

impl Settlement {
    /// Notes the whole answer.
    pub(crate) fn finish(mut self, answer: Arc<KeptAnswer>) {
        self.is_settled = true;
        let now = self.shared.clock.now();
        let limit = ClaimLimits::default().answer_bytes;
        let state = ClaimState::finished(&answer, limit);
        let mut once = self.shared.once.lock();
        let delivery = once.table.finished(&self.key, answer, now);
        let nonce = once.table.nonce(&self.key);
        once.deliver(delivery);
        drop(once);
        self.write_down(nonce, state);
    }

    /// Notes that the request certainly was not run; this uses the key up.
    ///
    /// Before the dispatch that is this process's own word, after it the endpoint's.
    pub(crate) fn refuse(mut self, code: Code) {
        self.is_settled = true;
        let now = self.shared.clock.now();
        let mut once = self.shared.once.lock();
        let delivery = match code {
            Code::EndpointRefused => once.table.endpoint_refused(&self.key, now),
            code => once.table.refused(&self.key, code, now),
        };
        let nonce = once.table.nonce(&self.key);
        once.deliver(delivery);
        drop(once);
        self.write_down(nonce, ClaimState::Refused);
    }

    /// Notes that nobody knows whether the request ran.
    pub(crate) fn lose(mut self, code: Code) {
        self.lose_now(code);
    }

    fn lose_now(&mut self, code: Code) {
        self.is_settled = true;
        let now = self.shared.clock.now();
        let mut once = self.shared.once.lock();
        let delivery = once.table.lost(&self.key, code, now);
        once.deliver(delivery);
    }

    fn write_down(&self, nonce: Option<ClaimNonce>, state: ClaimState) {
        if let Some(nonce) = nonce {
            self.shared.settle_claim(&self.key, nonce, state);
        }
    }
}

impl Drop for Settlement {
    fn drop(&mut self) {
        if !self.is_settled {
            self.lose_now(Code::Internal);
        }
    }
}
