//! Explains why a rule did or did not match a request.

use std::fmt;

use serde::Serialize;
use wisteriahitch_types::RuleName;

use crate::Rule;

/// Identifies one part of a rule's condition by its key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionPart {
    /// `workspaces`
    Workspaces,
    /// `methods`
    Methods,
    /// `path_prefixes`
    PathPrefixes,
    /// `models`
    Models,
    /// `adapters`
    Adapters,
    /// `min_prompt_tokens`
    MinPromptTokens,
    /// `max_prompt_tokens`
    MaxPromptTokens,
    /// `stream`
    Stream,
    /// `labels`, with the name of the label that is missing or has another value.
    Label(String),
    /// `availability_zones`
    AvailabilityZones,
}

impl fmt::Display for ConditionPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = match self {
            Self::Workspaces => "workspaces",
            Self::Methods => "methods",
            Self::PathPrefixes => "path_prefixes",
            Self::Models => "models",
            Self::Adapters => "adapters",
            Self::MinPromptTokens => "min_prompt_tokens",
            Self::MaxPromptTokens => "max_prompt_tokens",
            Self::Stream => "stream",
            Self::Label(name) => return write!(f, "labels.{name}"),
            Self::AvailabilityZones => "availability_zones",
        };
        f.write_str(key)
    }
}

/// Result of evaluating one rule against a request, for display to an operator.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleTrace {
    /// Position in the list of rules, from 1; 0 for a built-in rule.
    pub position: usize,
    /// Name of the rule.
    pub rule: RuleName,
    /// Parts of the condition that don't match; empty for the rule that decides.
    pub failed: Vec<ConditionPart>,
}

impl RuleTrace {
    /// Creates the trace of a built-in rule that decides before any rule of the configuration.
    pub(super) fn built_in(rule: &Rule) -> Self {
        Self {
            position: 0,
            rule: rule.name.clone(),
            failed: Vec::new(),
        }
    }

    /// Returns whether this is the rule that decides.
    pub fn is_decisive(&self) -> bool {
        self.failed.is_empty()
    }
}

impl fmt::Display for RuleTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.position, self.rule)?;
        if self.is_decisive() {
            return f.write_str("decides");
        }
        f.write_str("fails on ")?;
        for (position, part) in self.failed.iter().enumerate() {
            let separator = if position > 0 { ", " } else { "" };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
