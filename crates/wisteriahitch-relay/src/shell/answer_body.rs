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
pub(crate) struct BrokenOff;

/// Bytes of a stream as they come.
pub(crate) type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>> + Send>>;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it is here; taken when it was sent.
    Whole(Option<Bytes>),
    /// It comes in pieces.
    Stream(Pieces),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        AnswerBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            AnswerBody::Stream(pieces) => {
                let piece = pieces.as_mut().poll_next(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
