//! Tests of the tool.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod layout;
mod schedule;
