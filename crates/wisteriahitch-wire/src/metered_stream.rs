//! A stream that is read only as far as the bounds on an answer allow, and written only while the
//! request may be sent.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::answer_state::AnswerState;

/// Stream whose bytes count towards the answer that its connection is receiving, and which writes only
/// while its connection allows it.
#[derive(Debug)]
pub(crate) struct MeteredStream<T> {
    stream: T,
    state: AnswerState,
}

impl<T> MeteredStream<T> {
    pub(crate) fn new(stream: T, state: AnswerState) -> Self {
        Self { stream, state }
    }

    /// Returns the stream below.
    pub(crate) fn get_ref(&self) -> &T {
        &self.stream
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled_before;
        let counted = self.state.meter().record_read(read);
        Poll::Ready(counted.map_err(|excess| io::Error::new(io::ErrorKind::InvalidData, excess)))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.check_write()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.state.record_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.check_write()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.state.record_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.state.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
