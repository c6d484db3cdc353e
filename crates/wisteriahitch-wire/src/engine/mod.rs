//! The model engine: completions, cache events, KV transfer, load and orders.

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

/// A stream of tokens, ended by a token with a finish reason or by an error.
pub type TokenStream = BoxStream<'static, Result<Token, EngineError>>;

/// Talks to model engines; every call names the engine's address.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a completion and returns its head and its tokens.
    async fn complete(
        &self,
        address: SocketAddr,
        request: CompletionRequest,
        head_timeout_us: DurationUs,
    ) -> Result<(CompletionHead, TokenStream), EngineError>;

    /// Cancels a request; an unknown one counts as cancelled.
    async fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), EngineError>;

    /// Returns the engine's lagging load report.
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError>;

    /// Returns cache events above the number `after`.
    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError>;

    /// Returns every block key that the engine holds.
    async fn cache_listing(&self, address: SocketAddr) -> Result<CacheListing, EngineError>;

    /// Makes the engine write a block to a store VM.
    async fn export(
        &self,
        address: SocketAddr,
        request: ExportRequest,
    ) -> Result<ExportResult, EngineError>;

    /// Makes the engine read a pinned block from a store VM.
    async fn import(&self, address: SocketAddr, request: ImportRequest) -> Result<(), EngineError>;

    /// Gives an order under a fencing number, waiting at most `timeout_us`.
    async fn order(
        &self,
        address: SocketAddr,
        fence: FenceNumber,
        order: Order,
        timeout_us: DurationUs,
    ) -> Result<(), EngineError>;
}
