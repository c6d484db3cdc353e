//! Bounds on the bytes of an answer that are no part of its body.
//!
//! A server in trouble may send bytes without end that are no answer: a head that never ends, heads that
//! announce another one, a chunk header or a trailer without end. The HTTP library discards some of them
//! without a bound. The connection would be read until the deadline of its request, and each such
//! server would keep a connection, a buffer and processor time for as long.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

/// Maximum number of bytes of an answer that a connection buffers, and so of its head.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of bytes that are read before the head of an answer is complete, with those of
/// heads that only announce another one.
const MAX_HEAD_BYTES: u64 = MAX_BUFFER_BYTES as u64;

/// Time from the first byte of a head after which it may not still be arriving. It covers a few lost
/// packets.
pub(crate) const MAX_HEAD_TIME: Duration = Duration::from_millis(2_000);

/// Bytes beyond the body that are always allowed: what the library has read ahead, and the
/// framing of a short body.
const MAX_OVERHEAD_BYTES: u64 = 256 * 1024;

/// Bytes beyond the body that are allowed for each of its bytes. The smallest chunk takes five bytes
/// to transfer one.
const OVERHEAD_PER_BODY_BYTE: u64 = 8;

/// Why a connection isn't read any further.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum EndlessAnswer {
    /// The head of the answer is too large.
    #[error("the answer has no head within {MAX_HEAD_BYTES} bytes")]
    Head,
    /// The bytes around the body are too many.
    #[error("the answer has far more bytes than its body")]
    Body,
    /// Bytes arrive that no request asked for.
    #[error("bytes arrive without a request")]
    Unrequested,
    /// The head of the answer takes too long.
    #[error(
        "the head of the answer is incomplete {MAX_HEAD_TIME:?} after its first byte, and goes on"
    )]
    SlowHead,
}

/// Part of an exchange that a connection is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Head,
    Body,
    /// The connection has switched to another protocol.
    Switched,
}

impl Phase {
    const fn to_u64(self) -> u64 {
        match self {
            Phase::Idle => 0,
            Phase::Head => 1,
            Phase::Body => 2,
            Phase::Switched => 3,
        }
    }

    const fn from_u64(value: u64) -> Self {
        match value {
            1 => Phase::Head,
            2 => Phase::Body,
            3 => Phase::Switched,
            _ => Phase::Idle,
        }
    }
}

/// Counts the bytes of the answer that a connection is receiving.
#[derive(Debug, Default)]
pub(crate) struct AnswerMeter {
    phase: AtomicU64,
    /// Bytes read from the connection in this phase.
    read_bytes: AtomicU64,
    /// Bytes of the body that were handed on.
    body_bytes: AtomicU64,
    /// Notified when the first bytes of a head arrive.
    head_begun: Notify,
}

impl AnswerMeter {
    /// Records that a request is about to be sent.
    pub(crate) fn begin(&self) {
        self.enter(Phase::Head);
    }

    /// Records that the head of the answer is complete.
    pub(crate) fn record_head(&self) {
        self.enter(Phase::Body);
    }

    /// Records that the connection has switched to another protocol, which has no answers.
    pub(crate) fn record_switch(&self) {
        self.enter(Phase::Switched);
    }

    /// Records that the answer has ended.
    pub(crate) fn finish(&self) {
        self.enter(Phase::Idle);
    }

    /// Records that bytes of the body were handed on.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.body_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Waits until the head of the answer has been arriving for [`MAX_HEAD_TIME`].
    ///
    /// A pause of that length begins the time anew: a server may announce the head, and take its time.
    pub(crate) async fn wait_for_slow_head(&self) -> EndlessAnswer {
        loop {
            // What is left of an earlier request may wake this too early.
            while !self.is_head_begun() {
                self.head_begun.notified().await;
            }
            sleep(MAX_HEAD_TIME / 2).await;
            let read_before = self.read_bytes.load(Ordering::Relaxed);
            sleep(MAX_HEAD_TIME / 2).await;
            if self.read_bytes.load(Ordering::Relaxed) > read_before {
                return EndlessAnswer::SlowHead;
            }
        }
    }

    fn is_head_begun(&self) -> bool {
        self.phase() == Phase::Head && self.read_bytes.load(Ordering::Relaxed) > 0
    }

    /// Records that bytes were read from the connection.
    ///
    /// # Errors
    ///
    /// Fails if the bytes that are no body exceed their bound.
    pub(crate) fn record_read(&self, bytes: usize) -> Result<(), EndlessAnswer> {
        let bytes = bytes as u64;
        let read = self.read_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let body = self.body_bytes.load(Ordering::Relaxed);
        if read == bytes {
            self.head_begun.notify_one();
        }
        let (max, excess) = match self.phase() {
            // A pool may send the next request before the end of an answer is recorded.
            Phase::Idle => (
                MAX_HEAD_BYTES + MAX_OVERHEAD_BYTES,
                EndlessAnswer::Unrequested,
            ),
            // The beginning of the body may arrive together with the head.
            Phase::Head => (MAX_HEAD_BYTES + MAX_OVERHEAD_BYTES, EndlessAnswer::Head),
            Phase::Switched => return Ok(()),
            Phase::Body => {
                let overhead = body.saturating_mul(OVERHEAD_PER_BODY_BYTE);
                let max = MAX_OVERHEAD_BYTES.saturating_add(body);
                (max.saturating_add(overhead), EndlessAnswer::Body)
            }
        };
        match read <= max {
            true => Ok(()),
            false => Err(excess),
        }
    }

    fn phase(&self) -> Phase {
        Phase::from_u64(self.phase.load(Ordering::Relaxed))
    }

    fn enter(&self, phase: Phase) {
        self.phase.store(phase.to_u64(), Ordering::Relaxed);
        self.read_bytes.store(0, Ordering::Relaxed);
        self.body_bytes.store(0, Ordering::Relaxed);
    }
}
