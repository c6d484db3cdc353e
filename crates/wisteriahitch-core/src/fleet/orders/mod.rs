//! Planning of the orders that bring endpoints to the desired state (`docs/design/orders.md`).

mod choosing;
mod confirmation;
mod desired_state;
mod endpoint_order;
mod order_planner;
mod readiness;
mod rollout;

pub use desired_state::{DesiredEndpoint, DesiredModel, DesiredState};
pub use endpoint_order::{EndpointOrder, EndpointReport, ModelOnEndpoint, PlannedOrder};
pub use order_planner::{OrderPlanner, PlannerSettings, SiteView};
pub use rollout::{BlockReason, RolloutPhase, RolloutProgress};
