//! State machine of an endpoint as this daemon sees it.
//!
//! It has no model in `specs/`; property tests of this crate check its guarantees.

use serde::{Deserialize, Serialize};
use statig::prelude::*;

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It is configured but has not reported yet.
    Starting,
    /// It can be given requests.
    Ready,
    /// Its reports are missing; it is chosen only if no ready endpoint can be.
    Suspect,
    /// It failed, refused or was slow too often and gets no requests until the ejection ends.
    Ejected,
    /// It is going away and gets no new requests.
    Leaving,
    /// It was removed from the configuration.
    Gone,
}

/// Events of the endpoint state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndpointStateEvent {
    /// A report arrived.
    Reported,
    /// No report arrived for longer than the limit.
    ReportsMissing,
    /// Outlier detection ejected it.
    Ejected,
    /// The ejection ended; the endpoint is probed from now on.
    EjectionEnded,
    /// A source announced that it is leaving.
    LeavingAnnounced,
    /// Its own report is of a new instance.
    Restarted,
    /// The VM list retracted a claim that no other source had made of this instance.
    LeavingRetracted,
    /// It was removed from the configuration.
    Removed,
}

/// The state machine of one endpoint; it has no data besides its state.
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

    /// Left only by the endpoint's own report of a new instance, or by
    /// [`LeavingClaims::retract_vm_list`](super::LeavingClaims::retract_vm_list) after one.
    ///
    /// Otherwise a lagging VM list or peer would make an endpoint ready again that has announced
    /// its leaving, and requests would be cut off when it goes.
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
