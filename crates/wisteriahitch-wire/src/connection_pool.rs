//! Connections, kept for the peer that they were opened to.
//!
//! An address may pass from one endpoint to another, and an endpoint's id from one life to the next.
//! Connections are therefore kept under what names the life, and never handed to a request that was
//! decided for somebody else (`docs/design/platform.md`).

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::http_client::{HttpError, HttpErrorKind};

/// Time after which the kernel gives up bytes that the other side doesn't confirm.
///
/// Behind a partition a connection neither answers nor breaks. One would notice by requests that
/// hang until their deadline although the endpoint can be reached again.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long an idle connection is used again where the endpoint doesn't say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_millis(4_000);

/// Part of the time which an endpoint says it keeps an idle connection in which it is used again.
///
/// The endpoint closes at its own time; a request that crosses the close is lost, and one that may
/// run only once can't be sent again.
const KEEP_SHARE: f64 = 0.6;

/// Most idle connections kept for one peer.
const MAX_IDLE_PER_PEER: usize = 16;

/// Time for a connection that was just used to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// One connection to an endpoint, closed when it is dropped.
///
/// Dropping it is how a request is cancelled: endpoints stop work whose connection has closed.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    address: SocketAddr,
    opened: Instant,
    keep: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Every failure is [`HttpErrorKind::NotSent`].
    pub async fn open(address: SocketAddr, wait: Duration) -> Result<Self, HttpError> {
        let not_sent = |detail: String| HttpError::new(HttpErrorKind::NotSent, detail);
        let stream = timeout(wait, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent(format!("no connection to {address} in time")))?
            .map_err(|error| not_sent(format!("no connection to {address}: {error}")))?;
        set_options(&stream).map_err(|error| not_sent(format!("socket options: {error}")))?;
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The request under way is told of the failure, and without one nobody needs it.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            address,
            opened: Instant::now(),
            keep: DEFAULT_KEEP,
        })
    }

    /// Returns the address that it was opened to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns for how long it has been open.
    pub fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Takes over how long the endpoint says it keeps the connection when it is idle.
    pub fn set_keep(&mut self, keep: Duration) {
        self.keep = keep.mul_f64(KEEP_SHARE);
    }

    /// Waits until the next request can be sent after an answer was read to its end, and returns whether it can.
    pub async fn ready(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }

    /// Sends a request, whose URI is a path and a query, and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`HttpErrorKind::NotSent`] only where no byte of the request has left.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, HttpError> {
        let request = request.map(Full::new);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failure) => match failure.take_message() {
                Some(_) => Err(HttpError::new(
                    HttpErrorKind::NotSent,
                    "the kept connection had closed",
                )),
                None => Err(HttpError::after_send(failure.error())),
            },
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// As [`Connection::send`]; [`HttpErrorKind::Timeout`] after `wait`, and
    /// [`HttpErrorKind::TooLarge`] above `limit_bytes`.
    pub async fn fetch(
        &mut self,
        request: Request<Bytes>,
        wait: Duration,
        limit_bytes: wisteriahitch_types::ByteCount,
    ) -> Result<Response<Bytes>, HttpError> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = crate::http_client::read_body(body, limit_bytes).await?;
            Ok(Response::from_parts(head, body))
        };
        match timeout(wait, whole).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::new(
                HttpErrorKind::Timeout,
                "no whole answer in time",
            )),
        }
    }
}

/// A connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Keeps idle connections by the key of the peer that they were opened to.
#[derive(Debug)]
pub struct ConnectionPool<K> {
    idle: Mutex<HashMap<K, Vec<Idle>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self {
            idle: Mutex::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> ConnectionPool<K> {
    /// Takes the connection that was used last, if one is open that was idle for at most `max_idle`.
    pub async fn take(&self, peer: &K, max_idle: Duration) -> Option<Connection> {
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
        let kept = idle.get_mut(peer)?;
        while let Some(candidate) = kept.pop() {
            let age = candidate.since.elapsed();
            if age <= max_idle.min(candidate.connection.keep) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, peer: &K, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let kept = idle.entry(peer.clone()).or_default();
        if kept.len() >= MAX_IDLE_PER_PEER {
            kept.remove(0);
        }
        kept.push(Idle {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes the idle connections of a peer that is gone.
    pub fn forget(&self, peer: &K) {
        self.idle.lock().remove(peer);
    }

    /// Closes connections that were idle for too long, and returns how many are left.
    pub fn sweep(&self) -> usize {
        let mut idle = self.idle.lock();
        idle.retain(|_, kept| {
            kept.retain(|candidate| {
                let is_young = candidate.since.elapsed() <= candidate.connection.keep;
                is_young && !candidate.connection.sender.is_closed()
            });
            !kept.is_empty()
        });
        idle.values().map(Vec::len).sum()
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNCONFIRMED_TIMEOUT))
}
