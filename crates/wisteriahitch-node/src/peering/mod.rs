//! Talking to other daemons.

mod forward;
mod handler;
mod news;
mod probe;

pub(crate) use handler::PeerSide;
pub(crate) use probe::run_membership;
