//! Stand-ins for the platform, engines, services and stores, for development only.
//!
//! Each external system is one module with its options and a `run` function that serves until
//! SIGTERM or SIGINT; `docs/design/outside-protocols.md` describes the wire formats.

pub mod engine;
pub mod platform;
pub mod service;
pub mod store;
pub mod util;

mod shared;
