//! The wisteriahitch daemon as a library: the I/O code that connects the core's decisions to the
//! network.
//!
//! `docs/ARCHITECTURE.md` follows a request through the modules.

mod caller;
mod clock;
mod config;
mod daemon;
mod dispatch;
mod observe;
mod operator;
mod orders;
mod peering;
mod server;
mod shared;
mod state;
mod task;

pub use daemon::Daemon;
pub use observe::{LogOptions, start_logging};
