//! Stores that keep parts of prompts.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use wisteriahitch_types::{ModelName, TokenCount};
use wisteriahitch_wire::http_client::HttpError;

/// One part as a store keeps it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoredPart {
    /// Text under which it was saved.
    pub scope: String,
    /// Id of the part.
    pub id: u64,
    /// Model that made it.
    pub model: ModelName,
    /// Size; zero where it was freed.
    pub tokens: TokenCount,
}

/// A change of what a store keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartEvent {
    /// Whether the part is whole there now, or gone.
    pub is_stored: bool,
    /// Part.
    pub part: StoredPart,
}

/// What a store tells of its changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartChanges {
    /// Life of the store; another one means that it came back empty.
    pub epoch: u64,
    /// Where to go on.
    pub next: u64,
    /// Whether changes are missing.
    pub has_gap: bool,
    /// Changes.
    pub events: Vec<PartEvent>,
    /// The clock of stores and engines, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// All that a store keeps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartListing {
    /// Life of the store.
    pub epoch: u64,
    /// Where to go on with changes.
    pub next: u64,
    /// Whole parts.
    pub parts: Vec<StoredPart>,
    /// Tokens that are reserved for parts that aren't whole.
    pub partial_tokens: u64,
}

/// Reads what stores keep, and frees it.
#[async_trait]
pub trait PartStoreControl: Send + Sync {
    /// Waits for changes after `since`, at most for `wait`.
    async fn changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> Result<PartChanges, HttpError>;

    /// Lists everything.
    async fn list(&self, address: SocketAddr) -> Result<PartListing, HttpError>;

    /// Frees parts, if the store still lives the life `epoch`.
    async fn free(
        &self,
        address: SocketAddr,
        parts: &[StoredPart],
        epoch: u64,
    ) -> Result<(), HttpError>;
}
