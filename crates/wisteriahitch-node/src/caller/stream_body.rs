//! Responses as server-sent events.

use std::convert::Infallible;

use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

use super::body::ResponseBody;

/// Events buffered for a slow reader before sending pauses.
pub(crate) const STREAM_BUFFER_EVENTS: usize = 64;

/// Creates a response body and the sender for its events.
pub(crate) fn open_stream() -> (mpsc::Sender<Bytes>, ResponseBody) {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER_EVENTS);
    let frames = ReceiverStream::new(receiver).map(|event| Ok::<_, Infallible>(Frame::data(event)));
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}

/// Renders a data event.
pub(crate) fn data_event(json: &[u8]) -> Bytes {
    event(b"data: ", json)
}

/// Renders the event that ends a complete answer.
pub(crate) fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Renders the event that ends an incomplete answer.
pub(crate) fn error_event(json: &[u8]) -> Bytes {
    event(b"event: error\ndata: ", json)
}

fn event(prefix: &[u8], json: &[u8]) -> Bytes {
    const EVENT_END: &[u8] = b"\n\n";
    let mut event = BytesMut::with_capacity(prefix.len() + json.len() + EVENT_END.len());
    event.put_slice(prefix);
    event.put_slice(json);
    event.put_slice(EVENT_END);
    event.freeze()
}
