//! Names of the routing policies.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use toml::de::DeValue;

use crate::read::FromValue;

/// A routing policy. All but [`PolicyName::Cost`] are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Lowest cost in time to the first token and prompt work recomputed.
    #[default]
    Cost,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests in its last report.
    LeastLoaded,
    /// The same endpoint for prompts with the same beginning.
    Affinity,
}

impl PolicyName {
    /// All policies.
    pub const ALL: [PolicyName; 4] = [
        PolicyName::Cost,
        PolicyName::RoundRobin,
        PolicyName::LeastLoaded,
        PolicyName::Affinity,
    ];

    /// Returns the name of the policy in the settings.
    pub const fn as_str(self) -> &'static str {
        match self {
            PolicyName::Cost => "cost",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::LeastLoaded => "least-loaded",
            PolicyName::Affinity => "affinity",
        }
    }
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut policies = Self::ALL.into_iter();
        policies
            .find(|policy| policy.as_str() == text)
            .ok_or_else(|| {
                format!("{text:?} is not one of cost, round-robin, least-loaded, affinity")
            })
    }
}

impl FromValue for PolicyName {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        String::from_value(value)?.parse()
    }
}
