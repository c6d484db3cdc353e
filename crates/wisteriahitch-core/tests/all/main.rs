//! Tests of the decisions, one module a feature.

mod once_claim;
mod once_table;
mod once_ticket;
mod tier;
mod tier_import;
mod stream;
