//! Life of the configuration at one daemon: states and events by the names of the model
//! `specs/configuration_spread.pml`.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use serde::Serialize;
use statig::prelude::*;

/// Moves one daemon's configuration from nothing to in force, and on to higher versions.
#[derive(Debug, Default)]
pub(super) struct PhaseMachine;

/// Names the state of the configuration at one daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPhase {
    /// Nothing is in force and nothing known.
    Empty,
    /// A version is known, and its sections are being read.
    Learning,
    /// A version is held whole and handed to peers before it is put in force.
    Replicating,
    /// A version is in force and no higher one is known.
    Applied,
}

/// Moves the configuration's life on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PhaseEvent {
    /// The daemon has started: everything held before is gone.
    Restart,
    /// A higher version is known, whole or with sections missing.
    Learn { is_whole: bool },
    /// Enough peers hold the version, or waiting for them has taken too long.
    Replicated,
    /// The version is to be put in force.
    Apply,
    /// The version can't be put in force; the last good one stays.
    Reject,
}

/// Holds what the states look at and what they ask for.
#[derive(Debug, Default)]
pub(super) struct PhaseTurn {
    pub(super) has_version_in_force: bool,
    pub(super) is_replicated: bool,
    pub(super) wants_replication: bool,
    pub(super) wants_apply: bool,
}

#[state_machine(
    initial = "State::empty()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl PhaseMachine {
    #[state]
    fn empty(event: &PhaseEvent) -> Outcome<State> {
        Self::learn(event)
    }

    #[state(superstate = "known")]
    fn learning(event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Learn { is_whole: true } => Transition(State::replicating()),
            _ => Super,
        }
    }

    /// Applying at once would let the configuration revert: the daemon applies version 5, dies in
    /// an outage of the platform and starts again among peers that hold only 4. Callers would see
    /// older rules in force again. So peers hold a version before it is in force anywhere.
    #[state(superstate = "known", entry_action = "replicate")]
    fn replicating(context: &mut PhaseTurn, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Replicated => {
                context.is_replicated = true;
                Handled
            }
            PhaseEvent::Apply if context.is_replicated => Transition(State::applied()),
            PhaseEvent::Learn { .. } => Self::learn(event),
            _ => Super,
        }
    }

    #[state(superstate = "known", entry_action = "apply")]
    fn applied(event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Learn { .. } => Self::learn(event),
            _ => Super,
        }
    }

    #[superstate]
    fn known(context: &mut PhaseTurn, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Restart => Transition(State::empty()),
            PhaseEvent::Reject if !context.has_version_in_force => Transition(State::empty()),
            _ => Handled,
        }
    }

    #[action]
    fn replicate(context: &mut PhaseTurn) {
        context.is_replicated = false;
        context.wants_replication = true;
    }

    #[action]
    fn apply(context: &mut PhaseTurn) {
        context.wants_apply = true;
    }
}

impl PhaseMachine {
    fn learn(event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Learn { is_whole: true } => Transition(State::replicating()),
            PhaseEvent::Learn { is_whole: false } => Transition(State::learning()),
            _ => Handled,
        }
    }
}

impl From<&State> for ConfigPhase {
    fn from(state: &State) -> Self {
        match state {
            State::Empty {} => ConfigPhase::Empty,
            State::Learning {} => ConfigPhase::Learning,
            State::Replicating {} => ConfigPhase::Replicating,
            State::Applied {} => ConfigPhase::Applied,
        }
    }
}
