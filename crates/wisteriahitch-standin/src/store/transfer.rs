//! Reads and writes of block contents over the link.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, timeout};
use tokio_stream::wrappers::UnboundedReceiverStream;
use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::engine::ExportResult;

use super::HEADER_TRANSFER_CLASS;
use super::block::BlockId;
use super::control::ReadFault;
use super::link::send_over;
use super::refusal::StoreRefusal;
use super::state::StoreState;
use crate::util::{Abort, Answer, answer_json};

/// Timeout for receiving the content of a block that is being written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Writes a reserved block.
pub(super) async fn write(
    state: &Arc<StoreState>,
    id: BlockId,
    request: Request<Incoming>,
) -> Result<Result<Answer, StoreRefusal>, Abort> {
    let bytes = match state.table.lock().begin_write(id) {
        Ok(bytes) => bytes,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let _write = WriteGuard { state, id };
    count_transfer_class(state, request.headers(), bytes);
    let Some(content) = read_content(request.into_body(), bytes).await? else {
        return Ok(Err(StoreRefusal::WrongLength));
    };
    state
        .link
        .transfer(content.clone(), &state.freeze, None)
        .await;
    let sealed = state.table.lock().finish_write(id, content);
    Ok(sealed.map(|crc32c| {
        let mut counters = state.counters.lock();
        counters.saved_blocks += 1;
        counters.saved_bytes += bytes.get();
        answer_json(StatusCode::OK, &ExportResult { bytes, crc32c })
    }))
}

/// Returns the content, or `None` if it is longer than `bytes`.
async fn read_content(body: Incoming, bytes: ByteCount) -> Result<Option<Bytes>, Abort> {
    let limit = usize::try_from(bytes.get()).map_err(|_| Abort)?;
    let whole = timeout(WRITE_TIMEOUT, Limited::new(body, limit).collect()).await;
    match whole.map_err(|_| Abort)? {
        Ok(whole) => Ok(Some(whole.to_bytes())),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Ok(None),
        Err(_) => Err(Abort),
    }
}

/// Removes the block when its writer goes away before the block is sealed.
struct WriteGuard<'a> {
    state: &'a StoreState,
    id: BlockId,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        self.state.table.lock().abandon_write(self.id);
    }
}

/// Reads a block under a pin.
pub(super) fn read(
    state: &Arc<StoreState>,
    id: BlockId,
    pin: &str,
    headers: &HeaderMap,
) -> Result<Answer, StoreRefusal> {
    let (content, is_first) = state.table.lock().begin_read(id, pin, Instant::now())?;
    let guard = ReadGuard {
        state: Arc::clone(state),
        id,
    };
    let bytes = ByteCount::new(content.len() as u64);
    count_transfer_class(state, headers, bytes);
    count_read(state, bytes, is_first);
    let content = apply_read_fault(state, content);
    Ok(stream_over_link(state, content, guard))
}

/// Retains a block while it is read, even after its pin has expired.
struct ReadGuard {
    state: Arc<StoreState>,
    id: BlockId,
}

impl Drop for ReadGuard {
    fn drop(&mut self) {
        self.state.table.lock().end_read(self.id);
    }
}

fn stream_over_link(state: &Arc<StoreState>, content: Bytes, guard: ReadGuard) -> Answer {
    let length = HeaderValue::from(content.len());
    let (sender, receiver) = unbounded_channel();
    let link = Arc::clone(&state.link);
    send_over(link, Arc::clone(&state.freeze), content, sender, guard);
    let frames = UnboundedReceiverStream::new(receiver).map(|chunk| Ok(Frame::data(chunk)));
    let body = StreamBody::new(frames.map(|frame: io::Result<_>| frame));
    let mut answer = Response::new(BodyExt::boxed(body));
    answer.headers_mut().insert(CONTENT_LENGTH, length);
    answer
}

/// Applies the current fault to the content of one read.
fn apply_read_fault(state: &StoreState, content: Bytes) -> Bytes {
    let fault = state.fault.lock().consume_read_fault();
    let mut counters = state.counters.lock();
    match fault {
        ReadFault::None => content,
        ReadFault::Corrupt => {
            counters.corrupted_reads += 1;
            flip_last_byte(&content)
        }
        ReadFault::Short => {
            counters.short_reads += 1;
            content.slice(..content.len() / 2)
        }
    }
}

fn flip_last_byte(content: &Bytes) -> Bytes {
    let mut changed = BytesMut::from(content.as_ref());
    if let Some(byte) = changed.last_mut() {
        *byte ^= 1;
    }
    changed.freeze()
}

fn count_read(state: &StoreState, bytes: ByteCount, is_first: bool) {
    let mut counters = state.counters.lock();
    counters.read_blocks += 1;
    counters.read_bytes += bytes.get();
    counters.blocks_later_read += u64::from(is_first);
}

fn count_transfer_class(state: &StoreState, headers: &HeaderMap, bytes: ByteCount) {
    let class = headers.get(HEADER_TRANSFER_CLASS);
    let mut counters = state.counters.lock();
    match class.map(HeaderValue::as_bytes) {
        Some(b"wait") => counters.wait_bytes += bytes.get(),
        Some(b"save") => counters.save_bytes += bytes.get(),
        _ => {}
    }
}
