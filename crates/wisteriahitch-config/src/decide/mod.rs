//! Which rule decides a request, and why the others don't.

mod built_in;
mod condition;
mod configuration;
mod rule_trace;

pub use configuration::key_hash;
pub use rule_trace::{ConditionPart, RuleTrace};
