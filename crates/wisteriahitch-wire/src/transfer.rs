//! Receiving the body of an answer for as long as it makes progress.
//!
//! The time until an answer begins says whether the sender is alive. How long its body takes depends on
//! its size and on the link, so a body is limited by its progress: the silence between two of its
//! pieces, and the mean rate. With one timeout for the whole answer, a large one would be given up in
//! the middle on a narrow link, and each further attempt would fill the link again in vain
//! (`docs/design/large-objects.md`).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::ByteCount;

use crate::http_client::{HttpError, HttpErrorKind};

/// Longest silence in the middle of a body. A connection that has failed without notice is found as
/// fast there as before the beginning of an answer.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// Mean rate below which a transfer is given up. A connection that delivers less has as good as
/// failed, and a new one may deliver more.
const MIN_BYTES_PER_S: f64 = 16.0 * 1024.0;

/// Limits on receiving an answer.
#[derive(Clone, Copy, Debug)]
pub struct TransferLimits {
    /// Maximum time until the first byte of the body. A server may send the head of an answer long
    /// before it has anything to answer.
    head: Duration,
    size: ByteCount,
    /// Maximum silence in the middle of the body; `None` if the whole answer must arrive within
    /// `head`.
    silence: Option<Duration>,
}

impl TransferLimits {
    /// Returns the limits on an answer that begins within `head` and goes on arriving.
    pub fn for_body(head: Duration, size: ByteCount) -> Self {
        Self {
            head,
            size,
            silence: Some(MAX_SILENCE),
        }
    }

    /// Returns the limits on a short message, which arrives whole within `total`.
    pub fn for_message(total: Duration, size: ByteCount) -> Self {
        Self {
            head: total,
            size,
            silence: None,
        }
    }

    /// Allows as long a silence as before the head, if that is longer than usual. While a link is
    /// filled by answers to many receivers, each of them pauses for as long as it waited.
    #[must_use]
    pub fn with_silence_of_head(mut self) -> Self {
        self.silence = self.silence.max(Some(self.head));
        self
    }

    /// Returns the maximum time until the head of the answer.
    pub fn head(&self) -> Duration {
        self.head
    }

    /// Returns when an answer to a request of `requested_at` is given up unless more of it arrives
    /// before.
    fn give_up_at(&self, requested_at: Instant, progress: &TransferProgress) -> Instant {
        let (Some(silence), Some(begun_at)) = (self.silence, progress.begun_at()) else {
            return requested_at + self.head;
        };
        let received_bytes = progress.received_bytes() as f64;
        let allowed = Duration::from_secs_f64(received_bytes / MIN_BYTES_PER_S);
        (begun_at + silence + allowed).min(Instant::now() + silence)
    }
}

/// Progress of one transfer, observed by the code that decides whether to wait for it. Clones share the
/// state.
#[derive(Clone, Debug, Default)]
pub struct TransferProgress {
    state: Arc<ProgressState>,
}

#[derive(Debug, Default)]
struct ProgressState {
    is_receiving: AtomicBool,
    received_bytes: AtomicU64,
    /// Size of the whole body; 0 if the head doesn't state it.
    expected_bytes: AtomicU64,
    /// When the first byte of the body arrived.
    begun_at: Mutex<Option<Instant>>,
    begun: Notify,
}

impl TransferProgress {
    /// Returns whether the first byte of the body has arrived, which shows that the connection works.
    pub fn has_begun(&self) -> bool {
        self.begun_at().is_some()
    }

    fn begun_at(&self) -> Option<Instant> {
        *self.state.begun_at.lock()
    }

    /// Waits until the first byte of the body has arrived.
    pub async fn begun(&self) {
        let notified = self.state.begun.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if !self.has_begun() {
            notified.await;
        }
    }

    /// Returns the time since the first byte of the body arrived.
    pub fn elapsed(&self) -> Duration {
        self.begun_at().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Returns whether the body has begun and not ended.
    pub fn is_receiving(&self) -> bool {
        self.has_begun() && self.state.is_receiving.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of the body that have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.state.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of the body that are still to arrive; `None` if the head doesn't
    /// state the size.
    pub fn missing_bytes(&self) -> Option<u64> {
        let expected = self.state.expected_bytes.load(Ordering::Relaxed);
        (expected > 0).then(|| expected.saturating_sub(self.received_bytes()))
    }

    /// Describes how much of the answer has arrived, for the log.
    pub fn summary(&self) -> String {
        let received = self.received_bytes();
        match (self.has_begun(), self.missing_bytes()) {
            (false, _) => "nothing had arrived".to_owned(),
            (true, Some(missing)) => {
                format!("{received} of {} bytes had arrived", received + missing)
            }
            (true, None) => format!("{received} bytes had arrived"),
        }
    }

    fn begin(&self, expected: Option<u64>) -> ReceivingGuard<'_> {
        let state = &self.state;
        let expected = expected.unwrap_or(0);
        state.expected_bytes.store(expected, Ordering::Relaxed);
        state.received_bytes.store(0, Ordering::Relaxed);
        *state.begun_at.lock() = None;
        state.is_receiving.store(true, Ordering::Relaxed);
        ReceivingGuard(self)
    }

    fn add(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let state = &self.state;
        state.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        state.begun_at.lock().get_or_insert_with(Instant::now);
        state.begun.notify_waiters();
    }
}

/// Ends the receiving state, also if the transfer is cancelled.
struct ReceivingGuard<'a>(&'a TransferProgress);

impl Drop for ReceivingGuard<'_> {
    fn drop(&mut self) {
        self.0.state.is_receiving.store(false, Ordering::Relaxed);
    }
}

/// Appends the body of the answer to a request of `requested_at` to `whole`, which keeps what has
/// arrived if the transfer fails.
///
/// # Errors
///
/// [`HttpErrorKind::Timeout`] if the body exceeds the limits on its time, and
/// [`HttpErrorKind::TooLarge`] if `whole` would exceed that on its size; if the head states the size,
/// before anything is read.
pub async fn receive_body<B>(
    body: B,
    requested_at: Instant,
    limits: &TransferLimits,
    progress: &TransferProgress,
    whole: &mut BytesMut,
) -> Result<(), HttpError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    append_body(body, limits.size, progress, whole, || {
        Some(limits.give_up_at(requested_at, progress))
    })
    .await
}

/// Appends a body to `whole`. `give_up_at` returns when to give up unless more arrives before.
pub(crate) async fn append_body<B>(
    mut body: B,
    size_limit: ByteCount,
    progress: &TransferProgress,
    whole: &mut BytesMut,
    give_up_at: impl Fn() -> Option<Instant>,
) -> Result<(), HttpError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let limit = usize::try_from(size_limit.get()).unwrap_or(usize::MAX);
    let lower = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let _receiving = progress.begin(body.size_hint().exact());
    if whole.len().saturating_add(lower) > limit {
        return Err(too_large(size_limit));
    }
    loop {
        let frame = match give_up_at() {
            None => body.frame().await,
            Some(at) => timeout_at(at, body.frame()).await.map_err(|_| {
                let detail = format!("the answer stopped, {}", progress.summary());
                HttpError::new(HttpErrorKind::Timeout, detail)
            })?,
        };
        let Some(frame) = frame else { return Ok(()) };
        let frame = frame.map_err(|error| HttpError::from_error_after_send(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(too_large(size_limit));
        }
        whole.extend_from_slice(&data);
        progress.add(data.len());
    }
}

fn too_large(limit: ByteCount) -> HttpError {
    let detail = format!("the answer is larger than {limit}");
    HttpError::new(HttpErrorKind::TooLarge, detail)
}
