//! The states of one block, as a state machine.
//!
//! The initial state corresponds to the `Reserved` step of the model `specs/block_life.pml`. The
//! model's writer is the [`SavePlanner`](super::SavePlanner). The model's readers, from `Found` to
//! `Running`, are the transfers of the [`ImportPlanner`](super::ImportPlanner); their last step
//! happens at the endpoint.

use std::fmt;
use wisteriahitch_types::BlockState;

use serde::Serialize;
use statig::prelude::*;

/// Events of a block, with the names that the model `specs/block_life.pml` uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockEvent {
    /// The writer starts to send content.
    Write,
    /// All content has arrived; length and checksum are final.
    Seal,
    /// Readers may pin the block.
    Publish,
    /// A reader pins the block.
    Pin,
    /// A reader releases its pin.
    Unpin,
    /// No further reader may pin the block.
    Drain,
    /// The block's space is freed.
    Free,
    /// The block is lost, because its store restarted or no longer holds it.
    StoreDied,
}

/// The shared storage of the state machine.
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

    // Without this state a block could be freed while a reader holds it; the engine would then read
    // another block's bytes and fail with a checksum error. Freeing waits for the last unpin.
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

/// The state machine of one block, which reports whether each event was allowed.
pub(crate) struct BlockStateMachine {
    machine: StateMachine<BlockStateStorage>,
}

impl BlockStateMachine {
    pub(crate) fn new() -> Self {
        Self {
            machine: BlockStateStorage::default().state_machine(),
        }
    }

    /// Applies `event` and returns whether the current state allows it.
    pub(crate) fn apply(&mut self, event: BlockEvent) -> bool {
        // Every event that a state allows changes the state or the number of pins.
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
