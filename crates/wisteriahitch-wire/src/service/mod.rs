//! Plain services: the caller's method and path, passed through.

mod error;
mod headers;
mod http_service;

pub use error::{ServiceError, ServiceErrorKind};
pub use http_service::{HttpService, HttpServiceOptions};

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use wisteriahitch_types::{ByteCount, DurationUs, RequestId, WorkspaceId};

/// A caller's request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The caller's request.
    pub request_id: RequestId,
    /// Workspace that the caller's key belongs to.
    pub workspace: WorkspaceId,
    /// Method as the caller sent it.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// Headers that may be passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Longest wait for the whole answer.
    pub timeout_us: DurationUs,
    /// Largest answer that is taken.
    pub answer_limit_bytes: ByteCount,
}

/// A plain service's whole answer.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// Status as the service sent it.
    pub status: StatusCode,
    /// Headers that may be passed on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Holds a lagging report of a plain service's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// When the report was made, in milliseconds on the service's own clock.
    pub made_at_ms: u64,
    /// Requests that run now.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub running: u64,
    /// Requests that can run at once.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub slots: u64,
    /// Requests that wait.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub queued: u64,
    /// Whether the endpoint will go away soon.
    pub leaving: bool,
}

/// Talks to plain services.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends one request once and returns the whole answer.
    async fn call(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
    ) -> Result<ServiceResponse, ServiceError>;

    /// Returns the service's lagging load report.
    async fn load(&self, address: SocketAddr) -> Result<ServiceLoad, ServiceError>;
}
