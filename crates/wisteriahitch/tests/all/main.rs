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
mod harness;
mod input;
mod leaving;
mod poison;
mod quotas;
mod refusals;
mod shutdown;
mod stream;
mod tiers;
mod weights;
mod workspaces;
