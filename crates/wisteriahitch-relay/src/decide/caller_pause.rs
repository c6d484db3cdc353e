//! Whether a stream broke because its caller didn't read.
//!
//! Load pattern: a caller reads slowly. The daemon holds back only that caller's answer, so the endpoint
//! can't write, and after some seconds it breaks the connection off. That says nothing about the
//! endpoint; counted as its failure, a few slow callers would have sound endpoints ejected.

use wisteriahitch_types::DurationUs;

/// Time without reading after which an endpoint may break off an answer. Endpoints wait a few
/// seconds; the buffers on the way hide the first part of that.
const MIN_PAUSE_US: DurationUs = DurationUs::from_ms(1_000);

/// Time for which a pause explains that a stream broke. The end of the connection is read right after
/// what the buffers still held.
const EXPLAINS_FOR_US: DurationUs = DurationUs::from_ms(500);

/// Pauses of the caller of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerPauses {
    /// Time from the end of the last long pause, as long as nothing but buffered bytes may have
    /// been read since.
    since_pause_us: Option<DurationUs>,
}

impl CallerPauses {
    /// Records that the caller asked for more `pause_us` after it was given the last events, and that
    /// the endpoint took `wait_us` to send them.
    pub fn record(&mut self, pause_us: DurationUs, wait_us: DurationUs) {
        self.since_pause_us = match self.since_pause_us {
            _ if pause_us >= MIN_PAUSE_US => Some(wait_us),
            Some(since_us) => Some(since_us + pause_us + wait_us),
            None => None,
        };
    }

    /// Returns whether a connection that breaks now was probably broken off because the caller didn't
    /// read.
    pub fn explain_break(&self) -> bool {
        self.since_pause_us
            .is_some_and(|since_us| since_us <= EXPLAINS_FOR_US)
    }
}
