//! Receiving the body of an answer, and how far that has got.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use wisteriahitch_types::ByteCount;

use crate::http_client::{HttpError, HttpErrorKind};

/// Progress of one transfer, for whoever decides whether to wait for it. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct TransferProgress {
    state: Arc<ProgressState>,
}

#[derive(Debug, Default)]
struct ProgressState {
    has_begun: AtomicBool,
    is_receiving: AtomicBool,
    received_bytes: AtomicU64,
    /// Size of the whole body; 0 if the head doesn't state it.
    expected_bytes: AtomicU64,
}

impl TransferProgress {
    /// Returns whether the head has arrived and the body is being received.
    pub fn is_receiving(&self) -> bool {
        self.state.is_receiving.load(Ordering::Relaxed)
    }

    /// Returns whether the head has arrived.
    pub fn has_begun(&self) -> bool {
        self.state.has_begun.load(Ordering::Relaxed)
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
        let expected = expected.unwrap_or(0);
        self.state.expected_bytes.store(expected, Ordering::Relaxed);
        self.state.received_bytes.store(0, Ordering::Relaxed);
        self.state.has_begun.store(true, Ordering::Relaxed);
        self.state.is_receiving.store(true, Ordering::Relaxed);
        ReceivingGuard(self)
    }
}

/// Ends the receiving state, also if the transfer is cancelled.
struct ReceivingGuard<'a>(&'a TransferProgress);

impl Drop for ReceivingGuard<'_> {
    fn drop(&mut self) {
        self.0.state.is_receiving.store(false, Ordering::Relaxed);
    }
}

/// Appends a body to `whole`, which keeps what has arrived if the transfer fails.
///
/// # Errors
///
/// [`HttpErrorKind::TooLarge`] if `whole` would exceed `size_limit`; if the head states the size, before
/// anything is read.
pub async fn receive_body<B>(
    mut body: B,
    size_limit: ByteCount,
    progress: &TransferProgress,
    whole: &mut BytesMut,
) -> Result<(), HttpError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let limit = usize::try_from(size_limit.get()).unwrap_or(usize::MAX);
    let expected = body.size_hint().exact();
    let is_within = |len: usize| len <= limit;
    let lower = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if !is_within(whole.len().saturating_add(lower)) {
        return Err(too_large(size_limit));
    }
    let _receiving = progress.begin(expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| HttpError::from_error_after_send(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !is_within(whole.len() + data.len()) {
            return Err(too_large(size_limit));
        }
        whole.extend_from_slice(&data);
        let received = progress.received_bytes() + data.len() as u64;
        progress
            .state
            .received_bytes
            .store(received, Ordering::Relaxed);
    }
    Ok(())
}

fn too_large(limit: ByteCount) -> HttpError {
    let detail = format!("the answer is larger than {limit}");
    HttpError::new(HttpErrorKind::TooLarge, detail)
}
