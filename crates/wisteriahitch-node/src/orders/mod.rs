//! Orders to endpoints: the lease that allows them, and what is to be ordered.
//!
//! `docs/design/orders.md` gives the reasons.

mod lease;
mod planning;
mod state;

pub(crate) use planning::run_orders;
pub(crate) use state::OrderState;
