//! Tests of the decision logic, one module per feature.

#![allow(clippy::unwrap_used)]

mod fleet;
mod fleet_configuration;
mod fleet_drain;
mod fleet_leases;
mod fleet_membership;
mod fleet_orders;
mod fleet_restored_lease_plays;
mod fleet_restored_leases;
mod fleet_submission;
mod generated;
mod once_claim;
mod once_model;
mod once_table;
mod once_ticket;
mod once_world;
mod route_admission;
mod route_directory;
mod route_endpoint;
mod route_fixture;
mod route_pieces;
mod route_policy;
mod route_retry;
mod stream;
mod tier;
mod tier_block;
mod tier_block_runs;
mod tier_generation;
mod tier_import;
mod tier_link;
mod tier_room;
mod tier_save;
