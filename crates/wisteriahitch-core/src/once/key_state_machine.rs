//! The state machine of one key.
//!
//! States and events have the names that the models `specs/at_most_once_ticket.pml` and
//! `specs/at_most_once_claim.pml` use, so that both can be read side by side. The models' `Restart`
//! corresponds to a new [`IdempotencyTable`](super::IdempotencyTable). An event that a state does
//! not handle is ignored: a late answer or a second dispatch changes nothing, and a refusal by the
//! daemon after the dispatch never becomes `not run`.

use std::sync::Arc;

use statig::prelude::*;
use wisteriahitch_types::{Code, Meaning};

use super::StoredAnswer;

/// An event in the processing of a key.
#[derive(Debug)]
pub(crate) enum Event {
    /// The first copy of the request arrived.
    Submit,
    /// The claim of this daemon is in the object store.
    ClaimWritten,
    /// The object store contains another claim on the key.
    ClaimLost,
    /// The first byte is about to be sent to an endpoint.
    Dispatch,
    /// The complete answer of the endpoint arrived.
    Answer(Arc<StoredAnswer>),
    /// The outcome can no longer be determined; the code gives the cause.
    Lost(Code),
    /// This daemon refused the request before the dispatch, or the endpoint reported that it did
    /// not run it.
    Refuse(Code),
    /// A further copy of the request arrived.
    Repeat,
    /// The outcome is evicted because of its age or the memory limit.
    Expire,
}

/// Why the outcome of a key is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnknownCause {
    /// This daemon dispatched nothing, but its claim may be in the object store. A repeat may still
    /// run.
    Undecided(Code),
    /// Another daemon holds the claim.
    HeldElsewhere,
    /// The request was dispatched and no answer will arrive.
    Lost(Code),
}

/// State machine of a key from its first copy to its outcome.
#[derive(Debug)]
pub(crate) struct KeyStateMachine {
    /// Whether the key is a ticket, which needs no claim in the object store.
    is_ticket: bool,
}

impl KeyStateMachine {
    pub(crate) fn new(is_ticket: bool) -> Self {
        Self { is_ticket }
    }
}

#[state_machine(
    initial = "KeyState::fresh()",
    visibility = "pub(crate)",
    state(name = "KeyState", derive(Clone, Debug))
)]
impl KeyStateMachine {
    #[state]
    fn fresh(&self, event: &Event) -> Outcome<KeyState> {
        match event {
            Event::Submit if self.is_ticket => Transition(KeyState::claimed()),
            Event::Submit => Transition(KeyState::deciding()),
            _ => Handled,
        }
    }

    #[state]
    fn deciding(event: &Event) -> Outcome<KeyState> {
        match event {
            Event::ClaimWritten => Transition(KeyState::claimed()),
            Event::ClaimLost => Transition(KeyState::unknown(UnknownCause::HeldElsewhere)),
            // The claim is not won yet: a copy at another daemon may win it and run, so `not run`
            // must not be reported.
            Event::Lost(_) | Event::Refuse(_) => Transition(KeyState::unknown(
                UnknownCause::Undecided(Code::ClaimUndecided),
            )),
            _ => Handled,
        }
    }

    #[state]
    fn claimed(event: &Event) -> Outcome<KeyState> {
        match event {
            Event::Dispatch => Transition(KeyState::dispatched()),
            Event::Refuse(code) => Transition(KeyState::refused(*code)),
            // The caller of the copy that was to run left before the dispatch. Treating this as a
            // lost answer would make the key unusable although nothing ran.
            Event::Lost(code) => {
                let code = unknown_code(*code);
                Transition(KeyState::unknown(UnknownCause::Undecided(code)))
            }
            _ => Handled,
        }
    }

    #[state]
    fn dispatched(event: &Event) -> Outcome<KeyState> {
        match event {
            Event::Answer(answer) => Transition(KeyState::finished(Some(answer.clone()))),
            Event::Refuse(Code::EndpointRefused) => {
                Transition(KeyState::refused(Code::EndpointRefused))
            }
            // A byte may have been sent, so this daemon's refusal can no longer promise `not run`.
            Event::Refuse(_) => Transition(KeyState::unknown(UnknownCause::Lost(Code::Internal))),
            Event::Lost(code) => {
                let code = unknown_code(*code);
                Transition(KeyState::unknown(UnknownCause::Lost(code)))
            }
            _ => Handled,
        }
    }

    #[state]
    fn finished(answer: &mut Option<Arc<StoredAnswer>>, event: &Event) -> Outcome<KeyState> {
        if let Event::Expire = event {
            *answer = None;
        }
        Handled
    }

    #[state]
    fn refused(code: &mut Code, event: &Event) -> Outcome<KeyState> {
        if let Event::Repeat = event {
            *code = Code::KeyRefused;
        }
        Handled
    }

    #[state]
    fn unknown(&self, cause: &mut UnknownCause, event: &Event) -> Outcome<KeyState> {
        match (event, *cause) {
            // Nothing was dispatched and no caller received `not run`. A ticket may still run here;
            // for other keys a read of the object store shows this daemon's claim, another one, or
            // none.
            (Event::Repeat, UnknownCause::Undecided(_)) if self.is_ticket => {
                Transition(KeyState::claimed())
            }
            (Event::Repeat, UnknownCause::Undecided(_)) => Transition(KeyState::deciding()),
            _ => Handled,
        }
    }
}

/// Replaces a code that promises `not run`, or is only a notice, by [`Code::Internal`].
fn unknown_code(code: Code) -> Code {
    match code.meaning() {
        Meaning::OutcomeUnknown => code,
        Meaning::NotRun | Meaning::Notice => Code::Internal,
    }
}
