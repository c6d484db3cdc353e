//! The daemon's tables, with the steps that connect them to the network.

mod admission;
mod claims;
mod fleet;
pub(crate) mod once;
mod route;
mod tiers;

pub(crate) use admission::AdmissionState;
pub(crate) use fleet::FleetState;
pub(crate) use once::OnceState;
pub(crate) use route::Flight;
pub(crate) use tiers::TierState;
