//! How many answers run at once.

use std::sync::Arc;

use wisteriahitch_types::{Code, DurationUs};

use crate::caller::Refusal;
use crate::shared::Shared;

/// When a caller may come back to a daemon that holds as many streams as it may.
const STREAMS_FULL_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Counts an answer as running until it is dropped, also by a panic of its task.
pub(crate) struct OpenStream {
    shared: Arc<Shared>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.shared.metrics.streams.dec();
    }
}

impl Shared {
    /// Counts another answer, or refuses where as many run as may.
    ///
    /// It is counted before it is compared: many that come in one moment would otherwise all see
    /// room for one.
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
