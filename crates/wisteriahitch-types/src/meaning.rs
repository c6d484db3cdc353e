//! What a result code implies about a caller's request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a refusal implies about the request that it answers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Meaning {
    /// The request was not run, and no delayed copy of it will be run.
    NotRun,
    /// The request may have run. A keyed request may be retried with the same key.
    OutcomeUnknown,
    /// The code is not about a caller's request.
    Notice,
}

impl fmt::Display for Meaning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Meaning::NotRun => "not run",
            Meaning::OutcomeUnknown => "outcome unknown",
            Meaning::Notice => "notice",
        })
    }
}
