//! Ordered rules: when this holds, then do that.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{
    AdapterName, AvailabilityZone, DurationUs, ModelName, RuleName, ServiceName, Share, TokenCount,
    WorkspaceId,
};

/// Holds what is known of a request when the rules are tried.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestFacts {
    /// Workspace that the caller's key belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Method in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Model that a completion names.
    pub model: Option<ModelName>,
    /// Adapter that a completion names.
    pub adapter: Option<AdapterName>,
    /// Length of a completion's prompt.
    pub prompt_tokens: Option<TokenCount>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Labels that the caller sent as `x-label-NAME` headers.
    pub labels: BTreeMap<String, String>,
    /// Availability zone of the daemon.
    pub availability_zone: Option<AvailabilityZone>,
}

/// Holds one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Rule {
    /// Name, for `explain` and the logs.
    pub name: RuleName,
    /// When the rule decides.
    pub when: Condition,
    /// What then happens.
    pub then: Action,
}

/// Says when a rule decides; every part that is given must hold, and an empty list is not given.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Condition {
    /// One of these workspaces.
    pub workspaces: Vec<WorkspaceId>,
    /// One of these methods.
    pub methods: Vec<String>,
    /// The path starts with one of these.
    pub path_prefixes: Vec<String>,
    /// One of these models.
    pub models: Vec<ModelName>,
    /// One of these adapters.
    pub adapters: Vec<AdapterName>,
    /// The prompt has at least so many tokens.
    pub min_prompt_tokens: Option<TokenCount>,
    /// The prompt has at most so many tokens.
    pub max_prompt_tokens: Option<TokenCount>,
    /// The answer is streamed, or is not.
    pub stream: Option<bool>,
    /// Every label has this value.
    pub labels: BTreeMap<String, String>,
    /// The daemon is in one of these availability zones.
    pub availability_zones: Vec<AvailabilityZone>,
}

/// Says what happens to a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The request goes to a service.
    Route(Route),
    /// The request is refused.
    Refuse(Refusal),
}

/// Says how a request is served.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Service that serves it.
    pub service: ServiceName,
    /// Adapter that is used in place of the one that the caller names.
    pub adapter: Option<AdapterName>,
    /// Higher goes first, from 0 to 9.
    pub priority: u8,
    /// How much the time to the first token counts against the prompt work recomputed: 1 looks at
    /// the time alone, 0 at the work alone.
    pub first_token_weight: Share,
    /// Longest wait for the first token, or for a plain service's whole answer.
    pub deadline_us: DurationUs,
    /// Whether the call may be repeated; where it isn't given, the service's declaration decides.
    pub may_repeat: Option<bool>,
    /// Which blocks are saved after use.
    pub save: SavePolicy,
}

/// Says which blocks are saved to a store VM after use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SavePolicy {
    /// Those whose expected use is worth their cost.
    #[default]
    Learned,
    /// All of them.
    Always,
    /// Those that were used twice.
    SecondUse,
    /// None.
    Never,
}

/// Says how a request is refused.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Refusal {
    /// Sentence for the caller.
    pub reason: String,
    /// When the caller may come back.
    pub retry_after_us: DurationUs,
}
