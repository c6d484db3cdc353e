//! Protocols between wisteriahitch and the outside.
//!
//! Each outside system stands behind one trait in one module; `docs/design/outside-protocols.md`
//! has the wire formats. The daemon knows only the traits.

pub mod connection_pool;
mod count;
pub mod engine;
pub mod headers;
pub mod http_client;
pub mod object_store;
pub mod platform;
pub mod service;
pub mod store;
