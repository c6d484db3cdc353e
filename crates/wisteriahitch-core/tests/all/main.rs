//! Tests of the deterministic core, one module a feature.

#![allow(
    clippy::unwrap_used,
    reason = "a helper of a test fails that test by panicking"
)]

mod once_table;
mod once_ticket;
mod route_admission;
mod route_directory;
mod route_endpoint;
mod route_fixture;
mod route_pieces;
mod route_policy;
mod route_retry;
