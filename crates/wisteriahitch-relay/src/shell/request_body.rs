//! Taking a caller's body in, bounded.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};
use wisteriahitch_types::{Code, DurationUs};

use super::shared::Shared;
use crate::border::Refusal;

/// When a caller may come back to a daemon that holds as many bodies as it may.
const FULL_RETRY_US: DurationUs = DurationUs::from_ms(300);

/// A request's body, counted as held until it is dropped.
pub(super) struct HeldBody {
    shared: Arc<Shared>,
    pub(super) bytes: Bytes,
    held: usize,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.shared
            .body_bytes
            .fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// Reads a body to its end, at most `limit` bytes until `due`.
pub(super) async fn read_body(
    shared: &Arc<Shared>,
    mut body: Incoming,
    limit: usize,
    due: Instant,
) -> Result<HeldBody, Refusal> {
    let mut held = HeldBody {
        shared: Arc::clone(shared),
        bytes: Bytes::new(),
        held: 0,
    };
    if body.is_end_stream() {
        return Ok(held);
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let mut gathered = BytesMut::new();
    loop {
        let frame = timeout_at(due, body.frame()).await;
        let frame = frame.map_err(|_| Refusal::new(Code::SlowSender))?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| Refusal::new(Code::BadHttp))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if gathered.len() + data.len() > limit {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if !shared.try_hold_body(data.len()) {
            return Err(Refusal::new(Code::StreamsFull).retry_after(FULL_RETRY_US));
        }
        held.held += data.len();
        gathered.extend_from_slice(&data);
    }
    held.bytes = gathered.freeze();
    Ok(held)
}
