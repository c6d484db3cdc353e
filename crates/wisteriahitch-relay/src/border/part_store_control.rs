//! Access to stores of prompt parts.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use wisteriahitch_types::{ModelName, TokenCount};
use wisteriahitch_wire::http_client::HttpError;

/// A part in a store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoredPart {
    /// Namespace that it was saved in.
    pub scope: String,
    /// Id of the part.
    pub id: u64,
    /// Model whose engine computed it.
    pub model: ModelName,
    /// Size in tokens; zero if it was freed.
    pub tokens: TokenCount,
}

/// A change of a store's contents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartEvent {
    /// Whether the part is now complete in the store (true) or was removed (false).
    pub is_stored: bool,
    /// Part that changed.
    pub part: StoredPart,
}

/// Changes of a store's contents.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartChanges {
    /// Epoch of the store. A different epoch means that the store restarted empty.
    pub epoch: u64,
    /// Position to request the next changes from.
    pub next: u64,
    /// Whether changes are missing before `events`.
    pub has_gap: bool,
    /// Changes, oldest first.
    pub events: Vec<PartEvent>,
    /// Time on the clock of stores and engines, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// All contents of a store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartListing {
    /// Epoch of the store; see [`PartChanges::epoch`].
    pub epoch: u64,
    /// Position to request later changes from.
    pub next: u64,
    /// Complete parts.
    pub parts: Vec<StoredPart>,
    /// Tokens that are reserved for incomplete parts.
    pub partial_tokens: u64,
}

/// Reads the contents of stores and frees parts.
#[async_trait]
pub trait PartStoreControl: Send + Sync {
    /// Waits for changes after the position `since`, for at most `wait`.
    async fn changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> Result<PartChanges, HttpError>;

    /// Lists all contents.
    async fn list(&self, address: SocketAddr) -> Result<PartListing, HttpError>;

    /// Frees parts, if the store is still in the epoch `epoch`.
    async fn free(
        &self,
        address: SocketAddr,
        parts: &[StoredPart],
        epoch: u64,
    ) -> Result<(), HttpError>;
}
