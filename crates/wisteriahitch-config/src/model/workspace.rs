//! Workspaces, one for each customer of a site.

use serde::Serialize;
use wisteriahitch_types::{ByteCount, KeyHash, TokenRate, WorkspaceId};

/// A workspace, which belongs to one customer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Workspace {
    /// Name, unique in the site.
    pub id: WorkspaceId,
    /// Hashes of the keys that its callers use.
    pub key_hashes: Vec<KeyHash>,
    /// Share of the capacity, relative to the weights of the other workspaces.
    pub weight: u32,
    /// Maximum number of requests per second; `None` for no limit.
    pub requests_per_s: Option<u32>,
    /// Maximum number of prompt tokens per second; `None` for no limit.
    pub prompt_tokens_per_s: Option<TokenRate>,
    /// Maximum number of requests that may be queued at one daemon.
    pub max_queued: u32,
    /// Maximum size of its cache blocks on the store VMs.
    pub store_bytes: ByteCount,
}
