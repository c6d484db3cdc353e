//! A TCP stream that a connection shares with the task that drives it.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP stream that closes when its last clone is dropped.
#[derive(Clone, Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>);

/// Handle of a stream that doesn't keep it open.
#[derive(Clone, Debug)]
pub(crate) struct StreamHandle(Weak<TcpStream>);

impl StreamHandle {
    /// Returns the stream, unless it is closed.
    pub(crate) fn upgrade(&self) -> Option<SharedStream> {
        self.0.upgrade().map(SharedStream)
    }

    /// Returns whether the stream is closed, or was reset since an operation last reported an error.
    pub(crate) fn is_broken(&self) -> bool {
        let error = self.0.upgrade().map(|stream| stream.take_error());
        !matches!(error, Some(Ok(None)))
    }

    /// Makes the stream close with a reset, which also discards all bytes that the peer has not
    /// acknowledged.
    pub(crate) fn reset_on_close(&self) {
        if let Some(stream) = self.0.upgrade() {
            // The only failure would be that of a socket that is already disconnected.
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Returns a handle of the stream.
    pub(crate) fn handle(&self) -> StreamHandle {
        StreamHandle(Arc::downgrade(&self.0))
    }

    /// Runs `operation` until it doesn't fail for lack of readiness.
    fn poll_io<T>(
        context: &mut Context<'_>,
        poll_ready: impl Fn(&mut Context<'_>) -> Poll<io::Result<()>>,
        mut operation: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(poll_ready(context))?;
            match operation() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0;
        let is_ready = |context: &mut Context<'_>| stream.poll_read_ready(context);
        let read = Self::poll_io(context, is_ready, || stream.try_read_buf(buffer));
        read.map_ok(|_| ())
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        let is_ready = |context: &mut Context<'_>| stream.poll_write_ready(context);
        Self::poll_io(context, is_ready, || stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        let is_ready = |context: &mut Context<'_>| stream.poll_write_ready(context);
        Self::poll_io(context, is_ready, || stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = SockRef::from(&*self.0).shutdown(Shutdown::Write);
        match shutdown {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}
