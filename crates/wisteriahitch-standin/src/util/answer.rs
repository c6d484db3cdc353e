//! Builders of HTTP answers.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// HTTP response whose body may end with an error, which closes the connection.
pub type Answer = Response<BoxBody<Bytes, io::Error>>;

/// Builds an answer with a complete body.
pub fn answer_body(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut answer = Response::new(body.boxed());
    *answer.status_mut() = status;
    answer
}

/// Builds an answer without a body.
pub fn answer_status(status: StatusCode) -> Answer {
    answer_body(status, Bytes::new())
}

/// Builds an answer with a JSON body.
pub fn answer_json(status: StatusCode, value: &impl Serialize) -> Answer {
    let Ok(body) = serde_json::to_vec(value) else {
        return answer_status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = answer_body(status, body);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Builds an answer that declares the length of `body` and closes the connection after half of it.
pub fn answer_truncated(status: StatusCode, body: Bytes) -> Answer {
    let declared_bytes = body.len();
    let half = body.slice(..declared_bytes / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionReset);
    let frames = stream::iter([Ok(Frame::data(half)), Err(broken)]);
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(declared_bytes));
    answer
}
