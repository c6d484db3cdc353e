//! Fingerprints that identify the content of a request.

use std::fmt;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, WorkspaceId};

const FINGERPRINT_CONTEXT: &str = "wisteriahitch 2026 request fingerprint";

/// Hash over the workspace, method, path and body of a request.
///
/// A key that is reused with another fingerprint is a mistake of the caller. Returning the first
/// request's answer would hide it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(KeyHash);

impl Fingerprint {
    /// Computes the fingerprint of a request. `path` includes the query string.
    pub fn new(workspace: &WorkspaceId, method: &str, path: &str, body: &[u8]) -> Self {
        let parts = [
            workspace.as_str().as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ];
        Self(KeyHash::derive(FINGERPRINT_CONTEXT, &parts))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
