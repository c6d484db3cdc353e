//! What stays the same of a request from repeat to repeat.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, ParseIdError, WorkspaceId};

/// Separates fingerprints from other hashes over the same bytes.
const CONTEXT: &str = "wisteriahitch request fingerprint v1";

/// Names a request by what its endpoint acts on: workspace, path and body.
///
/// Each repeat has another id and another deadline, and may declare other parts of its prompt, so that nothing in
/// its headers says that it is the same one. A call without a workspace, on a public route or where keys aren't
/// used, has the path and the body alone: an endpoint isn't told more of its caller. The host and what
/// follows the path as a query don't count.
///
/// Two requests share one by chance once in 2^64 pairs; that somebody makes such a pair on purpose harms only
/// requests of the own workspace, whose name is hashed too.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Hashes a request.
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
