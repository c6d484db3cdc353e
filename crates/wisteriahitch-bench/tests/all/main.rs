//! Tests of the load and experiment tool.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod fleet;
mod layout;
mod membership;
mod schedule;
