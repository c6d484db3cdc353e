//! The life cycle of an endpoint as this daemon sees it.
//!
//! It has no model in `specs/`; generated runs in the crate's tests hold it to its promises.

use serde::{Deserialize, Serialize};
use statig::prelude::*;

/// Names the steps of an endpoint's life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeState {
    /// It is configured, and no report of it has come yet.
    Starting,
    /// It takes work.
    Ready,
    /// Its reports are missing; it takes work only where no other endpoint can.
    Suspect,
    /// It failed or was slow too often and takes no work for a while.
    Ejected,
    /// It will go away and takes no new work.
    Leaving,
    /// It is no longer configured.
    Gone,
}

/// What can change an endpoint's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifeEvent {
    /// A report of it came.
    Reported,
    /// No report came for long.
    Silent,
    /// It was found an outlier.
    Ejected,
    /// Its ejection is over.
    Probed,
    /// Some source says that it is leaving.
    Left,
    /// Its own report speaks of a new life.
    Reborn,
    /// The VM list took back what it alone had said of this life.
    Retracted,
    /// It was taken out of the configuration.
    Removed,
}

/// Holds no data of its own: the state is all there is.
#[derive(Debug, Default)]
pub(crate) struct Life;

#[state_machine(
    initial = "State::starting()",
    visibility = "pub(crate)",
    state(derive(Clone, Debug, PartialEq))
)]
impl Life {
    #[state(superstate = "configured")]
    fn starting(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Reported => Transition(State::ready()),
            _ => Super,
        }
    }

    #[state(superstate = "configured")]
    fn ready(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Silent => Transition(State::suspect()),
            LifeEvent::Ejected => Transition(State::ejected()),
            _ => Super,
        }
    }

    #[state(superstate = "configured")]
    fn suspect(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Reported => Transition(State::ready()),
            LifeEvent::Ejected => Transition(State::ejected()),
            _ => Super,
        }
    }

    #[state(superstate = "configured")]
    fn ejected(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Probed => Transition(State::ready()),
            _ => Super,
        }
    }

    /// Nothing but the endpoint's own report of a new life leads back from here, or
    /// [`LeavingClaims::retract_vm_list`](super::LeavingClaims::retract_vm_list) after one.
    ///
    /// A VM list or a peer that lags would otherwise put an endpoint back to work that has said
    /// it is leaving; one would notice by requests cut off when it goes.
    #[state(superstate = "configured")]
    fn leaving(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Reborn | LifeEvent::Retracted => Transition(State::ready()),
            _ => Super,
        }
    }

    #[state]
    fn gone() -> Outcome<State> {
        Handled
    }

    #[superstate]
    fn configured(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Left => Transition(State::leaving()),
            LifeEvent::Reborn => Transition(State::ready()),
            LifeEvent::Removed => Transition(State::gone()),
            _ => Handled,
        }
    }
}

impl From<&State> for LifeState {
    fn from(state: &State) -> Self {
        match state {
            State::Starting {} => LifeState::Starting,
            State::Ready {} => LifeState::Ready,
            State::Suspect {} => LifeState::Suspect,
            State::Ejected {} => LifeState::Ejected,
            State::Leaving {} => LifeState::Leaving,
            State::Gone { .. } => LifeState::Gone,
        }
    }
}
