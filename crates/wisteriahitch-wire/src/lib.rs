//! Clients for the external systems that wisteriahitch talks to.
//!
//! Each system has a module with a trait and an HTTP implementation of it; the daemon uses only the
//! traits. `docs/design/outside-protocols.md` describes the wire formats.

pub mod answer_framing;
mod answer_meter;
mod answer_state;
pub mod connection_pool;
mod count;
pub mod engine;
pub mod headers;
pub mod http_client;
mod metered_stream;
pub mod object_store;
pub mod platform;
pub mod service;
pub mod store;
pub mod transfer;
pub mod url_text;
