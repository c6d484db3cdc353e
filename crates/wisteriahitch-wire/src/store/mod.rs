//! Client of store VMs, which store cache blocks in memory and on disk behind links of limited
//! bandwidth.

mod body;
mod error;
mod http_store;
mod message;

pub use body::{MoveBody, PinBody, ReservedBody};
pub use error::{StoreError, StoreErrorKind};
pub use http_store::HttpStore;
pub use message::{
    BlockListing, LinkReport, Pin, ReserveRequest, Reserved, StoreReport, StoredBlock, TierReport,
};
pub use wisteriahitch_types::{BlockState, Tier};

use std::net::SocketAddr;

use async_trait::async_trait;
use wisteriahitch_types::{BlockKey, Generation, StoreIncarnation};

/// Client of store VMs. Engines and store VMs transfer block contents directly, never through a
/// daemon.
#[async_trait]
pub trait Store: Send + Sync {
    /// Returns the store's incarnation, space usage and link state.
    async fn report(&self, address: SocketAddr) -> Result<StoreReport, StoreError>;

    /// Reserves space for a block.
    async fn reserve(
        &self,
        address: SocketAddr,
        request: ReserveRequest,
    ) -> Result<Reserved, StoreError>;

    /// Pins a readable block, so that it is not freed while it is read.
    async fn pin(
        &self,
        address: SocketAddr,
        key: BlockKey,
        incarnation: &StoreIncarnation,
    ) -> Result<Pin, StoreError>;

    /// Releases a pin.
    async fn unpin(&self, address: SocketAddr, key: BlockKey, pin: &str) -> Result<(), StoreError>;

    /// Frees a block once the readers that have it pinned have finished.
    async fn free(
        &self,
        address: SocketAddr,
        key: BlockKey,
        generation: Generation,
    ) -> Result<(), StoreError>;

    /// Moves a block to another tier of the same store VM.
    async fn move_to(
        &self,
        address: SocketAddr,
        key: BlockKey,
        generation: Generation,
        tier: Tier,
    ) -> Result<(), StoreError>;

    /// Returns all blocks of the store.
    async fn list(&self, address: SocketAddr) -> Result<BlockListing, StoreError>;

    /// Returns the URL from which an engine reads a block or to which it writes it.
    fn block_url(&self, address: SocketAddr, key: BlockKey) -> String;
}
