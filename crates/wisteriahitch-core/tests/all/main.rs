//! Tests of the deterministic core.

#![allow(clippy::unwrap_used)]

mod fleet;
mod fleet_configuration;
mod fleet_membership;
mod fleet_submission;
