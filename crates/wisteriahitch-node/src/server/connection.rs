//! Accepts connections and serves HTTP requests on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use wisteriahitch_types::ByteCount;

use super::head_guard::{HeadGuard, RequestProgress};
use super::numbered_refusal::NumberedRefusal;
use super::stall_guard::StallGuard;
use crate::caller::body::ResponseBody;

/// Backoff after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Time for which an idle connection stays open after the stop, for a request that is already in
/// transit.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);

/// Minimum size of the header buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: u64 = 8_192;

/// Limits of a listener and of each of its connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of open connections; further ones wait in the kernel's accept queue.
    pub(crate) connections: usize,
    /// Maximum size of a request's head.
    pub(crate) header_bytes: ByteCount,
    /// Maximum time from the first byte of a request's head to its last.
    pub(crate) header_timeout: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub(crate) idle_timeout: Duration,
    /// Maximum time for which a client may read nothing of a response.
    pub(crate) reader_stall: Duration,
}

/// Answers requests. Errors are answered with a response too.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody>;
}

/// Serves connections until `stop` is cancelled, then lets each finish its current request.
pub(crate) async fn serve(
    listener: TcpListener,
    limits: ConnectionLimits,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let Ok(permit) = permit else { break };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let handler = Arc::clone(&handler);
                let connection = serve_connection(stream, peer, limits, handler, stop.clone());
                tokio::spawn(run_with_permit(permit, connection));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_BACKOFF).await;
            }
        }
    }
    accept_backlog(&listener, &permits, limits, &handler, &stop);
    drop(listener);
    wait_for_connections(&permits, limits.connections).await;
}

/// Accepts the connections that are already open in the kernel's queue.
///
/// Closing the listener would reset them, along with the requests that callers have already sent.
fn accept_backlog(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    limits: ConnectionLimits,
    handler: &Arc<dyn Handler>,
    stop: &CancellationToken,
) {
    while let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
        let Some(Ok((stream, peer))) = listener.accept().now_or_never() else {
            return;
        };
        let handler = Arc::clone(handler);
        let connection = serve_connection(stream, peer, limits, handler, stop.clone());
        tokio::spawn(run_with_permit(permit, connection));
    }
}

async fn run_with_permit(permit: OwnedSemaphorePermit, connection: impl Future<Output = ()>) {
    connection.await;
    drop(permit);
}

async fn wait_for_connections(permits: &Semaphore, connections: usize) {
    let all = u32::try_from(connections).unwrap_or(u32::MAX);
    let _all_ended = permits.acquire_many(all).await;
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ConnectionLimits,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no-delay for {peer} failed: {error}");
    }
    let progress = RequestProgress::default();
    let guarded = StallGuard::new(stream, limits.reader_stall);
    let guarded = HeadGuard::new(guarded, limits.header_timeout, progress.clone());
    let io = TokioIo::new(NumberedRefusal::new(guarded));
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let progress = progress.clone();
        async move {
            progress.begin();
            let response = handler.handle(request).await;
            progress.end();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.get().max(MIN_HEADER_BYTES) as usize)
        .serve_connection(io, service);
    tokio::pin!(connection);
    let stopped = async {
        stop.cancelled().await;
        tokio::time::sleep(SHUTDOWN_GRACE).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection from {peer} ended: {error}");
    }
}
