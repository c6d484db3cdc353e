//! The life cycle of one block as a state machine.
//!
//! Its start stands for the model's `Reserved` step. The model's writer is the
//! [`SavePlanner`](super::SavePlanner); its readers, from `Found` to `Running`, are the transfers
//! of the [`ImportPlanner`](super::ImportPlanner), whose last step is the endpoint's own.

use std::fmt;
use wisteriahitch_types::BlockState;

use serde::Serialize;
use statig::prelude::*;

/// Names what may happen to a block, by the names of the model `specs/block_life.pml`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockEvent {
    /// Content starts to arrive.
    Write,
    /// Length and checksum are fixed.
    Seal,
    /// Readers are let in.
    Publish,
    /// A reader starts.
    Pin,
    /// A reader ends.
    Unpin,
    /// No new reader is let in.
    Drain,
    /// The room is given back.
    Free,
    /// The store's incarnation has ended.
    StoreDied,
}

/// Holds what a block remembers beside its state.
#[derive(Debug, Default)]
pub(crate) struct BlockStateStorage {
    pins: u32,
}

impl BlockStateStorage {
    fn unpin(&mut self) -> Outcome<State> {
        self.pins = self.pins.saturating_sub(1);
        Handled
    }
}

#[state_machine(
    initial = "State::reserved()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq))
)]
impl BlockStateStorage {
    #[state]
    fn reserved(&mut self, event: &BlockEvent) -> Outcome<State> {
        match event {
            BlockEvent::Write => Transition(State::writing()),
            BlockEvent::Free | BlockEvent::StoreDied => Transition(State::freed()),
            _ => Handled,
        }
    }

    #[state]
    fn writing(&mut self, event: &BlockEvent) -> Outcome<State> {
        match event {
            BlockEvent::Seal => Transition(State::sealed()),
            BlockEvent::Free | BlockEvent::StoreDied => Transition(State::freed()),
            _ => Handled,
        }
    }

    #[state]
    fn sealed(&mut self, event: &BlockEvent) -> Outcome<State> {
        match event {
            BlockEvent::Publish => Transition(State::readable()),
            BlockEvent::Free | BlockEvent::StoreDied => Transition(State::freed()),
            _ => Handled,
        }
    }

    #[state]
    fn readable(&mut self, event: &BlockEvent) -> Outcome<State> {
        match event {
            BlockEvent::Pin => {
                self.pins += 1;
                Handled
            }
            BlockEvent::Unpin => self.unpin(),
            BlockEvent::Drain => Transition(State::draining()),
            BlockEvent::StoreDied => Transition(State::freed()),
            _ => Handled,
        }
    }

    // Without this state a block would be freed under a reader: the engine would read another
    // block's bytes, seen as checksum failures. The free waits for the last pin instead.
    #[state]
    fn draining(&mut self, event: &BlockEvent) -> Outcome<State> {
        match event {
            BlockEvent::Unpin => self.unpin(),
            BlockEvent::Free if self.pins == 0 => Transition(State::freed()),
            BlockEvent::StoreDied => Transition(State::freed()),
            _ => Handled,
        }
    }

    #[state]
    fn freed(&mut self, event: &BlockEvent) -> Outcome<State> {
        match event {
            BlockEvent::Unpin => self.unpin(),
            _ => Handled,
        }
    }
}

/// Runs one block through its life and says which events it took.
pub(crate) struct BlockStateMachine {
    machine: StateMachine<BlockStateStorage>,
}

impl BlockStateMachine {
    pub(crate) fn new() -> Self {
        Self {
            machine: BlockStateStorage::default().state_machine(),
        }
    }

    /// Applies `event` and returns whether the state allows it.
    pub(crate) fn apply(&mut self, event: BlockEvent) -> bool {
        // Every event that a state allows changes the state or the pins.
        let before = self.pins_and_state();
        self.machine.handle(&event);
        before != self.pins_and_state()
    }

    fn pins_and_state(&self) -> (u32, BlockState) {
        (self.pins(), self.state())
    }

    pub(crate) fn pins(&self) -> u32 {
        self.machine.pins
    }

    pub(crate) fn state(&self) -> BlockState {
        match self.machine.state() {
            State::Reserved {} => BlockState::Reserved,
            State::Writing {} => BlockState::Writing,
            State::Sealed {} => BlockState::Sealed,
            State::Readable {} => BlockState::Readable,
            State::Draining {} => BlockState::Draining,
            State::Freed {} => BlockState::Freed,
        }
    }
}

impl fmt::Debug for BlockStateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {} pins", self.state(), self.pins())
    }
}
