//! Tests of the deterministic decisions, by feature.

mod tier;
mod tier_block;
mod tier_block_runs;
mod tier_import;
mod tier_link;
mod tier_room;
mod tier_save;
