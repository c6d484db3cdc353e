//! The checked configuration as plain data.

mod configuration;
mod rule;
mod service;
mod workspace;

pub use configuration::{Configuration, Limits, Model, Store};
pub use rule::{Action, Condition, Refusal, RequestFacts, Route, Rule, SavePolicy};
pub use service::{CallPattern, Endpoint, Service, ServiceKind};
pub use workspace::Workspace;
