//! Store VMs: blocks in memory and on disk behind limited links.

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

/// Talks to store VMs; block contents travel between engine and store VM, never through a daemon.
#[async_trait]
pub trait Store: Send + Sync {
    /// Returns the store's identity, room and link.
    async fn report(&self, address: SocketAddr) -> Result<StoreReport, StoreError>;

    /// Takes room for a block.
    async fn reserve(
        &self,
        address: SocketAddr,
        request: ReserveRequest,
    ) -> Result<Reserved, StoreError>;

    /// Keeps a readable block from being freed while it is read.
    async fn pin(
        &self,
        address: SocketAddr,
        key: BlockKey,
        incarnation: &StoreIncarnation,
    ) -> Result<Pin, StoreError>;

    /// Gives up a pin.
    async fn unpin(&self, address: SocketAddr, key: BlockKey, pin: &str) -> Result<(), StoreError>;

    /// Lets a block drain and go.
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

    /// Returns every block of the store.
    async fn list(&self, address: SocketAddr) -> Result<BlockListing, StoreError>;

    /// Returns the URL at which an engine reads or writes a block.
    fn block_url(&self, address: SocketAddr, key: BlockKey) -> String;
}
