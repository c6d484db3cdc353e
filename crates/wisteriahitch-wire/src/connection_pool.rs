//! HTTP/1.1 connections, and a pool of idle connections for each peer.
//!
//! An address may be reassigned to another endpoint, and a restarted endpoint may reuse its id. The
//! pool's key therefore identifies the instance, so that a connection is never used for a request
//! that was routed to a different instance (`docs/design/platform.md`).

mod shared_stream;

pub use crate::answer_state::TrackedBody;

use std::collections::HashMap;
use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use self::shared_stream::{SharedStream, StreamHandle};
use crate::answer_framing::AnswerFraming;
use crate::answer_meter::MAX_BUFFER_BYTES;
use crate::answer_state::AnswerState;
use crate::http_client::{HttpError, HttpErrorKind, check_is_final, is_broken_socket, with_causes};
use crate::metered_stream::MeteredStream;
use crate::transfer::{TransferLimits, TransferProgress, receive_body};

/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
///
/// During a network partition a connection neither answers nor breaks. Without this timeout,
/// requests on it would hang until their deadline even after the endpoint is reachable again.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum time that a connection may be idle and still be reused, if the endpoint announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Share of the endpoint's announced idle timeout during which a connection is reused.
///
/// The endpoint closes the connection when its timeout ends. A request sent at that moment is lost,
/// and a request that may run only once cannot be sent again.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Maximum number of idle connections in the pool for one peer.
const MAX_IDLE_PER_PEER: usize = 16;

/// Maximum wait for a connection to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// One connection to an endpoint, closed when it is dropped.
///
/// Dropping it cancels a running request: endpoints stop working on a request when its connection
/// closes. If the answer has not been read to its end, the connection is reset. After an ordinary
/// close the system would go on sending bytes that the peer has not acknowledged, and a request that
/// was given up would still arrive and run.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    stream: StreamHandle,
    answer_state: AnswerState,
    address: SocketAddr,
    forwarder: Option<SocketAddr>,
    opened_at: Instant,
    idle_timeout: Duration,
    /// Number of requests that were handed over to be sent.
    requests: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.answer_state.is_pending() {
            self.stream.reset_on_close();
        }
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection, waiting at most `wait`.
    ///
    /// # Errors
    ///
    /// Every failure is [`HttpErrorKind::NotSent`].
    pub async fn open(address: SocketAddr, wait: Duration) -> Result<Self, HttpError> {
        let stream = open_stream(address, None, wait).await?;
        Self::over_stream(stream, address).await
    }

    /// Opens a connection to `address` through a forwarder: a server that switches the connection
    /// of `request` to another protocol and then forwards all bytes. `from` is the local address
    /// of that connection.
    ///
    /// # Errors
    ///
    /// Every failure is [`HttpErrorKind::NotSent`]: nothing but `request` was sent.
    pub async fn open_through(
        forwarder: SocketAddr,
        from: IpAddr,
        request: Request<Bytes>,
        address: SocketAddr,
        wait: Duration,
    ) -> Result<Self, ForwardError> {
        let started_at = Instant::now();
        let stream = open_stream(forwarder, Some(from), wait).await?;
        let mut to_forwarder = Self::over_stream(stream, forwarder).await?;
        let stream = to_forwarder.stream.clone();
        let switch = async {
            let response = to_forwarder.exchange(request).await;
            let response = response.map_err(|error| not_sent(error.to_string()))?;
            if response.status() != StatusCode::SWITCHING_PROTOCOLS {
                return Err(ForwardError::Refused(response.status()));
            }
            let upgraded = hyper::upgrade::on(response).await;
            let upgraded = upgraded.map_err(|error| not_sent(error.to_string()))?;
            let mut connection = Self::over(TokioIo::new(upgraded), stream, address).await?;
            connection.forwarder = Some(forwarder);
            Ok(connection)
        };
        let left = wait.saturating_sub(started_at.elapsed());
        timeout(left, switch).await.unwrap_or_else(|_| {
            let detail = format!("no connection through {forwarder} within {wait:?}");
            Err(not_sent(detail).into())
        })
    }

    /// Uses an open TCP connection to `address`.
    ///
    /// # Errors
    ///
    /// Every failure is [`HttpErrorKind::NotSent`].
    pub async fn over_stream(stream: TcpStream, address: SocketAddr) -> Result<Self, HttpError> {
        let stream = SharedStream::new(stream);
        let handle = stream.handle();
        Self::over(stream, handle, address).await
    }

    /// Uses a connection to `address` that carries HTTP over `io`, with `stream` below.
    async fn over<T>(io: T, stream: StreamHandle, address: SocketAddr) -> Result<Self, HttpError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let answer_state = AnswerState::default();
        let metered = MeteredStream::new(io, answer_state.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let drive = {
            let (stream, answer_state) = (stream.upgrade(), answer_state.clone());
            async move {
                // The error is ignored here: a request in flight gets it too, and without one it
                // has no effect.
                let _ = driver.with_upgrades().await;
                if answer_state.is_pending() || answer_state.ends_with_connection() {
                    // Only the connection knows whether the answer gets read to its end, and is asked
                    // whether the request was delivered. It ends this task when it is dropped.
                    std::future::pending::<()>().await;
                }
                drop(stream);
            }
        };
        Ok(Self {
            sender,
            driver: tokio::spawn(drive).abort_handle(),
            stream,
            answer_state,
            address,
            forwarder: None,
            opened_at: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            requests: 0,
        })
    }

    /// Returns the server that forwards the connection, if it wasn't opened directly.
    pub fn forwarder(&self) -> Option<SocketAddr> {
        self.forwarder
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how long ago the connection was opened.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Returns whether it has carried another request before the last one, so that an answer may also
    /// be a further one to that request.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Returns whether the system has taken the whole last request, and the connection wasn't reset.
    ///
    /// An endpoint that gives up may close its side in order in the middle of an answer that ends with
    /// its connection. What it hasn't read of the request then stays unsent, or resets the connection.
    pub fn is_request_delivered(&self) -> bool {
        self.answer_state.is_request_taken() && !self.stream.is_broken()
    }

    /// Sets the idle timeout that the endpoint announced; the connection is reused for only
    /// `IDLE_TIMEOUT_SHARE` of it.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE);
    }

    /// Makes the connection write only while `condition` holds, which must never hold again once it
    /// didn't. It must be set at most once.
    ///
    /// Between the last check of a caller and the write lies another task, and the process may be
    /// suspended there.
    pub fn write_only_while(&mut self, condition: impl Fn() -> bool + Send + Sync + 'static) {
        self.answer_state.write_only_while(Box::new(condition));
    }

    /// Waits at most `READY_TIMEOUT` until the next request can be sent; returns whether it can.
    ///
    /// The previous answer must have been read to its end.
    pub async fn ready(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Sends a request, whose URI is only a path and a query, and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`HttpErrorKind::NotSent`] only if no byte of the request was sent, and
    /// [`HttpErrorKind::Malformed`] if the answer isn't HTTP or has a status that no final answer has.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<TrackedBody>, HttpError> {
        let response = self.exchange(request).await?;
        if let Err(error) = check_is_final(response.status()) {
            // Nothing that follows on the connection is an answer either.
            self.answer_state.begin();
            return Err(error);
        }
        Ok(response)
    }

    /// Sends a request, which may ask for another protocol, and waits for the head of the answer.
    async fn exchange(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<TrackedBody>, HttpError> {
        let method = request.method().clone();
        let pending = self.answer_state.begin();
        pending.set_request_body(request.body().len());
        let request = request.map(Full::new);
        self.requests += 1;
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            excess = pending.meter().wait_for_slow_head() => return Err(excess.into()),
        };
        match sent {
            Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
                let response = response.map(|body| TrackedBody::new(body, pending.clone()));
                pending.meter().record_switch();
                Ok(response)
            }
            Ok(response) => {
                let framing = AnswerFraming::of(&method, response.status(), response.headers());
                if framing == AnswerFraming::Close {
                    pending.record_end_with_connection();
                }
                Ok(response.map(|body| TrackedBody::new(body, pending)))
            }
            Err(mut failure) => match failure.take_message() {
                Some(_) => {
                    self.answer_state.finish();
                    Err(HttpError::new(
                        HttpErrorKind::NotSent,
                        "the pooled connection was already closed",
                    ))
                }
                None if !self.answer_state.is_written() && is_broken_socket(failure.error()) => {
                    self.answer_state.finish();
                    let cause = with_causes(failure.error());
                    Err(not_sent(format!(
                        "nothing of the request was sent: {cause}"
                    )))
                }
                None => Err(HttpError::from_error_after_send(failure.error())),
            },
        }
    }

    /// Sends a request and reads its complete answer within its limits.
    ///
    /// # Errors
    ///
    /// The errors of [`Connection::send_within`] and of [`receive_body`].
    pub async fn receive(
        &mut self,
        request: Request<Bytes>,
        limits: &TransferLimits,
        progress: &TransferProgress,
    ) -> Result<Response<Bytes>, HttpError> {
        let requested_at = Instant::now();
        let response = self.send_within(request, limits.head()).await?;
        let (head, body) = response.into_parts();
        let mut whole = BytesMut::new();
        receive_body(body, requested_at, limits, progress, &mut whole).await?;
        Ok(Response::from_parts(head, whole.freeze()))
    }

    /// Sends a request and waits at most `wait` for the head of its answer.
    ///
    /// # Errors
    ///
    /// The errors of [`Connection::send`], and [`HttpErrorKind::Timeout`].
    pub async fn send_within(
        &mut self,
        request: Request<Bytes>,
        wait: Duration,
    ) -> Result<Response<TrackedBody>, HttpError> {
        timeout(wait, self.send(request)).await.unwrap_or_else(|_| {
            let detail = format!("no answer has begun within {wait:?}");
            Err(HttpError::new(HttpErrorKind::Timeout, detail))
        })
    }

    /// Sends a request and reads its complete answer, a short message, within `wait`.
    ///
    /// # Errors
    ///
    /// The errors of [`Connection::receive`].
    pub async fn fetch(
        &mut self,
        request: Request<Bytes>,
        wait: Duration,
        limit_bytes: wisteriahitch_types::ByteCount,
    ) -> Result<Response<Bytes>, HttpError> {
        let limits = TransferLimits::for_message(wait, limit_bytes);
        self.receive(request, &limits, &TransferProgress::default())
            .await
    }
}

/// A pooled connection and the time at which it was returned to the pool.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Why a connection can't be opened through a forwarder.
#[derive(Debug, thiserror::Error)]
pub enum ForwardError {
    /// The forwarder refused with this status.
    #[error("the forwarder answered {0}")]
    Refused(StatusCode),
    /// The forwarder couldn't be reached, or didn't answer in time.
    #[error(transparent)]
    Failed(#[from] HttpError),
}

/// Pool of idle connections, keyed by the peer that they were opened to.
#[derive(Debug)]
pub struct ConnectionPool<K> {
    idle: Mutex<HashMap<K, Vec<IdleConnection>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self {
            idle: Mutex::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> ConnectionPool<K> {
    /// Removes and returns the most recently used connection to `peer` that is open and ready.
    ///
    /// Returns `None` if there is none that was idle for at most `max_idle` and its idle timeout.
    pub async fn checkout(&self, peer: &K, max_idle: Duration) -> Option<Connection> {
        loop {
            let mut connection = self.pop(peer, max_idle)?;
            if connection.sender.is_closed() {
                continue;
            }
            if connection.ready().await {
                return Some(connection);
            }
        }
    }

    fn pop(&self, peer: &K, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let peer_idle = idle.get_mut(peer)?;
        while let Some(candidate) = peer_idle.pop() {
            let idle_time = candidate.idle_since.elapsed();
            if idle_time <= max_idle.min(candidate.connection.idle_timeout) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. Its last answer must have been read to its end.
    ///
    /// If the peer already has `MAX_IDLE_PER_PEER` connections, the oldest of them is closed.
    pub fn check_in(&self, peer: &K, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let peer_idle = idle.entry(peer.clone()).or_default();
        if peer_idle.len() >= MAX_IDLE_PER_PEER {
            peer_idle.remove(0);
        }
        peer_idle.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
        });
    }

    /// Closes all idle connections to `peer`.
    pub fn close_idle(&self, peer: &K) {
        self.idle.lock().remove(peer);
    }

    /// Closes connections that are closed by the peer or idle for longer than their idle timeout.
    ///
    /// Returns how many connections remain in the pool.
    pub fn close_expired(&self) -> usize {
        let mut idle = self.idle.lock();
        idle.retain(|_, peer_idle| {
            peer_idle.retain(|candidate| {
                let is_fresh = candidate.idle_since.elapsed() <= candidate.connection.idle_timeout;
                is_fresh && !candidate.connection.sender.is_closed()
            });
            !peer_idle.is_empty()
        });
        idle.values().map(Vec::len).sum()
    }
}

fn not_sent(detail: String) -> HttpError {
    HttpError::new(HttpErrorKind::NotSent, detail)
}

/// Opens a TCP connection with the options that all connections have, waiting at most `wait`. `from`
/// is the local address; the system chooses one if it is `None`.
///
/// # Errors
///
/// Every failure is [`HttpErrorKind::NotSent`].
pub async fn open_stream(
    address: SocketAddr,
    from: Option<IpAddr>,
    wait: Duration,
) -> Result<TcpStream, HttpError> {
    let connect = async {
        let Some(from) = from else {
            return TcpStream::connect(address).await;
        };
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(from, 0))?;
        socket.connect(address).await
    };
    let stream = timeout(wait, connect)
        .await
        .map_err(|_| not_sent(format!("no connection to {address} within {wait:?}")))?
        .map_err(|error| not_sent(format!("no connection to {address}: {error}")))?;
    set_options(&stream).map_err(|error| not_sent(format!("socket options: {error}")))?;
    Ok(stream)
}

/// Sets the options that all connections have.
///
/// # Errors
///
/// Fails if the system rejects an option.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
