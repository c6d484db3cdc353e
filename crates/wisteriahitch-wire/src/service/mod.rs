//! Client of plain services, to which the caller's method and path are forwarded unchanged.

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
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Workspace to which the caller's key belongs.
    pub workspace: WorkspaceId,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub path_and_query: String,
    /// Headers of the caller. The client removes those that must not be forwarded.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Maximum wait for the complete answer.
    pub timeout_us: DurationUs,
    /// Maximum size of the answer's body.
    pub answer_limit_bytes: ByteCount,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// Status sent by the service.
    pub status: StatusCode,
    /// Headers of the answer that may be forwarded to the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Load report of a plain service. It may lag behind the actual load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Time of the report, in milliseconds on the service's own clock.
    pub made_at_ms: u64,
    /// Number of running requests.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub running: u64,
    /// Maximum number of requests that run at once.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub slots: u64,
    /// Number of queued requests.
    #[serde(deserialize_with = "crate::count::deserialize")]
    pub queued: u64,
    /// Whether the endpoint is about to shut down.
    pub leaving: bool,
}

/// Client of plain services. Each call takes the address of the endpoint.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends a request at most once and returns the complete answer.
    async fn call(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
    ) -> Result<ServiceResponse, ServiceError>;

    /// Returns the endpoint's load report, which may lag behind its actual load.
    async fn load(&self, address: SocketAddr) -> Result<ServiceLoad, ServiceError>;
}
