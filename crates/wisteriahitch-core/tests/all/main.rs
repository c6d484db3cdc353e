//! Tests of the deterministic core.

#![allow(clippy::unwrap_used)]

mod fleet;
mod fleet_configuration;
mod fleet_drain;
mod fleet_leases;
mod fleet_membership;
mod fleet_orders;
mod fleet_submission;
