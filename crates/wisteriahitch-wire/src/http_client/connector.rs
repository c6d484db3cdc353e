//! Opens the connections of an HTTP client.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::answer_state::AnswerState;
use crate::metered_stream::MeteredStream;

/// Opens TCP connections that are reset if they are dropped while an answer is pending.
#[derive(Clone, Debug)]
pub(super) struct Connector {
    http: HttpConnector,
}

impl Connector {
    pub(super) fn new(http: HttpConnector) -> Self {
        Self { http }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<TrackedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.http.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let state = AnswerState::default();
            Ok(TokioIo::new(TrackedStream {
                stream: MeteredStream::new(stream, state.clone()),
                state,
            }))
        })
    }
}

/// TCP stream whose answer is pending from the first byte of a request to the end of the answer.
#[derive(Debug)]
pub(super) struct TrackedStream {
    stream: MeteredStream<TcpStream>,
    state: AnswerState,
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if self.state.is_pending() {
            // The only failure would be that of a socket that is already disconnected.
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection for TrackedStream {
    fn connected(&self) -> Connected {
        self.stream.get_ref().connected().extra(self.state.clone())
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.begin();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.begin();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
