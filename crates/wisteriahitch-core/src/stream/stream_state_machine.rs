//! The state machine of a token stream.
//!
//! There is no model of it in `specs/`, since each stream is decided by one process. Property tests
//! of this crate check it instead.

use statig::prelude::*;

/// An event in a token stream.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The head of the current attempt arrived with the expected weight version.
    Head,
    /// The last token was passed on.
    Last,
    /// The current attempt cannot continue.
    Break,
    /// A new attempt begins.
    Attempt,
    /// No further attempt will be made.
    GiveUp,
}

/// State machine of a stream from its first attempt to the end of the answer.
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
