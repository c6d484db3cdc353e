//! What a result code says of a caller's request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Says what a refusal means for the request that it answers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Meaning {
    /// The request certainly was not run, and a late copy of it will not be run either.
    NotRun,
    /// The request may have run; a keyed request may be asked for again with the same key.
    OutcomeUnknown,
    /// The code doesn't speak of a caller's request.
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
