//! Bodies of callers' requests and of the answers to them.

use std::convert::Infallible;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use wisteriahitch_types::{ByteCount, Code};

/// The body of every response.
pub(crate) type ResponseBody = BoxBody<Bytes, Infallible>;

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
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > limit_bytes.get() {
        return Err(Code::BodyTooLarge);
    }
    match tokio::time::timeout(timeout, collect(body, limit_bytes)).await {
        Ok(result) => result,
        Err(_) => Err(Code::SlowSender),
    }
}

async fn collect(mut body: Incoming, limit_bytes: ByteCount) -> Result<Bytes, Code> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::BadHttp)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (whole.len() + data.len()) as u64 > limit_bytes.get() {
            return Err(Code::BodyTooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
