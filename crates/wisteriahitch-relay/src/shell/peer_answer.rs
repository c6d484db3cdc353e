//! A peer's answer, which may arrive in several transfers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING, ETAG, HOST, IF_RANGE, RANGE};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::http_client::HttpError;
use wisteriahitch_wire::transfer::{TransferLimits, TransferProgress, receive_body};

use super::compression::{GZIP, decompress};
use super::shared::Shared;

/// Maximum size of an answer, before and after decompression.
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(8 * 1024 * 1024);

/// Header of a refused request with the address of a peer that has the same objects.
pub(super) const REFERRAL_HEADER: &str = "wisteriahitch-referred-to";

/// Why an answer has not arrived.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum PeerError {
    /// The peer sends to others at the moment.
    #[error("the peer is busy")]
    Busy,
    /// The peer sends to others at the moment, and this one has the same objects.
    #[error("the peer refers to {0}")]
    Referred(Ipv4Addr),
    /// The transfer failed, or the answer is malformed.
    #[error("{0}")]
    Failed(String),
}

/// What has arrived of the answer to a question.
#[derive(Debug, Default)]
pub(super) struct PeerAnswer {
    path: String,
    body: BytesMut,
    is_compressed: bool,
    /// Identifies the bytes of an answer that can be continued.
    tag: Option<HeaderValue>,
}

impl PeerAnswer {
    /// Creates the answer to a question, of which nothing has arrived.
    pub(super) fn new(path: &str) -> Self {
        Self {
            path: path.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the path of the question.
    pub(super) fn path(&self) -> &str {
        &self.path
    }

    /// Returns the number of bytes that have arrived.
    pub(super) fn len(&self) -> usize {
        self.body.len()
    }

    /// Asks a peer, and receives what is missing. Returns the head's fields.
    ///
    /// # Errors
    ///
    /// What can be continued later is kept.
    pub(super) async fn receive(
        &mut self,
        shared: &Shared,
        ip: Ipv4Addr,
        timeout: Duration,
        progress: &TransferProgress,
    ) -> Result<HeaderMap, PeerError> {
        let received = self.receive_rest(shared, ip, timeout, progress).await;
        if received.is_err() && self.tag.is_none() {
            self.body.clear();
        }
        received
    }

    async fn receive_rest(
        &mut self,
        shared: &Shared,
        ip: Ipv4Addr,
        timeout: Duration,
        progress: &TransferProgress,
    ) -> Result<HeaderMap, PeerError> {
        let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
        let to_text = |error: HttpError| PeerError::Failed(error.to_string());
        let mut connection = Connection::open(to, timeout).await.map_err(to_text)?;
        let request = self.request(to);
        let request = request.map_err(|error| PeerError::Failed(error.to_string()))?;
        let requested_at = Instant::now();
        let response = connection.send_within(request, timeout).await;
        let (head, body) = response.map_err(to_text)?.into_parts();
        match head.status {
            StatusCode::PARTIAL_CONTENT if head.headers.get(ETAG) == self.tag.as_ref() => {}
            StatusCode::OK => {
                self.body.clear();
                let encoding = head.headers.get(CONTENT_ENCODING);
                self.is_compressed =
                    encoding.is_some_and(|name| name.as_bytes() == GZIP.as_bytes());
                self.tag = head.headers.get(ETAG).cloned();
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                let holder = head.headers.get(REFERRAL_HEADER);
                let holder = holder.and_then(|ip| ip.to_str().ok()?.parse().ok());
                return Err(holder.map_or(PeerError::Busy, PeerError::Referred));
            }
            status => return Err(PeerError::Failed(status.to_string())),
        }
        let limits = TransferLimits::for_body(timeout, MAX_ANSWER_BYTES);
        receive_body(body, requested_at, &limits, progress, &mut self.body)
            .await
            .map_err(to_text)?;
        Ok(head.headers)
    }

    fn request(&self, to: SocketAddr) -> http::Result<Request<Bytes>> {
        let mut request = Request::get(&self.path)
            .header(HOST, to.to_string())
            .header(ACCEPT_ENCODING, GZIP);
        if let Some(tag) = self.tag.as_ref().filter(|_| !self.body.is_empty()) {
            request = request
                .header(IF_RANGE, tag)
                .header(RANGE, format!("bytes={}-", self.body.len()));
        }
        request.body(Bytes::new())
    }

    /// Decodes the whole answer.
    ///
    /// # Errors
    ///
    /// [`PeerError::Failed`] if the answer is malformed.
    pub(super) fn decode<T: DeserializeOwned>(&self) -> Result<T, PeerError> {
        let decoded = match self.is_compressed {
            true => {
                let text = decompress(&self.body, MAX_ANSWER_BYTES);
                let text = text.map_err(|error| PeerError::Failed(error.to_string()))?;
                serde_json::from_slice(&text)
            }
            false => serde_json::from_slice(&self.body),
        };
        decoded.map_err(|error| PeerError::Failed(error.to_string()))
    }
}
