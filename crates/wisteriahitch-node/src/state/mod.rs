//! The daemon's state tables and the code that connects them to the network.

mod admission;
mod claims;
mod drain;
mod fleet;
mod models;
pub(crate) mod once;
mod resume;
mod route;
mod streams;
mod tiers;

pub(crate) use admission::AdmissionState;
pub(crate) use fleet::FleetState;
pub(crate) use once::OnceState;
pub(crate) use resume::ResumeState;
pub(crate) use route::AttemptGuard;
pub(crate) use streams::OpenStream;
pub(crate) use tiers::TierState;
