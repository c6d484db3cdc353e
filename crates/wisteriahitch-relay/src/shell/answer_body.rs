//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// Error that aborts an answer by closing the caller's connection.
///
/// An answer that can't be finished must not look complete, so the connection is closed without the
/// end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was aborted because it can't be completed")]
pub(crate) struct AnswerAborted;

/// Chunks of a body, in the order in which they arrive.
pub(crate) type AnswerChunks = Pin<Box<dyn Stream<Item = Result<Bytes, AnswerAborted>> + Send>>;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// A complete body; `None` once it has been sent, or if it is empty.
    Full(Option<Bytes>),
    /// A body that is passed on as it arrives.
    Stream(AnswerChunks),
}

impl AnswerBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        AnswerBody::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match &mut *self {
            AnswerBody::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Stream(chunks) => {
                let chunk = chunks.as_mut().poll_next(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
