//! Accepting connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

use super::answer_body::AnswerBody;

/// Connections that wait to be accepted. The kernel's usual 128 overflow when many callers come
/// back at once; the opening packet of the others is then lost and sent again after a second.
const LISTEN_BACKLOG: u32 = 2_048;

/// How long the listener rests after an accept fails, such as for want of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Smallest header buffer that the HTTP library takes.
const MIN_HEADER_BYTES: usize = 8_192;

/// How long an idle connection stays open after the daemon began to leave, for a request that is
/// on its way.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Size of a request's head.
    pub(crate) header_bytes: usize,
    /// Time for which a connection may wait for the head of a request.
    pub(crate) idle_timeout: Duration,
}

/// Answers requests; every failure is an answer too.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Returns the bounds that hold for connections now.
    fn limits(&self) -> ConnectionLimits;
}

/// Listens on an address.
pub(crate) fn bind(address: SocketAddr, side: &str) -> anyhow::Result<TcpListener> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().with_context(|| format!("{side} can't listen on {address}"))
}

/// Serves connections until the process ends; once `leaving` is cancelled, idle ones are closed.
pub(crate) async fn serve<A: RequestHandler>(
    listener: TcpListener,
    handler: Arc<A>,
    leaving: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = Arc::clone(&handler);
                tokio::spawn(serve_connection(stream, handler, leaving.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

async fn serve_connection<A: RequestHandler>(
    stream: TcpStream,
    handler: Arc<A>,
    leaving: CancellationToken,
) {
    // Without it answers wait for the confirmation of the one before; a failure only costs time.
    let _ = stream.set_nodelay(true);
    let limits = handler.limits();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let idle_close = async {
        leaving.cancelled().await;
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
    };
    // How a connection ends is the affair of its calls, which have their own lines in the log.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = idle_close => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
