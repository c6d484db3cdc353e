//! HTTP server shell shared by callers' and operators' listeners.

mod connection;
mod stall_guard;

pub(crate) use connection::{ConnectionLimits, Handler, serve};
