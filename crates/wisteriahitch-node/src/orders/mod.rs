//! Orders to endpoints: the lease that allows them, their planning and their execution.
//!
//! `docs/design/orders.md` gives the reasons.

mod lease;
mod planning;
mod state;

pub(crate) use planning::run_orders;
pub(crate) use state::OrderState;
