//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// Ends a caller's connection in the middle of an answer.
///
/// An answer that can't be finished must not look complete: the connection is closed without the
/// mark of its end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer can't be finished")]
pub(crate) struct AnswerAborted;

/// Bytes of a stream as they come.
pub(crate) type AnswerChunks = Pin<Box<dyn Stream<Item = Result<Bytes, AnswerAborted>> + Send>>;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it is here; taken when it was sent.
    Full(Option<Bytes>),
    /// It comes in pieces.
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
