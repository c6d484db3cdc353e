//! The life cycle of one key.
//!
//! States and events have the names of the models `specs/at_most_once_ticket.pml` and
//! `specs/at_most_once_claim.pml`, so that they can be read side by side; the models' `Restart` is
//! a new [`IdempotencyTable`](super::IdempotencyTable). What an event does not change in a state, it leaves alone: a late answer, a second
//! dispatch or a refusal after dispatch has no effect here, whatever the shell asks for.

use std::sync::Arc;

use statig::prelude::*;
use wisteriahitch_types::{Code, Meaning};

use super::StoredAnswer;

/// Reports what happened to a key.
#[derive(Debug)]
pub(crate) enum Event {
    /// The first copy arrived.
    Submit,
    /// Our claim stands in the object store.
    ClaimWritten,
    /// Another claim stands there.
    ClaimLost,
    /// The first byte is about to leave for an endpoint.
    Dispatch,
    /// The endpoint's whole answer is here.
    Answer(Arc<StoredAnswer>),
    /// What became of it can't be found out any more.
    Lost(Code),
    /// The decider refuses before dispatch, or the endpoint itself said that it did not run it.
    Refuse(Code),
    /// A later copy arrived.
    Repeat,
    /// The time or room for keeping the outcome has run out.
    Expire,
}

/// Says why the outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnknownCause {
    /// Nothing was dispatched, but our claim may stand; a repeat may go on from there.
    Undecided(Code),
    /// Another daemon decides for the key.
    HeldElsewhere,
    /// It was dispatched, and no answer will come.
    Lost(Code),
}

/// Carries one key from its first copy to its outcome.
#[derive(Debug)]
pub(crate) struct KeyStateMachine {
    /// Whether this process decides for the key without asking the object store.
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
            // Not the decider yet: a copy elsewhere may win the claim, so `not run` can't be said.
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
            // The copy that was to run has gone before its first byte left. Taken for a lost
            // answer, the key would be dead although nothing ever ran.
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
            // A byte may have left, so a refusal that is ours would be untrue from here on.
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
            // Nothing was dispatched and nobody was told `not run`. A ticket is still ours to run;
            // the store shows our own claim, another's, or none.
            (Event::Repeat, UnknownCause::Undecided(_)) if self.is_ticket => {
                Transition(KeyState::claimed())
            }
            (Event::Repeat, UnknownCause::Undecided(_)) => Transition(KeyState::deciding()),
            _ => Handled,
        }
    }
}

/// Keeps a code that promises `not run` from being given where that isn't known.
fn unknown_code(code: Code) -> Code {
    match code.meaning() {
        Meaning::OutcomeUnknown => code,
        Meaning::NotRun | Meaning::Notice => Code::Internal,
    }
}
