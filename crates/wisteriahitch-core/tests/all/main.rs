//! Tests of the deterministic core.

#![allow(clippy::unwrap_used)]

mod fleet;
mod fleet_membership;
