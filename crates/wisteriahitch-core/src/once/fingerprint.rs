//! What makes two requests the same request.

use std::fmt;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{KeyHash, WorkspaceId};

const FINGERPRINT_CONTEXT: &str = "wisteriahitch 2026 request fingerprint";

/// Stands for workspace, method, path and body of a request.
///
/// A key that comes back with another fingerprint is a caller's mistake, and answering it with the
/// first request's answer would hide that.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(KeyHash);

impl Fingerprint {
    /// Hashes the parts of a request; `path` includes the query.
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
