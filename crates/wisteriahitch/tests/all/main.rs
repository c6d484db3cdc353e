//! Failure tests against separate processes on loopback.
//!
//! `scripts/test` builds the programs first; `harness` finds them beside the test binary.

#![allow(
    clippy::unwrap_used,
    reason = "a helper of a test fails that test by panicking"
)]

mod booking;
mod configuration;
mod deadlines;
mod drain;
mod generated;
mod harness;
mod input;
mod isolation;
mod leases;
mod leaving;
mod leaving_peer;
mod outage;
mod poison;
mod quotas;
mod refusals;
mod settling;
mod shutdown;
mod stream;
mod swap;
mod tiers;
mod together;
mod weights;
mod workspaces;
