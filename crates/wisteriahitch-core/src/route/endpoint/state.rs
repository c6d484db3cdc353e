//! The life cycle of an endpoint as this daemon sees it.
//!
//! It has no model in `specs/`; generated runs in the crate's tests hold it to its promises.

use serde::{Deserialize, Serialize};
use statig::prelude::*;

/// Names the steps of an endpoint's life.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
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
pub(crate) enum EndpointStateEvent {
    /// A report of it came.
    Reported,
    /// No report came for long.
    ReportsMissing,
    /// It was found an outlier.
    Ejected,
    /// Its ejection is over.
    EjectionEnded,
    /// Some source says that it is leaving.
    LeavingAnnounced,
    /// Its own report speaks of a new life.
    Restarted,
    /// The VM list took back what it alone had said of this life.
    LeavingRetracted,
    /// It was taken out of the configuration.
    Removed,
}

/// Holds no data of its own: the state is all there is.
#[derive(Debug, Default)]
pub(crate) struct EndpointStateMachine;

#[state_machine(
    initial = "State::starting()",
    visibility = "pub(crate)",
    state(derive(Clone, Debug, PartialEq))
)]
impl EndpointStateMachine {
    #[state(superstate = "configured")]
    fn starting(event: &EndpointStateEvent) -> Outcome<State> {
        match event {
            EndpointStateEvent::Reported => Transition(State::ready()),
            _ => Super,
        }
    }

    #[state(superstate = "configured")]
    fn ready(event: &EndpointStateEvent) -> Outcome<State> {
        match event {
            EndpointStateEvent::ReportsMissing => Transition(State::suspect()),
            EndpointStateEvent::Ejected => Transition(State::ejected()),
            _ => Super,
        }
    }

    #[state(superstate = "configured")]
    fn suspect(event: &EndpointStateEvent) -> Outcome<State> {
        match event {
            EndpointStateEvent::Reported => Transition(State::ready()),
            EndpointStateEvent::Ejected => Transition(State::ejected()),
            _ => Super,
        }
    }

    #[state(superstate = "configured")]
    fn ejected(event: &EndpointStateEvent) -> Outcome<State> {
        match event {
            EndpointStateEvent::EjectionEnded => Transition(State::ready()),
            _ => Super,
        }
    }

    /// Nothing but the endpoint's own report of a new life leads back from here, or
    /// [`LeavingClaims::retract_vm_list`](super::LeavingClaims::retract_vm_list) after one.
    ///
    /// A VM list or a peer that lags would otherwise put an endpoint back to work that has said
    /// it is leaving; one would notice by requests cut off when it goes.
    #[state(superstate = "configured")]
    fn leaving(event: &EndpointStateEvent) -> Outcome<State> {
        match event {
            EndpointStateEvent::Restarted | EndpointStateEvent::LeavingRetracted => {
                Transition(State::ready())
            }
            _ => Super,
        }
    }

    #[state]
    fn gone() -> Outcome<State> {
        Handled
    }

    #[superstate]
    fn configured(event: &EndpointStateEvent) -> Outcome<State> {
        match event {
            EndpointStateEvent::LeavingAnnounced => Transition(State::leaving()),
            EndpointStateEvent::Restarted => Transition(State::ready()),
            EndpointStateEvent::Removed => Transition(State::gone()),
            _ => Handled,
        }
    }
}

impl From<&State> for EndpointState {
    fn from(state: &State) -> Self {
        match state {
            State::Starting {} => EndpointState::Starting,
            State::Ready {} => EndpointState::Ready,
            State::Suspect {} => EndpointState::Suspect,
            State::Ejected {} => EndpointState::Ejected,
            State::Leaving {} => EndpointState::Leaving,
            State::Gone { .. } => EndpointState::Gone,
        }
    }
}
