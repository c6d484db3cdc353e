//! Tests of the deterministic decisions, by feature.

mod tier;
mod tier_import;
