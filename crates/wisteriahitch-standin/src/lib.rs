//! Stand-ins for the platform, engines, services and stores, for development only.
//!
//! Each outside system is one module with its options and a `run` function that serves until the
//! process is told to end; `docs/design/outside-protocols.md` has the wire formats.

pub mod engine;
pub mod platform;
pub mod service;
pub mod store;
pub mod util;

mod shared;
