//! Protocols between wisteriahitch and the outside.
//!
//! Each outside system stands behind one trait in one module; `docs/design/outside-protocols.md`
//! has the wire formats. The daemon knows only the traits.

mod count;
pub mod engine;
pub mod http_client;
pub mod platform;
pub mod service;
pub mod store;
