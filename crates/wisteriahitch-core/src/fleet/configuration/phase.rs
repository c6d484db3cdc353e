//! State machine of the configuration at one daemon. States and events have the names of the model
//! `specs/configuration_spread.pml`.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the attribute generates items without comments, and public where they needn't be"
)]

use serde::Serialize;
use statig::prelude::*;

/// State machine that takes one daemon's configuration from empty to in force, and on to higher
/// versions.
#[derive(Debug, Default)]
pub(super) struct PhaseMachine;

/// State of the configuration at one daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigPhase {
    /// No version is known or in force.
    Empty,
    /// A version is known and its sections are being read.
    Learning,
    /// A version is stored completely and is being pushed to peers before it is put in force.
    Replicating,
    /// A version is in force and no higher one is known.
    Applied,
}

/// Events of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PhaseEvent {
    /// The daemon has started without any stored data.
    Restart,
    /// A higher version is known. `is_whole` tells whether all its sections are stored.
    Learn { is_whole: bool },
    /// Enough peers have stored the version, or the wait for them has timed out.
    Replicated,
    /// The version is to be put in force.
    Apply,
    /// The version cannot be put in force; the previous one stays in force.
    Reject,
}

/// Input and output flags of the state machine.
#[derive(Debug, Default)]
pub(super) struct PhaseContext {
    pub(super) has_version_in_force: bool,
    pub(super) is_replicated: bool,
    /// Set on entering `Replicating`; the replica then pushes the version.
    pub(super) should_replicate: bool,
    /// Set on entering `Applied`; the replica then puts the version in force.
    pub(super) should_apply: bool,
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

    /// Waits until peers have stored the version. Otherwise the configuration could revert: a
    /// daemon applies version 5, crashes during an outage of the platform and restarts among peers
    /// that have only version 4, so callers see older rules in force again.
    #[state(superstate = "known", entry_action = "replicate")]
    fn replicating(context: &mut PhaseContext, event: &PhaseEvent) -> Outcome<State> {
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
    fn known(context: &mut PhaseContext, event: &PhaseEvent) -> Outcome<State> {
        match event {
            PhaseEvent::Restart => Transition(State::empty()),
            PhaseEvent::Reject if !context.has_version_in_force => Transition(State::empty()),
            _ => Handled,
        }
    }

    #[action]
    fn replicate(context: &mut PhaseContext) {
        context.is_replicated = false;
        context.should_replicate = true;
    }

    #[action]
    fn apply(context: &mut PhaseContext) {
        context.should_apply = true;
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
