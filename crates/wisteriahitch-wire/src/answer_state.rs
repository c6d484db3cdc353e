//! Whether a connection still owes an answer.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::answer_meter::AnswerMeter;

/// Whether the answer to the last request of a connection is still to be read.
///
/// Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerState {
    state: Arc<PendingAnswer>,
}

/// Condition under which a connection may write.
type WriteCondition = Box<dyn Fn() -> bool + Send + Sync>;

/// Error of a write whose condition no longer holds.
#[derive(Debug, thiserror::Error)]
#[error("the request may no longer be sent")]
struct WriteRefused;

#[derive(Default)]
struct PendingAnswer {
    is_pending: AtomicBool,
    /// Number of the newest answer whose head is complete.
    newest_answer: AtomicU64,
    /// Bytes of the request that the system has taken.
    written_bytes: AtomicU64,
    write_condition: OnceLock<WriteCondition>,
    /// Size of the request's body.
    request_body_bytes: AtomicU64,
    /// Whether the system has taken the whole request.
    is_request_taken: AtomicBool,
    /// Whether the answer ends with its connection.
    ends_with_connection: AtomicBool,
    meter: AnswerMeter,
}

impl fmt::Debug for PendingAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PendingAnswer")
            .field("is_pending", &self.is_pending)
            .field("written_bytes", &self.written_bytes)
            .finish_non_exhaustive()
    }
}

impl AnswerState {
    /// Records that a request is about to be sent, and returns the state for its answer.
    pub(crate) fn begin(&self) -> Self {
        if !self.state.is_pending.swap(true, Ordering::AcqRel) {
            self.state.meter.begin();
            self.state.written_bytes.store(0, Ordering::Release);
            self.state.is_request_taken.store(false, Ordering::Release);
        }
        self.clone()
    }

    /// Sets the condition under which the connection may write, if none was set before.
    pub(crate) fn write_only_while(&self, condition: WriteCondition) {
        let _ = self.state.write_condition.set(condition);
    }

    /// Checks the condition under which the connection may write.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] if it no longer holds.
    pub(crate) fn check_write(&self) -> io::Result<()> {
        let condition = self.state.write_condition.get();
        match condition.is_none_or(|is_allowed| is_allowed()) {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::TimedOut, WriteRefused)),
        }
    }

    /// Sets the size of the body of the request that is about to be sent.
    pub(crate) fn set_request_body(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let state = &self.state;
        state.request_body_bytes.store(bytes, Ordering::Release);
    }

    /// Records that the system has taken all bytes that were handed to the connection. The library
    /// hands over the body at once.
    pub(crate) fn record_flushed(&self) {
        let body_bytes = self.state.request_body_bytes.load(Ordering::Acquire);
        if self.state.written_bytes.load(Ordering::Acquire) > body_bytes {
            self.state.is_request_taken.store(true, Ordering::Release);
        }
    }

    /// Returns whether the system has taken the whole request.
    pub(crate) fn is_request_taken(&self) -> bool {
        self.state.is_request_taken.load(Ordering::Acquire)
    }

    /// Records that the answer ends with its connection.
    pub(crate) fn record_end_with_connection(&self) {
        let state = &self.state;
        state.ends_with_connection.store(true, Ordering::Release);
    }

    /// Returns whether the answer ends with its connection.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.state.ends_with_connection.load(Ordering::Acquire)
    }

    /// Records that the system has taken bytes to be sent.
    pub(crate) fn record_written(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.state.written_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Returns whether the system has taken a byte of the last request.
    pub(crate) fn is_written(&self) -> bool {
        self.state.written_bytes.load(Ordering::Acquire) > 0
    }

    /// Records that the answer was read to its end, or that nothing was sent.
    pub(crate) fn finish(&self) {
        self.state.meter.finish();
        self.state.is_pending.store(false, Ordering::Release);
    }

    /// Records that the head of an answer is complete, and returns the number of that answer.
    fn record_head(&self) -> u64 {
        self.state.meter.record_head();
        self.state.newest_answer.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Records that an answer was read to its end.
    ///
    /// A pool may hand its connection on before the end of the body is read. Such an end says nothing
    /// about the answer that follows.
    fn finish_answer(&self, number: u64) {
        if self.state.newest_answer.load(Ordering::Acquire) == number {
            self.finish();
        }
    }

    /// Returns the count of the answer's bytes.
    pub(crate) fn meter(&self) -> &AnswerMeter {
        &self.state.meter
    }

    /// Returns whether a request was sent whose answer has not been read to its end.
    pub(crate) fn is_pending(&self) -> bool {
        self.state.is_pending.load(Ordering::Acquire)
    }
}

/// Body of an answer. Its connection learns from it that the answer was read to its end.
#[derive(Debug)]
pub struct TrackedBody {
    body: Incoming,
    state: AnswerState,
    /// Number of the answer on its connection.
    number: u64,
    has_ended: bool,
}

impl TrackedBody {
    /// Wraps the body of the answer that `state` is pending for.
    pub(crate) fn new(body: Incoming, state: AnswerState) -> Self {
        let number = state.record_head();
        let mut tracked = Self {
            body,
            state,
            number,
            has_ended: false,
        };
        tracked.finish_if(tracked.body.is_end_stream());
        tracked
    }

    fn finish_if(&mut self, is_end: bool) {
        if is_end && !std::mem::replace(&mut self.has_ended, true) {
            self.state.finish_answer(self.number);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let data = frame
            .as_ref()
            .and_then(|frame| frame.as_ref().ok()?.data_ref());
        self.state.meter().record_body(data.map_or(0, Bytes::len));
        let is_end = frame.is_none() || self.body.is_end_stream();
        self.finish_if(is_end);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
