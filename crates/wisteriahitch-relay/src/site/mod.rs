//! The daemon's model of a site: routes, services, workspaces and endpoints.

mod call_attribute;
mod configuration;
mod endpoint;
mod fingerprint;
mod prompt;
mod region;
mod route;

pub use call_attribute::{CallAttribute, CallAttributes, SharedPart};
pub use configuration::{
    CallerLimits, ColdStartSpec, EngineSpec, PartStore, Service, SiteConfig, WantedWeights,
    Workspace,
};
pub use endpoint::{Endpoint, ModelWeights};
pub use fingerprint::RequestFingerprint;
pub use prompt::{PromptPart, PromptShape};
pub use region::{AllowedZones, RegionMap};
pub use route::{CallKind, Route, RouteTable};
