//! Leases for the right to give orders to endpoints (`docs/design/orders.md`).

mod lease;
mod lease_calls;
mod lease_event;
mod lease_group;
mod lease_machine;
mod lease_object;
mod lease_settings;
mod lease_table;

pub use lease_event::{LeaseCommand, LeaseEvent, OrderGrant, WriteFailure};
pub use lease_group::LeaseGroup;
pub use lease_machine::LeasePhase;
pub use lease_object::{LeaseHolder, LeaseObject};
pub use lease_settings::LeaseSettings;
pub use lease_table::{LeaseStatus, LeaseTable};
