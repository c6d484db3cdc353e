//! The checked configuration as plain data.

mod configuration;
mod indexes;
mod path;
mod rule;
mod service;
mod workspace;

pub use configuration::{Configuration, Limits, Model, Store};
pub use indexes::ConfigurationIndexes;
pub(crate) use path::has_prefix;
pub use path::is_plain_path;
pub use rule::{Action, Condition, Refusal, RequestFacts, Route, Rule, SavePolicy};
pub use service::{CallPattern, Endpoint, Service, ServiceKind};
pub use workspace::Workspace;
