//! Closes connections whose client stops reading.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Wraps a connection and fails a write that makes no progress for too long.
///
/// A client that stops reading would occupy the answer, its buffers and perhaps a batch slot of an
/// endpoint indefinitely, visible as connections with full send buffers. Failing the write closes
/// the connection, which frees all of these without delaying any other connection.
#[derive(Debug)]
pub(crate) struct StallGuard<S> {
    inner: S,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    is_stalled: bool,
}

impl<S> StallGuard<S> {
    /// Wraps `inner`; a write may stall for at most `limit`.
    pub(crate) fn new(inner: S, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: Box::pin(sleep(limit)),
            is_stalled: false,
        }
    }

    fn check<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.is_stalled = false;
            return progress;
        }
        if !self.is_stalled {
            self.is_stalled = true;
            let deadline = Instant::now() + self.limit;
            self.timer.as_mut().reset(deadline);
        }
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check(cx, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.inner).poll_flush(cx);
        self.check(cx, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
