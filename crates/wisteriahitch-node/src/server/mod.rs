//! HTTP server shared by the callers' and the operators' listeners.

mod connection;
mod head_guard;
mod numbered_refusal;
mod stall_guard;

pub(crate) use connection::{ConnectionLimits, Handler, serve};
