//! Tests of the decisions, one module a feature.

mod once_claim;
mod once_table;
mod once_ticket;
mod tier;
mod tier_block;
mod tier_block_runs;
mod tier_import;
mod stream;
mod tier_save;
//! Tests of the deterministic core.

#![allow(clippy::unwrap_used)]

mod fleet;
mod fleet_membership;
