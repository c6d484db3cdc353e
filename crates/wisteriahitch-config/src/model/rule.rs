//! Routing rules: a condition, and the action for requests that match it.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, DurationUs, ModelName, RuleName, ServiceName, Share, TokenCount,
    WorkspaceId,
};

/// Properties of a request that conditions are matched against.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestFacts {
    /// Workspace that the caller's key belongs to.
    pub workspace: Option<WorkspaceId>,
    /// HTTP method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Model that a completion names.
    pub model: Option<ModelName>,
    /// Adapter that a completion names.
    pub adapter: Option<AdapterName>,
    /// Length of the prompt of a completion.
    pub prompt_tokens: Option<TokenCount>,
    /// Whether the caller asks for a streamed answer.
    pub stream: bool,
    /// Labels that the caller sent as `x-label-NAME` headers.
    pub labels: BTreeMap<String, String>,
    /// Availability zone of the daemon that received the request.
    pub availability_zone: Option<AvailabilityZone>,
}

/// A rule; the first rule whose condition matches a request decides it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rule {
    /// Name that `explain` and the logs show.
    pub name: RuleName,
    /// Condition that a request must match.
    pub when: Condition,
    /// Action for requests that match.
    pub then: Action,
}

/// Condition of a rule. Every part that is set must match; an empty list counts as not set.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Condition {
    /// The workspace is one of these.
    pub workspaces: Vec<WorkspaceId>,
    /// The method is one of these.
    pub methods: Vec<String>,
    /// The path starts with one of these, up to a segment boundary.
    pub path_prefixes: Vec<String>,
    /// The model is one of these.
    pub models: Vec<ModelName>,
    /// The adapter is one of these.
    pub adapters: Vec<AdapterName>,
    /// The prompt has at least this many tokens.
    pub min_prompt_tokens: Option<TokenCount>,
    /// The prompt has at most this many tokens.
    pub max_prompt_tokens: Option<TokenCount>,
    /// The answer is streamed (`true`) or not (`false`).
    pub stream: Option<bool>,
    /// The request has each of these labels with this value.
    pub labels: BTreeMap<String, String>,
    /// The daemon is in one of these availability zones.
    pub availability_zones: Vec<AvailabilityZone>,
}

/// Action for the requests that match a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Sends the request to a service.
    Route(Route),
    /// Refuses the request.
    Refuse(Refusal),
}

/// How a request is served.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Service that serves the request.
    pub service: ServiceName,
    /// Adapter that overrides the one the caller names.
    pub adapter: Option<AdapterName>,
    /// Priority from 0 to 9; requests with a higher one go first.
    pub priority: u8,
    /// Weight of the time to the first token against the prompt work that is recomputed: 1 counts
    /// only the time, 0 only the work.
    pub first_token_weight: Share,
    /// Maximum time to the first token, or to the whole answer of a plain service.
    pub deadline_us: DurationUs,
    /// Whether the call may be repeated; `None` leaves it to [`Service::repeatable`].
    ///
    /// [`Service::repeatable`]: crate::Service::repeatable
    pub may_repeat: Option<bool>,
    /// Which cache blocks are saved to store VMs after use.
    pub save: SavePolicy,
}

/// Which cache blocks are saved to a store VM after use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SavePolicy {
    /// Blocks whose expected use outweighs their cost.
    #[default]
    Learned,
    /// All blocks.
    Always,
    /// Blocks that were used twice.
    SecondUse,
    /// No blocks.
    Never,
}

/// Answer to a request that a rule refuses.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason that the caller is given.
    pub reason: String,
    /// Time after which the caller may retry.
    pub retry_after_us: DurationUs,
}
