//! What a site looks like to the daemon: routes, services, workspaces and endpoints.

mod configuration;
mod endpoint;
mod prompt;
mod route;

pub use configuration::{
    CallerLimits, EngineTraits, PartStore, Service, SiteConfig, WantedWeights, Workspace,
};
pub use endpoint::Endpoint;
pub use prompt::{PromptPart, PromptShape};
pub use route::{CallKind, Route, RouteTable};
