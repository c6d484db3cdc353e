//! Tests of the stand-ins through the clients of `wisteriahitch-wire`.

// Clippy allows `unwrap` in tests, but not in their helper functions.
#![allow(clippy::unwrap_used)]

mod control;
mod engine;
mod kv_block;
mod platform;
mod process;
mod service;
mod site;
mod store;
mod transfer;
