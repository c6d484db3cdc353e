//! Failure tests against separate processes on loopback.
//!
//! `scripts/test` builds the programs first; `harness` finds them beside the test binary.

#![allow(
    clippy::unwrap_used,
    reason = "a helper of a test fails that test by panicking"
)]

mod booking;
mod configuration;
mod crossed;
mod deadlines;
mod drain;
mod drain_listing;
mod frozen;
mod generated;
mod harness;
mod import_faults;
mod input;
mod isolation;
mod keyed_crowd;
mod last_word;
mod leases;
mod leaving;
mod leaving_peer;
mod outage;
mod poison;
mod quotas;
mod readiness;
mod refusals;
mod resume_room;
mod settling;
mod shutdown;
mod shutdown_ticket;
mod stream;
mod stream_limit;
mod swap;
mod tiers;
mod together;
mod weights;
mod workspaces;
