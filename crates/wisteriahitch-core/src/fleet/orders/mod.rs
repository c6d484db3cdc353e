//! Planning of the orders that bring endpoints to the wanted state (`docs/design/orders.md`).

mod choosing;
mod confirmation;
mod endpoint_order;
mod order_planner;
mod readiness;
mod rollout;
mod wanted_state;

pub use endpoint_order::{EndpointOrder, EndpointReport, ModelOnEndpoint, PlannedOrder};
pub use order_planner::{OrderPlanner, PlannerSettings, SiteView};
pub use rollout::{Blocked, RolloutPhase, RolloutProgress};
pub use wanted_state::{WantedEndpoint, WantedModel, WantedState};
