//! Workspaces: the customers of a site.

use serde::Serialize;
use wisteriahitch_types::{ByteCount, KeyHash, TokenRate, WorkspaceId};

/// Holds one customer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Workspace {
    /// Name.
    pub id: WorkspaceId,
    /// Hashes of the keys that its callers use.
    pub key_hashes: Vec<KeyHash>,
    /// Part of the capacity, in relation to the other workspaces.
    pub weight: u32,
    /// Most requests a second, if bounded.
    pub requests_per_s: Option<u32>,
    /// Most prompt tokens a second, if bounded.
    pub prompt_tokens_per_s: Option<TokenRate>,
    /// Most requests that may wait at one daemon.
    pub max_queued: u32,
    /// Most bytes of the store VMs that its blocks may take.
    pub store_bytes: ByteCount,
}
