//! HTTP client of the store protocol; see `docs/design/outside-protocols.md`.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wisteriahitch_types::{BlockKey, ByteCount, DurationUs, Generation, StoreIncarnation};

use super::body::{MoveBody, PinBody, ReservedBody};
use super::{
    BlockListing, BlockState, Pin, ReserveRequest, Reserved, Store, StoreError, StoreErrorKind,
    StoreReport, Tier,
};
use crate::http_client::{HttpClient, HttpError, HttpErrorKind};

/// Timeout of a call. It is short because no call of a daemon transfers a block's content.
const CONTROL_TIMEOUT: DurationUs = DurationUs::from_ms(2_000);

/// Maximum size of an answer other than a listing.
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(64 * 1024);

/// Maximum size of a listing, in which each block takes about 200 bytes.
const MAX_LISTING_BYTES: ByteCount = ByteCount::new(64 * 1024 * 1024);

/// HTTP client of store VMs.
///
/// # Examples
///
/// ```
/// use wisteriahitch_types::BlockKey;
/// use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
/// use wisteriahitch_wire::store::{HttpStore, Store};
///
/// let store = HttpStore::new(HttpClient::new(HttpClientOptions::default()));
/// let url = store.block_url(([127, 0, 0, 1], 8000).into(), BlockKey::from_bytes([7; 16]));
/// assert_eq!(url, "http://127.0.0.1:8000/v1/blocks/07070707070707070707070707070707");
/// ```
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: HttpClient,
}

impl HttpStore {
    /// Builds a store client that uses the connections of `client`.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit_bytes: ByteCount,
    ) -> Result<Response<Bytes>, StoreError> {
        let answer = self
            .client
            .fetch(address, request, CONTROL_TIMEOUT, limit_bytes);
        let response = answer.await?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(classify_refusal(&response))
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit_bytes: ByteCount,
    ) -> Result<T, StoreError> {
        let request = build_request(Method::GET, path, Bytes::new())?;
        parse(self.call(address, request, limit_bytes).await?.body())
    }

    async fn post<B: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<Response<Bytes>, StoreError> {
        let request = build_request(Method::POST, path, to_json(body)?)?;
        self.call(address, request, MAX_ANSWER_BYTES).await
    }

    async fn delete(&self, address: SocketAddr, path: &str) -> Result<(), StoreError> {
        let request = build_request(Method::DELETE, path, Bytes::new())?;
        self.call(address, request, MAX_ANSWER_BYTES)
            .await
            .map(drop)
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn report(&self, address: SocketAddr) -> Result<StoreReport, StoreError> {
        self.get(address, "/v1/store", MAX_ANSWER_BYTES).await
    }

    async fn reserve(
        &self,
        address: SocketAddr,
        request: ReserveRequest,
    ) -> Result<Reserved, StoreError> {
        let response = self.post(address, "/v1/blocks", &request).await?;
        let body: ReservedBody = parse(response.body())?;
        let reserved = match (response.status(), body.state) {
            (StatusCode::CREATED, _) => Reserved::Granted(body.generation),
            (_, Some(BlockState::Readable)) => Reserved::AlreadyReadable(body.generation),
            (_, Some(_)) => Reserved::InProgress,
            (status, None) => return Err(malformed(format!("status {status} without state"))),
        };
        Ok(reserved)
    }

    async fn pin(
        &self,
        address: SocketAddr,
        key: BlockKey,
        incarnation: &StoreIncarnation,
    ) -> Result<Pin, StoreError> {
        let body = PinBody {
            incarnation: incarnation.clone(),
        };
        let path = format!("/v1/blocks/{key}/pins");
        parse(self.post(address, &path, &body).await?.body())
    }

    async fn unpin(&self, address: SocketAddr, key: BlockKey, pin: &str) -> Result<(), StoreError> {
        let path = format!("/v1/blocks/{key}/pins/{pin}");
        self.delete(address, &path).await
    }

    async fn free(
        &self,
        address: SocketAddr,
        key: BlockKey,
        generation: Generation,
    ) -> Result<(), StoreError> {
        let path = format!("/v1/blocks/{key}?generation={generation}");
        self.delete(address, &path).await
    }

    async fn move_to(
        &self,
        address: SocketAddr,
        key: BlockKey,
        generation: Generation,
        tier: Tier,
    ) -> Result<(), StoreError> {
        let path = format!("/v1/blocks/{key}/move");
        let body = MoveBody { generation, tier };
        self.post(address, &path, &body).await.map(drop)
    }

    async fn list(&self, address: SocketAddr) -> Result<BlockListing, StoreError> {
        self.get(address, "/v1/blocks", MAX_LISTING_BYTES).await
    }

    fn block_url(&self, address: SocketAddr, key: BlockKey) -> String {
        format!("http://{address}/v1/blocks/{key}")
    }
}

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        let kind = match error.kind() {
            HttpErrorKind::NotSent | HttpErrorKind::Timeout | HttpErrorKind::Lost => {
                StoreErrorKind::Lost
            }
            HttpErrorKind::Malformed | HttpErrorKind::TooLarge => StoreErrorKind::Nonsense,
        };
        Self::new(kind, error.detail())
    }
}

fn classify_refusal(response: &Response<Bytes>) -> StoreError {
    let status = response.status();
    let kind = match status {
        // Whether the block never existed or was freed makes no difference to the reader: the
        // prompt must be computed again.
        StatusCode::GONE | StatusCode::NOT_FOUND => StoreErrorKind::Gone,
        StatusCode::INSUFFICIENT_STORAGE => StoreErrorKind::Full,
        status if status.is_server_error() => StoreErrorKind::Lost,
        _ => StoreErrorKind::Nonsense,
    };
    let reason = String::from_utf8_lossy(response.body());
    StoreError::new(kind, format!("status {status}: {reason}"))
}

fn build_request(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>, StoreError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| malformed(error.to_string()))
}

fn to_json<B: Serialize>(body: &B) -> Result<Bytes, StoreError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| malformed(error.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
}

fn malformed(detail: impl Into<String>) -> StoreError {
    StoreError::new(StoreErrorKind::Nonsense, detail)
}
