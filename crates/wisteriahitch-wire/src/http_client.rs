//! HTTP client shared by the protocols to external systems.
//!
//! It never retries a request, and each error says whether a byte of the request may have been
//! sent. Whether a caller may be told that its request was not run depends on that
//! (`docs/design/outside-protocols.md`).

mod connector;
mod error;

pub use crate::answer_state::TrackedBody;
pub use error::{HttpError, HttpErrorKind};
pub(crate) use error::{is_broken_socket, with_causes};

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{ByteCount, DurationUs};

use self::connector::Connector;
use crate::answer_framing::AnswerFraming;
use crate::answer_meter::MAX_BUFFER_BYTES;
use crate::answer_state::AnswerState;
use crate::transfer::{TransferProgress, append_body};

/// Statuses of final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Limits on the connections of a client.
#[derive(Clone, Copy, Debug)]
pub struct HttpClientOptions {
    /// Maximum time to open a connection.
    pub connect_timeout_us: DurationUs,
    /// Time after which an idle connection is closed.
    pub idle_timeout_us: DurationUs,
    /// Maximum number of idle connections per address.
    pub max_idle_per_address: usize,
}

impl Default for HttpClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout_us: DurationUs::from_ms(1_000),
            idle_timeout_us: DurationUs::from_ms(30_000),
            max_idle_per_address: 32,
        }
    }
}

/// Sends HTTP/1.1 requests over pooled connections, each request at most once.
///
/// Clones share the connection pool. If a request is given up, or its answer not read to its end, its
/// connection is reset: the system would otherwise go on sending a request that the peer has not
/// acknowledged.
///
/// # Examples
///
/// ```
/// use wisteriahitch_types::{ByteCount, DurationUs};
/// use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions, HttpErrorKind};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let address = free.local_addr().unwrap();
/// drop(free);
///
/// let client = HttpClient::new(HttpClientOptions::default());
/// let request = http::Request::get("/load").body(bytes::Bytes::new()).unwrap();
/// let error = client
///     .fetch(address, request, DurationUs::from_ms(5_000), ByteCount::new(1_000))
///     .await
///     .unwrap_err();
/// assert_eq!(error.kind(), HttpErrorKind::NotSent);
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<Connector, Full<Bytes>>,
}

impl HttpClient {
    /// Builds a client; connections are opened as they are needed.
    pub fn new(options: HttpClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout_us.into()));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from(options.idle_timeout_us))
            .http1_max_buf_size(MAX_BUFFER_BYTES)
            .pool_max_idle_per_host(options.max_idle_per_address)
            // The library must not retry a request that may run only once: the router decides
            // about retries, and a duplicate booking would be the only symptom. By default the
            // library retries a request whose pooled connection closed before it was written.
            .retry_canceled_requests(false)
            .build(Connector::new(connector));
        Self { client }
    }

    /// Sends `request`, whose URI is only a path and a query, and returns the head of the answer
    /// and its body as a stream.
    ///
    /// # Errors
    ///
    /// `timeout_us` limits the wait for the head only; the caller must limit the wait for the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout_us: DurationUs,
    ) -> Result<Response<TrackedBody>, HttpError> {
        self.send_until(address, request, deadline_in(timeout_us))
            .await
    }

    /// Sends `request`, whose URI is only a path and a query, and returns the complete answer.
    ///
    /// # Errors
    ///
    /// `timeout_us` limits the whole call and `limit_bytes` the size of the body. An answer with
    /// neither a length nor chunked encoding is [`HttpErrorKind::Malformed`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout_us: DurationUs,
        limit_bytes: ByteCount,
    ) -> Result<Response<Bytes>, HttpError> {
        let deadline = deadline_in(timeout_us);
        let method = request.method().clone();
        let response = self.send_until(address, request, deadline).await?;
        check_is_delimited(&method, &response)?;
        let (head, body) = response.into_parts();
        let whole = timeout_at(deadline, read_body(body, limit_bytes))
            .await
            .map_err(|_| {
                HttpError::new(
                    HttpErrorKind::Timeout,
                    "the body was not complete before the deadline",
                )
            })??;
        Ok(Response::from_parts(head, whole))
    }

    async fn send_until(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<TrackedBody>, HttpError> {
        let mut request = request.map(Full::new);
        *request.uri_mut() = absolute_uri(address, request.uri())?;
        // The library captures the connection right before it hands the request to it. If the call
        // times out and no connection was captured, no byte of the request was sent.
        let captured = capture_connection(&mut request);
        match timeout_at(deadline, self.client.request(request)).await {
            Ok(Ok(mut response)) => {
                check_is_final(response.status())?;
                // The connector adds the state to each of its connections.
                let state = response.extensions_mut().remove::<AnswerState>();
                Ok(response.map(|body| TrackedBody::new(body, state.unwrap_or_default())))
            }
            Ok(Err(error)) => Err(HttpError::from_request_error(&error)),
            Err(_) if captured.connection_metadata().is_none() => Err(HttpError::new(
                HttpErrorKind::NotSent,
                "no connection before the deadline",
            )),
            Err(_) => Err(HttpError::new(
                HttpErrorKind::Timeout,
                "no response head before the deadline",
            )),
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// [`HttpErrorKind::TooLarge`] if the body exceeds `limit_bytes`.
pub async fn read_body<B>(body: B, limit_bytes: ByteCount) -> Result<Bytes, HttpError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut whole = BytesMut::new();
    let progress = TransferProgress::default();
    append_body(body, limit_bytes, &progress, &mut whole, || None).await?;
    Ok(whole.freeze())
}

/// Rejects an answer whose body ends only when the connection closes.
///
/// If the sender crashes midway, such a body looks complete, and a caller would accept a truncated
/// answer without noticing.
fn check_is_delimited(method: &Method, response: &Response<TrackedBody>) -> Result<(), HttpError> {
    let framing = AnswerFraming::of(method, response.status(), response.headers());
    if framing != AnswerFraming::Close {
        return Ok(());
    }
    let detail = "the answer has neither a content-length nor a transfer-encoding";
    Err(HttpError::new(HttpErrorKind::Malformed, detail))
}

/// Rejects a status that no final answer has to a request that asks for no other protocol (RFC 9110,
/// section 15). Whether the request was run is unknown.
pub(crate) fn check_is_final(status: StatusCode) -> Result<(), HttpError> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    let detail = format!("{} is the status of no final answer", status.as_u16());
    Err(HttpError::new(HttpErrorKind::Malformed, detail))
}

fn deadline_in(timeout_us: DurationUs) -> Instant {
    /// Longer timeouts are shortened to this one, because adding them to an `Instant` may overflow.
    const MAX_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 60 * 60);

    let now = Instant::now();
    let wait = Duration::from(timeout_us).min(MAX_TIMEOUT);
    now + wait
}

fn absolute_uri(address: SocketAddr, uri: &Uri) -> Result<Uri, HttpError> {
    let not_sent = |error: http::Error| HttpError::new(HttpErrorKind::NotSent, error.to_string());
    let authority =
        Authority::try_from(address.to_string()).map_err(|error| not_sent(error.into()))?;
    let path_and_query = uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    Uri::builder()
        .scheme(Scheme::HTTP)
        .authority(authority)
        .path_and_query(path_and_query)
        .build()
        .map_err(not_sent)
}
