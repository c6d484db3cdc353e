//! Selection of a policy by its name in settings and experiments.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Affinity, CostPolicy, LeastLoaded, Policy, RoundRobin};

/// The available policies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// [`CostPolicy`] with its default options.
    #[default]
    Cost,
    /// [`RoundRobin`].
    RoundRobin,
    /// [`LeastLoaded`].
    LeastLoaded,
    /// [`Affinity`].
    Affinity,
}

/// Error for a text that is not the name of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown policy, expected cost, round_robin, least_loaded or affinity")]
pub struct ParsePolicyError;

impl PolicyKind {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Cost,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::Affinity,
    ];

    /// Creates the policy.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Cost => Box::new(CostPolicy::default()),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::Affinity => Box::new(Affinity),
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cost => "cost",
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::Affinity => "affinity",
        })
    }
}

impl FromStr for PolicyKind {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut kinds = Self::ALL.into_iter();
        kinds
            .find(|kind| kind.to_string() == text)
            .ok_or(ParsePolicyError)
    }
}
