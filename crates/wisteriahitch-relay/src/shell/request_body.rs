//! Reads callers' bodies within size and time limits.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{Code, DurationUs};

use super::shared::Shared;
use crate::border::Refusal;

/// Retry delay for callers of a daemon that buffers as many bytes of bodies as it may.
const BODIES_FULL_RETRY_US: DurationUs = DurationUs::from_ms(300);

/// A request's body. Its bytes count against the limit of all buffered bodies until it is dropped.
pub(super) struct BufferedBody {
    shared: Arc<Shared>,
    pub(super) bytes: Bytes,
    /// Bytes that this body counts against the limit.
    reserved_bytes: usize,
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.shared
            .reserved_body_bytes
            .fetch_sub(self.reserved_bytes, Ordering::Relaxed);
    }
}

/// Reads a body of at most `limit` bytes to its end, until `deadline`.
pub(super) async fn read_body(
    shared: &Arc<Shared>,
    mut body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<BufferedBody, Refusal> {
    let mut buffered = BufferedBody {
        shared: Arc::clone(shared),
        bytes: Bytes::new(),
        reserved_bytes: 0,
    };
    if body.is_end_stream() {
        return Ok(buffered);
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let mut received = BytesMut::new();
    loop {
        let frame = timeout_at(deadline, body.frame()).await;
        let frame = frame.map_err(|_| Refusal::new(Code::SlowSender))?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| Refusal::new(Code::BadHttp))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > limit {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if !shared.try_reserve_body_bytes(data.len()) {
            return Err(Refusal::new(Code::StreamsFull).retry_after(BODIES_FULL_RETRY_US));
        }
        buffered.reserved_bytes += data.len();
        received.extend_from_slice(&data);
    }
    buffered.bytes = received.freeze();
    Ok(buffered)
}
