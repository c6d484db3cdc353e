//! Client of model engines: completions, cache events, KV transfer, load reports and orders.

mod body;
mod error;
mod http_engine;
mod message;
mod sse;
mod token_stream;

pub use body::{
    CompletionBody, CompletionExtension, DONE, HEADER_ATTEMPT, HEADER_CACHED_TOKENS,
    HEADER_REQUEST_ID, HEADER_WEIGHT_VERSION, OrderBody, RefusalBody,
};
pub use error::{EngineError, EngineErrorKind};
pub use http_engine::HttpEngine;
pub use message::{
    BlockRef, CacheEvent, CacheEventKind, CacheEvents, CacheListing, CompletionHead,
    CompletionRequest, ExportRequest, ExportResult, ImportRequest, LoadReport, ModelReport, Order,
    Token,
};
pub use sse::{SseError, SseParser};

use async_trait::async_trait;
use futures_util::stream::BoxStream;
use std::net::SocketAddr;
use wisteriahitch_types::{DurationUs, FenceNumber, RequestId};

/// Stream of tokens. It ends with a token that has a finish reason, or with an error.
pub type TokenStream = BoxStream<'static, Result<Token, EngineError>>;

/// Client of model engines. Each call takes the address of the engine.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a completion; returns its head and the stream of its tokens.
    ///
    /// `head_timeout_us` limits the wait for the head.
    async fn complete(
        &self,
        address: SocketAddr,
        request: CompletionRequest,
        head_timeout_us: DurationUs,
    ) -> Result<(CompletionHead, TokenStream), EngineError>;

    /// Cancels a request. Cancelling an unknown request succeeds.
    async fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), EngineError>;

    /// Returns the engine's load report, which may lag behind its actual load.
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError>;

    /// Returns the cache events with sequence numbers above `after`.
    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError>;

    /// Returns the keys of all blocks in the engine's cache.
    async fn cache_listing(&self, address: SocketAddr) -> Result<CacheListing, EngineError>;

    /// Makes the engine write a block to a store VM, which must have reserved space for it.
    async fn export(
        &self,
        address: SocketAddr,
        request: ExportRequest,
    ) -> Result<ExportResult, EngineError>;

    /// Makes the engine read a pinned block from a store VM.
    async fn import(&self, address: SocketAddr, request: ImportRequest) -> Result<(), EngineError>;

    /// Sends an order with a fencing number; waits at most `timeout_us` for the answer.
    async fn order(
        &self,
        address: SocketAddr,
        fence: FenceNumber,
        order: Order,
        timeout_us: DurationUs,
    ) -> Result<(), EngineError>;
}
