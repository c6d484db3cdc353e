//! Closes connections that send the head of a request too slowly.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Shared between a connection's service and its [`HeadGuard`]: whether a request is being
/// answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestProgress(Arc<RequestState>);

#[derive(Debug, Default)]
struct RequestState {
    is_answering: AtomicBool,
    completed_heads: AtomicU64,
}

impl RequestProgress {
    /// Records that a complete head has arrived.
    pub(crate) fn begin(&self) {
        self.0.completed_heads.fetch_add(1, Ordering::Release);
        self.0.is_answering.store(true, Ordering::Release);
    }

    /// Records that the answer is done, so that the next bytes begin a new head.
    pub(crate) fn end(&self) {
        self.0.is_answering.store(false, Ordering::Release);
    }

    fn is_answering_request(&self) -> bool {
        self.0.is_answering.load(Ordering::Acquire)
    }

    fn completed_heads(&self) -> u64 {
        self.0.completed_heads.load(Ordering::Acquire)
    }
}

/// Wraps a connection and fails a read when a request head isn't complete in time.
///
/// The HTTP library has a single timeout for idle connections and slow heads. With the short
/// timeout that suits a head, callers would constantly lose their keep-alive connections; with the
/// long one that suits an idle connection, a sender of one byte a second would occupy a connection
/// for as long. This guard tells the two apart by the first byte.
#[derive(Debug)]
pub(crate) struct HeadGuard<S> {
    inner: S,
    limit: Duration,
    progress: RequestProgress,
    timer: Pin<Box<Sleep>>,
    is_reading_head: bool,
    completed_heads: u64,
}

impl<S> HeadGuard<S> {
    /// Wraps `inner`; a head must be complete `limit` after its first byte.
    pub(crate) fn new(inner: S, limit: Duration, progress: RequestProgress) -> Self {
        Self {
            inner,
            limit,
            progress,
            timer: Box::pin(sleep(limit)),
            is_reading_head: false,
            completed_heads: 0,
        }
    }

    /// Stops the head timer once the head is complete.
    ///
    /// A request that is answered immediately begins and ends between two reads, so
    /// [`RequestProgress`] alone doesn't show it. The timer would run on and close the keep-alive
    /// connection, perhaps with the next request in transit.
    fn update_completed_heads(&mut self) {
        let completed_heads = self.progress.completed_heads();
        if completed_heads != self.completed_heads {
            self.completed_heads = completed_heads;
            self.is_reading_head = false;
        }
    }

    fn begin(&mut self) {
        if !self.is_reading_head {
            self.is_reading_head = true;
            let deadline = Instant::now() + self.limit;
            self.timer.as_mut().reset(deadline);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.update_completed_heads();
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.progress.is_answering_request() {
            self.is_reading_head = false;
            return read;
        }
        if read.is_ready() {
            if buf.filled().len() > filled {
                self.begin();
            }
            return read;
        }
        if self.is_reading_head && self.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
