//! HTTP server: accepts connections and serves requests on them.

use std::convert::Infallible;
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::Context;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;

use super::answer_body::AnswerBody;
use super::shared::Shared;

/// Length of the accept queue. The kernel's usual 128 overflow when many callers reconnect at once;
/// the SYN packets of the others are then lost and sent again after a second.
const LISTEN_BACKLOG: u32 = 2_048;

/// Pause after a failed accept, for example when no descriptors are left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum size of the header buffer that the HTTP library accepts.
const MIN_HEADER_BYTES: usize = 8_192;

/// Time for which idle connections stay open after the drain has started, for requests that are on
/// their way.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which a caller may take nothing of its answer. Until it is cut off, the answer keeps its
/// buffers and a connection of its endpoint.
const MAX_WRITE_STALL: Duration = Duration::from_secs(10);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum size of a request's head, in bytes.
    pub(crate) header_bytes: usize,
    /// Maximum wait for the head of a request.
    pub(crate) idle_timeout: Duration,
}

/// Handles requests; failures are returned as answers as well.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Whether an answer may switch the connection to another protocol. Such connections are never
    /// closed during the shutdown.
    const SWITCHES_PROTOCOLS: bool = false;

    /// Handles one request, which arrived from the address `from`.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Called when the first request arrives on a connection. The result is dropped when the connection
    /// ends.
    fn connection_permit(&self) -> Option<ConnectionPermit> {
        None
    }

    /// Returns the limits for new connections.
    fn limits(&self) -> ConnectionLimits;
}

/// Counts a connection on which calls have arrived until it is dropped.
pub(crate) struct ConnectionPermit(Arc<Shared>);

impl ConnectionPermit {
    pub(super) fn new(shared: &Arc<Shared>) -> Self {
        shared.drain.record_connection_use();
        Self(Arc::clone(shared))
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.drain.record_connection_end();
    }
}

/// Listens on an address; `side` names the server in error messages.
pub(crate) fn bind(address: SocketAddr, side: &str) -> anyhow::Result<TcpListener> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().with_context(|| format!("{side} can't listen on {address}"))
}

/// Accepts connections until the process ends. Once `leaving` is cancelled, idle ones are closed.
pub(crate) async fn serve<A: RequestHandler>(
    listener: TcpListener,
    handler: Arc<A>,
    leaving: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let handler = Arc::clone(&handler);
                tokio::spawn(serve_connection(stream, from, handler, leaving.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

async fn serve_connection<A: RequestHandler>(
    stream: TcpStream,
    from: SocketAddr,
    handler: Arc<A>,
    leaving: CancellationToken,
) {
    // With Nagle's algorithm, small answers would wait for the acknowledgement of the one before. A
    // failure here only costs latency.
    let _ = stream.set_nodelay(true);
    let limits = handler.limits();
    let permit = OnceLock::new();
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        permit.get_or_init(|| handler.connection_permit());
        async move { Ok::<_, Infallible>(handler.handle(request, from).await) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .auto_date_header(false);
    // Errors of the connection are ignored: its calls write log lines of their own.
    if A::SWITCHES_PROTOCOLS {
        // What takes the connection over needs the stream itself.
        let connection = http.serve_connection(TokioIo::new(stream), service);
        let _ = connection.with_upgrades().await;
        return;
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(MAX_WRITE_STALL));
    let mut connection = http.serve_connection(TokioIo::new(Box::pin(stream)), service);
    let idle_close = async {
        leaving.cancelled().await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    };
    let served = tokio::select! {
        served = &mut connection => served,
        () = idle_close => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if served.is_err_and(|error| is_answer_truncated(&error)) {
        let stream = connection.into_parts().io.into_inner();
        // If the option can't be set, the socket is disconnected already.
        let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
    }
}

/// Returns whether a connection ended before the end of an answer. It is reset then: a caller of HTTP/1.0
/// reads up to the end of the connection, and would take a truncated answer for a complete one.
fn is_answer_truncated(error: &hyper::Error) -> bool {
    let is_write_stalled = || {
        let cause = error.source().and_then(|cause| cause.downcast_ref());
        cause.is_some_and(|cause: &io::Error| cause.kind() == io::ErrorKind::TimedOut)
    };
    error.is_user() || is_write_stalled()
}
