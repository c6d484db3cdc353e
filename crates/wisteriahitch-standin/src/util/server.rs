//! Minimal HTTP/1.1 server on a loopback address.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::Answer;

/// Interval between attempts to bind an address that is still in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// Makes the server close the connection without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in closes the connection without an answer")
    }
}

impl std::error::Error for Abort {}

impl From<Infallible> for Abort {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Answers the requests of one server.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers a request, or returns [`Abort`] to close its connection.
    ///
    /// The future is dropped when the caller closes the connection.
    async fn handle(&self, request: Request<Incoming>) -> Result<Answer, Abort>;
}

/// Opens and closes the listener of a server.
///
/// Closing it also closes existing connections; new ones are refused until it is opened again.
#[derive(Clone, Debug)]
pub struct ListenerGate {
    requested_open: watch::Sender<bool>,
    applied_open: watch::Sender<bool>,
}

impl ListenerGate {
    /// Builds an open gate.
    pub fn new() -> Self {
        Self {
            requested_open: watch::Sender::new(true),
            applied_open: watch::Sender::new(true),
        }
    }

    /// Opens or closes the listener, and returns once the server has done so.
    ///
    /// Without the wait a test's next call could still reach the server and sometimes fail with
    /// another kind of error.
    pub async fn set_open(&self, is_open: bool) {
        self.requested_open.send_replace(is_open);
        wait_until(&self.applied_open, is_open).await;
    }
}

impl Default for ListenerGate {
    fn default() -> Self {
        Self::new()
    }
}

async fn wait_until(state: &watch::Sender<bool>, expected: bool) {
    let mut receiver = state.subscribe();
    // `state` outlives the receiver, so the wait can't fail.
    let _ = receiver.wait_for(|current| *current == expected).await;
}

/// Serves one address until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve `listen`, which must be a loopback address.
    pub async fn start(
        listen: SocketAddr,
        handler: Arc<dyn Handler>,
        gate: ListenerGate,
    ) -> io::Result<Self> {
        if !listen.ip().is_loopback() {
            let message = "a stand-in listens on loopback addresses only";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, address, handler, gate));
        Ok(Self { address, task })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut listener: TcpListener,
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    gate: ListenerGate,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = wait_until(&gate.requested_open, false) => {
                drop(listener);
                connections.shutdown().await;
                gate.applied_open.send_replace(false);
                wait_until(&gate.requested_open, true).await;
                listener = rebind(address).await;
                gate.applied_open.send_replace(true);
            }
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    // With Nagle's algorithm, an answer sent in two parts waits for the client's delayed ACK.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    // Errors mean that either side closed the connection, which the stand-ins do on purpose.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads a request's body, or returns [`Abort`] if it fails or is larger than `limit_bytes`.
pub async fn read_whole(body: Incoming, limit_bytes: usize) -> Result<Bytes, Abort> {
    let whole = Limited::new(body, limit_bytes).collect().await;
    whole.map(|body| body.to_bytes()).map_err(|_| Abort)
}

/// Reads a request's body as JSON, or returns the parse error.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    limit_bytes: usize,
) -> Result<Result<T, serde_json::Error>, Abort> {
    let whole = read_whole(body, limit_bytes).await?;
    Ok(serde_json::from_slice(&whole))
}
