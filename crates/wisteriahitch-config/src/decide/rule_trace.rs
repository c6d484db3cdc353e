//! Why a rule did or did not decide a request.

use std::fmt;

use serde::Serialize;
use wisteriahitch_types::RuleName;

use crate::Rule;

/// Names one part of a rule's condition.
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
    /// `labels`, with the label that differs.
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

/// Tells an operator how one rule took a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleTrace {
    /// Place among the rules, from 1; 0 for a built-in one.
    pub position: usize,
    /// Name of the rule.
    pub rule: RuleName,
    /// Parts of the condition that don't hold; empty for the rule that decides.
    pub failed: Vec<ConditionPart>,
}

impl RuleTrace {
    /// Says that a built-in rule decides, which stands before those of the configuration.
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
