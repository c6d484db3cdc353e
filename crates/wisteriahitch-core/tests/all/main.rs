//! Tests of the deterministic core, one module a feature.

#![allow(
    clippy::unwrap_used,
    reason = "a helper of a test fails that test by panicking"
)]

mod once_claim;
mod once_model;
mod once_table;
mod once_ticket;
mod once_world;
mod stream;
