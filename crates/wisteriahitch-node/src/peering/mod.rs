//! Communication with other daemons.

mod forward;
mod handler;
mod leaving;
mod membership_updates;
mod probe;

pub(crate) use handler::PeerRequestHandler;
pub(crate) use leaving::run_leaving_updates;
pub(crate) use probe::run_membership;
