//! Graceful shutdown: a draining daemon gets no new callers and finishes its open requests.
//!
//! There is no model of it in `specs/`, because it depends on nothing outside this daemon.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use serde::Serialize;
use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_types::{DurationUs, TimeUs};

/// State of a daemon's shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// The daemon is listed for callers and accepts all work.
    Serving,
    /// The daemon is no longer listed and issues no tickets, but still accepts requests.
    Draining,
    /// No open work is left; the daemon may exit.
    Drained,
}

/// Open work that keeps a draining daemon running.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OpenWork {
    /// Number of accepted requests that have not ended.
    pub requests: u64,
    /// Number of tickets issued by this daemon that are neither used nor expired.
    pub tickets: u64,
}

/// Decides when a daemon that is shutting down may exit.
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
    context: DrainContext,
    machine: StateMachine<DrainMachine>,
}

/// Events of the shutdown state machine.
#[derive(Debug)]
enum DrainEvent {
    Start,
    Tick(OpenWork),
    HardStop,
}

/// Time data that the shutdown state machine works on.
#[derive(Clone, Copy, Debug, Default)]
struct DrainContext {
    now: TimeUs,
    /// When the last cached entry list that names this daemon expires.
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

    /// Waits until no open work is left and no caller can still connect by an old list. Callers
    /// cache an answer of `GET /v1/entries` for its whole lifetime. If the daemon closed earlier,
    /// they would see connection errors at each restart.
    #[state]
    fn draining(context: &mut DrainContext, event: &DrainEvent) -> Outcome<State> {
        match event {
            DrainEvent::Tick(work) if context.is_complete(*work) => Transition(State::drained()),
            DrainEvent::HardStop => Transition(State::drained()),
            _ => Handled,
        }
    }

    #[state]
    fn drained() -> Outcome<State> {
        Handled
    }
}

impl DrainContext {
    fn is_complete(&self, work: OpenWork) -> bool {
        self.now >= self.listed_until_us && work == OpenWork::default()
    }
}

impl Drain {
    /// Creates a shutdown in the state [`DrainPhase::Serving`].
    pub fn new() -> Self {
        Self {
            context: DrainContext::default(),
            machine: DrainMachine.state_machine(),
        }
    }

    /// Starts the shutdown. Cached entry lists that name this daemon expire after `entries_ttl_us`.
    /// Has no effect unless the state is [`DrainPhase::Serving`].
    pub fn start(&mut self, now: TimeUs, entries_ttl_us: DurationUs) {
        if self.phase() == DrainPhase::Serving {
            self.context.listed_until_us = now + entries_ttl_us;
            self.dispatch(now, &DrainEvent::Start);
        }
    }

    /// Re-evaluates the state for the current open `work` and returns it.
    pub fn tick(&mut self, now: TimeUs, work: OpenWork) -> DrainPhase {
        self.dispatch(now, &DrainEvent::Tick(work));
        self.phase()
    }

    /// Ends the shutdown immediately, on a second request of the operator; open requests are cut
    /// off.
    pub fn hard_stop(&mut self, now: TimeUs) {
        self.dispatch(now, &DrainEvent::HardStop);
    }

    /// Returns the current state.
    pub fn phase(&self) -> DrainPhase {
        match self.machine.state() {
            State::Serving {} => DrainPhase::Serving,
            State::Draining {} => DrainPhase::Draining,
            State::Drained {} => DrainPhase::Drained,
        }
    }

    /// Returns when the last cached entry list that names this daemon expires; zero before the
    /// start of the shutdown.
    pub fn listed_until_us(&self) -> TimeUs {
        self.context.listed_until_us
    }

    fn dispatch(&mut self, now: TimeUs, event: &DrainEvent) {
        self.context.now = now;
        self.machine.handle_with_context(event, &mut self.context);
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}
