//! Graceful shutdown: no new callers, and no request cut off.
//!
//! It has no model in `specs/`: what it waits for is this daemon's own.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use serde::Serialize;
use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_types::{DurationUs, TimeUs};

/// Names the state of a daemon's shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// The daemon is listed and takes everything.
    Serving,
    /// The daemon isn't listed any more, issues no tickets, and goes on accepting.
    Draining,
    /// Nothing is left that needs the daemon; it may exit.
    Drained,
}

/// Holds what still needs the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OpenWork {
    /// Requests that were accepted and haven't ended.
    pub requests: u64,
    /// Tickets that were issued here and are neither used nor expired.
    pub tickets: u64,
}

/// Decides when a daemon that shuts down may exit.
///
/// ```
/// use wisteriahitch_core::fleet::{Drain, DrainPhase, OpenWork};
/// use wisteriahitch_types::{DurationUs, TimeUs};
///
/// let mut drain = Drain::new();
/// drain.start(TimeUs::ZERO, DurationUs::from_ms(10_000));
/// let nothing = OpenWork::default();
/// assert_eq!(drain.tick(TimeUs::new(9_999_999), nothing), DrainPhase::Draining);
/// assert_eq!(drain.tick(TimeUs::new(10_000_000), nothing), DrainPhase::Drained);
/// ```
pub struct Drain {
    turn: DrainTurn,
    machine: StateMachine<DrainMachine>,
}

/// Moves a shutdown on.
#[derive(Debug)]
enum DrainEvent {
    Start,
    Tick(OpenWork),
    HardStop,
}

/// Holds when the last answer that named this daemon runs out.
#[derive(Clone, Copy, Debug, Default)]
struct DrainTurn {
    now: TimeUs,
    listed_until_us: TimeUs,
}

#[derive(Debug, Default)]
struct DrainMachine;

#[state_machine(
    initial = "State::serving()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl DrainMachine {
    #[state]
    fn serving(event: &DrainEvent) -> Outcome<State> {
        match event {
            DrainEvent::Start => Transition(State::draining()),
            DrainEvent::HardStop => Transition(State::drained()),
            DrainEvent::Tick(_) => Handled,
        }
    }

    /// Callers keep an answer of `GET /v1/entries` for its whole lifetime and connect here until
    /// then. Closing earlier would refuse them; they would see connection errors at each restart.
    #[state]
    fn draining(context: &mut DrainTurn, event: &DrainEvent) -> Outcome<State> {
        match event {
            DrainEvent::Tick(work) if context.is_over(*work) => Transition(State::drained()),
            DrainEvent::HardStop => Transition(State::drained()),
            _ => Handled,
        }
    }

    #[state]
    fn drained() -> Outcome<State> {
        Handled
    }
}

impl DrainTurn {
    fn is_over(&self, work: OpenWork) -> bool {
        self.now >= self.listed_until_us && work == OpenWork::default()
    }
}

impl Drain {
    /// Starts in the state [`DrainPhase::Serving`].
    pub fn new() -> Self {
        Self {
            turn: DrainTurn::default(),
            machine: DrainMachine.state_machine(),
        }
    }

    /// Starts the shutdown; answers that name this daemon run out after `entries_ttl_us`.
    pub fn start(&mut self, now: TimeUs, entries_ttl_us: DurationUs) {
        if self.phase() == DrainPhase::Serving {
            self.turn.listed_until_us = now + entries_ttl_us;
            self.dispatch(now, &DrainEvent::Start);
        }
    }

    /// Looks at what is left, and returns the state.
    pub fn tick(&mut self, now: TimeUs, work: OpenWork) -> DrainPhase {
        self.dispatch(now, &DrainEvent::Tick(work));
        self.phase()
    }

    /// Ends at once, by an operator's second order; open requests are cut off.
    pub fn hard_stop(&mut self, now: TimeUs) {
        self.dispatch(now, &DrainEvent::HardStop);
    }

    /// Returns the state.
    pub fn phase(&self) -> DrainPhase {
        match self.machine.state() {
            State::Serving {} => DrainPhase::Serving,
            State::Draining {} => DrainPhase::Draining,
            State::Drained {} => DrainPhase::Drained,
        }
    }

    /// Returns when the last answer that named this daemon runs out, once it drains.
    pub fn listed_until_us(&self) -> TimeUs {
        self.turn.listed_until_us
    }

    fn dispatch(&mut self, now: TimeUs, event: &DrainEvent) {
        self.turn.now = now;
        self.machine.handle_with_context(event, &mut self.turn);
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}
