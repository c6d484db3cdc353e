//! HTTP client shared by the outside protocols.
//!
//! It never repeats a request by itself, and each failure tells whether a byte of the request may
//! have left: what may be said to a caller about a request rests on that
//! (`docs/design/outside-protocols.md`).

mod error;

pub use error::{HttpError, HttpErrorKind};

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{ByteCount, DurationUs};

/// Sets the bounds on a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpClientOptions {
    /// Longest wait for a connection to open.
    pub connect_timeout_us: DurationUs,
    /// How long an unused connection is kept.
    pub idle_timeout_us: DurationUs,
    /// Unused connections kept for each address.
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

/// Sends HTTP/1.1 requests over pooled connections, each request once.
///
/// A clone shares the connections.
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
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Builds a client without connections.
    pub fn new(options: HttpClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout_us.into()));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from(options.idle_timeout_us))
            .pool_max_idle_per_host(options.max_idle_per_address)
            // A request that may run only once must never be sent again behind the back of the one
            // who decides about it; a doubled booking would be the only sign. Without this line the
            // library repeats a request whose pooled connection closed before it was written.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends `request`, whose URI is only a path and a query, and returns the answer's head and
    /// its body as it arrives.
    ///
    /// # Errors
    ///
    /// `timeout_us` bounds the wait for the head only; the caller bounds the wait for the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout_us: DurationUs,
    ) -> Result<Response<Incoming>, HttpError> {
        self.send_until(address, request, deadline_in(timeout_us))
            .await
    }

    /// Sends `request`, whose URI is only a path and a query, and returns the whole answer.
    ///
    /// # Errors
    ///
    /// `timeout_us` bounds the whole call and `limit_bytes` the answer's body. An answer that
    /// neither states its length nor comes in chunks is [`HttpErrorKind::Malformed`].
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
        check_has_end(&method, &response)?;
        let (head, body) = response.into_parts();
        let whole = timeout_at(deadline, read_body(body, limit_bytes))
            .await
            .map_err(|_| {
                HttpError::new(HttpErrorKind::Timeout, "the body wasn't whole in time")
            })??;
        Ok(Response::from_parts(head, whole))
    }

    async fn send_until(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut request = request.map(Full::new);
        *request.uri_mut() = absolute_uri(address, request.uri())?;
        // The connection is captured right before the request is handed to it, so a call that is
        // given up with nothing captured can't have sent a byte.
        let captured = capture_connection(&mut request);
        match timeout_at(deadline, self.client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(HttpError::of_request(&error)),
            Err(_) if captured.connection_metadata().is_none() => Err(HttpError::new(
                HttpErrorKind::NotSent,
                "no connection in time",
            )),
            Err(_) => Err(HttpError::new(
                HttpErrorKind::Timeout,
                "no head of an answer in time",
            )),
        }
    }
}

/// Reads a body to its end unless it is larger than `limit_bytes`.
pub async fn read_body(mut body: Incoming, limit_bytes: ByteCount) -> Result<Bytes, HttpError> {
    let limit = usize::try_from(limit_bytes.get()).unwrap_or(usize::MAX);
    let mut whole = BytesMut::new();
    if body.size_hint().lower() > limit_bytes.get() {
        return Err(too_large(limit_bytes));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| HttpError::after_send(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(too_large(limit_bytes));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn too_large(limit_bytes: ByteCount) -> HttpError {
    let detail = format!("the answer is larger than {limit_bytes}");
    HttpError::new(HttpErrorKind::TooLarge, detail)
}

/// Refuses an answer that ends only with its connection.
///
/// When the sender dies midway such an answer looks complete, and a caller would take half an
/// answer for the whole; nothing else would show it.
fn check_has_end(method: &Method, response: &Response<Incoming>) -> Result<(), HttpError> {
    let headers = response.headers();
    let has_end = headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || method == Method::HEAD
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    if has_end {
        return Ok(());
    }
    let detail = "the answer doesn't say where it ends";
    Err(HttpError::new(HttpErrorKind::Malformed, detail))
}

fn deadline_in(timeout_us: DurationUs) -> Instant {
    /// Stands for waits too long to add to a point of time.
    const FAR_AWAY: Duration = Duration::from_secs(365 * 24 * 60 * 60);

    let now = Instant::now();
    let wait = Duration::from(timeout_us).min(FAR_AWAY);
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
