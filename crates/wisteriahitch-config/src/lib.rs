//! Operators' configuration and daemon settings: parsing, checking and rule matching.
//!
//! `docs/RULES.md` explains the configuration, `docs/SETTINGS.md` the settings, and
//! `docs/design/configuration.md` why the format and the checks are as they are.

mod check;
mod decide;
mod draft;
mod model;
mod read;
mod report;
mod sections;
mod settings;

pub use decide::{ConditionPart, RuleTrace, key_hash};
pub use model::{
    Action, CallPattern, Condition, Configuration, ConfigurationIndexes, Endpoint, Limits, Model,
    Refusal, RequestFacts, Route, Rule, SavePolicy, Service, ServiceKind, Store, Workspace,
    is_plain_path,
};
pub use report::{Problem, Report, ReportInFile};
pub use sections::{Section, SectionChange, SectionHash, SectionMismatch, SectionName, Sections};
pub use settings::{
    ListenSettings, LogLevel, LogSettings, OperatorSettings, PeerSettings, PlatformSettings,
    PolicyName, RequestLimits, RunSettings, Settings,
};
