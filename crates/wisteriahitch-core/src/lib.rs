//! Deterministic decision logic: state tables and the functions that update them.
//!
//! This crate performs no I/O, reads no clock and generates no random numbers. Callers pass in
//! events and the current time, and carry out the commands that are returned.
//! `docs/ARCHITECTURE.md` shows how the daemons drive it.

pub mod fleet;
pub mod once;
pub mod route;
pub mod stream;
pub mod tier;
