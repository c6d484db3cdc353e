//! Request and response bodies.

use std::convert::Infallible;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wisteriahitch_types::{ByteCount, Code};

/// Body type of every response.
pub(crate) type ResponseBody = BoxBody<Bytes, Infallible>;

/// An oversized body is read, and discarded, up to this multiple of the size limit.
const DISCARD_LIMIT_FACTOR: u64 = 4;

/// Wraps bytes that are already complete as a response body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// Reads a whole request body, bounded in size and time.
///
/// The timeout covers the whole body, so a sender that trickles single bytes can't extend it.
/// Without the bound such a sender would occupy a connection and its memory indefinitely, visible
/// as connections that stay open without a request.
///
/// Returns [`Code::SlowSender`] on timeout, [`Code::BodyTooLarge`] above `limit_bytes` and
/// [`Code::BadHttp`] for a body that breaks off.
pub(crate) async fn read_body(
    body: Incoming,
    limit_bytes: ByteCount,
    timeout: Duration,
) -> Result<Bytes, Code> {
    match tokio::time::timeout(timeout, collect(body, limit_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(Code::SlowSender),
    }
}

/// Reads a body. An oversized body is read on and discarded, up to [`DISCARD_LIMIT_FACTOR`] times
/// the limit.
///
/// A sender that is still writing when the connection closes gets a broken pipe instead of the
/// refusal; reading on lets it finish first.
async fn collect(mut body: Incoming, limit_bytes: ByteCount) -> Result<Bytes, Code> {
    let limit = limit_bytes.get();
    let mut whole = BytesMut::new();
    let mut read_bytes: u64 = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::BadHttp)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read_bytes += data.len() as u64;
        if read_bytes <= limit {
            whole.extend_from_slice(&data);
        } else {
            whole.clear();
        }
        if read_bytes > limit.saturating_mul(DISCARD_LIMIT_FACTOR) {
            break;
        }
    }
    match read_bytes > limit {
        true => Err(Code::BodyTooLarge),
        false => Ok(whole.freeze()),
    }
}
