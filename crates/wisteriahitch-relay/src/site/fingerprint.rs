//! A hash that identifies repeats of the same request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, ParseIdError, WorkspaceId};

/// Domain separation from other hashes over the same bytes.
const CONTEXT: &str = "wisteriahitch request fingerprint v1";

/// Identifies a request by what its endpoint acts on: workspace, path and body.
///
/// Each repeat of a request has its own id and deadline and may declare other parts of its prompt,
/// so its headers don't show that it is the same request. A call without a workspace (on a public
/// route, or where keys aren't used) is identified by path and body alone, because its endpoint
/// learns nothing else about the caller. The host and the query string are not hashed.
///
/// Two different requests collide with a probability of 2^-64. A collision made on purpose only
/// harms requests of the attacker's own workspace, because the workspace id is hashed too.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(workspace: Option<&WorkspaceId>, path: &str, body: &[u8]) -> Self {
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        let key = KeyHash::derive(CONTEXT, &[workspace.as_bytes(), path.as_bytes(), body]);
        let [a, b, c, d, e, f, g, h, ..] = *key.as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| ParseIdError::BadNumber)
    }
}
