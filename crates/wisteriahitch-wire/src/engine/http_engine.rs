//! HTTP client of the engine protocol; see `docs/design/outside-protocols.md`.

use std::net::SocketAddr;
use std::str::FromStr;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use wisteriahitch_types::{ByteCount, DurationUs, FenceNumber, RequestId};

use super::body::{
    CompletionBody, HEADER_ATTEMPT, HEADER_CACHED_TOKENS, HEADER_REQUEST_ID, HEADER_WEIGHT_VERSION,
    OrderBody, RefusalBody,
};
use super::token_stream::read_tokens;
use super::{
    CacheEvents, CacheListing, CompletionHead, CompletionRequest, Engine, EngineError,
    EngineErrorKind, ExportRequest, ExportResult, ImportRequest, LoadReport, Order, TokenStream,
};
use crate::http_client::{HttpClient, HttpError, HttpErrorKind, TrackedBody, read_body};

/// Timeout of a call that transfers no block.
const CONTROL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);

/// Timeout of a call that transfers a block. The link may be shared with other transfers.
const TRANSFER_TIMEOUT: DurationUs = DurationUs::from_ms(60_000);

/// Maximum size of an answer other than a listing.
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(4 * 1024 * 1024);

/// Maximum size of a listing, in which each key takes 35 bytes.
const MAX_LISTING_BYTES: ByteCount = ByteCount::new(64 * 1024 * 1024);

/// Maximum size of a refusal's body.
const MAX_REFUSAL_BYTES: ByteCount = ByteCount::new(64 * 1024);

/// Talks to model engines over HTTP.
///
/// Failures are classified by what they prove about the request. Whether an answer belongs to the
/// request is not checked here; the caller of this type must compare the ids.
///
/// # Examples
///
/// ```
/// use wisteriahitch_wire::engine::{Engine, EngineErrorKind, HttpEngine};
/// use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let free = std::net::TcpListener::bind("127.0.0.1:0")?;
/// let address = free.local_addr()?;
/// drop(free);
///
/// let engine = HttpEngine::new(HttpClient::new(HttpClientOptions::default()));
/// let error = engine.load(address).await.unwrap_err();
/// assert_eq!(error.kind(), EngineErrorKind::NotSent);
/// assert!(error.is_not_run());
/// # std::io::Result::Ok(())
/// # })?;
/// # std::io::Result::Ok(())
/// ```
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Builds an engine client that uses the connections of `client`.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout_us: DurationUs,
        limit_bytes: ByteCount,
    ) -> Result<Bytes, EngineError> {
        let answer = self.client.fetch(address, request, timeout_us, limit_bytes);
        let response = answer.await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        Err(classify_control_refusal(status, response.body()))
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit_bytes: ByteCount,
    ) -> Result<T, EngineError> {
        let request = build_request(Method::GET, path, Bytes::new())?;
        let body = self.fetch(address, request, CONTROL_TIMEOUT, limit_bytes);
        parse(&body.await?)
    }

    async fn post<B: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
        timeout_us: DurationUs,
    ) -> Result<Bytes, EngineError> {
        let request = build_request(Method::POST, path, to_json(body)?)?;
        self.fetch(address, request, timeout_us, MAX_ANSWER_BYTES)
            .await
    }

    async fn start(
        &self,
        address: SocketAddr,
        request: CompletionRequest,
        head_timeout_us: DurationUs,
    ) -> Result<Response<TrackedBody>, EngineError> {
        let body = to_json(&CompletionBody::from(request))?;
        let request = build_request(Method::POST, "/v1/completions", body)?;
        let response = self.client.send(address, request, head_timeout_us).await?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        Err(read_completion_refusal(response).await)
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn complete(
        &self,
        address: SocketAddr,
        request: CompletionRequest,
        head_timeout_us: DurationUs,
    ) -> Result<(CompletionHead, TokenStream), EngineError> {
        let response = self.start(address, request, head_timeout_us).await?;
        let head = parse_head(response.headers())?;
        Ok((head, read_tokens(response.into_body())))
    }

    async fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), EngineError> {
        let path = format!("/v1/requests/{request}");
        let request = build_request(Method::DELETE, &path, Bytes::new())?;
        self.fetch(address, request, CONTROL_TIMEOUT, MAX_ANSWER_BYTES)
            .await
            .map(drop)
    }

    async fn load(&self, address: SocketAddr) -> Result<LoadReport, EngineError> {
        self.get(address, "/v1/load", MAX_ANSWER_BYTES).await
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        let path = format!("/v1/cache/events?after={after}");
        self.get(address, &path, MAX_LISTING_BYTES).await
    }

    async fn cache_listing(&self, address: SocketAddr) -> Result<CacheListing, EngineError> {
        self.get(address, "/v1/cache/blocks", MAX_LISTING_BYTES)
            .await
    }

    async fn export(
        &self,
        address: SocketAddr,
        request: ExportRequest,
    ) -> Result<ExportResult, EngineError> {
        let answer = self.post(address, "/v1/kv/export", &request, TRANSFER_TIMEOUT);
        parse(&answer.await?)
    }

    async fn import(&self, address: SocketAddr, request: ImportRequest) -> Result<(), EngineError> {
        let answer = self.post(address, "/v1/kv/import", &request, TRANSFER_TIMEOUT);
        answer.await.map(drop)
    }

    async fn order(
        &self,
        address: SocketAddr,
        fence: FenceNumber,
        order: Order,
        timeout_us: DurationUs,
    ) -> Result<(), EngineError> {
        let body = OrderBody { fence, order };
        let answer = self.post(address, "/v1/orders", &body, timeout_us);
        answer.await.map(drop)
    }
}

impl From<HttpError> for EngineError {
    fn from(error: HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::NotSent => EngineErrorKind::NotSent,
            HttpErrorKind::Timeout => EngineErrorKind::Timeout,
            HttpErrorKind::Lost => EngineErrorKind::Lost,
            HttpErrorKind::Malformed | HttpErrorKind::TooLarge => EngineErrorKind::Nonsense,
        };
        Self::new(kind, error.detail())
    }
}

fn build_request(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>, EngineError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| EngineError::new(EngineErrorKind::NotSent, error.to_string()))
}

fn to_json<B: Serialize>(body: &B) -> Result<Bytes, EngineError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| EngineError::new(EngineErrorKind::NotSent, error.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, EngineError> {
    serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
}

fn parse_head(headers: &HeaderMap) -> Result<CompletionHead, EngineError> {
    Ok(CompletionHead {
        request_id: parse_header(headers, HEADER_REQUEST_ID)?,
        attempt: parse_header(headers, HEADER_ATTEMPT)?,
        weight_version: parse_header(headers, HEADER_WEIGHT_VERSION)?,
        cached_tokens: parse_header(headers, HEADER_CACHED_TOKENS)?,
    })
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, EngineError> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed(format!("the header {name} is missing or malformed")))
}

/// Reads the body of a refused completion and classifies the refusal.
///
/// Without its body a refusal proves nothing, because only the body has the field `not_run`.
async fn read_completion_refusal(response: Response<TrackedBody>) -> EngineError {
    let status = response.status();
    let body = read_body(response.into_body(), MAX_REFUSAL_BYTES);
    match timeout(CONTROL_TIMEOUT.into(), body).await {
        Ok(Ok(body)) => classify_completion_refusal(status, &body),
        Ok(Err(error)) => error.into(),
        Err(_) => EngineError::new(
            EngineErrorKind::Timeout,
            format!("status {status}, but its body did not arrive before the deadline"),
        ),
    }
}

/// Classifies a refused completion. A status alone never proves that the request was not run.
fn classify_completion_refusal(status: StatusCode, body: &[u8]) -> EngineError {
    let refusal: RefusalBody = serde_json::from_slice(body).unwrap_or_default();
    let kind = match status {
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => EngineErrorKind::Rejected,
        _ if !refusal.not_run => EngineErrorKind::Nonsense,
        StatusCode::CONFLICT => EngineErrorKind::OtherVersion,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND => EngineErrorKind::NotRun,
        _ => EngineErrorKind::Nonsense,
    };
    EngineError::new(kind, format!("status {status}: {}", refusal.reason))
}

/// Reason with which an engine refuses an order whose fencing number is too old.
const FENCED_REASON: &str = "fenced";

fn classify_control_refusal(status: StatusCode, body: &[u8]) -> EngineError {
    let refusal: RefusalBody = serde_json::from_slice(body).unwrap_or_default();
    let kind = match status {
        StatusCode::GONE => EngineErrorKind::Gone,
        StatusCode::UNPROCESSABLE_ENTITY => EngineErrorKind::Corrupt,
        StatusCode::CONFLICT if refusal.reason == FENCED_REASON => EngineErrorKind::Fenced,
        StatusCode::CONFLICT => EngineErrorKind::OtherVersion,
        StatusCode::SERVICE_UNAVAILABLE => EngineErrorKind::NotRun,
        StatusCode::BAD_GATEWAY => EngineErrorKind::Lost,
        _ => EngineErrorKind::Nonsense,
    };
    EngineError::new(kind, format!("status {status}: {}", refusal.reason))
}

fn malformed(detail: impl Into<String>) -> EngineError {
    EngineError::new(EngineErrorKind::Nonsense, detail)
}
