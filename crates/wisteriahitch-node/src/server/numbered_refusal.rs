//! Adds numbered codes to the errors that the HTTP library sends by itself.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use wisteriahitch_types::{Code, DurationUs};

/// Start of the library's response to a malformed head.
const BAD_REQUEST_PREFIX: &[u8] = b"HTTP/1.1 400 Bad Request\r\n";
/// Start of the library's response to a head that is too large.
const LARGE_HEAD_PREFIX: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n";
/// Start of the library's response to a request target above the library's own limit, which applies
/// even if the settings allow a longer head.
const LONG_TARGET_PREFIX: &[u8] = b"HTTP/1.1 414 URI Too Long\r\n";
/// Header that every response of the daemon has and no response of the library.
const DAEMON_HEADER: &[u8] = b"x-request-id";
/// Header with which the library announces that it closes the connection.
const CLOSE_HEADER: &[u8] = b"connection: close";

/// Retry time of a refused head: the caller may retry at once with a corrected one.
const BAD_HEAD_RETRY_AFTER_US: DurationUs = DurationUs::ZERO;

/// Wraps a connection and replaces the library's bare error responses by numbered refusals.
///
/// The library answers a malformed head with only a status, before any handler runs, so the
/// caller's developer would see neither code nor meaning. It has no hook for this. Its response is
/// recognised while it is written, as the only one without the daemon's own header.
#[derive(Debug)]
pub(crate) struct NumberedRefusal<S> {
    inner: S,
    pending: Vec<u8>,
    replaced_bytes: usize,
}

impl<S> NumberedRefusal<S> {
    /// Wraps `inner`.
    pub(crate) fn new(inner: S) -> Self {
        Self {
            inner,
            pending: Vec::new(),
            replaced_bytes: 0,
        }
    }
}

fn find_code(bytes: &[u8]) -> Option<Code> {
    let code = match bytes {
        bytes if bytes.starts_with(BAD_REQUEST_PREFIX) => Code::BadHttp,
        bytes if bytes.starts_with(LARGE_HEAD_PREFIX) => Code::HeaderTooLarge,
        bytes if bytes.starts_with(LONG_TARGET_PREFIX) => Code::HeaderTooLarge,
        _ => return None,
    };
    let contains = |header: &[u8]| bytes.windows(header.len()).any(|window| window == header);
    let is_library = contains(CLOSE_HEADER) && !contains(DAEMON_HEADER);
    is_library.then_some(code)
}

fn render(code: Code) -> Vec<u8> {
    let status = match code {
        Code::HeaderTooLarge => "431 Request Header Fields Too Large",
        _ => "400 Bad Request",
    };
    let body = format!(
        "{{\"error\":{{\"code\":\"{code}\",\"name\":\"{}\",\"meaning\":\"not_run\",\
         \"message\":\"{}\",\"retry_after_ms\":{}}}}}",
        code.name(),
        code.summary(),
        BAD_HEAD_RETRY_AFTER_US.as_ms()
    );
    let head = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nx-wisteriahitch-code: {code}\r\n\
         x-wisteriahitch-meaning: not_run\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}

impl<S: AsyncRead + Unpin> AsyncRead for NumberedRefusal<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> NumberedRefusal<S> {
    /// Writes the replacement and, once it is written, reports the library's own bytes as written.
    fn poll_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while !self.pending.is_empty() {
            match Pin::new(&mut self.inner).poll_write(cx, &self.pending) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Poll::Ready(Ok(written)) => drop(self.pending.drain(..written)),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(std::mem::take(&mut self.replaced_bytes)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for NumberedRefusal<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replaced_bytes == 0
            && let Some(code) = find_code(buf)
        {
            self.pending = render(code);
            self.replaced_bytes = buf.len();
        }
        if self.replaced_bytes > 0 {
            return self.poll_pending(cx);
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
