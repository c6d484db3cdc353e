//! Limits the number of completions that run at once.

use std::sync::Arc;

use wisteriahitch_types::{Code, DurationUs};

use crate::caller::Refusal;
use crate::shared::Shared;

/// `retry-after` of a daemon that runs its maximum number of completions.
const STREAMS_FULL_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Counts one completion as running until it is dropped, even by a panic of its task.
pub(crate) struct OpenStream {
    shared: Arc<Shared>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.shared.metrics.streams.dec();
    }
}

impl Shared {
    /// Counts one more completion, or refuses it if the maximum is running.
    ///
    /// It is counted before the comparison; otherwise many concurrent requests could each see the
    /// last free place.
    pub(crate) fn try_open_stream(self: &Arc<Self>) -> Result<OpenStream, Refusal> {
        let streams = &self.metrics.streams;
        streams.inc();
        let opened = OpenStream {
            shared: Arc::clone(self),
        };
        match streams.get() > i64::from(self.settings.limits.streams) {
            true => Err(Refusal::new(Code::StreamsFull).with_retry_after_us(STREAMS_FULL_RETRY_US)),
            false => Ok(opened),
        }
    }
}
