//! Policies: which endpoint gets a request, and what is imported for it.

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

/// Decides where a request runs.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Returns the name that settings and reports use.
    fn name(&self) -> &'static str;

    /// Chooses an endpoint and a plan.
    ///
    /// # Errors
    ///
    /// A refusal means that nothing was sent: the model isn't served, no endpoint takes work, or
    /// none can meet the deadline.
    fn choose(
        &self,
        request: &RouteRequest,
        view: &View<'_>,
        now: TimeUs,
    ) -> Result<Choice, RouteRefusal>;
}
