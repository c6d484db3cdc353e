//! The life cycle of a token stream.
//!
//! It has no model in `specs/`, since one process alone decides each stream; generated runs in the
//! crate's tests hold it to its promises.

use statig::prelude::*;

/// Reports what happened to a stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The head of the current attempt names the right weights.
    Head,
    /// The last token was passed on.
    Last,
    /// The current attempt can't go on.
    Break,
    /// A further attempt begins.
    Attempt,
    /// No further attempt will be made.
    GiveUp,
}

/// Carries a stream from its first attempt to its end.
#[derive(Debug)]
pub(crate) struct StreamStateMachine;

#[state_machine(
    initial = "StreamState::awaiting_head()",
    visibility = "pub(crate)",
    state(name = "StreamState", derive(Clone, Copy, Debug, Eq, PartialEq))
)]
impl StreamStateMachine {
    #[state]
    fn awaiting_head(event: &Event) -> Outcome<StreamState> {
        match event {
            Event::Head => Transition(StreamState::streaming()),
            Event::Break => Transition(StreamState::broken()),
            _ => Handled,
        }
    }

    #[state]
    fn streaming(event: &Event) -> Outcome<StreamState> {
        match event {
            Event::Last => Transition(StreamState::complete()),
            Event::Break => Transition(StreamState::broken()),
            Event::GiveUp => Transition(StreamState::incomplete()),
            _ => Handled,
        }
    }

    #[state]
    fn broken(event: &Event) -> Outcome<StreamState> {
        match event {
            Event::Attempt => Transition(StreamState::awaiting_head()),
            Event::GiveUp => Transition(StreamState::incomplete()),
            _ => Handled,
        }
    }

    #[state]
    fn complete() -> Outcome<StreamState> {
        Handled
    }

    #[state]
    fn incomplete() -> Outcome<StreamState> {
        Handled
    }
}
