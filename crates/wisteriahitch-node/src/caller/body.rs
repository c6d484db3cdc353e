//! Bodies of callers' requests and of the answers to them.

use std::convert::Infallible;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wisteriahitch_types::{ByteCount, Code};

/// The body of every response.
pub(crate) type ResponseBody = BoxBody<Bytes, Infallible>;

/// How many times the limit is read of a body that is too large.
const DISCARD_LIMIT_FACTOR: u64 = 4;

/// Wraps a body that is known whole.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// Reads a whole request body within a bound of size and of time.
///
/// A sender that trickles its body would hold a connection and its memory for as long as it likes;
/// it shows as connections that stay open without a request. The time limit covers the whole body,
/// so that sending one byte now and then doesn't help.
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

/// Reads a body; one that is too large is read on for a while without being kept.
///
/// A sender that is still writing when the connection closes sees a broken pipe in place of the
/// refusal. Reading on lets it finish, within a bound.
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
