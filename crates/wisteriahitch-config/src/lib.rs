//! Operators' configuration and daemon settings: parsing, checking and rule matching.
//!
//! `docs/RULES.md` explains the configuration and `docs/SETTINGS.md` the settings.

mod model;

pub use model::{
    Action, CallPattern, Condition, Configuration, Endpoint, Limits, Model, Refusal, RequestFacts,
    Route, Rule, SavePolicy, Service, ServiceKind, Store, Workspace,
};
