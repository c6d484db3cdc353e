//! Routing policies: they choose the endpoint of a request and the blocks to import for it.

mod baseline;
mod candidates;
mod choice;
mod cost;
mod kind;
mod request;
mod scorer;
mod sources;

pub use baseline::{Affinity, LeastLoaded, RoundRobin};
pub use choice::{Choice, Estimate, ImportStep, Plan, RouteRefusal, ScoredCandidate};
pub use cost::{CostOptions, CostPolicy};
pub use kind::{ParsePolicyError, PolicyKind};
pub use request::{LinkView, NoLinks, RouteRequest, View};

use std::fmt;

use wisteriahitch_types::TimeUs;

/// A routing policy, which decides where a request runs.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Returns the name of the policy in settings and reports.
    fn name(&self) -> &'static str;

    /// Chooses an endpoint and the import plan for `request`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the model isn't served, no endpoint is eligible, or none can meet the
    /// deadline. Nothing was sent.
    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal>;
}
