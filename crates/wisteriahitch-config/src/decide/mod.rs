//! Selecting the rule for a request, and explaining why earlier rules don't match.

mod built_in;
mod condition;
mod configuration;
mod rule_trace;

pub use configuration::key_hash;
pub use rule_trace::{ConditionPart, RuleTrace};
