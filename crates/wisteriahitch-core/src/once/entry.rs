//! The table entry of one key.

use statig::blocking::{IntoStateMachineExt, StateMachine};
use wisteriahitch_types::{ByteCount, Code};

use super::answer::ENTRY_OVERHEAD_BYTES;
use super::key_state_machine::{Event, KeyState, KeyStateMachine, UnknownCause};
use super::{ClaimNonce, ClaimState, Decision, Delivery, Fingerprint, IdempotencyKey, WaiterId};

/// State, waiters and identity of one key in the table.
pub(crate) struct Entry {
    machine: StateMachine<KeyStateMachine>,
    fingerprint: Fingerprint,
    nonce: ClaimNonce,
    waiters: Vec<WaiterId>,
    /// Sequence number of the entry in the retention queue while its outcome is stored. Queue items
    /// with another number are stale.
    pub(crate) settle_sequence: Option<u64>,
}

impl Entry {
    pub(crate) fn new(key: &IdempotencyKey, fingerprint: Fingerprint, nonce: ClaimNonce) -> Self {
        let is_ticket = matches!(key, IdempotencyKey::Ticket { .. });
        Self {
            machine: KeyStateMachine::new(is_ticket).state_machine(),
            fingerprint,
            nonce,
            waiters: Vec::new(),
            settle_sequence: None,
        }
    }

    pub(crate) fn submit(&mut self, waiter: WaiterId) -> Decision {
        self.machine.handle(&Event::Submit);
        self.begin(waiter)
    }

    pub(crate) fn repeat(
        &mut self,
        fingerprint: Fingerprint,
        waiter: WaiterId,
        max_waiters: usize,
    ) -> Decision {
        if fingerprint != self.fingerprint {
            return Decision::Refuse(self.mismatch_code());
        }
        let was_unknown = matches!(self.machine.state(), KeyState::Unknown { .. });
        self.machine.handle(&Event::Repeat);
        if self.is_settled() {
            return self.outcome();
        }
        if !was_unknown {
            return self.wait(waiter, max_waiters);
        }
        self.settle_sequence = None;
        self.begin(waiter)
    }

    /// Passes an event to the state machine and returns whether the state changed.
    pub(crate) fn handle(&mut self, event: &Event) -> bool {
        let before = self.state_name();
        self.machine.handle(event);
        self.state_name() != before
    }

    /// Returns the caller whose copy is to run, or `None` if no caller waits any more.
    pub(crate) fn first_waiter(&self) -> Option<WaiterId> {
        self.waiters.first().copied()
    }

    /// Delivers the outcome to all waiters and removes them.
    pub(crate) fn deliver(&mut self) -> Delivery {
        let decision = self.outcome();
        self.deliver_as(decision)
    }

    pub(crate) fn deliver_as(&mut self, decision: Decision) -> Delivery {
        Delivery {
            waiters: std::mem::take(&mut self.waiters),
            decision,
        }
    }

    pub(crate) fn remove_waiter(&mut self, waiter: WaiterId) {
        self.waiters.retain(|other| *other != waiter);
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    pub(crate) fn nonce(&self) -> ClaimNonce {
        self.nonce
    }

    pub(crate) fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    pub(crate) fn is_deciding(&self) -> bool {
        matches!(self.machine.state(), KeyState::Deciding {})
    }

    pub(crate) fn is_settled(&self) -> bool {
        matches!(
            self.machine.state(),
            KeyState::Finished { .. } | KeyState::Refused { .. } | KeyState::Unknown { .. }
        )
    }

    /// Returns the state to write to the claim, or `None` while the outcome is not certain.
    pub(crate) fn outcome_to_write(&self, max_answer_bytes: ByteCount) -> Option<ClaimState> {
        match self.machine.state() {
            KeyState::Finished {
                answer: Some(answer),
            } => Some(ClaimState::finished(answer, max_answer_bytes)),
            KeyState::Refused { .. } => Some(ClaimState::Refused),
            _ => None,
        }
    }

    pub(crate) fn cost_bytes(&self) -> ByteCount {
        match self.machine.state() {
            KeyState::Finished {
                answer: Some(answer),
            } => answer.cost_bytes(),
            _ => ByteCount::new(ENTRY_OVERHEAD_BYTES),
        }
    }

    pub(crate) fn state_name(&self) -> &'static str {
        match self.machine.state() {
            KeyState::Fresh {} => "Fresh",
            KeyState::Deciding {} => "Deciding",
            KeyState::Claimed {} => "Claimed",
            KeyState::Dispatched {} => "Dispatched",
            KeyState::Finished { .. } => "Finished",
            KeyState::Refused { .. } => "Refused",
            KeyState::Unknown { .. } => "Unknown",
        }
    }

    /// Returns the code for a request that reuses the key with a different fingerprint.
    ///
    /// While the claim is undecided, that request may win it at another daemon and run there.
    /// [`Code::KeyReused`], which promises `not run`, is therefore returned only once the key is
    /// known to belong to this entry's request.
    fn mismatch_code(&self) -> Code {
        match self.machine.state() {
            KeyState::Fresh {} | KeyState::Deciding {} => Code::ClaimUndecided,
            KeyState::Unknown {
                cause: UnknownCause::Undecided(_) | UnknownCause::HeldElsewhere,
            } => Code::ClaimUndecided,
            _ => Code::KeyReused,
        }
    }

    /// Adds the caller whose copy is to run, after the claim is won where one is needed.
    fn begin(&mut self, waiter: WaiterId) -> Decision {
        self.waiters.push(waiter);
        if self.is_deciding() {
            return Decision::Claim(self.nonce);
        }
        Decision::Run
    }

    fn wait(&mut self, waiter: WaiterId, max_waiters: usize) -> Decision {
        if self.waiters.len() >= max_waiters {
            return Decision::Refuse(Code::ClaimUndecided);
        }
        self.waiters.push(waiter);
        Decision::Wait
    }

    fn outcome(&self) -> Decision {
        match self.machine.state() {
            KeyState::Finished {
                answer: Some(answer),
            } => Decision::Answer(answer.clone()),
            KeyState::Finished { answer: None } => Decision::Refuse(Code::AnswerGone),
            KeyState::Refused { code } => Decision::Refuse(*code),
            KeyState::Unknown { cause } => Decision::Refuse(unknown_code(*cause)),
            _ => Decision::Wait,
        }
    }
}

fn unknown_code(cause: UnknownCause) -> Code {
    match cause {
        UnknownCause::HeldElsewhere => Code::ClaimHeldElsewhere,
        UnknownCause::Undecided(code) | UnknownCause::Lost(code) => code,
    }
}
